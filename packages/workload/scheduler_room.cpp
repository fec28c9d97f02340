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

} // namespace

Scheduler::UsableWorkers::iterator
Scheduler::FindWorkerToReserve(const ReadyStep& aReady,
                               UsableWorkers& aWorkers) const
{
  const auto& job = *state_.FindJob(aReady.job_);
  const auto& step = job.spec_.steps_[aReady.step_];
  const auto tasksByWorker = CountTasksByWorker(
    job.occurrences_.at(aReady.occurrence_).steps_[aReady.step_]);
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
    largest = { std::max(largest.milliCores_, capacity.milliCores_),
                std::max(largest.memoryMb_, capacity.memoryMb_),
                std::max(largest.accelerators_, capacity.accelerators_) };
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
