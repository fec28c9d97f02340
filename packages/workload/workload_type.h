#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace acaciahill {

/// The id that a customer chose for a job: 16 hexadecimal digits as a number.
using JobId = std::uint64_t;

/// Names one task: one of the equal tasks of a step of one occurrence of a job.
struct TaskKey
{
  JobId job_ = 0;
  /// 0 for jobs that run once.
  std::uint32_t occurrence_ = 0;
  std::uint32_t step_ = 0;
  std::uint32_t index_ = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads it.
  auto operator<=>(const TaskKey&) const = default;
};

/// What a task needs of its worker.
struct TaskNeed
{
  std::int64_t milliCores_ = 0;
  std::int64_t memoryMb_ = 0;
  std::int64_t accelerators_ = 0;

  bool operator==(const TaskNeed&) const = default;
};

/// One step of a job: a number of equal tasks.
struct StepSpec
{
  std::uint32_t tasks_ = 1;
  TaskNeed need_;
  /// The customer's rough estimate of a task's run time; 0 when not given.
  std::int64_t estimatedMs_ = 0;
  /// Numbers of the steps whose tasks must all be done before.
  std::vector<std::uint32_t> after_;
  bool checkpoints_ = false;
  /// All tasks run together under one run number, and end together.
  bool gang_ = false;
  /// The tasks are slower when they are not all in one rack.
  bool sameRack_ = false;
  /// Copies of a task may run at the same time; the first end counts.
  bool copiesAllowed_ = false;
  /// The tasks run until the job is cancelled.
  bool isLongRunning_ = false;
  /// The tasks use the cores that others leave; only memory is reserved.
  bool usesSpareCores_ = false;
  /// Label that the worker must have; empty for any worker.
  std::string label_;
  /// Rack that holds the data; empty when it does not matter.
  std::string dataRack_;
  /// Most tasks of the step on one worker; 0 is no limit.
  std::uint32_t maxPerWorker_ = 0;
  /// Tasks of the same image behave alike.
  std::string image_;
  /// For tasks that last: bound of the tail of their response times; 0 without.
  std::int64_t targetMs_ = 0;
  /// For tasks that last: how many may be away at once by our doing.
  std::uint32_t absenceBudget_ = 0;

  bool operator==(const StepSpec&) const = default;
};

/// A job as its customer handed it in.
struct JobSpec
{
  JobId id_ = 0;
  /// The queue it was handed in to (see QueueSpec::key_).
  std::string queue_;
  /// Passed to each task as it is.
  std::string payload_;
  std::vector<StepSpec> steps_;
  /// How often the steps run; 0 for once, at once.
  std::uint32_t repeatCount_ = 0;
  /// Due time of the first occurrence in Unix ms, and the time between two.
  std::uint64_t startAtMs_ = 0;
  std::uint64_t intervalMs_ = 0;

  bool operator==(const JobSpec&) const = default;
};

/// A queue of jobs, as the configuration sets it up.
struct QueueSpec
{
  /// Host and path prefix, as "example.org/nightly/"; unique.
  std::string key_;
  std::string name_;
  std::string pool_;
  /// 0 goes first.
  std::int64_t priority_ = 0;
  /// Runs of a task that may end as failed before its job fails.
  std::int64_t attempts_ = 1;
  /// The objective of a job is this multiple of its longest chain of work, and
  /// latencyMs_ more.
  double stretch_ = 1;
  std::int64_t latencyMs_ = 0;
  std::int64_t timeoutMs_ = 0;

  bool operator==(const QueueSpec&) const = default;
};

/// A pool of VMs that runs the tasks of its queues.
struct PoolSpec
{
  std::string name_;
  /// Workers refuse starts beyond their capacity by themselves.
  bool refusesExcess_ = false;
  /// The VMs are switched off while they are in this pool.
  bool spare_ = false;

  bool operator==(const PoolSpec&) const = default;
};

/// The configuration in a form that decisions use.
struct WorkloadConfig
{
  std::uint64_t version_ = 0;
  std::map<std::string, QueueSpec> queues_;
  std::map<std::string, PoolSpec> pools_;

  bool operator==(const WorkloadConfig&) const = default;
};

/// A configuration as the operator sent it. Version 0 means that there is none
/// yet.
struct ConfigDocument
{
  std::uint64_t version_ = 0;
  std::string text_;

  bool operator==(const ConfigDocument&) const = default;
};

enum class JobPhase : std::uint8_t
{
  Queued, ///< No task has started.
  Running,
  Completed,
  Failed,
  Cancelled,
};

