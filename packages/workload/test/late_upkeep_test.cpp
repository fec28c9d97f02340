#include "workload/test/scheduler_jobs.h"

#include <catch2/catch.hpp>

using namespace acaciahill;
using namespace acaciahill::test;

namespace {

/// A job with one task that only the worker with the label can run.
JobSpec
JobOn(JobId aId, const std::string& aLabel)
{
  auto spec = OneStepJob(aId);
  spec.steps_[0].tasks_ = 1;
  spec.steps_[0].label_ = aLabel;
  return spec;
}

} // namespace

// Guards against more VMs of a wave that are down at once than it allows
// (LIMIT, scene late-upkeep of review/13): an order of upkeep got no answer,
// the next list showed its VM as up, another VM was taken down, and then the
// first order was carried out.
TEST_CASE("an upkeep that may still begin counts in the cap of its wave")
{
  constexpr int kWorkers = 5;
  const auto cap = GENERATE(1, 2);
  const auto delay = GENERATE(
    Millis(1000), Millis(1600), Millis(2500), Millis(4000), Millis(11500));
  const auto seed = GENERATE(1U, 2U, 3U);
  INFO("cap " << cap << ", delay " << delay.count() << " ms, seed " << seed);
  SchedulerDriver driver(seed, {});
  driver.SetConfig(OnePool());
  // The last VM is empty first and is ordered first; the others follow it.
  for (int worker = 0; worker < kWorkers; ++worker) {
    driver.labels_["w" + std::to_string(worker)] = { std::to_string(worker) };
  }
  AddWorkers(driver, kWorkers);
  driver.RunFor(Millis(300));
  for (JobId job = 1; job < kWorkers; ++job) {
    driver.runTimes_[job] = Millis(1500);
    driver.Submit(JobOn(job, std::to_string(job - 1)));
  }
  driver.RunFor(Millis(500));
  UpkeepWave wave;
  wave.id_ = 4;
  wave.cap_ = cap;
  wave.dueAtMs_ = 60000;
  for (int worker = 0; worker < kWorkers; ++worker) {
    wave.pendingVms_.push_back("vm-w" + std::to_string(worker));
  }
  driver.upkeepDelay_ = delay;
  driver.StartWave(wave);
  driver.RunFor(Millis(40000));
  CHECK(driver.maxVmsDown_ <= static_cast<std::size_t>(cap));
  CHECK(driver.maintainedVms_.size() == kWorkers);
  CHECK(driver.Committed().Waves().at(4).completed_);
  CHECK(driver.Seen().empty());
}
