#pragma once

#include "workload/backlog_cache_base.h"
#include "workload/batch_effects_type.h"
#include "workload/demand_meter_base.h"
#include "workload/idle_run_type.h"
#include "workload/pool_balance_func.h"
#include "workload/ready_step_type.h"
#include "workload/refused_jobs_base.h"
#include "workload/room_reservation_base.h"
#include "workload/scheduler_type.h"
#include "workload/tenant_shares_base.h"
#include "workload/tenant_usage_base.h"
#include "workload/turn_forecast_base.h"
#include "workload/upkeep_denials_base.h"
#include "workload/usable_worker_type.h"
#include "workload/vm_call_budget_base.h"
#include "workload/vm_view_type.h"
#include "workload/worker_view_type.h"
#include "workload/workload_base.h"
#include "workload/yielding_workers_base.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace acaciahill {

/// Decides during one term of leadership which tasks run on which workers. Its
/// state includes decisions that the log has not committed yet; effects that
/// are visible outside (answers, start orders) wait for the commit. It has no
/// clock and does no I/O: each input carries the time, and TakeActions()
/// returns what the host has to do.
class Scheduler
{
public:
  /// Starts from the committed state. The term is the high part of the fence of
  /// all orders. A lease granted by a former leader may last for a whole lease
  /// period from now.
  Scheduler(Workload aState,
            SchedulerSettings aSettings,
            std::uint64_t aTerm,
            MonotonicTime aNow);

  /// Applies a configuration to all further decisions.
  void UseConfig(const WorkloadConfig& aConfig, MonotonicTime aNow);

  // Requests. Each token gets one answer.
  void SubmitJob(RequestToken aToken, const JobSpec& aSpec, MonotonicTime aNow);
  /// A job that the tenant's requests to the queue may not see (IsVisibleTo) is
  /// unknown to them.
  void CancelJob(RequestToken aToken,
                 JobId aJob,
                 const std::string& aQueue,
                 const std::string& aTenant,
                 MonotonicTime aNow);
  /// The document must be validated. A version that is not higher than the
  /// current one is accepted without effect.
  void AcceptConfig(RequestToken aToken,
                    const ConfigDocument& aDocument,
                    MonotonicTime aNow);
  void ReportWorker(RequestToken aToken,
                    const WorkerReport& aReport,
                    MonotonicTime aNow);
  /// The worker reported that it exits now. Without the start of its process
  /// the report may be an old one: then it removes a draining worker without
  /// runs, and a worker with runs only when that stays silent.
  void RemoveWorker(RequestToken aToken,
                    const std::string& aId,
                    std::optional<std::uint64_t> aProcessStartMs,
                    MonotonicTime aNow);
  void StartWave(RequestToken aToken,
                 const UpkeepWave& aWave,
                 MonotonicTime aNow);

  // Answers of workers and of the platform.
  void HandleStart(const StartRun& aOrder,
                   const OrderAnswer& aAnswer,
                   MonotonicTime aNow);
  void HandleStop(const StopRun& aOrder,
                  const OrderAnswer& aAnswer,
                  MonotonicTime aNow);
  void HandlePace(const PaceRun& aOrder,
                  const OrderAnswer& aAnswer,
                  MonotonicTime aNow);
  /// The lists are absent when the worker did not accept the renewal.
  void HandleRenewal(const RenewLease& aOrder,
                     const OrderAnswer& aAnswer,
                     const std::optional<WorkerLists>& aLists,
                     MonotonicTime aNow);
  /// Nothing when the platform did not answer.
  void HandleVms(const ListVms& aOrder,
                 const std::optional<std::vector<VmListing>>& aVms,
                 MonotonicTime aNow);
  void HandleUpkeep(const BeginUpkeep& aOrder,
                    VmOutcome aOutcome,
                    MonotonicTime aNow);

  void HandleMove(const MoveVm& aOrder, VmOutcome aOutcome, MonotonicTime aNow);

  /// The log committed the batch of an AppendBatch action.
  void HandleCommit(std::uint64_t aBatch, MonotonicTime aNow);

  /// Does the periodic work; call at least every kTick. The wall clock in Unix
  /// ms is used only for due occurrences.
  void Tick(MonotonicTime aNow, std::uint64_t aWallMs);

  /// Returns the pending actions in order; each one is returned once.
  std::vector<SchedulerAction> TakeActions(MonotonicTime aNow);

  /// A majority of the voters confirmed this leader at that time.
  void ConfirmAuthority(MonotonicTime aAt);

  /// Orders that a worker or the platform refused for a higher fence than any
  /// that this leader has sent there. After one, no actions are returned until
  /// a majority confirms that there is no later leader.
  std::uint64_t UnexplainedFences() const { return unexplainedFences_; }

