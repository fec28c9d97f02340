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

// Guards against accepted jobs that never start (LOST, nashta-rota-large, mix
// --seed 17245151481): long-running tasks took too much memory of each worker
// of the pool for a waiting task, while most cores were free, and the demand in
// cores asked for no VM.
TEST_CASE("a VM is moved for a task that finds no memory beside lasting ones")
{
  struct Row
  {
    const char* name_;
    std::int64_t memoryMb_;
    bool isMoved_;
  };
  const auto row = GENERATE(Row{ "fits no worker", 2000, true },
                            Row{ "fits beside them", 1000, false },
                            Row{ "fits no VM", 5000, false });
  INFO(row.name_);
  SchedulerDriver driver(24, {});
  SetUp(driver, 4);
  auto lasting = LongRunningJob(1, 4);
  lasting.steps_[0].need_ = { 500, 3000, 0 };
  driver.Submit(lasting);
  driver.RunFor(Millis(3500));
  REQUIRE(CountLongRunningTasks(driver) == 4);
  REQUIRE_FALSE(WasSpareVmMoved(driver));
  auto spec = OneStepJob(2);
  spec.steps_[0].tasks_ = 1;
  spec.steps_[0].need_ = { 1000, row.memoryMb_, 0 };
  driver.Submit(spec);
  driver.RunFor(Millis(1500));
  CHECK(WasSpareVmMoved(driver) == row.isMoved_);
  if (row.isMoved_) {
    driver.AddWorker("w9", "p");
    driver.RunFor(Millis(2500));
    CHECK(PhaseOf(driver, 2) == JobPhase::Completed);
  }
}

// Load: a full pool with a backlog of short tasks. Guards against a task that
// lasts and is not placed again for seconds (LOST, nashta-rota-large,
// hunt-7503-7): short tasks take all room before it is enough for the larger
// one.
TEST_CASE("a long-running task gets room in a pool full of short tasks")
{
  SchedulerDriver driver(25, {});
  driver.SetConfig(OnePool());
  AddWorkers(driver, 3);
  driver.RunFor(Millis(300));
  for (JobId id = 10; id < 100; ++id) {
    auto spec = OneStepJob(id);
    driver.Submit(spec);
  }
  driver.RunFor(Millis(1000));
  auto lasting = LongRunningJob(1, 1);
  lasting.steps_[0].need_ = { 3500, 500, 0 };
  driver.Submit(lasting);
  // The platform allows 6 s for a task that lasts.
  driver.RunFor(Millis(6000));
  CHECK(CountLongRunningTasks(driver) == 1);
  driver.RunFor(Millis(40000));
  for (JobId id = 10; id < 100; ++id) {
    CHECK(PhaseOf(driver, id) == JobPhase::Completed);
  }
  CHECK(driver.Seen().empty());
}

// Guards against short tasks that wait in a pool with free cores: each of some
// long-running steps that wait for room kept a worker from all short ones.
TEST_CASE("long-running tasks that wait leave workers to short ones")
{
  SchedulerDriver driver(26, {});
  driver.SetConfig(OnePool());
  AddWorkers(driver, 2);
  driver.RunFor(Millis(300));
  // One task on each worker, which leaves too little for the lasting ones.
  auto slow = OneStepJob(10);
  slow.steps_[0].tasks_ = 2;
  slow.steps_[0].maxPerWorker_ = 1;
  driver.runTimes_[10] = Millis(60000);
  driver.Submit(slow);
  driver.RunFor(Millis(300));
  for (JobId id = 1; id <= 3; ++id) {
    auto lasting = LongRunningJob(id, 1);
    lasting.steps_[0].need_ = { 3500, 500, 0 };
    driver.Submit(lasting);
  }
  auto quick = OneStepJob(20);
  driver.Submit(quick);
  driver.RunFor(Millis(3000));
  CHECK(PhaseOf(driver, 20) == JobPhase::Completed);
  CHECK(driver.Seen().empty());
}

// Guards against a task that is ended while too many others of its step are
// away (AVAIL, nashta-rota-large trouble-3): the stop was decided within the
// absence budget and got no answer, peers were lost meanwhile, and a repeated
// order ended the task seconds later.
TEST_CASE("a repeated stop keeps to the absence budget of its time")
{
  SchedulerDriver driver(27, {});
  SetUp(driver, 4);
  driver.Submit(LongRunningJob(1, 3));
  driver.RunFor(Millis(500));
  REQUIRE(CountLongRunningTasks(driver) == 3);
  std::vector<std::string> holders;
  for (const auto& [id, worker] : driver.Workers()) {
    if (!worker.runs_.empty()) {
      holders.push_back(id);
    }
  }
  REQUIRE(holders.size() == 3);
  auto& evacuated = driver.Workers().at(holders[0]);
  auto& lost = driver.Workers().at(holders[1]);
  UpkeepWave wave;
  wave.id_ = 4;
  wave.cap_ = 1;
  wave.dueAtMs_ = 20000;
  wave.pendingVms_ = { "vm-" + holders[0] };
  evacuated.isPartitioned_ = true;
  driver.StartWave(wave);
  driver.RunFor(Millis(150));
  lost.isPartitioned_ = true;
  driver.RunFor(Millis(1500));
  evacuated.isPartitioned_ = false;
  for (int step = 0; step < 20; ++step) {
    driver.RunFor(Millis(100));
    CHECK(evacuated.runs_.size() == 1);
  }
  // With all peers back the task is moved, and the VM is taken down.
  lost.isPartitioned_ = false;
  driver.RunFor(Millis(3000));
  CHECK(driver.maintainedVms_.contains("vm-" + holders[0]));
  CHECK(driver.interruptedLongRuns_ == 0);
  CHECK(CountLongRunningTasks(driver) == 3);
}
