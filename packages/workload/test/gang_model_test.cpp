#include "workload/test/scheduler_jobs.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace acaciahill;
using namespace acaciahill::test;

namespace {

constexpr int kWorkers = 4;

/// A job whose last step is a gang of one to three tasks; a single one needs
/// the label of one worker, so that it waits while that worker is cut off.
JobSpec
GangJob(JobId aId)
{
  auto spec = TwoStepJob(aId);
  const auto tasks = static_cast<std::uint32_t>(aId % 3 + 1);
  if (aId % 2 == 0) {
    spec.steps_.pop_back();
  }
  auto& gang = spec.steps_.back();
  gang.gang_ = true;
  gang.tasks_ = tasks;
  if (tasks == 1) {
    gang.label_ = "l" + std::to_string(aId % kWorkers);
  }
  return spec;
}

} // namespace

// Guards against a leader that crashes (review/11): a gang ends on a worker
// that is cut off for longer than its lease, and the late end completes the
// job.
TEST_CASE("jobs with gangs complete while their workers are cut off")
{
  constexpr std::uint32_t kSeeds = 60;
  constexpr JobId kJobs = 40;
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    SchedulerDriver driver(seed,
                           { .lostAnswerPermille_ = 20,
                             .workerPartitionPermille_ = 6,
                             .leaderChangePermille_ = seed % 2 == 0 ? 2 : 0 });
    for (int worker = 0; worker < kWorkers; ++worker) {
      const auto number = std::to_string(worker);
      driver.labels_["w" + number] = { "l" + number };
    }
    driver.SetConfig(OnePool());
    AddWorkers(driver, kWorkers);
    driver.RunFor(Millis(300));
    for (JobId job = 1; job <= kJobs; ++job) {
      driver.Submit(GangJob(job));
      driver.RunFor(Millis(250));
    }
    driver.StopFaults();
    driver.RunFor(Millis(40000));
    CHECK_THAT(driver.Seen(), Catch::Equals(Violations{}));
    for (const auto job : driver.Accepted()) {
      CHECK(PhaseOf(driver, job) == JobPhase::Completed);
    }
  }
}
