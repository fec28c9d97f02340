#include "workload/scheduler_base.h"

#include "kernel/log_func.h"
#include "workload/placement_obstacle_func.h"
#include "workload/workload_text_func.h"

#include <algorithm>
#include <vector>

// Room that is kept for tasks which find none now.

namespace acaciahill {

namespace {

// Deviations added to the learned mean run time for the expected end of a run.
// Too early an end delays the task behind it; too late a one keeps out tasks
// that would have ended in time.
constexpr double kEndDeviations = 1.0;
// A run that is longer than expected ends within this share of its run time.
constexpr std::int64_t kOverdueDivisor = 5;
// A reserved worker is kept for a task unless another one has room that much
// earlier.
constexpr Millis kKeepWorkerMargin{ 100 };
// A task may start that much later than expected: a run's end is learned with
// the next renewal.
constexpr Millis kKeptMargin{ 100 };
constexpr Millis kReservationLogInterval{ 1000 };
// Workers of which the ends of all runs are looked at for one task: those with
// the most cores free.
constexpr std::size_t kMaxExaminedWorkers = 16;

} // namespace

bool
Scheduler::LooksAhead() const
{
  return settings_.lookahead_ == Lookahead::On ||
         (settings_.lookahead_ == Lookahead::WithTenants &&
          config_.hasTenants_);
}

std::optional<Millis>
Scheduler::ExpectedRunTime(const std::string& aQueue) const
{
  const auto learned = demand_.LearnedRunTime(aQueue, kEndDeviations);
  return learned ? std::optional(Millis(static_cast<std::int64_t>(*learned)))
                 : std::nullopt;
}

// Ends follow from learned run times alone: estimates of customers are off by a
// factor, and long-running tasks do not end.
std::vector<ExpectedEnd>
Scheduler::ExpectedEndsOn(const WorkerView& aView, MonotonicTime aNow) const
{
  std::vector<ExpectedEnd> ends;
  for (const auto& [task, run] : aView.runs_) {
    const auto& queue = state_.FindJob(task.job_)->spec_.queue_;
    const auto runTime =
      run.isLongRunning_ ? std::nullopt : ExpectedRunTime(queue);
    if (runTime) {
      const auto overdue = aNow + *runTime / kOverdueDivisor;
      const auto end = run.since_ + *runTime;
      ends.push_back({ end > aNow ? end : overdue, ReservedBy(run) });
    }
  }
  return ends;
}

void
Scheduler::ReserveRoom(const ReadyStep& aReady,
                       const UsableWorkers& aWorkers,
                       RoomReservations& aReserved,
                       MonotonicTime aNow)
{
  const auto& job = *state_.FindJob(aReady.job_);
  const auto& step = StepOf(job, aReady.step_);
  if (aReserved.IsFull() || step.gang_) {
    return;
  }
  const auto& need = aReady.need_.perTask_;
  const auto peers =
    CountTasksByWorker(TasksOf(job, aReady.occurrence_, aReady.step_));
  const TaskKey key{ aReady.job_, aReady.occurrence_, aReady.step_, 0 };
  const auto reservedWorker = reservedSteps_.WorkerOf(key);
  std::vector<const UsableWorker*> candidates;
  for (const auto& worker : aWorkers) {
    const auto onWorker = peers.find(worker.number_);
    const auto obstacle =
      ObstacleOfStep(step,
                     *worker.entry_,
                     *worker.view_,
                     worker.left_,
                     onWorker == peers.end() ? 0 : onWorker->second);
    if (obstacle == PlacementObstacle::ShortTasks &&
        !aReserved.Has(worker.number_)) {
      candidates.push_back(&worker);
    }
  }
  const auto examined = std::min(candidates.size(), kMaxExaminedWorkers);
  std::partial_sort(candidates.begin(),
                    candidates.begin() + static_cast<std::ptrdiff_t>(examined),
                    candidates.end(),
                    [](const auto* aOne, const auto* aTwo) {
                      return aOne->left_.milliCores_ > aTwo->left_.milliCores_;
                    });
  candidates.resize(examined);
  const UsableWorker* best = nullptr;
  std::optional<FutureRoom> bestRoom;
  for (const auto* worker : candidates) {
    auto room = EarliestRoom(
      need, worker->left_, ExpectedEndsOn(*worker->view_, aNow), aNow);
    if (room && worker->number_ == reservedWorker) {
      room->at_ = std::max(aNow, room->at_ - kKeepWorkerMargin);
    }
    if (room && (!bestRoom || room->at_ < bestRoom->at_)) {
      bestRoom = room;
      best = worker;
    }
  }
  if (best == nullptr) {
    return;
  }
  aReserved.Add(best->number_, need, *bestRoom);
  const bool isNew =
    reservedSteps_.Set(key, best->number_, bestRoom->at_ + kKeptMargin);
  if (isNew && aNow - reservationLoggedAt_ >= kReservationLogInterval) {
    reservationLoggedAt_ = aNow;
    const auto& counts = reservedSteps_.Counts();
    LogInfo("room is kept for a waiting task",
            { { "task", TaskText(key) },
              { "worker", best->entry_->id_ },
              { "in_ms", (bestRoom->at_ - aNow).count() },
              { "milli_cores", need.milliCores_ },
              { "memory_mb", need.memoryMb_ },
              { "free_milli_cores", best->left_.milliCores_ },
              { "made", counts.made_ },
              { "kept", counts.kept_ },
              { "missed", counts.missed_ } });
  }
}

} // namespace acaciahill
