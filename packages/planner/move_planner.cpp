#include "planner/move_planner_base.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace acaciahill {

namespace {

// Slots per VM assumed for a pool without VMs.
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

// How well a move of a VM from a zone or rack balances the receiving pool and
// the donor; lower is better.
template<typename Key>
std::array<std::int64_t, 2>
BalanceScore(const std::map<Key, std::int64_t>& aReceiver,
             const std::map<Key, std::int64_t>& aDonor,
             const Key& aLocation)
{
  return { CountOf(aReceiver, aLocation), -CountOf(aDonor, aLocation) };
}

using Score = std::
  tuple<std::int64_t, std::int64_t, std::int64_t, std::int64_t, std::uint32_t>;

} // namespace

MovePlanner::MovePlanner(PlannerLimits aLimits, MoveLimits aMoveLimits)
  : limits_(aLimits)
  , moveLimits_(aMoveLimits)
  , drains_(aLimits)
  , gate_(aMoveLimits.retryAfter_)
  , avoidedVms_(aMoveLimits.avoidFor_)
{
}

std::vector<PlannerAction>
MovePlanner::Step(const PlannerView& aView, MonotonicTime aNow)
{
  gate_.RemoveExpired(aNow);
  avoidedVms_.RemoveExpired(aNow);
  const Millis elapsed = lastStep_ ? aNow - *lastStep_ : Millis{ 0 };
  if (!lastStep_ || elapsed > limits_.availableFor_) {
    settledAt_ = aNow + moveLimits_.settleTime_;
  }
  lastStep_ = aNow;
  drains_.Observe(aView, aNow);
  ForgetVisible(aView, aNow);
  auto step = MakeStepContext(aView, aNow);
  SetDesiredVms(step, elapsed);
  CompleteMoves(step);
  if (aNow >= settledAt_) {
    AbortMoves(step);
    FillDeficits(step);
    BorrowForBursts(step);
    ReturnSurplus(step);
  }
  return std::move(step.actions_);
}

void
MovePlanner::ForgetVisible(const PlannerView& aView, MonotonicTime aNow)
{
  ForgetVisibleProposals(
    pendingMoves_, *aView.fleet_, aNow, moveLimits_.retryAfter_);
  const auto& rows = aView.fleet_->Table().rows_;
  std::erase_if(poolHistory_,
                [&](const auto& aItem) { return !rows.contains(aItem.first); });
}

MovePlanner::StepContext
MovePlanner::MakeStepContext(const PlannerView& aView, MonotonicTime aNow)
{
  StepContext step{ aView, aNow };
  step.capacities_ = EmptyCapacities(aView);
  EvidenceCursor evidence(aView);
  for (const auto& [pool, row] : aView.fleet_->Table().rows_) {
    step.pools_[pool].row_ = &row;
  }
  for (const auto& [id, vm] : aView.fleet_->Vms()) {
    const auto pool = step.pools_.find(vm.pool_);
    if (pool == step.pools_.end()) {
      continue;
    }
    const bool isAvailable =
      AvailabilityOf(vm, evidence.Find(id), aView, aNow, limits_) ==
      VmAvailability::Available;
    step.capacities_.at(vm.pool_).Add(vm, isAvailable);
    if (vm.phase_ == VmPhase::Lost) {
      continue;
    }
    ++pool->second.vmCount_;
    pool->second.slotCount_ += vm.identity_.slots_;
    const auto pending = pendingMoves_.find(id);
    if (pending != pendingMoves_.end()) {
      CountMove(step, vm, pending->second.to_);
    } else if (IsMoving(vm)) {
      CountMove(step, vm, vm.moveTo_);
    } else if (isAvailable && !avoidedVms_.IsPending(id)) {
      pool->second.movableVms_.push_back(&vm);
    }
  }
  return step;
}

void
MovePlanner::CountMove(StepContext& aStep,
                       const VmRecord& aVm,
                       const std::string& aTo)
{
  auto& from = aStep.pools_.at(aVm.pool_);
  --from.vmCount_;
  ++from.movesOut_;
  aStep.capacities_.at(aVm.pool_).TakeOutOfService(aVm);
  const auto to = aStep.pools_.find(aTo);
  if (to != aStep.pools_.end()) {
    ++to->second.vmCount_;
    ++to->second.movesIn_;
  }
}

