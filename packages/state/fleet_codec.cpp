#include "state/fleet_base.h"

#include "state/json_io_base.h"
#include "state/task_use_func.h"

#include <algorithm>
#include <functional>

namespace acaciahill {

namespace {

// Incremented when the snapshot format changes; an older program refuses a
// newer snapshot instead of misreading it. Version 2 stores the results of
// claim commands separately and has a flag for a state without claims; version
// 1 is read as a state with claims whose results are all in one list.
constexpr std::uint64_t kSnapshotVersion = 2;
constexpr std::uint64_t kOldestSnapshotVersion = 1;

template<typename T>
Result<T>
DecodeCbor(std::string_view aBytes, std::string_view aWhat)
{
  const auto json = detail::ParseCbor(aBytes);
  if (!json) {
    return Refuse(ErrorKind::BadRequest,
                  aWhat,
                  " of ",
                  aBytes.size(),
                  " bytes is not valid CBOR");
  }
  return detail::ReadJson<T>(*json);
}

// A result together with the request id under which it is stored.
struct StoredResult
{
  std::string requestId_;
  CommandResult result_;
};

template<typename Io, detail::Either<StoredResult> T>
void
Fields(Io& aIo, T& aValue)
{
  aIo("request_id", aValue.requestId_);
  aIo("result", aValue.result_);
}

// The members of Fleet as lists; the maps are rebuilt on reading.
struct Snapshot
{
  std::uint64_t version_ = 0;
  std::uint64_t appliedIndex_ = 0;
  std::uint64_t logicalMs_ = 0;
  std::uint32_t nextVmNumber_ = 0;
  std::uint64_t moveCount_ = 0;
  std::uint64_t tableVersion_ = 0;
  std::vector<PoolRow> rows_;
  std::vector<VmRecord> vms_;
  std::vector<Permit> permits_;
  std::vector<Wave> waves_;
  std::vector<Claim> claims_;
  std::vector<NodeRecord> nodes_;
  std::vector<JobRecord> jobs_;
  std::vector<TaskRecord> tasks_;
  std::vector<TeamQuota> quotas_;
  std::vector<StoredResult> results_;
  std::vector<StoredResult> claimResults_;
  bool withoutClaims_ = false;
  std::vector<DecisionRecord> decisions_;
  std::vector<std::string> endedWaves_;
  std::vector<std::string> endedJobs_;
  /// Output of Workload::Encode; absent while the workload is empty.
  std::optional<std::string> workload_;
};

template<typename Io, detail::Either<Snapshot> T>
void
Fields(Io& aIo, T& aValue)
{
  aIo("version", aValue.version_);
  aIo("applied_index", aValue.appliedIndex_);
  aIo("logical_ms", aValue.logicalMs_);
  aIo("next_vm_number", aValue.nextVmNumber_);
  aIo("move_count", aValue.moveCount_);
  aIo("table_version", aValue.tableVersion_);
  aIo("rows", aValue.rows_);
  aIo("vms", aValue.vms_);
  aIo("permits", aValue.permits_);
  aIo("waves", aValue.waves_);
  aIo("claims", aValue.claims_);
  aIo("nodes", aValue.nodes_);
  aIo("jobs", aValue.jobs_);
  aIo("tasks", aValue.tasks_);
  aIo("quotas", aValue.quotas_);
  aIo("results", aValue.results_);
  aIo("claim_results", aValue.claimResults_);
  aIo("without_claims", aValue.withoutClaims_);
  aIo("decisions", aValue.decisions_);
  aIo("ended_waves", aValue.endedWaves_);
  aIo("ended_jobs", aValue.endedJobs_);
  aIo("workload", aValue.workload_);
}

template<typename T>
std::vector<T>
ValuesOf(const std::map<std::string, T>& aMap)
{
  std::vector<T> values;
  values.reserve(aMap.size());
  for (const auto& [key, value] : aMap) {
    values.push_back(value);
  }
  return values;
}

// Moves values into a map by a key; false when a key occurs twice.
template<typename T, typename Key>
bool
IndexBy(std::vector<T>& aValues, Key aKey, std::map<std::string, T>& aMap)
{
  for (auto& value : aValues) {
    auto key = std::invoke(aKey, value);
    if (!aMap.emplace(std::move(key), std::move(value)).second) {
      return false;
    }
  }
  return true;
}

const std::string&
VmId(const VmRecord& aVm)
{
  return aVm.identity_.id_;
}

} // namespace

struct FleetCodec
{
  static Snapshot ToSnapshot(const Fleet& aFleet, bool aWithClaims)
  {
    const bool withClaims = aWithClaims && aFleet.holdsClaims_;
    Snapshot snapshot{
      kSnapshotVersion,
      aFleet.appliedIndex_,
      aFleet.logicalMs_,
      aFleet.nextVmNumber_,
      aFleet.moveCount_,
      aFleet.table_.version_,
      ValuesOf(aFleet.table_.rows_),
      ValuesOf(aFleet.vms_),
      ValuesOf(aFleet.permits_),
      ValuesOf(aFleet.waves_),
      withClaims ? ValuesOf(aFleet.claims_) : std::vector<Claim>{},
      ValuesOf(aFleet.nodes_),
      ValuesOf(aFleet.jobs_),
      ValuesOf(aFleet.tasks_),
      ValuesOf(aFleet.quotas_),
      ListOf(aFleet.results_),
      withClaims ? ListOf(aFleet.claimResults_) : std::vector<StoredResult>{},
      !withClaims,
      {},
      { aFleet.endedWaves_.begin(), aFleet.endedWaves_.end() },
      { aFleet.endedJobs_.begin(), aFleet.endedJobs_.end() },
      aFleet.workload_ == Workload{} ? std::nullopt
                                     : std::optional(aFleet.workload_.Encode())
    };
    for (const auto& [subject, records] : aFleet.decisions_) {
      snapshot.decisions_.insert(
        snapshot.decisions_.end(), records.begin(), records.end());
    }
    return snapshot;
  }

