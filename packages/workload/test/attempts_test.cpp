#include "workload/test/scheduler_jobs.h"

#include <catch2/catch.hpp>

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
  };
  using enum JobPhase;
  const auto row =
    GENERATE(Row{ "attempts are left", 3, 3, false, false, Completed },
             Row{ "left, other leader", 3, 3, true, false, Completed },
             Row{ "left, gang", 3, 3, false, true, Completed },
             Row{ "none is left", 1, 1, false, false, Failed },
             Row{ "none left, other leader", 1, 1, true, false, Failed },
             Row{ "none left, gang", 1, 1, false, true, Failed },
             Row{ "fewer when it is back", 3, 1, false, false, Failed },
             Row{ "more when it is back", 1, 3, false, false, Completed });
  INFO(row.name_);
  SchedulerDriver::FaultRates faults;
  faults.failedRunPermille_ = 1000;
  SchedulerDriver driver(31, faults);
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
