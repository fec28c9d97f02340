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
#include <set>
#include <string>
#include <vector>

namespace acaciahill {

/// Times and numbers of the placement planner.
struct PlacementLimits
{
  /// A command is not proposed again within this time.
  Millis retryAfter_{ 3000 };
  /// First lease of a placed task, and the shortest one.
  Millis shortestLease_{ 60000 };
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
  Millis warmUp_{ 10000 };
  /// Wait of a task after its first failure; doubles with each further one.
  Millis firstBackOff_{ 5000 };
  Millis longestBackOff_{ 300000 };
  /// Time for which a job that fitted nowhere is left out, so that the limit
  /// of tries in one step reaches every job in turn.
  Millis blockedFor_{ 2000 };
  Millis urgentBlockedFor_{ 500 };
  /// Time after which a stopping task that its VM no longer names has ended.
  Millis goneAfter_{ 10000 };
  /// Time for which a task stays throttled at least.
  Millis throttledFor_{ 30000 };
  /// Share of a pool's cores and slots that is kept for urgent work, in
  /// percent.
  std::int64_t urgentPercent_ = 5;
  /// Cores that a throttled task still takes, in percent.
  std::int64_t throttledPercent_ = 25;
  /// Work in one step at most; each kind has its own limit, so that a wave of
  /// one kind does not starve another.
  std::size_t placementsPerStep_ = 64;
  std::size_t triesPerStep_ = 256;
  std::size_t updatesPerStep_ = 64;
  std::size_t stopsPerStep_ = 32;

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
  struct SentPlacement
  {
    std::string vm_;
    std::uint64_t lease_ = 0;
    MonotonicTime sentAt_{};
  };

  /// What is remembered of a task under one lease.
  struct TaskMemory
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
    bool isAtFault_ = false;
    /// Kept over leases.
    std::int64_t failures_ = 0;
    std::optional<MonotonicTime> waitUntil_;
    std::string lastFailedOn_;
  };

  /// A VM in one step, with what is left on it.
  struct VmRound
  {
    const VmRecord* vm_ = nullptr;
    bool usable_ = false;
    TaskSize free_;
    /// What tasks that are stopping will give back.
    TaskSize soonFree_;
    std::int64_t tasks_ = 0;
    std::int64_t throttled_ = 0;
    std::map<std::string, std::int64_t> tasksOfJob_;
    std::vector<const TaskRecord*> running_;
  };

  struct PoolRound
  {
    std::vector<VmRound*> vms_;
    TaskSize total_;
    TaskSize free_;
  };

  struct JobRound
  {
    const JobRecord* job_ = nullptr;
    std::vector<const TaskRecord*> waiting_;
    std::size_t next_ = 0;
    std::map<std::string, std::int64_t> byZone_;
    std::map<RackKey, std::int64_t> byRack_;
  };

  struct Round
  {
    const PlannerView& view_;
    MonotonicTime now_;
    std::uint64_t logicalMs_ = 0;
    std::map<std::string, VmRound> vms_{};
    std::map<std::string, PoolRound> pools_{};
    std::map<std::string, JobRound> jobs_{};
    std::map<std::string, TaskSize> teams_{};
    /// Tasks that their VMs report as ended; they take no room any more.
    std::set<std::string> ended_{};
    /// Tasks under a lease.
    std::int64_t leased_ = 0;
    TaskSize total_{};
    std::size_t updates_ = 0;
    std::size_t stops_ = 0;
    std::size_t placements_ = 0;
    std::size_t tries_ = 0;
    std::vector<PlannerAction> actions_{};
  };

  TaskMemory& MemoryOf(const TaskRecord& aTask, MonotonicTime aNow);
  void Forget(const PlannerView& aView, MonotonicTime aNow);
  std::uint64_t LogicalNow(const PlannerView& aView, MonotonicTime aNow);

  Round BeginRound(const PlannerView& aView, MonotonicTime aNow);
  void AddVms(Round& aRound) const;
  void AddEnded(Round& aRound) const;
  void AddTasks(Round& aRound) const;
  void Occupy(Round& aRound,
              const TaskRecord& aTask,
              const JobRecord& aJob,
              const std::string& aVm,
              TaskPhase aPhase) const;
  TaskSize SizeOf(const JobRecord& aJob, const TaskRecord* aTask) const;
  TaskSize SizeIn(TaskSize aSize, TaskPhase aPhase) const;

