#include "workload/scheduler_base.h"

#include "kernel/log_func.h"
#include "workload/workload_text_func.h"

// Attempts of tasks: how many runs may fail before a job fails.

namespace acaciahill {

// The configuration may change while a job waits. As long as its queue is not
// in it, no run can start, and whether the budget is spent stays open.
bool
Scheduler::IsBudgetSpent(const JobEntry& aJob, std::uint32_t aFailures) const
{
  const auto queue = config_.queues_.find(aJob.spec_.queue_);
  return queue != config_.queues_.end() && aFailures > 0 &&
         static_cast<std::int64_t>(aFailures) >= queue->second.attempts_;
}

std::optional<TaskKey>
Scheduler::FindTaskWithoutAttempts(const JobEntry& aJob) const
{
  if (IsOver(aJob.phase_)) {
    return std::nullopt;
  }
  for (const auto& [number, occurrence] : aJob.occurrences_) {
    for (std::uint32_t step = 0; step < occurrence.steps_.size(); ++step) {
      const auto& tasks = occurrence.steps_[step];
      if (StepOf(aJob, step).isLongRunning_) {
        continue;
      }
      for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        const TaskKey task{ aJob.spec_.id_, number, step, index };
        if (tasks[index].state_ == TaskState::Waiting &&
            IsBudgetSpent(aJob, tasks[index].failures_)) {
          return task;
        }
      }
    }
  }
  return std::nullopt;
}

void
Scheduler::FailJobsWithoutAttempts(MonotonicTime aNow)
{
  std::vector<TaskKey> spent;
  for (const auto& [id, job] : state_.Jobs()) {
    if (const auto task = FindTaskWithoutAttempts(job)) {
      spent.push_back(*task);
    }
  }
  for (const auto& task : spent) {
    LogInfo("job has no attempts left under the new configuration",
            { { "task", TaskText(task) }, { "config", config_.version_ } });
    Decide(
      RunClosed{ task, state_.FindTask(task)->run_, RunEnd::Failed, {}, true },
      aNow);
    RequestStopsOfJob(task.job_);
  }
}

} // namespace acaciahill
