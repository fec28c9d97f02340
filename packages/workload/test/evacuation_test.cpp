#include "workload/test/scheduler_jobs.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace acaciahill;
using namespace acaciahill::test;

// VMs that are emptied for a wave, and the long-running tasks that leave them.

namespace {

constexpr Millis kSample{ 50 };

JobSpec
LongRunning(JobId aId,
            std::uint32_t aTasks,
            const TaskNeed& aNeed,
            std::uint32_t aMaxPerWorker)
{
  auto spec = LongRunningJob(aId, aTasks);
  spec.steps_[0].need_ = aNeed;
  spec.steps_[0].maxPerWorker_ = aMaxPerWorker;
  return spec;
}

UpkeepWave
Wave(std::uint64_t aId,
     std::int64_t aCap,
     std::uint64_t aDueInMs,
     std::vector<std::string> aVms)
{
  UpkeepWave wave;
  wave.id_ = aId;
  wave.cap_ = aCap;
  wave.dueAtMs_ = aDueInMs;
  wave.pendingVms_ = std::move(aVms);
  return wave;
}

/// A driver with workers in one pool, and VMs that may be moved.
void
SetUp(SchedulerDriver& aDriver, int aWorkers)
{
  EnableVmMoves(aDriver);
  AddWorkers(aDriver, aWorkers);
  aDriver.RunFor(Millis(500));
}

std::string
WorkerOf(SchedulerDriver& aDriver, JobId aJob)
{
  for (const auto& [id, worker] : aDriver.Workers()) {
    for (const auto& [task, run] : worker.runs_) {
      if (task.job_ == aJob) {
        return id;
      }
    }
  }
  return {};
}

std::string
IdleWorker(SchedulerDriver& aDriver)
{
  for (const auto& [id, worker] : aDriver.Workers()) {
    if (worker.runs_.empty()) {
      return id;
    }
  }
  return {};
}

/// Runs until a number of VMs was maintained, at most for aTime; the time that
/// it took.
Millis
RunUntilMaintained(SchedulerDriver& aDriver, std::size_t aVms, Millis aTime)
{
  Millis ran{ 0 };
  for (; ran < aTime && aDriver.maintainedVms_.size() < aVms; ran += kSample) {
    aDriver.RunFor(kSample);
  }
  return ran;
}

/// Runs for a time; how long fewer than aTasks long-running tasks ran.
Millis
TimeWithTasksMissing(SchedulerDriver& aDriver, std::size_t aTasks, Millis aTime)
{
  Millis missing{ 0 };
  for (Millis ran{ 0 }; ran < aTime; ran += kSample) {
    aDriver.RunFor(kSample);
    if (CountLongRunningTasks(aDriver) < aTasks) {
      missing += kSample;
    }
  }
  return missing;
}

// A task that is moved misses for its stop, the next list and its start.
constexpr Millis kMoveOfTask{ 500 };

} // namespace

// Fault: stops that take time. Guards against tasks that are stopped for
// nothing and a wave that does not complete: a VM whose tasks were being
// stopped was given to a task that waited.
TEST_CASE("a VM that is being emptied is not given to a waiting task")
{
  for (std::uint32_t seed = 1; seed <= 8; ++seed) {
    CAPTURE(seed);
    SchedulerDriver driver(seed, {});
    driver.maxStopMs_ = 200;
    SetUp(driver, 3);
    for (JobId job = 1; job <= 9; ++job) {
      driver.Submit(LongRunning(job, 1, { 500, 1900, 0 }, 1));
      driver.RunFor(Millis(200));
    }
    driver.RunFor(Millis(3000));
    driver.StartWave(Wave(4, 1, 1, { "vm-w0", "vm-w1", "vm-w2" }));
    RunUntilMaintained(driver, 3, Millis(60000));
    CHECK(driver.maintainedVms_.size() == 3);
    CHECK(driver.Seen().empty());
  }
}

