#include "workload/test/scheduler_jobs.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace acaciahill;
using namespace acaciahill::test;

namespace {

/// Adds workers "w0", "w1" and so on, and one VM in the spare pool.
void
SetUp(SchedulerDriver& aDriver, int aWorkers)
{
  EnableVmMoves(aDriver);
  aDriver.spareVms_ = { { "s-1", "off", VmState::Up, "", "z" } };
  AddWorkers(aDriver, aWorkers);
  aDriver.RunFor(Millis(3500));
}

bool
WasSpareVmMoved(const SchedulerDriver& aDriver)
{
  return std::count(aDriver.movedVms_.begin(), aDriver.movedVms_.end(), "s-1") >
         0;
}

} // namespace

// Guards against stopping a task that runs, because the answer to its start
// order was late or lost.
TEST_CASE("a run whose start order got no answer continues if it has started")
{
  SchedulerDriver driver(21, {});
  driver.SetConfig(OnePool());
  AddWorkers(driver, 3);
  driver.RunFor(Millis(300));
  driver.losesStartAnswers_ = true;
  driver.Submit(LongRunningJob(1, 3));
  driver.RunFor(Millis(1000));
  driver.losesStartAnswers_ = false;
  driver.RunFor(Millis(1000));
  CHECK(CountLongRunningTasks(driver) == 3);
  for (std::uint32_t index = 0; index < 3; ++index) {
    CAPTURE(index);
    const auto* task = driver.Committed().FindTask({ 1, 0, 0, index });
    REQUIRE(task != nullptr);
    CHECK(task->run_ == 1);
  }
  CHECK(driver.Seen().empty());
}

// Guards against stopping a long-running task for the upkeep of its VM while no
// other worker may run it: the task then waited for its pool's next turn.
TEST_CASE("a long-running task stays until another worker can run it")
{
  SchedulerDriver driver(22, {});
  SetUp(driver, 3);
  driver.Submit(LongRunningJob(1, 3));
  driver.RunFor(Millis(500));
  REQUIRE(CountLongRunningTasks(driver) == 3);
  UpkeepWave wave;
  wave.id_ = 4;
  wave.cap_ = 1;
  wave.dueAtMs_ = 20000;
  wave.pendingVms_ = { "vm-w0" };
  driver.StartWave(wave);
  for (int step = 0; step < 30; ++step) {
    driver.RunFor(Millis(100));
    CHECK(CountLongRunningTasks(driver) == 3);
  }
  CHECK(WasSpareVmMoved(driver));
  // The moved VM has registered as a worker.
  driver.AddWorker("w9", "p");
  driver.RunFor(Millis(2000));
  CHECK(driver.maintainedVms_.contains("vm-w0"));
  CHECK(driver.interruptedLongRuns_ == 0);
  CHECK(CountLongRunningTasks(driver) == 3);
}

// Guards against a pool that requests no VM although each of its workers runs a
// task of the step and none may run a second one.
TEST_CASE("a VM is moved for a long-running task that no worker may run")
{
  SchedulerDriver driver(23, {});
  SetUp(driver, 4);
  driver.Submit(LongRunningJob(1, 4));
  driver.RunFor(Millis(500));
  REQUIRE(CountLongRunningTasks(driver) == 4);
  driver.Workers().at("w3").isPartitioned_ = true;
  driver.RunFor(SchedulerSettings{}.lease_ + Millis(1500));
  CHECK(WasSpareVmMoved(driver));
  driver.AddWorker("w9", "p");
  driver.RunFor(Millis(500));
  CHECK(driver.Workers().at("w9").runs_.size() == 1);
}
