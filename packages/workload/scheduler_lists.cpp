#include "workload/scheduler_base.h"

#include "kernel/log_func.h"
#include "workload/worker_lists_func.h"
#include "workload/workload_text_func.h"

#include <algorithm>
#include <set>

// Workers' lists of running tasks and of ended runs.

namespace acaciahill {

namespace {

// Minimum time between two stop orders for the same unexpected run.
constexpr Millis kUnexpectedStopInterval{ 500 };
// Covers differences between the clocks of the leader and of workers.
constexpr Millis kStopTimeMargin{ 100 };

/// Whether the run, which is in the lists of this renewal, has outlived a stop
/// order that may have been carried out late. A stop takes aMaxStopTime at
/// most.
void
CheckStaleStop(RunView& aRun,
               const RenewLease& aOrder,
               Millis aMaxStopTime,
               MonotonicTime aNow)
{
  if (!aRun.staleStopFence_ || aOrder.target_.fence_ <= *aRun.staleStopFence_) {
    return;
  }
  if (!aRun.staleStopBarredAt_) {
    aRun.staleStopBarredAt_ = aNow;
  } else if (aOrder.sentAt_ >=
             *aRun.staleStopBarredAt_ + aMaxStopTime + kStopTimeMargin) {
    aRun.staleStopFence_.reset();
    aRun.staleStopBarredAt_.reset();
    if (!aRun.stopRequested_) {
      aRun.destination_ = 0;
    }
  }
}

} // namespace

void
Scheduler::ProcessEndedRuns(std::uint32_t aWorker,
                            const WorkerLists& aLists,
                            const RenewLease& aOrder,
                            MonotonicTime aNow)
{
  const auto noted = state_.FindWorker(aWorker)->notedEnds_;
  auto highest = noted;
  for (const auto& end : aLists.ended_) {
    if (end.number_ <= noted) {
      continue;
    }
    highest = std::max(highest, end.number_);
    if (FindRun(aWorker, end.task_, end.run_) != nullptr) {
      RecordRunEnd(aWorker, end, aNow);
      CloseRun(aWorker, end.task_, end.run_, end.end_, end.checkpoint_, aNow);
    } else if (end.end_ == RunEnd::Done) {
      AcceptLateCompletion(end, aNow);
    }
  }
  if (highest > noted) {
    Decide(
      EndsNoted{ aWorker, highest, BoundUntil(views_.at(aWorker), aOrder) },
      aNow);
    nextEffects_.ends_[aWorker] = highest;
    placementDue_ = true;
  }
}

// The run was closed because its worker was silent, but it had completed
// before. No other run was started for the task yet, so its result still
// counts.
void
Scheduler::AcceptLateCompletion(const EndedRun& aEnd, MonotonicTime aNow)
{
  const auto* task = state_.FindTask(aEnd.task_);
  const auto* job = state_.FindJob(aEnd.task_.job_);
  if (task == nullptr || task->state_ != TaskState::Waiting ||
      task->run_ != aEnd.run_ || IsOver(job->phase_) ||
      StepOf(*job, aEnd.task_.step_).isLongRunning_) {
    return;
  }
  const bool isGang = StepOf(*job, aEnd.task_.step_).gang_;
  Decide(RunClosed{ aEnd.task_, aEnd.run_, RunEnd::Done, {}, false }, aNow);
  if (isGang) {
    EndGang(aEnd.task_, aEnd.run_, RunEnd::Done, aNow);
  }
  QueueAfterRunEnd(aEnd.task_, RunEnd::Done);
}

void
Scheduler::ProcessRunningTasks(std::uint32_t aWorker,
                               const WorkerLists& aLists,
                               const RenewLease& aOrder,
                               MonotonicTime aNow)
{
  for (const auto& running : aLists.running_) {
    auto* run = FindRun(aWorker, running.task_, running.run_);
    if (run == nullptr) {
      StopUnexpectedRun(aWorker, running.task_, running.run_, aNow);
      continue;
    }
    if (run->phase_ != RunPhase::Running) {
      run->phase_ = RunPhase::Running;
      run->since_ = aNow;
    }
    BindRun(*run, aNow);
    CheckStaleStop(*run, aOrder, settings_.maxStopTime_, aNow);
    run->percent_ = running.percent_;
    run->gauge_ = running.gauge_;
    if (!running.checkpoint_.empty()) {
      run->checkpoint_ = running.checkpoint_;
    }
  }
}

void
Scheduler::StopUnexpectedRun(std::uint32_t aWorker,
                             const TaskKey& aTask,
                             std::uint32_t aRun,
                             MonotonicTime aNow)
{
  std::erase_if(unexpectedStopSentAt_, [aNow](const auto& aEntry) {
    return aNow - aEntry.second > kUnexpectedStopInterval;
  });
  if (!unexpectedStopSentAt_.emplace(std::pair(aTask, aRun), aNow).second) {
    return;
  }
  LogInfo("stopping an unexpected run",
          { { "task", TaskText(aTask) },
            { "run", aRun },
            { "worker", state_.FindWorker(aWorker)->id_ } });
  actions_.emplace_back(StopRun{ MakeTarget(aWorker, aNow), aTask, aRun });
}

// A run in neither list is not on the worker, provided that the lists were made
// after the order was answered, or under a higher fence: from then on the
// worker refuses the order. Its next incarnation would not, so that the start
// is repeated on the same worker, if possible, and the task is started nowhere
// else before the order can have been carried out.
void
Scheduler::CheckMissingRuns(std::uint32_t aWorker,
                            const WorkerLists& aLists,
                            const RenewLease& aOrder,
                            MonotonicTime aNow)
{
  if (!detail::IsComplete(aLists)) {
    return;
  }
  std::set<std::pair<TaskKey, std::uint32_t>> listed;
  std::set<TaskKey> running;
  for (const auto& each : aLists.running_) {
    listed.emplace(each.task_, each.run_);
    running.insert(each.task_);
  }
  std::vector<std::pair<TaskKey, std::uint32_t>> rejected;
  std::vector<std::pair<TaskKey, std::uint32_t>> repeated;
  for (auto& [task, run] : views_.at(aWorker).runs_) {
    if (listed.contains({ task, run.run_ }) ||
        run.phase_ == RunPhase::CommitPending || run.phase_ == RunPhase::Sent ||
        aOrder.sentAt_ <= run.since_) {
      continue;
    }
    const bool isFenced = run.phase_ == RunPhase::Unconfirmed &&
                          aOrder.target_.fence_ > run.startFence_;
    const bool isBarred =
      run.stopAcceptedAt_ && aOrder.sentAt_ > *run.stopAcceptedAt_;
    if (isFenced || isBarred || run.phase_ == RunPhase::Denied) {
      run.strayStartUntil_ = LastStartArrival(run);
      run.phase_ = RunPhase::Denied;
      if (running.contains(task)) {
        // Another run of the task is being stopped there.
        continue;
      }
      (MayRepeatStart(aWorker, run, aNow) ? repeated : rejected)
        .emplace_back(task, run.run_);
    } else {
      run.phase_ = RunPhase::Unconfirmed;
      RequestStop(aWorker, run, false);
    }
  }
  for (const auto& [task, run] : rejected) {
    RejectRun(aWorker, task, run, aNow);
  }
  for (const auto& [task, run] : repeated) {
    RepeatStart(aWorker, task, run, aNow);
  }
}

} // namespace acaciahill