  // Restores a fleet; false when the snapshot is inconsistent.
  static bool FromSnapshot(Snapshot aSnapshot, Fleet& aFleet)
  {
    aFleet.appliedIndex_ = aSnapshot.appliedIndex_;
    aFleet.logicalMs_ = aSnapshot.logicalMs_;
    aFleet.nextVmNumber_ = aSnapshot.nextVmNumber_;
    aFleet.moveCount_ = aSnapshot.moveCount_;
    aFleet.table_.version_ = aSnapshot.tableVersion_;
    const bool areKeysUnique =
      IndexBy(aSnapshot.rows_, &PoolRow::pool_, aFleet.table_.rows_) &&
      IndexBy(aSnapshot.vms_, VmId, aFleet.vms_) &&
      IndexBy(aSnapshot.permits_, &Permit::id_, aFleet.permits_) &&
      IndexBy(aSnapshot.waves_, &Wave::id_, aFleet.waves_) &&
      IndexBy(aSnapshot.claims_, &Claim::key_, aFleet.claims_) &&
      IndexBy(aSnapshot.nodes_, &NodeRecord::id_, aFleet.nodes_) &&
      IndexBy(aSnapshot.jobs_, &JobRecord::id_, aFleet.jobs_) &&
      IndexBy(aSnapshot.tasks_, &TaskRecord::id_, aFleet.tasks_) &&
      IndexBy(aSnapshot.quotas_, &TeamQuota::team_, aFleet.quotas_);
    if (!areKeysUnique) {
      return false;
    }
    aFleet.holdsClaims_ = !aSnapshot.withoutClaims_;
    if (!RestoreResults(aSnapshot.results_, aFleet.results_) ||
        !RestoreResults(aSnapshot.claimResults_, aFleet.claimResults_)) {
      return false;
    }
    const bool areClaimsListed =
      !aFleet.claims_.empty() || !aFleet.claimResults_.order_.empty();
    if (areClaimsListed && !aFleet.holdsClaims_) {
      return false;
    }
    if (aSnapshot.workload_) {
      auto workload = Workload::Decode(*aSnapshot.workload_);
      if (!IsOk(workload)) {
        return false;
      }
      aFleet.workload_ = ValueOf(std::move(workload));
    }
    for (auto& decision : aSnapshot.decisions_) {
      aFleet.decisions_[decision.subject_].push_back(std::move(decision));
    }
    for (const auto& [key, claim] : aFleet.claims_) {
      aFleet.claimOrder_.emplace(claim.expiresAtMs_, key);
    }
    aFleet.endedWaves_ = { aSnapshot.endedWaves_.begin(),
                           aSnapshot.endedWaves_.end() };
    aFleet.endedJobs_ = { aSnapshot.endedJobs_.begin(),
                          aSnapshot.endedJobs_.end() };
    if (!IsConsistent(aFleet)) {
      return false;
    }
    for (const auto& [id, task] : aFleet.tasks_) {
      detail::CountTask(
        task, aFleet.jobs_.at(task.job_), 1, aFleet.taskCounts_);
    }
    return true;
  }

private:
  static std::vector<StoredResult> ListOf(const StoredResults& aResults)
  {
    std::vector<StoredResult> list;
    list.reserve(aResults.order_.size());
    for (const auto& id : aResults.order_) {
      list.push_back({ id, aResults.byRequest_.at(id) });
    }
    return list;
  }

  // False when a request id occurs twice.
  static bool RestoreResults(std::vector<StoredResult>& aList,
                             StoredResults& aResults)
  {
    for (auto& kept : aList) {
      aResults.order_.push_back(kept.requestId_);
      if (!aResults.byRequest_.emplace(kept.requestId_, std::move(kept.result_))
             .second) {
        return false;
      }
    }
    return true;
  }

