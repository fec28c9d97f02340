#include "planner/vm_watch_base.h"

#include "planner/availability_func.h"

namespace acaciahill {

namespace {

constexpr Millis kRetryAfter{ 3000 };
// Commands proposed per step; the VMs of a failed rack or zone are marked over
// several steps.
constexpr std::size_t kMaxCommandsPerStep = 32;
// A planned reboot takes minutes, so a stopping VM is marked as lost only after
// this multiple of the usual silence.
constexpr int kRebootSilenceFactor = 10;

} // namespace

VmWatch::VmWatch(PlannerLimits aLimits)
  : limits_(aLimits)
  , gate_(kRetryAfter)
{
}

std::set<std::string>
VmWatch::HeardZones(const PlannerView& aView, MonotonicTime aNow) const
{
  std::set<std::string> zones;
  EvidenceCursor evidence(aView);
  for (const auto& [id, vm] : aView.fleet_->Vms()) {
    const auto* heard = evidence.Find(id);
    if (heard != nullptr && aNow - heard->madeAt_ <= limits_.availableFor_ &&
        !zones.contains(vm.identity_.zone_) &&
        aView.zonesInContact_.contains(vm.identity_.zone_)) {
      zones.insert(vm.identity_.zone_);
    }
  }
  return zones;
}

std::vector<PlannerAction>
VmWatch::Step(const PlannerView& aView, MonotonicTime aNow)
{
  gate_.RemoveExpired(aNow);
  const bool hasGap = !lastStep_ || aNow - *lastStep_ > limits_.availableFor_;
  lastStep_ = aNow;
  if (hasGap) {
    // No reports were received while this process was frozen.
    silentSince_.clear();
    watchingSince_ = aNow;
  }
  const auto& vms = aView.fleet_->Vms();
  std::erase_if(silentSince_,
                [&](const auto& aItem) { return !vms.contains(aItem.first); });
  const auto heardZones = HeardZones(aView, aNow);
  std::vector<PlannerAction> actions;
  EvidenceCursor evidence(aView);
  for (const auto& [id, vm] : vms) {
    const auto command = Decide(vm, evidence.Find(id), heardZones, aNow);
    if (command && actions.size() < kMaxCommandsPerStep &&
        gate_.TryAcquire(id + "/" + std::to_string(vm.epoch_), aNow)) {
      actions.emplace_back(ProposeCommand{ *command });
    }
  }
  return actions;
}

std::optional<Command>
VmWatch::Decide(const VmRecord& aVm,
                const TargetEvidence* aEvidence,
                const std::set<std::string>& aHeardZones,
                MonotonicTime aNow)
{
  const auto& id = aVm.identity_.id_;
  const bool isHeard = aEvidence != nullptr &&
                       aEvidence->incarnation_ == aVm.identity_.incarnation_ &&
                       aNow - aEvidence->madeAt_ <= limits_.availableFor_;
  if (isHeard) {
    silentSince_.erase(id);
  } else if (!aHeardZones.contains(aVm.identity_.zone_)) {
    silentSince_.insert_or_assign(id, aNow);
  } else {
    const bool isKnown =
      aEvidence != nullptr && aEvidence->madeAt_ >= watchingSince_;
    silentSince_.try_emplace(id, isKnown ? aEvidence->madeAt_ : aNow);
  }
  if (aVm.phase_ == VmPhase::Lost) {
    // On recovery the state continues an open permit or move, so a VM that is
    // about to be stopped gets no new work.
    if (!isHeard) {
      return std::nullopt;
    }
    return RecoverVm{ id, aVm.identity_.incarnation_ };
  }
  const auto limit = aVm.phase_ == VmPhase::Stopping
                       ? kRebootSilenceFactor * limits_.lostAfter_
                       : limits_.lostAfter_;
  if (isHeard || aNow - silentSince_.at(id) < limit) {
    return std::nullopt;
  }
  return MarkVmLost{ id, aVm.identity_.incarnation_ };
}

} // namespace acaciahill