  /// The state including decisions that are not committed yet.
  const Workload& State() const { return state_; }
  const std::map<std::uint32_t, WorkerView>& Views() const { return views_; }
  /// Queued steps with waiting tasks, in all pools.
  std::size_t CountReadySteps() const;
  /// What the tasks of each tenant reserve on all workers.
  const TenantUsage& Tenants() const { return tenantUsage_; }
  /// Jobs that were refused because they would have been late.
  std::uint64_t CountRefusedJobs() const { return refusedJobs_.Count(); }
  const ReservationCounts& Reservations() const
  {
    return reservedSteps_.Counts();
  }
  /// The long-running tasks that wait, and those assigned and not known to run.
  IdleTaskCounts CountIdleTasks(MonotonicTime aNow) const;
  /// Workers that were examined for placements so far: what decisions cost.
  std::uint64_t ExaminedWorkers() const { return examinedWorkers_; }

  /// Maximum time between two calls of Tick().
  static constexpr Millis kTick{ 50 };

  /// Time until a moved VM is usable in its new pool: the platform takes 1.5 s,
  /// and the worker has to register. The VM cannot be moved again before.
  static constexpr Millis kVmArrival{ 1700 };

private:
  /// Standard deviations added to the run time of each step when planning a job
  /// that has not started: run times vary, and a step ends with its longest
  /// task.
  static constexpr double kPlanningDeviations = 2.0;

  /// Number of tasks to be placed by the first task of their step.
  using TasksToPlace = std::map<TaskKey, std::uint32_t>;
  using UsableWorkers = std::vector<UsableWorker>;
  using UsableByPool = std::map<std::string, UsableWorkers>;

  // scheduler.cpp: events, batches, time.
  /// Applies an event to the state and adds it to the next batch.
  void Decide(WorkloadEvent aEvent, MonotonicTime aNow);
  void AnswerOnCommit(RequestToken aToken, RequestOutcome aOutcome);
  void Answer(RequestToken aToken,
              RequestOutcome aOutcome,
              Millis aRetryAfter = Millis(0));
  void FlushBatch(MonotonicTime aNow);
  std::uint64_t LogicalNow(MonotonicTime aNow) const;
  bool HasAuthority(MonotonicTime aNow) const;
  /// This leader may place tasks and send orders now.
  bool MayAct(MonotonicTime aNow) const;
  /// Places waiting tasks if something has changed since the last time.
  void PlaceIfDue(MonotonicTime aNow);
  /// Suspends this leader after an order was refused for an unexplained fence.
  void DoubtAuthority(const std::string& aRefusedBy, MonotonicTime aNow);
  /// Whether both waves are over the same VMs, begun or not.
  static bool HasSameVms(const UpkeepWave& aOne, const UpkeepWave& aOther);
  void TrackRecurringJob(const JobSpec& aSpec);
  void BeginDueOccurrences(std::uint64_t aWallMs, MonotonicTime aNow);
  void ForgetEndedJobs(MonotonicTime aNow);

  // scheduler_admission.cpp: jobs that are refused at once.
  /// The delay after which the job should be submitted again; nothing when it
  /// is accepted now.
  std::optional<Millis> RefusalOf(const JobSpec& aSpec,
                                  const QueueSpec& aQueue,
                                  MonotonicTime aNow);
  /// What the pool has to do before a job with or without a share left.
  PoolBacklog BacklogOf(const std::string& aPool,
                        bool aBeyondShare,
                        MonotonicTime aNow) const;
  /// ReadyStep::expiresAtMs_ of a step of the job.
  std::uint64_t ExpiryOf(const JobEntry& aJob,
                         const QueueSpec& aQueue,
                         std::uint32_t aStep) const;
  /// Milli-cores that tasks of expired jobs leave free: half of what the
  /// workers have beside long-running tasks.
  static std::int64_t ReserveBesideExpired(const UsableWorkers& aWorkers);

  // scheduler_lookahead.cpp: room that is kept for waiting tasks.
  bool LooksAhead() const;
  /// Learned run time of a task of the queue with a margin; nothing until it is
  /// known.
  std::optional<Millis> ExpectedRunTime(const std::string& aQueue) const;
  std::vector<ExpectedEnd> ExpectedEndsOn(const WorkerView& aView,
                                          MonotonicTime aNow) const;
  /// Keeps room for the next task of a step that found none.
  void ReserveRoom(const ReadyStep& aReady,
                   const UsableWorkers& aWorkers,
                   RoomReservations& aReserved,
                   MonotonicTime aNow);

