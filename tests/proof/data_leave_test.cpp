#include "proof/data_support.h"
#include "support/vm_watcher.h"

#include <chrono>
#include <iostream>
#include <thread>

using namespace acaciahill;
using namespace acaciahill::testing;
using namespace std::chrono_literals;

namespace {

constexpr int kTargets = 3;
constexpr std::uint64_t kSeed = 501;
/// "After a few seconds": routing lease of 5 s and margin of 1 s.
constexpr Millis kNoNewWorkLimit{ 6000 };
/// The time that a leaving VM stays reachable after the drain: longer than the
/// limit, so that late work would be seen.
constexpr Millis kStayTime{ 9000 };
constexpr Millis kDrainWait{ 15000 };
constexpr Millis kCutSettle{ 1500 };

} // namespace

// Guards promise 6 where it is hardest: an entry VM that no longer hears of the
// drain, has callers and open connections to the leaving target, and whose
// requests the target would execute.
TEST_CASE("a leaving target gets no new work, also from a cut-off entry")
{
  ClusterSettings settings;
  settings.nodes_ = 4;
  settings.proxies_ = PeerProxies::PerPair;
  // The platform stops the VM, and the VM stays away, after the time in which
  // late work would be seen.
  settings.reboot_ = 500ms;
  Cluster cluster(settings);
  cluster.StartAll();
  cluster.WaitReady(kStartLimit);
  const auto path = cluster.Folder() + "/pools.csv";
  std::ofstream(path) << "# version: 0\n"
                         "pool,weight,size,min_available,max_unavailable\n"
                         "rota,100,3,1,1\n";
  REQUIRE(cluster.RunClient({ "apply", path, "--wait" }).exitCode_ == 0);
  for (int i = 1; i <= kTargets; ++i) {
    ClusterTarget target;
    target.id_ = TargetName(i);
    target.zone_ = "z" + std::to_string(i);
    target.rack_ = "r" + std::to_string(i);
    // Never to n4, which is to hear of the drain from no announcement.
    target.announceTo_ = { "n" + std::to_string(i) };
    cluster.StartTarget(target);
    cluster.ControlTarget(target.id_, { { "check_epoch", false } });
  }
  LoadSettings load;
  for (const auto& node : cluster.NodeIds()) {
    cluster.WaitUsable(node, kTargets, kStartLimit);
    load.entries_.push_back(cluster.Node(node).callers_);
  }
  // Half of the load comes through the entry that is cut off.
  load.entries_.push_back(cluster.Node("n4").callers_);
  load.entries_.push_back(cluster.Node("n4").callers_);
  load.pools_ = { "rota" };
  load.rate_ = 120;
  load.duration_ = kCutSettle + kStayTime + 3s;
  load.keyedPercent_ = 0;
  load.seed_ = kSeed;
  HistoryRecorder recorder;
  LoadReport report;
  VmWatcher watcher(cluster, "n1");
  std::jthread loader([&] { report = RunLoad(load, recorder); });
  std::this_thread::sleep_for(kCutSettle);
  ProxyFaults cut;
  cut.cut_ = true;
  cluster.IsolateNode("n4", cut);
  const auto cutNs = MonotonicNs();
  const auto started = cluster.RunClient({ "wave", "start", "w1" });
  INFO(started.output_);
  REQUIRE(started.exitCode_ == 0);
  loader.join();
  watcher.Stop();
  cluster.IsolateNode("n4", {});

  const auto operations = recorder.Operations();
  const auto runs = cluster.TargetRuns();
  std::size_t cutServed = 0;
  for (const auto& operation : operations) {
    if (operation.entry_ == cluster.Node("n4").callers_ &&
        operation.outcome_ == "answered" && operation.beginNs_ > cutNs) {
      ++cutServed;
    }
  }
  std::cout << "leave: seed " << kSeed << " " << ToJson(report).dump()
            << " drains " << watcher.Drains().size()
            << " answered through the cut entry " << cutServed << '\n';
  REQUIRE_FALSE(watcher.Drains().empty());
  // The cut entry goes on serving from the targets that stay.
  CHECK(cutServed > 0);
  CHECK(Describe(CheckNoNewWork(runs, watcher.Drains(), kNoNewWorkLimit)) ==
        kNone);
  CHECK(Describe(CheckGracefulStops(ReadStops(cluster.PlatformJournal()),
                                    runs)) == kNone);
  CheckCallers(operations, runs);
}
