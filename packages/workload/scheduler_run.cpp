#include "workload/scheduler_base.h"

#include "kernel/log_func.h"
#include "workload/workload_text_func.h"

#include <algorithm>
#include <numeric>

// Stop and end of runs; draining workers.

namespace acaciahill {

namespace {

// A stop order without an answer is sent again after this time.
constexpr Millis kStopRetry{ 100 };
// Failed runs since the last success after which a worker is avoided.
constexpr int kFailuresToAvoid = 3;
// Time for which a worker is avoided after failures.
constexpr Millis kAvoidFailing{ 4000 };
// Tasks that can be resumed are stopped this long before a draining worker
// exits, which leaves time for the stop, the next list and a new start.
constexpr Millis kDrainStopMargin{ 700 };
// RunView::percent_ of a long-running task that is ready.
constexpr std::int64_t kReadyPercent = 100;

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
  const auto* job = state_.FindJob(aTask.job_);
  tenantUsage_.Remove(job->spec_.tenant_, run->need_);
  const bool lasts = run->isLongRunning_;
  const bool isEviction = run->isEviction_;
  view.runs_.erase(aTask);
  view.idleSince_.reset();

  const auto phaseBefore = job->phase_;
  const bool isGang = StepOf(*job, aTask.step_).gang_;
  const auto* task = state_.FindTask(aTask);
  const bool isLast = aEnd == RunEnd::Failed && !lasts && task != nullptr &&
                      IsBudgetSpent(*job, task->failures_ + 1);
  if (aEnd != RunEnd::Done && aEnd != RunEnd::Stopped) {
    LogInfo("run ended before it was done",
            { { "task", TaskText(aTask) },
              { "run", aRun },
              { "worker", state_.FindWorker(aWorker)->id_ },
              { "end", EndText(aEnd) },
              { "last_attempt", isLast } });
  }
  if (lasts && aEnd == RunEnd::Stopped && !IsOver(phaseBefore)) {
    LogInfo("a long-running task was stopped",
            { { "task", TaskText(aTask) },
              { "run", aRun },
              { "worker", state_.FindWorker(aWorker)->id_ },
              { "draining", state_.FindWorker(aWorker)->draining_ },
              { "for_maintenance", isEviction } });
  }
  Decide(RunClosed{ aTask, aRun, aEnd, aCheckpoint, isLast }, aNow);

  job = state_.FindJob(aTask.job_);
  if (IsOver(job->phase_)) {
    if (!IsOver(phaseBefore)) {
      LogInfo("job ended",
              { { "job", JobText(aTask.job_) },
                { "completed", job->phase_ == JobPhase::Completed },
                { "took_ms", job->endedAtMs_ - job->acceptedAtMs_ } });
      RequestStopsOfJob(aTask.job_);
    }
    return;
  }
  if (isGang) {
    EndGang(aTask, aRun, aEnd, aNow);
  }
  QueueAfterRunEnd(aTask, aEnd);
}

// Gang members complete together, so one completion counts for all. After any
// other end the remaining members would wait for the missing one forever.
void
Scheduler::EndGang(const TaskKey& aTask,
                   std::uint32_t aRun,
                   RunEnd aEnd,
                   MonotonicTime aNow)
{
  const auto members = StepOf(*state_.FindJob(aTask.job_), aTask.step_).tasks_;
  for (std::uint32_t index = 0; index < members; ++index) {
    const TaskKey peer{ aTask.job_, aTask.occurrence_, aTask.step_, index };
    const auto* task = state_.FindTask(peer);
    if (task == nullptr) {
      // Closing the last member completed the occurrence.
      return;
    }
    if (task->run_ != aRun || task->state_ == TaskState::Done) {
      continue;
    }
    auto* run = FindRun(task->worker_, peer, aRun);
    if (aEnd != RunEnd::Done) {
      if (run != nullptr) {
        RequestStop(task->worker_, *run, false);
      }
    } else if (run != nullptr) {
      CloseRun(task->worker_, peer, aRun, RunEnd::Done, {}, aNow);
    } else {
      Decide(RunClosed{ peer, aRun, RunEnd::Done, {}, false }, aNow);
    }
  }
}

const std::string&
Scheduler::CheckpointOf(const TaskKey& aTask) const
{
  const auto& job = *state_.FindJob(aTask.job_);
  const auto& own = state_.FindTask(aTask)->checkpoint_;
  if (!StepOf(job, aTask.step_).gang_) {
    return own;
  }
  const auto& tasks = TasksOf(job, aTask.occurrence_, aTask.step_);
  const auto saved =
    std::find_if(tasks.begin(), tasks.end(), [](const auto& aMember) {
      return !aMember.checkpoint_.empty();
    });
  return saved == tasks.end() ? own : saved->checkpoint_;
}

void
Scheduler::QueueAfterRunEnd(const TaskKey& aTask, RunEnd aEnd)
{
  const auto* job = state_.FindJob(aTask.job_);
  const auto occurrence = job->occurrences_.find(aTask.occurrence_);
  if (IsOver(job->phase_) || occurrence == job->occurrences_.end()) {
    return;
  }
  // A completed task may make dependent steps ready; otherwise the task itself
  // waits again.
  if (aEnd == RunEnd::Done && !StepOf(*job, aTask.step_).isLongRunning_) {
    for (std::uint32_t step = 0; step < job->spec_.steps_.size(); ++step) {
      QueueStep(*job, aTask.occurrence_, step);
    }
  } else {
    QueueStep(*job, aTask.occurrence_, aTask.step_);
  }
}

void
Scheduler::RecordRunEnd(std::uint32_t aWorker,
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
        // Run times are known now; the steps were sorted by estimates.
        RequeueAll();
      }
    }
  } else if (aEnd.end_ == RunEnd::Failed) {
    if (++view.failuresInRow_ >= kFailuresToAvoid) {
      LogWarning("avoiding a worker after repeated task failures",
                 { { "worker", state_.FindWorker(aWorker)->id_ },
                   { "failures_in_row", view.failuresInRow_ } });
      view.avoidUntil_ = aNow + kAvoidFailing;
    }
  }
}

