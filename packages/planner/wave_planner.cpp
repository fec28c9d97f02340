#include "planner/wave_planner_base.h"

#include <algorithm>
#include <tuple>

namespace acaciahill {

namespace {

bool
IsOpen(const Wave& aWave)
{
  return aWave.phase_ == WavePhase::Running || aWave.phase_ == WavePhase::Held;
}

// VMs named in a reason at most; the rest are counted.
constexpr std::size_t kNamedVms = 5;
// Bytes of a reason; the state takes 500.
constexpr std::size_t kReasonBytes = 480;
// Bytes of the wave's name in a permit id; the state takes 256 for the whole.
constexpr std::size_t kPermitWaveBytes = 64;

std::string
NameSome(const std::vector<const VmRecord*>& aVms)
{
  std::string text;
  for (std::size_t i = 0; i < std::min(aVms.size(), kNamedVms); ++i) {
    text += (i == 0 ? "" : ", ") + aVms[i]->identity_.id_;
  }
  if (aVms.size() > kNamedVms) {
    text += " and " + std::to_string(aVms.size() - kNamedVms) + " more";
  }
  return text;
}

} // namespace

WavePlanner::WavePlanner(PlannerLimits aLimits, WaveLimits aWaveLimits)
  : limits_(aLimits)
  , waveLimits_(aWaveLimits)
  , drains_(aLimits)
  , gate_(aWaveLimits.retryAfter_)
  , asks_(aWaveLimits.askInterval_)
{
}

std::vector<PlannerAction>
WavePlanner::Step(const PlannerView& aView, MonotonicTime aNow)
{
  gate_.Advance(aNow);
  asks_.Advance(aNow);
  if (!lastStep_ || aNow - *lastStep_ > limits_.availableFor_) {
    settledAt_ = aNow + waveLimits_.settleTime_;
    grantsFrom_ = aNow + waveLimits_.retryAfter_;
    holds_.clear();
  }
  lastStep_ = aNow;
  drains_.Observe(aView, aNow);
  ForgetVisibleGrants(aView, aNow);
  const auto& waves = aView.fleet_->Waves();
  std::erase_if(holds_, [&waves](const auto& aItem) {
    const auto wave = waves.find(aItem.first);
    return wave == waves.end() || !IsOpen(wave->second);
  });
  const bool hasWork =
    !aView.fleet_->Permits().empty() ||
    std::any_of(waves.begin(), waves.end(), [](const auto& aItem) {
      return IsOpen(aItem.second);
    });
  if (!hasWork) {
    return {};
  }
  auto round = BeginRound(aView, aNow);
  RevokeOverBudget(round);
  for (const auto& [id, permit] : aView.fleet_->Permits()) {
    const auto vm = aView.fleet_->Vms().find(permit.vm_);
    if (vm != aView.fleet_->Vms().end()) {
      ServePermit(round, permit, vm->second);
    }
  }
  for (const auto& [id, wave] : waves) {
    if (!IsOpen(wave)) {
      continue;
    }
    const auto waiting = WaitingVms(round, wave);
    if (wave.phase_ == WavePhase::Running && aNow >= grantsFrom_) {
      GrantNext(round, wave, waiting);
    }
    AdjustPhase(round, wave, waiting);
  }
  return std::move(round.actions_);
}

void
WavePlanner::ForgetVisibleGrants(const PlannerView& aView, MonotonicTime aNow)
{
  ForgetVisibleProposals(
    sentGrants_, *aView.fleet_, aNow, waveLimits_.retryAfter_);
}

WavePlanner::Round
WavePlanner::BeginRound(const PlannerView& aView, MonotonicTime aNow)
{
  Round round{ aView, aNow };
  const auto& vms = aView.fleet_->Vms();
  CountVms(round);
  for (const auto& [id, permit] : aView.fleet_->Permits()) {
    const auto vm = vms.find(permit.vm_);
    if (vm == vms.end()) {
      continue;
    }
    // A lost VM may stay away for days; it takes its place in the width and in
    // the budget, and keeps no other zone or rack waiting.
    if (vm->second.phase_ == VmPhase::Lost) {
      ++round.inWork_[permit.wave_];
    } else {
      CountInWork(round, vm->second, permit.wave_);
    }
  }
  for (const auto& [id, grant] : sentGrants_) {
    const auto& vm = vms.at(id);
    CountInWork(round, vm, grant.wave_);
    const auto capacity = round.capacities_.find(vm.pool_);
    if (capacity != round.capacities_.end()) {
      capacity->second.TakeOut(vm);
    }
  }
  return round;
}

void
WavePlanner::CountVms(Round& aRound) const
{
  aRound.capacities_ = EmptyCapacities(aRound.view_);
  aRound.unplanned_ = aRound.capacities_;
  EvidenceCursor evidence(aRound.view_);
  for (const auto& [id, vm] : aRound.view_.fleet_->Vms()) {
    const auto all = aRound.capacities_.find(vm.pool_);
    if (all == aRound.capacities_.end()) {
      continue;
    }
    const bool isAvailable =
      AvailabilityOf(
        vm, evidence.Find(id), aRound.view_, aRound.now_, limits_) ==
      VmAvailability::Available;
    const bool isPlanned = !vm.permit_.empty() && vm.phase_ != VmPhase::Lost;
    all->second.Add(vm, isAvailable);
    aRound.unplanned_.at(vm.pool_).Add(vm, isAvailable || isPlanned);
  }
}

void
WavePlanner::CountInWork(Round& aRound,
                         const VmRecord& aVm,
                         const std::string& aWave)
{
  aRound.zoneOfPool_.try_emplace(aVm.pool_, aVm.identity_.zone_);
  aRound.rackOfZone_.try_emplace(aVm.identity_.zone_, aVm.identity_.rack_);
  ++aRound.inWork_[aWave];
}

bool
WavePlanner::Propose(Round& aRound,
                     const std::string& aIntent,
                     Command aCommand)
{
  return gate_.Propose(aIntent,
                       std::move(aCommand),
                       *aRound.view_.fleet_,
                       aRound.now_,
                       aRound.actions_);
}

const std::vector<std::string>&
WavePlanner::UnavailableOf(Round& aRound, const std::string& aPool) const
{
  const auto [item, isNew] = aRound.unavailable_.try_emplace(aPool);
  if (isNew) {
    item->second = UnavailableVms(aPool, aRound.view_, aRound.now_, limits_);
  }
  return item->second;
}

void
WavePlanner::RevokeOverBudget(Round& aRound)
{
  if (aRound.now_ < settledAt_) {
    return;
  }
  // The youngest grants go first: they have drained the least.
  std::vector<const Permit*> revocable;
  for (const auto& [id, permit] : aRound.view_.fleet_->Permits()) {
    if (!permit.confirmed_) {
      revocable.push_back(&permit);
    }
  }
  std::sort(revocable.begin(), revocable.end(), [](auto* aLeft, auto* aRight) {
    return std::tie(aRight->grantedAtMs_, aRight->id_) <
           std::tie(aLeft->grantedAtMs_, aLeft->id_);
  });
  std::set<std::string> started;
  for (const auto* permit : revocable) {
    const auto vm = aRound.view_.fleet_->Vms().find(permit->vm_);
    if (vm == aRound.view_.fleet_->Vms().end() ||
        vm->second.phase_ != VmPhase::Draining) {
      continue;
    }
    const auto& pool = vm->second.pool_;
    const auto capacity = aRound.capacities_.find(pool);
    if (capacity == aRound.capacities_.end() || capacity->second.Holds()) {
      continue;
    }
    // One batch per pool at a time: a VM that returns is available only once it
    // has echoed its new epoch, and must not cause further revocations.
    if (!started.contains(pool) &&
        !gate_.Pass("revoke-pool/" + pool, aRound.now_)) {
      continue;
    }
    started.insert(pool);
    Revoke(aRound,
           *permit,
           "pool " + pool +
             " lost its headroom: " + capacity->second.Numbers());
    capacity->second.GiveBack(vm->second);
  }
}

void
WavePlanner::Revoke(Round& aRound,
                    const Permit& aPermit,
                    const std::string& aReason)
{
  Propose(
    aRound, "revoke/" + aPermit.id_, RevokePermit{ aPermit.id_, aReason });
}

void
WavePlanner::ServePermit(Round& aRound,
                         const Permit& aPermit,
                         const VmRecord& aVm)
{
  if (aPermit.confirmed_) {
    if (asks_.Pass(aPermit.id_, aRound.now_)) {
      aRound.actions_.emplace_back(AskReboot{ aVm.identity_.id_, aPermit.id_ });
    }
    return;
  }
  const auto wave = aRound.view_.fleet_->Waves().find(aPermit.wave_);
  if (wave == aRound.view_.fleet_->Waves().end() || !IsOpen(wave->second)) {
    Revoke(aRound, aPermit, "wave " + aPermit.wave_ + " does not run");
    return;
  }
  ConfirmWhenDrained(aRound, aPermit, aVm);
}

void
WavePlanner::ConfirmWhenDrained(Round& aRound,
                                const Permit& aPermit,
                                const VmRecord& aVm)
{
  const auto capacity = aRound.capacities_.find(aVm.pool_);
  if (capacity == aRound.capacities_.end() || !capacity->second.Holds() ||
      aVm.phase_ != VmPhase::Draining ||
      gate_.IsPending("revoke/" + aPermit.id_) ||
      !aRound.view_.zonesInContact_.contains(aVm.identity_.zone_)) {
    return;
  }
  const auto& row = capacity->second.Row();
  if (!drains_.IsComplete(aVm.identity_.id_) &&
      !(IsLate(row, aVm, aRound.now_) &&
        row.drainAction_ == DrainAction::Stop)) {
    return;
  }
  Propose(
    aRound,
    "confirm/" + aPermit.id_,
    ConfirmStop{ aPermit.id_, aVm.epoch_, UnavailableOf(aRound, aVm.pool_) });
}

bool
WavePlanner::IsReady(const Round& aRound, const VmRecord& aVm) const
{
  return aVm.moveTo_.empty() &&
         AvailabilityOf(aVm, aRound.view_, aRound.now_, limits_) ==
           VmAvailability::Available;
}

std::vector<const VmRecord*>
WavePlanner::WaitingVms(const Round& aRound, const Wave& aWave) const
{
  std::vector<const VmRecord*> waiting;
  for (const auto& id : aWave.pendingVms_) {
    const auto vm = aRound.view_.fleet_->Vms().find(id);
    if (vm != aRound.view_.fleet_->Vms().end() && vm->second.permit_.empty() &&
        !sentGrants_.contains(id)) {
      waiting.push_back(&vm->second);
    }
  }
  std::sort(waiting.begin(), waiting.end(), [](auto* aLeft, auto* aRight) {
    return std::tie(aLeft->maintainedAtMs_, aLeft->identity_.id_) <
           std::tie(aRight->maintainedAtMs_, aRight->identity_.id_);
  });
  return waiting;
}

bool
WavePlanner::MayGrant(const Round& aRound,
                      const Wave& aWave,
                      const VmRecord& aVm) const
{
  const auto inWork = aRound.inWork_.find(aWave.id_);
  if (aWave.width_ > 0 && inWork != aRound.inWork_.end() &&
      inWork->second >= aWave.width_) {
    return false;
  }
  const auto zone = aRound.zoneOfPool_.find(aVm.pool_);
  if (zone != aRound.zoneOfPool_.end() && zone->second != aVm.identity_.zone_) {
    return false;
  }
  const auto rack = aRound.rackOfZone_.find(aVm.identity_.zone_);
  if (rack != aRound.rackOfZone_.end() && rack->second != aVm.identity_.rack_) {
    return false;
  }
  const auto capacity = aRound.capacities_.find(aVm.pool_);
  return capacity != aRound.capacities_.end() &&
         capacity->second.AllowsOut(aVm) && IsReady(aRound, aVm);
}

void
WavePlanner::GrantNext(Round& aRound,
                       const Wave& aWave,
                       const std::vector<const VmRecord*>& aWaiting)
{
  for (const auto* vm : aWaiting) {
    if (aRound.grants_ >= waveLimits_.grantsPerStep_) {
      return;
    }
    if (!MayGrant(aRound, aWave, *vm)) {
      continue;
    }
    const auto& id = vm->identity_.id_;
    // Incarnation and epoch make the permit, and with it the platform's
    // operation, unique for each stop of the VM.
    const auto permit = aWave.id_.substr(0, kPermitWaveBytes) + "/" + id + "/" +
                        std::to_string(vm->identity_.incarnation_) + "/" +
                        std::to_string(vm->epoch_);
    if (Propose(aRound,
                "grant/" + permit,
                GrantPermit{
                  aWave.id_, id, permit, UnavailableOf(aRound, vm->pool_) })) {
      ++aRound.grants_;
      sentGrants_.insert_or_assign(
        id, SentGrant{ aWave.id_, vm->epoch_, aRound.now_ });
      CountInWork(aRound, *vm, aWave.id_);
      aRound.capacities_.at(vm->pool_).TakeOut(*vm);
    }
  }
}

std::string
WavePlanner::HeadroomReason(const Round& aRound,
                            const std::vector<const VmRecord*>& aWaiting) const
{
  std::map<std::string, std::vector<const VmRecord*>> byPool;
  for (const auto* vm : aWaiting) {
    byPool[vm->pool_].push_back(vm);
  }
  std::string reason;
  for (const auto& [pool, vms] : byPool) {
    const auto capacity = aRound.unplanned_.find(pool);
    if (capacity == aRound.unplanned_.end()) {
      continue;
    }
    std::vector<const VmRecord*> ready;
    std::copy_if(vms.begin(),
                 vms.end(),
                 std::back_inserter(ready),
                 [&](const auto* aVm) { return IsReady(aRound, *aVm); });
    const bool allowed =
      std::any_of(ready.begin(), ready.end(), [&](const auto* aVm) {
        return capacity->second.AllowsOut(*aVm);
      });
    if (allowed) {
      return {};
    }
    reason +=
      (reason.empty() ? "" : "; ") + ("pool " + pool) +
      (ready.empty() ? " waits for " + NameSome(vms) + ", not available: "
                     : " has no headroom: ") +
      capacity->second.Numbers();
  }
  std::set<std::string> silentZones;
  for (const auto* vm : aWaiting) {
    if (!aRound.view_.zonesInContact_.contains(vm->identity_.zone_)) {
      silentZones.insert(vm->identity_.zone_);
    }
  }
  for (const auto& zone : silentZones) {
    reason += "; zone " + zone + " is out of contact";
  }
  return reason;
}

bool
WavePlanner::IsLate(const PoolRow& aRow,
                    const VmRecord& aVm,
                    MonotonicTime aNow) const
{
  return !drains_.IsComplete(aVm.identity_.id_) &&
         drains_.DrainAge(aVm.identity_.id_, aNow) >=
           Millis{ aRow.drainLimitMs_ };
}

std::string
WavePlanner::StuckReason(const Round& aRound, const Wave& aWave) const
{
  const auto& rows = aRound.view_.fleet_->Table().rows_;
  for (const auto& [id, permit] : aRound.view_.fleet_->Permits()) {
    const auto found = aRound.view_.fleet_->Vms().find(permit.vm_);
    if (permit.wave_ != aWave.id_ ||
        found == aRound.view_.fleet_->Vms().end() ||
        !rows.contains(found->second.pool_)) {
      continue;
    }
    const auto& vm = found->second;
    const auto& row = rows.at(vm.pool_);
    const auto name = "pool " + vm.pool_ + ": VM " + permit.vm_;
    if (vm.phase_ == VmPhase::Lost) {
      return name + " was lost during its work; restart or remove it";
    }
    if (!permit.confirmed_ && row.drainAction_ == DrainAction::Wait &&
        IsLate(row, vm, aRound.now_)) {
      const auto heard = aRound.view_.targets_.find(permit.vm_);
      const auto running =
        heard == aRound.view_.targets_.end() ? 0 : heard->second.running_;
      return name + " still drains after its drain_limit_ms of " +
             std::to_string(row.drainLimitMs_) + " with " +
             std::to_string(running) +
             " requests running, and drain_action is wait";
    }
  }
  return {};
}

bool
WavePlanner::HasDrainsToConfirm(const Round& aRound, const Wave& aWave) const
{
  const auto& permits = aRound.view_.fleet_->Permits();
  return std::any_of(permits.begin(), permits.end(), [&](const auto& aItem) {
    const auto& permit = aItem.second;
    const auto vm = aRound.view_.fleet_->Vms().find(permit.vm_);
    if (permit.wave_ != aWave.id_ || permit.confirmed_ ||
        vm == aRound.view_.fleet_->Vms().end() ||
        vm->second.phase_ != VmPhase::Draining) {
      return false;
    }
    const auto capacity = aRound.capacities_.find(vm->second.pool_);
    return capacity != aRound.capacities_.end() && capacity->second.Holds() &&
           (capacity->second.Row().drainAction_ == DrainAction::Stop ||
            !IsLate(capacity->second.Row(), vm->second, aRound.now_));
  });
}

std::string
WavePlanner::HoldReason(const Round& aRound,
                        const Wave& aWave,
                        const std::vector<const VmRecord*>& aWaiting) const
{
  std::vector<const VmRecord*> waiting;
  std::copy_if(aWaiting.begin(),
               aWaiting.end(),
               std::back_inserter(waiting),
               [this](const auto* aVm) {
                 return !sentGrants_.contains(aVm->identity_.id_);
               });
  const bool goesOn =
    HasDrainsToConfirm(aRound, aWave) ||
    std::any_of(waiting.begin(), waiting.end(), [&](const auto* aVm) {
      return MayGrant(aRound, aWave, *aVm);
    });
  if (goesOn) {
    return {};
  }
  auto reason = HeadroomReason(aRound, waiting);
  return reason.empty() ? StuckReason(aRound, aWave) : reason;
}

void
WavePlanner::ProposePhase(Round& aRound,
                          const Wave& aWave,
                          WavePhase aPhase,
                          const std::string& aReason)
{
  Propose(
    aRound, "phase/" + aWave.id_, SetWavePhase{ aWave.id_, aPhase, aReason });
}

void
WavePlanner::AdjustPhase(Round& aRound,
                         const Wave& aWave,
                         const std::vector<const VmRecord*>& aWaiting)
{
  if (aRound.now_ < settledAt_) {
    return;
  }
  auto& hold = holds_[aWave.id_];
  const auto reason = HoldReason(aRound, aWave, aWaiting);
  if (reason.empty()) {
    hold.blockedSince_.reset();
    if (!hold.freeSince_) {
      hold.freeSince_ = aRound.now_;
    }
    // Hysteresis keeps a VM that comes and goes from switching the wave.
    if (aWave.phase_ == WavePhase::Held &&
        aRound.now_ - *hold.freeSince_ >= waveLimits_.resumeAfter_) {
      ProposePhase(aRound, aWave, WavePhase::Running, "");
    }
    return;
  }
  hold.freeSince_.reset();
  if (!hold.blockedSince_) {
    hold.blockedSince_ = aRound.now_;
  }
  if (aWave.phase_ == WavePhase::Running &&
      aRound.now_ - *hold.blockedSince_ >= waveLimits_.holdAfter_) {
    ProposePhase(aRound, aWave, WavePhase::Held, reason);
  }
}

} // namespace acaciahill