  void TakeReports(Round& aRound);
  void TakeReport(Round& aRound,
                  const TaskRecord& aTask,
                  const TaskReport& aReport,
                  MonotonicTime aHeardAt);
  void TakeRunning(Round& aRound,
                   const TaskRecord& aTask,
                   const TaskReport& aReport,
                   MonotonicTime aHeardAt);
  void TakeFailure(Round& aRound, const TaskRecord& aTask);
  void TakeSample(const Round& aRound,
                  const TaskRecord& aTask,
                  const TaskReport& aReport,
                  MonotonicTime aHeardAt);

  void ServeTasks(Round& aRound);
  void ServeTask(Round& aRound, const TaskRecord& aTask);
  /// Why a placed task must leave its VM; empty when it may stay.
  std::string StopReason(const Round& aRound, const TaskRecord& aTask) const;
  /// Why a task no longer runs although no report says so; empty when it may.
  std::string EndReason(const Round& aRound,
                        const TaskRecord& aTask,
                        const TaskMemory& aMemory) const;
  void ResumeThrottled(Round& aRound);
  std::uint64_t LeaseMs(const Round& aRound) const;

  void Place(Round& aRound, bool aUrgent);
  /// The jobs with waiting tasks by team.
  std::map<std::string, std::deque<JobRound*>> WaitingJobs(Round& aRound,
                                                           bool aUrgent) const;
  double ShareOf(const Round& aRound, const std::string& aTeam) const;
  bool MayWork(const Round& aRound, const TaskRecord& aTask) const;
  /// Tries to place the job's next waiting task; false when the job is blocked.
  bool PlaceNext(Round& aRound, JobRound& aJob);
  void Block(const Round& aRound, const JobRecord& aJob);
  bool ProposePlacement(Round& aRound,
                        JobRound& aJob,
                        const TaskRecord& aTask,
                        VmRound& aVm);
  VmRound* FindVm(Round& aRound,
                  const JobRound& aJob,
                  const TaskRecord& aTask) const;
  bool MayRunOn(const Round& aRound,
                const TaskRecord& aTask,
                const VmRound& aVm) const;

  bool KeepsUrgentShare(const PoolRound& aPool, const TaskSize& aSize) const;

  /// What MakeRoom() did.
  struct Room
  {
    /// The VM on which the task can be placed at once, or none.
    VmRound* vm_ = nullptr;
    /// Room is coming, as tasks are stopping for it.
    bool isComing_ = false;
  };

  /// Makes room for an urgent task: throttles where that is enough, else has
  /// tasks checkpointed and stopped.
  Room MakeRoom(Round& aRound, const JobRound& aJob, const TaskRecord& aTask);
  bool ThrottleFor(Round& aRound, VmRound& aVm, const TaskSize& aSize);
  bool StopFor(Round& aRound,
               const std::vector<VmRound*>& aVms,
               const TaskSize& aSize);
  /// Tasks on a VM that are not urgent, the largest first.
  std::vector<const TaskRecord*> NotUrgent(const Round& aRound,
                                           const VmRound& aVm) const;

  bool Update(Round& aRound,
              const TaskRecord& aTask,
              TaskPhase aPhase,
              const std::string& aReason,
              bool aFailedOnVm = false);
  bool Stop(Round& aRound, const TaskRecord& aTask, const std::string& aReason);
  bool Propose(Round& aRound, const std::string& aIntent, Command aCommand);

  PlannerLimits limits_;
  PlacementLimits placementLimits_;
  ProposalGate gate_;
  ProposalGate blocked_;
  ProposalGate urgentBlocked_;
  JobSizes sizes_;
  VmHealth health_;
  std::map<std::string, SentPlacement> sent_;
  std::map<std::string, TaskMemory> memory_;
  /// When the fleet's logical clock was last seen to advance.
  std::uint64_t seenLogicalMs_ = 0;
  std::optional<MonotonicTime> seenAt_;
};

} // namespace acaciahill
