#pragma once

#include "kernel/error_type.h"
#include "workload/workload_event_type.h"

#include <string>
#include <string_view>

namespace acaciahill {

/// The replicated state of jobs, workers and upkeep. Every voter applies the
/// same batches in the same order and gets the same state; Apply reads no clock
/// and does no I/O. Outdated events (an end of an older run, a job that exists
/// already) change nothing.
class Workload
{
public:
  void Apply(const WorkloadBatch& aBatch);

  const ConfigDocument& Config() const { return config_; }
  const std::map<JobId, JobEntry>& Jobs() const { return jobs_; }
  const std::map<std::uint32_t, WorkerEntry>& Workers() const
  {
    return workers_;
  }
  const std::map<std::uint64_t, UpkeepWave>& Waves() const { return waves_; }
  const LearnedLoad& Learned() const { return learned_; }
  std::uint64_t LogicalMs() const { return logicalMs_; }
  /// Number of the next worker that registers.
  std::uint32_t NextWorkerNumber() const { return nextWorker_; }

  /// Return null when there is no such job, task or worker.
  const JobEntry* FindJob(JobId aJob) const;
  const TaskEntry* FindTask(const TaskKey& aTask) const;
  const WorkerEntry* FindWorker(std::uint32_t aNumber) const;
  /// Returns the last incarnation of a worker; null when there is none.
  const WorkerEntry* FindWorkerById(const std::string& aId) const;

  /// Encodes the whole state in a versioned binary format.
  std::string Encode() const;

  /// Decodes the format of Encode. Errors: CorruptSnapshot.
  static Result<Workload> Decode(std::string_view aBytes);

  bool operator==(const Workload&) const = default;

private:
  friend struct WorkloadCodec;

  void ApplyEvent(const ConfigAccepted& aEvent);
  void ApplyEvent(const JobAccepted& aEvent);
  void ApplyEvent(const JobCancelled& aEvent);
  void ApplyEvent(const JobRemoved& aEvent);
  void ApplyEvent(const OccurrenceBegun& aEvent);
  void ApplyEvent(const RunAssigned& aEvent);
  void ApplyEvent(const RunClosed& aEvent);
  void ApplyEvent(const RunAdopted& aEvent);
  void ApplyEvent(const EndsNoted& aEvent);
  void ApplyEvent(const WorkerJoined& aEvent);
  void ApplyEvent(const WorkerDraining& aEvent);
  void ApplyEvent(const WorkerLeft& aEvent);
  void ApplyEvent(const WaveStarted& aEvent);
  void ApplyEvent(const WaveVmBegun& aEvent);
  void ApplyEvent(const LoadLearned& aEvent);

  TaskEntry* FindMutableTask(const TaskKey& aTask);
  void BeginOccurrence(JobEntry& aJob, std::uint32_t aOccurrence);
  void FinishTask(JobEntry& aJob, const TaskKey& aTask);
  void EndJob(JobEntry& aJob, JobPhase aPhase);
  void FreeIfEnded(JobEntry& aJob);

  ConfigDocument config_;
  std::map<JobId, JobEntry> jobs_;
  std::map<std::uint32_t, WorkerEntry> workers_;
  std::map<std::uint64_t, UpkeepWave> waves_;
  LearnedLoad learned_;
  std::uint64_t logicalMs_ = 0;
  std::uint32_t nextWorker_ = 1;
};

/// Whether requests of a tenant to a queue may see the job. A job without a
/// tenant, and a request that needs no API key, are not restricted.
bool
IsVisibleTo(const JobEntry& aJob,
            const std::string& aQueue,
            const std::string& aTenant);

/// True for the final phases, in which a job starts no more tasks.
bool
IsOver(JobPhase aPhase);

/// A step of the job. The steps of an ended job are freed with the end of its
/// last run, which any decision may bring: then it is a step without tasks.
const StepSpec&
StepOf(const JobEntry& aJob, std::uint32_t aStep);

/// The tasks of a step; none once its occurrence has ended.
const std::vector<TaskEntry>&
TasksOf(const JobEntry& aJob, std::uint32_t aOccurrence, std::uint32_t aStep);

/// Encodes a batch in the versioned binary format of log entries.
std::string
EncodeBatch(const WorkloadBatch& aBatch);

/// Decodes the format of EncodeBatch. Errors: BadRequest.
Result<WorkloadBatch>
DecodeBatch(std::string_view aBytes);

} // namespace acaciahill
