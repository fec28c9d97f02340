#include "planner/move_planner_base.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace acaciahill {

namespace {

// Slots assumed for a pool without VMs.
constexpr std::int64_t kDefaultSlots = 8;

bool
IsMoving(const VmRecord& aVm)
{
  return aVm.phase_ == VmPhase::Draining && !aVm.moveTo_.empty();
}

template<typename Key>
std::int64_t
CountOf(const std::map<Key, std::int64_t>& aCounts, const Key& aKey)
{
  const auto found = aCounts.find(aKey);
  return found == aCounts.end() ? 0 : found->second;
}

// How well a move from a place serves the pool that takes the VM, and the one
// that gives it; less is better.
template<typename Key>
std::array<std::int64_t, 2>
Spread(const std::map<Key, std::int64_t>& aTaker,
       const std::map<Key, std::int64_t>& aDonor,
       const Key& aPlace)
{
  return { CountOf(aTaker, aPlace), -CountOf(aDonor, aPlace) };
}

using Score = std::
  tuple<std::int64_t, std::int64_t, std::int64_t, std::int64_t, std::uint32_t>;

} // namespace

MovePlanner::MovePlanner(PlannerLimits aLimits, MoveLimits aMoveLimits)
  : limits_(aLimits)
  , moveLimits_(aMoveLimits)
  , drains_(aLimits)
  , gate_(aMoveLimits.retryAfter_)
  , avoid_(aMoveLimits.avoidFor_)
{
}

std::vector<PlannerAction>
MovePlanner::Step(const PlannerView& aView, MonotonicTime aNow)
{
  gate_.Advance(aNow);
  avoid_.Advance(aNow);
  const Millis elapsed = lastStep_ ? aNow - *lastStep_ : Millis{ 0 };
  if (!lastStep_ || elapsed > limits_.availableFor_) {
    settledAt_ = aNow + moveLimits_.settleTime_;
  }
  lastStep_ = aNow;
  drains_.Observe(aView, aNow);
  ForgetVisible(aView, aNow);
  auto round = BeginRound(aView, aNow);
  SetTargets(round, elapsed);
  CompleteMoves(round);
  if (aNow >= settledAt_) {
    AbortMoves(round);
    FillLacks(round);
    LendForBursts(round);
    ReturnSurplus(round);
  }
  return std::move(round.actions_);
}

void
MovePlanner::ForgetVisible(const PlannerView& aView, MonotonicTime aNow)
{
  ForgetVisibleProposals(
    sentMoves_, *aView.fleet_, aNow, moveLimits_.retryAfter_);
  const auto& rows = aView.fleet_->Table().rows_;
  std::erase_if(memory_,
                [&](const auto& aItem) { return !rows.contains(aItem.first); });
}

MovePlanner::Round
MovePlanner::BeginRound(const PlannerView& aView, MonotonicTime aNow)
{
  Round round{ aView, aNow };
  round.capacities_ = EmptyCapacities(aView);
  EvidenceCursor evidence(aView);
  for (const auto& [pool, row] : aView.fleet_->Table().rows_) {
    round.pools_[pool].row_ = &row;
  }
  for (const auto& [id, vm] : aView.fleet_->Vms()) {
    const auto pool = round.pools_.find(vm.pool_);
    if (pool == round.pools_.end()) {
      continue;
    }
    const bool isAvailable =
      AvailabilityOf(vm, evidence.Find(id), aView, aNow, limits_) ==
      VmAvailability::Available;
    round.capacities_.at(vm.pool_).Add(vm, isAvailable);
    if (vm.phase_ == VmPhase::Lost) {
      continue;
    }
    ++pool->second.vms_;
    pool->second.slotSum_ += vm.identity_.slots_;
    const auto sent = sentMoves_.find(id);
    if (sent != sentMoves_.end()) {
      CountMove(round, vm, sent->second.to_);
    } else if (IsMoving(vm)) {
      CountMove(round, vm, vm.moveTo_);
    } else if (isAvailable && !avoid_.IsPending(id)) {
      pool->second.movable_.push_back(&vm);
    }
  }
  return round;
}

