#pragma once

#include "workload/test/scheduler_driver.h"

#include <catch2/catch.hpp>

#include <string>

/// Pools and jobs that tests of the scheduler share.
namespace acaciahill::test {

/// One pool "p" with the queue "h/q/".
inline WorkloadConfig
OnePool()
{
  WorkloadConfig config;
  config.version_ = 1;
  config.pools_["p"] = { "p", false, false };
  config.queues_["h/q/"] = { "h/q/", "q", "p", 0, 50, 1.6, 600, 3000 };
  return config;
}

/// A job of three tasks and then two.
inline JobSpec
TwoSteps(JobId aId)
{
  JobSpec spec;
  spec.id_ = aId;
  spec.queue_ = "h/q/";
  spec.payload_ = "text";
  StepSpec first;
  first.tasks_ = 3;
  first.need_ = { 1000, 500, 0 };
  first.estimatedMs_ = 500;
  auto second = first;
  second.tasks_ = 2;
  second.after_ = { 0 };
  spec.steps_ = { first, second };
  return spec;
}

inline void
AddWorkers(SchedulerDriver& aDriver, int aCount)
{
  for (int i = 0; i < aCount; ++i) {
    aDriver.AddWorker("w" + std::to_string(i), "p");
  }
}

/// VMs may be moved between the pool and one in which they are off.
inline void
LetMoveVms(SchedulerDriver& aDriver)
{
  aDriver.settings_.movesVms_ = true;
  aDriver.ChangeLeader();
  auto config = OnePool();
  config.pools_["off"] = { "off", false, true };
  aDriver.SetConfig(config);
}

inline JobPhase
PhaseOf(const SchedulerDriver& aDriver, JobId aJob)
{
  const auto* job = aDriver.Committed().FindJob(aJob);
  REQUIRE(job != nullptr);
  return job->phase_;
}

/// A job of tasks that last, at most one on a worker.
inline JobSpec
Lasting(JobId aId, std::uint32_t aTasks)
{
  auto spec = TwoSteps(aId);
  spec.steps_.pop_back();
  spec.steps_[0].tasks_ = aTasks;
  spec.steps_[0].isLongRunning_ = true;
  spec.steps_[0].maxPerWorker_ = 1;
  spec.steps_[0].absenceBudget_ = 1;
  return spec;
}

/// Tasks that last and are on workers which are up.
inline std::size_t
LastingRuns(SchedulerDriver& aDriver)
{
  std::size_t runs = 0;
  for (const auto& [id, worker] : aDriver.Workers()) {
    for (const auto& [task, run] : worker.runs_) {
      runs += worker.up_ && run.isLongRunning_ ? 1 : 0;
    }
  }
  return runs;
}

} // namespace acaciahill::test
