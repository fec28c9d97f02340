#pragma once

#include "planner/availability_func.h"
#include "planner/job_sizes_base.h"
#include "planner/planner_type.h"
#include "planner/proposal_gate_base.h"
#include "planner/vm_health_base.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace acaciahill {

/// Times and numbers of the placement planner.
struct PlacementLimits
{
  /// A command is not proposed again within this time.
  Millis retryAfter_{ 3000 };
  /// First lease of a placed task, and the shortest one.
  Millis minLease_{ 60000 };
  /// Leases grow with the number of running tasks, so that renewals stay below
  /// this rate.
  std::int64_t renewalsPerSecond_ = 4;
  /// Time after the end of a lease before the task is placed again; covers the
  /// time by which the VM learned of the lease later than the leader.
  Millis leaseMargin_{ 10000 };
  /// Time for which a task must run to count as a success of its VM.
  Millis successAfter_{ 30000 };
  /// Time between two usage samples of one task.
  Millis sampleInterval_{ 5000 };
  /// Time that a task gets to begin its work before its usage is believed.
  /// Nodes pass on an unchanged report after 10 s; that one must count in spite
  /// of a usage lag of up to 2 s, or tasks of less than 20 s are never
  /// measured.
  Millis warmUp_{ 8000 };
  /// Wait of a task after its first failure; doubles with each further one.
  Millis firstBackOff_{ 5000 };
  Millis maxBackOff_{ 300000 };
  /// Time for which a job that fitted nowhere is left out, so that the limit
  /// of tries in one step reaches every job in turn.
  Millis blockedTime_{ 2000 };
  Millis urgentBlockedTime_{ 500 };
  /// Time after which a stopping task that its VM no longer names has ended.
  Millis unreportedEndAfter_{ 10000 };
  /// Time for which a task stays throttled at least.
  Millis minThrottledTime_{ 30000 };
  /// Share of a pool that is kept for urgent work, in percent, as room for
  /// whole tasks on its VMs.
  std::int64_t urgentPercent_ = 5;
  /// Cores that a throttled task still takes, in percent.
  std::int64_t throttledPercent_ = 25;
  /// Work in one step at most; each kind has its own limit, so that a wave of
  /// one kind does not starve another.
  std::size_t placementsPerStep_ = 64;
  std::size_t triesPerStep_ = 256;
  std::size_t updatesPerStep_ = 64;
  std::size_t stopsPerStep_ = 32;
  /// Tasks served in one step: at least this many, and at least a 16th of all.
  std::size_t minTasksCheckedPerStep_ = 512;

  bool operator==(const PlacementLimits&) const = default;
};

/// Places the waiting tasks of jobs on the VMs of their pools under leases, and
/// follows them to their end. Not thread-safe.
class PlacementPlanner
{
public:
  explicit PlacementPlanner(PlannerLimits aLimits,
                            PlacementLimits aPlacementLimits = {});

  std::vector<PlannerAction> Step(const PlannerView& aView, MonotonicTime aNow);

private:
  /// A placement that was proposed and is not visible in the fleet yet.
  struct PendingPlacement
  {
    std::string vm_;
    std::uint64_t lease_ = 0;
    MonotonicTime proposedAt_{};
  };

  /// What is remembered of a task under one lease.
  struct TaskHistory
  {
    std::uint64_t lease_ = 0;
    std::optional<MonotonicTime> runningSince_;
    std::optional<MonotonicTime> sampledAt_;
    /// When a report last said that it runs.
    std::optional<MonotonicTime> reportedAt_;
    /// When its present phase was first seen.
    std::optional<MonotonicTime> phaseSince_;
    TaskPhase phase_ = TaskPhase::Waiting;
    /// Latest trusted usage.
    std::int64_t milliCores_ = 0;
    std::int64_t memoryMb_ = 0;
    bool successCounted_ = false;
    bool failureCounted_ = false;
    /// The failure is the task's, not the VM's.
    bool isTaskFault_ = false;
    /// A report said that it ended; it takes no room any more.
    bool hasEnded_ = false;
  };

  /// What is remembered of a task that failed, over its leases.
  struct Failure
  {
    std::int64_t count_ = 0;
    MonotonicTime waitUntil_{};
    std::string lastVm_;
  };

