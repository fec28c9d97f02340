#include "workload/scheduler_base.h"

#include "workload/placement_obstacle_func.h"
#include "workload/workload_text_func.h"

#include <algorithm>

// Waiting tasks that find no room: workers kept for long-running tasks, and
// workers that a pool lacks though it has free cores.

namespace acaciahill {

namespace {

// Workers that a pool asks for at once for tasks that find no room although
// most cores are free. They are few: most of these tasks are large.
constexpr std::size_t kMaxStrandedWorkers = 4;
// Idle workers that suit no waiting long-running task, while VMs are asked for.
constexpr std::size_t kMaxUnsuitedWorkers = 4;

} // namespace

Scheduler::UsableWorkers::iterator
Scheduler::FindWorkerToReserve(const ReadyStep& aReady,
                               UsableWorkers& aWorkers) const
{
  const auto& job = *state_.FindJob(aReady.job_);
  const auto& step = StepOf(job, aReady.step_);
  const auto tasksByWorker =
    CountTasksByWorker(TasksOf(job, aReady.occurrence_, aReady.step_));
  auto best = aWorkers.end();
  for (auto worker = aWorkers.begin(); worker != aWorkers.end(); ++worker) {
    const auto onWorker = tasksByWorker.find(worker->number_);
    const auto count = onWorker == tasksByWorker.end() ? 0 : onWorker->second;
    const bool isBetter = best == aWorkers.end() ||
                          worker->left_.milliCores_ > best->left_.milliCores_;
    if (!isBetter) {
      continue;
    }
    const auto obstacle = ObstacleOfStep(
      step, *worker->entry_, *worker->view_, worker->left_, count);
    if (obstacle == PlacementObstacle::None ||
        obstacle == PlacementObstacle::ShortTasks) {
      best = worker;
    }
  }
  return best;
}

// Short tasks are smaller than most long-running ones: in a full pool they
// would take all room that becomes free before it is enough for those. At least
// half of the workers are left to them, as the wait may be long.
void
Scheduler::ReserveForLongRunning(const std::set<ReadyStep>& aReady,
                                 UsableWorkers& aWorkers) const
{
  auto reservable = aWorkers.size() / 2;
  for (const auto& step : aReady) {
    if (reservable == 0) {
      return;
    }
    const auto* job = step.isLongRunning_ ? state_.FindJob(step.job_) : nullptr;
    if (job == nullptr || IsOver(job->phase_)) {
      continue;
    }
    const auto worker = FindWorkerToReserve(step, aWorkers);
    if (worker != aWorkers.end()) {
      aWorkers.erase(worker);
      --reservable;
    }
  }
}

std::map<std::string, Scheduler::TasksToPlace>
Scheduler::LongRunningTasksToPlace() const
{
  std::map<std::string, TasksToPlace> pools;
  for (const auto& [pool, ready] : ready_) {
    for (const auto& step : ready) {
      const auto* job =
        step.isLongRunning_ ? state_.FindJob(step.job_) : nullptr;
      if (job == nullptr || IsOver(job->phase_)) {
        continue;
      }
      const auto& tasks = TasksOf(*job, step.occurrence_, step.step_);
      pools[pool][{ step.job_, step.occurrence_, step.step_, 0 }] +=
        static_cast<std::uint32_t>(
          std::count_if(tasks.begin(), tasks.end(), [](const auto& aTask) {
            return aTask.state_ == TaskState::Waiting;
          }));
    }
  }
  for (const auto& [number, view] : views_) {
    const auto& worker = *state_.FindWorker(number);
    if (!worker.draining_ && !view.evacuating_) {
      continue;
    }
    for (const auto& [task, run] : view.runs_) {
      if (run.isLongRunning_ && !IsOver(state_.FindJob(task.job_)->phase_)) {
        ++pools[worker.pool_][{ task.job_, task.occurrence_, task.step_, 0 }];
      }
    }
  }
  return pools;
}

std::size_t
Scheduler::RequiredSpread(const TasksToPlace& aTasks) const
{
  std::size_t spread = 0;
  for (const auto& [first, count] : aTasks) {
    const auto& step = StepOf(*state_.FindJob(first.job_), first.step_);
    if (step.maxPerWorker_ > 0) {
      spread = std::max<std::size_t>(
        spread, (step.tasks_ + step.maxPerWorker_ - 1) / step.maxPerWorker_);
    }
  }
  return spread;
}

Scheduler::UsableWorkers
Scheduler::WorkersWithRoomLater(const std::string& aPool,
                                MonotonicTime aNow) const
{
  UsableWorkers workers;
  for (const auto& [number, view] : views_) {
    const auto& worker = *state_.FindWorker(number);
    if (worker.pool_ != aPool) {
      continue;
    }
    const auto obstacle = ObstacleOfWorker(worker, view, aNow + kVmArrival);
    if (obstacle == PlacementObstacle::None ||
        obstacle == PlacementObstacle::Unconfirmed) {
      const auto left = Difference(worker.capacity_, view.used_);
      workers.push_back(
        { RoomBesideLongRunning(view, left), number, &worker, &view });
    }
  }
  return workers;
}

// Placement looks at the limit per worker, labels and sizes; so does this, so
// that a task which no worker may run is not left to the other demand.
std::size_t
Scheduler::WorkersForLongRunning(const std::string& aPool,
                                 const TasksToPlace& aTasks,
                                 std::size_t aSupply,
                                 MonotonicTime aNow) const
{
  auto workers = WorkersWithRoomLater(aPool, aNow);
  const auto present = workers.size();
  // A VM to be moved is taken to be as large as the workers are.
  WorkerEntry added;
  std::set<std::uint32_t> unused;
  for (const auto& worker : workers) {
    added.capacity_ = Maximum(added.capacity_, worker.entry_->capacity_);
    if (worker.view_->runs_.empty()) {
      unused.insert(worker.number_);
    }
  }
  const WorkerView addedView;
  for (const auto& [first, count] : aTasks) {
    const auto& job = *state_.FindJob(first.job_);
    const auto& step = StepOf(job, first.step_);
    const auto need = ReservedBy(step.need_, step.usesSpareCores_);
    const auto peers =
      CountTasksByWorker(TasksOf(job, first.occurrence_, first.step_));
    auto left = count;
    const auto placeOn = [&](UsableWorker& aWorker) {
      const auto onWorker = peers.find(aWorker.number_);
      auto peersThere = onWorker == peers.end() ? 0 : onWorker->second;
      while (left > 0 &&
             ObstacleOfStep(
               step, *aWorker.entry_, addedView, aWorker.left_, peersThere) ==
               PlacementObstacle::None) {
        aWorker.left_ = Difference(aWorker.left_, need);
        unused.erase(aWorker.number_);
        ++peersThere;
        --left;
      }
    };
    std::for_each(workers.begin(), workers.end(), placeOn);
    while (left > 0 &&
           ObstacleOfStep(step, added, addedView, added.capacity_, 0) ==
             PlacementObstacle::None) {
      workers.push_back({ added.capacity_, 0, &added, &addedView });
      placeOn(workers.back());
    }
  }
  // An idle worker that suits none of the tasks does not stand for a VM. Some
  // of them are enough to tell that VMs of another size do not come.
  const auto missing = workers.size() - present;
  const auto unsuited =
    missing > 0 ? std::min(unused.size(), kMaxUnsuitedWorkers) : 0;
  return aSupply - unused.size() + unsuited + missing;
}

// Long-running tasks may leave cores free on each worker but too little memory
// for a waiting task. The demand in cores does not show that.
std::size_t
Scheduler::CountStrandedWorkers(const std::string& aPool,
                                const UsableWorkers& aWorkers) const
{
  const auto ready = ready_.find(aPool);
  if (ready == ready_.end() || ready->second.empty()) {
    return 0;
  }
  std::int64_t freeMilliCores = 0;
  std::int64_t milliCores = 0;
  TaskNeed largest;
  for (const auto& worker : aWorkers) {
    const auto& capacity = worker.entry_->capacity_;
    freeMilliCores += worker.left_.milliCores_;
    milliCores += capacity.milliCores_;
    largest = Maximum(largest, capacity);
  }
  if (2 * freeMilliCores < milliCores) {
    // Room comes as tasks end.
    return 0;
  }
  const auto isStranded = [&](const ReadyStep& aStep) {
    const auto* job = state_.FindJob(aStep.job_);
    const auto& need = aStep.need_;
    return job != nullptr && !IsOver(job->phase_) && need.label_.empty() &&
           Fits(need.perTask_, largest) &&
           std::none_of(
             aWorkers.begin(), aWorkers.end(), [&need](const auto& aWorker) {
               return Fits(need.perTask_, aWorker.left_);
             });
  };
  std::size_t stranded = 0;
  for (auto step = ready->second.begin();
       step != ready->second.end() && stranded < kMaxStrandedWorkers;
       ++step) {
    stranded += isStranded(*step) ? 1 : 0;
  }
  return stranded;
}

} // namespace acaciahill
