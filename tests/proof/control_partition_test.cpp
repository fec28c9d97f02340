#include "control_support.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <future>
#include <iostream>

using namespace acaciahill;
using namespace acaciahill::testing;
using namespace std::chrono_literals;

namespace {

/// Staleness is shown 1 s after the longest election of 2 s, and a one-way loss
/// first has to end two exchanges of at most the shortest election each.
constexpr Millis kStaleLimit{ 10000 };
/// Longer than an operator's change waits for a leader, which is 10 s.
constexpr Millis kRefusalTimeout{ 15000 };
/// The time in which a returning node would depose the leader.
constexpr Millis kSettleTime{ 2500 };
/// Election timers are random; several rounds meet long ones too.
constexpr int kNeighbourRounds = 4;
constexpr Millis kPullPeriod{ 1200 };

enum class Loss : std::uint8_t
{
  Reset,
  Silent,
  SilentFrom, ///< What the node sends is lost.
  SilentTo,   ///< What is sent to the node is lost.
};

struct PartitionRow
{
  const char* name_;
  Loss loss_;
  /// The other voters only, or all nodes.
  bool votersOnly_;
  /// The leader is cut off, or a node without a vote.
  bool leader_;
  /// Also send it a change, which it refuses after 10 s.
  bool refusal_;
};

const std::vector<PartitionRow> kPartitions{
  { "leader reset", Loss::Reset, false, true, true },
  { "leader silent to voters", Loss::Silent, true, true, false },
  { "leader cannot send", Loss::SilentFrom, false, true, false },
  { "leader cannot receive", Loss::SilentTo, false, true, false },
  { "non-voter silent", Loss::Silent, false, false, true },
};

/// Faults of the links that the node opens (aOwn), and of those to it.
ProxyFaults
FaultsOf(Loss aLoss, bool aOwn)
{
  ProxyFaults faults;
  faults.cut_ = aLoss == Loss::Reset;
  const bool losesFrom = aLoss == Loss::Silent || aLoss == Loss::SilentFrom;
  const bool losesTo = aLoss == Loss::Silent || aLoss == Loss::SilentTo;
  faults.up_.drop_ = aOwn ? losesFrom : losesTo;
  faults.down_.drop_ = aOwn ? losesTo : losesFrom;
  return faults;
}

void
Partition(Cluster& aCluster, const std::string& aNode, const PartitionRow& aRow)
{
  for (const auto& other : aCluster.NodeIds()) {
    if (other != aNode && (!aRow.votersOnly_ || aCluster.Node(other).voter_)) {
      aCluster.PairProxy(aNode, other).Set(FaultsOf(aRow.loss_, true));
      aCluster.PairProxy(other, aNode).Set(FaultsOf(aRow.loss_, false));
    }
  }
  if (!aRow.votersOnly_) {
    aCluster.PeerProxy(aNode).Set(FaultsOf(aRow.loss_, false));
  }
}

void
Heal(Cluster& aCluster, const std::string& aNode)
{
  for (const auto& other : aCluster.NodeIds()) {
    if (other != aNode) {
      aCluster.PairProxy(aNode, other).Heal();
      aCluster.PairProxy(other, aNode).Heal();
    }
  }
  aCluster.PeerProxy(aNode).Heal();
}

bool
IsStale(const Cluster& aCluster, const std::string& aNode)
{
  const auto table = aCluster.AdminGet(aNode, "/v1/table");
  return table.is_object() && table.value("stale", false);
}

std::string
LeaderSeenBy(const Cluster& aCluster, const std::string& aNode)
{
  const auto nodes = aCluster.AdminGet(aNode, "/v1/nodes");
  return nodes.is_object() ? nodes.value("leader", std::string()) : "";
}

/// How often a node's role or term has changed, as its log tells.
std::size_t
RoleChanges(Cluster& aCluster, const std::string& aNode)
{
  const auto output = aCluster.Node(aNode).process_->Output();
  std::size_t count = 0;
  const std::string text = "role changed";
  for (auto at = output.find(text); at != std::string::npos;
       at = output.find(text, at + 1)) {
    ++count;
  }
  return count;
}

/// True when the node keeps pulling from the source: bytes pass in each of
/// several periods. One pull takes at most a second; other sources are tried
/// less often than every three periods.
bool
PullsFrom(Cluster& aCluster,
          const std::string& aNode,
          const std::string& aSource)
{
  const auto& proxy = aCluster.PairProxy(aNode, aSource);
  for (int period = 0; period < 3; ++period) {
    const auto before = proxy.Bytes();
    std::this_thread::sleep_for(kPullPeriod);
    if (proxy.Bytes() == before) {
      return false;
    }
  }
  return true;
}

CellChange
LateChange(Cluster& aCluster, const std::string& aNode, int aNumber)
{
  CellChange change;
  change.requestId_ = "cut-off-" + std::to_string(aNumber);
  change.base_ = VersionOn(aCluster, aNode);
  change.value_ = "9";
  SendChange(aCluster, aNode, change, kRefusalTimeout);
  return change;
}

/// One partition from its beginning until the node is level again.
void
RunPartition(Cluster& aCluster,
             TableWatch& aWatch,
             const PartitionRow& aRow,
             int aNumber,
             std::vector<CellChange>& aChanges)
{
  std::string leader;
  aCluster.Require("a leader", kStartLimit, [&] {
    leader = aCluster.Leader();
    return !leader.empty();
  });
  const std::string cut = aRow.leader_ ? leader : "n5";
  const std::string asked = cut == "n1" ? "n2" : "n1";
  INFO(aRow.name_ << ", cut off: " << cut);
  const auto shownBefore = VersionOn(aCluster, cut);
  aWatch.BeginFault(cut);
  Partition(aCluster, cut, aRow);

  CellChange change;
  change.requestId_ = "partition-" + std::to_string(aNumber);
  change.value_ = std::to_string(100 + aNumber);
  aCluster.Require("a change without " + cut, kChangeLimit, [&] {
    change.base_ = VersionOn(aCluster, asked);
    SendChange(aCluster, asked, change, 3000ms);
    return change.outcome_ == "accepted";
  });
  aChanges.push_back(change);
  aCluster.Require(
    cut + " stale", kStaleLimit, [&] { return IsStale(aCluster, cut); });
  if (aRow.refusal_) {
    const auto refused = LateChange(aCluster, cut, aNumber);
    CHECK(refused.outcome_ == "control_unreachable");
  }
  CHECK(VersionOn(aCluster, cut) >= shownBefore);
  // Until the limit of the change has passed, so that the watch sees who is
  // late.
  while (MonotonicNs() <
         change.atNs_ +
           (static_cast<std::uint64_t>(kInForceLimit.count()) + 500) *
             kNsPerMs) {
    std::this_thread::sleep_for(50ms);
  }
  const auto healthy = LeaderSeenBy(aCluster, asked);
  REQUIRE_FALSE(healthy.empty());
  const auto roleChanges = RoleChanges(aCluster, healthy);
  Heal(aCluster, cut);
  aWatch.EndFault(cut, false);
  aCluster.WaitInForce(change.version_, kInForceLimit);
  std::this_thread::sleep_for(kSettleTime);
  CHECK(LeaderSeenBy(aCluster, asked) == healthy);
  // It was not elected again either, which the name alone would not show.
  CHECK(RoleChanges(aCluster, healthy) == roleChanges);
  CHECK(LeaderSeenBy(aCluster, cut) == healthy);
  CHECK_FALSE(IsStale(aCluster, cut));
}

} // namespace

