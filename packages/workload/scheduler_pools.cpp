#include "workload/scheduler_base.h"

#include "kernel/log_func.h"
#include "workload/pool_balance_func.h"
#include "workload/workload_text_func.h"

#include <algorithm>

// Moves of VMs between pools.

namespace acaciahill {

namespace {

// Age at which the platform's list is read again for switched-off VMs.
constexpr Millis kSpareListInterval{ 10000 };
// The same while known VMs are missing in the last list, or a move may have
// begun since.
constexpr Millis kDoubtedListInterval{ 1500 };
// A move without an answer is requested again after this time.
constexpr Millis kMoveRetry{ 1000 };
// A moved VM that does not register counts as supply of its new pool for this
// time; the platform takes 1.5 s for a move.
constexpr Millis kMoveTimeout{ 4000 };
// Moves are planned many times a second; the demands behind them change less.
constexpr Millis kDemandLogInterval{ 500 };
// Calls for moves without an answer yet. Each holds a connection.
constexpr std::size_t kMaxMoveCallsInFlight = 128;
// A VM that could not be moved is not tried again for this time.
constexpr Millis kFailedMovePause{ 600 };

/// Whether the move has begun is not known, and no call is under way to tell.
bool
IsUnclear(const PendingMove& aMove)
{
  return aMove.mayHaveBegun_ && !aMove.hasBegun_ && !aMove.isInFlight_;
}

} // namespace

std::size_t
Scheduler::CountArrivingVms(const std::string& aPool) const
{
  return static_cast<std::size_t>(
    std::count_if(moves_.begin(), moves_.end(), [&aPool](const auto& aEntry) {
      return aEntry.second.pool_ == aPool;
    }));
}

// Drops the moves that are complete, and those whose VM does not arrive. A
// registration also completes a move whose answer was lost, unless it is an
// earlier life of the VM that registers late.
void
Scheduler::ForgetEndedMoves(MonotonicTime aNow)
{
  if (moves_.empty()) {
    return;
  }
  std::map<std::string_view, const WorkerEntry*> newest;
  for (const auto& [number, worker] : state_.Workers()) {
    auto& last = newest[worker.vm_];
    if (last == nullptr || last->processStartMs_ <= worker.processStartMs_) {
      last = &worker;
    }
  }
  std::vector<std::pair<std::string, std::string>> complete;
  std::erase_if(moves_, [&](const auto& aEntry) {
    const auto& [vm, move] = aEntry;
    const auto worker = newest.find(vm);
    if (!move.isInFlight_ && worker != newest.end() &&
        worker->second->pool_ == move.pool_) {
      complete.emplace_back(vm, move.pool_);
      return true;
    }
    return move.hasBegun_ &&
           (move.toSpare_ || aNow - move.requestedAt_ > kMoveTimeout);
  });
  for (const auto& [vm, pool] : complete) {
    DropWorkersOfMovedVm(vm, pool, aNow);
  }
}

void
Scheduler::NotePoolOfVm(const std::string& aVm,
                        const std::string& aPool,
                        MonotonicTime aNow)
{
  if (aVm.empty()) {
    return;
  }
  auto& view = vms_[aVm];
  view.listing_.vm_ = aVm;
  view.listing_.pool_ = aPool;
  view.changedAt_ = aNow;
  view.noMoveBefore_ = std::max(view.noMoveBefore_, aNow + kVmArrival);
}

void
Scheduler::DropWorkersOfMovedVm(const std::string& aVm,
                                const std::string& aPool,
                                MonotonicTime aNow)
{
  std::vector<std::uint32_t> gone;
  for (const auto& [number, worker] : state_.Workers()) {
    if (worker.vm_ == aVm && worker.pool_ != aPool) {
      gone.push_back(number);
    }
  }
  for (const auto number : gone) {
    EndIncarnation(number, "moved to another pool", aNow);
  }
}

std::set<std::string>
Scheduler::UnreachableZones() const
{
  auto unreachable = lostZones_;
  std::set<std::string> reachable;
  for (const auto& [number, view] : views_) {
    const bool answers = view.confirmed_ && view.missedRenewals_ == 0;
    (answers ? reachable : unreachable)
      .insert(state_.FindWorker(number)->zone_);
  }
  std::erase_if(unreachable, [&reachable](const auto& aZone) {
    return reachable.contains(aZone);
  });
  return unreachable;
}

bool
Scheduler::IsVmListDoubted() const
{
  return missingVms_ > 0 ||
         std::any_of(moves_.begin(), moves_.end(), [](const auto& aEntry) {
           return IsUnclear(aEntry.second);
         });
}

void
Scheduler::BalancePools(MonotonicTime aNow)
{
  if (settings_.movesVms_ && AwaitsAbsence(aNow)) {
    RefreshVmList(kDoubtedListInterval, aNow);
  }
  std::string sparePool;
  for (const auto& [name, pool] : config_.pools_) {
    if (pool.spare_) {
      sparePool = name;
    }
  }
  if (sparePool.empty() || !settings_.movesVms_) {
    return;
  }
  RefreshVmList(IsVmListDoubted() ? kDoubtedListInterval : kSpareListInterval,
                aNow);
  ForgetEndedMoves(aNow);
  RetryMoves(aNow);
  ObserveDemand(aNow);
  if (!vmListKnown_) {
    return;
  }
  // A VM in an unreachable availability zone could not register.
  const auto unreachableZones = UnreachableZones();
  std::vector<std::string> spares;
  for (const auto& [vm, view] : vms_) {
    if (view.listing_.pool_ == sparePool &&
        view.listing_.state_ == VmState::Up && !view.isDown_ &&
        !view.orderInFlight_ &&
        !unreachableZones.contains(view.listing_.zone_) &&
        !moves_.contains(vm) && aNow >= view.noMoveBefore_) {
      spares.push_back(vm);
    }
  }
  const auto demands = PoolDemands(aNow);
  yieldingWorkers_.SetCounts(config_.hasTenants_
                               ? PlanYields(demands, spares.size())
                               : std::map<std::string, std::size_t>{});
  const auto moves = PlanMoves(demands, std::move(spares), sparePool);
  std::size_t requested = 0;
  for (const auto& move : moves) {
    if (!TakeMoveCall(aNow)) {
      break;
    }
    RequestMove(move, aNow);
    ++requested;
  }
  if (requested > 0 && aNow - demandsLoggedAt_ >= kDemandLogInterval) {
    demandsLoggedAt_ = aNow;
    LogDemands(demands);
    LogInfo("moves requested",
            { { "planned", moves.size() },
              { "requested", requested },
              { "in_progress", moves_.size() } });
  }
}

bool
Scheduler::TakeMoveCall(MonotonicTime aNow)
{
  const auto inFlight =
    std::count_if(moves_.begin(), moves_.end(), [](const auto& aEntry) {
      return aEntry.second.isInFlight_;
    });
  return static_cast<std::size_t>(inFlight) < kMaxMoveCallsInFlight &&
         vmCalls_.TakeForMove(aNow);
}

void
Scheduler::LogDemands(const std::vector<PoolDemand>& aDemands) const
{
  for (const auto& demand : aDemands) {
    LogInfo("pool demand",
            { { "pool", demand.pool_ },
              { "workers", demand.supply_ },
              { "wanted", WantedWorkers(demand) },
              { "milli_cores", demand.demandMilliCores_ },
              { "held_milli_cores", demand.heldMilliCores_ },
              { "with_lasting_tasks", demand.pinnedWorkers_ },
              { "for_long_running", demand.spreadWorkers_ },
              { "stranded", demand.strandedWorkers_ },
              { "late_milli_cores", demand.lateMilliCores_ },
              { "yields", yieldingWorkers_.CountOf(demand.pool_) },
              { "idle", demand.idleVms_.size() },
              { "surplus_for_ms", demand.surplusFor_.count() } });
  }
}

void
Scheduler::RequestMove(const VmMove& aMove, MonotonicTime aNow)
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
  moves_[aMove.vm_] = { .pool_ = aMove.pool_,
                        .requestedAt_ = aNow,
                        .isInFlight_ = true,
                        .toSpare_ = toSpare };
  actions_.emplace_back(MoveVm{ aMove.vm_, aMove.pool_, term_ });
}

