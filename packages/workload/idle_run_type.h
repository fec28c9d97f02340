#pragma once

#include "kernel/time_type.h"

#include <cstddef>
#include <cstdint>

namespace acaciahill {

/// Why the leader does not know a long-running task to run.
enum class IdleRunCause : std::uint8_t
{
  NoWorker,          ///< It has no run: it waits for a worker.
  StartUncommitted,  ///< The assignment, or the repeated start, is not in the
                     ///< log yet.
  StartUnanswered,   ///< The start order has no answer, or no list has the run.
  StartDenied,       ///< The worker does not have the run, but an earlier order
                     ///< may still start it there.
  WorkerSilent,      ///< The worker does not answer and has a lease left.
  MayRunOnNext,      ///< The lease of the silent worker is over, but a later
                     ///< incarnation of it may have the run.
  WorkerReplaced,    ///< The worker's next incarnation has not answered yet.
  WorkerUnconfirmed, ///< The worker has not answered this leader yet.
  StopUnconfirmed,   ///< The run is to be stopped, and its end is not known.
};

/// A long-running task that the leader does not know to run.
struct IdleTask
{
  /// When the leader last knew it to run, or first knew of the task.
  MonotonicTime since_{};
  IdleRunCause cause_ = IdleRunCause::NoWorker;
  /// Start of the current cause.
  MonotonicTime causeSince_{};
  /// The cause before the current one that has lasted longest, and for how
  /// long.
  IdleRunCause longestCause_ = IdleRunCause::NoWorker;
  Millis longestTime_{ 0 };

  bool operator==(const IdleTask&) const = default;
};

/// Numbers of the long-running tasks that are not known to run.
struct IdleTaskCounts
{
  /// Tasks that wait for a worker.
  std::size_t waiting_ = 0;
  /// Tasks with a run that is not known to be running.
  std::size_t assigned_ = 0;
  /// The longest time for which one of all these has not been known to run.
  Millis longest_{ 0 };

  bool operator==(const IdleTaskCounts&) const = default;
};

} // namespace acaciahill
