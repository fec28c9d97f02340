#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace acaciahill {

/// The id that a customer chose for a job; written as 16 hexadecimal digits.
using JobId = std::uint64_t;

/// Identifies one of the equal tasks of a step of one occurrence of a job.
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

/// Resources that a task needs on its worker.
struct TaskNeed
{
  std::int64_t milliCores_ = 0;
  std::int64_t memoryMb_ = 0;
  std::int64_t accelerators_ = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads it.
  auto operator<=>(const TaskNeed&) const = default;
};

/// One step of a job: a number of equal tasks.
struct StepSpec
{
  std::uint32_t tasks_ = 1;
  TaskNeed need_;
  /// The customer's rough estimate of a task's run time; 0 when not given.
  std::int64_t estimatedMs_ = 0;
  /// Indices of the steps whose tasks must all be done before this one starts.
  std::vector<std::uint32_t> after_;
  /// The tasks save checkpoints from which a later run can resume.
  bool checkpoints_ = false;
  /// All tasks start and end together, under one run number (gang scheduling).
  bool gang_ = false;
  /// The tasks run slower when they are not all in one rack.
  bool sameRack_ = false;
  /// Copies of a task may run at the same time; the first end counts.
  bool copiesAllowed_ = false;
  /// The tasks never complete by themselves: they run until the job is
  /// cancelled.
  bool isLongRunning_ = false;
  /// The tasks reserve memory but no cores; they use cores that others leave
  /// idle.
  bool usesSpareCores_ = false;
  /// Label that the worker must have; empty for any worker.
  std::string label_;
  /// Rack that holds the data; empty when it does not matter.
  std::string dataRack_;
  /// Maximum number of tasks of the step on one worker; 0 for no limit.
  std::uint32_t maxPerWorker_ = 0;
  /// Image of the tasks; tasks with the same image behave alike.
  std::string image_;
  /// For long-running tasks: target for their tail response time; 0 for none.
  std::int64_t targetMs_ = 0;
  /// For long-running tasks: how many the scheduler may interrupt at once.
  std::uint32_t absenceBudget_ = 0;

  bool operator==(const StepSpec&) const = default;
};

/// A job as its customer submitted it.
struct JobSpec
{
  JobId id_ = 0;
  /// The queue it was submitted to (see QueueSpec::key_).
  std::string queue_;
  /// Passed to each task unchanged.
  std::string payload_;
  std::vector<StepSpec> steps_;
  /// Number of occurrences; 0 for a job that runs once, immediately.
  std::uint32_t repeatCount_ = 0;
  /// Due time of the first occurrence in Unix ms, and the interval between
  /// occurrences in ms.
  std::uint64_t startAtMs_ = 0;
  std::uint64_t intervalMs_ = 0;
  /// Name of the tenant that submitted it; empty without one.
  std::string tenant_;

  bool operator==(const JobSpec&) const = default;
};

/// A queue of jobs, as configured.
struct QueueSpec
{
  /// Host and path prefix, such as "example.org/nightly/"; unique.
  std::string key_;
  std::string name_;
  std::string pool_;
  /// 0 is the highest priority.
  std::int64_t priority_ = 0;
  /// Runs of a task that may end as failed before its job fails.
  std::int64_t attempts_ = 1;
  /// The objective for the completion time of a job is stretch_ times the run
  /// time of its longest dependency chain, plus latencyMs_.
  double stretch_ = 1;
  std::int64_t latencyMs_ = 0;
  std::int64_t timeoutMs_ = 0;
  /// Requests need no API key, and its jobs belong to no tenant.
  bool isPublic_ = false;

  bool operator==(const QueueSpec&) const = default;
};

/// A customer organization that shares the pools with others, as configured.
struct TenantSpec
{
  std::string name_;
  /// Its share where the pools are full, in jobs a second.
  double weight_ = 1;
  /// What its tasks may use on all workers together; 0 for no limit.
  TaskNeed cap_;

  bool operator==(const TenantSpec&) const = default;
};

/// A pool of VMs that runs the tasks of its queues.
struct PoolSpec
{
  std::string name_;
  /// The workers themselves refuse starts beyond their capacity.
  bool refusesExcess_ = false;
  /// VMs in this pool are switched off.
  bool spare_ = false;

  bool operator==(const PoolSpec&) const = default;
};

/// The parsed configuration.
struct WorkloadConfig
{
  std::uint64_t version_ = 0;
  std::map<std::string, QueueSpec> queues_;
  std::map<std::string, PoolSpec> pools_;
  std::map<std::string, TenantSpec> tenants_;
  /// Tenants share the pools: requests to queues that are not public need the
  /// API key of one, and jobs that would be of no use to their senders are
  /// refused.
  bool hasTenants_ = false;
  /// The tenant of each API key. A hash table, so that the time of a lookup
  /// does not depend on how much of a wrong key is right.
  std::unordered_map<std::string, std::string> tenantOfKey_;

