#include "workload/test/scheduler_jobs.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace acaciahill;
using namespace acaciahill::test;

namespace {

WorkloadConfig
WithAttempts(std::int64_t aAttempts)
{
  auto config = OnePool();
  config.queues_.at("h/q/").attempts_ = aAttempts;
  return config;
}

/// OnePool() without its queue.
WorkloadConfig
WithoutQueue()
{
  auto config = OnePool();
  config.queues_.clear();
  return config;
}

} // namespace

// Guards against jobs that fail although attempts are left (review/4): a run
// that failed while its queue was not in the configuration counted as the last
// one. Guards also against a run beyond the attempts when the queue is back.
TEST_CASE("a run that fails while its queue is dropped uses up one attempt")
{
  struct Row
  {
    const char* name_;
    std::int64_t attempts_;
    std::int64_t attemptsLater_;
    bool changesLeader_;
    bool gang_;
    JobPhase phase_;
    FailingMembers members_ = FailingMembers::First;
  };
  using enum JobPhase;
  const auto row =
    GENERATE(Row{ "attempts are left", 3, 3, false, false, Completed },
             Row{ "left, other leader", 3, 3, true, false, Completed },
             Row{ "left, gang", 3, 3, false, true, Completed },
             Row{ "left, gang fails together",
                  3,
                  3,
                  false,
                  true,
                  Completed,
                  FailingMembers::All },
             Row{ "none is left", 1, 1, false, false, Failed },
             Row{ "none left, other leader", 1, 1, true, false, Failed },
             Row{ "none left, gang", 1, 1, false, true, Failed },
             Row{ "fewer when it is back", 3, 1, false, false, Failed },
             Row{ "more when it is back", 1, 3, false, false, Completed });
  INFO(row.name_);
  SchedulerDriver::FaultRates faults;
  faults.failedRunPermille_ = 1000;
  SchedulerDriver driver(31, faults);
  driver.failingMembers_ = row.members_;
  driver.SetConfig(WithAttempts(row.attempts_));
  AddWorkers(driver, 2);
  driver.RunFor(Millis(300));
  auto spec = TwoStepJob(7);
  spec.steps_[0].gang_ = row.gang_;
  driver.Submit(spec);
  driver.RunFor(Millis(200));
  REQUIRE(driver.firstStarts_.size() == 3);

  driver.SetConfig(WithoutQueue());
  driver.RunFor(Millis(1500));
  CHECK(PhaseOf(driver, 7) == Running);
  driver.StopFaults();
  if (row.changesLeader_) {
    driver.RunFor(Millis(500));
    driver.ChangeLeader();
  }
  driver.SetConfig(WithAttempts(row.attemptsLater_));
  driver.RunFor(Millis(5000));
  CHECK(PhaseOf(driver, 7) == row.phase_);
  // The second step depends on the first.
  CHECK(driver.firstStarts_.size() == (row.phase_ == Completed ? 5 : 3));
  CHECK(driver.Seen().empty());
}

namespace {

/// Runs in which a member of the gang of the job's first step failed.
std::set<std::uint32_t>
FailedRunsOfGang(const SchedulerDriver& aDriver, const JobSpec& aSpec)
{
  std::set<std::uint32_t> runs;
  for (std::uint32_t index = 0; index < aSpec.steps_[0].tasks_; ++index) {
    const auto failed = aDriver.failedRuns_.find({ aSpec.id_, 0, 0, index });
    if (failed != aDriver.failedRuns_.end()) {
      runs.insert(failed->second.begin(), failed->second.end());
    }
  }
  return runs;
}

} // namespace

// Fault: workers that fail all, so that the members of a gang fail together.
// Guards against a job that fails although attempts are left (review/8): each
// member's end counted as an attempt. Guards also against a run beyond the
// attempts, when another member fails in each run or the leader changes between
// the ends of one run.
TEST_CASE("a failed run of a gang uses up one attempt")
{
  const auto members = GENERATE(
    FailingMembers::First, FailingMembers::InTurn, FailingMembers::All);
  const std::int64_t attempts = GENERATE(1, 2, 3, 5);
  const bool changesLeader = GENERATE(false, true);
  CAPTURE(static_cast<int>(members), attempts, changesLeader);
  SchedulerDriver::FaultRates faults;
  faults.failedRunPermille_ = 1000;
  faults.leaderChangePermille_ = changesLeader ? 20 : 0;
  for (std::uint32_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    SchedulerDriver driver(seed, faults);
    driver.failingMembers_ = members;
    driver.SetConfig(WithAttempts(attempts));
    AddWorkers(driver, 4);
    driver.RunFor(Millis(300));
    auto spec = OneStepJob(7);
    spec.steps_[0].gang_ = true;
    spec.steps_[0].tasks_ = 4;
    spec.steps_[0].maxPerWorker_ = 2;
    while (driver.Accepted().empty()) {
      driver.Submit(spec);
      driver.RunFor(Millis(100));
    }
    const auto until = driver.Now() + Millis(60000);
    while (PhaseOf(driver, 7) != JobPhase::Failed && driver.Now() < until) {
      driver.RunFor(Millis(100));
    }
    CHECK(PhaseOf(driver, 7) == JobPhase::Failed);
    driver.RunFor(Millis(5000));
    CHECK(FailedRunsOfGang(driver, spec).size() ==
          static_cast<std::size_t>(attempts));
    CHECK(driver.Seen().empty());
  }
}

// Guards against a count that a later run or a snapshot loses.
TEST_CASE("failed runs of a gang stay counted in a snapshot")
{
  Workload state;
  auto spec = OneStepJob(7);
  spec.steps_[0].gang_ = true;
  state.Apply({ 1, { JobAccepted{ spec } } });
  for (std::uint32_t run = 1; run <= 4; ++run) {
    CAPTURE(run);
    WorkloadBatch starts{ run, {} };
    WorkloadBatch ends{ run, {} };
    // One member fails, then another one, then all, then the first one again.
    for (std::uint32_t index = 0; index < 3; ++index) {
      const bool fails = run == 3 || (run == 4 ? 0 : run - 1) == index;
      const TaskKey task{ 7, 0, 0, index };
      starts.events_.emplace_back(RunAssigned{ task, run, 1 });
      ends.events_.emplace_back(RunClosed{
        task, run, fails ? RunEnd::Failed : RunEnd::Broken, {}, false });
    }
    state.Apply(starts);
    state.Apply(ends);
    auto copy = Workload::Decode(state.Encode());
    REQUIRE(IsOk(copy));
    state = ValueOf(std::move(copy));
    std::uint32_t failures = 0;
    for (std::uint32_t index = 0; index < 3; ++index) {
      failures =
        std::max(failures, state.FindTask({ 7, 0, 0, index })->failures_);
    }
    CHECK(failures == run);
  }
}
