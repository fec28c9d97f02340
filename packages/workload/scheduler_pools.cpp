#include "workload/scheduler_base.h"

#include "kernel/log_func.h"
#include "workload/pool_balance_func.h"
#include "workload/workload_text_func.h"

#include <algorithm>

// Moves of VMs between pools.

namespace acaciahill {

namespace {

// Age at which the platform's list is read again for the VMs that are off.
constexpr Millis kSpareListInterval{ 10000 };
// A move that got no answer is asked for again after this time.
constexpr Millis kMoveRetry{ 1000 };
constexpr Millis kObserveInterval{ 100 };
// Objectives leave about this much beyond the run times of a short chain.
constexpr Millis kBacklogTime{ 1000 };
// VMs are moved this long before a turn that is expected: the platform takes
// 1.5 s, and the worker has to register and answer.
constexpr Millis kMoveAhead{ 2200 };
// A VM that does not report itself after a move counts for its new pool for
// this time; the platform takes 1.5 s for a move.
constexpr Millis kMoveTime{ 4000 };
// Moves that are asked for at once; the platform takes 64 calls a second.
constexpr std::size_t kOpenMoves = 32;
// A VM takes this long to arrive in a pool, and cannot be moved meanwhile.
constexpr Millis kArrival{ 1700 };
// Workers report every 1.5 s, so that all that run have done so by then.
constexpr Millis kFirstReports{ 3000 };
// A VM that could not be moved is tried again after this time.
constexpr Millis kBusyPause{ 600 };

/// Steps in the longest chain of a job.
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

} // namespace

std::int64_t
Scheduler::WaitingMilliCores(const std::string& aPool) const
{
  const auto ready = ready_.find(aPool);
  if (ready == ready_.end()) {
    return 0;
  }
  std::int64_t waiting = 0;
  for (const auto& each : ready->second) {
    const auto* job = state_.FindJob(each.job_);
    if (job == nullptr || IsOver(job->phase_)) {
      continue;
    }
    const auto occurrence = job->occurrences_.find(each.occurrence_);
    if (occurrence == job->occurrences_.end()) {
      continue;
    }
    const auto& step = job->spec_.steps_[each.step_];
    const auto& tasks = occurrence->second.steps_[each.step_];
    const auto count =
      std::count_if(tasks.begin(), tasks.end(), [](const auto& aTask) {
        return aTask.state_ == TaskState::Waiting;
      });
    waiting += count * ReservedBy(step.need_, step.fills_).milliCores_;
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
    if (!step.lasts_) {
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

std::int64_t
Scheduler::ArrivingMilliCores(const std::string& aPool, MonotonicTime aNow)
{
  std::int64_t arriving = 0;
  for (const auto& [key, queue] : config_.queues_) {
    if (queue.pool_ == aPool) {
      arriving += demand_.MilliCores(key, aNow);
    }
  }
  return arriving;
}

std::int64_t
Scheduler::GrowthOf(const std::string& aPool, MonotonicTime aNow)
{
  std::int64_t growth = 0;
  for (const auto& [key, queue] : config_.queues_) {
    if (queue.pool_ == aPool) {
      growth += demand_.Growth(key, kArrival, aNow);
    }
  }
  return growth;
}

Millis
Scheduler::ChainTimeOf(const std::string& aPool) const
{
  Millis longest{ 0 };
  for (const auto& [key, queue] : config_.queues_) {
    if (queue.pool_ == aPool) {
      longest = std::max(longest, demand_.ChainTime(key));
    }
  }
  return longest;
}

Millis
Scheduler::RunTimeOf(const std::string& aPool) const
{
  Millis longest{ 0 };
  for (const auto& [key, queue] : config_.queues_) {
    if (queue.pool_ == aPool) {
      longest = std::max(longest, demand_.RunTime(key));
    }
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
  for (const auto& [number, view] : views_) {
    const auto& worker = *state_.FindWorker(number);
    const auto load = loads.find(worker.pool_);
    if (load == loads.end()) {
      continue;
    }
    auto& pool = load->second;
    for (const auto& [task, run] : view.runs_) {
      pool.heldMilliCores_ += ReservedBy(run).milliCores_;
      pool.lastingMilliCores_ += run.lasts_ ? ReservedBy(run).milliCores_ : 0;
    }
    pool.workerMilliCores_ =
      std::max(pool.workerMilliCores_, worker.capacity_.milliCores_);
    if (worker.draining_ || view.evacuating_ || view.missedRenewals_ > 0) {
      continue;
    }
    ++pool.supply_;
    const bool holdsLasting =
      std::any_of(view.runs_.begin(), view.runs_.end(), [](const auto& aRun) {
        return aRun.second.lasts_;
      });
    pool.bound_ += holdsLasting ? 1 : 0;
    if (view.runs_.empty() && view.confirmed_ && !worker.vm_.empty()) {
      pool.idleVms_.push_back(worker.vm_);
    }
  }
  for (const auto& [vm, move] : moves_) {
    const auto load = loads.find(move.pool_);
    if (load != loads.end() && !HasWorker(vm, move.pool_)) {
      ++load->second.supply_;
      // A pool that never had a worker has VMs like those of the others.
    }
  }
  if (aNow - startedAt_ < kFirstReports) {
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
  std::int64_t typical = 0;
  for (const auto& [name, load] : loads) {
    typical = std::max(typical, load.workerMilliCores_);
  }
  std::vector<PoolDemand> list;
  for (auto& [name, load] : loads) {
    load.workerMilliCores_ =
      load.workerMilliCores_ == 0 ? typical : load.workerMilliCores_;
    load.demandMilliCores_ = ExpectedDemand(load, aNow);
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
Scheduler::ExpectedDemand(const PoolDemand& aLoad, MonotonicTime aNow)
{
  const auto& name = aLoad.pool_;
  const auto waiting = WaitingMilliCores(name);
  // What is asked for now comes when demand has grown.
  auto expected =
    ExpectedMilliCores(aLoad.heldMilliCores_ - aLoad.lastingMilliCores_,
                       ArrivingMilliCores(name, aNow) + GrowthOf(name, aNow),
                       ChainTimeOf(name),
                       kArrival);
  // Tasks that wait are to be begun within the time that objectives leave.
  const auto runTime = RunTimeOf(name);
  expected += waiting * runTime.count() / (runTime + kBacklogTime).count();
  const auto turn = forecast_.Next(aNow);
  if (turn && turn->pool_ == name && turn->startsAt_ - aNow <= kMoveAhead) {
    expected = std::max(expected, turn->milliCores_);
  }
  return expected + aLoad.lastingMilliCores_;
}

bool
Scheduler::HasWorker(const std::string& aVm, const std::string& aPool) const
{
  return std::any_of(
    state_.Workers().begin(), state_.Workers().end(), [&](const auto& aEntry) {
      return aEntry.second.vm_ == aVm && aEntry.second.pool_ == aPool;
    });
}

std::set<std::string>
Scheduler::SilentZones() const
{
  std::set<std::string> silent;
  std::set<std::string> heard;
  for (const auto& [number, view] : views_) {
    const bool answers = view.confirmed_ && view.missedRenewals_ == 0;
    (answers ? heard : silent).insert(state_.FindWorker(number)->zone_);
  }
  std::erase_if(silent,
                [&heard](const auto& aZone) { return heard.contains(aZone); });
  return silent;
}

void
Scheduler::BalancePools(MonotonicTime aNow)
{
  std::string sparePool;
  for (const auto& [name, pool] : config_.pools_) {
    if (pool.spare_) {
      sparePool = name;
    }
  }
  if (sparePool.empty() || !settings_.movesVms_) {
    return;
  }
  if (!vmListOpen_ &&
      (!vmListKnown_ || aNow - vmListAt_ >= kSpareListInterval)) {
    vmListOpen_ = true;
    actions_.emplace_back(ListVms{});
  }
  std::erase_if(moves_, [&](const auto& aEntry) {
    const auto& move = aEntry.second;
    return move.isBegun_ &&
           (move.toSpare_ || HasWorker(aEntry.first, move.pool_) ||
            aNow - move.askedAt_ > kMoveTime);
  });
  AskMovesAgain(aNow);
  ObserveDemand(aNow);
  if (!vmListKnown_ || moves_.size() >= kOpenMoves) {
    return;
  }
  // A VM in a zone that is cut off would register where nobody hears it.
  const auto silentZones = SilentZones();
  std::vector<std::string> spares;
  for (const auto& [vm, view] : vms_) {
    if (view.listing_.pool_ == sparePool &&
        view.listing_.state_ == VmState::Up && !view.isDown_ &&
        !view.orderOpen_ && !silentZones.contains(view.listing_.zone_) &&
        !moves_.contains(vm) && aNow >= view.restUntil_) {
      spares.push_back(vm);
    }
  }
  const auto demands = PoolDemands(aNow);
  const auto moves = PlanMoves(demands, std::move(spares), sparePool);
  if (!moves.empty()) {
    LogDemands(demands);
  }
  for (const auto& move : moves) {
    if (moves_.size() >= kOpenMoves) {
      return;
    }
    AskMove(move, aNow);
  }
}

void
Scheduler::LogDemands(const std::vector<PoolDemand>& aDemands) const
{
  for (const auto& demand : aDemands) {
    LogInfo("demand of a pool",
            { { "pool", demand.pool_ },
              { "workers", demand.supply_ },
              { "wanted", WantedWorkers(demand) },
              { "milli_cores", demand.demandMilliCores_ },
              { "held_milli_cores", demand.heldMilliCores_ },
              { "with_lasting_tasks", demand.bound_ },
              { "idle", demand.idleVms_.size() },
              { "surplus_for_ms", demand.surplusFor_.count() } });
  }
}

void
Scheduler::AskMove(const VmMove& aMove, MonotonicTime aNow)
{
  for (const auto& [number, worker] : state_.Workers()) {
    if (worker.vm_ == aMove.vm_) {
      views_.at(number).evacuating_ = true;
    }
  }
  LogInfo("moving a VM to another pool",
          { { "vm", aMove.vm_ }, { "pool", aMove.pool_ } });
  const auto pool = config_.pools_.find(aMove.pool_);
  const bool toSpare = pool != config_.pools_.end() && pool->second.spare_;
  moves_[aMove.vm_] = { aMove.pool_, aNow, true, false, toSpare };
  actions_.emplace_back(MoveVm{ aMove.vm_, aMove.pool_, term_ });
}

void
Scheduler::AskMovesAgain(MonotonicTime aNow)
{
  for (auto& [vm, move] : moves_) {
    if (!move.isOpen_ && !move.isBegun_ && aNow - move.askedAt_ >= kMoveRetry) {
      move.isOpen_ = true;
      move.askedAt_ = aNow;
      actions_.emplace_back(MoveVm{ vm, move.pool_, term_ });
    }
  }
}

void
Scheduler::HandleMove(const MoveVm& aOrder,
                      VmOutcome aOutcome,
                      MonotonicTime aNow)
{
  const auto found = moves_.find(aOrder.vm_);
  if (found == moves_.end()) {
    return;
  }
  auto& move = found->second;
  move.isOpen_ = false;
  move.askedAt_ = aNow;
  std::uint32_t number = 0;
  for (const auto& [each, worker] : state_.Workers()) {
    if (worker.vm_ == aOrder.vm_ && worker.pool_ != aOrder.pool_) {
      number = each;
    }
  }
  switch (aOutcome) {
    case VmOutcome::Begun:
      move.isBegun_ = true;
      if (auto listed = vms_.find(aOrder.vm_); listed != vms_.end()) {
        listed->second.listing_.pool_ = aOrder.pool_;
        listed->second.restUntil_ = aNow + kArrival;
      }
      LoseWorker(number, "moved to another pool", aNow);
      return;
    case VmOutcome::Fenced:
      deposed_ = true;
      return;
    case VmOutcome::NoAnswer:
      // It may be carried out at any moment: the VM stays empty, and the move
      // is asked for until its outcome is known.
      return;
    case VmOutcome::Busy:
    case VmOutcome::NotInWave:
    case VmOutcome::NoSuchVm:
    case VmOutcome::NotNow:
      LogInfo(
        "a VM cannot be moved now",
        { { "vm", aOrder.vm_ }, { "outcome", static_cast<int>(aOutcome) } });
      moves_.erase(found);
      if (auto* view = FindView(number)) {
        view->evacuating_ = false;
      }
      if (auto listed = vms_.find(aOrder.vm_); listed != vms_.end()) {
        listed->second.restUntil_ = aNow + kBusyPause;
      }
      return;
  }
}

} // namespace acaciahill
