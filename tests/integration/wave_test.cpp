#include "support/cluster_fixture.h"
#include "support/history.h"
#include "support/load_generator.h"
#include "support/vm_watcher.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <fstream>
#include <thread>

using namespace acaciahill;
using namespace acaciahill::testing;
using namespace std::chrono_literals;

namespace {

constexpr Millis kStartLimit{ 20000 };
/// Four VMs one after another, each with a drain, a reboot and a return; the
/// drain alone may take the routing lease of 5 s and its margin.
constexpr Millis kWaveLimit{ 120000 };
/// A leaving target receives no new work "after a few seconds".
constexpr Millis kNoNewWorkLimit{ 5000 };
constexpr int kTargets = 4;
constexpr std::uint64_t kSeed = 11;

void
StartTargets(Cluster& aCluster)
{
  for (int i = 0; i < kTargets; ++i) {
    ClusterTarget target;
    target.id_ = "vm-" + std::to_string(i + 1);
    target.zone_ = "z" + std::to_string(i % 3 + 1);
    target.rack_ = "r" + std::to_string(i + 1);
    target.arguments_ = {
      "--seed", std::to_string(i + 1), "--service-ms", "20"
    };
    aCluster.StartTarget(target);
  }
}

void
ApplyTable(const Cluster& aCluster)
{
  const auto path = aCluster.Folder() + "/pools.csv";
  std::ofstream(path) << "# version: 0\n"
                         "pool,weight,size,min_available,max_unavailable\n"
                         "rota,100,4,2,1\n";
  const auto applied = aCluster.RunClient({ "apply", path, "--wait" });
  INFO(applied.output_);
  REQUIRE(applied.exitCode_ == 0);
}

} // namespace

// Guards a maintenance wave under load: every VM is rebooted once, within the
// availability budget, without an interrupted request and without new work on a
// leaving target.
TEST_CASE("a wave reboots each VM once and interrupts nothing")
{
  Cluster cluster({});
  cluster.StartAll();
  cluster.WaitReady(kStartLimit);
  ApplyTable(cluster);
  StartTargets(cluster);
  LoadSettings load;
  for (const auto& node : cluster.NodeIds()) {
    cluster.WaitUsable(node, kTargets, kStartLimit);
    load.entries_.push_back(cluster.Node(node).callers_);
  }
  load.pools_ = { "rota" };
  load.rate_ = 60;
  load.duration_ = 30s;
  load.seed_ = kSeed;
  HistoryRecorder recorder;
  LoadReport report;
  VmWatcher watcher(cluster, "n1");
  std::jthread loader([&] { report = RunLoad(load, recorder); });

  const auto begin = MonotonicNs();
  const auto started = cluster.RunClient({ "wave", "start", "w1", "--wait" });
  INFO(started.output_);
  REQUIRE(started.exitCode_ == 0);
  cluster.Require("the wave completed", kWaveLimit, [&] {
    const auto wave = cluster.AdminGet("n1", "/v1/waves/w1");
    return wave.is_object() && wave.value("phase", "") == "completed";
  });
  const auto tookMs = (MonotonicNs() - begin) / 1000000;
  loader.join();
  watcher.Stop();

  const auto operations = recorder.Operations();
  const auto runs = cluster.TargetRuns();
  const auto stops = ReadStops(cluster.PlatformJournal());
  INFO(ToJson(report).dump() << " wave ms " << tookMs << " seed " << kSeed);
  CHECK(stops.size() == kTargets);
  CHECK(Describe(CheckGracefulStops(stops, runs)).empty());
  CHECK(
    Describe(CheckNoNewWork(runs, watcher.Drains(), kNoNewWorkLimit)).empty());
  CHECK(
    Describe(CheckBudgets(PeriodsOf(watcher), { { "rota", kTargets, 2, 1 } }))
      .empty());
  CHECK(Describe(CheckOnePool(watcher.Seen(), runs)).empty());
  CHECK(Describe(CheckOwnAnswers(operations)).empty());
  CHECK(Describe(CheckNotRun(operations, runs)).empty());
  CHECK(Describe(CheckAtMostOnce(operations, runs)).empty());
  CHECK(report.unknown_ == 0);
}