// Load: tasks that are ready 3 s after their start, several of one step on each
// VM. Guards against a wave that does not complete: while tasks left a VM one
// after the other it counted as idle and was given back.
TEST_CASE("a VM is emptied though its tasks leave one after the other")
{
  SchedulerDriver driver(7, {});
  driver.readyAfter_ = Millis(3000);
  SetUp(driver, 4);
  driver.Submit(LongRunning(1, 9, { 500, 600, 0 }, 4));
  driver.RunFor(Millis(5000));
  const std::vector<std::string> vms{ "vm-w0", "vm-w1", "vm-w2", "vm-w3" };
  driver.StartWave(Wave(4, 1, 90000, vms));
  JobId next = 100;
  for (int step = 0; step < 120 && driver.maintainedVms_.size() < 4; ++step) {
    driver.Submit(OneStepJob(next++));
    driver.RunFor(Millis(500));
  }
  CHECK(driver.maintainedVms_.size() == 4);
  CHECK(driver.interruptedLongRuns_ == 0);
}

// Guards against two tasks that are stopped for one place, of which one waits.
TEST_CASE("a place is found for each task that leaves a VM")
{
  SchedulerDriver driver(1, {});
  SetUp(driver, 2);
  for (JobId job = 1; job <= 3; ++job) {
    driver.Submit(LongRunning(job, 1, { 500, 1800, 0 }, 1));
    driver.RunFor(Millis(300));
  }
  const auto shared = WorkerOf(driver, 1);
  REQUIRE(shared == WorkerOf(driver, 2));
  REQUIRE(shared != WorkerOf(driver, 3));
  driver.StartWave(Wave(4, 1, 60000, { "vm-" + shared }));
  CHECK(TimeWithTasksMissing(driver, 3, Millis(10000)) <= kMoveOfTask);
}

// Load: short jobs that arrive while a task is being stopped. Guards against a
// task whose place is taken meanwhile.
TEST_CASE("the place of a task that is being stopped is kept for it")
{
  const auto delay = GENERATE(Millis(0), Millis(50), Millis(150));
  CAPTURE(delay.count());
  SchedulerDriver driver(3, {});
  driver.maxStopMs_ = 200;
  SetUp(driver, 3);
  driver.Submit(LongRunning(1, 2, { 2000, 1800, 0 }, 1));
  driver.RunFor(Millis(1000));
  driver.StartWave(Wave(4, 1, 60000, { "vm-" + WorkerOf(driver, 1) }));
  driver.RunFor(Millis(60) + delay);
  for (JobId job = 100; job < 108; ++job) {
    driver.runTimes_[job] = Millis(5000);
    driver.Submit(OneStepJob(job));
  }
  CHECK(TimeWithTasksMissing(driver, 2, Millis(8000)) <= kMoveOfTask);
}

// Guards against a task that is stopped for a place on a VM that another wave
// empties in the same tick, or that a wave empties while its own worker drains.
TEST_CASE("a VM that any wave empties is no place for a task")
{
  const bool drains = GENERATE(false, true);
  CAPTURE(drains);
  SchedulerDriver driver(44, {});
  SetUp(driver, 4);
  driver.Submit(LongRunningJob(1, 3));
  driver.RunFor(Millis(500));
  const auto holder = WorkerOf(driver, 1);
  const auto idle = IdleWorker(driver);
  if (drains) {
    driver.Drain(holder);
  } else {
    driver.StartWave(Wave(4, 1, 40000, { "vm-" + holder }));
  }
  driver.StartWave(Wave(5, 1, 40000, { "vm-" + idle }));
  // A draining worker exits 2 s later, before the other VM is back.
  const auto time = drains ? Millis(1000) : Millis(10000);
  CHECK(TimeWithTasksMissing(driver, 3, time) <= kMoveOfTask);
}

