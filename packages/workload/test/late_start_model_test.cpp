#include "workload/test/scheduler_jobs.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace acaciahill;
using namespace acaciahill::test;

// Guards against two runs of a task at once (TWICE, review/12): its worker is
// away for longer than the lease, and back before a start order without an
// answer is carried out. An end as done does not count here, see
// overtaken_start_test.cpp.
TEST_CASE("no task runs twice at once when late orders outlive their worker")
{
  constexpr std::uint32_t kSeeds = 150;
  constexpr JobId kJobs = 40;
  const auto crashTime =
    GENERATE(Millis(600), Millis(4000), Millis(6500), Millis(8500));
  INFO("away for " << crashTime.count() << " ms");
  std::vector<std::string> failedSeeds;
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    const auto share = [seed](std::uint32_t aShift, int aMost) {
      return ((seed >> aShift) & 1U) != 0 ? aMost : 0;
    };
    SchedulerDriver driver(
      seed, { share(0, 60), 100, 6, share(2, 4), share(3, 4), 20, 0, 0 });
    driver.carriesOutOvertaken_ = true;
    driver.crashTime_ = crashTime;
    driver.settings_.lease_ = Millis(4000);
    driver.ChangeLeader();
    driver.SetConfig(OnePool());
    AddWorkers(driver, 4);
    driver.RunFor(Millis(300));
    for (JobId job = 1; job <= kJobs; ++job) {
      driver.Submit(TwoStepJob(job));
      driver.RunFor(Millis(250));
    }
    driver.StopFaults();
    driver.RunFor(Millis(60000));
    for (const auto& violation : driver.Seen()) {
      if (violation.find("two runs at once") != std::string::npos) {
        failedSeeds.push_back("seed " + std::to_string(seed) + ": " +
                              violation);
        break;
      }
    }
    for (const auto job : driver.Accepted()) {
      CHECK(IsOver(PhaseOf(driver, job)));
    }
  }
  CHECK_THAT(failedSeeds, Catch::Equals(std::vector<std::string>{}));
}
