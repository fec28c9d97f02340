#include "proof/data_support.h"
#include "support/target_watcher.h"

#include <algorithm>
#include <chrono>
#include <iostream>
#include <map>
#include <thread>

using namespace acaciahill;
using namespace acaciahill::testing;
using namespace std::chrono_literals;

namespace {

constexpr int kTargets = 9;
constexpr std::uint64_t kSeed = 901;
/// Routing lease of 5 s and margin of 1 s, from the VM's acknowledgement.
constexpr Millis kNoNewWorkLimit{ 6000 };
/// A new leader waits 10 s and then 5 s before it begins moves, and a drain
/// takes the lease and its margin; the rest is left to an election, the change
/// of the table and a busy machine.
constexpr Millis kMoveWait{ 40000 };
/// Time for which a killed process stays away.
constexpr Millis kDownTime{ 2000 };
/// VMs that each change of the sizes moves.
constexpr int kMovesPerChange = 3;
constexpr std::uint64_t kNsPerMs = 1000UL * 1000;

struct FaultRow
{
  const char* name_;
  /// The process that gets a SIGKILL: a node, "leader", or empty for none.
  const char* killed_;
  /// The node that is cut off from all other nodes; empty for none. It is cut
  /// off before VMs drain, so that it holds them as active and only their
  /// evidence keeps it from sending. Other faults begin while VMs drain.
  const char* cut_;
  /// The cut drops everything in silence; otherwise it resets connections.
  bool silent_;
};

/// Each ends when the VMs have moved. n4 and n5 are entry nodes without a vote.
const std::vector<FaultRow> kFaults{
  { "entry isolated silently", "", "n4", true },
  { "entry killed", "n4", "", false },
  { "leader killed", "leader", "", false },
  { "leader killed and entry cut off", "leader", "n5", false },
};

/// Changes the sizes back and forth, each time when the VMs have followed.
void
ChangeSizes(const Cluster& aCluster,
            const TargetWatcher& aTargets,
            const std::stop_token& aStop)
{
  const auto set = [&](const char* aPool, const char* aSize) {
    while (!aStop.stop_requested() &&
           aCluster.RunClient({ "set", aPool, "size", aSize }).exitCode_ != 0) {
      std::this_thread::sleep_for(kWatchInterval);
    }
  };
  for (bool back = false; !aStop.stop_requested(); back = !back) {
    const auto goal = aTargets.Moves() + kMovesPerChange;
    set(back ? "receipts" : "rota", "3");
    set(back ? "rota" : "receipts", "6");
    while (!aStop.stop_requested() && aTargets.Moves() < goal) {
      std::this_thread::sleep_for(kWatchInterval);
    }
  }
}

/// VMs that a node shows in a pool that they have left, all or only those that
/// it shows as active. It must not use them.
int
CountStale(const Cluster& aCluster,
           const TargetWatcher& aTargets,
           const std::string& aNode,
           bool aOnlyActive)
{
  int count = 0;
  const auto vms = aCluster.AdminGet(aNode, "/v1/vms");
  const auto allHeld = aTargets.Held();
  for (const auto& vm : vms) {
    const auto& held = allHeld.at(vm.value("id", ""));
    if (vm.value("epoch", held.epoch_) < held.epoch_ &&
        vm.value("pool", "") != held.pool_) {
      INFO(aNode << " shows " << vm.dump() << ", which holds " << held.pool_);
      CHECK_FALSE(vm.value("usable", true));
      count += !aOnlyActive || vm.value("phase", "") == "active" ? 1 : 0;
    }
  }
  return count;
}

/// One fault. A cut lasts until the lease has passed once more after the moves,
/// so that requests of both pools meet VMs that serve their new pool; how many
/// the cut-off node answered then is printed and checked.
void
RunFault(Cluster& aCluster,
         const TargetWatcher& aTargets,
         const HistoryRecorder& aRecorder,
         ProcessWatchers& aProcesses,
         const FaultRow& aRow)
{
  INFO(aRow.name_);
  const std::string cut = aRow.cut_;
  if (cut.empty()) {
    aCluster.Require("a drain", kMoveWait, [&] { return aTargets.HasDrain(); });
  } else {
    aCluster.WaitUsable(cut, kTargets, kMoveWait);
  }
  const bool isLeader = std::string(aRow.killed_) == "leader";
  const std::string killed = isLeader ? aCluster.Leader() : aRow.killed_;
  const auto goal = aTargets.Moves() + kMovesPerChange;
  const auto start = MonotonicNs();
  if (!killed.empty()) {
    aProcesses.Kill(killed);
  }
  if (!cut.empty()) {
    ProxyFaults faults;
    faults.cut_ = !aRow.silent_;
    faults.up_.drop_ = faults.down_.drop_ = aRow.silent_;
    aCluster.IsolateNode(cut, faults);
  }
  if (!killed.empty()) {
    std::this_thread::sleep_for(kDownTime);
    aProcesses.Restart(killed);
  }
  aCluster.Require(
    "moves under a fault", kMoveWait, [&] { return aTargets.Moves() >= goal; });
  const auto moved = MonotonicNs();
  std::cout << aRow.name_ << " (" << killed << cut << "): moved after "
            << (moved - start) / kNsPerMs << " ms";
  if (!cut.empty()) {
    std::this_thread::sleep_for(kNoNewWorkLimit);
    const auto stale = CountStale(aCluster, aTargets, cut, true);
    CHECK(stale > 0);
    aCluster.IsolateNode(cut, {});
    std::map<std::string, int> answered{ { "rota", 0 }, { "receipts", 0 } };
    for (const auto& operation : aRecorder.Operations()) {
      answered[operation.pool_] +=
        operation.entry_ == aCluster.Node(cut).callers_ &&
            operation.beginNs_ > moved && operation.outcome_ == "answered"
          ? 1
          : 0;
    }
    for (const auto& [pool, count] : answered) {
      std::cout << ", then " << count << " answered for " << pool;
      CHECK(count > 0);
    }
    std::cout << ", stale " << stale;
  }
  std::cout << '\n';
}

} // namespace