void
Scheduler::HandleStop(const StopRun& aOrder,
                      const OrderAnswer& aAnswer,
                      MonotonicTime aNow)
{
  if (HandleCommonOutcome(aOrder.target_, aAnswer, aNow)) {
    return;
  }
  auto* run = FindRun(aOrder.target_.worker_, aOrder.task_, aOrder.run_);
  if (run == nullptr) {
    return;
  }
  run->stopInFlight_ = false;
  run->stopUnanswered_ |= aAnswer.outcome_ == OrderOutcome::Unknown;
  if (aAnswer.outcome_ == OrderOutcome::Taken && !run->stopAcceptedAt_) {
    run->stopAcceptedAt_ = aNow;
  }
}

void
Scheduler::RequestStop(std::uint32_t aWorker, RunView& aRun, bool aIsEviction)
{
  aRun.stopRequested_ = true;
  aRun.isEviction_ = aIsEviction;
  unsettledWorkers_.insert(aWorker);
}

void
Scheduler::SendRequestedStops(MonotonicTime aNow)
{
  for (const auto number : unsettledWorkers_) {
    // Runs that the next incarnation takes over are stopped there.
    if (views_.at(number).isSuperseded_) {
      continue;
    }
    for (auto& [task, run] : views_.at(number).runs_) {
      const bool isSent = run.phase_ != RunPhase::CommitPending;
      if (!run.stopRequested_ || !isSent || run.stopInFlight_ ||
          run.stopAcceptedAt_ || aNow - run.stopSentAt_ < kStopRetry) {
        continue;
      }
      if (run.isEviction_ && !IsEvictionWithinBudget(task)) {
        WithdrawEviction(number, task, run);
        continue;
      }
      run.stopInFlight_ = true;
      run.stopSentAt_ = aNow;
      actions_.emplace_back(
        StopRun{ MakeTarget(number, aNow), task, run.run_ });
    }
  }
}

// Peers may have been lost since the stop was requested, or since it was sent
// without an answer. An order that is still on its way may be carried out all
// the same, until the worker has seen a higher fence.
void
Scheduler::WithdrawEviction(std::uint32_t aWorker,
                            const TaskKey& aTask,
                            RunView& aRun)
{
  LogInfo("withdrawing a stop: too many tasks of the step are unavailable",
          { { "task", TaskText(aTask) },
            { "run", aRun.run_ },
            { "away", CountUnavailablePeers(aTask) },
            { "unanswered", aRun.stopUnanswered_ } });
  aRun.stopRequested_ = false;
  aRun.isEviction_ = false;
  if (!aRun.stopUnanswered_) {
    aRun.destination_ = aRun.staleStopFence_ ? aRun.destination_ : 0;
    return;
  }
  aRun.stopUnanswered_ = false;
  aRun.staleStopFence_ = FenceOf(*state_.FindWorker(aWorker));
  aRun.staleStopBarredAt_.reset();
  ++views_.at(aWorker).unclearOrders_;
}

