#include "support/cluster_fixture.h"
#include "support/history.h"
#include "support/load_generator.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <fstream>
#include <thread>

using namespace acaciahill;
using namespace acaciahill::testing;
using namespace std::chrono_literals;

namespace {

constexpr Millis kStartLimit{ 20000 };
constexpr int kTargets = 6;
constexpr std::uint64_t kSeed = 7;

void
StartTargets(Cluster& aCluster)
{
  for (int i = 0; i < kTargets; ++i) {
    ClusterTarget target;
    target.id_ = "vm-" + std::to_string(i + 1);
    target.zone_ = "z" + std::to_string(i % 3 + 1);
    target.rack_ = "r" + std::to_string(i + 1);
    target.arguments_ = { "--seed", std::to_string(i + 1) };
    aCluster.StartTarget(target);
  }
}

void
ApplyTable(const Cluster& aCluster)
{
  const auto path = aCluster.Folder() + "/pools.csv";
  std::ofstream(path) << "# version: 0\n"
                         "pool,weight,size,min_available,max_unavailable\n"
                         "rota,100,3,1,1\n"
                         "receipts,100,3,1,1\n";
  const auto applied = aCluster.RunClient({ "apply", path, "--wait" });
  INFO(applied.output_);
  REQUIRE(applied.exitCode_ == 0);
}

/// Makes targets fail in turn, and kills and restarts an entry node, while a
/// load runs.
void
InjectFaults(Cluster& aCluster)
{
  aCluster.ControlTarget("vm-1", { { "close_after", 5 } });
  aCluster.ControlTarget("vm-2", { { "truncate", 5 } });
  aCluster.ControlTarget("vm-3", { { "refuse", 5 } });
  std::this_thread::sleep_for(2s);
  aCluster.ControlTarget("vm-4", { { "close_before", 5 } });
  aCluster.ControlTarget("vm-5", { { "twice", 5 } });
  aCluster.ControlTarget("vm-6", { { "malformed", 5 } });
  std::this_thread::sleep_for(2s);
  for (int i = 0; i < kTargets; ++i) {
    aCluster.ControlTarget("vm-" + std::to_string(i + 1),
                           { { "silence_open", true } });
  }
  std::this_thread::sleep_for(2s);
  aCluster.Node("n2").process_->Kill();
  std::this_thread::sleep_for(2s);
  aCluster.StartNode("n2");
  aCluster.TargetProcess("vm-1").Kill();
}

} // namespace

// Guards the promises to callers (own whole answer, refused means not run, at
// most once, one pool for each VM) while targets fail in each way they can and
// an entry node is killed.
TEST_CASE("a load under faults keeps the promises to callers")
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
  load.pools_ = { "rota", "receipts" };
  load.rate_ = 150;
  load.duration_ = 12s;
  load.postPercent_ = 60;
  load.seed_ = kSeed;
  HistoryRecorder recorder;
  LoadReport report;
  std::jthread loader([&] { report = RunLoad(load, recorder); });
  InjectFaults(cluster);
  loader.join();

  const auto operations = recorder.Operations();
  const auto runs = cluster.TargetRuns();
  INFO(ToJson(report).dump() << " seed " << kSeed);
  CHECK(Describe(CheckOwnAnswers(operations)).empty());
  CHECK(Describe(CheckNotRun(operations, runs)).empty());
  CHECK(Describe(CheckAtMostOnce(operations, runs)).empty());
  CHECK(Describe(CheckOnePool(AssignmentsOf(runs), runs)).empty());
  // A load that hardly reached the targets would show nothing.
  CHECK(report.answered_ > report.sent_ / 2);
  CHECK(report.unknown_ > 0);
  CHECK(report.refused_ > 0);
}