/// How a run of a task ended.
enum class RunEnd : std::uint8_t
{
  Done,
  Failed,
  Stopped,
  Lapsed,   ///< The worker's lease ran out.
  Broken,   ///< Another member of its gang ended.
  Alone,    ///< The other members of its gang did not come in time.
  Rejected, ///< It never began and never will.
  Lost,     ///< Its worker is gone.
};

enum class TaskState : std::uint8_t
{
  Waiting,
  Assigned, ///< A run of it may be on a worker.
  Done,
};

/// What is known of one task.
struct TaskEntry
{
  TaskState state_ = TaskState::Waiting;
  /// Number of the last run; 0 before the first one.
  std::uint32_t run_ = 0;
  /// Number of the worker of the last run.
  std::uint32_t worker_ = 0;
  /// Runs that ended as failed.
  std::uint32_t failures_ = 0;
  /// From where the next run resumes; empty for the beginning.
  std::string checkpoint_;

  bool operator==(const TaskEntry&) const = default;
};

/// The tasks of one occurrence of a job, by step and index.
struct OccurrenceEntry
{
  std::vector<std::vector<TaskEntry>> steps_;
  /// Tasks that are not done.
  std::uint32_t open_ = 0;

  bool operator==(const OccurrenceEntry&) const = default;
};

/// A job that was accepted. What only matters until its end is dropped then.
struct JobEntry
{
  JobSpec spec_;
  JobPhase phase_ = JobPhase::Queued;
  /// Logical times in ms.
  std::uint64_t acceptedAtMs_ = 0;
  std::uint64_t endedAtMs_ = 0;
  /// Occurrences that began and are not done.
  std::map<std::uint32_t, OccurrenceEntry> occurrences_;
  std::uint32_t begunOccurrences_ = 0;
  std::uint32_t doneOccurrences_ = 0;
  /// Tasks with a run that may be on a worker.
  std::uint32_t assigned_ = 0;

  bool operator==(const JobEntry&) const = default;
};

/// One life of a VM as a worker: from a start of its process to its end.
struct WorkerEntry
{
  /// Given by us, never used twice; later lives have higher numbers.
  std::uint32_t number_ = 0;
  std::string id_;
  /// Start of this life in Unix ms on the worker's clock.
  std::uint64_t processStartMs_ = 0;
  /// The VM that it is a life of; empty when the worker does not tell.
  std::string vm_;
  std::string pool_;
  std::string address_;
  std::string zone_;
  std::string rack_;
  std::vector<std::string> labels_;
  TaskNeed capacity_;
  bool draining_ = false;
  /// Ends of runs up to this number are in the state.
  std::uint64_t notedEnds_ = 0;

  bool operator==(const WorkerEntry&) const = default;
};

/// What was learned of the jobs of a queue.
struct LearnedQueue
{
  std::string queue_;
  /// Run times of tasks that were done, and how many there were.
  double meanRunMs_ = 0;
  double runVariance_ = 0;
  std::uint64_t runs_ = 0;
  /// Mean number of steps in the longest chain of a job.
  double chainSteps_ = 1;

  bool operator==(const LearnedQueue&) const = default;
};

/// What was learned of the turns of a pool's demand.
struct LearnedPool
{
  std::string pool_;
  double meanMilliCores_ = 0;
  /// Mean demand of its last turn.
  double turnMilliCores_ = 0;
  bool hadTurn_ = false;

  bool operator==(const LearnedPool&) const = default;
};

/// A turn of a pool that began.
struct LearnedTurn
{
  std::string pool_;
  /// Logical time in ms.
  std::uint64_t startedAtMs_ = 0;

  bool operator==(const LearnedTurn&) const = default;
};

/// What leaders have learned of the load, for the ones after them.
struct LearnedLoad
{
  std::vector<LearnedQueue> queues_;
  std::vector<LearnedPool> pools_;
  /// Oldest first.
  std::vector<LearnedTurn> turns_;

  bool operator==(const LearnedLoad&) const = default;
};

/// A wave of upkeep: each of its VMs goes down once.
struct UpkeepWave
{
  std::uint64_t id_ = 0;
  std::vector<std::string> pendingVms_;
  std::vector<std::string> begunVms_;
  /// Most VMs that may be down at once.
  std::int64_t cap_ = 1;
  /// Logical times in ms.
  std::uint64_t startedAtMs_ = 0;
  std::uint64_t dueAtMs_ = 0;
  bool completed_ = false;

  bool operator==(const UpkeepWave&) const = default;
};

} // namespace acaciahill
