#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace acaciahill {

/// What happens to requests still in flight when a drain reaches its limit.
enum class DrainAction : std::uint8_t
{
  Wait, ///< The drain waits on; the VM keeps its requests.
  Stop, ///< The VM is stopped; requests still in flight are cut off.
};

/// One row of the table: how a pool is steered. Times are in ms, prices in any
/// one unit that the operator uses for all pools.
struct PoolRow
{
  std::string pool_;
  /// Share of a full entry VM, relative to the weights of the other pools.
  std::int64_t weight_ = 100;
  /// Wanted number of VMs.
  std::int64_t size_ = 0;
  /// Availability budget: VMs that must stay available.
  std::int64_t minAvailable_ = 0;
  /// Most VMs that may be stopped, moved out, lost or unknown at once.
  std::int64_t maxUnavailable_ = 1;
  /// Requests that may wait on each entry VM.
  std::int64_t queueLimit_ = 100;
  /// Deadline of requests that name none.
  std::int64_t deadlineMs_ = 5000;
  /// Requests in flight for each caller on each entry VM.
  std::int64_t callerLimit_ = 64;
  /// Retries allowed, as a percentage of first attempts.
  std::int64_t retryPercent_ = 20;
  std::int64_t drainLimitMs_ = 60000;
  DrainAction drainAction_ = DrainAction::Wait;
  /// Price of one idle VM for one hour.
  std::int64_t holdPrice_ = 1;
  /// Price of one move.
  std::int64_t movePrice_ = 1;
  /// True for the pool that lends its VMs to the others.
  bool spare_ = false;

  bool operator==(const PoolRow&) const = default;
};

/// The table: rows by pool name, and the version that each change raises.
struct PoolTable
{
  std::uint64_t version_ = 0;
  std::map<std::string, PoolRow> rows_;

  bool operator==(const PoolTable&) const = default;
};

/// Where a VM is in its life within a pool.
enum class VmPhase : std::uint8_t
{
  Active,
  Draining, ///< Gets no new work; leaves for a move or a planned stop.
  Stopping, ///< The platform has been asked to reboot it.
  Lost,     ///< Silent for long.
};

/// What a VM says of itself when it announces itself.
struct VmIdentity
{
  std::string id_;
  /// Grows with each boot of the VM.
  std::uint64_t incarnation_ = 0;
  std::string zone_;
  std::string rack_;
  /// Address and port for requests, as "127.0.0.1:8080".
  std::string address_;
  std::int64_t cores_ = 0;
  std::int64_t memoryMb_ = 0;
  std::int64_t slots_ = 0;
  std::int64_t connections_ = 0;

  bool operator==(const VmIdentity&) const = default;
};

/// A VM known to the system. It is in exactly one pool.
struct VmRecord
{
  VmIdentity identity_;
  /// Small number given at registration; digests use it in place of the id.
  std::uint32_t number_ = 0;
  std::string pool_;
  /// Raised by each change of pool or phase.
  std::uint64_t epoch_ = 1;
  VmPhase phase_ = VmPhase::Active;
  /// Pool the VM drains for; empty unless it drains for a move.
  std::string moveTo_;
  /// Permit under which the VM drains or stops; empty without one.
  std::string permit_;
  /// Logical time of the last planned reboot that ended, 0 when none.
  std::uint64_t maintainedAtMs_ = 0;
  /// Logical time at which the present phase began.
  std::uint64_t phaseSinceMs_ = 0;

  bool operator==(const VmRecord&) const = default;
};

/// The right to stop one VM once, within its pool's availability budget.
struct Permit
{
  std::string id_;
  std::string vm_;
  std::string wave_;
  std::uint64_t grantedAtMs_ = 0;
  /// Incarnation at the time of the grant; a newer one ends the permit.
  std::uint64_t incarnation_ = 0;
  /// True once the budget was checked again right before the stop.
  bool confirmed_ = false;

  bool operator==(const Permit&) const = default;
};

