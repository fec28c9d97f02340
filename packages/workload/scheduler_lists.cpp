#include "workload/scheduler_base.h"

#include "kernel/log_func.h"
#include "workload/workload_text_func.h"

#include <algorithm>
#include <set>

// The lists of what workers run and of what ended there.

namespace acaciahill {

namespace {

// Lists of ends hold at most this many; more may follow.
constexpr std::size_t kEndsInList = 500;
// A run that is not ours is told to stop at most this often.
constexpr Millis kStrayInterval{ 500 };

} // namespace

void
Scheduler::TakeEnds(std::uint32_t aWorker,
                    const WorkerLists& aLists,
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
      CountEnd(aWorker, end, aNow);
      CloseRun(aWorker, end.task_, end.run_, end.end_, end.checkpoint_, aNow);
    } else if (end.end_ == RunEnd::Done) {
      TakeLateEnd(end, aNow);
    }
  }
  if (highest > noted) {
    Decide(EndsNoted{ aWorker, highest }, aNow);
    heldNow_.ends_[aWorker] = highest;
    placementDue_ = true;
  }
}

// A run that was given up as its worker was silent had ended as done before.
// Nothing else was started for the task yet, so that its work is not lost.
void
Scheduler::TakeLateEnd(const EndedRun& aEnd, MonotonicTime aNow)
{
  const auto* task = state_.FindTask(aEnd.task_);
  const auto* job = state_.FindJob(aEnd.task_.job_);
  if (task == nullptr || task->state_ != TaskState::Waiting ||
      task->run_ != aEnd.run_ || IsOver(job->phase_) ||
      job->spec_.steps_[aEnd.task_.step_].isLongRunning_) {
    return;
  }
  Decide(RunClosed{ aEnd.task_, aEnd.run_, RunEnd::Done, {}, false }, aNow);
  QueueAfter(aEnd.task_, RunEnd::Done);
}

void
Scheduler::TakeRunning(std::uint32_t aWorker,
                       const WorkerLists& aLists,
                       MonotonicTime aNow)
{
  for (const auto& running : aLists.running_) {
    auto* run = FindRun(aWorker, running.task_, running.run_);
    if (run == nullptr) {
      StopStray(aWorker, running.task_, running.run_, aNow);
      continue;
    }
    if (run->phase_ != RunPhase::Running) {
      run->phase_ = RunPhase::Running;
      run->since_ = aNow;
    }
    run->percent_ = running.percent_;
    run->gauge_ = running.gauge_;
    if (!running.checkpoint_.empty()) {
      run->checkpoint_ = running.checkpoint_;
    }
  }
}

void
Scheduler::StopStray(std::uint32_t aWorker,
                     const TaskKey& aTask,
                     std::uint32_t aRun,
                     MonotonicTime aNow)
{
  std::erase_if(straySentAt_, [aNow](const auto& aEntry) {
    return aNow - aEntry.second > kStrayInterval;
  });
  if (!straySentAt_.emplace(std::pair(aTask, aRun), aNow).second) {
    return;
  }
  LogInfo("stopping a run that is not expected",
          { { "task", TaskText(aTask) },
            { "run", aRun },
            { "worker", state_.FindWorker(aWorker)->id_ } });
  actions_.emplace_back(StopRun{ MakeTarget(aWorker, aNow), aTask, aRun });
}

// A run that stands in neither list is not on the worker. Only lists that were
// made after the order was answered tell that, or lists under a higher fence:
// the worker refuses the order from then on.
void
Scheduler::CheckMissing(std::uint32_t aWorker,
                        const WorkerLists& aLists,
                        const RenewLease& aOrder,
                        MonotonicTime aNow)
{
  if (aLists.ended_.size() + aLists.unreadEnds_ >= kEndsInList) {
    return;
  }
  std::set<std::pair<TaskKey, std::uint32_t>> listed;
  for (const auto& running : aLists.running_) {
    listed.emplace(running.task_, running.run_);
  }
  std::vector<std::pair<TaskKey, std::uint32_t>> never;
  for (auto& [task, run] : views_.at(aWorker).runs_) {
    if (listed.contains({ task, run.run_ }) || run.phase_ == RunPhase::Logged ||
        run.phase_ == RunPhase::Sent || aOrder.sentAt_ <= run.since_) {
      continue;
    }
    const bool isBarred =
      run.phase_ == RunPhase::Unsure && aOrder.target_.fence_ > run.startFence_;
    if (isBarred || (run.stoppedAt_ && aOrder.sentAt_ > *run.stoppedAt_)) {
      never.emplace_back(task, run.run_);
    } else {
      run.phase_ = RunPhase::Unsure;
      run.stopWanted_ = true;
      unsettled_.insert(aWorker);
    }
  }
  for (const auto& [task, run] : never) {
    CloseRun(aWorker, task, run, RunEnd::Rejected, {}, aNow);
    placementDue_ = true;
  }
}

} // namespace acaciahill