// Guards against a cut-off node that decides alone, hides that its state is
// old, keeps others from the newest state, or deposes the leader that was
// elected without it.
TEST_CASE("cut-off nodes serve as stale and return without harm")
{
  ClusterSettings settings;
  // Each zone has a voter and an entry node that prefers it as a source.
  settings.nodes_ = 6;
  settings.proxies_ = PeerProxies::PerPair;
  settings.extraLines_ = { { "timing", "heartbeat_ms = 200" },
                           { "timing", "election_min_ms = 1000" },
                           { "timing", "election_max_ms = 2000" } };
  Cluster cluster(settings);
  cluster.StartAll();
  ApplyFirstTable(cluster, "n1");
  cluster.WaitInForce(1, kStartLimit);
  TableWatch watch(cluster);
  std::vector<CellChange> changes;
  for (const auto& row : kPartitions) {
    const auto start = MonotonicNs();
    RunPartition(
      cluster, watch, row, static_cast<int>(changes.size()) + 1, changes);
    std::cout << row.name_ << ": " << (MonotonicNs() - start) / kNsPerMs
              << " ms\n";
  }
  watch.Stop();
  const auto found = watch.Check(changes);
  INFO(Describe(
    { found.begin(),
      found.begin() + std::min<std::ptrdiff_t>(std::ssize(found), 5) }));
  CHECK(found.empty());
}

// Guards against a node that keeps to a source which no longer hears the
// leader, until the accepted change is late on the node.
TEST_CASE("neighbours of silently isolated voters are up to date in time")
{
  constexpr int kVoters = 5;
  ClusterSettings settings;
  settings.nodes_ = 2 * kVoters;
  settings.voters_ = kVoters;
  settings.zones_ = kVoters;
  settings.proxies_ = PeerProxies::PerPair;
  Cluster cluster(settings);
  cluster.StartAll();
  ApplyFirstTable(cluster, "n1");
  cluster.WaitInForce(1, kStartLimit);
  for (int round = 1; round <= kNeighbourRounds; ++round) {
    std::string leader;
    cluster.Require("a leader", kStartLimit, [&] {
      leader = cluster.Leader();
      return !leader.empty();
    });
    // The two voters after the leader. Node i + 5 lies in the zone of voter i.
    std::vector<std::string> isolated;
    std::vector<std::string> neighbours;
    for (const int step : { 0, 1 }) {
      const int voter = (std::stoi(leader.substr(1)) + step) % kVoters + 1;
      isolated.push_back("n" + std::to_string(voter));
      neighbours.push_back("n" + std::to_string(voter + kVoters));
      cluster.Require(
        neighbours.back() + " at its own source", kStartLimit, [&] {
          return PullsFrom(cluster, neighbours.back(), isolated.back());
        });
    }
    for (const auto& node : isolated) {
      Partition(cluster, node, { "", Loss::Silent, true, false, false });
    }
    const auto version = RequireChange(cluster, leader, round);
    const auto acceptedNs = MonotonicNs();
    for (const auto& node : neighbours) {
      cluster.Require(node + " up to date", kChangeLimit, [&] {
        return VersionOn(cluster, node) >= version;
      });
      const Millis late(
        static_cast<Millis::rep>((MonotonicNs() - acceptedNs) / kNsPerMs));
      std::cout << node << " up to date after " << late.count() << " ms\n";
      CHECK(late <= kInForceLimit);
    }
    for (const auto& node : isolated) {
      Heal(cluster, node);
    }
    cluster.WaitInForce(version, kInForceLimit);
  }
}
