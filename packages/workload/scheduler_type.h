#pragma once

#include "kernel/time_type.h"
#include "workload/workload_event_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace acaciahill {

/// Whether placement keeps room for waiting tasks that find none now.
enum class Lookahead : std::uint8_t
{
  Off,
  On,
  WithTenants, ///< Where tenants are configured, which compete for room.
};

/// Limits and times of the scheduler; most follow from limits of the platform.
struct SchedulerSettings
{
  /// Time for which a worker may keep running without a lease renewal.
  Millis lease_{ 6000 };
  /// Longest lease that a worker grants; it shortens longer ones to this.
  Millis maxLease_{ 10000 };
  /// Time within which a worker may still carry out an order that it has not
  /// answered.
  Millis maxOrderDelay_{ 12000 };
  /// Time within which a run ends once its worker carries out a stop order.
  Millis maxStopTime_{ 1000 };
  /// Retention period of ended jobs.
  Millis keepEnded_{ 120000 };
  /// Orders are sent for this time after a majority of the voters last
  /// confirmed the leader. It must be below the minimum election timeout, so
  /// that this leader grants no lease after another one was elected.
  Millis authority_{ 900 };
  Lookahead lookahead_ = Lookahead::WithTenants;
  /// Enables moves of VMs between pools; the platform must support them.
  bool movesVms_ = false;
  /// Moves and upkeep orders that the platform accepts a second, from all nodes
  /// together.
  double vmCallsPerSecond_ = 64;
  /// Calls that change VMs which the leader makes a second at most. Each moved
  /// VM costs it processor time, as a worker leaves and another one registers.
  double maxVmCallsPerSecond_ = 1000;

  bool operator==(const SchedulerSettings&) const = default;
};

/// Identifies a request until the scheduler answers it.
using RequestToken = std::uint64_t;

/// A worker's periodic report about itself.
struct WorkerReport
{
  /// The number and notedEnds_ are not set; draining_ is.
  WorkerEntry worker_;
  /// Increases with each report of one incarnation.
  std::uint64_t sequence_ = 0;
  std::int64_t clockMs_ = 0;
  /// Minimum time until a draining worker exits; 0 when unknown.
  std::int64_t leavesInMs_ = 0;

  bool operator==(const WorkerReport&) const = default;
};

/// One entry in a worker's list of running tasks.
struct RunningTask
{
  TaskKey task_;
  std::uint32_t run_ = 0;
  std::string checkpoint_;
  /// Progress; for long-running tasks 100 once they are ready.
  std::int64_t percent_ = 0;
  /// Tail latency in ms for tasks with a latency target, else milli-cores in
  /// use; nothing when the worker does not report it.
  std::optional<std::int64_t> gauge_;

  bool operator==(const RunningTask&) const = default;
};

/// One entry in a worker's list of ended runs.
struct EndedRun
{
  std::uint64_t number_ = 0;
  TaskKey task_;
  std::uint32_t run_ = 0;
  RunEnd end_ = RunEnd::Failed;
  std::string checkpoint_;

  bool operator==(const EndedRun&) const = default;
};

/// A worker's answer to a renewal of its lease.
struct WorkerLists
{
  std::int64_t clockMs_ = 0;
  std::optional<std::uint64_t> processStartMs_;
  std::vector<RunningTask> running_;
  std::vector<EndedRun> ended_;
  /// Entries of the list of ended runs that could not be decoded.
  std::size_t unreadEnds_ = 0;

  bool operator==(const WorkerLists&) const = default;
};

/// Outcome of an order to a worker.
enum class OrderOutcome : std::uint8_t
{
  Taken,
  Fenced,  ///< The worker has seen a higher fence.
  TooOld,  ///< The worker had a run with this or a higher number before.
  TooLate, ///< The lease in the order had expired.
  NoRoom,
  NoTicket, ///< The advice service's ticket is missing or no longer valid.
  Refused,  ///< The worker could not decode the order.
  WorkerUnavailable, ///< Not carried out; no orders are accepted now.
  OtherIncarnation,  ///< Another worker process answered at the address.
  NotGiven, ///< Dropped before it was sent, as its deadline had passed.
  Unknown,  ///< No answer: the order may be carried out, even later.
};

/// The answer to an order.
struct OrderAnswer
{
  OrderOutcome outcome_ = OrderOutcome::Unknown;
  /// The worker's clock in ms; nothing when it did not report it.
  std::optional<std::int64_t> clockMs_;

  bool operator==(const OrderAnswer&) const = default;
};

