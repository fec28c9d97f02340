#include "workload/scheduler_base.h"

#include "kernel/log_func.h"
#include "workload/pool_balance_func.h"
#include "workload/workload_text_func.h"

#include <algorithm>
#include <cmath>

// Demand of the pools: arriving, waiting and running work, and load turns.

namespace acaciahill {

namespace {

constexpr Millis kObserveInterval{ 100 };
// VMs are moved this long before an expected turn: the platform takes 1.5 s,
// and the worker has to register and answer.
constexpr Millis kMoveLeadTime{ 2200 };
// Workers report every 1.5 s, so all running ones have reported by then.
constexpr Millis kFirstReportsTime{ 3000 };
// The learned load is written to the log at most this often, and only when a
// mean run time has changed by more than kLearnedChangeShare, or a turn began.
constexpr Millis kLearnInterval{ 2000 };
constexpr double kLearnedChangeShare = 0.1;

/// Number of steps in the longest dependency chain of a job.
std::size_t
ChainSteps(const JobSpec& aSpec)
{
  std::vector<std::size_t> depth;
  depth.reserve(aSpec.steps_.size());
  for (const auto& step : aSpec.steps_) {
    std::size_t before = 0;
    for (const auto after : step.after_) {
      before = std::max(before, depth[after]);
    }
    depth.push_back(before + 1);
  }
  return *std::max_element(depth.begin(), depth.end());
}

/// True when the two would make a later leader decide differently.
bool
DifferForDecisions(const LearnedLoad& aOne, const LearnedLoad& aTwo)
{
  return aOne.turns_ != aTwo.turns_ ||
         !std::equal(aOne.queues_.begin(),
                     aOne.queues_.end(),
                     aTwo.queues_.begin(),
                     aTwo.queues_.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft.queue_ == aRight.queue_ &&
                              std::abs(aLeft.meanRunMs_ - aRight.meanRunMs_) <=
                                kLearnedChangeShare * aRight.meanRunMs_;
                     }) ||
         !std::equal(aOne.pools_.begin(),
                     aOne.pools_.end(),
                     aTwo.pools_.begin(),
                     aTwo.pools_.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft.pool_ == aRight.pool_ &&
                              aLeft.hadTurn_ == aRight.hadTurn_;
                     });
}

} // namespace

std::int64_t
Scheduler::CountWaitingTasks(const ReadyStep& aReady) const
{
  const auto* job = state_.FindJob(aReady.job_);
  if (job == nullptr || IsOver(job->phase_)) {
    return 0;
  }
  const auto occurrence = job->occurrences_.find(aReady.occurrence_);
  if (occurrence == job->occurrences_.end()) {
    return 0;
  }
  const auto& tasks = occurrence->second.steps_[aReady.step_];
  return std::count_if(tasks.begin(), tasks.end(), [](const auto& aTask) {
    return aTask.state_ == TaskState::Waiting;
  });
}

WaitingWork
Scheduler::WaitingWorkOf(const std::string& aPool, MonotonicTime aNow) const
{
  const auto ready = ready_.find(aPool);
  if (ready == ready_.end()) {
    return {};
  }
  const auto now = LogicalNow(aNow);
  WaitingWork waiting;
  for (const auto& each : ready->second) {
    const auto count = CountWaitingTasks(each);
    const bool isLate = each.latestStartMs_ < now && !each.isLongRunning_;
    if (isLate && each.expiresAtMs_ <= now) {
      continue;
    }
    (isLate ? waiting.lateMilliCores_ : waiting.milliCores_) +=
      count * each.need_.perTask_.milliCores_;
  }
  return waiting;
}

void
Scheduler::CountArrival(const JobSpec& aSpec, MonotonicTime aNow)
{
  std::int64_t milliCores = 0;
  std::int64_t tasks = 0;
  std::int64_t estimated = 0;
  for (const auto& step : aSpec.steps_) {
    if (!step.isLongRunning_) {
      milliCores += step.tasks_ * step.need_.milliCores_;
      estimated += step.tasks_ * step.estimatedMs_;
      tasks += step.tasks_;
    }
  }
  if (tasks > 0) {
    demand_.CountArrival(aSpec.queue_,
                         milliCores,
                         Millis(estimated / tasks),
                         ChainSteps(aSpec),
                         aNow);
  }
}

const std::vector<std::string>&
Scheduler::QueuesOf(const std::string& aPool) const
{
  static const std::vector<std::string> kNone;
  const auto found = queuesOfPool_.find(aPool);
  return found == queuesOfPool_.end() ? kNone : found->second;
}

std::int64_t
Scheduler::ArrivingMilliCores(const std::string& aPool, MonotonicTime aNow)
{
  std::int64_t arriving = 0;
  for (const auto& key : QueuesOf(aPool)) {
    arriving += demand_.MilliCores(key, aNow);
  }
  return arriving;
}

std::int64_t
Scheduler::GrowthOf(const std::string& aPool, MonotonicTime aNow)
{
  std::int64_t growth = 0;
  for (const auto& key : QueuesOf(aPool)) {
    growth += demand_.Growth(key, kVmArrival, aNow);
  }
  return growth;
}

Millis
Scheduler::ChainTimeOf(const std::string& aPool) const
{
  Millis longest{ 0 };
  for (const auto& key : QueuesOf(aPool)) {
    longest = std::max(longest, demand_.ChainTime(key));
  }
  return longest;
}

Millis
Scheduler::RunTimeOf(const std::string& aPool) const
{
  Millis longest{ 0 };
  for (const auto& key : QueuesOf(aPool)) {
    longest = std::max(longest, demand_.RunTime(key));
  }
  return longest;
}

