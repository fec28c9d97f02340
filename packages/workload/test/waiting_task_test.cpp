#include "workload/test/scheduler_jobs.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>

using namespace acaciahill;
using namespace acaciahill::test;

// Long-running tasks that wait for a worker. The platform counts one as lost
// when it does not run from 6 s after its last run on, with room for it.

namespace {

constexpr Millis kTimeToRunAgain{ 6000 };

std::vector<std::string>
WorkersWithTasks(SchedulerDriver& aDriver, bool aHasTasks)
{
  std::vector<std::string> ids;
  for (const auto& [id, worker] : aDriver.Workers()) {
    if (worker.runs_.empty() != aHasTasks) {
      ids.push_back(id);
    }
  }
  return ids;
}

/// Partitions the worker and runs until its task has ended.
void
LoseTaskOf(SchedulerDriver& aDriver, const std::string& aWorker)
{
  auto& worker = aDriver.Workers().at(aWorker);
  REQUIRE_FALSE(worker.runs_.empty());
  const auto task = worker.runs_.begin()->first;
  worker.isPartitioned_ = true;
  const auto run = aDriver.Committed().FindTask(task)->run_;
  const auto hasEnded = [&aDriver, &task, run] {
    const auto* now = aDriver.Committed().FindTask(task);
    return now->state_ == TaskState::Waiting || now->run_ > run;
  };
  // The lease expires first.
  for (int step = 0; step < 800 && !hasEnded(); ++step) {
    aDriver.RunFor(Millis(10));
  }
  REQUIRE(hasEnded());
}

/// Starts a wave with the VMs of the workers.
void
StartWaveOf(SchedulerDriver& aDriver, const std::vector<std::string>& aWorkers)
{
  UpkeepWave wave;
  wave.id_ = 4;
  wave.cap_ = 1;
  wave.dueAtMs_ = 40000;
  for (const auto& id : aWorkers) {
    wave.pendingVms_.push_back("vm-" + id);
  }
  aDriver.StartWave(wave);
}

} // namespace

// Guards against a long-running task that waits for its pool's next turn (LOST,
// issue 39): each worker had a task of its step or no room, and the pool asked
// for no VM, as it had as many workers as the step has tasks.
TEST_CASE("a VM is moved when workers with room have a peer of the task")
{
  struct Row
  {
    const char* name_;
    std::int64_t firstMemoryMb_;
    std::uint32_t tasks_;
    bool isMoved_;
  };
  const auto row = GENERATE(Row{ "one worker is full", 3500, 4, true },
                            Row{ "room on each", 1000, 4, false },
                            Row{ "room on as many", 3500, 3, false });
  INFO(row.name_);
  SchedulerDriver driver(41, {});
  EnableVmMoves(driver);
  driver.spareVms_ = { { "s-1", "off", VmState::Up, "", "z" } };
  AddWorkers(driver, 4);
  driver.RunFor(Millis(3500));
  auto first = LongRunningJob(1, 1);
  first.steps_[0].need_ = { 500, row.firstMemoryMb_, 0 };
  driver.Submit(first);
  driver.RunFor(Millis(500));
  auto second = LongRunningJob(2, row.tasks_);
  second.steps_[0].need_ = { 500, 1000, 0 };
  driver.Submit(second);
  driver.RunFor(Millis(2000));
  CHECK((std::count(driver.movedVms_.begin(), driver.movedVms_.end(), "s-1") >
         0) == row.isMoved_);
  if (row.isMoved_) {
    driver.AddWorker("w9", "p");
    driver.RunFor(Millis(500));
  }
  CHECK(CountLongRunningTasks(driver) == row.tasks_ + 1);
  CHECK(driver.Seen().empty());
}

// Guards against a worker that gets no task again (LOST, issue 39): it was
// emptied for an upkeep that the platform refused for good.
TEST_CASE("a worker gets tasks again when its upkeep is refused for good")
{
  const auto outcome = GENERATE(VmOutcome::NotInWave, VmOutcome::NoSuchVm);
  CAPTURE(static_cast<int>(outcome));
  SchedulerDriver driver(42, {});
  EnableVmMoves(driver);
  AddWorkers(driver, 4);
  driver.RunFor(Millis(500));
  driver.Submit(LongRunningJob(1, 3));
  driver.RunFor(Millis(500));
  const auto holders = WorkersWithTasks(driver, true);
  const auto idle = WorkersWithTasks(driver, false);
  REQUIRE(holders.size() == 3);
  driver.upkeepOutcome_ = outcome;
  StartWaveOf(driver, idle);
  driver.RunFor(Millis(2000));
  REQUIRE(driver.upkeepOrders_ > 0);
  LoseTaskOf(driver, holders[0]);
  driver.RunFor(Millis(1000));
  CHECK(driver.Workers().at(idle[0]).runs_.size() == 1);
  CHECK(driver.Seen().empty());
}

