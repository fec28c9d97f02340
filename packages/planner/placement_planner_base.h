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

/// Time limits and counts of the placement planner.
struct PlacementLimits
{
  /// A command is not proposed again within this time.
  Millis retryAfter_{ 3000 };
  /// Duration of a placed task's first lease and minimum of the later ones.
  Millis minLease_{ 60000 };
  /// Maximum rate of lease renewals; leases get longer as the number of running
  /// tasks grows.
  std::int64_t renewalsPerSecond_ = 4;
  /// Time after the end of a lease before the task is placed again. It covers
  /// the delay with which the VM learned of the lease.
  Millis leaseMargin_{ 10000 };
  /// Time for which a task must run to count as a success of its VM.
  Millis successAfter_{ 30000 };
  /// Minimum time between two usage samples of one task.
  Millis sampleInterval_{ 5000 };
  /// Time after the start of a task in which its usage is ignored. Nodes repeat
  /// an unchanged report after 10 s; with a usage lag of up to 2 s that report
  /// must still count, or tasks shorter than 20 s would never be measured.
  Millis warmUp_{ 8000 };
  /// Back-off of a task after its first failure; doubles with each further one.
  Millis firstBackOff_{ 5000 };
  Millis maxBackOff_{ 300000 };
  /// Time for which a job that fitted nowhere is skipped, so that every job
  /// gets its turn within the limit of tries per step.
  Millis blockedTime_{ 2000 };
  Millis urgentBlockedTime_{ 500 };
  /// Time after which a stopping task that its VM no longer reports counts as
  /// ended.
  Millis unreportedEndAfter_{ 10000 };
  /// Minimum time for which a task stays throttled.
  Millis minThrottledTime_{ 30000 };
  /// Share of a pool reserved for urgent tasks, in percent; counted in whole
  /// tasks that fit on single VMs.
  std::int64_t urgentPercent_ = 5;
  /// Cores that a throttled task still uses, in percent.
  std::int64_t throttledPercent_ = 25;
  /// Limits per step; each kind of work has its own, so that a burst of one
  /// kind does not starve the others.
  std::size_t placementsPerStep_ = 64;
  std::size_t triesPerStep_ = 256;
  std::size_t updatesPerStep_ = 64;
  std::size_t stopsPerStep_ = 32;
  /// Minimum number of tasks checked per step, which is also at least 1/16 of
  /// all tasks.
  std::size_t minTasksCheckedPerStep_ = 512;

  bool operator==(const PlacementLimits&) const = default;
};

/// Places the waiting tasks of jobs on the VMs of their pools under leases, and
/// tracks them until they end. Not thread-safe.
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

  /// State of a task under one lease that is kept between steps.
  struct TaskHistory
  {
    std::uint64_t lease_ = 0;
    std::optional<MonotonicTime> runningSince_;
    std::optional<MonotonicTime> sampledAt_;
    /// Time of the latest report of the task as running.
    std::optional<MonotonicTime> reportedAt_;
    /// When the current phase was first seen.
    std::optional<MonotonicTime> phaseSince_;
    TaskPhase phase_ = TaskPhase::Waiting;
    /// Usage of the latest accepted sample.
    std::int64_t milliCores_ = 0;
    std::int64_t memoryMb_ = 0;
    bool successCounted_ = false;
    bool failureCounted_ = false;
    /// The failure is attributed to the task, not to the VM.
    bool isTaskFault_ = false;
    /// A report said that the task ended; it uses no resources any more.
    bool hasEnded_ = false;
  };

  /// Failures of a task over all its leases.
  struct Failure
  {
    std::int64_t count_ = 0;
    MonotonicTime waitUntil_{};
    std::string lastVm_;
  };

  /// State of a VM within one step, with its free resources.
  struct VmContext
  {
    const VmRecord* vm_ = nullptr;
    bool usable_ = false;
    /// Its free resources count as room for urgent tasks: it is usable and its
    /// task limit is above 1.
    bool countsAsUrgentRoom_ = false;
    int zone_ = 0;
    int rack_ = 0;
    TaskSize free_;
    /// Resources that stopping tasks will free and no urgent task has claimed.
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
    /// Size of an urgent task for which room is reserved, the number of such
    /// tasks that fit now, and the number that must fit.
    TaskSize urgentSize_;
    std::int64_t urgentRoom_ = 0;
    std::int64_t urgentRoomKept_ = 0;
    /// Small pool: tasks may be placed on VMs on which they failed.
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

  /// Counts the leased tasks and collects the waiting ones that can be tried
  /// now.
  void AddWaitingTasks(StepContext& aStep) const;
  bool CanTryNow(const StepContext& aStep, const TaskRecord& aTask) const;
  /// True if some task can be placed or resumed. The rest of the step context
  /// is filled in only then.
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

  /// Checks a part of the tasks in each step, round-robin.
  void CheckTasks(StepContext& aStep);
  void CheckTask(StepContext& aStep, const TaskRecord& aTask);
  /// Why a placed task must leave its VM; empty if it may stay.
  std::string StopReason(const StepContext& aStep,
                         const TaskRecord& aTask) const;
  /// Why a task counts as ended although no report says so; empty if it may
  /// still run.
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
  /// Tries to place the job's next waiting task; false if the job has none left
  /// or is blocked now.
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
  /// Sets the size and number of the urgent tasks for which pools reserve room.
  void SetUrgentRoom(StepContext& aStep) const;
  static bool KeepsUrgentRoom(const PoolContext& aPool,
                              const VmContext& aVm,
                              const TaskSize& aSize);
  bool HasFailedOn(const TaskRecord& aTask, const std::string& aVm) const;

  /// Result of MakeRoom().
  struct RoomResult
  {
    /// The VM on which the task can be placed at once, or null.
    VmContext* vm_ = nullptr;
    /// Tasks are being stopped to make room.
    bool isPending_ = false;
  };

  /// Makes room for an urgent task: throttles other tasks if that is enough,
  /// else has some checkpointed and stopped.
  RoomResult MakeRoom(StepContext& aStep,
                      const JobContext& aJob,
                      const TaskRecord& aTask);
  bool ThrottleFor(StepContext& aStep, VmContext& aVm, const TaskSize& aSize);
  bool StopFor(StepContext& aStep,
               const std::vector<VmContext*>& aVms,
               const TaskSize& aSize);
  /// Tasks on a VM that may be displaced by urgent ones, the largest first.
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
  /// Time of the latest processed reports of each VM.
  std::unordered_map<std::string, MonotonicTime> processedReportsAt_;
  /// Id of the first task that the next step checks.
  std::string nextTaskToCheck_;
  std::optional<MonotonicTime> cleanedUpAt_;
  /// Latest logical clock of the fleet, and when it was first seen.
  std::uint64_t lastLogicalMs_ = 0;
  std::optional<MonotonicTime> lastLogicalMsAt_;
};

} // namespace acaciahill