void
Scheduler::ObserveDemand(MonotonicTime aNow)
{
  if (aNow - observedAt_ < kObserveInterval) {
    return;
  }
  observedAt_ = aNow;
  for (const auto& [name, pool] : config_.pools_) {
    if (!pool.spare_) {
      forecast_.Observe(name, ArrivingMilliCores(name, aNow), aNow);
    }
  }
}

std::vector<PoolDemand>
Scheduler::PoolDemands(MonotonicTime aNow)
{
  std::map<std::string, PoolDemand> loads;
  for (const auto& [name, pool] : config_.pools_) {
    if (!pool.spare_) {
      loads[name].pool_ = name;
      auto& load = loads[name];
      load.keepsWorkers_ = !forecast_.HadTurn(name);
    }
  }
  const auto destinations = RoomOfMovingTasks();
  for (const auto& [number, view] : views_) {
    const auto& worker = *state_.FindWorker(number);
    const auto load = loads.find(worker.pool_);
    if (load == loads.end()) {
      continue;
    }
    auto& pool = load->second;
    for (const auto& [task, run] : view.runs_) {
      pool.heldMilliCores_ += ReservedBy(run).milliCores_;
      pool.longRunningMilliCores_ +=
        run.isLongRunning_ ? ReservedBy(run).milliCores_ : 0;
    }
    pool.workerMilliCores_ =
      std::max(pool.workerMilliCores_, worker.capacity_.milliCores_);
    if (worker.draining_ || view.evacuating_ || view.missedRenewals_ > 0) {
      continue;
    }
    ++pool.supply_;
    pool.pinnedWorkers_ += HasLongRunningTask(view) ? 1 : 0;
    if (view.runs_.empty() && view.confirmed_ && !worker.vm_.empty() &&
        !destinations.contains(number)) {
      pool.idleVms_.push_back(worker.vm_);
    }
  }
  for (const auto& [name, tasks] : LongRunningTasksToPlace()) {
    if (const auto found = loads.find(name); found != loads.end()) {
      auto& load = found->second;
      load.spreadWorkers_ =
        std::max(RequiredSpread(tasks),
                 WorkersForLongRunning(name, tasks, load.supply_, aNow));
    }
  }
  for (auto& [name, load] : loads) {
    load.supply_ += CountArrivingVms(name);
  }
  if (aNow - startedAt_ < kFirstReportsTime) {
    for (const auto& [vm, view] : vms_) {
      const auto load = loads.find(view.listing_.pool_);
      // The platform lists a VM as down until its worker has registered.
      const bool mayReport = view.listing_.state_ == VmState::Up ||
                             view.listing_.state_ == VmState::Down;
      if (load != loads.end() && mayReport && FindWorkerOfVm(vm) == 0) {
        ++load->second.supply_;
      }
    }
  }
  // A pool that never had a worker is assumed to have VMs like the others.
  std::int64_t typical = 0;
  for (const auto& [name, load] : loads) {
    typical = std::max(typical, load.workerMilliCores_);
  }
  const auto usable = FindUsableWorkers(aNow);
  std::vector<PoolDemand> list;
  for (auto& [name, load] : loads) {
    load.workerMilliCores_ =
      load.workerMilliCores_ == 0 ? typical : load.workerMilliCores_;
    const auto backlog =
      BacklogDemand(WaitingWorkOf(name, aNow), RunTimeOf(name));
    load.lateMilliCores_ = backlog.lateMilliCores_;
    load.demandMilliCores_ = ExpectedDemand(load, backlog, aNow);
    if (const auto workers = usable.find(name); workers != usable.end()) {
      load.strandedWorkers_ = CountStrandedWorkers(name, workers->second);
    }
    auto& since = surplusSince_[name];
    if (load.supply_ <= WantedWorkers(load)) {
      since = aNow;
    }
    load.surplusFor_ = since == MonotonicTime{} ? Millis(0) : aNow - since;
    if (since == MonotonicTime{}) {
      since = aNow;
    }
    list.push_back(std::move(load));
  }
  return list;
}

std::int64_t
Scheduler::ExpectedDemand(const PoolDemand& aLoad,
                          const WaitingWork& aBacklog,
                          MonotonicTime aNow)
{
  const auto& name = aLoad.pool_;
  // A VM moved now is usable after kVmArrival, when demand has grown.
  auto expected =
    ExpectedMilliCores(aLoad.heldMilliCores_ - aLoad.longRunningMilliCores_,
                       ArrivingMilliCores(name, aNow) + GrowthOf(name, aNow),
                       ChainTimeOf(name),
                       kVmArrival);
  expected += aBacklog.milliCores_ + aBacklog.lateMilliCores_;
  const auto turn = forecast_.Next(aNow);
  if (turn && turn->pool_ == name && turn->startsAt_ - aNow <= kMoveLeadTime) {
    expected = std::max(expected, turn->milliCores_);
  }
  return expected + aLoad.longRunningMilliCores_;
}

void
Scheduler::SaveLearnedLoad(MonotonicTime aNow)
{
  if (aNow - learnedLoadCheckedAt_ < kLearnInterval) {
    return;
  }
  learnedLoadCheckedAt_ = aNow;
  LearnedLoad load;
  load.queues_ = demand_.Learned();
  forecast_.Learn(load, aNow, LogicalNow(aNow));
  if (DifferForDecisions(load, state_.Learned())) {
    LogInfo(
      "saving the learned load",
      { { "queues", load.queues_.size() }, { "turns", load.turns_.size() } });
    Decide(LoadLearned{ std::move(load) }, aNow);
  }
}

} // namespace acaciahill