  bool operator==(const WorkloadConfig&) const = default;
};

/// A configuration as the operator sent it. Version 0 means that none was sent
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
  Broken,   ///< Another task of its gang ended.
  Alone,    ///< The other tasks of its gang did not start in time.
  Rejected, ///< It did not start and never will.
  Lost,     ///< Its worker is gone.
};

enum class TaskState : std::uint8_t
{
  Waiting,
  Assigned, ///< A run of it may be on a worker.
  Done,
};

/// State of one task.
struct TaskEntry
{
  TaskState state_ = TaskState::Waiting;
  /// Number of the last run; 0 before the first one.
  std::uint32_t run_ = 0;
  /// Number of the worker of the last run.
  std::uint32_t worker_ = 0;
  /// Runs that ended as failed. A member of a gang also counts those in which
  /// only others failed, from its next run on.
  std::uint32_t failures_ = 0;
  /// Checkpoint of the next run; empty to start from the beginning.
  std::string checkpoint_;
  /// Logical time of the assignment, or when its start order was last sent
  /// again; 0 in states of an older format.
  std::uint64_t assignedAtMs_ = 0;

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

/// A job that was accepted. Its tasks, steps and payload are freed after its
/// end.
struct JobEntry
{
  JobSpec spec_;
  JobPhase phase_ = JobPhase::Queued;
  /// Logical times in ms.
  std::uint64_t acceptedAtMs_ = 0;
  std::uint64_t endedAtMs_ = 0;
  /// Occurrences that have begun and are not done, by number.
  std::map<std::uint32_t, OccurrenceEntry> occurrences_;
  std::uint32_t begunOccurrences_ = 0;
  std::uint32_t doneOccurrences_ = 0;
  /// Tasks with a run that may be on a worker.
  std::uint32_t assigned_ = 0;

  bool operator==(const JobEntry&) const = default;
};

/// One incarnation of a worker: a worker process on a VM from start to end.
struct WorkerEntry
{
  /// Assigned by the scheduler and never reused; later incarnations have higher
  /// numbers.
  std::uint32_t number_ = 0;
  std::string id_;
  /// Start of the process in Unix ms on the worker's clock.
  std::uint64_t processStartMs_ = 0;
  /// The VM it runs on; empty when the worker does not report it.
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
  /// Runs that were assigned to it up to this logical time cannot be carried
  /// out by a later incarnation (see RunView::isBound_).
  std::uint64_t boundUntilMs_ = 0;
  /// Logical time of the registration when an earlier incarnation had the same
  /// id; 0 without one.
  std::uint64_t returnedAtMs_ = 0;

  bool operator==(const WorkerEntry&) const = default;
};

/// Learned statistics of the jobs of a queue.
struct LearnedQueue
{
  std::string queue_;
  /// Mean in ms and variance of the run times of completed tasks, and the
  /// number of these runs.
  double meanRunMs_ = 0;
  double runVariance_ = 0;
  std::uint64_t runs_ = 0;
  /// Mean number of steps in the longest dependency chain of a job.
  double chainSteps_ = 1;

  bool operator==(const LearnedQueue&) const = default;
};

/// Learned demand of a pool and of its turns (see TurnForecast).
struct LearnedPool
{
  std::string pool_;
  double meanMilliCores_ = 0;
  /// Mean demand of the pool's last turn.
  double turnMilliCores_ = 0;
  bool hadTurn_ = false;

  bool operator==(const LearnedPool&) const = default;
};

/// The start of a turn of a pool.
struct LearnedTurn
{
  std::string pool_;
  /// Logical time in ms.
  std::uint64_t startedAtMs_ = 0;

  bool operator==(const LearnedTurn&) const = default;
};

/// Learned load statistics, replicated for later leaders.
struct LearnedLoad
{
  std::vector<LearnedQueue> queues_;
  std::vector<LearnedPool> pools_;
  /// Oldest first.
  std::vector<LearnedTurn> turns_;

  bool operator==(const LearnedLoad&) const = default;
};

/// A wave of upkeep (planned maintenance): each of its VMs is taken down once.
struct UpkeepWave
{
  std::uint64_t id_ = 0;
  std::vector<std::string> pendingVms_;
  std::vector<std::string> begunVms_;
  /// Maximum number of VMs that may be down at once.
  std::int64_t cap_ = 1;
  /// Logical times in ms.
  std::uint64_t startedAtMs_ = 0;
  std::uint64_t dueAtMs_ = 0;
  bool completed_ = false;

  bool operator==(const UpkeepWave&) const = default;
};

} // namespace acaciahill
