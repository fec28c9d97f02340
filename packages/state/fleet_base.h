#pragma once

#include "state/command_type.h"
#include "state/fleet_type.h"
#include "workload/workload_base.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace acaciahill {

/// Answers up to this many bytes are kept with their claim and replayed.
inline constexpr std::size_t kClaimAnswerLimit = 2048;
/// Logical time for which a claim is kept after it began.
inline constexpr std::uint64_t kClaimRetentionMs = 24ULL * 3600 * 1000;
/// Maximum number of claims; further ones are refused with ClaimLimit.
inline constexpr std::size_t kClaimLimit = 200000;
/// Results kept for resends; the oldest are evicted first. Results of claim
/// commands are counted separately, so that a replica without claims evicts the
/// same results of other commands.
inline constexpr std::size_t kResultLimit = 10000;
/// Decisions kept for each subject; the oldest are evicted first.
inline constexpr std::size_t kDecisionsPerSubject = 20;

/// Waves and jobs kept after they ended; the oldest are evicted first.
inline constexpr std::size_t kEndedWaveLimit = 100;
inline constexpr std::size_t kEndedJobLimit = 1000;
/// Subjects with decisions; the one with the oldest last decision is evicted.
inline constexpr std::size_t kSubjectLimit = 20000;

/// Sum of the declared sizes of a team's placed tasks.
struct TeamUse
{
  std::int64_t milliCores_ = 0;
  std::int64_t memoryMb_ = 0;

  bool operator==(const TeamUse&) const = default;
};

/// Indices and totals derived from the tasks. Entries of 0 are left out.
struct TaskCounts
{
  /// Tasks that neither completed nor failed, by job.
  std::map<std::string, std::int64_t> openByJob_;
  /// Tasks held under a lease, by VM.
  std::map<std::string, std::set<std::string>> heldOnVm_;
  std::map<std::string, TeamUse> useByTeam_;

  bool operator==(const TaskCounts&) const = default;
};

/// Results by request id, and the ids from oldest to newest.
struct StoredResults
{
  std::map<std::string, CommandResult> byRequest_;
  std::deque<std::string> order_;

  bool operator==(const StoredResults&) const = default;
};

/// The replicated state. Every replica applies the same commands in the same
/// order and holds the same value; it reads no clock and does no I/O. A state
/// without claims equals a full one except for claims and the results of claim
/// commands. Nodes that never lead use it, as they never decide on a claim.
class Fleet
{
public:
  Fleet() = default;

  /// Applies one committed command at a log index. A command whose request id
  /// was seen before only advances the clock and returns its first result.
  CommandResult Apply(const CommandEnvelope& aEnvelope, std::uint64_t aIndex);

  /// The error that Apply would return now; nothing when it would succeed.
  std::optional<Error> Check(const Command& aCommand) const;

  /// Turns this into a state without claims. Only a snapshot of a state with
  /// claims brings them back.
  void DropClaims();

  /// False for a state without claims.
  bool HoldsClaims() const { return holdsClaims_; }

  /// Skips claim commands in a state without claims, up to the log index of the
  /// last one. aLogicalMs is the logical time of a full replica right after it.
  void SkipClaims(std::uint64_t aLastIndex, std::uint64_t aLogicalMs);

  std::uint64_t AppliedIndex() const { return appliedIndex_; }
  /// Logical time in ms: the sum of the elapsed times of all commands.
  std::uint64_t LogicalMs() const { return logicalMs_; }
  const PoolTable& Table() const { return table_; }
  const std::map<std::string, VmRecord>& Vms() const { return vms_; }
  const std::map<std::string, Permit>& Permits() const { return permits_; }
  const std::map<std::string, Wave>& Waves() const { return waves_; }
  const std::map<std::string, Claim>& Claims() const { return claims_; }
  const std::map<std::string, NodeRecord>& Nodes() const { return nodes_; }
  const std::map<std::string, JobRecord>& Jobs() const { return jobs_; }
  const std::map<std::string, TaskRecord>& Tasks() const { return tasks_; }
  const std::map<std::string, TeamQuota>& Quotas() const { return quotas_; }
  /// Tasks of a job that neither completed nor failed; 0 for an unknown job.
  std::int64_t OpenTasks(const std::string& aJob) const;
  /// The scheduler's state: jobs, workers and upkeep.
  const Workload& GetWorkload() const { return workload_; }
  /// Ids of the tasks that a VM holds under a lease.
  const std::set<std::string>& TasksOn(const std::string& aVm) const;
  /// Resources that a team holds now, to compare with its quota.
  TeamUse UseOf(const std::string& aTeam) const;
  /// Total number of completed moves, for metrics.
  std::uint64_t MoveCount() const { return moveCount_; }

  /// The last decisions about a subject, oldest first.
  std::vector<DecisionRecord> DecisionsOn(const std::string& aSubject) const;

  /// Encodes the whole state as CBOR.
  std::string EncodeSnapshot() const;

  /// Same as EncodeSnapshot after DropClaims.
  std::string EncodeSnapshotWithoutClaims() const;

  /// Decodes the output of EncodeSnapshot. Errors: CorruptSnapshot.
  static Result<Fleet> DecodeSnapshot(std::string_view aBytes);

  bool operator==(const Fleet&) const = default;

private:
  friend struct FleetCodec;
  friend class FleetEditor;

  bool holdsClaims_ = true;
  std::uint64_t appliedIndex_ = 0;
  std::uint64_t logicalMs_ = 0;
  std::uint32_t nextVmNumber_ = 1;
  std::uint64_t moveCount_ = 0;
  PoolTable table_;
  std::map<std::string, VmRecord> vms_;
  std::map<std::string, Permit> permits_;
  std::map<std::string, Wave> waves_;
  std::map<std::string, Claim> claims_;
  std::map<std::string, NodeRecord> nodes_;
  std::map<std::string, JobRecord> jobs_;
  std::map<std::string, TaskRecord> tasks_;
  std::map<std::string, TeamQuota> quotas_;
  Workload workload_;
  StoredResults results_;
  StoredResults claimResults_;
  std::map<std::string, std::deque<DecisionRecord>> decisions_;
  // Claim keys by expiry time; derived from claims_.
  std::set<std::pair<std::uint64_t, std::string>> claimOrder_;
  TaskCounts taskCounts_;
  // Ids of waves and jobs that ended, oldest first.
  std::deque<std::string> endedWaves_;
  std::deque<std::string> endedJobs_;
};

/// True for BeginClaim and EndClaim.
bool
IsClaimCommand(const Command& aCommand);

/// Encodes a command envelope as CBOR, the format of log entries.
std::string
EncodeEnvelope(const CommandEnvelope& aEnvelope);

/// Decodes the output of EncodeEnvelope. Errors: BadRequest.
Result<CommandEnvelope>
DecodeEnvelope(std::string_view aBytes);

/// Encodes a command result as CBOR.
std::string
EncodeResult(const CommandResult& aResult);

/// Decodes the output of EncodeResult. Errors: BadRequest.
Result<CommandResult>
DecodeResult(std::string_view aBytes);

} // namespace acaciahill
