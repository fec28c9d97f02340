#pragma once

#include "kernel/time_type.h"
#include "workload/scheduler_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace acaciahill {

/// How far the order for a run has come.
enum class RunPhase : std::uint8_t
{
  Logged,  ///< The assignment waits to be committed; nothing was sent.
  Sent,    ///< The order is on its way.
  Unsure,  ///< The order got no answer, or the run is missing in the lists.
  Running, ///< The worker confirmed it.
};

/// What the leader believes of one assigned run. Nothing of it is logged: a new
/// leader learns it from the workers.
struct RunView
{
  std::uint32_t run_ = 0;
  RunPhase phase_ = RunPhase::Logged;
  /// When the phase was entered.
  MonotonicTime since_{};
  TaskNeed need_;
  bool isLongRunning_ = false;
  bool usesSpareCores_ = false;
  std::int64_t targetMs_ = 0;
  std::int64_t percent_ = 0;
  std::optional<std::int64_t> gauge_;
  std::string checkpoint_;
  std::int64_t pace_ = 100;
  /// The run is to end before it is done.
  bool stopWanted_ = false;
  bool stopOpen_ = false;
  MonotonicTime stopSentAt_{};
  /// Fence of the order to start; 0 when a former leader gave it.
  std::uint64_t startFence_ = 0;
  /// When the worker took the stop; nothing before.
  std::optional<MonotonicTime> stoppedAt_;

  bool operator==(const RunView&) const = default;
};

/// What the leader believes of one worker.
struct WorkerView
{
  /// The worker's clock, and when it was read.
  std::int64_t clockMs_ = 0;
  MonotonicTime clockAt_{};
  bool hasClock_ = false;
  /// By then every lease that was given has certainly run out.
  MonotonicTime leaseOverAt_{};
  /// Orders that got no answer so far; part of the fence.
  std::uint32_t fenceStep_ = 0;
  /// A new life of the worker has registered.
  bool isSuperseded_ = false;
  /// It has answered a renewal under this leader's fence.
  bool confirmed_ = false;
  bool renewalOpen_ = false;
  bool lookOpen_ = false;
  MonotonicTime lookedAt_{};
  MonotonicTime nextRenewalAt_{};
  /// Renewals in a row without an answer.
  int missedRenewals_ = 0;
  /// The last report or answer.
  MonotonicTime heardAt_{};
  std::uint64_t sequence_ = 0;
  /// Ends up to this number are committed and may be forgotten there.
  std::uint64_t committedEnds_ = 0;
  /// When a draining worker may end; nothing when it does not drain.
  std::optional<MonotonicTime> leavesAt_;
  /// It gets no new tasks and loses those it has, for upkeep or a move.
  bool evacuating_ = false;
  /// Failed ends since the last one that was done.
  int failuresInRow_ = 0;
  /// It gets no tasks until then.
  MonotonicTime avoidUntil_{};
  std::map<TaskKey, RunView> runs_;
  TaskNeed used_;
  MonotonicTime pacedAt_{};

  bool operator==(const WorkerView&) const = default;
};

} // namespace acaciahill
