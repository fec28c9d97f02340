#include "workload/scheduler_base.h"

#include "kernel/log_func.h"
#include "workload/workload_text_func.h"

#include <algorithm>
#include <numeric>

// The life of a run: its order, its stop, its end; leaving workers; pace.

namespace acaciahill {

namespace {

// An order to stop that got no answer is sent again after this time.
constexpr Millis kStopRetry{ 100 };
// Failed ends in a row after which a worker is avoided.
constexpr int kFailuresToAvoid = 3;
constexpr Millis kAvoidFailing{ 4000 };
constexpr Millis kAvoidUnwell{ 1000 };
constexpr Millis kAvoidFull{ 200 };
// Time before a draining worker's end in which tasks that can be resumed are
// stopped there: the stop, its list and a new start have to fit in.
constexpr Millis kLeaveMargin{ 700 };
// Percent of a task that is at work.
constexpr std::int64_t kAtWork = 100;

// Pace of tasks that fill: halved when a tail on their worker is over the high
// share of its target, raised slowly when all tails are under the low one.
constexpr double kHighTail = 0.85;
constexpr double kLowTail = 0.6;
constexpr std::int64_t kPaceStep = 10;
constexpr std::int64_t kFullPace = 100;
// Gauges are of the last half second; a new pace must show in them first.
constexpr Millis kPaceInterval{ 600 };

} // namespace

RunView*
Scheduler::FindRun(std::uint32_t aWorker,
                   const TaskKey& aTask,
                   std::uint32_t aRun)
{
  auto* view = FindView(aWorker);
  if (view == nullptr) {
    return nullptr;
  }
  const auto found = view->runs_.find(aTask);
  return found == view->runs_.end() || found->second.run_ != aRun
           ? nullptr
           : &found->second;
}

void
Scheduler::CloseRun(std::uint32_t aWorker,
                    const TaskKey& aTask,
                    std::uint32_t aRun,
                    RunEnd aEnd,
                    const std::string& aCheckpoint,
                    MonotonicTime aNow)
{
  auto* run = FindRun(aWorker, aTask, aRun);
  if (run == nullptr) {
    return;
  }
  auto& view = views_.at(aWorker);
  view.used_ = Difference(view.used_, ReservedBy(*run));
  const bool lasts = run->isLongRunning_;
  view.runs_.erase(aTask);

  const auto* job = state_.FindJob(aTask.job_);
  const auto before = job->phase_;
  const bool isGang = job->spec_.steps_[aTask.step_].gang_;
  const auto queue = config_.queues_.find(job->spec_.queue_);
  const auto attempts =
    queue == config_.queues_.end() ? 1 : queue->second.attempts_;
  const bool isLast =
    aEnd == RunEnd::Failed && !lasts && FailuresOf(aTask) + 1 >= attempts;
  if (aEnd != RunEnd::Done && aEnd != RunEnd::Stopped) {
    LogInfo("run ended early",
            { { "task", TaskText(aTask) },
              { "run", aRun },
              { "worker", state_.FindWorker(aWorker)->id_ },
              { "end", EndText(aEnd) },
              { "last_attempt", isLast } });
  }
  Decide(RunClosed{ aTask, aRun, aEnd, aCheckpoint, isLast }, aNow);

  job = state_.FindJob(aTask.job_);
  if (IsOver(job->phase_)) {
    if (!IsOver(before)) {
      LogInfo("job ended",
              { { "job", JobText(aTask.job_) },
                { "completed", job->phase_ == JobPhase::Completed },
                { "took_ms", job->endedAtMs_ - job->acceptedAtMs_ } });
      StopRunsOf(aTask.job_);
    }
    return;
  }
  if (isGang) {
    EndGang(aTask, aRun, aEnd, aNow);
  }
  QueueAfter(aTask, aEnd);
}

// One end as done stands for all members, which end together. After any other
// end the rest would wait for the member in vain.
void
Scheduler::EndGang(const TaskKey& aTask,
                   std::uint32_t aRun,
                   RunEnd aEnd,
                   MonotonicTime aNow)
{
  const auto members =
    state_.FindJob(aTask.job_)->spec_.steps_[aTask.step_].tasks_;
  for (std::uint32_t index = 0; index < members; ++index) {
    const TaskKey other{ aTask.job_, aTask.occurrence_, aTask.step_, index };
    const auto* task = state_.FindTask(other);
    if (task == nullptr) {
      // The last member has ended the occurrence.
      return;
    }
    if (task->run_ != aRun || task->state_ == TaskState::Done) {
      continue;
    }
    auto* run = FindRun(task->worker_, other, aRun);
    if (aEnd != RunEnd::Done) {
      if (run != nullptr) {
        run->stopWanted_ = true;
        unsettled_.insert(task->worker_);
      }
    } else if (run != nullptr) {
      CloseRun(task->worker_, other, aRun, RunEnd::Done, {}, aNow);
    } else {
      Decide(RunClosed{ other, aRun, RunEnd::Done, {}, false }, aNow);
    }
  }
}

std::uint32_t
Scheduler::FailuresOf(const TaskKey& aTask) const
{
  const auto& job = *state_.FindJob(aTask.job_);
  if (!job.spec_.steps_[aTask.step_].gang_) {
    return state_.FindTask(aTask)->failures_;
  }
  const auto& tasks =
    job.occurrences_.at(aTask.occurrence_).steps_[aTask.step_];
  return std::accumulate(tasks.begin(),
                         tasks.end(),
                         0U,
                         [](std::uint32_t aSum, const auto& aMember) {
                           return aSum + aMember.failures_;
                         });
}

const std::string&
Scheduler::CheckpointOf(const TaskKey& aTask) const
{
  const auto& job = *state_.FindJob(aTask.job_);
  const auto& own = state_.FindTask(aTask)->checkpoint_;
  if (!job.spec_.steps_[aTask.step_].gang_) {
    return own;
  }
  const auto& tasks =
    job.occurrences_.at(aTask.occurrence_).steps_[aTask.step_];
  const auto saved =
    std::find_if(tasks.begin(), tasks.end(), [](const auto& aMember) {
      return !aMember.checkpoint_.empty();
    });
  return saved == tasks.end() ? own : saved->checkpoint_;
}

void
Scheduler::QueueAfter(const TaskKey& aTask, RunEnd aEnd)
{
  const auto* job = state_.FindJob(aTask.job_);
  const auto occurrence = job->occurrences_.find(aTask.occurrence_);
  if (IsOver(job->phase_) || occurrence == job->occurrences_.end()) {
    return;
  }
  // Its task waits again, or it may have unlocked other steps.
  if (aEnd == RunEnd::Done && !job->spec_.steps_[aTask.step_].isLongRunning_) {
    for (std::uint32_t step = 0; step < job->spec_.steps_.size(); ++step) {
      QueueStep(*job, aTask.occurrence_, step);
    }
  } else {
    QueueStep(*job, aTask.occurrence_, aTask.step_);
  }
}

void
Scheduler::CountEnd(std::uint32_t aWorker,
                    const EndedRun& aEnd,
                    MonotonicTime aNow)
{
  auto& view = views_.at(aWorker);
  if (aEnd.end_ == RunEnd::Done) {
    view.failuresInRow_ = 0;
    const auto& run = view.runs_.at(aEnd.task_);
    if (!run.isLongRunning_) {
      const auto& queue = state_.FindJob(aEnd.task_.job_)->spec_.queue_;
      if (demand_.CountRun(queue, aNow - run.since_)) {
        // The order of the waiting steps was made from estimates.
        QueueAll();
      }
    }
  } else if (aEnd.end_ == RunEnd::Failed) {
    if (++view.failuresInRow_ >= kFailuresToAvoid) {
      LogWarning("avoiding a worker whose tasks fail",
                 { { "worker", state_.FindWorker(aWorker)->id_ },
                   { "failures_in_row", view.failuresInRow_ } });
      view.avoidUntil_ = aNow + kAvoidFailing;
    }
  }
}

void
Scheduler::ReleaseStart(const HeldStart& aStart, MonotonicTime aNow)
{
  auto* run = FindRun(aStart.worker_, aStart.task_, aStart.run_);
  if (run == nullptr || run->phase_ != RunPhase::Logged) {
    return;
  }
  const auto* worker = state_.FindWorker(aStart.worker_);
  if (run->stopWanted_ || worker->draining_) {
    // Nothing was sent, so that the run certainly never begins.
    CloseRun(
      aStart.worker_, aStart.task_, aStart.run_, RunEnd::Rejected, {}, aNow);
    placementDue_ = true;
    return;
  }
  run->phase_ = RunPhase::Sent;
  run->since_ = aNow;
  const auto* job = state_.FindJob(aStart.task_.job_);
  auto target = MakeTarget(aStart.worker_, aNow);
  run->startFence_ = target.fence_;
  actions_.emplace_back(StartRun{ std::move(target),
                                  aStart.task_,
                                  aStart.run_,
                                  job->spec_.payload_,
                                  CheckpointOf(aStart.task_) });
}

void
Scheduler::HandleStart(const StartRun& aOrder,
                       const OrderAnswer& aAnswer,
                       MonotonicTime aNow)
{
  const auto worker = aOrder.target_.worker_;
  if (IsFinal(aOrder.target_, aAnswer, aNow)) {
    return;
  }
  auto* run = FindRun(worker, aOrder.task_, aOrder.run_);
  if (run == nullptr) {
    return;
  }
  auto& view = views_.at(worker);
  switch (aAnswer.outcome_) {
    case OrderOutcome::Taken:
      if (run->phase_ == RunPhase::Sent) {
        run->phase_ = RunPhase::Running;
        run->since_ = aNow;
      }
      return;
    case OrderOutcome::Unknown:
    case OrderOutcome::TooOld:
      // It may be carried out seconds later. A list under a higher fence bars
      // that, and tells whether the run has begun: what is at work goes on.
      if (run->phase_ == RunPhase::Sent) {
        ++view.fenceStep_;
        run->phase_ = RunPhase::Unsure;
        run->since_ = aNow;
        unsettled_.insert(worker);
      }
      return;
    case OrderOutcome::NoRoom:
      view.avoidUntil_ = std::max(view.avoidUntil_, aNow + kAvoidFull);
      break;
    case OrderOutcome::Unwell:
      view.avoidUntil_ = std::max(view.avoidUntil_, aNow + kAvoidUnwell);
      break;
    default:
      break;
  }
  LogInfo("worker refused a start",
          { { "task", TaskText(aOrder.task_) },
            { "run", aOrder.run_ },
            { "worker", aOrder.target_.id_ },
            { "outcome", static_cast<int>(aAnswer.outcome_) } });
  CloseRun(worker, aOrder.task_, aOrder.run_, RunEnd::Rejected, {}, aNow);
  placementDue_ = true;
}

void
Scheduler::HandleStop(const StopRun& aOrder,
                      const OrderAnswer& aAnswer,
                      MonotonicTime aNow)
{
  if (IsFinal(aOrder.target_, aAnswer, aNow)) {
    return;
  }
  auto* run = FindRun(aOrder.target_.worker_, aOrder.task_, aOrder.run_);
  if (run == nullptr) {
    return;
  }
  run->stopOpen_ = false;
  if (aAnswer.outcome_ == OrderOutcome::Taken && !run->stoppedAt_) {
    run->stoppedAt_ = aNow;
  }
}

void
Scheduler::HandlePace(const PaceRun& aOrder,
                      const OrderAnswer& aAnswer,
                      MonotonicTime aNow)
{
  if (IsFinal(aOrder.target_, aAnswer, aNow)) {
    return;
  }
  auto* run = FindRun(aOrder.target_.worker_, aOrder.task_, aOrder.run_);
  if (run != nullptr && aAnswer.outcome_ != OrderOutcome::Taken) {
    // Not known to be in force; the next look decides again.
    run->pace_ = kFullPace;
  }
}

void
Scheduler::StopWanted(MonotonicTime aNow)
{
  for (const auto number : unsettled_) {
    for (auto& [task, run] : views_.at(number).runs_) {
      const bool isSent = run.phase_ != RunPhase::Logged;
      if (!run.stopWanted_ || !isSent || run.stopOpen_ || run.stoppedAt_ ||
          aNow - run.stopSentAt_ < kStopRetry) {
        continue;
      }
      run.stopOpen_ = true;
      run.stopSentAt_ = aNow;
      actions_.emplace_back(
        StopRun{ MakeTarget(number, aNow), task, run.run_ });
    }
  }
}

void
Scheduler::StopRunsOf(JobId aJob)
{
  for (auto& [number, view] : views_) {
    auto run = view.runs_.lower_bound(TaskKey{ aJob, 0, 0, 0 });
    for (; run != view.runs_.end() && run->first.job_ == aJob; ++run) {
      run->second.stopWanted_ = true;
      unsettled_.insert(number);
    }
  }
}

// Tasks that last leave a draining worker as soon as another one can take them,
// and shortly before its end at the latest, like tasks that can be resumed.
void
Scheduler::EvacuateLeaving(MonotonicTime aNow)
{
  const bool isAnyLeaving =
    std::any_of(views_.begin(), views_.end(), [](const auto& aEntry) {
      return aEntry.second.leavesAt_ && !aEntry.second.runs_.empty();
    });
  if (!isAnyLeaving) {
    return;
  }
  const auto usable = UsableWorkers(aNow);
  for (auto& [number, view] : views_) {
    if (!view.leavesAt_) {
      continue;
    }
    const bool isNear = aNow + kLeaveMargin >= *view.leavesAt_;
    for (auto& [task, run] : view.runs_) {
      const auto* job = state_.FindJob(task.job_);
      if (IsOver(job->phase_) || run.stopWanted_) {
        continue;
      }
      const auto& step = job->spec_.steps_[task.step_];
      if (isNear
            ? run.isLongRunning_ || step.checkpoints_
            : run.isLongRunning_ && HasPlaceElsewhere(task, number, usable)) {
        run.stopWanted_ = true;
        unsettled_.insert(number);
      }
    }
  }
}

std::uint32_t
Scheduler::AwayOf(const TaskKey& aTask) const
{
  const auto& job = *state_.FindJob(aTask.job_);
  const auto& tasks =
    job.occurrences_.at(aTask.occurrence_).steps_[aTask.step_];
  std::uint32_t away = 0;
  for (std::uint32_t index = 0; index < tasks.size(); ++index) {
    if (index == aTask.index_) {
      continue;
    }
    const TaskKey other{ aTask.job_, aTask.occurrence_, aTask.step_, index };
    const auto view = views_.find(tasks[index].worker_);
    const RunView* run = nullptr;
    if (tasks[index].state_ == TaskState::Assigned && view != views_.end()) {
      const auto found = view->second.runs_.find(other);
      run = found == view->second.runs_.end() ? nullptr : &found->second;
    }
    const bool isAtWork = run != nullptr && run->phase_ == RunPhase::Running &&
                          run->percent_ >= kAtWork && !run->stopWanted_ &&
                          view->second.missedRenewals_ == 0;
    away += isAtWork ? 0 : 1;
  }
  return away;
}

bool
Scheduler::MayTakeAway(const TaskKey& aTask) const
{
  const auto& step = state_.FindJob(aTask.job_)->spec_.steps_[aTask.step_];
  // A step without a budget names no bound; one task at a time is moved.
  const auto budget = std::max(1U, step.absenceBudget_);
  return AwayOf(aTask) < budget;
}

bool
Scheduler::HasPlaceElsewhere(const TaskKey& aTask,
                             std::uint32_t aWorker,
                             const UsableByPool& aUsable) const
{
  const auto& job = *state_.FindJob(aTask.job_);
  const auto& tasks =
    job.occurrences_.at(aTask.occurrence_).steps_[aTask.step_];
  const auto usable = aUsable.find(state_.FindWorker(aWorker)->pool_);
  if (usable == aUsable.end()) {
    return false;
  }
  auto workers = usable->second;
  std::erase(workers, aWorker);
  return ChooseWorker(
           job.spec_.steps_[aTask.step_], workers, WorkersOfStep(tasks)) != 0;
}

void
Scheduler::PaceFilling(std::uint32_t aWorker, MonotonicTime aNow)
{
  auto& view = views_.at(aWorker);
  double worst = 0;
  for (const auto& [task, run] : view.runs_) {
    if (run.targetMs_ > 0 && run.gauge_) {
      worst = std::max(worst,
                       static_cast<double>(*run.gauge_) /
                         static_cast<double>(run.targetMs_));
    }
  }
  if (aNow - view.pacedAt_ < kPaceInterval) {
    return;
  }
  for (auto& [task, run] : view.runs_) {
    if (!run.usesSpareCores_ || run.phase_ != RunPhase::Running ||
        run.stopWanted_) {
      continue;
    }
    auto pace = run.pace_;
    if (worst > kHighTail) {
      pace = pace > kPaceStep ? pace / 2 : 0;
    } else if (worst < kLowTail) {
      pace = std::min(kFullPace, pace + kPaceStep);
    }
    if (pace != run.pace_) {
      run.pace_ = pace;
      view.pacedAt_ = aNow;
      actions_.emplace_back(
        PaceRun{ MakeTarget(aWorker, aNow), task, run.run_, pace });
    }
  }
}

} // namespace acaciahill