  // scheduler_worker.cpp: workers.
  WorkerView* FindView(std::uint32_t aWorker);
  void AddView(const WorkerEntry& aWorker, MonotonicTime aNow);
  std::uint32_t FindWorkerById(const std::string& aId) const;
  std::uint32_t FindWorkerOfVm(const std::string& aVm) const;
  std::uint64_t FenceOf(const WorkerEntry& aWorker) const;
  /// Also extends leaseExpiresAt_ of the worker.
  OrderTarget MakeTarget(std::uint32_t aWorker, MonotonicTime aNow);
  void ReadClock(WorkerView& aView,
                 const std::optional<std::int64_t>& aClockMs,
                 MonotonicTime aNow);
  /// Removes workers without an unconfirmed run or a requested stop from
  /// unsettledWorkers_.
  void PruneUnsettledWorkers();
  void DropWorker(std::uint32_t aWorker,
                  std::string_view aReason,
                  MonotonicTime aNow);
  void CloseRunsOfWorker(std::uint32_t aWorker,
                         RunEnd aEnd,
                         MonotonicTime aNow);
  /// Whether the worker may have refused an order with this fence because of
  /// another order of this leader.
  bool IsOvertaken(const WorkerView& aView,
                   std::uint64_t aFence,
                   const WorkerEntry& aWorker) const;
  /// Handles the refusal of an order for a fence that this leader has not sent.
  /// The worker counts as silent until it accepts an order.
  void HandleUnexplainedFence(const OrderTarget& aTarget, MonotonicTime aNow);
  /// Handles what all answers have in common. True when the worker is gone: the
  /// caller must not process the answer further.
  bool HandleCommonOutcome(const OrderTarget& aTarget,
                           const OrderAnswer& aAnswer,
                           MonotonicTime aNow);

  // scheduler_incarnation.cpp: workers that are back under their ids.
  void Supersede(std::uint32_t aFormer, std::uint32_t aNew);
  /// Finds the former incarnations that the leader before had not removed yet.
  void RestoreSuperseded();
  /// Neither the worker nor a former incarnation that it supersedes has runs.
  bool HoldsNoRuns(std::uint32_t aWorker) const;
  /// The incarnation has ended. Closes its runs but those whose start order the
  /// next one may carry out, and removes it when no run is left.
  void EndIncarnation(std::uint32_t aWorker,
                      std::string_view aReason,
                      MonotonicTime aNow);
  /// Moves the runs that the lists show from the former incarnations to the
  /// worker, and those that the incarnation after it may still start. Complete
  /// lists prove that the others have ended: they are closed.
  void TakeOverRuns(std::uint32_t aWorker,
                    const WorkerLists& aLists,
                    MonotonicTime aNow);
  /// The lists of the worker show the run, or deny it.
  void AdoptRun(std::uint32_t aFormer,
                std::uint32_t aWorker,
                const TaskKey& aTask,
                bool aIsShown,
                MonotonicTime aNow);
  /// Logs which runs of a former incarnation the lists of the next one show.
  void LogNextIncarnation(std::uint32_t aFormer,
                          const WorkerLists& aLists) const;
  /// Whether orders to an earlier incarnation may have left a lease on the
  /// worker that is longer than those of its own orders.
  bool MayHoldFormerLease(const WorkerEntry& aWorker, MonotonicTime aNow) const;
  /// Time for which a worker holds a lease that it shortens to the longest one.
  Millis LongestLease() const;
  /// Notes that this incarnation has carried out the start order.
  static void BindRun(RunView& aRun, MonotonicTime aNow);
  /// Whether the answer carries the clock of this incarnation, and not that of
  /// a later one, which begins anew.
  static bool IsOwnClock(const WorkerView& aView,
                         const OrderAnswer& aAnswer,
                         MonotonicTime aNow);
  /// By then a run that is not bound (see RunView::isBound_) has ended on any
  /// incarnation of the silent worker.
  MonotonicTime UnboundRunsEndBy(const WorkerView& aView) const;
  /// Whether no incarnation of the silent worker runs it or can start it any
  /// more, as its leases have expired or other workers or the platform's lists
  /// show.
  bool HasCertainlyEnded(const WorkerView& aView,
                         const RunView& aRun,
                         MonotonicTime aNow) const;
  /// Some silent worker has runs that wait for longer than its lease: a list of
  /// VMs may show that no incarnation of it is running.
  bool AwaitsAbsence(MonotonicTime aNow) const;
  /// Notes which silent workers the platform's list shows as not running.
  void NoteAbsentWorkers(const ListVms& aOrder,
                         const std::vector<VmListing>& aListed,
                         MonotonicTime aNow);
  /// Notes by an entry of its VM, from after it fell silent, whether the worker
  /// of that id can have a later incarnation.
  static void NoteVmOfSilentWorker(WorkerView& aView,
                                   const VmListing& aListing,
                                   const std::string& aWorkerId,
                                   MonotonicTime aListedAt);
  /// Notes that earlier workers on the VM of this one, which has answered, have
  /// no later incarnation.
  void NoteReplacedWorkers(std::uint32_t aWorker);
  /// Whether the state of a former leader shows that the run is bound.
  bool WasBound(const TaskEntry& aTask, MonotonicTime aNow) const;
  /// Binds the worker's runs that the lists show as running.
  void BindListedRuns(std::uint32_t aWorker,
                      const WorkerLists& aLists,
                      MonotonicTime aNow);
  /// Tells later leaders which runs of the worker are bound.
  void NoteBoundRuns(std::uint32_t aWorker,
                     const RenewLease& aOrder,
                     MonotonicTime aNow);
  /// See WorkerEntry::boundUntilMs_.
  std::uint64_t BoundUntil(const WorkerView& aView,
                           const RenewLease& aOrder) const;

