#include "workload/scheduler_base.h"

#include "kernel/log_func.h"
#include "workload/placement_obstacle_func.h"
#include "workload/workload_text_func.h"

#include <algorithm>
#include <array>

// Long-running tasks that wait for a worker: since when, and for what.

namespace acaciahill {

namespace {

constexpr Millis kWaitingReportInterval{ 2000 };
// Steps in one report; a lost availability zone can leave hundreds waiting.
constexpr std::size_t kMaxReportedSteps = 20;
// Tasks that wait longer are logged once they are placed.
constexpr Millis kLongWait{ 1000 };

constexpr auto kObstacles =
  static_cast<std::size_t>(PlacementObstacle::ShortTasks) + 1;

} // namespace

void
Scheduler::NoteWaitingTasks(const std::set<ReadyStep>& aReady,
                            MonotonicTime aNow)
{
  for (const auto& step : aReady) {
    const auto* job = step.isLongRunning_ ? state_.FindJob(step.job_) : nullptr;
    if (job == nullptr || IsOver(job->phase_)) {
      continue;
    }
    const auto& tasks = TasksOf(*job, step.occurrence_, step.step_);
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
      if (tasks[index].state_ == TaskState::Waiting) {
        waitingSince_.try_emplace(
          TaskKey{ step.job_, step.occurrence_, step.step_, index }, aNow);
      }
    }
  }
}

void
Scheduler::ReportEndOfWait(const TaskKey& aTask,
                           const UsableWorker& aWorker,
                           MonotonicTime aNow)
{
  const auto wait = waitingSince_.extract(aTask);
  if (wait.empty() || aNow - wait.mapped() < kLongWait) {
    return;
  }
  LogInfo("a long-running task is placed after a wait",
          { { "task", TaskText(aTask) },
            { "worker", aWorker.entry_->id_ },
            { "vm", aWorker.entry_->vm_ },
            { "waited_ms", (aNow - wait.mapped()).count() } });
}

void
Scheduler::ForgetEndedWaits()
{
  std::erase_if(waitingSince_, [this](const auto& aEntry) {
    const auto* job = state_.FindJob(aEntry.first.job_);
    return job == nullptr || IsOver(job->phase_);
  });
}

void
Scheduler::ReportWaitingTasks(MonotonicTime aNow)
{
  if (aNow - waitingTasksReportedAt_ < kWaitingReportInterval) {
    return;
  }
  waitingTasksReportedAt_ = aNow;
  std::size_t reported = 0;
  for (const auto& [pool, ready] : ready_) {
    for (const auto& step : ready) {
      const auto* job =
        step.isLongRunning_ ? state_.FindJob(step.job_) : nullptr;
      if (job == nullptr || IsOver(job->phase_)) {
        continue;
      }
      if (reported++ < kMaxReportedSteps) {
        ReportWaitingStep(pool, step, aNow);
      }
    }
  }
  if (reported > kMaxReportedSteps) {
    LogInfo("more long-running steps wait for workers",
            { { "steps", reported }, { "reported", kMaxReportedSteps } });
  }
}

void
Scheduler::ReportWaitingStep(const std::string& aPool,
                             const ReadyStep& aReady,
                             MonotonicTime aNow) const
{
  const auto& job = *state_.FindJob(aReady.job_);
  const auto& step = StepOf(job, aReady.step_);
  const auto& tasks = TasksOf(job, aReady.occurrence_, aReady.step_);
  const auto peers = CountTasksByWorker(tasks);
  std::array<std::size_t, kObstacles> workers{};
  for (const auto& [number, view] : views_) {
    const auto& worker = *state_.FindWorker(number);
    if (worker.pool_ != aPool) {
      continue;
    }
    const auto onWorker = peers.find(number);
    auto obstacle = ObstacleOfWorker(worker, view, aNow);
    if (obstacle == PlacementObstacle::None) {
      obstacle = ObstacleOfStep(step,
                                worker,
                                view,
                                Difference(worker.capacity_, view.used_),
                                onWorker == peers.end() ? 0 : onWorker->second);
    }
    ++workers.at(static_cast<std::size_t>(obstacle));
  }
  const auto count = [&workers](PlacementObstacle aObstacle) {
    return workers.at(static_cast<std::size_t>(aObstacle));
  };
  const auto waiting =
    std::count_if(tasks.begin(), tasks.end(), [](const auto& aTask) {
      return aTask.state_ == TaskState::Waiting;
    });
  auto since = aNow;
  const TaskKey first{ aReady.job_, aReady.occurrence_, aReady.step_, 0 };
  for (auto wait = waitingSince_.lower_bound(first);
       wait != waitingSince_.end() && IsSameStep(wait->first, first);
       ++wait) {
    since = std::min(since, wait->second);
  }
  LogInfo(
    "long-running tasks wait for a worker",
    { { "job", JobText(aReady.job_) },
      { "step", aReady.step_ },
      { "pool", aPool },
      { "tasks", step.tasks_ },
      { "waiting", waiting },
      { "waited_ms", (aNow - since).count() },
      { "most_per_worker", step.maxPerWorker_ },
      { "workers_with_room", count(PlacementObstacle::None) },
      { "with_short_tasks", count(PlacementObstacle::ShortTasks) },
      { "held_by_long_running", count(PlacementObstacle::LongRunningTasks) },
      { "with_peers", count(PlacementObstacle::Peers) },
      { "without_label", count(PlacementObstacle::Label) },
      { "too_small", count(PlacementObstacle::Size) },
      { "evacuating", count(PlacementObstacle::Evacuating) },
      { "draining", count(PlacementObstacle::Draining) },
      { "silent", count(PlacementObstacle::Silent) },
      { "unconfirmed", count(PlacementObstacle::Unconfirmed) },
      { "avoided", count(PlacementObstacle::Avoided) } });
}

} // namespace acaciahill
