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
// A VM that does not report itself after a move counts for its new pool for
// this time; the platform takes 1.5 s for a move.
constexpr Millis kMoveTime{ 4000 };
// Moves that are asked for at once; the platform takes 64 calls a second.
constexpr std::size_t kOpenMoves = 32;
// A VM that could not be moved is tried again after this time.
constexpr Millis kBusyPause{ 600 };

} // namespace

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
              { "with_lasting_tasks", demand.pinnedWorkers_ },
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
        listed->second.restUntil_ = aNow + kVmArrival;
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
