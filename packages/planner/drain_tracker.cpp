#include "planner/drain_tracker_base.h"

#include <algorithm>

namespace acaciahill {

DrainTracker::DrainTracker(PlannerLimits aLimits)
  : limits_(aLimits)
{
}

void
DrainTracker::Observe(const PlannerView& aView, MonotonicTime aNow)
{
  const Millis gap = lastStep_ ? aNow - *lastStep_ : Millis{ 0 };
  lastStep_ = aNow;
  const auto& vms = aView.fleet_->Vms();
  std::erase_if(drains_, [&vms](const auto& aItem) {
    const auto vm = vms.find(aItem.first);
    return vm == vms.end() || vm->second.phase_ != VmPhase::Draining ||
           vm->second.epoch_ != aItem.second.epoch_;
  });
  for (const auto& [id, vm] : vms) {
    if (vm.phase_ != VmPhase::Draining) {
      continue;
    }
    const auto [drain, isNew] = drains_.try_emplace(id);
    if (isNew) {
      drain->second.epoch_ = vm.epoch_;
      drain->second.firstSeen_ = aNow;
      drain->second.drainIndex_ = aView.fleet_->AppliedIndex();
    } else if (drain->second.acknowledgedAt_) {
      drain->second.maxStepGap_ = std::max(drain->second.maxStepGap_, gap);
    }
    Update(drain->second, vm, aView, aNow);
  }
}

void
DrainTracker::Update(Drain& aDrain,
                     const VmRecord& aVm,
                     const PlannerView& aView,
                     MonotonicTime aNow) const
{
  aDrain.complete_ = false;
  const auto heard = aView.targets_.find(aVm.identity_.id_);
  if (heard == aView.targets_.end()) {
    return;
  }
  const auto& evidence = heard->second;
  if (evidence.incarnation_ != aVm.identity_.incarnation_ ||
      evidence.epoch_ != aVm.epoch_ || !evidence.draining_) {
    return;
  }
  if (!aDrain.acknowledgedAt_) {
    aDrain.acknowledgedAt_ = aNow;
  }
  if (!HaveSendersFinished(aDrain, aVm, aView, aNow)) {
    aDrain.sendersDoneAt_.reset();
  } else if (!aDrain.sendersDoneAt_) {
    aDrain.sendersDoneAt_ = aNow;
  }
  if (evidence.running_ != 0 ||
      aNow - evidence.madeAt_ > limits_.availableFor_) {
    return;
  }
  // The target's report of no running requests counts only if it was made after
  // the last moment at which a node could still send. A report that was
  // buffered while this process was frozen gets a timestamp that is too late by
  // at most the gap between two steps, so a gap above the margin replaces the
  // margin.
  const bool sendersDone =
    aDrain.sendersDoneAt_ && evidence.madeAt_ >= *aDrain.sendersDoneAt_;
  const auto leaseEnd = *aDrain.acknowledgedAt_ + limits_.routingLease_ +
                        std::max(limits_.routingMargin_, aDrain.maxStepGap_);
  aDrain.complete_ = sendersDone || evidence.madeAt_ >= leaseEnd;
}

bool
DrainTracker::HaveSendersFinished(const Drain& aDrain,
                                  const VmRecord& aVm,
                                  const PlannerView& aView,
                                  MonotonicTime aNow) const
{
  const auto& nodes = aView.fleet_->Nodes();
  return !nodes.empty() &&
         std::all_of(nodes.begin(), nodes.end(), [&](const auto& aItem) {
           const auto status = aView.nodes_.find(aItem.first);
           if (status == aView.nodes_.end() ||
               aNow - status->second.madeAt_ > limits_.availableFor_ ||
               status->second.appliedIndex_ < aDrain.drainIndex_) {
             return false;
           }
           const auto inFlight = status->second.inFlight_.find(aVm.number_);
           return inFlight == status->second.inFlight_.end() ||
                  inFlight->second == 0;
         });
}

bool
DrainTracker::IsComplete(const std::string& aVm) const
{
  const auto drain = drains_.find(aVm);
  return drain != drains_.end() && drain->second.complete_;
}

Millis
DrainTracker::DrainAge(const std::string& aVm, MonotonicTime aNow) const
{
  const auto drain = drains_.find(aVm);
  return drain == drains_.end() ? Millis{ 0 } : aNow - drain->second.firstSeen_;
}

} // namespace acaciahill
