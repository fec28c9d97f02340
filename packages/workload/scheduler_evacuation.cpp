#include "workload/scheduler_base.h"

#include "kernel/log_func.h"
#include "workload/placement_obstacle_func.h"
#include "workload/workload_text_func.h"

#include <algorithm>

// Evacuations whose plan fails: the worker that a task is moved to is gone, or
// workers that were emptied for an order that does not come get tasks again.

namespace acaciahill {

namespace {

// An empty worker waits this long for its order: the VM before it in the wave
// is down for 2 s, and its return is seen in the next list.
constexpr Millis kMaxIdleEvacuation{ 4000 };
// Long-running tasks may leave one after the other, each when the one before it
// is ready elsewhere; a worker that none leaves for this time is not emptied.
constexpr Millis kMaxStuckEvacuation{ 10000 };
// A long-running task without another place waits this long for a worker that
// is being emptied: an order that is sent again may still take the VM down.
constexpr Millis kMaxWaitBesideEvacuation{ 2000 };
// Orders for a VM whose evacuation was ended are put off for this time.
constexpr Millis kOrderPause{ 2000 };

/// Some run of the worker is being stopped.
bool
IsBeingLeft(const WorkerView& aView)
{
  return std::any_of(
    aView.runs_.begin(), aView.runs_.end(), [](const auto& aEntry) {
      return aEntry.second.stopRequested_;
    });
}

} // namespace

// All of them give their rooms up before any gets another one: tasks of one
// step count each other's destinations.
void
Scheduler::ReplaceLostDestinations(MonotonicTime aNow)
{
  std::vector<std::pair<std::uint32_t, TaskKey>> lost;
  for (const auto number : unsettledWorkers_) {
    auto* view = FindView(number);
    if (view == nullptr) {
      continue;
    }
    for (auto& [task, run] : view->runs_) {
      if (run.destination_ != 0 && !views_.contains(run.destination_)) {
        run.destination_ = 0;
        lost.emplace_back(number, task);
      }
    }
  }
  if (lost.empty()) {
    return;
  }
  auto usable = FindUsableWorkers(aNow);
  for (const auto& [number, task] : lost) {
    if (IsOver(state_.FindJob(task.job_)->phase_)) {
      continue;
    }
    // A worker that is no longer emptied has room for its own task once that
    // has ended.
    const auto place = FindDestination(task, number, usable);
    auto& run = views_.at(number).runs_.at(task);
    run.destination_ = place == number ? 0 : place;
    const auto* destination = state_.FindWorker(run.destination_);
    LogInfo("the worker that a task was to move to is gone",
            { { "task", TaskText(task) },
              { "run", run.run_ },
              { "worker", state_.FindWorker(number)->id_ },
              { "to", destination == nullptr ? "" : destination->id_ } });
  }
}

bool
Scheduler::IsOrderExpected(const std::string& aVm) const
{
  const auto vm = vms_.find(aVm);
  const bool isOrdered =
    vm != vms_.end() && (vm->second.orderInFlight_ || vm->second.isDown_);
  return isOrdered || upkeepCandidates_.contains(aVm) || moves_.contains(aVm);
}

bool
Scheduler::MayBeGone(const std::string& aVm, const WorkerView& aView) const
{
  if (const auto vm = vms_.find(aVm); vm != vms_.end()) {
    const auto& order = vm->second;
    if (order.orderInFlight_ ||
        (order.isDown_ && aView.lastContactAt_ <= order.downSince_)) {
      return true;
    }
  }
  const auto move = moves_.find(aVm);
  return move != moves_.end() &&
         (move->second.isInFlight_ ||
          aView.lastContactAt_ <= move->second.requestedAt_);
}

void
Scheduler::EndEvacuations(MonotonicTime aNow)
{
  std::vector<std::uint32_t> evacuating;
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
    } else if (isIdle &&
               aNow - *view.idleSince_ >= (view.runs_.empty()
                                             ? kMaxIdleEvacuation
                                             : kMaxStuckEvacuation) &&
               !IsBeingLeft(view) && !MayBeGone(vm, view)) {
      EndEvacuation(number, "its order does not come", aNow);
    } else {
      evacuating.push_back(number);
    }
  }
  if (!evacuating.empty()) {
    GiveBackForWaitingTasks(evacuating, aNow);
  }
}

// A worker that is given back may have room for further tasks: only one of a
// pool is given back before the next placement.
void
Scheduler::GiveBackForWaitingTasks(
  const std::vector<std::uint32_t>& aEvacuating,
  MonotonicTime aNow)
{
  std::optional<TaskKey> tried;
  std::set<std::string> served;
  for (const auto& [task, since] : waitingSince_) {
    if ((tried && IsSameStep(*tried, task)) ||
        aNow - since < kMaxWaitBesideEvacuation) {
      continue;
    }
    tried = task;
    const auto* job = state_.FindJob(task.job_);
    const auto* entry = state_.FindTask(task);
    const auto queue = job == nullptr ? config_.queues_.end()
                                      : config_.queues_.find(job->spec_.queue_);
    if (queue == config_.queues_.end() || IsOver(job->phase_) ||
        entry == nullptr || entry->state_ != TaskState::Waiting ||
        served.contains(queue->second.pool_)) {
      continue;
    }
    const auto worker =
      FindEvacuatingWorkerFor(task, queue->second.pool_, aEvacuating, aNow);
    if (worker != 0) {
      EndEvacuation(worker, "a long-running task has no other place", aNow);
      served.insert(queue->second.pool_);
    }
  }
}

std::uint32_t
Scheduler::FindEvacuatingWorkerFor(
  const TaskKey& aTask,
  const std::string& aPool,
  const std::vector<std::uint32_t>& aEvacuating,
  MonotonicTime aNow) const
{
  const auto& job = *state_.FindJob(aTask.job_);
  const auto& step = StepOf(job, aTask.step_);
  const auto peers =
    CountTasksByWorker(TasksOf(job, aTask.occurrence_, aTask.step_));
  const auto hasPlace = [&](std::uint32_t aNumber) {
    const auto& view = views_.at(aNumber);
    const auto& worker = *state_.FindWorker(aNumber);
    // Tasks that are being stopped leave for an order that follows at once.
    if (worker.pool_ != aPool || IsBeingLeft(view) || !view.evacuating_ ||
        !view.confirmed_ || aNow < view.avoidUntil_ ||
        ObstacleOfWorker(worker, view, aNow) != PlacementObstacle::Evacuating ||
        MayBeGone(worker.vm_, view)) {
      return false;
    }
    const auto onWorker = peers.find(aNumber);
    return ObstacleOfStep(step,
                          worker,
                          view,
                          Difference(worker.capacity_, view.used_),
                          onWorker == peers.end() ? 0 : onWorker->second) ==
           PlacementObstacle::None;
  };
  const auto found =
    std::find_if(aEvacuating.begin(), aEvacuating.end(), hasPlace);
  return found == aEvacuating.end() ? 0 : *found;
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
