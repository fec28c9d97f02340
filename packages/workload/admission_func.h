#pragma once

#include "kernel/time_type.h"

#include <cstdint>

namespace acaciahill {

/// What a pool has for short tasks, and what it has to do before a new job.
struct PoolBacklog
{
  /// Cores of the workers that get tasks, and of VMs that arrive soon, without
  /// those of long-running tasks.
  std::int64_t milliCores_ = 0;
  /// Reserved by short tasks that may be on a worker.
  std::int64_t heldMilliCores_ = 0;
  /// Needed by waiting tasks that go before the new job.
  std::int64_t waitingMilliCores_ = 0;
  /// Time in which the pool frees all its cores once: the run time of a task.
  Millis turnover_{ 0 };

  bool operator==(const PoolBacklog&) const = default;
};

/// A job at its submission.
struct NewJob
{
  /// Cores of the tasks that can start at once.
  std::int64_t milliCores_ = 0;
  /// Time until its first tasks must have started to meet its objective.
  Millis slack_{ 0 };

  bool operator==(const NewJob&) const = default;
};

/// The time until all first tasks of the job have started.
Millis
ExpectedWait(const PoolBacklog& aBacklog, const NewJob& aJob);

/// Whether the job can be of use to its sender: it can be expected to start in
/// time. A pool without cores accepts it, as its workers may be registering.
bool
ShouldAccept(const PoolBacklog& aBacklog, const NewJob& aJob);

/// When a refused job should be submitted again: once the backlog leaves it
/// enough time, and for jobs beyond their tenant's share after the others.
Millis
RetryDelay(const PoolBacklog& aBacklog, const NewJob& aJob, bool aBeyondShare);

} // namespace acaciahill