  static bool IsPermitOf(const Fleet& aFleet, const VmRecord& aVm)
  {
    const auto permit = aFleet.permits_.find(aVm.permit_);
    return aVm.permit_.empty() || (permit != aFleet.permits_.end() &&
                                   permit->second.vm_ == aVm.identity_.id_);
  }

  static bool IsConsistent(const Fleet& aFleet)
  {
    for (const auto& [id, vm] : aFleet.vms_) {
      if (aFleet.table_.rows_.count(vm.pool_) == 0 ||
          (!vm.moveTo_.empty() && aFleet.table_.rows_.count(vm.moveTo_) == 0) ||
          !IsPermitOf(aFleet, vm) || vm.number_ >= aFleet.nextVmNumber_) {
        return false;
      }
    }
    for (const auto& [id, permit] : aFleet.permits_) {
      const auto vm = aFleet.vms_.find(permit.vm_);
      if (vm == aFleet.vms_.end() || vm->second.permit_ != id ||
          aFleet.waves_.count(permit.wave_) == 0) {
        return false;
      }
    }
    return AreJobsConsistent(aFleet) && AreEndedListsConsistent(aFleet);
  }

  static bool AreJobsConsistent(const Fleet& aFleet)
  {
    std::size_t tasks = 0;
    for (const auto& [id, job] : aFleet.jobs_) {
      for (std::int64_t i = 0; i < job.tasks_; ++i, ++tasks) {
        const auto task = aFleet.tasks_.find(Concat(id, "/", i));
        if (task == aFleet.tasks_.end() || task->second.job_ != id) {
          return false;
        }
      }
    }
    return tasks == aFleet.tasks_.size();
  }

  static bool AreEndedListsConsistent(const Fleet& aFleet)
  {
    return AreDistinctKeys(aFleet.endedWaves_, aFleet.waves_) &&
           AreDistinctKeys(aFleet.endedJobs_, aFleet.jobs_) &&
           std::none_of(aFleet.tasks_.begin(),
                        aFleet.tasks_.end(),
                        [&aFleet](const auto& aEntry) {
                          const auto& [id, task] = aEntry;
                          const auto& ended = aFleet.endedJobs_;
                          return detail::IsUnfinished(task) &&
                                 std::find(ended.begin(),
                                           ended.end(),
                                           task.job_) != ended.end();
                        });
  }

  template<typename T>
  static bool AreDistinctKeys(const std::deque<std::string>& aKeys,
                              const std::map<std::string, T>& aMap)
  {
    const std::set<std::string_view> distinct(aKeys.begin(), aKeys.end());
    return distinct.size() == aKeys.size() &&
           std::all_of(aKeys.begin(), aKeys.end(), [&aMap](const auto& aKey) {
             return aMap.count(aKey) != 0;
           });
  }
};

std::string
Fleet::EncodeSnapshot() const
{
  return detail::DumpCbor(
    detail::JsonWriter::ToJson(FleetCodec::ToSnapshot(*this, true)));
}

std::string
Fleet::EncodeSnapshotWithoutClaims() const
{
  return detail::DumpCbor(
    detail::JsonWriter::ToJson(FleetCodec::ToSnapshot(*this, false)));
}

Result<Fleet>
Fleet::DecodeSnapshot(std::string_view aBytes)
{
  auto snapshot = DecodeCbor<Snapshot>(aBytes, "a snapshot");
  if (!IsOk(snapshot)) {
    return Error{ ErrorKind::CorruptSnapshot, ErrorOf(snapshot).detail_ };
  }
  if (const auto version = ValueOf(snapshot).version_;
      version < kOldestSnapshotVersion || version > kSnapshotVersion) {
    return Refuse(ErrorKind::CorruptSnapshot,
                  "snapshot form ",
                  version,
                  " is not known; this program reads forms ",
                  kOldestSnapshotVersion,
                  " to ",
                  kSnapshotVersion);
  }
  Fleet fleet;
  if (!FleetCodec::FromSnapshot(ValueOf(std::move(snapshot)), fleet)) {
    return Refuse(ErrorKind::CorruptSnapshot,
                  "the parts of the snapshot contradict each other");
  }
  return fleet;
}

std::string
EncodeEnvelope(const CommandEnvelope& aEnvelope)
{
  return detail::DumpCbor(detail::JsonWriter::ToJson(aEnvelope));
}

Result<CommandEnvelope>
DecodeEnvelope(std::string_view aBytes)
{
  return DecodeCbor<CommandEnvelope>(aBytes, "a command");
}

std::string
EncodeResult(const CommandResult& aResult)
{
  return detail::DumpCbor(detail::JsonWriter::ToJson(aResult));
}

Result<CommandResult>
DecodeResult(std::string_view aBytes)
{
  return DecodeCbor<CommandResult>(aBytes, "a result");
}

} // namespace acaciahill
