#include "planner/availability_func.h"

#include <algorithm>

namespace acaciahill {

VmAvailability
AvailabilityOf(const VmRecord& aVm,
               const PlannerView& aView,
               MonotonicTime aNow,
               const PlannerLimits& aLimits)
{
  const auto heard = aView.targets_.find(aVm.identity_.id_);
  return AvailabilityOf(aVm,
                        heard == aView.targets_.end() ? nullptr
                                                      : &heard->second,
                        aView,
                        aNow,
                        aLimits);
}

VmAvailability
AvailabilityOf(const VmRecord& aVm,
               const TargetEvidence* aEvidence,
               const PlannerView& aView,
               MonotonicTime aNow,
               const PlannerLimits& aLimits)
{
  if (aVm.phase_ != VmPhase::Active || !aVm.permit_.empty()) {
    return VmAvailability::Unavailable;
  }
  if (aEvidence == nullptr ||
      aNow - aEvidence->madeAt_ > aLimits.availableFor_ ||
      !aView.zonesInContact_.contains(aVm.identity_.zone_)) {
    return VmAvailability::Unknown;
  }
  return aEvidence->incarnation_ == aVm.identity_.incarnation_ &&
             aEvidence->epoch_ == aVm.epoch_ && !aEvidence->draining_
           ? VmAvailability::Available
           : VmAvailability::Unavailable;
}

RackKey
RackOf(const VmRecord& aVm)
{
  return { aVm.identity_.zone_, aVm.identity_.rack_ };
}

PoolCapacity::PoolCapacity(PoolRow aRow)
  : row_(std::move(aRow))
{
}

void
PoolCapacity::Add(const VmRecord& aVm, bool aAvailable)
{
  ++members_;
  if (aAvailable) {
    ++availableByRack_[RackOf(aVm)];
  } else {
    outOfService_.insert(aVm.identity_.id_);
  }
}

std::int64_t
PoolCapacity::AvailableInLargestRack() const
{
  std::int64_t largest = 0;
  for (const auto& [rack, count] : availableByRack_) {
    largest = std::max(largest, count);
  }
  return largest;
}

bool
PoolCapacity::IsWithinBudget() const
{
  return OutOfServiceCount() <= row_.maxUnavailable_ &&
         Available() - AvailableInLargestRack() >= row_.minAvailable_;
}

bool
PoolCapacity::CanTakeOutOfService(const VmRecord& aVm) const
{
  if (outOfService_.contains(aVm.identity_.id_)) {
    return IsWithinBudget();
  }
  if (OutOfServiceCount() + 1 > row_.maxUnavailable_) {
    return false;
  }
  std::int64_t largest = 0;
  const auto ownRack = RackOf(aVm);
  for (const auto& [rack, count] : availableByRack_) {
    largest = std::max(largest, rack == ownRack ? count - 1 : count);
  }
  return Available() - 1 - largest >= row_.minAvailable_;
}

void
PoolCapacity::TakeOutOfService(const VmRecord& aVm)
{
  if (outOfService_.insert(aVm.identity_.id_).second) {
    --availableByRack_[RackOf(aVm)];
  }
}

void
PoolCapacity::ReturnToService(const VmRecord& aVm)
{
  if (outOfService_.erase(aVm.identity_.id_) != 0) {
    ++availableByRack_[RackOf(aVm)];
  }
}

std::string
PoolCapacity::Describe() const
{
  return std::to_string(Available()) + " of " + std::to_string(members_) +
         " VMs available, " + std::to_string(AvailableInLargestRack()) +
         " of them in one rack, min_available " +
         std::to_string(row_.minAvailable_) + ", " +
         std::to_string(OutOfServiceCount()) + " out, max_unavailable " +
         std::to_string(row_.maxUnavailable_);
}

std::map<std::string, PoolCapacity>
EmptyCapacities(const PlannerView& aView)
{
  std::map<std::string, PoolCapacity> capacities;
  for (const auto& [pool, row] : aView.fleet_->Table().rows_) {
    capacities.emplace(pool, PoolCapacity(row));
  }
  return capacities;
}

std::map<std::string, PoolCapacity>
PoolCapacities(const PlannerView& aView,
               MonotonicTime aNow,
               const PlannerLimits& aLimits)
{
  auto capacities = EmptyCapacities(aView);
  EvidenceCursor evidence(aView);
  for (const auto& [id, vm] : aView.fleet_->Vms()) {
    const auto capacity = capacities.find(vm.pool_);
    if (capacity != capacities.end()) {
      capacity->second.Add(
        vm,
        AvailabilityOf(vm, evidence.Find(id), aView, aNow, aLimits) ==
          VmAvailability::Available);
    }
  }
  return capacities;
}

std::vector<std::string>
UnavailableVms(const std::string& aPool,
               const PlannerView& aView,
               MonotonicTime aNow,
               const PlannerLimits& aLimits)
{
  std::vector<std::string> vms;
  EvidenceCursor evidence(aView);
  for (const auto& [id, vm] : aView.fleet_->Vms()) {
    if (vm.pool_ == aPool && vm.permit_.empty() && vm.moveTo_.empty() &&
        AvailabilityOf(vm, evidence.Find(id), aView, aNow, aLimits) !=
          VmAvailability::Available) {
      vms.push_back(id);
    }
  }
  return vms;
}

} // namespace acaciahill
