#include "workload/scheduler_base.h"

#include "kernel/log_func.h"
#include "workload/idle_run_func.h"
#include "workload/placement_obstacle_func.h"
#include "workload/workload_text_func.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

// Long-running tasks that wait for a worker, or are assigned and not known to
// run: since when, and for what.

namespace acaciahill {

namespace {

constexpr Millis kWaitingReportInterval{ 2000 };
// Steps, or tasks, in one report; a lost availability zone can leave hundreds
// waiting.
constexpr std::size_t kMaxReportedSteps = 20;
// Tasks that wait longer are logged once they are placed. Assigned ones that
// are not known to run for longer are logged, also once they run again.
constexpr Millis kLongWait{ 1000 };
// Minimum time between two looks for tasks that are not known to run.
constexpr Millis kIdleLookInterval{ 200 };

constexpr auto kObstacles =
  static_cast<std::size_t>(PlacementObstacle::ShortTasks) + 1;

/// The run of the task on its worker; null without one.
const RunView*
RunOf(const std::map<std::uint32_t, WorkerView>& aViews,
      const TaskKey& aKey,
      const TaskEntry& aTask)
{
  const auto view = aViews.find(aTask.worker_);
  if (aTask.state_ != TaskState::Assigned || view == aViews.end()) {
    return nullptr;
  }
  const auto run = view->second.runs_.find(aKey);
  return run == view->second.runs_.end() || run->second.run_ != aTask.run_
           ? nullptr
           : &run->second;
}

/// The time as a number of ms; empty for none.
std::string
MillisText(std::optional<Millis> aTime)
{
  return aTime ? std::to_string(aTime->count()) : std::string();
}

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
  ReportIdleTasks(aNow);
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

void
Scheduler::WatchTask(const TaskKey& aTask, MonotonicTime aSince)
{
  const auto [idle, isNew] = idleTasks_.try_emplace(aTask);
  if (isNew) {
    idle->second.since_ = aSince;
    idle->second.causeSince_ = aSince;
  }
}

// Runs come out of their regular course on these workers only, or by orders
// that are watched from the assignment on.
void
Scheduler::NoteIdleTasks(MonotonicTime aNow)
{
  if (aNow - idleTasksNotedAt_ < kIdleLookInterval) {
    return;
  }
  idleTasksNotedAt_ = aNow;
  for (const auto& [number, view] : views_) {
    const bool isAway = view.missedRenewals_ > 0 || view.isSuperseded_;
    if (!isAway && !unsettledWorkers_.contains(number)) {
      continue;
    }
    for (const auto& [task, run] : view.runs_) {
      const auto cause =
        run.isLongRunning_ ? IdleRunCauseOf(view, run, aNow) : std::nullopt;
      if (cause) {
        const auto since = isAway ? view.lastContactAt_ : aNow;
        idleTasks_.try_emplace(
          task, IdleTask{ since, *cause, since, *cause, Millis(0) });
      }
    }
  }
  std::size_t ended = 0;
  for (auto idle = idleTasks_.begin(); idle != idleTasks_.end();) {
    const bool isIdle = NoteIdleTask(idle->first, idle->second, aNow, ended);
    idle = isIdle ? std::next(idle) : idleTasks_.erase(idle);
  }
  if (ended > kMaxReportedSteps) {
    LogInfo("more long-running tasks run again",
            { { "tasks", ended }, { "reported", kMaxReportedSteps } });
  }
}

bool
Scheduler::NoteIdleTask(const TaskKey& aTask,
                        IdleTask& aIdle,
                        MonotonicTime aNow,
                        std::size_t& aEnded) const
{
  const auto* job = state_.FindJob(aTask.job_);
  const auto* task = state_.FindTask(aTask);
  if (job == nullptr || IsOver(job->phase_) || task == nullptr) {
    return false;
  }
  if (task->state_ == TaskState::Waiting) {
    NoteCause(aIdle, IdleRunCause::NoWorker, aNow);
    return true;
  }
  const auto* run = RunOf(views_, aTask, *task);
  if (run == nullptr) {
    return false;
  }
  const auto cause = IdleRunCauseOf(views_.at(task->worker_), *run, aNow);
  if (cause) {
    NoteCause(aIdle, *cause, aNow);
    return true;
  }
  if (aNow - aIdle.since_ <= kLongWait || ++aEnded > kMaxReportedSteps) {
    return false;
  }
  const auto last = aIdle.cause_;
  const bool isLongest = aNow - aIdle.causeSince_ >= aIdle.longestTime_;
  const auto& worker = *state_.FindWorker(task->worker_);
  LogInfo(
    "a long-running task runs again",
    { { "task", TaskText(aTask) },
      { "run", run->run_ },
      { "worker", worker.id_ },
      { "vm", worker.vm_ },
      { "not_running_ms", (aNow - aIdle.since_).count() },
      { "last_cause", CauseText(last) },
      { "longest_cause", CauseText(isLongest ? last : aIdle.longestCause_) },
      { "longest_cause_ms",
        std::max(aNow - aIdle.causeSince_, aIdle.longestTime_).count() } });
  return false;
}

void
Scheduler::ReportIdleTasks(MonotonicTime aNow) const
{
  std::vector<std::pair<MonotonicTime, TaskKey>> longest;
  for (const auto& [task, idle] : idleTasks_) {
    if (idle.cause_ != IdleRunCause::NoWorker &&
        aNow - idle.since_ > kLongWait) {
      longest.emplace_back(idle.since_, task);
    }
  }
  const auto reported = std::min(longest.size(), kMaxReportedSteps);
  std::partial_sort(longest.begin(),
                    longest.begin() + static_cast<std::ptrdiff_t>(reported),
                    longest.end());
  for (std::size_t i = 0; i < reported; ++i) {
    const auto& task = longest[i].second;
    ReportIdleTask(task, idleTasks_.at(task), aNow);
  }
  if (longest.size() > reported) {
    LogInfo("more long-running tasks are assigned and not known to run",
            { { "tasks", longest.size() }, { "reported", reported } });
  }
}

void
Scheduler::ReportIdleTask(const TaskKey& aTask,
                          const IdleTask& aIdle,
                          MonotonicTime aNow) const
{
  const auto* task = state_.FindTask(aTask);
  const auto* run = task == nullptr ? nullptr : RunOf(views_, aTask, *task);
  if (run == nullptr) {
    return;
  }
  const auto& view = views_.at(task->worker_);
  const auto& worker = *state_.FindWorker(task->worker_);
  const auto endsBy = IdleRunEndsBy(view, *run, aIdle.cause_);
  const bool isUnanswered =
    run->phase_ != RunPhase::Running && !run->isBound_ && run->firstOrderAt_;
  LogInfo(
    "a long-running task is assigned and not known to run",
    { { "task", TaskText(aTask) },
      { "run", run->run_ },
      { "worker", worker.id_ },
      { "vm", worker.vm_ },
      { "cause", CauseText(aIdle.cause_) },
      { "cause_ms", (aNow - aIdle.causeSince_).count() },
      { "not_running_ms", (aNow - aIdle.since_).count() },
      { "wait_left_ms",
        MillisText(endsBy ? std::optional(std::max(Millis(0), *endsBy - aNow))
                          : std::nullopt) },
      { "silent_ms", (aNow - view.lastContactAt_).count() },
      { "absent", view.absentAt_.has_value() },
      { "order_age_ms",
        MillisText(isUnanswered ? std::optional(aNow - *run->firstOrderAt_)
                                : std::nullopt) } });
}

std::optional<MonotonicTime>
Scheduler::IdleRunEndsBy(const WorkerView& aView,
                         const RunView& aRun,
                         IdleRunCause aCause) const
{
  switch (aCause) {
    case IdleRunCause::StartUncommitted:
    case IdleRunCause::StartUnanswered:
    case IdleRunCause::StartDenied: {
      const auto arrival = LastStartArrival(aRun);
      return arrival == MonotonicTime{} ? std::nullopt : std::optional(arrival);
    }
    case IdleRunCause::WorkerSilent:
    case IdleRunCause::MayRunOnNext:
    case IdleRunCause::WorkerReplaced:
    case IdleRunCause::WorkerUnconfirmed:
      return aRun.isBound_ ? aView.leaseExpiresAt_ : UnboundRunsEndBy(aView);
    case IdleRunCause::NoWorker:
    case IdleRunCause::StopUnconfirmed:
      break;
  }
  return std::nullopt;
}

IdleTaskCounts
Scheduler::CountIdleTasks(MonotonicTime aNow) const
{
  IdleTaskCounts counts;
  for (const auto& [pool, ready] : ready_) {
    for (const auto& step : ready) {
      counts.waiting_ += step.isLongRunning_
                           ? static_cast<std::size_t>(CountWaitingTasks(step))
                           : 0;
    }
  }
  for (const auto& [task, idle] : idleTasks_) {
    counts.assigned_ += idle.cause_ == IdleRunCause::NoWorker ? 0 : 1;
    counts.longest_ = std::max(counts.longest_, aNow - idle.since_);
  }
  for (const auto& [key, since] : waitingSince_) {
    const auto* task = state_.FindTask(key);
    if (task != nullptr && task->state_ == TaskState::Waiting) {
      counts.longest_ = std::max(counts.longest_, aNow - since);
    }
  }
  return counts;
}

} // namespace acaciahill
