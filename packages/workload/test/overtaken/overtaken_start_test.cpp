#include "workload/test/scheduler_jobs.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace acaciahill;
using namespace acaciahill::test;

// Guards against a task that starts again after it was done (TWICE, issue 57):
// its first start order got no answer, and the next incarnation of that worker,
// which knows no fence, carries it out seconds later.
TEST_CASE("no task starts again after it was done, with 600 seeds")
{
  constexpr std::uint32_t kSeeds = 600;
  constexpr JobId kJobs = 40;
  std::vector<std::string> failedSeeds;
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    const auto share = [seed](std::uint32_t aShift, int aMost) {
      return ((seed >> aShift) & 1U) != 0 ? aMost : 0;
    };
    SchedulerDriver driver(
      seed,
      { share(0, 60), 60, 4, share(3, 4), share(4, 4), 20, share(5, 8), 500 });
    driver.carriesOutOvertaken_ = true;
    driver.SetConfig(OnePool());
    AddWorkers(driver, 4);
    driver.RunFor(Millis(300));
    for (JobId job = 1; job <= kJobs; ++job) {
      driver.Submit(TwoStepJob(job));
      driver.RunFor(Millis(250));
    }
    driver.StopFaults();
    driver.RunFor(Millis(40000));
    if (!driver.Seen().empty()) {
      failedSeeds.push_back("seed " + std::to_string(seed) + ": " +
                            driver.Seen().front());
    }
    for (const auto job : driver.Accepted()) {
      CHECK(IsOver(PhaseOf(driver, job)));
    }
  }
  CHECK_THAT(failedSeeds, Catch::Equals(std::vector<std::string>{}));
}
