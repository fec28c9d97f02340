#include "workload/scheduler_base.h"

#include "workload/placement_obstacle_func.h"
#include "workload/workload_text_func.h"

#include <limits>

// Choice of the worker for a task.

namespace acaciahill {

namespace {

// A worker outside the rack of the data, or outside the rack of the step's
// other tasks, is chosen only when no other is free. Scores are in milli-cores.
constexpr std::int64_t kRackBonus = 2000;
// Long-running tasks of a step are spread over at least this many workers, so
// that the loss of one worker leaves most of them.
constexpr std::uint32_t kMinWorkersOfLasting = 3;
// Long-running tasks prefer workers that already have some, but not beyond an
// equal share of their step on one worker.
constexpr std::int64_t kNewWorkerPenalty = 500;
constexpr std::int64_t kCrowdedPenalty = 50000;
// Filler tasks avoid workers that run latency-bound or other filler tasks.
constexpr std::int64_t kContentionPenalty = 1000;

} // namespace

UsableWorker*
Scheduler::ChooseWorker(
  const StepSpec& aStep,
  UsableWorkers& aWorkers,
  const std::map<std::uint32_t, std::uint32_t>& aTasksByWorker,
  const RoomReservations& aReserved,
  MonotonicTime aEndsAt) const
{
  const auto need = ReservedBy(aStep.need_, aStep.usesSpareCores_);
  const auto* peer = aTasksByWorker.empty()
                       ? nullptr
                       : state_.FindWorker(aTasksByWorker.begin()->first);
  examinedWorkers_ += aWorkers.size();
  UsableWorker* best = nullptr;
  auto bestScore = std::numeric_limits<std::int64_t>::min();
  for (auto& candidate : aWorkers) {
    const auto& left = candidate.left_;
    if (!Fits(need, left)) {
      continue;
    }
    const auto number = candidate.number_;
    const auto& worker = *candidate.entry_;
    const auto onWorker = aTasksByWorker.find(number);
    const auto count = onWorker == aTasksByWorker.end() ? 0 : onWorker->second;
    if (ObstacleOfStep(aStep, worker, *candidate.view_, left, count) !=
          PlacementObstacle::None ||
        !aReserved.Allows(number, need, aEndsAt)) {
      continue;
    }
    // Best fit: the fullest worker with room, so that empty VMs can be moved or
    // switched off. Long-running tasks share a few workers and leave the others
    // free.
    auto score = -left.milliCores_;
    if (aStep.isLongRunning_) {
      score = HasLongRunningTask(*candidate.view_) ? 0 : -kNewWorkerPenalty;
      const auto share =
        (aStep.tasks_ + kMinWorkersOfLasting - 1) / kMinWorkersOfLasting;
      score -= count >= share ? kCrowdedPenalty : 0;
    }
    if (!aStep.dataRack_.empty() && worker.rack_ == aStep.dataRack_) {
      score += kRackBonus * 100;
    }
    if (aStep.sameRack_ && peer != nullptr && peer->rack_ == worker.rack_) {
      score += kRackBonus * 10;
    }
    if (aStep.usesSpareCores_) {
      for (const auto& [task, run] : candidate.view_->runs_) {
        score -=
          run.targetMs_ > 0 || run.usesSpareCores_ ? kContentionPenalty : 0;
      }
    }
    if (score > bestScore) {
      bestScore = score;
      best = &candidate;
    }
  }
  return best;
}

void
Scheduler::Assign(const TaskKey& aTask,
                  std::uint32_t aRun,
                  UsableWorker& aWorker,
                  const StepSpec& aStep,
                  MonotonicTime aNow)
{
  RunView run;
  run.run_ = aRun;
  run.since_ = aNow;
  run.assignedAt_ = aNow;
  run.need_ = aStep.need_;
  run.isLongRunning_ = aStep.isLongRunning_;
  run.usesSpareCores_ = aStep.usesSpareCores_;
  run.targetMs_ = aStep.targetMs_;
  const auto reserved = ReservedBy(run);
  aWorker.left_ = Difference(aWorker.left_, reserved);
  auto& view = views_.at(aWorker.number_);
  view.used_ = Sum(view.used_, reserved);
  tenantUsage_.Add(state_.FindJob(aTask.job_)->spec_.tenant_, run.need_);
  view.runs_.insert_or_assign(aTask, run);
  Decide(RunAssigned{ aTask, aRun, aWorker.number_ }, aNow);
  if (run.isLongRunning_) {
    const auto wait = waitingSince_.find(aTask);
    WatchTask(aTask, wait == waitingSince_.end() ? aNow : wait->second);
  }
  ReportEndOfWait(aTask, aWorker, aNow);
  reservedSteps_.NoteStart(aTask, aNow);
  nextEffects_.starts_.push_back({ aTask, aRun, aWorker.number_ });
}

} // namespace acaciahill
