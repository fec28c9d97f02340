#include "workload/placement_obstacle_func.h"

#include "workload/workload_text_func.h"

#include <algorithm>

namespace acaciahill {

PlacementObstacle
ObstacleOfWorker(const WorkerEntry& aWorker,
                 const WorkerView& aView,
                 MonotonicTime aNow)
{
  if (aView.missedRenewals_ > 0 || aView.isSuperseded_) {
    return PlacementObstacle::Silent;
  }
  if (aWorker.draining_) {
    return PlacementObstacle::Draining;
  }
  if (aView.evacuating_) {
    return PlacementObstacle::Evacuating;
  }
  if (!aView.confirmed_) {
    return PlacementObstacle::Unconfirmed;
  }
  return aNow < aView.avoidUntil_ ? PlacementObstacle::Avoided
                                  : PlacementObstacle::None;
}

PlacementObstacle
ObstacleOfStep(const StepSpec& aStep,
               const WorkerEntry& aWorker,
               const WorkerView& aView,
               const TaskNeed& aLeft,
               std::uint32_t aPeers)
{
  const auto& labels = aWorker.labels_;
  if (!aStep.label_.empty() &&
      std::find(labels.begin(), labels.end(), aStep.label_) == labels.end()) {
    return PlacementObstacle::Label;
  }
  const auto need = ReservedBy(aStep.need_, aStep.usesSpareCores_);
  if (!Fits(need, aWorker.capacity_)) {
    return PlacementObstacle::Size;
  }
  if (aStep.maxPerWorker_ > 0 && aPeers >= aStep.maxPerWorker_) {
    return PlacementObstacle::Peers;
  }
  if (Fits(need, aLeft)) {
    return PlacementObstacle::None;
  }
  return Fits(need, RoomBesideLongRunning(aView, aLeft))
           ? PlacementObstacle::ShortTasks
           : PlacementObstacle::LongRunningTasks;
}

TaskNeed
RoomBesideLongRunning(const WorkerView& aView, const TaskNeed& aLeft)
{
  auto room = aLeft;
  for (const auto& [task, run] : aView.runs_) {
    if (!run.isLongRunning_) {
      room = Sum(room, ReservedBy(run));
    }
  }
  return room;
}

} // namespace acaciahill