// Guards against several VMs that are given back where one has room for all
// waiting tasks.
TEST_CASE("waiting tasks of several steps share a VM that is given back")
{
  SchedulerDriver driver(3, {});
  driver.moveOutcome_ = VmOutcome::NoAnswer;
  driver.upkeepOutcome_ = VmOutcome::NotNow;
  SetUp(driver, 6);
  std::vector<std::string> vms;
  for (const auto& [id, worker] : driver.Workers()) {
    vms.push_back("vm-" + id);
  }
  driver.StartWave(Wave(4, 6, 1, vms));
  driver.RunFor(Millis(100));
  for (JobId job = 1; job <= 5; ++job) {
    driver.Submit(LongRunning(job, 1, { 500, 500, 0 }, 1));
  }
  driver.RunFor(Millis(2500));
  CHECK(CountLongRunningTasks(driver) == 5);
  const auto& views = driver.Current().Views();
  CHECK(std::count_if(views.begin(), views.end(), [](const auto& aEntry) {
          return aEntry.second.evacuating_;
        }) == 5);
}

// Guards against a pool that asks for no VM as it has an idle worker that is
// too small for the waiting task.
TEST_CASE("an idle worker that is too small does not stand for a VM")
{
  SchedulerDriver driver(41, {});
  driver.spareVms_ = { { "s-1", "off", VmState::Up, "", "z" } };
  driver.memoryMb_["w9"] = 1000;
  SetUp(driver, 3);
  driver.RunFor(Millis(3000));
  driver.Submit(LongRunning(1, 3, { 500, 3500, 0 }, 1));
  driver.RunFor(Millis(1000));
  driver.AddWorker("w9", "p");
  driver.RunFor(Millis(1000));
  driver.Submit(LongRunning(2, 1, { 500, 3000, 0 }, 1));
  driver.RunFor(Millis(2000));
  CHECK(std::count(driver.movedVms_.begin(), driver.movedVms_.end(), "s-1") >
        0);
}

// Guards against a pool that draws all spare VMs for a task which is too large
// for each of them.
TEST_CASE(
  "a pool does not ask for VMs without end for a task too large for them")
{
  SchedulerDriver driver(41, {});
  driver.carriesOutMoves_ = true;
  for (int vm = 10; vm < 22; ++vm) {
    const auto id = "w" + std::to_string(vm);
    driver.memoryMb_[id] = 1000;
  }
  SetUp(driver, 3);
  for (int vm = 10; vm < 22; ++vm) {
    driver.AddWorker("w" + std::to_string(vm), "off");
  }
  driver.RunFor(Millis(3000));
  driver.Submit(LongRunning(1, 3, { 500, 3500, 0 }, 1));
  driver.RunFor(Millis(1000));
  driver.Submit(LongRunning(2, 1, { 500, 3000, 0 }, 1));
  driver.RunFor(Millis(30000));
  std::size_t inPool = 0;
  for (const auto& [id, worker] : driver.Workers()) {
    inPool += driver.PoolOf(id) == "p" ? 1 : 0;
  }
  CHECK(inPool > 3);
  // Of the 12 spare VMs.
  CHECK(inPool <= 3 + 6);
}

// Fault: stops that take time. Guards against a task whose kept place is on a
// VM that a later wave empties.
TEST_CASE("a later wave does not empty the VM that a task is moved to")
{
  for (std::uint32_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    SchedulerDriver driver(seed, {});
    driver.maxStopMs_ = 400;
    SetUp(driver, 3);
    driver.Submit(LongRunning(1, 2, { 500, 3500, 0 }, 1));
    driver.RunFor(Millis(1000));
    const auto idle = IdleWorker(driver);
    driver.StartWave(Wave(4, 1, 60000, { "vm-" + WorkerOf(driver, 1) }));
    driver.RunFor(Millis(60));
    driver.StartWave(Wave(5, 1, 60000, { "vm-" + idle }));
    CHECK(TimeWithTasksMissing(driver, 2, Millis(10000)) <= kMoveOfTask);
  }
}

