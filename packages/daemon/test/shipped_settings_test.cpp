#include "daemon/workload_settings_type.h"

#include "kernel/error_func.h"
#include "workload/test/returned_worker.h"

#include <Poco/TemporaryFile.h>

#include <catch2/catch.hpp>

#include <fstream>
#include <string>

using namespace acaciahill;
using namespace acaciahill::test;

namespace {

/// The settings of deploy/settings.ini without the lines that the platform
/// fills in, but for those that a node needs.
WorkloadSettings
ShippedSettings()
{
  const Poco::TemporaryFile file;
  {
    std::ifstream in(ACACIAHILL_SETTINGS_TEMPLATE);
    std::ofstream out(file.path());
    REQUIRE(in);
    for (std::string line; std::getline(in, line);) {
      if (line.find("{{") == std::string::npos) {
        out << line << '\n';
      }
      if (line == "[node]") {
        out << "id = 127.0.0.1\nzone = z\nrole = control\ndata_dir = d\n";
      } else if (line == "[listen]") {
        out << "control = 127.0.0.1:1\npeers = 127.0.0.1:2\n"
               "internal = 127.0.0.1:3\nmetrics = 127.0.0.1:4\n";
      } else if (line == "[cluster]") {
        out << "seeds = 127.0.0.1:1\n";
      }
    }
  }
  const auto loaded = LoadWorkloadSettings(file.path());
  if (!IsOk(loaded)) {
    FAIL(ErrorOf(loaded).detail_);
  }
  return ValueOf(loaded);
}

} // namespace

// Guards against two runs of a task at once (TWICE, review/12): with the
// settings that are deployed the start order that got no answer was taken for
// lost 2 s later, and the task was started elsewhere 0.2 s before the worker
// was back and carried it out.
TEST_CASE("the deployed settings outlast a late start on a returned worker")
{
  constexpr std::int64_t kClockMs = 5000;
  constexpr Millis kRunTime{ 2700 };
  constexpr Millis kDarkTime{ 4400 };
  ReturnedWorker test(ShippedSettings().scheduler_);
  test.LoseFirstStart();
  test.AnswerLastStart(OrderOutcome::Taken, kClockMs);
  test.AnswerRenewalsFor(kRunTime, 1, { test.FirstRun() });
  for (const auto until = test.Now() + kDarkTime; test.Now() < until;) {
    test.LoseRenewalsOf("w");
    test.RunFor(Scheduler::kTick);
  }
  CHECK_FALSE(test.IsStartedElsewhere());

  test.Report("w", 2);
  test.RunFor(Scheduler::kTick);
  test.AnswerRenewalsOf("w", 2, { test.FirstRun() });
  test.RunFor(Millis(1000));
  CHECK_FALSE(test.IsStartedElsewhere());
  CHECK(test.Stops() == 0);
}