enum class WavePhase : std::uint8_t
{
  Running,
  Paused,    ///< By an operator.
  Held,      ///< By the system, as the headroom is gone; resumes by itself.
  Completed, ///< Every VM was rebooted.
  Cancelled,
};

/// A maintenance wave: reboots every VM of its pools, within their budgets.
struct Wave
{
  std::string id_;
  std::vector<std::string> pools_;
  WavePhase phase_ = WavePhase::Running;
  /// Why it is paused or held; empty otherwise.
  std::string reason_;
  /// Most VMs in work at once; 0 leaves it to the budgets.
  std::int64_t width_ = 0;
  std::vector<std::string> pendingVms_;
  std::vector<std::string> doneVms_;
  std::uint64_t startedAtMs_ = 0;
  std::uint64_t endedAtMs_ = 0;

  bool operator==(const Wave&) const = default;
};

enum class ClaimPhase : std::uint8_t
{
  Running,
  Completed, ///< It ran and was answered.
  Unknown,   ///< It may have run; it never runs again.
};

/// An Idempotency-Key in use. Keys belong to a pool and a caller.
struct Claim
{
  std::string key_;
  /// Hash of method, path and body: the same key with another request is
  /// refused.
  std::uint64_t fingerprint_ = 0;
  std::string node_;
  /// Id of the attempt that holds the claim, so that only it can end it.
  std::string owner_;
  ClaimPhase phase_ = ClaimPhase::Running;
  std::int64_t answerStatus_ = 0;
  std::string answerType_;
  /// Kept when it is small enough (see kClaimAnswerLimit).
  std::string answerBody_;
  bool answerKept_ = false;
  std::uint64_t expiresAtMs_ = 0;

  bool operator==(const Claim&) const = default;
};

/// A node of the system: an entry VM, some of which are voters.
struct NodeRecord
{
  std::string id_;
  std::string zone_;
  std::string peerAddress_;
  std::string adminAddress_;
  bool voter_ = false;

  bool operator==(const NodeRecord&) const = default;
};

/// A job that a pool must carry: a number of equal tasks.
struct JobRecord
{
  std::string id_;
  std::string pool_;
  std::string team_;
  std::int64_t tasks_ = 1;
  /// Declared size of one task; the real one is learned from usage.
  std::int64_t milliCores_ = 1000;
  std::int64_t memoryMb_ = 1024;
  std::int64_t slots_ = 1;
  bool urgent_ = false;
  bool cancelled_ = false;

  bool operator==(const JobRecord&) const = default;
};

enum class TaskPhase : std::uint8_t
{
  Waiting,
  Placed,  ///< Ordered to run on a VM under a lease.
  Running, ///< Reported as running by the VM.
  Throttled,
  Stopping, ///< Ordered to checkpoint and stop.
  Completed,
  Failed, ///< Failed on several VMs: the task itself is at fault.
};

/// One task of a job.
struct TaskRecord
{
  std::string id_;
  std::string job_;
  std::string vm_;
  TaskPhase phase_ = TaskPhase::Waiting;
  /// Raised with each placement; reports of an older one are ignored.
  std::uint64_t lease_ = 0;
  std::uint64_t leaseUntilMs_ = 0;
  /// VMs on which it failed.
  std::vector<std::string> failedOn_;
  std::uint64_t phaseSinceMs_ = 0;

  bool operator==(const TaskRecord&) const = default;
};

/// Most of what a team may hold at once, over all pools; 0 is no limit.
struct TeamQuota
{
  std::string team_;
  std::int64_t milliCores_ = 0;
  std::int64_t memoryMb_ = 0;

  bool operator==(const TeamQuota&) const = default;
};

/// One decision on a pool or a VM, in a sentence for the operator.
struct DecisionRecord
{
  std::uint64_t atMs_ = 0;
  /// "pool:NAME", "vm:ID", "wave:ID", "node:ID" or "job:ID".
  std::string subject_;
  std::string text_;

  bool operator==(const DecisionRecord&) const = default;
};

} // namespace acaciahill