// Guards against an evacuation that ends in the tick in which it begins: a
// worker that had been idle before a refused move counted as idle since then.
TEST_CASE("the idle time of an evacuation begins with it")
{
  SchedulerDriver driver(5, {});
  SetUp(driver, 5);
  driver.RunFor(Millis(3000));
  // A pool without workers asks for the idle VMs for a second.
  auto config = OnePool();
  config.pools_["off"] = { "off", false, true };
  auto asking = config;
  asking.pools_["q"] = { "q", false, false };
  driver.SetConfig(asking);
  driver.RunFor(Millis(1000));
  REQUIRE_FALSE(driver.movedVms_.empty());
  driver.SetConfig(config);
  driver.Submit(LongRunningJob(1, 5));
  driver.RunFor(Millis(12000));
  REQUIRE(CountLongRunningTasks(driver) == 5);
  for (const auto& vm : std::set<std::string>(driver.movedVms_.begin(),
                                              driver.movedVms_.end())) {
    CAPTURE(vm);
    const auto maintained = driver.maintainedVms_.size();
    driver.StartWave(Wave(maintained + 4, 1, 1, { vm }));
    CHECK(RunUntilMaintained(driver, maintained + 1, Millis(5000)) <=
          Millis(1000));
    driver.RunFor(Millis(5000));
  }
}

namespace {

/// Workers of the state that are the destinations of runs, by task.
std::map<TaskKey, const WorkerEntry*>
Destinations(const SchedulerDriver& aDriver)
{
  std::map<TaskKey, const WorkerEntry*> destinations;
  for (const auto& [number, view] : aDriver.Current().Views()) {
    for (const auto& [task, run] : view.runs_) {
      if (run.destination_ != 0) {
        destinations[task] =
          aDriver.Current().State().FindWorker(run.destination_);
      }
    }
  }
  return destinations;
}

/// Ends the worker's process and begins its next life under the same id, which
/// reports itself at once.
void
RestartAtOnce(SchedulerDriver& aDriver, const std::string& aId)
{
  aDriver.Crash(aId);
  aDriver.Workers().at(aId).up_ = true;
  aDriver.AddWorker(aId, "p");
}

/// Runs for a time in which no stop of the worker's tasks ends; the number of
/// its tasks that are being stopped.
std::size_t
RunWithStopsHeldUp(SchedulerDriver& aDriver,
                   const std::string& aId,
                   Millis aTime)
{
  std::size_t stopping = 0;
  const auto until = aDriver.Now() + aTime;
  while (aDriver.Now() < until) {
    aDriver.RunFor(Millis(10));
    stopping = 0;
    for (auto& [task, run] : aDriver.Workers().at(aId).runs_) {
      stopping += run.isStopping_ ? 1 : 0;
      run.endsAt_ = run.isStopping_ ? until + kSample : run.endsAt_;
    }
  }
  return stopping;
}

} // namespace

