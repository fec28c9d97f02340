#pragma once

#include "kernel/time_type.h"
#include "workload/workload_event_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace acaciahill {

/// Limits and times of the scheduler; the platform's bounds set most of them.
struct SchedulerSettings
{
  /// Time for which a worker may go on without hearing from the scheduler.
  Millis lease_{ 6000 };
  /// Ended jobs are shown for this time.
  Millis keepEnded_{ 120000 };
  /// Orders are given for this time after the leader last knew a majority of
  /// the voters behind it. It must be under the least time without a leader
  /// after which another one can be elected, so that every lease was given
  /// before.
  Millis authority_{ 900 };
  /// VMs are moved between pools; it needs an interface of the platform.
  bool movesVms_ = false;

  bool operator==(const SchedulerSettings&) const = default;
};

/// Identifies a request that waits for an answer of the scheduler.
using RequestToken = std::uint64_t;

/// What a worker says of itself.
struct WorkerReport
{
  /// Number, fence and notes are not set; draining_ is.
  WorkerEntry worker_;
  /// Grows with each report of one life.
  std::uint64_t sequence_ = 0;
  std::int64_t clockMs_ = 0;
  /// Least time until a draining worker ends; 0 when not known.
  std::int64_t leavesInMs_ = 0;

  bool operator==(const WorkerReport&) const = default;
};

/// One run in a worker's list of what it runs.
struct RunningTask
{
  TaskKey task_;
  std::uint32_t run_ = 0;
  std::string checkpoint_;
  /// Progress, or for tasks that last 100 once they are at work.
  std::int64_t percent_ = 0;
  /// Tail of response times in ms for tasks with a target, else milli-cores in
  /// use; nothing when the worker does not tell.
  std::optional<std::int64_t> gauge_;

  bool operator==(const RunningTask&) const = default;
};

/// One end in a worker's list of ends.
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
  /// Rows of the list of ends that could not be read.
  std::size_t unreadEnds_ = 0;

  bool operator==(const WorkerLists&) const = default;
};

/// How a worker took an order.
enum class OrderOutcome : std::uint8_t
{
  Taken,
  Fenced,  ///< It has seen a higher fence.
  TooOld,  ///< A run with this number or a higher one was there already.
  TooLate, ///< The lease in the order was over.
  NoRoom,
  NoTicket,  ///< The advice service's ticket is missing or no longer valid.
  Refused,   ///< It cannot read the order.
  Unwell,    ///< It takes no orders now and has done nothing.
  OtherLife, ///< Another worker answered at the address.
  NotGiven, ///< It was too late when it was to be sent; the worker has no part.
  Unknown,  ///< No answer: it may be carried out, also later.
};

/// The answer to an order.
struct OrderAnswer
{
  OrderOutcome outcome_ = OrderOutcome::Unknown;
  /// The worker's clock; nothing when it did not tell.
  std::optional<std::int64_t> clockMs_;

  bool operator==(const OrderAnswer&) const = default;
};

/// Where an order goes and under which authority.
struct OrderTarget
{
  std::uint32_t worker_ = 0;
  std::string id_;
  std::string address_;
  std::uint64_t fence_ = 0;
  /// End of the lease on the worker's clock in ms.
  std::int64_t leaseEndMs_ = 0;

  bool operator==(const OrderTarget&) const = default;
};

/// Tells a worker to begin a run.
struct StartRun
{
  OrderTarget target_;
  TaskKey task_;
  std::uint32_t run_ = 0;
  std::string payload_;
  std::string checkpoint_;

  bool operator==(const StartRun&) const = default;
};

/// Tells a worker to end a run, and never to begin it or an older one.
struct StopRun
{
  OrderTarget target_;
  TaskKey task_;
  std::uint32_t run_ = 0;

  bool operator==(const StopRun&) const = default;
};

/// Renews a worker's lease and asks what runs there.
struct RenewLease
{
  OrderTarget target_;
  std::uint64_t notedEnds_ = 0;
  /// The worker answers after this time, or as soon as a run ends.
  Millis wait_{ 0 };
  /// A look beside the renewal that is open, as a run there is in doubt.
  bool isLook_ = false;
  MonotonicTime sentAt_{};

  bool operator==(const RenewLease&) const = default;
};

/// Sets the share of its speed at which a task works.
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

/// A VM in the platform's list.
struct VmListing
{
  std::string vm_;
  std::string pool_;
  VmState state_ = VmState::Up;
  /// Id of its worker; empty without one.
  std::string workerId_;
  std::string zone_;

  bool operator==(const VmListing&) const = default;
};

/// Asks the platform for its list of VMs.
struct ListVms
{
  bool operator==(const ListVms&) const = default;
};

/// Asks the platform to take a VM down for the upkeep of a wave.
struct BeginUpkeep
{
  std::string vm_;
  std::uint64_t wave_ = 0;
  std::uint64_t fence_ = 0;

  bool operator==(const BeginUpkeep&) const = default;
};

/// Asks the platform to move a VM to another pool. What runs there ends.
struct MoveVm
{
  std::string vm_;
  std::string pool_;
  std::uint64_t fence_ = 0;

  bool operator==(const MoveVm&) const = default;
};

/// How the platform took a change of a VM.
enum class VmOutcome : std::uint8_t
{
  Begun, ///< Now or before.
  Fenced,
  Busy, ///< The VM is not up, or is leaving.
  NotInWave,
  NoSuchVm, ///< There is no such VM, or the wave does not hold it.
  NotNow,   ///< The platform takes no more calls now.
  NoAnswer, ///< It may be carried out, also later.
};

/// What a waiting request is told.
enum class RequestOutcome : std::uint8_t
{
  Accepted,
  /// Not accepted, and never will be: it may be sent again.
  RefusedForNow,
  /// It may or may not have been accepted.
  Unclear,
  UnknownQueue,
  UnknownJob,
};

/// Answers a request.
struct AnswerRequest
{
  RequestToken token_ = 0;
  RequestOutcome outcome_ = RequestOutcome::Accepted;
  /// When the sender of a refused request should come again; 0 when any time.
  Millis retryAfter_{ 0 };

  bool operator==(const AnswerRequest&) const = default;
};

/// Gives a batch of events to the replicated log.
struct LogBatch
{
  std::uint64_t batch_ = 0;
  WorkloadBatch events_;

  bool operator==(const LogBatch&) const = default;
};

/// What the shell of the scheduler has to do, in order.
using SchedulerAction = std::variant<LogBatch,
                                     AnswerRequest,
                                     StartRun,
                                     StopRun,
                                     RenewLease,
                                     PaceRun,
                                     ListVms,
                                     BeginUpkeep,
                                     MoveVm>;

} // namespace acaciahill
