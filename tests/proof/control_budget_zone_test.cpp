#include "proof/data_support.h"
#include "support/vm_watcher.h"

#include <algorithm>
#include <chrono>
#include <iostream>
#include <thread>

using namespace acaciahill;
using namespace acaciahill::testing;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr int kTargets = 9;
/// The node that shows the VMs. It is no voter and in the zone z1, which is not
/// cut off.
constexpr const char* kWatchNode = "n4";
/// Two VMs of rota and one of receipts in each zone. With the two unknown ones
/// of a zone, rota may have one VM out at a time.
constexpr const char* kRows = "rota,100,6,1,3\nreceipts,100,3,0,3\n";
/// One VM of rota moves to receipts.
const std::vector<PoolBudget> kBudgets{ { "rota", 5, 1, 3 },
                                        { "receipts", 3, 0, 3 } };
constexpr Millis kReturnLimit{ 15000 };
/// 4 VMs of rota and the move one after another, each with the routing lease of
/// 5 s and its margin of 1 s as a node is out of reach, a reboot of 1 s and an
/// announcement of 2 s. A leader begins no move in its first 10 s.
constexpr Millis kOthersLimit{ 55000 };
/// The zone stays out of contact for this time after nothing else is left to
/// do.
constexpr Millis kIdleCut{ 5000 };
/// 10 s until a held wave resumes, and the two VMs of the zone.
constexpr Millis kWaveLimit{ 28000 };

json
Vms(const Cluster& aCluster)
{
  return aCluster.AdminGet(kWatchNode, "/v1/vms");
}

json
Wave(const Cluster& aCluster)
{
  return aCluster.AdminGet(kWatchNode, "/v1/waves/w1");
}

} // namespace

// Guards promise 1 while an availability zone is cut off: a wave or a move that
// takes VMs that nobody hears, or counts them as available.
TEST_CASE("a zone out of contact gets no permits and no moves")
{
  ClusterSettings settings;
  settings.nodes_ = 4;
  settings.proxies_ = PeerProxies::PerPair;
  Cluster cluster(settings);
  StartSystem(cluster, kRows, 0, false, 0);
  for (std::size_t i = 1; i <= kTargets; ++i) {
    ClusterTarget target;
    target.id_ = TargetName(static_cast<int>(i));
    target.zone_ = "z" + std::to_string((i - 1) % 3 + 1);
    target.rack_ = "r" + std::to_string(i);
    target.proxy_ = true;
    cluster.StartTarget(target);
    cluster.Require(
      "a new VM", kReturnLimit, [&] { return Vms(cluster).size() == i; });
  }
  cluster.WaitUsable(kWatchNode, kTargets, kReturnLimit);
  VmWatcher watcher(cluster, kWatchNode);
  const auto leader = cluster.Leader();
  REQUIRE_FALSE(leader.empty());
  const std::string zone = leader == "n3" ? "z2" : "z3";
  std::map<std::string, std::string> pools;
  for (const auto& vm : Vms(cluster)) {
    if (vm.at("zone") == zone) {
      pools[vm.at("id")] = vm.at("pool");
    }
  }

  cluster.CutZone(zone, true);
  for (const auto& [vm, pool] : pools) {
    cluster.TargetProxy(vm).Cut(true);
  }
  const auto knownNs =
    MonotonicNs() +
    static_cast<std::uint64_t>(kLossDetection.count()) * 1000000;
  std::this_thread::sleep_for(kLossDetection);
  RequireClient(cluster, { "set", "rota", "size", "5" });
  RequireClient(cluster, { "set", "receipts", "size", "4" });
  RequireClient(cluster, { "wave", "start", "w1" });
  cluster.Require("only the zone's VMs are left", kOthersLimit, [&] {
    const auto pending = Wave(cluster).at("pending");
    const auto vms = Vms(cluster);
    const auto taken =
      std::count_if(vms.begin(), vms.end(), [](const json& aVm) {
        return aVm.at("pool") == "receipts";
      });
    return taken == 4 && pending.size() == pools.size() &&
           std::all_of(pending.begin(), pending.end(), [&](const json& aVm) {
             return pools.contains(aVm);
           });
  });
  std::this_thread::sleep_for(kIdleCut);
  for (const auto& vm : Vms(cluster)) {
    const auto pool = pools.find(vm.at("id"));
    if (pool != pools.end()) {
      INFO(vm.dump());
      CHECK(vm.at("phase") == "active");
      CHECK(vm.at("pool") == pool->second);
      CHECK(vm.at("permit").get<std::string>().empty());
    }
  }
  const auto healedNs = MonotonicNs();
  cluster.CutZone(zone, false);
  for (const auto& [vm, pool] : pools) {
    cluster.TargetProxy(vm).Cut(false);
  }
  cluster.Require("the wave completed", kWaveLimit, [&] {
    return Wave(cluster).at("phase") == "completed";
  });
  watcher.Stop();

  auto periods = PeriodsWithStops(watcher);
  std::string text;
  for (const auto& period : periods) {
    if (pools.contains(period.vm_) && period.fromNs_ >= knownNs &&
        period.fromNs_ < healedNs) {
      text += period.vm_ + " " + std::to_string(period.fromNs_) + "\n";
    }
  }
  CHECK(text == kNone);
  for (const auto& [vm, pool] : pools) {
    periods.push_back({ vm, pool, knownNs, healedNs, false });
  }
  CHECK(Describe(CheckBudgets(periods, kBudgets)) == kNone);
  CHECK(Describe(CheckGracefulStops(ReadStops(cluster.PlatformJournal()),
                                    cluster.TargetRuns())) == kNone);
  std::cout << "zone: " << zone << " cut off, leader " << leader << ", "
            << watcher.Drains().size() << " drains, " << watcher.Stops().size()
            << " stops\n";
}