void
MovePlanner::SetDesiredVms(StepContext& aStep, Millis aElapsed)
{
  for (auto& [name, pool] : aStep.pools_) {
    auto& history = poolHistory_[name];
    const auto& row = *pool.row_;
    // Borrowed VMs count as serving only after their move has completed.
    const auto serving =
      std::max<std::int64_t>(pool.vmCount_ - pool.movesIn_, 0);
    const auto held = serving + pool.movesOut_;
    const auto load = aStep.view_.loads_.find(name);
    history.meter_.Observe(load == aStep.view_.loads_.end() ? PoolLoad{}
                                                            : load->second,
                           held > 0 ? pool.slotCount_ / held : kDefaultSlots,
                           serving,
                           aElapsed);
    const auto surplus = std::max<std::int64_t>(pool.vmCount_ - row.size_, 0);
    history.borrowed_ = std::min(history.borrowed_, surplus);
    if (history.borrowed_ > 0 && history.meter_.IsReturnWorthIt(row)) {
      --history.borrowed_;
      history.meter_.RestartIdleTime();
    }
    // A new leader does not know which VMs were borrowed, so VMs that the load
    // still needs are kept as well.
    const auto needed =
      std::max<std::int64_t>(history.meter_.NeededVms() - row.size_, 0);
    pool.desiredVms_ =
      row.size_ + std::min(surplus, std::max(history.borrowed_, needed));
    const auto since = [&aStep](std::optional<MonotonicTime>& aSince,
                                bool aHolds) {
      if (!aHolds) {
        aSince.reset();
      } else if (!aSince) {
        aSince = aStep.now_;
      }
    };
    since(history.deficitSince_, pool.vmCount_ < row.size_);
    since(history.surplusSince_, pool.vmCount_ > pool.desiredVms_);
  }
}

bool
MovePlanner::Propose(StepContext& aStep,
                     const std::string& aIntent,
                     Command aCommand)
{
  return gate_.Propose(aIntent,
                       std::move(aCommand),
                       *aStep.view_.fleet_,
                       aStep.now_,
                       aStep.actions_);
}

void
MovePlanner::CompleteMoves(StepContext& aStep)
{
  for (const auto& [id, vm] : aStep.view_.fleet_->Vms()) {
    if (IsMoving(vm) && drains_.IsComplete(id) &&
        aStep.view_.zonesInContact_.contains(vm.identity_.zone_)) {
      Propose(aStep,
              "end/" + id + "/" + std::to_string(vm.epoch_),
              CompleteMove{ id, vm.epoch_ });
    }
  }
}

bool
MovePlanner::HasDrainTimedOut(const StepContext& aStep,
                              const VmRecord& aVm) const
{
  // A move must not cut off requests. So in a pool with the drain action Stop
  // the move is aborted at the limit, and another VM is chosen.
  const auto pool = aStep.pools_.find(aVm.pool_);
  return pool != aStep.pools_.end() &&
         pool->second.row_->drainAction_ == DrainAction::Stop &&
         drains_.DrainAge(aVm.identity_.id_, aStep.now_) >=
           Millis{ pool->second.row_->drainLimitMs_ };
}

std::string
MovePlanner::AbortReason(const StepContext& aStep, const VmRecord& aVm) const
{
  if (aVm.phase_ == VmPhase::Lost) {
    return "VM " + aVm.identity_.id_ + " is lost";
  }
  if (!aStep.view_.zonesInContact_.contains(aVm.identity_.zone_)) {
    return "zone " + aVm.identity_.zone_ + " is out of contact";
  }
  const auto from = aStep.pools_.find(aVm.pool_);
  const auto to = aStep.pools_.find(aVm.moveTo_);
  if (to == aStep.pools_.end()) {
    return "pool " + aVm.moveTo_ + " is gone";
  }
  if (from == aStep.pools_.end()) {
    return {};
  }
  const auto& donor = from->second;
  const auto& receiver = to->second;
  if (!receiver.row_->spare_ && receiver.vmCount_ > receiver.desiredVms_) {
    return "pool " + aVm.moveTo_ + " has " + std::to_string(receiver.vmCount_) +
           " VMs and needs " + std::to_string(receiver.desiredVms_);
  }
  if (!donor.row_->spare_ && donor.vmCount_ < donor.row_->size_) {
    return "pool " + aVm.pool_ + " would have " +
           std::to_string(donor.vmCount_) + " of " +
           std::to_string(donor.row_->size_) + " wanted VMs";
  }
  if (HasDrainTimedOut(aStep, aVm)) {
    return "not drained within " + std::to_string(donor.row_->drainLimitMs_) +
           " ms";
  }
  return {};
}

