#include "workload/test/scheduler_jobs.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace acaciahill;
using namespace acaciahill::test;

namespace {

/// Workers "w0" and on, and one VM that is off.
void
SetUp(SchedulerDriver& aDriver, int aWorkers)
{
  LetMoveVms(aDriver);
  aDriver.spareVms_ = { { "s-1", "off", VmState::Up, "", "z" } };
  AddWorkers(aDriver, aWorkers);
  aDriver.RunFor(Millis(3500));
}

bool
WasMoved(const SchedulerDriver& aDriver)
{
  return std::count(aDriver.moved_.begin(), aDriver.moved_.end(), "s-1") > 0;
}

} // namespace

// Guards against a stop of a task that is at work because the answer to its
// start was late or lost.
TEST_CASE("a run whose start got no answer goes on when it has begun")
{
  SchedulerDriver driver(21, {});
  driver.SetConfig(OnePool());
  AddWorkers(driver, 3);
  driver.RunFor(Millis(300));
  driver.losesStartAnswers_ = true;
  driver.Submit(Lasting(1, 3));
  driver.RunFor(Millis(1000));
  driver.losesStartAnswers_ = false;
  driver.RunFor(Millis(1000));
  CHECK(LastingRuns(driver) == 3);
  for (std::uint32_t index = 0; index < 3; ++index) {
    CAPTURE(index);
    const auto* task = driver.Committed().FindTask({ 1, 0, 0, index });
    REQUIRE(task != nullptr);
    CHECK(task->run_ == 1);
  }
  CHECK(driver.Seen().empty());
}

// Guards against a task that lasts and is stopped for the upkeep of its VM
// while no other worker may take it: it waited for its pool's next turn.
TEST_CASE("a task that lasts stays until another worker can take it")
{
  SchedulerDriver driver(22, {});
  SetUp(driver, 3);
  driver.Submit(Lasting(1, 3));
  driver.RunFor(Millis(500));
  REQUIRE(LastingRuns(driver) == 3);
  UpkeepWave wave;
  wave.id_ = 4;
  wave.cap_ = 1;
  wave.dueAtMs_ = 20000;
  wave.pendingVms_ = { "vm-w0" };
  driver.StartWave(wave);
  for (int step = 0; step < 30; ++step) {
    driver.RunFor(Millis(100));
    CHECK(LastingRuns(driver) == 3);
  }
  CHECK(WasMoved(driver));
  // The VM has arrived.
  driver.AddWorker("w9", "p");
  driver.RunFor(Millis(2000));
  CHECK(driver.maintained_.contains("vm-w0"));
  CHECK(driver.cutOff_ == 0);
  CHECK(LastingRuns(driver) == 3);
}

// Guards against a pool that asks for no VM although its workers hold a task of
// the step each, and none may take a second one.
TEST_CASE("a task that lasts gets a VM when no worker may take it")
{
  SchedulerDriver driver(23, {});
  SetUp(driver, 4);
  driver.Submit(Lasting(1, 4));
  driver.RunFor(Millis(500));
  REQUIRE(LastingRuns(driver) == 4);
  driver.Workers().at("w3").cut_ = true;
  driver.RunFor(SchedulerSettings{}.lease_ + Millis(1500));
  CHECK(WasMoved(driver));
  driver.AddWorker("w9", "p");
  driver.RunFor(Millis(500));
  CHECK(driver.Workers().at("w9").runs_.size() == 1);
}