void
MovePlanner::CountMove(Round& aRound,
                       const VmRecord& aVm,
                       const std::string& aTo)
{
  auto& from = aRound.pools_.at(aVm.pool_);
  --from.vms_;
  ++from.movesOut_;
  aRound.capacities_.at(aVm.pool_).TakeOut(aVm);
  const auto to = aRound.pools_.find(aTo);
  if (to != aRound.pools_.end()) {
    ++to->second.vms_;
    ++to->second.movesIn_;
  }
}

void
MovePlanner::SetTargets(Round& aRound, Millis aElapsed)
{
  for (auto& [name, pool] : aRound.pools_) {
    auto& memory = memory_[name];
    const auto& row = *pool.row_;
    // Lent VMs count as serving only once they have arrived.
    const auto serving = std::max<std::int64_t>(pool.vms_ - pool.movesIn_, 0);
    const auto held = serving + pool.movesOut_;
    const auto load = aRound.view_.loads_.find(name);
    memory.meter_.Observe(load == aRound.view_.loads_.end() ? PoolLoad{}
                                                            : load->second,
                          held > 0 ? pool.slotSum_ / held : kDefaultSlots,
                          serving,
                          aElapsed);
    const auto surplus = std::max<std::int64_t>(pool.vms_ - row.size_, 0);
    memory.borrowed_ = std::min(memory.borrowed_, surplus);
    if (memory.borrowed_ > 0 && memory.meter_.IsReturnWorthIt(row)) {
      --memory.borrowed_;
      memory.meter_.RestartIdleTime();
    }
    // A new leader does not know which VMs were borrowed, but sees the load
    // that still needs them.
    const auto needed =
      std::max<std::int64_t>(memory.meter_.NeededVms() - row.size_, 0);
    pool.target_ =
      row.size_ + std::min(surplus, std::max(memory.borrowed_, needed));
    const auto since = [&aRound](std::optional<MonotonicTime>& aSince,
                                 bool aHolds) {
      if (!aHolds) {
        aSince.reset();
      } else if (!aSince) {
        aSince = aRound.now_;
      }
    };
    since(memory.lacksSince_, pool.vms_ < row.size_);
    since(memory.surplusSince_, pool.vms_ > pool.target_);
  }
}

bool
MovePlanner::Propose(Round& aRound,
                     const std::string& aIntent,
                     Command aCommand)
{
  return gate_.Propose(aIntent,
                       std::move(aCommand),
                       *aRound.view_.fleet_,
                       aRound.now_,
                       aRound.actions_);
}

void
MovePlanner::CompleteMoves(Round& aRound)
{
  for (const auto& [id, vm] : aRound.view_.fleet_->Vms()) {
    if (IsMoving(vm) && drains_.IsComplete(id) &&
        aRound.view_.zonesInContact_.contains(vm.identity_.zone_)) {
      Propose(aRound,
              "end/" + id + "/" + std::to_string(vm.epoch_),
              CompleteMove{ id, vm.epoch_ });
    }
  }
}

bool
MovePlanner::IsGivenUp(const Round& aRound, const VmRecord& aVm) const
{
  // A move must not cut off requests, so a pool that does not wait gives it up
  // and another VM is chosen.
  const auto pool = aRound.pools_.find(aVm.pool_);
  return pool != aRound.pools_.end() &&
         pool->second.row_->drainAction_ == DrainAction::Stop &&
         drains_.DrainAge(aVm.identity_.id_, aRound.now_) >=
           Millis{ pool->second.row_->drainLimitMs_ };
}

std::string
MovePlanner::AbortReason(const Round& aRound, const VmRecord& aVm) const
{
  if (aVm.phase_ == VmPhase::Lost) {
    return "VM " + aVm.identity_.id_ + " is lost";
  }
  if (!aRound.view_.zonesInContact_.contains(aVm.identity_.zone_)) {
    return "zone " + aVm.identity_.zone_ + " is out of contact";
  }
  const auto from = aRound.pools_.find(aVm.pool_);
  const auto to = aRound.pools_.find(aVm.moveTo_);
  if (to == aRound.pools_.end()) {
    return "pool " + aVm.moveTo_ + " is gone";
  }
  if (from == aRound.pools_.end()) {
    return {};
  }
  const auto& donor = from->second;
  const auto& taker = to->second;
  if (!taker.row_->spare_ && taker.vms_ > taker.target_) {
    return "pool " + aVm.moveTo_ + " has " + std::to_string(taker.vms_) +
           " VMs and needs " + std::to_string(taker.target_);
  }
  if (!donor.row_->spare_ && donor.vms_ < donor.row_->size_) {
    return "pool " + aVm.pool_ + " would have " + std::to_string(donor.vms_) +
           " of " + std::to_string(donor.row_->size_) + " wanted VMs";
  }
  if (IsGivenUp(aRound, aVm)) {
    return "not drained within " + std::to_string(donor.row_->drainLimitMs_) +
           " ms";
  }
  return {};
}