void
MovePlanner::AbortMoves(StepContext& aStep)
{
  for (const auto& [id, vm] : aStep.view_.fleet_->Vms()) {
    if (vm.moveTo_.empty()) {
      continue;
    }
    const auto intent = "end/" + id + "/" + std::to_string(vm.epoch_);
    const auto reason = AbortReason(aStep, vm);
    if (reason.empty() || drains_.IsComplete(id) ||
        !Propose(aStep, intent, AbortMove{ id, vm.epoch_, reason })) {
      continue;
    }
    if (HasDrainTimedOut(aStep, vm)) {
      avoidedVms_.TryAcquire(id, aStep.now_);
    }
    if (!IsMoving(vm)) {
      continue;
    }
    // The counts are updated, so that one cause aborts only one move.
    ++aStep.pools_.at(vm.pool_).vmCount_;
    const auto to = aStep.pools_.find(vm.moveTo_);
    if (to != aStep.pools_.end()) {
      --to->second.vmCount_;
    }
  }
}

std::vector<std::string>
MovePlanner::SparePools(const StepContext& aStep) const
{
  std::vector<std::string> pools;
  for (const auto& [name, pool] : aStep.pools_) {
    if (pool.row_->spare_) {
      pools.push_back(name);
    }
  }
  return pools;
}

std::vector<std::string>
MovePlanner::PoolsWithSurplus(const StepContext& aStep,
                              bool aIncludeBorrowed) const
{
  std::vector<std::string> pools;
  for (const auto& [name, pool] : aStep.pools_) {
    const auto kept = aIncludeBorrowed ? pool.row_->size_ : pool.desiredVms_;
    if (!pool.row_->spare_ && pool.vmCount_ > kept) {
      pools.push_back(name);
    }
  }
  return pools;
}

MovePlanner::VmDistribution
MovePlanner::DistributionOf(const StepContext& aStep,
                            const std::string& aPool) const
{
  VmDistribution distribution;
  for (const auto& [id, vm] : aStep.view_.fleet_->Vms()) {
    const auto pending = pendingMoves_.find(id);
    const auto& to = pending != pendingMoves_.end() ? pending->second.to_
                     : IsMoving(vm)                 ? vm.moveTo_
                                                    : vm.pool_;
    if (to == aPool && vm.phase_ != VmPhase::Lost) {
      ++distribution.vmsByZone_[vm.identity_.zone_];
      ++distribution.vmsByRack_[RackOf(vm)];
    }
  }
  return distribution;
}

const VmRecord*
MovePlanner::BestVm(const StepContext& aStep,
                    const std::string& aFrom,
                    const std::string& aTo) const
{
  const auto& from = aStep.pools_.at(aFrom);
  if (from.movesOut_ >= moveLimits_.movesPerPool_) {
    return nullptr;
  }
  const auto donor = DistributionOf(aStep, aFrom);
  const auto receiver = DistributionOf(aStep, aTo);
  const VmRecord* best = nullptr;
  // The balance of the serving pool takes precedence over that of the spare
  // pool.
  const std::size_t servingSide = aStep.pools_.at(aTo).row_->spare_ ? 1 : 0;
  Score bestScore;
  for (const auto* vm : from.movableVms_) {
    if (pendingMoves_.contains(vm->identity_.id_) ||
        !aStep.capacities_.at(aFrom).CanTakeOutOfService(*vm)) {
      continue;
    }
    const auto zone =
      BalanceScore(receiver.vmsByZone_, donor.vmsByZone_, vm->identity_.zone_);
    const auto rack =
      BalanceScore(receiver.vmsByRack_, donor.vmsByRack_, RackOf(*vm));
    const Score score{ zone[servingSide],
                       zone[1 - servingSide],
                       rack[servingSide],
                       rack[1 - servingSide],
                       aStep.view_.targets_.at(vm->identity_.id_).running_ };
    if (best == nullptr || score < bestScore) {
      best = vm;
      bestScore = score;
    }
  }
  return best;
}