// Guards promise 2 where it is hardest: an entry that has missed moves, still
// gets requests and reaches the VMs, and would send them requests of the pool
// that they left; and moves that a new leader finishes. The VMs run whatever
// they are sent, as a refusal of old epochs on their side would hide the fault.
TEST_CASE("a VM has one pool while moves meet kills and cuts")
{
  ClusterSettings settings;
  settings.nodes_ = 5;
  settings.proxies_ = PeerProxies::PerPair;
  Cluster cluster(settings);
  // n4 and n5 hear no announcement; their evidence is from digests, answers and
  // probes.
  StartSystem(cluster,
              "rota,100,6,1,4\nreceipts,100,3,1,4\n",
              kTargets,
              false,
              20,
              { "n1", "n2", "n3" });
  LoadSettings load;
  std::vector<std::string> vms;
  for (int i = 1; i <= kTargets; ++i) {
    vms.push_back(TargetName(i));
    cluster.ControlTarget(vms.back(), { { "check_epoch", false } });
  }
  for (const auto& node : cluster.NodeIds()) {
    load.entries_.push_back(cluster.Node(node).callers_);
  }
  load.pools_ = { "rota", "receipts" };
  load.rate_ = 80;
  load.keyedPercent_ = 20;
  load.deadline_ = 1000ms;
  load.seed_ = kSeed;
  HistoryRecorder recorder;
  TargetWatcher targets(cluster, vms);
  ProcessWatchers processes(cluster);
  std::jthread loader([&](const std::stop_token& aStop) {
    for (; !aStop.stop_requested(); ++load.seed_) {
      RunLoad(load, recorder);
    }
  });
  std::jthread changer([&](const std::stop_token& aStop) {
    ChangeSizes(cluster, targets, aStop);
  });
  for (const auto& row : kFaults) {
    RunFault(cluster, targets, recorder, processes, row);
  }
  cluster.Require("all nodes show what the VMs hold", kMoveWait, [&] {
    const auto& ids = cluster.NodeIds();
    return std::all_of(ids.begin(), ids.end(), [&](const auto& aNode) {
      return cluster.AdminGet(aNode, "/v1/vms").size() == kTargets &&
             CountStale(cluster, targets, aNode, false) == 0;
    });
  });
  changer.request_stop();
  changer.join();
  loader.request_stop();
  loader.join();
  targets.Stop();

  const auto operations = recorder.Operations();
  const auto runs = cluster.TargetRuns();
  auto seen = processes.Finish();
  for (const auto& more : { targets.Seen(), AssignmentsOf(runs) }) {
    seen.insert(seen.end(), more.begin(), more.end());
  }
  std::cout << "onepool: seed " << kSeed << " moves " << targets.Moves()
            << " drains " << targets.Drains().size() << " requests "
            << operations.size() << " runs " << runs.size() << " looks "
            << seen.size() << '\n';
  CHECK(targets.Moves() >= kMovesPerChange * static_cast<int>(kFaults.size()));
  CHECK(Describe(CheckOnePool(seen, runs, operations)) == kNone);
  CHECK(Describe(CheckNoNewWork(runs, targets.Drains(), kNoNewWorkLimit)) ==
        kNone);
  CheckCallers(operations, runs);
}