  /// A VM in one step, with what is left on it.
  struct VmContext
  {
    const VmRecord* vm_ = nullptr;
    bool usable_ = false;
    /// Its room counts as room for urgent work: it is usable and does not fail
    /// its tasks.
    bool countsAsUrgentRoom_ = false;
    int zone_ = 0;
    int rack_ = 0;
    TaskSize free_;
    /// What tasks that are stopping will give back.
    TaskSize pendingFree_;
    std::int64_t tasks_ = 0;
    std::int64_t throttled_ = 0;
    std::map<const JobRecord*, std::int64_t> tasksOfJob_;
    std::vector<const TaskRecord*> running_;
  };

  struct PoolContext
  {
    std::vector<VmContext*> vms_;
    TaskSize total_;
    /// Size for which room is kept for urgent work, the urgent tasks of this
    /// size that have room now, and those that should.
    TaskSize urgentSize_;
    std::int64_t urgentRoom_ = 0;
    std::int64_t urgentRoomKept_ = 0;
    /// Tasks may return to VMs on which they failed.
    bool allowsFailedVms_ = false;
  };

  struct JobContext
  {
    const JobRecord* job_ = nullptr;
    TaskSize size_;
    std::vector<const TaskRecord*> waiting_;
    std::size_t next_ = 0;
    std::map<int, std::int64_t> byZone_;
    std::map<int, std::int64_t> byRack_;
  };

  struct StepContext
  {
    const PlannerView& view_;
    MonotonicTime now_;
    std::uint64_t logicalMs_ = 0;
    std::map<std::string, VmContext> vms_{};
    std::unordered_map<std::string_view, VmContext*> vmById_{};
    std::map<std::string, PoolContext> pools_{};
    std::map<std::string, JobContext> jobs_{};
    std::map<std::string, TaskSize> teams_{};
    TaskSize total_{};
    /// Tasks under a lease.
    std::int64_t leased_ = 0;
    std::int64_t throttled_ = 0;
    std::size_t updates_ = 0;
    std::size_t stops_ = 0;
    std::size_t placements_ = 0;
    std::size_t tries_ = 0;
    std::vector<PlannerAction> actions_{};
  };

  void RemoveStale(const PlannerView& aView, MonotonicTime aNow);
  void RemoveEnded(const PlannerView& aView);
  std::uint64_t LogicalNow(const PlannerView& aView, MonotonicTime aNow);
  TaskHistory& HistoryOf(const TaskRecord& aTask, MonotonicTime aNow);
  std::uint64_t LeaseMs(const StepContext& aStep) const;

  /// Counts the tasks and lists those that wait and may be tried now.
  void AddWaitingTasks(StepContext& aStep) const;
  bool CanTryNow(const StepContext& aStep, const TaskRecord& aTask) const;
  /// True when something can be placed or resumed; the rest of the round is
  /// filled in only then.
  bool HasWork(const StepContext& aStep) const;
  void AddVms(StepContext& aStep) const;
  void AddPlacedTasks(StepContext& aStep) const;
  JobContext& JobOf(StepContext& aStep, const JobRecord& aJob) const;
  void Occupy(StepContext& aStep,
              JobContext& aJob,
              const TaskRecord& aTask,
              const std::string& aVm,
              TaskPhase aPhase) const;
  TaskSize SizeOf(const JobContext& aJob, const TaskRecord& aTask) const;
  TaskSize SizeInPhase(TaskSize aSize, TaskPhase aPhase) const;

  void ProcessReports(StepContext& aStep);
  void ProcessReport(StepContext& aStep,
                     const TaskRecord& aTask,
                     const TaskReport& aReport,
                     MonotonicTime aMadeAt);
  void ProcessRunning(StepContext& aStep,
                      const TaskRecord& aTask,
                      const TaskReport& aReport,
                      MonotonicTime aMadeAt);
  void ProcessFailure(StepContext& aStep, const TaskRecord& aTask);
  void ProcessUsage(const StepContext& aStep,
                    const TaskRecord& aTask,
                    const TaskReport& aReport,
                    MonotonicTime aMadeAt);

