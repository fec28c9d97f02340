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

// Maximum number of VMs named in a reason; the others are only counted.
constexpr std::size_t kMaxNamedVms = 5;
// Maximum length of a reason in bytes; the state accepts 500.
constexpr std::size_t kMaxReasonBytes = 480;
// Maximum length in bytes of the wave's name within a permit id; the state
// accepts 256 for the whole id.
constexpr std::size_t kMaxWaveBytesInPermitId = 64;

std::string
FormatVmList(const std::vector<const VmRecord*>& aVms)
{
  std::string text;
  for (std::size_t i = 0; i < std::min(aVms.size(), kMaxNamedVms); ++i) {
    text += (i == 0 ? "" : ", ") + aVms[i]->identity_.id_;
  }
  if (aVms.size() > kMaxNamedVms) {
    text += " and " + std::to_string(aVms.size() - kMaxNamedVms) + " more";
  }
  return text;
}

} // namespace

WavePlanner::WavePlanner(PlannerLimits aLimits, WaveLimits aWaveLimits)
  : limits_(aLimits)
  , waveLimits_(aWaveLimits)
  , drains_(aLimits)
  , gate_(aWaveLimits.retryAfter_)
  , rebootRequests_(aWaveLimits.rebootRetryInterval_)
{
}

std::vector<PlannerAction>
WavePlanner::Step(const PlannerView& aView, MonotonicTime aNow)
{
  gate_.RemoveExpired(aNow);
  rebootRequests_.RemoveExpired(aNow);
  if (!lastStep_ || aNow - *lastStep_ > limits_.availableFor_) {
    settledAt_ = aNow + waveLimits_.settleTime_;
    earliestGrantAt_ = aNow + waveLimits_.retryAfter_;
    holdTimers_.clear();
  }
  lastStep_ = aNow;
  drains_.Observe(aView, aNow);
  ForgetVisibleGrants(aView, aNow);
  const auto& waves = aView.fleet_->Waves();
  std::erase_if(holdTimers_, [&waves](const auto& aItem) {
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
  auto step = MakeStepContext(aView, aNow);
  RevokeOverBudget(step);
  for (const auto& [id, permit] : aView.fleet_->Permits()) {
    const auto vm = aView.fleet_->Vms().find(permit.vm_);
    if (vm != aView.fleet_->Vms().end()) {
      AdvancePermit(step, permit, vm->second);
    }
  }
  for (const auto& [id, wave] : waves) {
    if (!IsOpen(wave)) {
      continue;
    }
    const auto waiting = WaitingVms(step, wave);
    if (wave.phase_ == WavePhase::Running && aNow >= earliestGrantAt_) {
      GrantNext(step, wave, waiting);
    }
    AdjustPhase(step, wave, waiting);
  }
  return std::move(step.actions_);
}

void
WavePlanner::ForgetVisibleGrants(const PlannerView& aView, MonotonicTime aNow)
{
  ForgetVisibleProposals(
    pendingGrants_, *aView.fleet_, aNow, waveLimits_.retryAfter_);
}

WavePlanner::StepContext
WavePlanner::MakeStepContext(const PlannerView& aView, MonotonicTime aNow)
{
  StepContext step{ aView, aNow };
  const auto& vms = aView.fleet_->Vms();
  CountVms(step);
  for (const auto& [id, permit] : aView.fleet_->Permits()) {
    const auto vm = vms.find(permit.vm_);
    if (vm == vms.end()) {
      continue;
    }
    // A lost VM may be missing for days. It counts towards the width and the
    // budget, but does not block other zones or racks.
    if (vm->second.phase_ == VmPhase::Lost) {
      ++step.maintenanceCount_[permit.wave_];
    } else {
      CountInMaintenance(step, vm->second, permit.wave_);
    }
  }
  for (const auto& [id, grant] : pendingGrants_) {
    const auto& vm = vms.at(id);
    CountInMaintenance(step, vm, grant.wave_);
    const auto capacity = step.capacities_.find(vm.pool_);
    if (capacity != step.capacities_.end()) {
      capacity->second.TakeOutOfService(vm);
    }
  }
  return step;
}

void
WavePlanner::CountVms(StepContext& aStep) const
{
  aStep.capacities_ = EmptyCapacities(aStep.view_);
  aStep.unplannedCapacities_ = aStep.capacities_;
  EvidenceCursor evidence(aStep.view_);
  for (const auto& [id, vm] : aStep.view_.fleet_->Vms()) {
    const auto all = aStep.capacities_.find(vm.pool_);
    if (all == aStep.capacities_.end()) {
      continue;
    }
    const bool isAvailable =
      AvailabilityOf(vm, evidence.Find(id), aStep.view_, aStep.now_, limits_) ==
      VmAvailability::Available;
    const bool isPlanned = !vm.permit_.empty() && vm.phase_ != VmPhase::Lost;
    all->second.Add(vm, isAvailable);
    aStep.unplannedCapacities_.at(vm.pool_).Add(vm, isAvailable || isPlanned);
  }
}

void
WavePlanner::CountInMaintenance(StepContext& aStep,
                                const VmRecord& aVm,
                                const std::string& aWave)
{
  aStep.zoneOfPool_.try_emplace(aVm.pool_, aVm.identity_.zone_);
  aStep.rackOfZone_.try_emplace(aVm.identity_.zone_, aVm.identity_.rack_);
  ++aStep.maintenanceCount_[aWave];
}

bool
WavePlanner::Propose(StepContext& aStep,
                     const std::string& aIntent,
                     Command aCommand)
{
  return gate_.Propose(aIntent,
                       std::move(aCommand),
                       *aStep.view_.fleet_,
                       aStep.now_,
                       aStep.actions_);
}

const std::vector<std::string>&
WavePlanner::UnavailableOf(StepContext& aStep, const std::string& aPool) const
{
  const auto [item, isNew] = aStep.unavailableVms_.try_emplace(aPool);
  if (isNew) {
    item->second = UnavailableVms(aPool, aStep.view_, aStep.now_, limits_);
  }
  return item->second;
}

void
WavePlanner::RevokeOverBudget(StepContext& aStep)
{
  if (aStep.now_ < settledAt_) {
    return;
  }
  // The latest grants are revoked first, as their VMs have drained the least.
  std::vector<const Permit*> revocable;
  for (const auto& [id, permit] : aStep.view_.fleet_->Permits()) {
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
    const auto vm = aStep.view_.fleet_->Vms().find(permit->vm_);
    if (vm == aStep.view_.fleet_->Vms().end() ||
        vm->second.phase_ != VmPhase::Draining) {
      continue;
    }
    const auto& pool = vm->second.pool_;
    const auto capacity = aStep.capacities_.find(pool);
    if (capacity == aStep.capacities_.end() ||
        capacity->second.IsWithinBudget()) {
      continue;
    }
    // One batch per pool within the retry time: a VM counts as available again
    // only after it has echoed its new epoch, and must not cause further
    // revocations until then.
    if (!started.contains(pool) &&
        !gate_.TryAcquire("revoke-pool/" + pool, aStep.now_)) {
      continue;
    }
    started.insert(pool);
    Revoke(aStep,
           *permit,
           "pool " + pool +
             " lost its headroom: " + capacity->second.Describe());
    capacity->second.ReturnToService(vm->second);
  }
}

void
WavePlanner::Revoke(StepContext& aStep,
                    const Permit& aPermit,
                    const std::string& aReason)
{
  Propose(aStep, "revoke/" + aPermit.id_, RevokePermit{ aPermit.id_, aReason });
}

void
WavePlanner::AdvancePermit(StepContext& aStep,
                           const Permit& aPermit,
                           const VmRecord& aVm)
{
  if (aPermit.confirmed_) {
    if (rebootRequests_.TryAcquire(aPermit.id_, aStep.now_)) {
      aStep.actions_.emplace_back(AskReboot{ aVm.identity_.id_, aPermit.id_ });
    }
    return;
  }
  const auto wave = aStep.view_.fleet_->Waves().find(aPermit.wave_);
  if (wave == aStep.view_.fleet_->Waves().end() || !IsOpen(wave->second)) {
    Revoke(aStep, aPermit, "wave " + aPermit.wave_ + " does not run");
    return;
  }
  ConfirmWhenDrained(aStep, aPermit, aVm);
}

void
WavePlanner::ConfirmWhenDrained(StepContext& aStep,
                                const Permit& aPermit,
                                const VmRecord& aVm)
{
  const auto capacity = aStep.capacities_.find(aVm.pool_);
  if (capacity == aStep.capacities_.end() ||
      !capacity->second.IsWithinBudget() || aVm.phase_ != VmPhase::Draining ||
      gate_.IsPending("revoke/" + aPermit.id_) ||
      !aStep.view_.zonesInContact_.contains(aVm.identity_.zone_)) {
    return;
  }
  const auto& row = capacity->second.Row();
  if (!drains_.IsComplete(aVm.identity_.id_) &&
      !(IsDrainOverdue(row, aVm, aStep.now_) &&
        row.drainAction_ == DrainAction::Stop)) {
    return;
  }
  Propose(
    aStep,
    "confirm/" + aPermit.id_,
    ConfirmStop{ aPermit.id_, aVm.epoch_, UnavailableOf(aStep, aVm.pool_) });
}

bool
WavePlanner::IsReady(const StepContext& aStep, const VmRecord& aVm) const
{
  return aVm.moveTo_.empty() &&
         AvailabilityOf(aVm, aStep.view_, aStep.now_, limits_) ==
           VmAvailability::Available;
}

std::vector<const VmRecord*>
WavePlanner::WaitingVms(const StepContext& aStep, const Wave& aWave) const
{
  std::vector<const VmRecord*> waiting;
  for (const auto& id : aWave.pendingVms_) {
    const auto vm = aStep.view_.fleet_->Vms().find(id);
    if (vm != aStep.view_.fleet_->Vms().end() && vm->second.permit_.empty() &&
        !pendingGrants_.contains(id)) {
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
WavePlanner::MayGrant(const StepContext& aStep,
                      const Wave& aWave,
                      const VmRecord& aVm) const
{
  const auto maintenanceCount = aStep.maintenanceCount_.find(aWave.id_);
  if (aWave.width_ > 0 && maintenanceCount != aStep.maintenanceCount_.end() &&
      maintenanceCount->second >= aWave.width_) {
    return false;
  }
  const auto zone = aStep.zoneOfPool_.find(aVm.pool_);
  if (zone != aStep.zoneOfPool_.end() && zone->second != aVm.identity_.zone_) {
    return false;
  }
  const auto rack = aStep.rackOfZone_.find(aVm.identity_.zone_);
  if (rack != aStep.rackOfZone_.end() && rack->second != aVm.identity_.rack_) {
    return false;
  }
  const auto capacity = aStep.capacities_.find(aVm.pool_);
  return capacity != aStep.capacities_.end() &&
         capacity->second.CanTakeOutOfService(aVm) && IsReady(aStep, aVm);
}

void
WavePlanner::GrantNext(StepContext& aStep,
                       const Wave& aWave,
                       const std::vector<const VmRecord*>& aWaiting)
{
  for (const auto* vm : aWaiting) {
    if (aStep.grants_ >= waveLimits_.grantsPerStep_) {
      return;
    }
    if (!MayGrant(aStep, aWave, *vm)) {
      continue;
    }
    const auto& id = vm->identity_.id_;
    // Incarnation and epoch make the permit id, which is also the platform's
    // operation id, unique for each stop of the VM.
    const auto permit = aWave.id_.substr(0, kMaxWaveBytesInPermitId) + "/" +
                        id + "/" + std::to_string(vm->identity_.incarnation_) +
                        "/" + std::to_string(vm->epoch_);
    if (Propose(aStep,
                "grant/" + permit,
                GrantPermit{
                  aWave.id_, id, permit, UnavailableOf(aStep, vm->pool_) })) {
      ++aStep.grants_;
      pendingGrants_.insert_or_assign(
        id, PendingGrant{ aWave.id_, vm->epoch_, aStep.now_ });
      CountInMaintenance(aStep, *vm, aWave.id_);
      aStep.capacities_.at(vm->pool_).TakeOutOfService(*vm);
    }
  }
}

std::string
WavePlanner::HeadroomReason(const StepContext& aStep,
                            const std::vector<const VmRecord*>& aWaiting) const
{
  std::map<std::string, std::vector<const VmRecord*>> byPool;
  for (const auto* vm : aWaiting) {
    byPool[vm->pool_].push_back(vm);
  }
  std::string reason;
  for (const auto& [pool, vms] : byPool) {
    const auto capacity = aStep.unplannedCapacities_.find(pool);
    if (capacity == aStep.unplannedCapacities_.end()) {
      continue;
    }
    std::vector<const VmRecord*> ready;
    std::copy_if(vms.begin(),
                 vms.end(),
                 std::back_inserter(ready),
                 [&](const auto* aVm) { return IsReady(aStep, *aVm); });
    const bool allowed =
      std::any_of(ready.begin(), ready.end(), [&](const auto* aVm) {
        return capacity->second.CanTakeOutOfService(*aVm);
      });
    if (allowed) {
      return {};
    }
    reason +=
      (reason.empty() ? "" : "; ") + ("pool " + pool) +
      (ready.empty() ? " waits for " + FormatVmList(vms) + ", not available: "
                     : " has no headroom: ") +
      capacity->second.Describe();
  }
  std::set<std::string> silentZones;
  for (const auto* vm : aWaiting) {
    if (!aStep.view_.zonesInContact_.contains(vm->identity_.zone_)) {
      silentZones.insert(vm->identity_.zone_);
    }
  }
  for (const auto& zone : silentZones) {
    reason += "; zone " + zone + " is out of contact";
  }
  return reason;
}

bool
WavePlanner::IsDrainOverdue(const PoolRow& aRow,
                            const VmRecord& aVm,
                            MonotonicTime aNow) const
{
  return !drains_.IsComplete(aVm.identity_.id_) &&
         drains_.DrainAge(aVm.identity_.id_, aNow) >=
           Millis{ aRow.drainLimitMs_ };
}

std::string
WavePlanner::StuckReason(const StepContext& aStep, const Wave& aWave) const
{
  const auto& rows = aStep.view_.fleet_->Table().rows_;
  for (const auto& [id, permit] : aStep.view_.fleet_->Permits()) {
    const auto found = aStep.view_.fleet_->Vms().find(permit.vm_);
    if (permit.wave_ != aWave.id_ || found == aStep.view_.fleet_->Vms().end() ||
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
        IsDrainOverdue(row, vm, aStep.now_)) {
      const auto heard = aStep.view_.targets_.find(permit.vm_);
      const auto running =
        heard == aStep.view_.targets_.end() ? 0 : heard->second.running_;
      return name + " still drains after its drain_limit_ms of " +
             std::to_string(row.drainLimitMs_) + " with " +
             std::to_string(running) +
             " requests running, and drain_action is wait";
    }
  }
  return {};
}

bool
WavePlanner::HasDrainsToConfirm(const StepContext& aStep,
                                const Wave& aWave) const
{
  const auto& permits = aStep.view_.fleet_->Permits();
  return std::any_of(permits.begin(), permits.end(), [&](const auto& aItem) {
    const auto& permit = aItem.second;
    const auto vm = aStep.view_.fleet_->Vms().find(permit.vm_);
    if (permit.wave_ != aWave.id_ || permit.confirmed_ ||
        vm == aStep.view_.fleet_->Vms().end() ||
        vm->second.phase_ != VmPhase::Draining) {
      return false;
    }
    const auto capacity = aStep.capacities_.find(vm->second.pool_);
    return capacity != aStep.capacities_.end() &&
           capacity->second.IsWithinBudget() &&
           (capacity->second.Row().drainAction_ == DrainAction::Stop ||
            !IsDrainOverdue(capacity->second.Row(), vm->second, aStep.now_));
  });
}

std::string
WavePlanner::HoldReason(const StepContext& aStep,
                        const Wave& aWave,
                        const std::vector<const VmRecord*>& aWaiting) const
{
  std::vector<const VmRecord*> waiting;
  std::copy_if(aWaiting.begin(),
               aWaiting.end(),
               std::back_inserter(waiting),
               [this](const auto* aVm) {
                 return !pendingGrants_.contains(aVm->identity_.id_);
               });
  const bool canProceed =
    HasDrainsToConfirm(aStep, aWave) ||
    std::any_of(waiting.begin(), waiting.end(), [&](const auto* aVm) {
      return MayGrant(aStep, aWave, *aVm);
    });
  if (canProceed) {
    return {};
  }
  auto reason = HeadroomReason(aStep, waiting);
  return reason.empty() ? StuckReason(aStep, aWave) : reason;
}

void
WavePlanner::ProposePhase(StepContext& aStep,
                          const Wave& aWave,
                          WavePhase aPhase,
                          const std::string& aReason)
{
  Propose(
    aStep, "phase/" + aWave.id_, SetWavePhase{ aWave.id_, aPhase, aReason });
}

void
WavePlanner::AdjustPhase(StepContext& aStep,
                         const Wave& aWave,
                         const std::vector<const VmRecord*>& aWaiting)
{
  if (aStep.now_ < settledAt_) {
    return;
  }
  auto& hold = holdTimers_[aWave.id_];
  const auto reason = HoldReason(aStep, aWave, aWaiting);
  if (reason.empty()) {
    hold.blockedSince_.reset();
    if (!hold.freeSince_) {
      hold.freeSince_ = aStep.now_;
    }
    // Hysteresis: a VM with intermittent reports must not toggle the wave.
    if (aWave.phase_ == WavePhase::Held &&
        aStep.now_ - *hold.freeSince_ >= waveLimits_.resumeAfter_) {
      ProposePhase(aStep, aWave, WavePhase::Running, "");
    }
    return;
  }
  hold.freeSince_.reset();
  if (!hold.blockedSince_) {
    hold.blockedSince_ = aStep.now_;
  }
  if (aWave.phase_ == WavePhase::Running &&
      aStep.now_ - *hold.blockedSince_ >= waveLimits_.holdAfter_) {
    ProposePhase(aStep, aWave, WavePhase::Held, reason);
  }
}

} // namespace acaciahill
