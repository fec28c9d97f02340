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
/// Claims held at most; more are refused with ClaimLimit.
inline constexpr std::size_t kClaimLimit = 200000;
/// Results kept for resends, oldest dropped first. Those of claim commands are
/// counted apart, so that a replica without claims drops the same other ones.
inline constexpr std::size_t kResultLimit = 10000;
/// Decisions kept for each subject, oldest dropped first.
inline constexpr std::size_t kDecisionsPerSubject = 20;

/// Waves and jobs kept after they ended, oldest dropped first.
inline constexpr std::size_t kEndedWaveLimit = 100;
inline constexpr std::size_t kEndedJobLimit = 1000;
/// Subjects with decisions; the one that was silent for longest is dropped.
inline constexpr std::size_t kSubjectLimit = 20000;

/// What a team holds at once: the declared sizes of its tasks that are placed.
struct TeamUse
{
  std::int64_t milliCores_ = 0;
  std::int64_t memoryMb_ = 0;

  bool operator==(const TeamUse&) const = default;
};

/// What the state derives from its tasks. Entries of 0 are left out.
struct TaskCounts
{
  /// Tasks that neither completed nor failed, by job.
  std::map<std::string, std::int64_t> openByJob_;
  /// Tasks held under a lease, by VM.
  std::map<std::string, std::set<std::string>> heldOnVm_;
  std::map<std::string, TeamUse> useByTeam_;

  bool operator==(const TaskCounts&) const = default;
};

/// Results by request id, oldest first in their order.
struct StoredResults
{
  std::map<std::string, CommandResult> byRequest_;
  std::deque<std::string> order_;

  bool operator==(const StoredResults&) const = default;
};

/// The replicated state. Every replica applies the same commands in the same
/// order and holds the same value; there is no clock and no I/O in it. A state
/// without claims is equal to it in all but claims and the results of claim
/// commands; it serves nodes that never lead and so never decide on a claim.
class Fleet
{
public:
  Fleet() = default;

  /// Applies one committed command at a log index. A command whose request id
  /// was seen before changes nothing and returns its first result.
  CommandResult Apply(const CommandEnvelope& aEnvelope, std::uint64_t aIndex);

  /// What Apply would refuse now; nothing when it would be carried out.
  std::optional<Error> Check(const Command& aCommand) const;

  /// Makes this a state without claims. It cannot be undone but by a snapshot
  /// of a state that holds them.
  void DropClaims();

  /// False for a state without claims.
  bool HoldsClaims() const { return holdsClaims_; }

  /// Passes over claim commands in a state without claims, up to the index of
  /// the last one. The logical time is that of a whole replica right after it.
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
  /// Jobs, workers and upkeep as the scheduler knows them.
  const Workload& GetWorkload() const { return workload_; }
  /// Ids of the tasks that a VM holds under a lease.
  const std::set<std::string>& TasksOn(const std::string& aVm) const;
  /// What a team holds now, to compare with its quota.
  TeamUse UseOf(const std::string& aTeam) const;
  /// Total of completed moves, for the measure "moves".
  std::uint64_t MoveCount() const { return moveCount_; }

  /// The last decisions on a subject, oldest first.
  std::vector<DecisionRecord> DecisionsOn(const std::string& aSubject) const;

  /// The whole state as CBOR.
  std::string EncodeSnapshot() const;

  /// As EncodeSnapshot after DropClaims.
  std::string EncodeSnapshotWithoutClaims() const;

  /// Reads EncodeSnapshot's form. Errors: CorruptSnapshot.
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
  // Claims by the time at which they expire; derived from claims_.
  std::set<std::pair<std::uint64_t, std::string>> claimOrder_;
  TaskCounts taskCounts_;
  // Waves and jobs that ended, oldest first.
  std::deque<std::string> endedWaves_;
  std::deque<std::string> endedJobs_;
};

/// True for the commands that change or read claims only.
bool
IsClaimCommand(const Command& aCommand);

/// A command envelope as CBOR, the form in which log entries hold it.
std::string
EncodeEnvelope(const CommandEnvelope& aEnvelope);

/// Reads EncodeEnvelope's form. Errors: BadRequest.
Result<CommandEnvelope>
DecodeEnvelope(std::string_view aBytes);

/// A command result as CBOR.
std::string
EncodeResult(const CommandResult& aResult);

/// Reads EncodeResult's form. Errors: BadRequest.
Result<CommandResult>
DecodeResult(std::string_view aBytes);

} // namespace acaciahill
