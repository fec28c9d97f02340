#pragma once

#include "kernel/time_type.h"
#include "workload/scheduler_type.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace acaciahill {

/// Progress of a run from its assignment to its confirmation.
enum class RunPhase : std::uint8_t
{
  CommitPending, ///< The assignment is not committed; no order was sent.
  Sent,          ///< The start order was sent and has no answer yet.
  Unconfirmed,   ///< The order got no answer, or no list has the run.
  Denied,        ///< Not on the worker. An earlier order may still start it on
                 ///< a later incarnation, so that it is started nowhere else.
  Running,       ///< The worker confirmed the run.
};

/// The leader's view of one assigned run. It is not replicated: a new leader
/// rebuilds it from the workers' reports.
struct RunView
{
  std::uint32_t run_ = 0;
  RunPhase phase_ = RunPhase::CommitPending;
  /// Start of the current phase.
  MonotonicTime since_{};
  /// Nothing when a former leader assigned the run.
  std::optional<MonotonicTime> assignedAt_;
  TaskNeed need_;
  bool isLongRunning_ = false;
  bool usesSpareCores_ = false;
  std::int64_t targetMs_ = 0;
  std::int64_t percent_ = 0;
  std::optional<std::int64_t> gauge_;
  std::string checkpoint_;
  std::int64_t pace_ = 100;
  /// The run has to be stopped before it is done.
  bool stopRequested_ = false;
  /// The stop moves a long-running task to another worker. It is withdrawn when
  /// it would exceed the absence budget of the step by the time it is sent.
  bool isEviction_ = false;
  /// Number of the worker whose room is kept for the task while this run is
  /// being stopped; 0 for none.
  std::uint32_t destination_ = 0;
  bool stopInFlight_ = false;
  MonotonicTime stopSentAt_{};
  /// A stop order got no answer: it may be carried out, even later.
  bool stopUnanswered_ = false;
  /// The run may end by a stop that was withdrawn, or that a former leader
  /// sent: highest fence of such an order. Nothing once a list shows that the
  /// run has outlived it.
  std::optional<std::uint64_t> staleStopFence_;
  /// When a list under a higher fence first had the run: from then on the
  /// worker refuses that order, but may still be carrying it out.
  std::optional<MonotonicTime> staleStopBarredAt_;
  /// Fence of the start order; 0 when a former leader sent the order.
  std::uint64_t startFence_ = 0;
  /// Until then a later incarnation may carry out a start order that got no
  /// answer and was sent again since.
  std::optional<MonotonicTime> strayStartUntil_;
  /// When this leader first sent a start order of the run; nothing before.
  std::optional<MonotonicTime> firstOrderAt_;
  /// The worker has ended this run or a later one and never starts it.
  bool isTooOld_ = false;
  /// When the worker first denied the run; its start is repeated since.
  std::optional<MonotonicTime> repeatedSince_;
  /// This incarnation has carried out the start order, so that no later one
  /// can: a list has shown the run, or the clock in the answer to the order is
  /// that of this incarnation. The answer alone does not prove that, as
  /// the next incarnation has the same id and address.
  bool isBound_ = false;
  /// When the worker accepted the stop order; nothing before.
  std::optional<MonotonicTime> stopAcceptedAt_;

  bool operator==(const RunView&) const = default;
};

/// The leader's view of one worker.
struct WorkerView
{
  /// Last known time of the worker's clock in ms, and when it was read.
  std::int64_t clockMs_ = 0;
  MonotonicTime clockAt_{};
  bool hasClock_ = false;
  /// By then every lease granted so far has expired on the worker, even if its
  /// clock is slow.
  MonotonicTime leaseExpiresAt_{};
  /// When the last order that grants a lease was sent to the worker.
  MonotonicTime leaseSentAt_{};
  /// Starts and withdrawn stops with an unclear outcome so far; part of the
  /// fence.
  std::uint32_t unclearOrders_ = 0;
  /// A newer incarnation of the worker has registered, or this one has ended.
  /// Kept while a later incarnation may carry out its start orders.
  bool isSuperseded_ = false;
  /// The worker has answered a lease renewal of this leader.
  bool confirmed_ = false;
  bool renewalInFlight_ = false;
  bool probeInFlight_ = false;
  MonotonicTime probeSentAt_{};
  MonotonicTime nextRenewalAt_{};
  /// The worker refuses orders for a fence that this leader has not sent.
  bool refusesFence_ = false;
  /// Consecutive renewals without an answer.
  int missedRenewals_ = 0;
  /// Time of the last report or answer.
  MonotonicTime lastContactAt_{};
  /// When the last renewal was sent that this incarnation has answered with its
  /// lists: any later one has started since.
  MonotonicTime provenAt_{};
  /// The clock in that answer.
  std::int64_t provenClockMs_ = 0;
  /// While the worker is silent: send time of the last list of VMs by which no
  /// incarnation of it was running.
  std::optional<MonotonicTime> absentAt_;
  /// While the worker is silent: the last entry of its VM in a list of VMs;
  /// nothing before the first one.
  std::optional<VmListing> silentListing_;
  /// Send time of the first list of VMs that shows the silent worker's VM as up
  /// without any worker; nothing when the last one does not.
  std::optional<MonotonicTime> vacantSince_;
  /// No later incarnation is expected, as its VM is up with another worker or
  /// with none. Another worker refuses its orders, which name it.
  bool hasNoSuccessor_ = false;
  MonotonicTime boundNotedAt_{};
  /// Start of the process that has answered for an ended incarnation. It may be
  /// earlier than that of the incarnation when the time of day was set back.
  std::optional<std::uint64_t> nextProcessStartMs_;
  std::uint64_t sequence_ = 0;
  /// Ended runs up to this number are committed; the worker may drop them.
  std::uint64_t committedEnds_ = 0;
  /// When a draining worker may exit; nothing while it is not draining.
  std::optional<MonotonicTime> leavesAt_;
  /// When a request that names no incarnation said that the draining worker
  /// exits; nothing once it has answered a later renewal.
  std::optional<MonotonicTime> leaveReportedAt_;
  /// The worker is being emptied for maintenance or a move: it gets no new
  /// tasks, and its tasks are moved off.
  bool evacuating_ = false;
  /// Since when an evacuating worker has had no short tasks and no task has
  /// left it; nothing before.
  std::optional<MonotonicTime> idleSince_;
  /// Runs that failed since the last successful one.
  int failuresInRow_ = 0;
  /// The worker gets no tasks until then.
  MonotonicTime avoidUntil_{};
  std::map<TaskKey, RunView> runs_;
  TaskNeed used_;
  MonotonicTime paceChangedAt_{};

  bool operator==(const WorkerView&) const = default;
};

/// Number of the worker's runs that a later incarnation may be running.
inline std::size_t
CountUnboundRuns(const WorkerView& aView)
{
  return static_cast<std::size_t>(std::count_if(
    aView.runs_.begin(), aView.runs_.end(), [](const auto& aEntry) {
      return !aEntry.second.isBound_;
    }));
}

} // namespace acaciahill
