#pragma once

#include "workload/test/scheduler_driver.h"

#include <catch2/catch.hpp>

#include <string>

/// Configurations and jobs shared by the tests of the scheduler.
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

/// A pool "q" with the queue "h/r/" beside "p", and the spare pool "off".
inline WorkloadConfig
TwoPools()
{
  auto config = OnePool();
  config.pools_["off"] = { "off", false, true };
  config.pools_["q"] = { "q", false, false };
  config.queues_["h/r/"] = { "h/r/", "r", "q", 0, 50, 1.6, 600, 3000 };
  return config;
}

/// A job with a step of three tasks and then one of two.
inline JobSpec
TwoStepJob(JobId aId)
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

/// A job with a step of three tasks.
inline JobSpec
OneStepJob(JobId aId)
{
  auto spec = TwoStepJob(aId);
  spec.steps_.pop_back();
  return spec;
}

inline void
AddWorkers(SchedulerDriver& aDriver, int aCount)
{
  for (int i = 0; i < aCount; ++i) {
    aDriver.AddWorker("w" + std::to_string(i), "p");
  }
}

/// Enables moves of VMs and adds the spare pool "off" to OnePool.
inline void
EnableVmMoves(SchedulerDriver& aDriver)
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

/// A job of long-running tasks, at most one per worker.
inline JobSpec
LongRunningJob(JobId aId, std::uint32_t aTasks)
{
  auto spec = TwoStepJob(aId);
  spec.steps_.pop_back();
  spec.steps_[0].tasks_ = aTasks;
  spec.steps_[0].isLongRunning_ = true;
  spec.steps_[0].maxPerWorker_ = 1;
  spec.steps_[0].absenceBudget_ = 1;
  return spec;
}

/// Number of long-running tasks on workers that are up.
inline std::size_t
CountLongRunningTasks(SchedulerDriver& aDriver)
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