  // scheduler_lease.cpp: renewal and expiry of leases.
  void RenewDueLeases(MonotonicTime aNow);
  void ProbeUnconfirmedRuns(MonotonicTime aNow);
  void ExpireLeases(MonotonicTime aNow);
  void CloseEndedRuns(std::uint32_t aWorker, MonotonicTime aNow);

  // scheduler_lists.cpp: workers' lists of runs.
  void ProcessEndedRuns(std::uint32_t aWorker,
                        const WorkerLists& aLists,
                        const RenewLease& aOrder,
                        MonotonicTime aNow);
  void AcceptLateCompletion(const EndedRun& aEnd, MonotonicTime aNow);
  void ProcessRunningTasks(std::uint32_t aWorker,
                           const WorkerLists& aLists,
                           const RenewLease& aOrder,
                           MonotonicTime aNow);
  void CheckMissingRuns(std::uint32_t aWorker,
                        const WorkerLists& aLists,
                        const RenewLease& aOrder,
                        MonotonicTime aNow);
  void StopUnexpectedRun(std::uint32_t aWorker,
                         const TaskKey& aTask,
                         std::uint32_t aRun,
                         MonotonicTime aNow);

  // scheduler_start.cpp: start orders.
  void SendStart(const PendingStart& aStart, MonotonicTime aNow);
  /// Whether to send the start of a run again that the worker denies.
  bool MayRepeatStart(std::uint32_t aWorker,
                      const RunView& aRun,
                      MonotonicTime aNow) const;
  void RepeatStart(std::uint32_t aWorker,
                   const TaskKey& aTask,
                   std::uint32_t aRun,
                   MonotonicTime aNow);
  /// The run is not on the worker. Closes it once no incarnation of the worker
  /// can carry out an earlier start order of it; until then it is denied.
  void RejectRun(std::uint32_t aWorker,
                 const TaskKey& aTask,
                 std::uint32_t aRun,
                 MonotonicTime aNow);
  /// Until then a later incarnation of the worker may carry out a start order
  /// of the run.
  MonotonicTime LastStartArrival(const RunView& aRun) const;

  // scheduler_run.cpp: stop and end of runs.
  RunView* FindRun(std::uint32_t aWorker,
                   const TaskKey& aTask,
                   std::uint32_t aRun);
  void CloseRun(std::uint32_t aWorker,
                const TaskKey& aTask,
                std::uint32_t aRun,
                RunEnd aEnd,
                const std::string& aCheckpoint,
                MonotonicTime aNow);
  /// Closes or stops the other members of a gang after one has ended.
  void EndGang(const TaskKey& aTask,
               std::uint32_t aRun,
               RunEnd aEnd,
               MonotonicTime aNow);
  /// Checkpoint from which the next run of the task resumes. All members of a
  /// gang must get the same one, which may be that of any member.
  const std::string& CheckpointOf(const TaskKey& aTask) const;
  /// Queues the steps that the end of a run makes ready.
  void QueueAfterRunEnd(const TaskKey& aTask, RunEnd aEnd);
  void RecordRunEnd(std::uint32_t aWorker,
                    const EndedRun& aEnd,
                    MonotonicTime aNow);
  /// Stops the run with the next actions. aIsEviction as RunView::isEviction_.
  void RequestStop(std::uint32_t aWorker, RunView& aRun, bool aIsEviction);
  void SendRequestedStops(MonotonicTime aNow);
  void WithdrawEviction(std::uint32_t aWorker,
                        const TaskKey& aTask,
                        RunView& aRun);
  void RequestStopsOfJob(JobId aJob);
  void EvacuateDrainingWorkers(MonotonicTime aNow);
  /// Tasks of the step that may be unavailable because of the system.
  std::uint32_t AbsenceBudgetOf(const TaskKey& aTask) const;
  /// Moving the task off keeps its step within the absence budget.
  bool IsEvictionWithinBudget(const TaskKey& aTask) const;
  /// Another worker of the pool that has room for the task now, which is then
  /// taken out of aUsable; 0 without one.
  std::uint32_t FindDestination(const TaskKey& aTask,
                                std::uint32_t aWorker,
                                UsableByPool& aUsable);
  /// Other tasks of the step that are not ready on a worker that answers.
  std::uint32_t CountUnavailablePeers(const TaskKey& aTask) const;

