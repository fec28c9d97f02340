#pragma once

#include "workload/worker_view_type.h"
#include "workload/workload_type.h"

#include <cstdint>
#include <string_view>

namespace acaciahill {

/// What keeps a waiting task from a worker of its pool.
enum class PlacementObstacle : std::uint8_t
{
  None,
  // The worker gets no tasks now.
  Silent, ///< It does not answer, or was replaced by a new incarnation.
  Draining,
  Evacuating,  ///< It is emptied for maintenance or a move.
  Unconfirmed, ///< It has not answered this leader yet.
  Avoided,     ///< It failed or refused tasks a short time ago.
  // The worker does not suit the step.
  Label,
  Size,  ///< The task does not fit on it even when it is empty.
  Peers, ///< The step's limit per worker is reached.
  // The room is held by others.
  LongRunningTasks, ///< Long-running tasks hold it for an unlimited time.
  ShortTasks,       ///< It will be enough once short tasks have ended.
};

/// What keeps a worker from getting any task.
PlacementObstacle
ObstacleOfWorker(const WorkerEntry& aWorker,
                 const WorkerView& aView,
                 MonotonicTime aNow);

/// What keeps a worker that gets tasks from one more task of the step. aLeft is
/// the room that is not reserved, aPeers the step's tasks on the worker.
PlacementObstacle
ObstacleOfStep(const StepSpec& aStep,
               const WorkerEntry& aWorker,
               const WorkerView& aView,
               const TaskNeed& aLeft,
               std::uint32_t aPeers);

/// The room that will be left on a worker once its short tasks have ended.
TaskNeed
RoomBesideLongRunning(const WorkerView& aView, const TaskNeed& aLeft);

} // namespace acaciahill
