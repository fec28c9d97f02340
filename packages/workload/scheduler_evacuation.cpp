#include "workload/scheduler_base.h"

#include "kernel/log_func.h"
#include "workload/placement_obstacle_func.h"
#include "workload/workload_text_func.h"

#include <algorithm>

// The end of evacuations: workers that were emptied for an order that does not
// come get tasks again.

namespace acaciahill {

namespace {

// A worker without short tasks waits this long for its order: the VM before it
// in the wave is down for 2 s, and its return is seen in the next list.
constexpr Millis kMaxIdleEvacuation{ 4000 };
// A long-running task without another place waits this long for a worker that
// is being emptied: an order that is sent again may still take the VM down.
constexpr Millis kMaxWaitBesideEvacuation{ 2000 };
// Orders for a VM whose evacuation was ended are put off for this time.
constexpr Millis kOrderPause{ 2000 };

} // namespace

bool
Scheduler::IsOrderExpected(const std::string& aVm) const
{
  const auto vm = vms_.find(aVm);
  const bool isOrdered =
    vm != vms_.end() && (vm->second.orderInFlight_ || vm->second.isDown_);
  return isOrdered || upkeepCandidates_.contains(aVm) || moves_.contains(aVm);
}

bool
Scheduler::IsOrderInFlight(const std::string& aVm) const
{
  const auto vm = vms_.find(aVm);
  const auto move = moves_.find(aVm);
  return (vm != vms_.end() && vm->second.orderInFlight_) ||
         (move != moves_.end() && move->second.isInFlight_);
}

void
Scheduler::EndEvacuations(MonotonicTime aNow)
{
  for (auto& [number, view] : views_) {
    if (!view.evacuating_) {
      view.idleSince_.reset();
      continue;
    }
    const bool isIdle =
      std::all_of(view.runs_.begin(), view.runs_.end(), [](const auto& aEntry) {
        return aEntry.second.isLongRunning_;
      });
    view.idleSince_ =
      isIdle ? view.idleSince_.value_or(aNow) : std::optional<MonotonicTime>{};
    const auto& vm = state_.FindWorker(number)->vm_;
    if (!IsOrderExpected(vm)) {
      EndEvacuation(number, "no order is expected", aNow);
    } else if (isIdle && aNow - *view.idleSince_ >= kMaxIdleEvacuation &&
               !IsOrderInFlight(vm)) {
      EndEvacuation(number, "its order does not come", aNow);
    }
  }
  std::optional<TaskKey> last;
  for (const auto& [task, since] : waitingSince_) {
    // One worker at a time for each step.
    if ((last && IsSameStep(*last, task)) ||
        aNow - since < kMaxWaitBesideEvacuation) {
      continue;
    }
    if (const auto worker = FindEvacuatingWorkerFor(task, aNow); worker != 0) {
      EndEvacuation(worker, "a long-running task has no other place", aNow);
      last = task;
    }
  }
}

std::uint32_t
Scheduler::FindEvacuatingWorkerFor(const TaskKey& aTask,
                                   MonotonicTime aNow) const
{
  const auto* job = state_.FindJob(aTask.job_);
  const auto* task = state_.FindTask(aTask);
  if (task == nullptr || task->state_ != TaskState::Waiting ||
      IsOver(job->phase_)) {
    return 0;
  }
  const auto queue = config_.queues_.find(job->spec_.queue_);
  if (queue == config_.queues_.end()) {
    return 0;
  }
  const auto peers = CountTasksByWorker(
    job->occurrences_.at(aTask.occurrence_).steps_[aTask.step_]);
  const auto found =
    std::find_if(views_.begin(), views_.end(), [&](const auto& aEntry) {
      const auto& [number, view] = aEntry;
      const auto& worker = *state_.FindWorker(number);
      const auto onWorker = peers.find(number);
      return ObstacleOfWorker(worker, view, aNow) ==
               PlacementObstacle::Evacuating &&
             view.confirmed_ && aNow >= view.avoidUntil_ &&
             worker.pool_ == queue->second.pool_ &&
             ObstacleOfStep(job->spec_.steps_[aTask.step_],
                            worker,
                            view,
                            Difference(worker.capacity_, view.used_),
                            onWorker == peers.end() ? 0 : onWorker->second) ==
               PlacementObstacle::None &&
             !IsOrderInFlight(worker.vm_);
    });
  return found == views_.end() ? 0 : found->first;
}

// An order without an answer may still be carried out and end the tasks that
// the worker gets now, which then start again elsewhere.
void
Scheduler::EndEvacuation(std::uint32_t aWorker,
                         std::string_view aReason,
                         MonotonicTime aNow)
{
  auto& view = views_.at(aWorker);
  const auto& worker = *state_.FindWorker(aWorker);
  LogInfo("a worker that was emptied gets tasks again",
          { { "worker", worker.id_ },
            { "vm", worker.vm_ },
            { "pool", worker.pool_ },
            { "runs", view.runs_.size() },
            { "idle_ms", (aNow - view.idleSince_.value_or(aNow)).count() },
            { "reason", aReason } });
  view.evacuating_ = false;
  view.idleSince_.reset();
  moves_.erase(worker.vm_);
  if (const auto vm = vms_.find(worker.vm_); vm != vms_.end()) {
    vm->second.noMoveBefore_ =
      std::max(vm->second.noMoveBefore_, aNow + kOrderPause);
    vm->second.noUpkeepBefore_ = aNow + kOrderPause;
  }
  placementDue_ = true;
}

} // namespace acaciahill