void
MovePlanner::AbortMoves(Round& aRound)
{
  for (const auto& [id, vm] : aRound.view_.fleet_->Vms()) {
    if (vm.moveTo_.empty()) {
      continue;
    }
    const auto intent = "end/" + id + "/" + std::to_string(vm.epoch_);
    const auto reason = AbortReason(aRound, vm);
    if (reason.empty() || drains_.IsComplete(id) ||
        !Propose(aRound, intent, AbortMove{ id, vm.epoch_, reason })) {
      continue;
    }
    if (IsGivenUp(aRound, vm)) {
      avoid_.Pass(id, aRound.now_);
    }
    if (!IsMoving(vm)) {
      continue;
    }
    // The counts follow, so that one cause aborts one move.
    ++aRound.pools_.at(vm.pool_).vms_;
    const auto to = aRound.pools_.find(vm.moveTo_);
    if (to != aRound.pools_.end()) {
      --to->second.vms_;
    }
  }
}

std::vector<std::string>
MovePlanner::SparePools(const Round& aRound) const
{
  std::vector<std::string> pools;
  for (const auto& [name, pool] : aRound.pools_) {
    if (pool.row_->spare_) {
      pools.push_back(name);
    }
  }
  return pools;
}

std::vector<std::string>
MovePlanner::PoolsAbove(const Round& aRound, bool aBorrowedToo) const
{
  std::vector<std::string> pools;
  for (const auto& [name, pool] : aRound.pools_) {
    const auto kept = aBorrowedToo ? pool.row_->size_ : pool.target_;
    if (!pool.row_->spare_ && pool.vms_ > kept) {
      pools.push_back(name);
    }
  }
  return pools;
}

MovePlanner::Places
MovePlanner::PlacesOf(const Round& aRound, const std::string& aPool) const
{
  Places places;
  for (const auto& [id, vm] : aRound.view_.fleet_->Vms()) {
    const auto sent = sentMoves_.find(id);
    const auto& to = sent != sentMoves_.end() ? sent->second.to_
                     : IsMoving(vm)           ? vm.moveTo_
                                              : vm.pool_;
    if (to == aPool && vm.phase_ != VmPhase::Lost) {
      ++places.byZone_[vm.identity_.zone_];
      ++places.byRack_[RackOf(vm)];
    }
  }
  return places;
}

const VmRecord*
MovePlanner::BestVm(const Round& aRound,
                    const std::string& aFrom,
                    const std::string& aTo) const
{
  const auto& from = aRound.pools_.at(aFrom);
  if (from.movesOut_ >= moveLimits_.movesPerPool_) {
    return nullptr;
  }
  const auto donor = PlacesOf(aRound, aFrom);
  const auto taker = PlacesOf(aRound, aTo);
  const VmRecord* best = nullptr;
  // The balance of the pool that serves counts before that of the spare pool.
  const std::size_t served = aRound.pools_.at(aTo).row_->spare_ ? 1 : 0;
  Score bestScore;
  for (const auto* vm : from.movable_) {
    if (sentMoves_.contains(vm->identity_.id_) ||
        !aRound.capacities_.at(aFrom).AllowsOut(*vm)) {
      continue;
    }
    const auto zone = Spread(taker.byZone_, donor.byZone_, vm->identity_.zone_);
    const auto rack = Spread(taker.byRack_, donor.byRack_, RackOf(*vm));
    const Score score{ zone[served],
                       zone[1 - served],
                       rack[served],
                       rack[1 - served],
                       aRound.view_.targets_.at(vm->identity_.id_).running_ };
    if (best == nullptr || score < bestScore) {
      best = vm;
      bestScore = score;
    }
  }
  return best;
}