  // scheduler_pace.cpp: pace of filler tasks.
  void PaceFillingRuns(std::uint32_t aWorker, MonotonicTime aNow);

  // scheduler_attempts.cpp: failed runs of tasks.
  /// Whether a task with that many failed runs must not start again.
  bool IsBudgetSpent(const JobEntry& aJob, std::uint32_t aFailures) const;
  /// A waiting task of the job that must not start again; nullopt without one.
  std::optional<TaskKey> FindTaskWithoutAttempts(const JobEntry& aJob) const;
  /// Ends the jobs whose last attempt failed while their queue was not in the
  /// configuration, or that get fewer attempts from a new one.
  void FailJobsWithoutAttempts(MonotonicTime aNow);

  // scheduler_place.cpp: which task runs where.
  void QueueJob(const JobEntry& aJob);
  void QueueStep(const JobEntry& aJob,
                 std::uint32_t aOccurrence,
                 std::uint32_t aStep);
  void RequeueAll();
  /// For each step the expected time in ms from its start to the end of all
  /// steps that depend on it: learned mean run times plus a number of standard
  /// deviations per step, or the customer's estimates until they are known.
  std::vector<double> RemainingPathsMs(const JobSpec& aSpec,
                                       double aDeviations) const;
  /// Latest logical start time in ms at which the job still meets its
  /// objective.
  std::uint64_t LatestStartOf(const JobEntry& aJob,
                              const QueueSpec& aQueue,
                              std::uint32_t aStep,
                              bool aHasStarted) const;
  bool AreDependenciesDone(const OccurrenceEntry& aOccurrence,
                           const StepSpec& aStep) const;
  void PlaceWaitingTasks(MonotonicTime aNow);
  void PlacePool(const std::string& aPool,
                 UsableWorkers& aWorkers,
                 std::set<ReadyStep>& aReady,
                 MonotonicTime aNow);
  /// True when a run of one of the step's tasks was assigned before.
  bool HasStartedTasks(const ReadyStep& aReady) const;
  /// False when no worker was found for a waiting task of the step. Needs that
  /// the workers have no room for are added to aShortage.
  bool PlaceStep(const ReadyStep& aReady,
                 UsableWorkers& aWorkers,
                 RoomShortage& aShortage,
                 RoomReservations& aReserved,
                 MonotonicTime aNow);
  bool PlaceGang(const ReadyStep& aReady,
                 UsableWorkers& aWorkers,
                 RoomShortage& aShortage,
                 MonotonicTime aNow);
  /// The best worker for a task of the step, which ends at aEndsAt, beside the
  /// reservations; null when none fits.
  UsableWorker* ChooseWorker(
    const StepSpec& aStep,
    UsableWorkers& aWorkers,
    const std::map<std::uint32_t, std::uint32_t>& aTasksByWorker,
    const RoomReservations& aReserved = {},
    MonotonicTime aEndsAt = MonotonicTime::max()) const;
  /// Their room without that of tasks which are being moved to them.
  UsableByPool FindUsableWorkers(MonotonicTime aNow) const;
  /// Room that tasks will need which are being stopped to move, by worker.
  std::map<std::uint32_t, TaskNeed> RoomOfMovingTasks() const;
  std::map<std::uint32_t, std::uint32_t> CountTasksByWorker(
    const std::vector<TaskEntry>& aTasks) const;
  void Assign(const TaskKey& aTask,
              std::uint32_t aRun,
              UsableWorker& aWorker,
              const StepSpec& aStep,
              MonotonicTime aNow);

