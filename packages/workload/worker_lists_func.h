#pragma once

#include "workload/scheduler_type.h"

#include <algorithm>

namespace acaciahill::detail {

/// Whether the lists hold all runs of the worker. A list of ended runs has 500
/// entries at most; a full one may lack some.
inline bool
IsComplete(const WorkerLists& aLists)
{
  constexpr std::size_t kMaxEndsInList = 500;
  return aLists.ended_.size() + aLists.unreadEnds_ < kMaxEndsInList;
}

/// Whether the lists show the run as running.
inline bool
ShowsRunning(const WorkerLists& aLists,
             const TaskKey& aTask,
             std::uint32_t aRun)
{
  return std::any_of(
    aLists.running_.begin(), aLists.running_.end(), [&](const auto& aEntry) {
      return aEntry.task_ == aTask && aEntry.run_ == aRun;
    });
}

/// Whether the lists show the run as ended.
inline bool
ShowsEnded(const WorkerLists& aLists, const TaskKey& aTask, std::uint32_t aRun)
{
  return std::any_of(
    aLists.ended_.begin(), aLists.ended_.end(), [&](const auto& aEntry) {
      return aEntry.task_ == aTask && aEntry.run_ == aRun;
    });
}

} // namespace acaciahill::detail