void
Scheduler::RetryMoves(MonotonicTime aNow)
{
  for (auto& [vm, move] : moves_) {
    if (!move.isInFlight_ && !move.hasBegun_ &&
        aNow - move.requestedAt_ >= kMoveRetry && TakeMoveCall(aNow)) {
      move.isInFlight_ = true;
      move.requestedAt_ = aNow;
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
  if (found == moves_.end() || found->second.pool_ != aOrder.pool_) {
    return;
  }
  auto& move = found->second;
  move.isInFlight_ = false;
  move.requestedAt_ = aNow;
  if (aOutcome == VmOutcome::Fenced) {
    DoubtAuthority("platform, move of " + aOrder.vm_, aNow);
  }
  if (aOutcome == VmOutcome::NotNow) {
    vmCalls_.NoteRefusal(aNow);
  }
  switch (aOutcome) {
    case VmOutcome::Begun:
      NoteMoveBegun(aOrder.vm_, move, aNow);
      return;
    case VmOutcome::NoAnswer:
      // The VM is kept empty, and the move is requested again until its outcome
      // is known.
      move.mayHaveBegun_ = true;
      return;
    case VmOutcome::NotNow:
    case VmOutcome::Fenced:
    case VmOutcome::Busy:
    case VmOutcome::NotInWave:
    case VmOutcome::NoSuchVm:
      move.isDenied_ = aOutcome == VmOutcome::NoSuchVm;
      LogInfo("a VM cannot be moved now",
              { { "vm", aOrder.vm_ },
                { "outcome", static_cast<int>(aOutcome) },
                { "may_have_begun", move.mayHaveBegun_ } });
      // A VM that is being moved is busy.
      if (!move.mayHaveBegun_) {
        CancelMove(aOrder.vm_, aNow);
      }
      return;
  }
}

void
Scheduler::NoteMoveBegun(const std::string& aVm,
                         PendingMove& aMove,
                         MonotonicTime aNow)
{
  aMove.hasBegun_ = true;
  NotePoolOfVm(aVm, aMove.pool_, aNow);
  DropWorkersOfMovedVm(aVm, aMove.pool_, aNow);
}

void
Scheduler::CancelMove(const std::string& aVm, MonotonicTime aNow)
{
  moves_.erase(aVm);
  for (const auto& [number, worker] : state_.Workers()) {
    if (worker.vm_ == aVm) {
      views_.at(number).evacuating_ = false;
    }
  }
  if (auto listed = vms_.find(aVm); listed != vms_.end()) {
    listed->second.noMoveBefore_ = aNow + kFailedMovePause;
  }
}

void
Scheduler::SettleUnclearMoves(const ListVms& aOrder,
                              const std::vector<VmListing>& aListed,
                              MonotonicTime aNow)
{
  std::map<std::string_view, const VmListing*> unclear;
  for (const auto& [vm, move] : moves_) {
    if (IsUnclear(move) && move.requestedAt_ < aOrder.sentAt_) {
      unclear.emplace(vm, nullptr);
    }
  }
  for (const auto& listing : aListed) {
    if (const auto found = unclear.find(listing.vm_); found != unclear.end()) {
      found->second = &listing;
    }
  }
  std::vector<std::string> notBegun;
  for (const auto& [vm, listing] : unclear) {
    auto& move = moves_.at(std::string(vm));
    const bool isGone = listing == nullptr && move.isDenied_;
    const bool isListed =
      listing != nullptr && listing->state_ != VmState::Moving;
    if (isListed && listing->pool_ == move.pool_) {
      NoteMoveBegun(listing->vm_, move, aNow);
    } else if (isListed || isGone) {
      notBegun.emplace_back(vm);
    }
  }
  for (const auto& vm : notBegun) {
    LogInfo("an unanswered move of a VM has not begun",
            { { "vm", vm }, { "pool", moves_.at(vm).pool_ } });
    CancelMove(vm, aNow);
  }
}

} // namespace acaciahill