  // scheduler_room.cpp: waiting tasks that find no room.
  /// Takes one worker out of aWorkers for each long-running step that waits, at
  /// most half of them, so that room for its next task comes together there.
  void ReserveForLongRunning(const std::set<ReadyStep>& aReady,
                             UsableWorkers& aWorkers) const;
  /// The worker where room for a task of the long-running step comes together
  /// soonest when it gets no short tasks; the end of aWorkers without one.
  UsableWorkers::iterator FindWorkerToReserve(const ReadyStep& aReady,
                                              UsableWorkers& aWorkers) const;
  /// The long-running tasks of each pool that wait, or that are on workers
  /// which are drained or emptied.
  std::map<std::string, TasksToPlace> LongRunningTasksToPlace() const;
  /// Minimum number of workers for the limits per worker of these steps.
  std::size_t RequiredSpread(const TasksToPlace& aTasks) const;
  /// Workers that the pool needs to have a place for all these tasks: those of
  /// its aSupply that run tasks or would get one of these, and further ones.
  /// Room that short tasks hold counts as a place.
  std::size_t WorkersForLongRunning(const std::string& aPool,
                                    const TasksToPlace& aTasks,
                                    std::size_t aSupply,
                                    MonotonicTime aNow) const;
  /// Workers of the pool that get tasks, or will before a VM could arrive, with
  /// the room beside their long-running tasks.
  UsableWorkers WorkersWithRoomLater(const std::string& aPool,
                                     MonotonicTime aNow) const;
  /// PoolDemand::strandedWorkers_ of a pool with these workers.
  std::size_t CountStrandedWorkers(const std::string& aPool,
                                   const UsableWorkers& aWorkers) const;

  // scheduler_demand.cpp: demand of the pools.
  const std::vector<std::string>& QueuesOf(const std::string& aPool) const;
  /// Tasks of the step that wait; 0 when its job or occurrence has ended.
  std::int64_t CountWaitingTasks(const ReadyStep& aReady) const;
  WaitingWork WaitingWorkOf(const std::string& aPool, MonotonicTime aNow) const;
  void CountArrival(const JobSpec& aSpec, MonotonicTime aNow);
  void ObserveDemand(MonotonicTime aNow);
  std::int64_t ArrivingMilliCores(const std::string& aPool, MonotonicTime aNow);
  /// Growth of a pool's demand in milli-cores within kVmArrival.
  std::int64_t GrowthOf(const std::string& aPool, MonotonicTime aNow);
  Millis ChainTimeOf(const std::string& aPool) const;
  Millis RunTimeOf(const std::string& aPool) const;
  /// Demand of the pool in milli-cores after kVmArrival.
  /// aBacklog is the demand of the pool's waiting work.
  std::int64_t ExpectedDemand(const PoolDemand& aLoad,
                              const WaitingWork& aBacklog,
                              MonotonicTime aNow);
  std::vector<PoolDemand> PoolDemands(MonotonicTime aNow);
  /// Writes the learned load to the replicated log for later leaders.
  void SaveLearnedLoad(MonotonicTime aNow);

  // scheduler_waits.cpp: long-running tasks that wait, for the log.
  /// Keeps the time since which each long-running task of the steps waits.
  void NoteWaitingTasks(const std::set<ReadyStep>& aReady, MonotonicTime aNow);
  void ReportEndOfWait(const TaskKey& aTask,
                       const UsableWorker& aWorker,
                       MonotonicTime aNow);
  void ForgetEndedWaits();
  /// Logs the long-running steps that wait, and what keeps each worker from
  /// them.
  void ReportWaitingTasks(MonotonicTime aNow);
  void ReportWaitingStep(const std::string& aPool,
                         const ReadyStep& aReady,
                         MonotonicTime aNow) const;
  /// Keeps the time since which the task is not known to run.
  void WatchTask(const TaskKey& aTask, MonotonicTime aSince);
  /// Finds the tasks that are not known to run, and why.
  void NoteIdleTasks(MonotonicTime aNow);
  /// False when the task runs or need not run. Adds one to aEnded for a task
  /// that runs again after a long time.
  bool NoteIdleTask(const TaskKey& aTask,
                    IdleTask& aIdle,
                    MonotonicTime aNow,
                    std::size_t& aEnded) const;
  /// Logs the assigned tasks that are not known to run.
  void ReportIdleTasks(MonotonicTime aNow) const;
  void ReportIdleTask(const TaskKey& aTask,
                      const IdleTask& aIdle,
                      MonotonicTime aNow) const;
  /// When the wait for the run, which is not known to be running, ends at the
  /// latest; nothing where no time is known.
  std::optional<MonotonicTime> IdleRunEndsBy(const WorkerView& aView,
                                             const RunView& aRun,
                                             IdleRunCause aCause) const;