  /// Serves a part of the tasks in each step, in turn.
  void CheckTasks(StepContext& aStep);
  void CheckTask(StepContext& aStep, const TaskRecord& aTask);
  /// Why a placed task must leave its VM; empty when it may stay.
  std::string StopReason(const StepContext& aStep,
                         const TaskRecord& aTask) const;
  /// Why a task no longer runs although no report says so; empty when it may.
  std::string EndReason(const StepContext& aStep,
                        const TaskRecord& aTask,
                        const TaskHistory& aHistory) const;
  void ResumeThrottled(StepContext& aStep);

  void Place(StepContext& aStep, bool aUrgent);
  /// The jobs with waiting tasks by team.
  std::map<std::string, std::deque<JobContext*>> WaitingJobs(
    StepContext& aStep,
    bool aUrgent) const;
  double QuotaShareOf(const StepContext& aStep, const std::string& aTeam) const;
  /// Tries to place the job's next waiting task; false when the job is blocked.
  bool PlaceNext(StepContext& aStep, JobContext& aJob);
  void Block(const StepContext& aStep, const JobRecord& aJob);
  bool IsBlocked(const JobRecord& aJob) const;
  bool ProposePlacement(StepContext& aStep,
                        JobContext& aJob,
                        const TaskRecord& aTask,
                        VmContext& aVm);
  VmContext* FindVm(StepContext& aStep,
                    const JobContext& aJob,
                    const TaskRecord& aTask) const;
  bool MayRunOn(const StepContext& aStep,
                const PoolContext& aPool,
                const TaskRecord& aTask,
                const VmContext& aVm) const;
  /// Sets the size and the number of the urgent tasks for which a pool keeps
  /// room.
  void SetUrgentRoom(StepContext& aStep) const;
  static bool KeepsUrgentRoom(const PoolContext& aPool,
                              const VmContext& aVm,
                              const TaskSize& aSize);
  bool HasFailedOn(const TaskRecord& aTask, const std::string& aVm) const;

  /// What MakeRoom() did.
  struct RoomResult
  {
    /// The VM on which the task can be placed at once, or none.
    VmContext* vm_ = nullptr;
    /// Room is coming, as tasks are stopping for it.
    bool isPending_ = false;
  };

  /// Makes room for an urgent task: throttles where that is enough, else has
  /// tasks checkpointed and stopped.
  RoomResult MakeRoom(StepContext& aStep,
                      const JobContext& aJob,
                      const TaskRecord& aTask);
  bool ThrottleFor(StepContext& aStep, VmContext& aVm, const TaskSize& aSize);
  bool StopFor(StepContext& aStep,
               const std::vector<VmContext*>& aVms,
               const TaskSize& aSize);
  /// Tasks on a VM that are not urgent, the largest first.
  std::vector<const TaskRecord*> PreemptibleTasks(const StepContext& aStep,
                                                  const VmContext& aVm) const;
  const JobContext& JobOfTask(const StepContext& aStep,
                              const TaskRecord& aTask) const;

  bool Update(StepContext& aStep,
              const TaskRecord& aTask,
              TaskPhase aPhase,
              const std::string& aReason,
              bool aFailedOnVm = false);
  bool Stop(StepContext& aStep,
            const TaskRecord& aTask,
            const std::string& aReason);
  bool Propose(StepContext& aStep,
               const std::string& aIntent,
               Command aCommand);

  PlannerLimits limits_;
  PlacementLimits placementLimits_;
  ProposalGate gate_;
  ProposalGate blocked_;
  ProposalGate urgentBlocked_;
  JobSizes sizes_;
  VmHealth health_;
  std::map<std::string, PendingPlacement> pendingPlacements_;
  std::unordered_map<std::string, TaskHistory> taskHistory_;
  std::map<std::string, Failure> failures_;
  /// When the reports taken last from each VM were made.
  std::unordered_map<std::string, MonotonicTime> processedReportsAt_;
  /// Task at which the next step goes on serving.
  std::string nextTaskToCheck_;
  std::optional<MonotonicTime> cleanedUpAt_;
  /// When the fleet's logical clock was last seen to advance.
  std::uint64_t lastLogicalMs_ = 0;
  std::optional<MonotonicTime> lastLogicalMsAt_;
};

} // namespace acaciahill
