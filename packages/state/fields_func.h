#pragma once

#include "state/command_type.h"
#include "state/fleet_type.h"

#include <array>
#include <string_view>
#include <type_traits>
#include <utility>

/// Field names of the state's structs in JSON and CBOR, defined once for
/// reading and writing. Fields(aIo, aValue) calls aIo(name, member) for each
/// field.
namespace acaciahill::detail {

/// T is Struct or const Struct: a reader fills fields, a writer only reads
/// them.
template<typename T, typename Struct>
concept Either = std::is_same_v<std::remove_const_t<T>, Struct>;

template<typename T>
struct EnumWords;

template<>
struct EnumWords<DrainAction>
{
  static constexpr auto kWords =
    std::to_array<std::string_view>({ "wait", "stop" });
};

template<>
struct EnumWords<VmPhase>
{
  static constexpr auto kWords = std::to_array<std::string_view>(
    { "active", "draining", "stopping", "lost" });
};

template<>
struct EnumWords<WavePhase>
{
  static constexpr auto kWords = std::to_array<std::string_view>(
    { "running", "paused", "held", "completed", "cancelled" });
};

template<>
struct EnumWords<ClaimPhase>
{
  static constexpr auto kWords =
    std::to_array<std::string_view>({ "running", "completed", "unknown" });
};

template<>
struct EnumWords<ClaimEnd>
{
  static constexpr auto kWords =
    std::to_array<std::string_view>({ "not_run", "completed", "unknown" });
};

template<>
struct EnumWords<TaskPhase>
{
  static constexpr auto kWords = std::to_array<std::string_view>({ "waiting",
                                                                   "placed",
                                                                   "running",
                                                                   "throttled",
                                                                   "stopping",
                                                                   "completed",
                                                                   "failed" });
};

/// Names of the commands in the order of the Command variant.
inline constexpr auto kCommandNames = std::to_array<std::string_view>({
  "set_cell",      "apply_table",   "announce_vm",    "begin_move",
  "complete_move", "abort_move",    "mark_vm_lost",   "recover_vm",
  "remove_vm",     "start_wave",    "set_wave_phase", "grant_permit",
  "confirm_stop",  "revoke_permit", "begin_claim",    "end_claim",
  "register_node", "remove_node",   "put_job",        "cancel_job",
  "set_quota",     "place_task",    "update_task",    "change_workload",
});
static_assert(kCommandNames.size() == std::variant_size_v<Command>);

template<typename Io, Either<PoolRow> T>
void
Fields(Io& aIo, T& aValue)
{
  aIo("pool", aValue.pool_);
  aIo("weight", aValue.weight_);
  aIo("size", aValue.size_);
  aIo("min_available", aValue.minAvailable_);
  aIo("max_unavailable", aValue.maxUnavailable_);
  aIo("queue_limit", aValue.queueLimit_);
  aIo("deadline_ms", aValue.deadlineMs_);
  aIo("caller_limit", aValue.callerLimit_);
  aIo("retry_percent", aValue.retryPercent_);
  aIo("drain_limit_ms", aValue.drainLimitMs_);
  aIo("drain_action", aValue.drainAction_);
  aIo("hold_price", aValue.holdPrice_);
  aIo("move_price", aValue.movePrice_);
  aIo("spare", aValue.spare_);
}

template<typename Io, Either<VmIdentity> T>
void
Fields(Io& aIo, T& aValue)
{
  aIo("id", aValue.id_);
  aIo("incarnation", aValue.incarnation_);
  aIo("zone", aValue.zone_);
  aIo("rack", aValue.rack_);
  aIo("address", aValue.address_);
  aIo("cores", aValue.cores_);
  aIo("memory_mb", aValue.memoryMb_);
  aIo("slots", aValue.slots_);
  aIo("connections", aValue.connections_);
}

template<typename Io, Either<VmRecord> T>
void
Fields(Io& aIo, T& aValue)
{
  aIo("identity", aValue.identity_);
  aIo("number", aValue.number_);
  aIo("pool", aValue.pool_);
  aIo("epoch", aValue.epoch_);
  aIo("phase", aValue.phase_);
  aIo("move_to", aValue.moveTo_);
  aIo("permit", aValue.permit_);
  aIo("maintained_at_ms", aValue.maintainedAtMs_);
  aIo("phase_since_ms", aValue.phaseSinceMs_);
}

template<typename Io, Either<Permit> T>
void
Fields(Io& aIo, T& aValue)
{
  aIo("id", aValue.id_);
  aIo("vm", aValue.vm_);
  aIo("wave", aValue.wave_);
  aIo("granted_at_ms", aValue.grantedAtMs_);
  aIo("incarnation", aValue.incarnation_);
  aIo("confirmed", aValue.confirmed_);
}

template<typename Io, Either<Wave> T>
void
Fields(Io& aIo, T& aValue)
{
  aIo("id", aValue.id_);
  aIo("pools", aValue.pools_);
  aIo("phase", aValue.phase_);
  aIo("reason", aValue.reason_);
  aIo("width", aValue.width_);
  aIo("pending_vms", aValue.pendingVms_);
  aIo("done_vms", aValue.doneVms_);
  aIo("started_at_ms", aValue.startedAtMs_);
  aIo("ended_at_ms", aValue.endedAtMs_);
}

template<typename Io, Either<Claim> T>
void
Fields(Io& aIo, T& aValue)
{
  aIo("key", aValue.key_);
  aIo("fingerprint", aValue.fingerprint_);
  aIo("node", aValue.node_);
  aIo("owner", aValue.owner_);
  aIo("phase", aValue.phase_);
  aIo("answer_status", aValue.answerStatus_);
  aIo("answer_type", aValue.answerType_);
  aIo("answer_body", aValue.answerBody_);
  aIo("answer_kept", aValue.answerKept_);
  aIo("expires_at_ms", aValue.expiresAtMs_);
}

template<typename Io, Either<NodeRecord> T>
void
Fields(Io& aIo, T& aValue)
{
  aIo("id", aValue.id_);
  aIo("zone", aValue.zone_);
  aIo("peer_address", aValue.peerAddress_);
  aIo("admin_address", aValue.adminAddress_);
  aIo("voter", aValue.voter_);
}

template<typename Io, Either<JobRecord> T>
void
Fields(Io& aIo, T& aValue)
{
  aIo("id", aValue.id_);
  aIo("pool", aValue.pool_);
  aIo("team", aValue.team_);
  aIo("tasks", aValue.tasks_);
  aIo("milli_cores", aValue.milliCores_);
  aIo("memory_mb", aValue.memoryMb_);
  aIo("slots", aValue.slots_);
  aIo("urgent", aValue.urgent_);
  aIo("cancelled", aValue.cancelled_);
}

template<typename Io, Either<TaskRecord> T>
void
Fields(Io& aIo, T& aValue)
{
  aIo("id", aValue.id_);
  aIo("job", aValue.job_);
  aIo("vm", aValue.vm_);
  aIo("phase", aValue.phase_);
  aIo("lease", aValue.lease_);
  aIo("lease_until_ms", aValue.leaseUntilMs_);
  aIo("failed_on", aValue.failedOn_);
  aIo("phase_since_ms", aValue.phaseSinceMs_);
}

template<typename Io, Either<TeamQuota> T>
void
Fields(Io& aIo, T& aValue)
{
  aIo("team", aValue.team_);
  aIo("milli_cores", aValue.milliCores_);
  aIo("memory_mb", aValue.memoryMb_);
}

template<typename Io, Either<DecisionRecord> T>
void
Fields(Io& aIo, T& aValue)
{
  aIo("at_ms", aValue.atMs_);
  aIo("subject", aValue.subject_);
  aIo("text", aValue.text_);
}

template<typename Io, Either<SetCell> T>
void
Fields(Io& aIo, T& aValue)
{
  aIo("pool", aValue.pool_);
  aIo("column", aValue.column_);
  aIo("value", aValue.value_);
  aIo("if_version", aValue.ifVersion_);
}

template<typename Io, Either<ApplyTable> T>
void
Fields(Io& aIo, T& aValue)
{
  aIo("rows", aValue.rows_);
  aIo("if_version", aValue.ifVersion_);
}

template<typename Io, Either<AnnounceVm> T>
void
Fields(Io& aIo, T& aValue)
{
  aIo("identity", aValue.identity_);
}

template<typename Io, Either<BeginMove> T>
void
Fields(Io& aIo, T& aValue)
{
  aIo("vm", aValue.vm_);
  aIo("to_pool", aValue.toPool_);
  aIo("reason", aValue.reason_);
  aIo("unavailable", aValue.unavailable_);
}

template<typename Io, Either<CompleteMove> T>
void
Fields(Io& aIo, T& aValue)
{
  aIo("vm", aValue.vm_);
  aIo("epoch", aValue.epoch_);
}

template<typename Io, Either<AbortMove> T>
void
Fields(Io& aIo, T& aValue)
{
  aIo("vm", aValue.vm_);
  aIo("epoch", aValue.epoch_);
  aIo("reason", aValue.reason_);
}

template<typename Io, Either<MarkVmLost> T>
void
Fields(Io& aIo, T& aValue)
{
  aIo("vm", aValue.vm_);
  aIo("incarnation", aValue.incarnation_);
}

template<typename Io, Either<RecoverVm> T>
void
Fields(Io& aIo, T& aValue)
{
  aIo("vm", aValue.vm_);
  aIo("incarnation", aValue.incarnation_);
}

template<typename Io, Either<RemoveVm> T>
void
Fields(Io& aIo, T& aValue)
{
  aIo("vm", aValue.vm_);
}

template<typename Io, Either<StartWave> T>
void
Fields(Io& aIo, T& aValue)
{
  aIo("wave", aValue.wave_);
  aIo("pools", aValue.pools_);
  aIo("width", aValue.width_);
}

template<typename Io, Either<SetWavePhase> T>
void
Fields(Io& aIo, T& aValue)
{
  aIo("wave", aValue.wave_);
  aIo("phase", aValue.phase_);
  aIo("reason", aValue.reason_);
}

template<typename Io, Either<GrantPermit> T>
void
Fields(Io& aIo, T& aValue)
{
  aIo("wave", aValue.wave_);
  aIo("vm", aValue.vm_);
  aIo("permit", aValue.permit_);
  aIo("unavailable", aValue.unavailable_);
}

template<typename Io, Either<ConfirmStop> T>
void
Fields(Io& aIo, T& aValue)
{
  aIo("permit", aValue.permit_);
  aIo("epoch", aValue.epoch_);
  aIo("unavailable", aValue.unavailable_);
}

template<typename Io, Either<RevokePermit> T>
void
Fields(Io& aIo, T& aValue)
{
  aIo("permit", aValue.permit_);
  aIo("reason", aValue.reason_);
}

template<typename Io, Either<BeginClaim> T>
void
Fields(Io& aIo, T& aValue)
{
  aIo("key", aValue.key_);
  aIo("fingerprint", aValue.fingerprint_);
  aIo("node", aValue.node_);
  aIo("owner", aValue.owner_);
}

template<typename Io, Either<EndClaim> T>
void
Fields(Io& aIo, T& aValue)
{
  aIo("key", aValue.key_);
  aIo("owner", aValue.owner_);
  aIo("end", aValue.end_);
  aIo("answer_status", aValue.answerStatus_);
  aIo("answer_type", aValue.answerType_);
  aIo("answer_body", aValue.answerBody_);
  aIo("answer_kept", aValue.answerKept_);
}

template<typename Io, Either<RegisterNode> T>
void
Fields(Io& aIo, T& aValue)
{
  aIo("node", aValue.node_);
}

template<typename Io, Either<RemoveNode> T>
void
Fields(Io& aIo, T& aValue)
{
  aIo("node", aValue.node_);
}

template<typename Io, Either<PutJob> T>
void
Fields(Io& aIo, T& aValue)
{
  aIo("job", aValue.job_);
}

template<typename Io, Either<CancelJob> T>
void
Fields(Io& aIo, T& aValue)
{
  aIo("job", aValue.job_);
}

template<typename Io, Either<SetQuota> T>
void
Fields(Io& aIo, T& aValue)
{
  aIo("quota", aValue.quota_);
}

template<typename Io, Either<PlaceTask> T>
void
Fields(Io& aIo, T& aValue)
{
  aIo("task", aValue.task_);
  aIo("vm", aValue.vm_);
  aIo("lease_ms", aValue.leaseMs_);
}

template<typename Io, Either<UpdateTask> T>
void
Fields(Io& aIo, T& aValue)
{
  aIo("task", aValue.task_);
  aIo("lease", aValue.lease_);
  aIo("phase", aValue.phase_);
  aIo("failed_on_vm", aValue.failedOnVm_);
  aIo("reason", aValue.reason_);
  aIo("lease_ms", aValue.leaseMs_);
}

template<typename Io, Either<Error> T>
void
Fields(Io& aIo, T& aValue)
{
  aIo("kind", aValue.kind_);
  aIo("detail", aValue.detail_);
}

template<typename Io, Either<ChangeWorkload> T>
void
Fields(Io& aIo, T& aValue)
{
  aIo("batch", aValue.batch_);
}

template<typename Io, Either<CommandResult> T>
void
Fields(Io& aIo, T& aValue)
{
  aIo("error", aValue.error_);
  aIo("table_version", aValue.tableVersion_);
  aIo("index", aValue.index_);
  aIo("text", aValue.text_);
  aIo("claim", aValue.claim_);
}

template<typename Io, Either<CommandEnvelope> T>
void
Fields(Io& aIo, T& aValue)
{
  aIo("request_id", aValue.requestId_);
  aIo("elapsed_ms", aValue.elapsedMs_);
  aIo("command", aValue.command_);
}

} // namespace acaciahill::detail
