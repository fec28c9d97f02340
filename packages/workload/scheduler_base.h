#pragma once

#include "workload/demand_meter_base.h"
#include "workload/pool_balance_func.h"
#include "workload/scheduler_type.h"
#include "workload/turn_forecast_base.h"
#include "workload/worker_view_type.h"
#include "workload/workload_base.h"

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace acaciahill {

/// Decides for one leadership which tasks run where. It holds the state with
/// everything that it has decided so far, which the log may not have committed
/// yet; what others see of a decision (answers, orders to start) waits for the
/// commit. There is no clock and no I/O in it: time comes with each input, and
/// what is to be done is taken with TakeActions().
class Scheduler
{
public:
  /// Takes over the committed state of all former leaders. The term makes the
  /// fence of all orders. Leases that former leaders gave may last for a whole
  /// one from now.
  Scheduler(Workload aState,
            SchedulerSettings aSettings,
            std::uint64_t aTerm,
            MonotonicTime aNow);

  /// A configuration that came into force; decisions follow it from now on.
  void UseConfig(const WorkloadConfig& aConfig, MonotonicTime aNow);

  // Requests. Each token is answered once.
  void SubmitJob(RequestToken aToken, const JobSpec& aSpec, MonotonicTime aNow);
  void CancelJob(RequestToken aToken, JobId aJob, MonotonicTime aNow);
  /// The document must have been checked. A version that is not higher is
  /// accepted and changes nothing.
  void AcceptConfig(RequestToken aToken,
                    const ConfigDocument& aDocument,
                    MonotonicTime aNow);
  void ReportWorker(RequestToken aToken,
                    const WorkerReport& aReport,
                    MonotonicTime aNow);
  /// The worker says that it ends now.
  void RemoveWorker(RequestToken aToken,
                    const std::string& aId,
                    std::optional<std::uint64_t> aBornMs,
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
  /// The lists are absent when the renewal was not taken.
  void HandleRenewal(const RenewLease& aOrder,
                     const OrderAnswer& aAnswer,
                     const std::optional<WorkerLists>& aLists,
                     MonotonicTime aNow);
  /// Nothing when the platform did not answer.
  void HandleVms(const std::optional<std::vector<VmListing>>& aVms,
                 MonotonicTime aNow);
  void HandleUpkeep(const BeginUpkeep& aOrder,
                    VmOutcome aOutcome,
                    MonotonicTime aNow);

  void HandleMove(const MoveVm& aOrder, VmOutcome aOutcome, MonotonicTime aNow);

  /// The log committed a batch of AppendBatch.
  void HandleCommit(std::uint64_t aBatch, MonotonicTime aNow);

  /// Time has passed; the wall clock in Unix ms decides on due occurrences
  /// only. To be called every kTick at the latest.
  void Tick(MonotonicTime aNow, std::uint64_t aWallMs);

  /// What is to be done, in order; each action is returned once.
  std::vector<SchedulerAction> TakeActions(MonotonicTime aNow);

  /// A majority of the voters was behind this leader at that time.
  void ConfirmAuthority(MonotonicTime aAt);

  /// Another leader's orders have reached a worker: this one must give none.
  bool IsDeposed() const { return deposed_; }

  /// The state with everything decided so far.
  const Workload& State() const { return state_; }
  const std::map<std::uint32_t, WorkerView>& Views() const { return views_; }

  /// Longest time between two ticks.
  static constexpr Millis kTick{ 50 };

  /// A VM takes this long to arrive in a pool, and cannot be moved meanwhile:
  /// the platform takes 1.5 s, and its worker has to register.
  static constexpr Millis kVmArrival{ 1700 };

private:
  /// Steps with tasks that wait, in the order in which they are served.
  struct ReadyStep
  {
    std::int64_t priority_ = 0;
    /// The step waits for no other, and none of its tasks has begun.
    bool isNotStarted_ = false;
    /// Logical time until which the step has to start for its job to meet its
    /// objective.
    std::uint64_t latestStartMs_ = 0;
    JobId job_ = 0;
    std::uint32_t occurrence_ = 0;
    std::uint32_t step_ = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads it.
    auto operator<=>(const ReadyStep&) const = default;
  };

  /// An assignment whose order waits for the commit.
  struct PendingStart
  {
    TaskKey task_;
    std::uint32_t run_ = 0;
    std::uint32_t worker_ = 0;
  };

  /// What waits for the commit of a batch.
  struct BatchEffects
  {
    std::vector<AnswerRequest> answers_;
    std::vector<PendingStart> starts_;
    std::map<std::uint32_t, std::uint64_t> ends_;
  };

  /// What is known of a VM of a wave between two lists of the platform.
  struct VmView
  {
    VmListing listing_;
    /// Not to be moved before that time.
    MonotonicTime noMoveBefore_{};
    bool orderInFlight_ = false;
    MonotonicTime orderedAt_{};
    /// Taken down by us and not seen up since.
    bool isDown_ = false;
    MonotonicTime downSince_{};
  };

  /// A move that was asked for and whose VM has not reported itself.
  struct PendingMove
  {
    std::string pool_;
    MonotonicTime requestedAt_{};
    bool isInFlight_ = false;
    bool hasBegun_ = false;
    /// The VM is switched off there, so that no worker reports itself.
    bool toSpare_ = false;
  };

  /// Numbers of the workers that may get tasks, by pool.
  using UsableByPool = std::map<std::string, std::vector<std::uint32_t>>;

  // scheduler.cpp: events, batches, time.
  void Decide(WorkloadEvent aEvent, MonotonicTime aNow);
  void AnswerOnCommit(RequestToken aToken, RequestOutcome aOutcome);
  void Answer(RequestToken aToken,
              RequestOutcome aOutcome,
              Millis aRetryAfter = Millis(0));
  void FlushBatch(MonotonicTime aNow);
  std::uint64_t LogicalNow(MonotonicTime aNow) const;
  bool HasAuthority(MonotonicTime aNow) const;
  /// Remembers jobs whose steps run several times.
  void TrackRecurringJob(const JobSpec& aSpec);
  void BeginDueOccurrences(std::uint64_t aWallMs, MonotonicTime aNow);
  void ForgetEndedJobs(MonotonicTime aNow);

  // scheduler_worker.cpp: workers, their leases and lists.
  WorkerView* FindView(std::uint32_t aWorker);
  void AddView(const WorkerEntry& aWorker, MonotonicTime aNow);
  std::uint32_t FindWorkerById(const std::string& aId) const;
  std::uint32_t FindWorkerOfVm(const std::string& aVm) const;
  std::uint64_t FenceOf(const WorkerEntry& aWorker) const;
  /// Also extends the time by which the worker's leases are over.
  OrderTarget MakeTarget(std::uint32_t aWorker, MonotonicTime aNow);
  void ReadClock(WorkerView& aView,
                 const std::optional<std::int64_t>& aClockMs,
                 MonotonicTime aNow);
  void Supersede(std::uint32_t aFormer, std::uint32_t aNew);
  /// Drops workers without a run that is in doubt or is to be stopped.
  void PruneUnsettledWorkers();
  void RenewDueLeases(MonotonicTime aNow);
  void ProbeUnconfirmedRuns(MonotonicTime aNow);
  void ExpireLeases(MonotonicTime aNow);
  void DropWorker(std::uint32_t aWorker,
                  std::string_view aReason,
                  MonotonicTime aNow);
  void CloseRunsOfWorker(std::uint32_t aWorker,
                         RunEnd aEnd,
                         MonotonicTime aNow);
  /// True when the answer shows that the worker is gone or this leader is
  /// deposed; nothing else is to be done with it then.
  bool HandleCommonOutcome(const OrderTarget& aTarget,
                           const OrderAnswer& aAnswer,
                           MonotonicTime aNow);
  void ProcessEndedRuns(std::uint32_t aWorker,
                        const WorkerLists& aLists,
                        MonotonicTime aNow);
  void AcceptLateCompletion(const EndedRun& aEnd, MonotonicTime aNow);
  void ProcessRunningTasks(std::uint32_t aWorker,
                           const WorkerLists& aLists,
                           MonotonicTime aNow);
  void CheckMissingRuns(std::uint32_t aWorker,
                        const WorkerLists& aLists,
                        const RenewLease& aOrder,
                        MonotonicTime aNow);
  void StopUnexpectedRun(std::uint32_t aWorker,
                         const TaskKey& aTask,
                         std::uint32_t aRun,
                         MonotonicTime aNow);

  // scheduler_run.cpp: life of a run.
  RunView* FindRun(std::uint32_t aWorker,
                   const TaskKey& aTask,
                   std::uint32_t aRun);
  void CloseRun(std::uint32_t aWorker,
                const TaskKey& aTask,
                std::uint32_t aRun,
                RunEnd aEnd,
                const std::string& aCheckpoint,
                MonotonicTime aNow);
  /// Ends or stops the other members of a gang, of which one has ended.
  void EndGang(const TaskKey& aTask,
               std::uint32_t aRun,
               RunEnd aEnd,
               MonotonicTime aNow);
  /// Ends of the task as failed; of a gang those of all its members.
  std::uint32_t CountFailures(const TaskKey& aTask) const;
  /// From where the next run of the task resumes. All members of a gang have to
  /// carry one value, which may be of any of them.
  const std::string& CheckpointOf(const TaskKey& aTask) const;
  /// Queues what an end of a run makes ready.
  void QueueAfterRunEnd(const TaskKey& aTask, RunEnd aEnd);
  void RecordRunEnd(std::uint32_t aWorker,
                    const EndedRun& aEnd,
                    MonotonicTime aNow);
  void SendStart(const PendingStart& aStart, MonotonicTime aNow);
  void SendRequestedStops(MonotonicTime aNow);
  void RequestStopsOfJob(JobId aJob);
  void EvacuateDrainingWorkers(MonotonicTime aNow);
  bool IsEvictionWithinBudget(const TaskKey& aTask) const;
  /// Another worker of the pool can take the task of this one now.
  bool FitsOnOtherWorker(const TaskKey& aTask,
                         std::uint32_t aWorker,
                         const UsableByPool& aUsable) const;
  std::uint32_t CountUnavailablePeers(const TaskKey& aTask) const;
  void PaceFillingRuns(std::uint32_t aWorker, MonotonicTime aNow);

  // scheduler_place.cpp: which task runs where.
  void QueueJob(const JobEntry& aJob);
  void QueueStep(const JobEntry& aJob,
                 std::uint32_t aOccurrence,
                 std::uint32_t aStep);
  void RequeueAll();
  /// For each step the expected time in ms from its start to the end of the
  /// steps that wait for it, as they were seen to take with a number of
  /// deviations more, else as the customer estimates.
  std::vector<double> RemainingPathsMs(const JobSpec& aSpec,
                                       double aDeviations) const;
  /// Logical time until which the step has to start for its job to meet its
  /// objective.
  std::uint64_t LatestStartOf(const JobEntry& aJob,
                              const QueueSpec& aQueue,
                              std::uint32_t aStep,
                              bool aIsBegun) const;
  bool AreDependenciesDone(const OccurrenceEntry& aOccurrence,
                           const StepSpec& aStep) const;
  void PlaceWaitingTasks(MonotonicTime aNow);
  void PlacePool(const std::vector<std::uint32_t>& aWorkers,
                 std::set<ReadyStep>& aReady,
                 MonotonicTime aNow);
  /// The step has waiting tasks beside others that have begun.
  bool HasStartedTasks(const ReadyStep& aReady) const;
  /// False when a waiting task of the step found no worker.
  bool PlaceStep(const ReadyStep& aReady,
                 const std::vector<std::uint32_t>& aWorkers,
                 MonotonicTime aNow);
  bool PlaceGang(const ReadyStep& aReady,
                 const std::vector<std::uint32_t>& aWorkers,
                 MonotonicTime aNow);
  std::uint32_t ChooseWorker(
    const StepSpec& aStep,
    const std::vector<std::uint32_t>& aWorkers,
    const std::map<std::uint32_t, std::uint32_t>& aOfStep) const;
  bool IsUsable(const WorkerEntry& aWorker,
                const WorkerView& aView,
                MonotonicTime aNow) const;
  /// Numbers of the workers that may get tasks now, by pool.
  UsableByPool UsableWorkers(MonotonicTime aNow) const;
  std::map<std::uint32_t, std::uint32_t> CountTasksByWorker(
    const std::vector<TaskEntry>& aTasks) const;
  void Assign(const TaskKey& aTask,
              std::uint32_t aRun,
              std::uint32_t aWorker,
              const StepSpec& aStep,
              MonotonicTime aNow);

  // scheduler_demand.cpp: what pools ask for.
  const std::vector<std::string>& QueuesOf(const std::string& aPool) const;
  std::int64_t WaitingMilliCores(const std::string& aPool) const;
  /// Workers over which the steps of a pool that last have to be spread, when
  /// some of their tasks wait or are on workers that are being emptied.
  std::size_t RequiredSpread(const std::string& aPool) const;
  void CountArrival(const JobSpec& aSpec, MonotonicTime aNow);
  void ObserveDemand(MonotonicTime aNow);
  std::int64_t ArrivingMilliCores(const std::string& aPool, MonotonicTime aNow);
  /// Cores by which the demand of a pool grows until a VM that is moved there
  /// now has arrived.
  std::int64_t GrowthOf(const std::string& aPool, MonotonicTime aNow);
  Millis ChainTimeOf(const std::string& aPool) const;
  Millis RunTimeOf(const std::string& aPool) const;
  /// Cores that the pool will ask for when a VM that is moved there now has
  /// arrived.
  std::int64_t ExpectedDemand(const PoolDemand& aLoad, MonotonicTime aNow);
  std::vector<PoolDemand> PoolDemands(MonotonicTime aNow);
  /// Logs what was learned, so that a later leader goes on from it.
  void LogLearnedLoad(MonotonicTime aNow);
  /// Reports tasks that last and have waited for a worker for long, and why.
  void ReportWaitingTasks(MonotonicTime aNow);

  // scheduler_pools.cpp: moves of VMs between pools.
  /// Zones in which no worker answers, though there are some.
  std::set<std::string> UnreachableZones() const;
  bool HasWorker(const std::string& aVm, const std::string& aPool) const;
  void BalancePools(MonotonicTime aNow);
  /// What the moves that follow in the log were decided from.
  void LogDemands(const std::vector<PoolDemand>& aDemands) const;
  void RequestMove(const VmMove& aMove, MonotonicTime aNow);
  void RetryMoves(MonotonicTime aNow);

  // scheduler_upkeep.cpp: waves.
  void AdvanceWaves(MonotonicTime aNow);
  void AdvanceWave(const UpkeepWave& aWave, MonotonicTime aNow);
  std::size_t CountVmsDown(const UpkeepWave& aWave) const;
  std::vector<std::string> CandidatesOf(const UpkeepWave& aWave) const;

  SchedulerSettings settings_;
  std::uint64_t term_ = 0;
  bool deposed_ = false;
  Workload state_;
  WorkloadConfig config_;
  /// Keys of the queues of each pool, as the configuration has them. Pools are
  /// balanced many times a second, and there may be hundreds of queues.
  std::map<std::string, std::vector<std::string>> queuesOfPool_;
  /// Logical time at the start of this leadership.
  std::uint64_t baseMs_ = 0;
  MonotonicTime startedAt_;
  MonotonicTime authorityAt_;

  std::map<std::uint32_t, WorkerView> views_;
  /// Workers that may have runs which are in doubt or are to be stopped. Others
  /// need not be looked through at each decision.
  std::set<std::uint32_t> unsettledWorkers_;
  /// Former lives whose runs are closed once the new one has answered, by the
  /// number of the new one.
  std::map<std::uint32_t, std::uint32_t> superseded_;
  std::map<std::string, std::set<ReadyStep>> ready_;
  /// Jobs whose next occurrence may become due.
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
  std::map<std::string, VmView> vms_;
  std::map<std::string, PendingMove> moves_;
  DemandMeter demand_;
  TurnForecast forecast_;
  MonotonicTime observedAt_{};
  MonotonicTime learnedLoadCheckedAt_{};
  MonotonicTime waitingTasksReportedAt_{};
  std::map<std::string, MonotonicTime> surplusSince_;
  bool vmListInFlight_ = false;
  bool vmListKnown_ = false;
  MonotonicTime vmListAt_{};
  MonotonicTime endedJobsForgottenAt_{};
};

} // namespace acaciahill
