#include "restart_scene.h"

#include <catch2/catch.hpp>

using namespace acaciahill;
using namespace acaciahill::testing;

// Guards against two runs of a task at once after a start order that was on its
// way for long: the former incarnation would have refused it for its fence, so
// that the task was started elsewhere, but the next one knows no fence.
TEST_CASE("a task runs once although a start arrives after a newer fence")
{
  const std::vector<SceneOptions> rows{
    { "held back for 1.6 s, carried out by the next life, which stays",
      CallsAtCrash::HeldBack,
      Millis(1000),
      Millis(0),
      NoCut{},
      1,
      std::nullopt },
    { "held back for 1.6 s, carried out by a life that is cut off at once",
      CallsAtCrash::HeldBack,
      Millis(1000),
      Millis(0),
      CutFromStart{},
      1,
      std::nullopt },
  };
  for (const auto& result : PlayScenes(rows, SceneSeed())) {
    INFO(SceneText(result));
    CHECK(result.repeatedRuns_.empty());
    CHECK(result.jobs_ > 0);
    CHECK(result.unfinishedJobs_ == 0);
    CHECK(result.allNodesRun_);
  }
}
