#pragma once

#include "kernel/error_type.h"
#include "workload/workload_event_type.h"

#include <string>
#include <string_view>

namespace acaciahill {

/// The replicated state of jobs, workers and upkeep. Every voter applies the
/// same batches in the same order and holds the same value; there is no clock
/// and no I/O in it. Events that no longer fit (an end of an older run, a job
/// that is known already) change nothing.
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
  /// Number for the next worker that registers.
  std::uint32_t NextWorkerNumber() const { return nextWorker_; }

  /// Null when there is no such job, task or worker.
  const JobEntry* FindJob(JobId aJob) const;
  const TaskEntry* FindTask(const TaskKey& aTask) const;
  const WorkerEntry* FindWorker(std::uint32_t aNumber) const;
  /// The last life of a worker; null when there is none.
  const WorkerEntry* FindWorkerById(const std::string& aId) const;

  /// The whole state in binary form.
  std::string Encode() const;

  /// Reads Encode's form. Errors: CorruptSnapshot.
  static Result<Workload> Decode(std::string_view aBytes);

  bool operator==(const Workload&) const = default;

private:
  friend struct WorkloadCodec;

  void Take(const ConfigAccepted& aEvent);
  void Take(const JobAccepted& aEvent);
  void Take(const JobCancelled& aEvent);
  void Take(const JobRemoved& aEvent);
  void Take(const OccurrenceBegun& aEvent);
  void Take(const RunAssigned& aEvent);
  void Take(const RunClosed& aEvent);
  void Take(const EndsNoted& aEvent);
  void Take(const WorkerJoined& aEvent);
  void Take(const WorkerDraining& aEvent);
  void Take(const WorkerLeft& aEvent);
  void Take(const WaveStarted& aEvent);
  void Take(const WaveVmBegun& aEvent);
  void Take(const LoadLearned& aEvent);

  TaskEntry* MutableTask(const TaskKey& aTask);
  void BeginOccurrence(JobEntry& aJob, std::uint32_t aOccurrence);
  void FinishTask(JobEntry& aJob, const TaskKey& aTask);
  void EndJob(JobEntry& aJob, JobPhase aPhase);
  void DropIfOver(JobEntry& aJob);

  ConfigDocument config_;
  std::map<JobId, JobEntry> jobs_;
  std::map<std::uint32_t, WorkerEntry> workers_;
  std::map<std::uint64_t, UpkeepWave> waves_;
  LearnedLoad learned_;
  std::uint64_t logicalMs_ = 0;
  std::uint32_t nextWorker_ = 1;
};

/// True for the phases in which a job runs no more tasks.
bool
IsOver(JobPhase aPhase);

/// A batch in binary form, as log entries hold it.
std::string
EncodeBatch(const WorkloadBatch& aBatch);

/// Reads EncodeBatch's form. Errors: BadRequest.
Result<WorkloadBatch>
DecodeBatch(std::string_view aBytes);

} // namespace acaciahill
