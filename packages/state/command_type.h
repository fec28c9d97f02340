#pragma once

#include "kernel/error_type.h"
#include "state/fleet_type.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace acaciahill {

/// Sets one cell of the table. Refused with VersionConflict unless the table's
/// version is ifVersion_.
struct SetCell
{
  std::string pool_;
  std::string column_;
  std::string value_;
  std::uint64_t ifVersion_ = 0;

  bool operator==(const SetCell&) const = default;
};

/// Replaces the whole table atomically. Pools without a row are removed; the
/// command is refused when one of them still has VMs or unfinished jobs.
struct ApplyTable
{
  std::vector<PoolRow> rows_;
  std::uint64_t ifVersion_ = 0;

  bool operator==(const ApplyTable&) const = default;
};

/// Registers a VM, or updates it after a restart with a new incarnation. A new
/// VM joins the spare pool or, without one, the pool with the largest shortage.
/// A new incarnation ends the VM's permit. Refused with StaleIncarnation when a
/// newer incarnation is known, and with IdentityConflict when the id is in use
/// at another address, zone or rack, unless the known VM is Lost or Stopping
/// and the incarnation is newer.
struct AnnounceVm
{
  VmIdentity identity_;

  bool operator==(const AnnounceVm&) const = default;
};

/// Starts to drain a VM that is to move to another pool.
struct BeginMove
{
  std::string vm_;
  std::string toPool_;
  std::string reason_;
  /// VMs that the leader sees as unavailable or unknown.
  std::vector<std::string> unavailable_;

  bool operator==(const BeginMove&) const = default;
};

/// Moves a drained VM to its new pool. The epoch is that of the drain.
struct CompleteMove
{
  std::string vm_;
  std::uint64_t epoch_ = 0;

  bool operator==(const CompleteMove&) const = default;
};

/// Cancels a move: the VM stays in its pool and becomes active again.
struct AbortMove
{
  std::string vm_;
  std::uint64_t epoch_ = 0;
  std::string reason_;

  bool operator==(const AbortMove&) const = default;
};

/// Marks a VM as Lost because the leader has had no contact with it for too
/// long.
struct MarkVmLost
{
  std::string vm_;
  std::uint64_t incarnation_ = 0;

  bool operator==(const MarkVmLost&) const = default;
};

/// Restores a Lost VM that reported again with the same incarnation. It becomes
/// Active, or Draining or Stopping when it has an open permit or move.
struct RecoverVm
{
  std::string vm_;
  std::uint64_t incarnation_ = 0;

  bool operator==(const RecoverVm&) const = default;
};

/// Removes a Lost VM and closes its permit.
struct RemoveVm
{
  std::string vm_;

  bool operator==(const RemoveVm&) const = default;
};

/// Starts a maintenance wave over pools; no pools means all of them.
struct StartWave
{
  std::string wave_;
  std::vector<std::string> pools_;
  std::int64_t width_ = 0;

  bool operator==(const StartWave&) const = default;
};

/// Pauses, holds, resumes or cancels a wave. Cancelling ends the drain of VMs
/// whose stop is not confirmed; they stay in their pools.
struct SetWavePhase
{
  std::string wave_;
  WavePhase phase_ = WavePhase::Paused;
  std::string reason_;

  bool operator==(const SetWavePhase&) const = default;
};

/// Grants a permit to stop a VM for a wave and starts to drain it. Refused with
/// BudgetExceeded when the pool's availability budget does not allow it.
struct GrantPermit
{
  std::string wave_;
  std::string vm_;
  std::string permit_;
  std::vector<std::string> unavailable_;

  bool operator==(const GrantPermit&) const = default;
};

/// Checks the budget again right before the platform is asked to stop the VM.
struct ConfirmStop
{
  std::string permit_;
  std::uint64_t epoch_ = 0;
  std::vector<std::string> unavailable_;

  bool operator==(const ConfirmStop&) const = default;
};

/// Revokes a permit whose stop has not been confirmed.
struct RevokePermit
{
  std::string permit_;
  std::string reason_;

  bool operator==(const RevokePermit&) const = default;
};

/// Claims an Idempotency-Key before the request is sent. It is refused when the
/// key has a claim, also a completed one; the result then holds that claim.
struct BeginClaim
{
  std::string key_;
  std::uint64_t fingerprint_ = 0;
  std::string node_;
  std::string owner_;

