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

/// Replaces the whole table, all or nothing. Rows that are missing are pools to
/// remove; a pool that still has VMs cannot be removed.
struct ApplyTable
{
  std::vector<PoolRow> rows_;
  std::uint64_t ifVersion_ = 0;

  bool operator==(const ApplyTable&) const = default;
};

/// A VM announced itself for the first time or with a new incarnation. A new VM
/// goes to the spare pool, or to the pool that lacks most when there is none.
/// A new incarnation ends the VM's permit. It is refused with
/// StaleIncarnation when a newer incarnation is known, and with
/// IdentityConflict when the id is bound to another address under the same
/// incarnation.
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

/// Gives up a move: the VM stays in its pool and becomes active again.
struct AbortMove
{
  std::string vm_;
  std::uint64_t epoch_ = 0;
  std::string reason_;

  bool operator==(const AbortMove&) const = default;
};

/// A VM has been silent for long.
struct MarkVmLost
{
  std::string vm_;
  std::uint64_t incarnation_ = 0;

  bool operator==(const MarkVmLost&) const = default;
};

/// A lost VM was heard again under the same incarnation. It becomes active, or
/// goes on draining or stopping when it has an open permit or move.
struct RecoverVm
{
  std::string vm_;
  std::uint64_t incarnation_ = 0;

  bool operator==(const RecoverVm&) const = default;
};

/// Forgets a VM that is lost for good, and its permit.
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

/// Pauses, holds, resumes or cancels a wave. Cancelling returns VMs that drain
/// without a confirmed permit to their pools.
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

/// Gives back a permit whose stop was not confirmed.
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

/// Ends a claim held by the same owner. Ending it twice is no error; the first
/// end stays. An answer over kClaimAnswerLimit is not kept, but the claim ends.
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

/// Cancels a job: tasks that wait end as Completed, placed ones are told to
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

/// Orders to a placed task, or what its VM reported of it.
struct UpdateTask
{
  std::string task_;
  std::uint64_t lease_ = 0;
  TaskPhase phase_ = TaskPhase::Running;
  /// True when the task failed on its VM; it then waits for another one.
  bool failedOnVm_ = false;
  std::string reason_;
  /// Extends the lease by this time when it is not 0.
  std::uint64_t leaseMs_ = 0;

  bool operator==(const UpdateTask&) const = default;
};

/// Changes jobs, workers and upkeep by a batch of events, in the form of
/// EncodeBatch. Only the leader's scheduler makes them.
struct ChangeWorkload
{
  std::string batch_;

  bool operator==(const ChangeWorkload&) const = default;
};

/// Every change of shared state is one of these.
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

/// A command on its way through the log.
struct CommandEnvelope
{
  /// Unique for each intent of a sender; a resend carries the same one and gets
  /// the first result.
  std::string requestId_;
  /// Monotonic time since the leader's previous command, set by the leader.
  std::uint64_t elapsedMs_ = 0;
  Command command_;

  bool operator==(const CommandEnvelope&) const = default;
};

/// What a command gave. It is kept for resends.
struct CommandResult
{
  /// Absent when the command was carried out.
  std::optional<Error> error_;
  std::uint64_t tableVersion_ = 0;
  /// Log index at which it was first applied.
  std::uint64_t index_ = 0;
  /// For the operator: which cells changed, what was decided.
  std::string text_;
  /// For BeginClaim: the claim that was found, when there is one.
  std::optional<Claim> claim_;

  bool operator==(const CommandResult&) const = default;
};

} // namespace acaciahill