// Fault: the worker that a task is moved to restarts while the task is being
// stopped. Guards against a leader that ends by itself (review/7) when the next
// task of the step, which has to be in the same rack, is moved; and against
// room that is kept on no worker, while the task has no place.
TEST_CASE("a task whose new worker restarts gets another place")
{
  struct Row
  {
    const char* name_;
    bool sameRack_;
    /// Memory of the new worker before and after, in units of a task's.
    std::int64_t before_;
    std::int64_t after_;
    /// Memory of a further worker.
    std::int64_t other_;
    /// Tasks with a place before and after the restart.
    std::size_t placed_;
    std::size_t placedAgain_;
  };
  const auto row =
    GENERATE(Row{ "room for both tasks again", false, 2, 2, 0, 2, 2 },
             Row{ "same rack", true, 2, 2, 0, 2, 2 },
             Row{ "room on another worker", true, 2, 0, 2, 2, 2 },
             Row{ "room for one task", true, 2, 1, 0, 2, 1 },
             Row{ "no room", true, 2, 0, 0, 2, 0 },
             Row{ "room for the other task as well", true, 1, 2, 0, 1, 2 });
  INFO(row.name_);
  constexpr std::int64_t kTaskMb = 1000;
  SchedulerDriver driver(7, {});
  driver.maxStopMs_ = 1;
  // The first worker is the one that the tasks are moved to.
  driver.memoryMb_["w0"] = 0;
  SetUp(driver, 3);
  auto spec = LongRunning(1, 4, { 500, kTaskMb, 0 }, 2);
  spec.steps_[0].sameRack_ = row.sameRack_;
  spec.steps_[0].absenceBudget_ = 2;
  driver.Submit(spec);
  driver.RunFor(Millis(1000));
  REQUIRE(driver.Workers().at("w1").runs_.size() == 2);
  REQUIRE(driver.Workers().at("w2").runs_.size() == 2);
  driver.memoryMb_["w0"] = row.before_ * kTaskMb;
  driver.RunFor(Millis(2000));

  driver.StartWave(Wave(4, 1, 60000, { "vm-w1" }));
  REQUIRE(RunWithStopsHeldUp(driver, "w1", Millis(200)) == row.placed_);
  const auto first = Destinations(driver);
  REQUIRE(first.size() == row.placed_);
  REQUIRE(first.begin()->second->id_ == "w0");
  driver.memoryMb_["w0"] = row.after_ * kTaskMb;
  RestartAtOnce(driver, "w0");
  if (row.other_ > 0) {
    driver.memoryMb_["w3"] = row.other_ * kTaskMb;
    driver.AddWorker("w3", "p");
  }
  RunWithStopsHeldUp(driver, "w1", Millis(500));
  const auto second = Destinations(driver);
  CHECK(second.size() == row.placedAgain_);
  const std::string expected = row.other_ > 0 ? "w3" : "w0";
  for (const auto& [task, worker] : second) {
    CHECK((worker != nullptr && worker->id_ == expected));
  }
  driver.RunFor(Millis(1500));
  CHECK(CountLongRunningTasks(driver) == 2 + row.placedAgain_);
  CHECK(driver.Seen().empty());
}

// Model: waves that move tasks, and workers that restart at once, most often
// those that a task is moved to. Guards against what review/7 shows on any
// order of the two; a leader without its fix ends at seed 12.
TEST_CASE("tasks move while workers restart, with 200 seeds")
{
  constexpr std::uint32_t kTasks = 4;
  constexpr std::size_t kJobs = 3;
  for (std::uint32_t seed = 1; seed <= 200; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    const auto below = [&random](unsigned aLimit) {
      return static_cast<int>(random() % aLimit);
    };
    const auto randomWorker = [&] { return "w" + std::to_string(below(5)); };
    SchedulerDriver driver(seed, {});
    driver.maxStopMs_ = 900;
    SetUp(driver, 5);
    for (JobId job = 1; job <= kJobs; ++job) {
      auto spec = LongRunning(job, kTasks, { 300, 500 + below(600), 0 }, 2);
      spec.steps_[0].sameRack_ = true;
      spec.steps_[0].absenceBudget_ = 2;
      driver.Submit(spec);
      driver.RunFor(Millis(300));
    }
    driver.RunFor(Millis(1500));
    for (int step = 0; step < 90; ++step) {
      if (step % 3 == 0) {
        driver.StartWave(Wave(step + 4, 1, 20000, { "vm-" + randomWorker() }));
      }
      driver.RunFor(Millis(100 + below(300)));
      auto victim = below(6) == 0 ? randomWorker() : std::string();
      for (const auto& [task, worker] : Destinations(driver)) {
        victim = worker != nullptr && below(2) == 0 ? worker->id_ : victim;
      }
      if (!victim.empty() && driver.Workers().at(victim).up_) {
        RestartAtOnce(driver, victim);
      }
    }
    driver.RunFor(Millis(60000));
    CHECK(CountLongRunningTasks(driver) == kTasks * kJobs);
    for (const auto& [id, wave] : driver.Committed().Waves()) {
      CHECK(wave.completed_);
    }
    CHECK(driver.Seen().empty());
  }
}
