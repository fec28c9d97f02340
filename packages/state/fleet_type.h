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
  Wait, ///< The drain continues; the VM keeps its requests.
  Stop, ///< The VM is stopped; requests still in flight are cut off.
};

/// One row of the table: the settings of a pool. Times are in ms; prices are in
/// any unit that the operator uses for all pools.
struct PoolRow
{
  std::string pool_;
  /// Share of a fully loaded entry VM, relative to the other pools' weights.
  std::int64_t weight_ = 100;
  /// Wanted number of VMs.
  std::int64_t size_ = 0;
  /// Availability budget: VMs that must stay available.
  std::int64_t minAvailable_ = 0;
  /// Most VMs that may be stopped, moved out, lost or unknown at once.
  std::int64_t maxUnavailable_ = 1;
  /// Requests that may wait on each entry VM.
  std::int64_t queueLimit_ = 100;
  /// Deadline of requests that do not set one.
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

/// The table: rows by pool name, and a version that each change increments.
struct PoolTable
{
  std::uint64_t version_ = 0;
  std::map<std::string, PoolRow> rows_;

  bool operator==(const PoolTable&) const = default;
};

/// Lifecycle phase of a VM within its pool.
enum class VmPhase : std::uint8_t
{
  Active,
  Draining, ///< Gets no new work; leaves for a move or a planned stop.
  Stopping, ///< The platform has been asked to reboot it.
  Lost,     ///< The leader has had no contact for too long.
};

/// Identity, location and capacity that a VM announces.
struct VmIdentity
{
  std::string id_;
  /// Larger after each boot of the VM.
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
  /// Number assigned at registration; digests use it instead of the id.
  std::uint32_t number_ = 0;
  std::string pool_;
  /// Incremented by each change of pool or phase.
  std::uint64_t epoch_ = 1;
  VmPhase phase_ = VmPhase::Active;
  /// Destination pool of an open move; empty without one.
  std::string moveTo_;
  /// Permit under which the VM drains or stops; empty without one.
  std::string permit_;
  /// Logical time at which the last planned reboot ended, 0 when none.
  std::uint64_t maintainedAtMs_ = 0;
  /// Logical time at which the current phase began.
  std::uint64_t phaseSinceMs_ = 0;

  bool operator==(const VmRecord&) const = default;
};

/// Permission to stop one VM once, within its pool's availability budget.
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
  Paused,    ///< Paused by an operator.
  Held,      ///< Paused for lack of headroom; resumes automatically.
  Completed, ///< Every VM of the wave was rebooted.
  Cancelled,
};

/// A maintenance wave: reboots every VM of its pools, within their budgets.
struct Wave
{
  std::string id_;
  std::vector<std::string> pools_;
  WavePhase phase_ = WavePhase::Running;
  /// Why the wave is paused or held; empty otherwise.
  std::string reason_;
  /// Maximum number of open permits; 0 means only the budgets limit it.
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
  Completed, ///< The request ran and was answered.
  Unknown,   ///< The request may have run, so it never runs again.
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

/// A node of the system: an entry VM, which may be a consensus voter.
struct NodeRecord
{
  std::string id_;
  std::string zone_;
  std::string peerAddress_;
  std::string adminAddress_;
  bool voter_ = false;

  bool operator==(const NodeRecord&) const = default;
};

/// A job of a pool: a number of identical tasks.
struct JobRecord
{
  std::string id_;
  std::string pool_;
  std::string team_;
  std::int64_t tasks_ = 1;
  /// Declared size of one task; its actual size is learned from usage.
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
  Failed, ///< Failed on several VMs, so the task counts as faulty.
};

/// One task of a job.
struct TaskRecord
{
  std::string id_;
  std::string job_;
  std::string vm_;
  TaskPhase phase_ = TaskPhase::Waiting;
  /// Incremented with each placement; reports of an older lease are refused.
  std::uint64_t lease_ = 0;
  std::uint64_t leaseUntilMs_ = 0;
  /// VMs on which the task failed.
  std::vector<std::string> failedOn_;
  std::uint64_t phaseSinceMs_ = 0;

  bool operator==(const TaskRecord&) const = default;
};

/// Resources that a team may hold at once over all pools; 0 means no limit.
struct TeamQuota
{
  std::string team_;
  std::int64_t milliCores_ = 0;
  std::int64_t memoryMb_ = 0;

  bool operator==(const TeamQuota&) const = default;
};

/// One decision about a subject, as a sentence for the operator.
struct DecisionRecord
{
  std::uint64_t atMs_ = 0;
  /// "pool:NAME", "vm:ID", "wave:ID", "node:ID" or "job:ID".
  std::string subject_;
  std::string text_;

  bool operator==(const DecisionRecord&) const = default;
};

} // namespace acaciahill
