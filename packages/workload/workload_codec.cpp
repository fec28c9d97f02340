#include "workload/workload_base.h"

// Needed for UserDataAdapter, which tells the functions below the version.
#define CEREAL_FUTURE_EXPERIMENTAL
#include <cereal/archives/adapters.hpp>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <sstream>

// Binary formats of the state and its events. cereal finds the functions below
// by their names; the order of the members they list defines the format.

namespace acaciahill {

namespace {

// Raised when the format changes; an older program refuses a newer version.
// Version 1 has no learned load, version 2 no tenants of jobs, version 3
// nothing of orders that the next incarnation of a worker may carry out.
constexpr std::uint32_t kFormatVersion = 4;
constexpr std::uint32_t kFormatWithoutLearnedLoad = 1;
constexpr std::uint32_t kFormatWithoutTenants = 2;
constexpr std::uint32_t kFormatWithoutIncarnations = 3;

/// The version that an archive is read or written in.
struct FormatVersion
{
  std::uint32_t value_ = kFormatVersion;
};

using OutputArchive =
  cereal::UserDataAdapter<FormatVersion, cereal::PortableBinaryOutputArchive>;
using InputArchive =
  cereal::UserDataAdapter<FormatVersion, cereal::PortableBinaryInputArchive>;

template<typename Archive>
bool
HasIncarnations(Archive& aArchive)
{
  return cereal::get_user_data<FormatVersion>(aArchive).value_ >
         kFormatWithoutIncarnations;
}

} // namespace

// NOLINTBEGIN(readability-identifier-naming): cereal looks these names up.

template<typename Archive>
void
serialize(Archive& aArchive, TaskKey& aValue)
{
  aArchive(aValue.job_, aValue.occurrence_, aValue.step_, aValue.index_);
}

template<typename Archive>
void
serialize(Archive& aArchive, TaskNeed& aValue)
{
  aArchive(aValue.milliCores_, aValue.memoryMb_, aValue.accelerators_);
}

template<typename Archive>
void
serialize(Archive& aArchive, StepSpec& aValue)
{
  aArchive(aValue.tasks_,
           aValue.need_,
           aValue.estimatedMs_,
           aValue.after_,
           aValue.checkpoints_,
           aValue.gang_,
           aValue.sameRack_,
           aValue.copiesAllowed_,
           aValue.isLongRunning_,
           aValue.usesSpareCores_,
           aValue.label_,
           aValue.dataRack_,
           aValue.maxPerWorker_,
           aValue.image_,
           aValue.targetMs_,
           aValue.absenceBudget_);
}

template<typename Archive>
void
serialize(Archive& aArchive, JobSpec& aValue)
{
  aArchive(aValue.id_,
           aValue.queue_,
           aValue.payload_,
           aValue.steps_,
           aValue.repeatCount_,
           aValue.startAtMs_,
           aValue.intervalMs_);
  if (cereal::get_user_data<FormatVersion>(aArchive).value_ >
      kFormatWithoutTenants) {
    aArchive(aValue.tenant_);
  }
}

template<typename Archive>
void
serialize(Archive& aArchive, ConfigDocument& aValue)
{
  aArchive(aValue.version_, aValue.text_);
}

template<typename Archive>
void
serialize(Archive& aArchive, TaskEntry& aValue)
{
  aArchive(aValue.state_,
           aValue.run_,
           aValue.worker_,
           aValue.failures_,
           aValue.checkpoint_);
  if (HasIncarnations(aArchive)) {
    aArchive(aValue.assignedAtMs_);
  }
}

template<typename Archive>
void
serialize(Archive& aArchive, OccurrenceEntry& aValue)
{
  aArchive(aValue.steps_, aValue.open_);
}

template<typename Archive>
void
serialize(Archive& aArchive, JobEntry& aValue)
{
  aArchive(aValue.spec_,
           aValue.phase_,
           aValue.acceptedAtMs_,
           aValue.endedAtMs_,
           aValue.occurrences_,
           aValue.begunOccurrences_,
           aValue.doneOccurrences_,
           aValue.assigned_);
}

template<typename Archive>
void
serialize(Archive& aArchive, WorkerEntry& aValue)
{
  aArchive(aValue.number_,
           aValue.id_,
           aValue.processStartMs_,
           aValue.vm_,
           aValue.pool_,
           aValue.address_,
           aValue.zone_,
           aValue.rack_,
           aValue.labels_,
           aValue.capacity_,
           aValue.draining_,
           aValue.notedEnds_);
  if (HasIncarnations(aArchive)) {
    aArchive(aValue.boundUntilMs_, aValue.returnedAtMs_);
  }
}

template<typename Archive>
void
serialize(Archive& aArchive, UpkeepWave& aValue)
{
  aArchive(aValue.id_,
           aValue.pendingVms_,
           aValue.begunVms_,
           aValue.cap_,
           aValue.startedAtMs_,
           aValue.dueAtMs_,
           aValue.completed_);
}

template<typename Archive>
void
serialize(Archive& aArchive, LearnedQueue& aValue)
{
  aArchive(aValue.queue_,
           aValue.meanRunMs_,
           aValue.runVariance_,
           aValue.runs_,
           aValue.chainSteps_);
}

template<typename Archive>
void
serialize(Archive& aArchive, LearnedPool& aValue)
{
  aArchive(aValue.pool_,
           aValue.meanMilliCores_,
           aValue.turnMilliCores_,
           aValue.hadTurn_);
}

template<typename Archive>
void
serialize(Archive& aArchive, LearnedTurn& aValue)
{
  aArchive(aValue.pool_, aValue.startedAtMs_);
}

template<typename Archive>
void
serialize(Archive& aArchive, LearnedLoad& aValue)
{
  aArchive(aValue.queues_, aValue.pools_, aValue.turns_);
}

template<typename Archive>
void
serialize(Archive& aArchive, ConfigAccepted& aValue)
{
  aArchive(aValue.document_);
}

template<typename Archive>
void
serialize(Archive& aArchive, JobAccepted& aValue)
{
  aArchive(aValue.spec_);
}

template<typename Archive>
void
serialize(Archive& aArchive, JobCancelled& aValue)
{
  aArchive(aValue.job_);
}

template<typename Archive>
void
serialize(Archive& aArchive, JobRemoved& aValue)
{
  aArchive(aValue.job_);
}

template<typename Archive>
void
serialize(Archive& aArchive, OccurrenceBegun& aValue)
{
  aArchive(aValue.job_, aValue.occurrence_);
}

template<typename Archive>
void
serialize(Archive& aArchive, RunAssigned& aValue)
{
  aArchive(aValue.task_, aValue.run_, aValue.worker_);
}

template<typename Archive>
void
serialize(Archive& aArchive, RunClosed& aValue)
{
  aArchive(
    aValue.task_, aValue.run_, aValue.end_, aValue.checkpoint_, aValue.isLast_);
}

template<typename Archive>
void
serialize(Archive& aArchive, EndsNoted& aValue)
{
  aArchive(aValue.worker_, aValue.number_);
  if (HasIncarnations(aArchive)) {
    aArchive(aValue.boundUntilMs_);
  }
}

template<typename Archive>
void
serialize(Archive& aArchive, RunAdopted& aValue)
{
  aArchive(aValue.task_, aValue.run_, aValue.worker_);
}

template<typename Archive>
void
serialize(Archive& aArchive, WorkerJoined& aValue)
{
  aArchive(aValue.worker_);
}

template<typename Archive>
void
serialize(Archive& aArchive, WorkerDraining& aValue)
{
  aArchive(aValue.worker_);
}

template<typename Archive>
void
serialize(Archive& aArchive, WorkerLeft& aValue)
{
  aArchive(aValue.worker_);
}

template<typename Archive>
void
serialize(Archive& aArchive, WaveStarted& aValue)
{
  aArchive(aValue.wave_);
}

template<typename Archive>
void
serialize(Archive& aArchive, WaveVmBegun& aValue)
{
  aArchive(aValue.wave_, aValue.vm_);
}

template<typename Archive>
void
serialize(Archive& aArchive, LoadLearned& aValue)
{
  aArchive(aValue.load_);
}

template<typename Archive>
void
serialize(Archive& aArchive, WorkloadBatch& aValue)
{
  aArchive(aValue.atMs_, aValue.events_);
}

// NOLINTEND(readability-identifier-naming)

/// Serializes the members of a Workload.
struct WorkloadCodec
{
  template<typename Archive>
  static void Run(Archive& aArchive, Workload& aValue, std::uint32_t aVersion)
  {
    aArchive(aValue.config_,
             aValue.jobs_,
             aValue.workers_,
             aValue.waves_,
             aValue.logicalMs_,
             aValue.nextWorker_);
    if (aVersion > kFormatWithoutLearnedLoad) {
      aArchive(aValue.learned_);
    }
  }
};

namespace {

template<typename F>
std::string
EncodeWith(F&& aWrite)
{
  std::ostringstream stream;
  {
    FormatVersion version;
    OutputArchive archive(version, stream);
    archive(kFormatVersion);
    aWrite(archive);
  }
  return std::move(stream).str();
}

/// Returns an empty text when the bytes were read to their end, else the
/// reason.
template<typename F>
std::string
DecodeWith(std::string_view aBytes, F&& aRead)
{
  std::istringstream stream{ std::string(aBytes) };
  try {
    FormatVersion version;
    InputArchive archive(version, stream);
    archive(version.value_);
    if (version.value_ < kFormatWithoutLearnedLoad ||
        version.value_ > kFormatVersion) {
      return "unknown format version " + std::to_string(version.value_) +
             ", this program reads " +
             std::to_string(kFormatWithoutLearnedLoad) + " to " +
             std::to_string(kFormatVersion);
    }
    aRead(archive, version.value_);
  } catch (const std::exception& error) {
    return error.what();
  }
  return stream.peek() == std::istringstream::traits_type::eof()
           ? ""
           : "unexpected bytes after the end";
}

} // namespace

std::string
Workload::Encode() const
{
  return EncodeWith([this](auto& aArchive) {
    WorkloadCodec::Run(aArchive, const_cast<Workload&>(*this), kFormatVersion);
  });
}

Result<Workload>
Workload::Decode(std::string_view aBytes)
{
  Workload workload;
  const auto problem =
    DecodeWith(aBytes, [&workload](auto& aArchive, auto aVersion) {
      WorkloadCodec::Run(aArchive, workload, aVersion);
    });
  if (!problem.empty()) {
    return Error{ ErrorKind::CorruptSnapshot, "workload: " + problem };
  }
  return workload;
}

std::string
EncodeBatch(const WorkloadBatch& aBatch)
{
  return EncodeWith([&aBatch](auto& aArchive) { aArchive(aBatch); });
}

Result<WorkloadBatch>
DecodeBatch(std::string_view aBytes)
{
  WorkloadBatch batch;
  const auto problem = DecodeWith(
    aBytes, [&batch](auto& aArchive, auto /*aVersion*/) { aArchive(batch); });
  if (!problem.empty()) {
    return Error{ ErrorKind::BadRequest, "workload batch: " + problem };
  }
  return batch;
}

} // namespace acaciahill