bool
MovePlanner::MoveOne(Round& aRound,
                     const std::vector<std::string>& aDonors,
                     const std::string& aTo,
                     const std::string& aReason)
{
  if (aRound.pools_.at(aTo).movesIn_ >= moveLimits_.movesPerPool_) {
    return false;
  }
  for (const auto& from : aDonors) {
    const auto* vm = from == aTo ? nullptr : BestVm(aRound, from, aTo);
    if (vm == nullptr) {
      continue;
    }
    const auto& id = vm->identity_.id_;
    if (Propose(aRound,
                "begin/" + id,
                BeginMove{
                  id,
                  aTo,
                  aReason,
                  UnavailableVms(from, aRound.view_, aRound.now_, limits_) })) {
      sentMoves_.insert_or_assign(id, SentMove{ aTo, vm->epoch_, aRound.now_ });
      CountMove(aRound, *vm, aTo);
      return true;
    }
  }
  return false;
}

void
MovePlanner::FillLacks(Round& aRound)
{
  std::vector<std::pair<std::int64_t, std::string>> lacks;
  for (const auto& [name, pool] : aRound.pools_) {
    const auto& since = memory_.at(name).lacksSince_;
    if (!pool.row_->spare_ && pool.vms_ < pool.row_->size_ && since &&
        aRound.now_ - *since >= moveLimits_.steadyFor_) {
      lacks.emplace_back(pool.vms_ - pool.row_->size_, name);
    }
  }
  std::sort(lacks.begin(), lacks.end());
  for (const auto& lack : lacks) {
    const auto& name = lack.second;
    const auto& pool = aRound.pools_.at(name);
    const auto reason = [&] {
      return "pool " + name + " has " + std::to_string(pool.vms_) + " of " +
             std::to_string(pool.row_->size_) + " wanted VMs";
    };
    while (pool.vms_ < pool.row_->size_ &&
           (MoveOne(aRound, PoolsAbove(aRound, false), name, reason()) ||
            MoveOne(aRound, SparePools(aRound), name, reason()) ||
            MoveOne(aRound, PoolsAbove(aRound, true), name, reason()))) {
    }
  }
}

void
MovePlanner::LendForBursts(Round& aRound)
{
  // The drain of a spare VM ends at the latest with the lease.
  const auto moveTime = limits_.routingLease_ + limits_.routingMargin_;
  for (const auto& [name, pool] : aRound.pools_) {
    auto& memory = memory_.at(name);
    if (pool.row_->spare_ || pool.vms_ < pool.row_->size_ ||
        !memory.meter_.IsBorrowWorthIt(*pool.row_, moveTime)) {
      continue;
    }
    // One loan at a time: the next one must pay for itself with the overload
    // that is left. The first pool in a burst took all spare VMs otherwise.
    if (pool.vms_ < memory.meter_.NeededVms() &&
        MoveOne(aRound,
                SparePools(aRound),
                name,
                "pool " + name + " needs " +
                  std::to_string(memory.meter_.NeededVms()) +
                  " VMs in a burst and has " + std::to_string(pool.vms_))) {
      ++memory.borrowed_;
      memory.meter_.RestartOverloadTime();
    }
  }
}

void
MovePlanner::ReturnSurplus(Round& aRound)
{
  auto spares = SparePools(aRound);
  std::sort(spares.begin(), spares.end(), [&](auto& aLeft, auto& aRight) {
    const auto lack = [&](const std::string& aName) {
      const auto& pool = aRound.pools_.at(aName);
      return pool.row_->size_ - pool.vms_;
    };
    return lack(aLeft) > lack(aRight);
  });
  if (spares.empty()) {
    return;
  }
  for (const auto& [name, pool] : aRound.pools_) {
    const auto& since = memory_.at(name).surplusSince_;
    if (pool.row_->spare_ || !since ||
        aRound.now_ - *since < moveLimits_.steadyFor_) {
      continue;
    }
    while (pool.vms_ > pool.target_ &&
           MoveOne(aRound,
                   { name },
                   spares.front(),
                   "pool " + name + " has " + std::to_string(pool.vms_) +
                     " VMs and needs " + std::to_string(pool.target_))) {
    }
  }
}

} // namespace acaciahill
