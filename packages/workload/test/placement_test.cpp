#include "workload/test/scheduler_jobs.h"

#include "workload/room_shortage_base.h"

#include <catch2/catch.hpp>

using namespace acaciahill;
using namespace acaciahill::test;

// Guards against jobs that never start in an empty pool (review/2): after 24
// steps without a worker a pool counted as full, also if these waited for a
// label or a size that no worker had.
TEST_CASE("steps that cannot be placed do not keep late jobs from starting")
{
  struct Row
  {
    const char* name_;
    std::string label_;
    TaskNeed need_;
    bool gang_;
    std::uint32_t tasks_;
  };
  const auto row =
    GENERATE(Row{ "no such label", "b", { 1000, 500, 0 }, false, 1 },
             Row{ "too many cores", "", { 64000, 500, 0 }, false, 1 },
             Row{ "too much memory", "", { 1000, 64000, 0 }, false, 1 },
             Row{ "no accelerator", "", { 1000, 500, 1 }, false, 1 },
             Row{ "too large a gang", "", { 1000, 500, 0 }, true, 60 });
  INFO(row.name_);
  SchedulerDriver driver(21, {});
  driver.SetConfig(OnePool());
  AddWorkers(driver, 3);
  driver.RunFor(Millis(300));
  constexpr JobId kHopeless = 30;
  for (JobId id = 1; id <= kHopeless; ++id) {
    auto spec = OneStepJob(id);
    spec.steps_[0].label_ = row.label_;
    spec.steps_[0].need_ = row.need_;
    spec.steps_[0].gang_ = row.gang_;
    spec.steps_[0].tasks_ = row.tasks_;
    driver.Submit(spec);
  }
  driver.RunFor(Millis(3000));
  // More than the pool holds for some seconds, so that the last ones are late.
  constexpr JobId kLast = 60;
  for (JobId id = kHopeless + 1; id <= kLast; ++id) {
    driver.Submit(OneStepJob(id));
  }
  driver.RunFor(Millis(20000));
  for (JobId id = kHopeless + 1; id <= kLast; ++id) {
    INFO("job " << id);
    CHECK(PhaseOf(driver, id) == JobPhase::Completed);
  }
  CHECK(PhaseOf(driver, 1) == JobPhase::Queued);
  CHECK(driver.Seen().empty());
}

// Guards against skipping a step for a need that it does not have.
TEST_CASE("a shortage covers only needs that are at least as large")
{
  const PlacementNeed known{ { 2000, 500, 0 }, "a", 3, 2 };
  struct Row
  {
    PlacementNeed need_;
    bool isCovered_;
  };
  const auto row = GENERATE(Row{ { { 2000, 500, 0 }, "a", 3, 2 }, true },
                            Row{ { { 2500, 900, 1 }, "a", 4, 1 }, true },
                            Row{ { { 1999, 500, 0 }, "a", 3, 2 }, false },
                            Row{ { { 2000, 499, 0 }, "a", 3, 2 }, false },
                            Row{ { { 2000, 500, 0 }, "b", 3, 2 }, false },
                            Row{ { { 2000, 500, 0 }, "", 3, 2 }, false },
                            Row{ { { 2000, 500, 0 }, "a", 2, 2 }, false },
                            Row{ { { 2000, 500, 0 }, "a", 3, 3 }, false },
                            Row{ { { 2000, 500, 0 }, "a", 3, 0 }, false });
  RoomShortage shortage;
  CHECK_FALSE(shortage.Covers(row.need_));
  shortage.Add(known);
  CHECK(shortage.Covers(row.need_) == row.isCovered_);
  // A need that no worker at all has room for covers those with a label.
  shortage.Add({ { 1000, 400, 0 }, "", 1, 0 });
  CHECK(shortage.Covers(row.need_));
}

// Load: a full pool of 120 workers with 300 waiting steps, as in a turn. Guards
// against a leader that examines all workers again for many of these steps at
// each decision, and answers late.
TEST_CASE("a full pool is examined once a decision for each need")
{
  constexpr int kWorkers = 120;
  SchedulerDriver driver(22, {});
  driver.SetConfig(OnePool());
  AddWorkers(driver, kWorkers);
  driver.RunFor(Millis(300));
  for (JobId id = 1; id <= 460; ++id) {
    driver.runTimes_[id] = Millis(60000);
    driver.Submit(OneStepJob(id));
  }
  driver.RunFor(Millis(300));
  const auto before = driver.Current().ExaminedWorkers();
  constexpr Millis kTime{ 1000 };
  driver.RunFor(kTime);
  const auto decisions = static_cast<std::uint64_t>(kTime / Scheduler::kTick);
  CHECK(driver.Current().ExaminedWorkers() - before <= decisions * kWorkers);
  CHECK(driver.Seen().empty());
}

// Guards against a queue that grows for good with steps of cancelled jobs: a
// pass skips steps for which an earlier one has found no room.
TEST_CASE("steps of cancelled jobs leave the queue though they have no room")
{
  SchedulerDriver driver(23, {});
  driver.SetConfig(OnePool());
  AddWorkers(driver, 2);
  driver.RunFor(Millis(300));
  constexpr JobId kJobs = 30;
  for (JobId id = 1; id <= kJobs; ++id) {
    auto spec = OneStepJob(id);
    spec.steps_[0].label_ = "b";
    driver.Submit(spec);
  }
  driver.RunFor(Millis(500));
  CHECK(driver.Current().CountReadySteps() == kJobs);
  for (JobId id = 2; id <= kJobs; ++id) {
    driver.Cancel(id);
  }
  driver.RunFor(Millis(10000));
  CHECK(driver.Current().CountReadySteps() == 1);
}