  // scheduler_pools.cpp: moves of VMs between pools.
  /// Zones of which no worker answers, or none did when it was removed.
  std::set<std::string> UnreachableZones() const;
  /// VMs that are being moved to the pool and have not registered there.
  std::size_t CountArrivingVms(const std::string& aPool) const;
  void ForgetEndedMoves(MonotonicTime aNow);
  /// Keeps what an answer or a registration has shown, until a later list.
  void NotePoolOfVm(const std::string& aVm,
                    const std::string& aPool,
                    MonotonicTime aNow);
  /// Removes the VM's workers in other pools than that.
  void DropWorkersOfMovedVm(const std::string& aVm,
                            const std::string& aPool,
                            MonotonicTime aNow);
  /// The last list lacks known VMs, or a move may have begun since.
  bool IsVmListDoubted() const;
  void BalancePools(MonotonicTime aNow);
  /// Logs the demands that the next moves are based on.
  void LogDemands(const std::vector<PoolDemand>& aDemands) const;
  /// Takes a call for a move from the budget; false when none is left.
  bool TakeMoveCall(MonotonicTime aNow);
  void RequestMove(const VmMove& aMove, MonotonicTime aNow);
  /// The VM's workers in other pools have ended.
  void NoteMoveBegun(const std::string& aVm,
                     PendingMove& aMove,
                     MonotonicTime aNow);
  /// The move has not begun: the VM's worker gets tasks again.
  void CancelMove(const std::string& aVm, MonotonicTime aNow);
  /// Completes or cancels the moves with unanswered calls of which the list
  /// tells whether they have begun.
  void SettleUnclearMoves(const ListVms& aOrder,
                          const std::vector<VmListing>& aListed,
                          MonotonicTime aNow);
  void RetryMoves(MonotonicTime aNow);

  // scheduler_upkeep.cpp: maintenance waves.
  /// Asks for the platform's list of VMs if the last one is older.
  void RefreshVmList(Millis aMaxAge, MonotonicTime aNow);
  /// Whether the VM may be down for maintenance, though the list lacks it.
  static bool IsDownUnlisted(const VmView& aView, const ListVms& aOrder);
  /// Makes the VMs of waves that the list lacks candidates like those that are
  /// up, and returns them.
  std::set<std::string> ExpectUnlistedVms(const ListVms& aOrder,
                                          const std::set<std::string>& aListed);
  /// Drops the views of VMs that two lists in a row lack, but those expected.
  void DropUnlistedVms(const ListVms& aOrder,
                       const std::set<std::string>& aListed,
                       const std::set<std::string>& aExpected);
  void AdvanceWaves(MonotonicTime aNow);
  void AdvanceWave(const UpkeepWave& aWave,
                   const std::vector<std::string>& aCandidates,
                   UsableByPool& aUsable,
                   MonotonicTime aNow);
  std::size_t CountVmsDown(const UpkeepWave& aWave, MonotonicTime aNow) const;
  /// The platform answered that the VM has no part in the wave: the VM's upkeep
  /// counts as begun once that is proved, and is ordered again before.
  void HandleUpkeepDenial(const BeginUpkeep& aOrder,
                          VmOutcome aDenial,
                          VmView& aView,
                          MonotonicTime aNow);
  /// The platform did not answer an order of upkeep a short time ago.
  bool IsUpkeepUnavailable(MonotonicTime aNow) const;
  std::vector<std::string> CandidatesOf(const UpkeepWave& aWave,
                                        MonotonicTime aNow) const;
  /// The next candidates, aMost at most. Their workers get no more tasks.
  std::vector<std::string> EmptyCandidatesOf(const UpkeepWave& aWave,
                                             std::size_t aMost,
                                             MonotonicTime aNow);
  /// All runs of the worker are to be stopped.
  static bool IsBeingEmptied(const WorkerView& aView);
  /// The worker has no short tasks, and all others may be stopped together.
  bool CanBeEmptiedAtOnce(const WorkerView& aView) const;
  /// Stops long-running tasks of the worker that another one has a place for,
  /// or all with aNeedsNoPlace, within their absence budgets.
  void EvictLongRunning(std::uint32_t aWorker,
                        UsableByPool& aUsable,
                        bool aNeedsNoPlace);