  bool operator==(const BeginClaim&) const = default;
};

/// How a claimed request ended.
enum class ClaimEnd : std::uint8_t
{
  NotRun, ///< The claim is released; the request may run later.
  Completed,
  Unknown,
};

/// Ends a claim held by the same owner. Ending it again is not an error; the
/// first outcome stays. The claim ends even when its answer is larger than
/// kClaimAnswerLimit bytes and so is not kept.
struct EndClaim
{
  std::string key_;
  std::string owner_;
  ClaimEnd end_ = ClaimEnd::Unknown;
  std::int64_t answerStatus_ = 0;
  std::string answerType_;
  std::string answerBody_;
  bool answerKept_ = false;

  bool operator==(const EndClaim&) const = default;
};

/// Adds a node or updates its addresses.
struct RegisterNode
{
  NodeRecord node_;

  bool operator==(const RegisterNode&) const = default;
};

/// Removes a node that will not come back. Its running claims become unknown.
struct RemoveNode
{
  std::string node_;

  bool operator==(const RemoveNode&) const = default;
};

/// Adds a job. Refused with NeverFits when no VM of the pool is large enough.
struct PutJob
{
  JobRecord job_;

  bool operator==(const PutJob&) const = default;
};

/// Cancels a job: waiting tasks become Completed, placed tasks are ordered to
/// stop.
struct CancelJob
{
  std::string job_;

  bool operator==(const CancelJob&) const = default;
};

/// Sets a team's quota.
struct SetQuota
{
  TeamQuota quota_;

  bool operator==(const SetQuota&) const = default;
};

/// Places a task on a VM under a lease.
struct PlaceTask
{
  std::string task_;
  std::string vm_;
  std::uint64_t leaseMs_ = 0;

  bool operator==(const PlaceTask&) const = default;
};

/// Changes the phase of a placed task, by an order or by a report of its VM.
struct UpdateTask
{
  std::string task_;
  std::uint64_t lease_ = 0;
  TaskPhase phase_ = TaskPhase::Running;
  /// True when the task failed on its VM; it then waits for another VM.
  bool failedOnVm_ = false;
  std::string reason_;
  /// When not 0, the lease ends this long after the current logical time.
  std::uint64_t leaseMs_ = 0;

  bool operator==(const UpdateTask&) const = default;
};

/// Applies a batch of events on jobs, workers and upkeep, encoded by
/// EncodeBatch. Only the leader's scheduler creates this command.
struct ChangeWorkload
{
  std::string batch_;

  bool operator==(const ChangeWorkload&) const = default;
};

/// Every change of the replicated state is one of these commands.
using Command = std::variant<SetCell,
                             ApplyTable,
                             AnnounceVm,
                             BeginMove,
                             CompleteMove,
                             AbortMove,
                             MarkVmLost,
                             RecoverVm,
                             RemoveVm,
                             StartWave,
                             SetWavePhase,
                             GrantPermit,
                             ConfirmStop,
                             RevokePermit,
                             BeginClaim,
                             EndClaim,
                             RegisterNode,
                             RemoveNode,
                             PutJob,
                             CancelJob,
                             SetQuota,
                             PlaceTask,
                             UpdateTask,
                             ChangeWorkload>;

/// A command as it is stored in the replicated log.
struct CommandEnvelope
{
  /// Unique for each command of a sender. A resend carries the same id and gets
  /// the first result.
  std::string requestId_;
  /// Monotonic time since the leader's previous command, set by the leader.
  std::uint64_t elapsedMs_ = 0;
  Command command_;

  bool operator==(const CommandEnvelope&) const = default;
};

/// The outcome of a command, kept to answer resends.
struct CommandResult
{
  /// Absent when the command was carried out.
  std::optional<Error> error_;
  std::uint64_t tableVersion_ = 0;
  /// Log index at which the command was first applied.
  std::uint64_t index_ = 0;
  /// Sentence for the operator: which cells changed, what was decided.
  std::string text_;
  /// For a refused BeginClaim: the existing claim, when there is one.
  std::optional<Claim> claim_;

  bool operator==(const CommandResult&) const = default;
};

} // namespace acaciahill