// Fault: the platform is away or refuses calls. Guards against a task that
// waits beside workers that are kept empty (LOST, issue 39) for an upkeep or a
// move that does not come.
TEST_CASE("a task gets a worker that is kept empty for an order put off")
{
  struct Row
  {
    const char* name_;
    VmOutcome upkeep_;
    VmOutcome move_;
    bool hasWave_;
  };
  const auto row = GENERATE(
    Row{ "upkeep not now", VmOutcome::NotNow, VmOutcome::Busy, true },
    Row{ "upkeep of a busy VM", VmOutcome::Busy, VmOutcome::Busy, true },
    Row{ "upkeep unanswered", VmOutcome::NoAnswer, VmOutcome::Busy, true },
    Row{ "moves unanswered", VmOutcome::Busy, VmOutcome::NoAnswer, false });
  INFO(row.name_);
  SchedulerDriver driver(43, {});
  EnableVmMoves(driver);
  driver.upkeepOutcome_ = row.upkeep_;
  driver.moveOutcome_ = row.move_;
  AddWorkers(driver, 5);
  driver.RunFor(Millis(3500));
  driver.Submit(LongRunningJob(1, 3));
  driver.RunFor(Millis(500));
  const auto holders = WorkersWithTasks(driver, true);
  const auto idle = WorkersWithTasks(driver, false);
  REQUIRE(holders.size() == 3);
  if (row.hasWave_) {
    StartWaveOf(driver, idle);
  } else {
    // A pool without workers asks for the idle VMs.
    auto config = OnePool();
    config.pools_["off"] = { "off", false, true };
    config.pools_["q"] = { "q", false, false };
    driver.SetConfig(config);
  }
  driver.RunFor(Millis(2000));
  LoseTaskOf(driver, holders[0]);
  driver.RunFor(kTimeToRunAgain);
  CHECK(CountLongRunningTasks(driver) == 3);
  CHECK(WorkersWithTasks(driver, true).size() == 3);
  CHECK(driver.Seen().empty());
}

// Guards against a task that is stopped and then waits (LOST, issue 39): the
// worker that had room for it was emptied by the same look at the wave.
TEST_CASE("a task is not stopped for a place on a VM that is emptied as well")
{
  SchedulerDriver driver(44, {});
  EnableVmMoves(driver);
  AddWorkers(driver, 4);
  driver.RunFor(Millis(500));
  driver.Submit(LongRunningJob(1, 3));
  driver.RunFor(Millis(500));
  const auto holders = WorkersWithTasks(driver, true);
  const auto idle = WorkersWithTasks(driver, false);
  REQUIRE(holders.size() == 3);
  StartWaveOf(driver, { holders[0], idle[0] });
  // The idle VM is down for 3 s.
  for (int step = 0; step < 25; ++step) {
    driver.RunFor(Millis(100));
    CHECK(CountLongRunningTasks(driver) == 3);
  }
  driver.RunFor(Millis(6000));
  CHECK(driver.maintainedVms_.size() == 2);
  CHECK(CountLongRunningTasks(driver) == 3);
  CHECK(driver.Seen().empty());
}

// Guards against a task that is stopped without another place and then waits
// for longer than its VM is down (LOST, issue 39): the order for the VM has to
// wait, as the wave has as many VMs down as it may.
TEST_CASE("a late wave stops a task without a place only for an order at once")
{
  SchedulerDriver driver(45, {});
  EnableVmMoves(driver);
  AddWorkers(driver, 3);
  driver.RunFor(Millis(500));
  auto spec = LongRunningJob(1, 3);
  spec.steps_[0].absenceBudget_ = 2;
  driver.Submit(spec);
  driver.RunFor(Millis(500));
  const auto holders = WorkersWithTasks(driver, true);
  REQUIRE(holders.size() == 3);
  UpkeepWave wave;
  wave.id_ = 4;
  wave.cap_ = 1;
  wave.dueAtMs_ = 1;
  wave.pendingVms_ = { "vm-" + holders[0], "vm-" + holders[1] };
  driver.StartWave(wave);
  for (int step = 0; step < 120; ++step) {
    driver.RunFor(Millis(100));
    const auto isDown = [&driver](const std::string& aId) {
      return driver.Workers().at(aId).inUpkeep_;
    };
    const bool hasTask0 = !driver.Workers().at(holders[0]).runs_.empty();
    const bool hasTask1 = !driver.Workers().at(holders[1]).runs_.empty();
    CHECK((hasTask0 || !isDown(holders[1])));
    CHECK((hasTask1 || !isDown(holders[0])));
  }
  CHECK(driver.maintainedVms_.size() == 2);
  CHECK(CountLongRunningTasks(driver) == 3);
  CHECK(driver.Seen().empty());
}
