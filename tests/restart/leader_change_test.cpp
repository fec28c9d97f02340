#include "restart_scene.h"

#include <catch2/catch.hpp>

using namespace acaciahill;
using namespace acaciahill::testing;

// Guards against two runs of a task at once after a worker has returned under
// its old id while the leader changed: the starts that the new incarnation
// carries out were sent by the former leader.
TEST_CASE("a task runs once although its worker and the leader crash")
{
  const std::vector<SceneOptions> rows{
    { "restart, answers, stays",
      CallsAtCrash::Late,
      Millis(0),
      Millis(0),
      NoCut{},
      1,
      Millis(300) },
    { "restart, cut off 1 s after it is back, before it has registered",
      CallsAtCrash::Late,
      Millis(0),
      Millis(1500),
      CutAfter{ Millis(1000) },
      1,
      Millis(300) },
    { "restart, registers and answers, then cut off for 9 s",
      CallsAtCrash::Late,
      Millis(0),
      Millis(0),
      CutAfter{ Millis(2000) },
      1,
      Millis(1600) },
    { "restart, cut off once it has answered, before runs are stopped",
      CallsAtCrash::Late,
      Millis(0),
      Millis(0),
      CutAfterAnswer{},
      1,
      Millis(300) },
    { "a start held back for the former life is carried out by the next one",
      CallsAtCrash::HeldBack,
      Millis(150),
      Millis(300),
      NoCut{},
      1,
      Millis(300) },
    { "a start held back is carried out by a life that is cut off at once",
      CallsAtCrash::HeldBack,
      Millis(150),
      Millis(0),
      CutFromStart{},
      1,
      Millis(300) },
    { "a start held back is carried out by a life that is cut off until its "
      "lease has lapsed",
      CallsAtCrash::HeldBack,
      Millis(150),
      Millis(0),
      CutFromStart{ Millis(14000) },
      1,
      Millis(300) },
    { "a second crash 1 s after the first return, then cut off at once",
      CallsAtCrash::HeldBack,
      Millis(150),
      Millis(0),
      CutFromStart{},
      2,
      Millis(300) },
    { "restart, calls at the crash are lost",
      CallsAtCrash::Lost,
      Millis(0),
      Millis(0),
      NoCut{},
      1,
      Millis(300) },
  };
  for (const auto& result : PlayScenes(rows, SceneSeed())) {
    INFO(SceneText(result));
    CHECK(result.repeatedRuns_.empty());
    CHECK(result.jobs_ > 0);
    CHECK(result.unfinishedJobs_ == 0);
    CHECK(result.allNodesRun_);
  }
}