bool
MovePlanner::BeginBestMove(StepContext& aStep,
                           const std::vector<std::string>& aDonors,
                           const std::string& aTo,
                           const std::string& aReason)
{
  if (aStep.pools_.at(aTo).movesIn_ >= moveLimits_.movesPerPool_) {
    return false;
  }
  for (const auto& from : aDonors) {
    const auto* vm = from == aTo ? nullptr : BestVm(aStep, from, aTo);
    if (vm == nullptr) {
      continue;
    }
    const auto& id = vm->identity_.id_;
    if (Propose(aStep,
                "begin/" + id,
                BeginMove{
                  id,
                  aTo,
                  aReason,
                  UnavailableVms(from, aStep.view_, aStep.now_, limits_) })) {
      pendingMoves_.insert_or_assign(
        id, PendingMove{ aTo, vm->epoch_, aStep.now_ });
      CountMove(aStep, *vm, aTo);
      return true;
    }
  }
  return false;
}

void
MovePlanner::FillDeficits(StepContext& aStep)
{
  std::vector<std::pair<std::int64_t, std::string>> deficits;
  for (const auto& [name, pool] : aStep.pools_) {
    const auto& since = poolHistory_.at(name).deficitSince_;
    if (!pool.row_->spare_ && pool.vmCount_ < pool.row_->size_ && since &&
        aStep.now_ - *since >= moveLimits_.stabilizationTime_) {
      deficits.emplace_back(pool.vmCount_ - pool.row_->size_, name);
    }
  }
  std::sort(deficits.begin(), deficits.end());
  for (const auto& deficit : deficits) {
    const auto& name = deficit.second;
    const auto& pool = aStep.pools_.at(name);
    const auto reason = [&] {
      return "pool " + name + " has " + std::to_string(pool.vmCount_) + " of " +
             std::to_string(pool.row_->size_) + " wanted VMs";
    };
    while (
      pool.vmCount_ < pool.row_->size_ &&
      (BeginBestMove(aStep, PoolsWithSurplus(aStep, false), name, reason()) ||
       BeginBestMove(aStep, SparePools(aStep), name, reason()) ||
       BeginBestMove(aStep, PoolsWithSurplus(aStep, true), name, reason()))) {
    }
  }
}

void
MovePlanner::BorrowForBursts(StepContext& aStep)
{
  // The drain of a spare VM ends with the routing lease at the latest.
  const auto moveTime = limits_.routingLease_ + limits_.routingMargin_;
  for (const auto& [name, pool] : aStep.pools_) {
    auto& history = poolHistory_.at(name);
    if (pool.row_->spare_ || pool.vmCount_ < pool.row_->size_ ||
        !history.meter_.IsBorrowWorthIt(*pool.row_, moveTime)) {
      continue;
    }
    // Only one VM is borrowed at a time, and the next one needs further
    // overload; otherwise the first pool in a burst would take all spare VMs.
    if (pool.vmCount_ < history.meter_.NeededVms() &&
        BeginBestMove(aStep,
                      SparePools(aStep),
                      name,
                      "pool " + name + " needs " +
                        std::to_string(history.meter_.NeededVms()) +
                        " VMs in a burst and has " +
                        std::to_string(pool.vmCount_))) {
      ++history.borrowed_;
      history.meter_.RestartOverloadTime();
    }
  }
}

void
MovePlanner::ReturnSurplus(StepContext& aStep)
{
  auto spares = SparePools(aStep);
  std::sort(spares.begin(), spares.end(), [&](auto& aLeft, auto& aRight) {
    const auto deficit = [&](const std::string& aName) {
      const auto& pool = aStep.pools_.at(aName);
      return pool.row_->size_ - pool.vmCount_;
    };
    return deficit(aLeft) > deficit(aRight);
  });
  if (spares.empty()) {
    return;
  }
  for (const auto& [name, pool] : aStep.pools_) {
    const auto& since = poolHistory_.at(name).surplusSince_;
    if (pool.row_->spare_ || !since ||
        aStep.now_ - *since < moveLimits_.stabilizationTime_) {
      continue;
    }
    while (pool.vmCount_ > pool.desiredVms_ &&
           BeginBestMove(aStep,
                         { name },
                         spares.front(),
                         "pool " + name + " has " +
                           std::to_string(pool.vmCount_) + " VMs and needs " +
                           std::to_string(pool.desiredVms_))) {
    }
  }
}

} // namespace acaciahill
