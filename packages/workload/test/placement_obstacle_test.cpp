#include "workload/placement_obstacle_func.h"

#include <catch2/catch.hpp>

using namespace acaciahill;

namespace {

constexpr MonotonicTime kNow{ Millis(100000) };

} // namespace

// Guards against a wait whose reason the log does not name (issue 39).
TEST_CASE("a worker out of use names its obstacle")
{
  struct Row
  {
    PlacementObstacle obstacle_;
    bool confirmed_;
    int missedRenewals_;
    bool draining_;
    bool evacuating_;
    MonotonicTime avoidUntil_;
  };
  using enum PlacementObstacle;
  const auto row =
    GENERATE(Row{ None, true, 0, false, false, {} },
             Row{ None, true, 0, false, false, kNow },
             Row{ Unconfirmed, false, 0, false, false, kNow + Millis(1) },
             Row{ Silent, true, 1, true, true, {} },
             Row{ Silent, false, 1, false, false, {} },
             Row{ Draining, false, 0, true, true, {} },
             Row{ Evacuating, false, 0, false, true, kNow + Millis(1) },
             Row{ Avoided, true, 0, false, false, kNow + Millis(1) });
  WorkerEntry worker;
  worker.draining_ = row.draining_;
  WorkerView view;
  view.confirmed_ = row.confirmed_;
  view.missedRenewals_ = row.missedRenewals_;
  view.evacuating_ = row.evacuating_;
  view.avoidUntil_ = row.avoidUntil_;
  CHECK(ObstacleOfWorker(worker, view, kNow) == row.obstacle_);
}

// Guards against placement and the demand of pools that disagree about the
// workers a task may use (issue 39).
TEST_CASE("a worker in use names what keeps it from a step")
{
  struct Row
  {
    PlacementObstacle obstacle_;
    const char* label_;
    std::int64_t memoryMb_;
    std::uint32_t maxPerWorker_;
    std::uint32_t peers_;
  };
  using enum PlacementObstacle;
  // 1000 MB are left; short tasks hold 1000 MB and long-running ones 2000 MB.
  const auto row = GENERATE(Row{ None, "", 1000, 0, 5 },
                            Row{ None, "ssd", 1000, 2, 1 },
                            Row{ Label, "gpu", 5000, 1, 1 },
                            Row{ Size, "", 5000, 1, 1 },
                            Row{ Peers, "", 3000, 1, 1 },
                            Row{ Peers, "", 1000, 2, 2 },
                            Row{ ShortTasks, "", 2000, 1, 0 },
                            Row{ LongRunningTasks, "", 2001, 1, 0 });
  StepSpec step;
  step.label_ = row.label_;
  step.need_ = { 500, row.memoryMb_, 0 };
  step.maxPerWorker_ = row.maxPerWorker_;
  WorkerEntry worker;
  worker.labels_ = { "a", "ssd" };
  worker.capacity_ = { 4000, 4000, 0 };
  WorkerView view;
  RunView run;
  run.need_ = { 500, 1000, 0 };
  view.runs_[{ 1, 0, 0, 0 }] = run;
  run.need_ = { 500, 2000, 0 };
  run.isLongRunning_ = true;
  view.runs_[{ 2, 0, 0, 0 }] = run;
  const TaskNeed left{ 3000, 1000, 0 };
  CHECK(ObstacleOfStep(step, worker, view, left, row.peers_) == row.obstacle_);
}