  // scheduler_evacuation.cpp: evacuations whose plan fails.
  /// Gives up the room that is kept for tasks on workers which are gone, and
  /// keeps room on another worker, if one has it, for each of them.
  void ReplaceLostDestinations(MonotonicTime aNow);
  /// An upkeep or a move of the VM may come, or may have been carried out.
  bool IsOrderExpected(const std::string& aVm) const;
  /// An order for the VM has no answer yet, or got none and its worker has not
  /// been heard of since.
  bool MayBeGone(const std::string& aVm, const WorkerView& aView) const;
  /// Ends the evacuations whose order does not come or takes too long, and
  /// those of workers that a long-running task waits for.
  void EndEvacuations(MonotonicTime aNow);
  void GiveBackForWaitingTasks(const std::vector<std::uint32_t>& aEvacuating,
                               MonotonicTime aNow);
  /// A worker with a place for the task but for its evacuation; 0 without one.
  std::uint32_t FindEvacuatingWorkerFor(
    const TaskKey& aTask,
    const std::string& aPool,
    const std::vector<std::uint32_t>& aEvacuating,
    MonotonicTime aNow) const;
  /// Also puts off further orders for the VM.
  void EndEvacuation(std::uint32_t aWorker,
                     std::string_view aReason,
                     MonotonicTime aNow);

  SchedulerSettings settings_;
  std::uint64_t term_ = 0;
  Workload state_;
  WorkloadConfig config_;
  /// Queue keys of each pool in the configuration. Cached because pools are
  /// balanced many times a second and there may be hundreds of queues.
  std::map<std::string, std::vector<std::string>> queuesOfPool_;
  /// Logical time in ms at startedAt_.
  std::uint64_t baseMs_ = 0;
  MonotonicTime startedAt_;
  MonotonicTime authorityAt_;
  /// When the authority came into doubt; nothing once it is confirmed again.
  std::optional<MonotonicTime> doubtedAt_;
  std::uint64_t unexplainedFences_ = 0;

  std::map<std::uint32_t, WorkerView> views_;
  /// Workers that may have unconfirmed runs or requested stops. Only these are
  /// scanned at each decision.
  std::set<std::uint32_t> unsettledWorkers_;
  /// Former incarnations by the number of the new one. The first lists of the
  /// new one decide which of their runs go on.
  std::map<std::uint32_t, std::uint32_t> superseded_;
  /// Ids of workers that were removed, and when: one that is back may take an
  /// order that was sent before.
  std::map<std::string, MonotonicTime> removedIds_;
  std::map<std::string, std::set<ReadyStep>> ready_;
  mutable std::uint64_t examinedWorkers_ = 0;
  TenantUsage tenantUsage_;
  TenantShares tenantShares_;
  ReservedSteps reservedSteps_;
  MonotonicTime reservationLoggedAt_{};
  BacklogCache backlogs_;
  RefusedJobs refusedJobs_;
  YieldingWorkers yieldingWorkers_;
  /// Jobs with several occurrences, of which the next may become due.
  std::set<JobId> recurringJobs_;
  bool placementDue_ = true;

  std::vector<WorkloadEvent> events_;
  BatchEffects nextEffects_;
  std::map<std::uint64_t, BatchEffects> pendingEffects_;
  std::uint64_t nextBatch_ = 1;
  std::vector<SchedulerAction> actions_;

  std::map<std::pair<TaskKey, std::uint32_t>, MonotonicTime>
    unexpectedStopSentAt_;
  std::set<std::string> ignoredWorkers_;
  /// Unreachable zones whose workers were removed, until one registers.
  std::set<std::string> lostZones_;
  std::map<std::string, VmView> vms_;
  /// Number of VMs in vms_ that the last list lacks and the one before has.
  std::size_t missingVms_ = 0;
  std::map<std::string, PendingMove> moves_;
  /// VMs that waves may take down next; their workers are emptied.
  std::set<std::string> upkeepCandidates_;
  /// When the platform did not answer an order of upkeep; nothing once it has
  /// answered a later one.
  std::optional<MonotonicTime> upkeepUnansweredAt_;
  UpkeepDenials upkeepDenials_;
  VmCallBudget vmCalls_;
  MonotonicTime demandsLoggedAt_{};
  DemandMeter demand_;
  TurnForecast forecast_;
  MonotonicTime observedAt_{};
  MonotonicTime learnedLoadCheckedAt_{};
  MonotonicTime waitingTasksReportedAt_{};
  /// Since when long-running tasks wait for a worker, as this leader knows.
  std::map<TaskKey, MonotonicTime> waitingSince_;
  /// Long-running tasks that are or were assigned and are not known to run.
  std::map<TaskKey, IdleTask> idleTasks_;
  MonotonicTime idleTasksNotedAt_{};
  std::map<std::string, MonotonicTime> surplusSince_;
  bool vmListInFlight_ = false;
  bool vmListKnown_ = false;
  /// When the last list was read, and when a failed read is tried again.
  MonotonicTime vmListAt_{};
  MonotonicTime vmListRetryAt_{};
  MonotonicTime endedJobsForgottenAt_{};
};

} // namespace acaciahill
