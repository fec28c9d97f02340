#pragma once

#include "state/fleet_base.h"

/// Counts derived from the tasks of the state.
namespace acaciahill::detail {

/// True while a VM holds the task under a lease.
inline bool
IsHeld(const TaskRecord& aTask)
{
  switch (aTask.phase_) {
    case TaskPhase::Placed:
    case TaskPhase::Running:
    case TaskPhase::Throttled:
    case TaskPhase::Stopping:
      return true;
    case TaskPhase::Waiting:
    case TaskPhase::Completed:
    case TaskPhase::Failed:
      break;
  }
  return false;
}

/// True until the task completed or failed.
inline bool
IsUnfinished(const TaskRecord& aTask)
{
  return aTask.phase_ == TaskPhase::Waiting || IsHeld(aTask);
}

/// Failures after which a task is Failed. Only failures on VMs that run other
/// tasks successfully count, each on a different VM. In a pool with fewer VMs
/// than this a task may return to a VM on which it failed.
inline constexpr std::size_t kMaxTaskFailures = 3;

/// Adds a task to the counts (aSign 1) or removes it (aSign -1).
inline void
CountTask(const TaskRecord& aTask,
          const JobRecord& aJob,
          std::int64_t aSign,
          TaskCounts& aCounts)
{
  if (IsUnfinished(aTask)) {
    auto& open = aCounts.openByJob_[aJob.id_];
    open += aSign;
    if (open == 0) {
      aCounts.openByJob_.erase(aJob.id_);
    }
  }
  if (IsHeld(aTask)) {
    auto& held = aCounts.heldOnVm_[aTask.vm_];
    if (aSign > 0) {
      held.insert(aTask.id_);
    } else {
      held.erase(aTask.id_);
    }
    if (held.empty()) {
      aCounts.heldOnVm_.erase(aTask.vm_);
    }
    auto& use = aCounts.useByTeam_[aJob.team_];
    use.milliCores_ += aSign * aJob.milliCores_;
    use.memoryMb_ += aSign * aJob.memoryMb_;
    if (use == TeamUse{}) {
      aCounts.useByTeam_.erase(aJob.team_);
    }
  }
}

} // namespace acaciahill::detail
