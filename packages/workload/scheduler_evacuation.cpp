#include "workload/scheduler_base.h"

#include "kernel/log_func.h"

// The end of evacuations: workers that were emptied for an order that does not
// come get tasks again.

namespace acaciahill {

bool
Scheduler::IsOrderExpected(const std::string& aVm) const
{
  const auto vm = vms_.find(aVm);
  const bool isOrdered =
    vm != vms_.end() && (vm->second.orderInFlight_ || vm->second.isDown_);
  return isOrdered || upkeepCandidates_.contains(aVm) || moves_.contains(aVm);
}

void
Scheduler::EndEvacuations()
{
  for (auto& [number, view] : views_) {
    if (!view.evacuating_) {
      continue;
    }
    const auto& worker = *state_.FindWorker(number);
    if (!IsOrderExpected(worker.vm_)) {
      EndEvacuation(worker, view, "no order is expected");
    }
  }
}

void
Scheduler::EndEvacuation(const WorkerEntry& aWorker,
                         WorkerView& aView,
                         std::string_view aReason)
{
  LogInfo("a worker gets tasks again",
          { { "worker", aWorker.id_ },
            { "vm", aWorker.vm_ },
            { "pool", aWorker.pool_ },
            { "runs", aView.runs_.size() },
            { "reason", aReason } });
  aView.evacuating_ = false;
  placementDue_ = true;
}

} // namespace acaciahill