/// Address of an order and the authority that it is sent under.
struct OrderTarget
{
  std::uint32_t worker_ = 0;
  std::string id_;
  std::string address_;
  std::uint64_t fence_ = 0;
  /// End of the lease on the worker's clock in ms; 0 grants no new lease.
  std::int64_t leaseEndMs_ = 0;

  bool operator==(const OrderTarget&) const = default;
};

/// Tells a worker to start a run.
struct StartRun
{
  OrderTarget target_;
  TaskKey task_;
  std::uint32_t run_ = 0;
  std::string payload_;
  std::string checkpoint_;

  bool operator==(const StartRun&) const = default;
};

/// Tells a worker to stop a run, and never to start it or an older one.
struct StopRun
{
  OrderTarget target_;
  TaskKey task_;
  std::uint32_t run_ = 0;

  bool operator==(const StopRun&) const = default;
};

/// Renews a worker's lease and asks for its lists of runs.
struct RenewLease
{
  OrderTarget target_;
  /// Ended runs up to this number are committed; the worker may drop them.
  std::uint64_t notedEnds_ = 0;
  /// The worker answers after this time, or earlier when a run ends.
  Millis wait_{ 0 };
  /// Sent beside the renewal in flight to check on an unconfirmed run.
  bool isProbe_ = false;
  MonotonicTime sentAt_{};

  bool operator==(const RenewLease&) const = default;
};

/// Sets the pace of a task in percent of its full speed.
struct PaceRun
{
  OrderTarget target_;
  TaskKey task_;
  std::uint32_t run_ = 0;
  std::int64_t percent_ = 100;

  bool operator==(const PaceRun&) const = default;
};

enum class VmState : std::uint8_t
{
  Up,
  Moving,
  Upkeep,
  Down,
};

/// An entry in the platform's list of VMs.
struct VmListing
{
  std::string vm_;
  std::string pool_;
  VmState state_ = VmState::Up;
  /// Id of the VM's worker; empty without one, nothing when it is not told.
  std::optional<std::string> workerId_;
  std::string zone_;

  bool operator==(const VmListing&) const = default;
};

/// Asks the platform for its list of VMs.
struct ListVms
{
  MonotonicTime sentAt_{};

  bool operator==(const ListVms&) const = default;
};

/// Asks the platform to take a VM down for a wave of upkeep (maintenance).
struct BeginUpkeep
{
  std::string vm_;
  std::uint64_t wave_ = 0;
  std::uint64_t fence_ = 0;
  /// Number of the VM's worker when the order was made; 0 without one.
  std::uint32_t worker_ = 0;

  bool operator==(const BeginUpkeep&) const = default;
};

/// Asks the platform to move a VM to another pool, which ends all runs on it.
struct MoveVm
{
  std::string vm_;
  std::string pool_;
  std::uint64_t fence_ = 0;

  bool operator==(const MoveVm&) const = default;
};

/// Outcome of a VM operation at the platform.
enum class VmOutcome : std::uint8_t
{
  Begun, ///< Started by this request or an earlier one.
  Fenced,
  Busy, ///< The VM is not up, or is draining.
  NotInWave,
  NoSuchVm, ///< The VM does not exist, or is not in the wave.
  NotNow,   ///< The platform accepts no more calls now.
  NoAnswer, ///< The operation may be carried out, even later.
};

/// Result of a request to the scheduler.
enum class RequestOutcome : std::uint8_t
{
  Accepted,
  /// Not accepted and without effect: the sender may send it again.
  RefusedForNow,
  /// Whether the request was accepted is unknown.
  Unclear,
  UnknownQueue,
  UnknownJob,
  /// Another request was accepted under the same number.
  NumberInUse,
};

/// Answers a request.
struct AnswerRequest
{
  RequestToken token_ = 0;
  RequestOutcome outcome_ = RequestOutcome::Accepted;
  /// Delay before a refused request should be sent again; 0 for none.
  Millis retryAfter_{ 0 };

  bool operator==(const AnswerRequest&) const = default;
};

/// Appends a batch of events to the replicated log.
struct AppendBatch
{
  std::uint64_t batch_ = 0;
  WorkloadBatch events_;

  bool operator==(const AppendBatch&) const = default;
};

/// An action that the scheduler's host carries out, in order.
using SchedulerAction = std::variant<AppendBatch,
                                     AnswerRequest,
                                     StartRun,
                                     StopRun,
                                     RenewLease,
                                     PaceRun,
                                     ListVms,
                                     BeginUpkeep,
                                     MoveVm>;

} // namespace acaciahill