void
Scheduler::RequestStopsOfJob(JobId aJob)
{
  for (auto& [number, view] : views_) {
    auto run = view.runs_.lower_bound(TaskKey{ aJob, 0, 0, 0 });
    for (; run != view.runs_.end() && run->first.job_ == aJob; ++run) {
      RequestStop(number, run->second, false);
    }
  }
}

// Long-running tasks leave a draining worker as soon as another worker has
// room, and at the latest shortly before it exits, like tasks that can be
// resumed.
void
Scheduler::EvacuateDrainingWorkers(MonotonicTime aNow)
{
  const bool isAnyDraining =
    std::any_of(views_.begin(), views_.end(), [](const auto& aEntry) {
      return aEntry.second.leavesAt_ && !aEntry.second.runs_.empty();
    });
  if (!isAnyDraining) {
    return;
  }
  auto usable = FindUsableWorkers(aNow);
  for (auto& [number, view] : views_) {
    if (!view.leavesAt_) {
      continue;
    }
    const bool exitsSoon = aNow + kDrainStopMargin >= *view.leavesAt_;
    for (auto& [task, run] : view.runs_) {
      const auto* job = state_.FindJob(task.job_);
      if (IsOver(job->phase_) || run.stopRequested_) {
        continue;
      }
      const auto& step = StepOf(*job, task.step_);
      if (run.isLongRunning_) {
        run.destination_ = FindDestination(task, number, usable);
      }
      if (run.destination_ != 0 ||
          (exitsSoon && (run.isLongRunning_ || step.checkpoints_))) {
        RequestStop(number, run, false);
      }
    }
  }
}

std::uint32_t
Scheduler::CountUnavailablePeers(const TaskKey& aTask) const
{
  const auto& job = *state_.FindJob(aTask.job_);
  const auto& tasks = TasksOf(job, aTask.occurrence_, aTask.step_);
  std::uint32_t unavailable = 0;
  for (std::uint32_t index = 0; index < tasks.size(); ++index) {
    if (index == aTask.index_) {
      continue;
    }
    const TaskKey peer{ aTask.job_, aTask.occurrence_, aTask.step_, index };
    const auto view = views_.find(tasks[index].worker_);
    const RunView* run = nullptr;
    if (tasks[index].state_ == TaskState::Assigned && view != views_.end()) {
      const auto found = view->second.runs_.find(peer);
      run = found == view->second.runs_.end() ? nullptr : &found->second;
    }
    const bool isReady = run != nullptr && run->phase_ == RunPhase::Running &&
                         run->percent_ >= kReadyPercent &&
                         !run->stopRequested_ && !run->staleStopFence_ &&
                         view->second.missedRenewals_ == 0;
    unavailable += isReady ? 0 : 1;
  }
  return unavailable;
}

std::uint32_t
Scheduler::AbsenceBudgetOf(const TaskKey& aTask) const
{
  const auto& step = StepOf(*state_.FindJob(aTask.job_), aTask.step_);
  // Without a budget one task of the step is moved at a time.
  return std::max(1U, step.absenceBudget_);
}

bool
Scheduler::IsEvictionWithinBudget(const TaskKey& aTask) const
{
  return CountUnavailablePeers(aTask) < AbsenceBudgetOf(aTask);
}

std::uint32_t
Scheduler::FindDestination(const TaskKey& aTask,
                           std::uint32_t aWorker,
                           UsableByPool& aUsable)
{
  const auto& job = *state_.FindJob(aTask.job_);
  const auto& step = StepOf(job, aTask.step_);
  const auto& tasks = TasksOf(job, aTask.occurrence_, aTask.step_);
  const auto usable = aUsable.find(state_.FindWorker(aWorker)->pool_);
  if (usable == aUsable.end()) {
    return 0;
  }
  auto peers = CountTasksByWorker(tasks);
  for (std::uint32_t index = 0; index < tasks.size(); ++index) {
    const TaskKey peer{ aTask.job_, aTask.occurrence_, aTask.step_, index };
    const auto* run = FindRun(tasks[index].worker_, peer, tasks[index].run_);
    if (run != nullptr && (run->stopRequested_ || run->staleStopFence_) &&
        run->destination_ != 0) {
      ++peers[run->destination_];
    }
  }
  // The task's own worker is drained or emptied, so that it is not usable.
  auto* worker = ChooseWorker(step, usable->second, peers);
  if (worker == nullptr) {
    return 0;
  }
  worker->left_ =
    Difference(worker->left_, ReservedBy(step.need_, step.usesSpareCores_));
  return worker->number_;
}

} // namespace acaciahill
