#include "support/fake_target.h"
#include "support/load_generator.h"
#include "support/process_harness.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>

using namespace acaciahill;
using namespace acaciahill::testing;
using namespace std::chrono_literals;

namespace {

LoadSettings
MakeSettings(const std::string& aEntry)
{
  LoadSettings settings;
  settings.entries_ = { aEntry };
  settings.pools_ = { "rota", "gifts" };
  settings.rate_ = 200;
  settings.duration_ = 1000ms;
  settings.threads_ = 32;
  return settings;
}

} // namespace

// Guards against runs of one seed that cannot be compared.
TEST_CASE("the same seed gives the same plan")
{
  auto settings = MakeSettings("127.0.0.1:1");
  const auto plan = PlanLoad(settings);
  CHECK(plan == PlanLoad(settings));
  settings.seed_ = 2;
  CHECK_FALSE(plan == PlanLoad(settings));
}

// Guards against a burst that is no burst: bounds of four standard deviations
// around five times and a twentieth of 100 requests per second and pool.
TEST_CASE("bursts take turns between the pools")
{
  auto settings = MakeSettings("127.0.0.1:1");
  settings.duration_ = 20s;
  settings.burst_ = 5s;
  const auto plan = PlanLoad(settings);
  const auto count = [&](const std::string& aPool, int aTurn) {
    return std::count_if(
      plan.begin(), plan.end(), [&](const PlannedRequest& aRequest) {
        return aRequest.pool_ == aPool && aRequest.atNs_ / 5'000'000'000 ==
                                            static_cast<std::uint64_t>(aTurn);
      });
  };
  CHECK(count("rota", 0) > 2300);
  CHECK(count("rota", 1) < 45);
  CHECK(count("gifts", 0) < 45);
  CHECK(count("gifts", 1) > 2300);
}

// Guards against counts that do not add up to what was sent.
TEST_CASE("a load is recorded and counted by outcome")
{
  TemporaryFolder folder;
  FakeTargetSettings target;
  target.journal_ = folder.Path() + "/journal";
  FakeTarget entry(target);
  entry.Control({ { "refuse", 20 }, { "close_after", 10 } });
  HistoryRecorder recorder;
  const auto settings = MakeSettings(entry.Address());
  const auto report = RunLoad(settings, recorder);
  const auto operations = recorder.Operations();
  INFO(ToJson(report).dump());
  CHECK(report.sent_ == static_cast<std::int64_t>(operations.size()));
  CHECK(report.sent_ == report.answered_ + report.refused_ + report.unknown_);
  CHECK(report.refused_ == 20);
  CHECK(report.unknown_ == 10);
  CHECK(report.p50Ms_ > 0);

  const auto runs = ReadRuns(target.journal_);
  CHECK(CheckOwnAnswers(operations).empty());
  CHECK(CheckNotRun(operations, runs).empty());
}

// Guards against a generator that takes a connection that was never made for
// one on which the request may have run.
TEST_CASE("a caller that cannot connect knows that nothing ran")
{
  const auto operation = SendPlanned(
    { 0, "c1", "rota", "POST", "", "x", {} }, FreeAddress(), "n", 100ms);
  CHECK(operation.outcome_ == "not-run");
}
