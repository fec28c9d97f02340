#include "control_support.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <iostream>

using namespace acaciahill;
using namespace acaciahill::testing;
using namespace std::chrono_literals;

namespace {

// The default timing, and the constants of peer_client.cpp.
constexpr Millis kHeartbeat{ 500 };
constexpr Millis kElectionMin{ 2000 };
constexpr Millis kElectionMax{ 4000 };
constexpr int kTimeoutsToReplace = 2;
constexpr Millis kKeepalive{ 5000ms + 2000ms };
/// The leader sends a heartbeat to each voter at most kHeartbeat after the
/// connections went silent, and a call times out after kElectionMin. Its
/// connections are replaced after kTimeoutsToReplace of them.
constexpr Millis kReplaced = kTimeoutsToReplace * kHeartbeat + kElectionMin;
/// The next heartbeat keeps the leader in office, unless it has stepped down
/// just before, kElectionMax after its last contact. Then its own election
/// follows at most kElectionMax later, over connections that work.
constexpr Millis kLeaderLimit = 2 * kElectionMax;
/// By then no open connection is silent, as keepalive has ended every one that
/// was not replaced. A sending that is lost may be under way, and one more may
/// meet a node that does not know the leader yet.
constexpr Millis kAnswerTimeout{ 1000 };
constexpr Millis kAcceptLimit = kLeaderLimit + 2 * kAnswerTimeout;
static_assert(kReplaced + kHeartbeat <= kElectionMax);
static_assert(kKeepalive <= kLeaderLimit);

constexpr int kTimes = 2;
constexpr int kOperators = 4;
constexpr std::uint64_t kSeed = 901;
/// Lets the operators' changes begin.
constexpr Millis kWarmUp{ 1500 };
constexpr Millis kHold{ 100 };

/// Makes all open connections between nodes silent for good. Their bytes are
/// held back for a moment before, so that changes are under way on them.
void
FreezeAll(Cluster& aCluster)
{
  std::vector<FaultProxy*> proxies;
  for (const auto& to : aCluster.NodeIds()) {
    proxies.push_back(&aCluster.PeerProxy(to));
    for (const auto& from : aCluster.NodeIds()) {
      if (from != to) {
        proxies.push_back(&aCluster.PairProxy(from, to));
      }
    }
  }
  ProxyFaults hold;
  hold.up_.freeze_ = true;
  hold.down_.freeze_ = true;
  for (auto* proxy : proxies) {
    proxy->Set(hold);
  }
  std::this_thread::sleep_for(kHold);
  for (auto* proxy : proxies) {
    proxy->FreezeOpen();
    proxy->Heal();
  }
}

Millis
Since(std::uint64_t aNs)
{
  return Millis(static_cast<Millis::rep>((MonotonicNs() - aNs) / kNsPerMs));
}

/// Makes one change, through the nodes in turn until one accepts it.
CellChange
MakeChange(Cluster& aCluster, const std::string& aName, int aValue)
{
  CellChange change;
  change.value_ = std::to_string(aValue);
  std::size_t turn = 0;
  aCluster.Require("change " + aName, 2 * kAcceptLimit, [&] {
    const auto& nodes = aCluster.NodeIds();
    const auto& node = nodes[turn++ % nodes.size()];
    // A lost sending is repeated as it is; a refused one starts anew.
    if (change.outcome_ != "lost" || change.requestId_.empty()) {
      change.requestId_ = aName + "-" + std::to_string(turn);
      change.base_ = VersionOn(aCluster, node);
    }
    SendChange(aCluster, node, change, kAnswerTimeout);
    return change.outcome_ == "accepted";
  });
  return change;
}

} // namespace

// Guards against a group that never recovers when something between the nodes
// loses track of all open connections at once while new ones work, and against
// changes under way that are lost or run twice thereby.
TEST_CASE("all open connections between nodes go silent twice")
{
  ClusterSettings settings;
  settings.nodes_ = 6;
  settings.proxies_ = PeerProxies::PerPair;
  Cluster cluster(settings);
  cluster.StartAll();
  ApplyFirstTable(cluster, "n1");
  cluster.WaitInForce(1, kStartLimit);
  TableWatch watch(cluster);
  std::vector<CellChange> changes;
  for (int time = 1; time <= kTimes; ++time) {
    Operators operators(cluster,
                        kOperators,
                        kSeed + static_cast<std::uint64_t>(time),
                        "t" + std::to_string(time) + "-");
    std::this_thread::sleep_for(kWarmUp);
    for (const auto& node : cluster.NodeIds()) {
      watch.BeginFault(node);
    }
    const auto frozenNs = MonotonicNs();
    FreezeAll(cluster);
    // The operators end once the changes under way have a definite answer.
    const auto underWay = operators.Stop();
    const auto definite = Since(frozenNs);
    // At least one change was under way and had to be sent again.
    CHECK(definite >= kAnswerTimeout);
    changes.insert(changes.end(), underWay.begin(), underWay.end());
    changes.push_back(
      MakeChange(cluster, "next-" + std::to_string(time), 9900 + time));
    const auto accepted = Since(frozenNs);
    cluster.WaitInForce(changes.back().version_, kInForceLimit);
    std::cout << "time " << time << ": changes under way answered after "
              << definite.count() << " ms, the next one accepted after "
              << accepted.count() << " ms, in force after "
              << Since(frozenNs).count() << " ms\n";
    CHECK(definite <= kAcceptLimit);
    CHECK(accepted <= kAcceptLimit);
    for (const auto& node : cluster.NodeIds()) {
      watch.EndFault(node, false);
    }
  }
  watch.Stop();
  const auto accepted = std::count_if(
    changes.begin(), changes.end(), [](const CellChange& aChange) {
      return aChange.outcome_ == "accepted";
    });
  std::cout << "seed " << kSeed << ": " << changes.size() << " changes, "
            << accepted << " accepted\n";
  CHECK(std::all_of(changes.begin(), changes.end(), IsDefinite));
  CHECK(Describe(watch.Check(changes)).empty());
  CHECK(Describe(CheckOneWinner(changes)).empty());
  CHECK(Describe(CheckValues(watch.Looks(), changes)).empty());
  // Each version has one accepted change; the first table is version 1.
  CHECK(static_cast<std::uint64_t>(accepted) + 1 == VersionOn(cluster, "n1"));
}
