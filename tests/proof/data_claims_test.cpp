#include "proof/data_support.h"

#include <algorithm>
#include <chrono>
#include <iostream>
#include <thread>

using namespace acaciahill;
using namespace acaciahill::testing;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr int kTargets = 3;
constexpr std::uint64_t kSeed = 201;
constexpr Millis kDeadline{ 5000 };
/// Time for which a request stays at its target, so that a failure meets it
/// there.
constexpr int kLongMs = 1500;
/// An election takes 2 to 4 s; the rest is left to a busy machine.
constexpr Millis kElectionLimit{ 20000 };

/// Sends keyed POST requests and records each sending.
class KeyedCaller
{
public:
  explicit KeyedCaller(Cluster& aCluster)
    : cluster_(aCluster)
  {
  }

  Operation Send(const std::string& aNode, const std::string& aKey)
  {
    PlannedRequest request;
    request.caller_ = "c1";
    request.pool_ = "rota";
    request.method_ = "POST";
    request.key_ = aKey;
    request.body_ = "body of " + aKey;
    const auto nonce = aKey + "-" + std::to_string(++sendings_);
    auto operation =
      SendPlanned(request, cluster_.Node(aNode).callers_, nonce, kDeadline);
    recorder_.Add(operation);
    return operation;
  }

  /// Sends one key through all entries at the same moment.
  void SendAtOnce(const std::string& aKey)
  {
    std::vector<std::jthread> threads;
    threads.reserve(cluster_.NodeIds().size());
    for (const auto& node : cluster_.NodeIds()) {
      threads.emplace_back([this, node, aKey] { Send(node, aKey); });
    }
  }

  /// Waits until a sending through a node is answered with a target's answer.
  void RequireAnswer(const std::string& aNode, const std::string& aKey)
  {
    cluster_.Require(
      "an answer to " + aKey + " through " + aNode, kElectionLimit, [&] {
        const auto sent = Send(aNode, aKey);
        std::this_thread::sleep_for(50ms);
        return sent.outcome_ == "answered";
      });
  }

  HistoryRecorder& Recorder() { return recorder_; }

private:
  Cluster& cluster_;
  HistoryRecorder recorder_;
  std::atomic<int> sendings_{ 0 };
};

void
SetDelay(const Cluster& aCluster, int aMs)
{
  for (int i = 1; i <= kTargets; ++i) {
    aCluster.ControlTarget(TargetName(i), { { "delay_ms", aMs } });
  }
}

std::size_t
RunsOfKey(const Cluster& aCluster, const std::string& aKey)
{
  const auto runs = aCluster.TargetRuns();
  return static_cast<std::size_t>(
    std::count_if(runs.begin(), runs.end(), [&](const ExecutedRun& aRun) {
      return aRun.key_ == aKey;
    }));
}

void
WaitAtTarget(const Cluster& aCluster, const std::string& aKey)
{
  aCluster.Require(aKey + " at a target", kDeadline, [&] {
    return RunsOfKey(aCluster, aKey) > 0;
  });
}

/// The last node of the list that is not the leader and, when asked for, is a
/// voter.
std::string
FollowerOf(Cluster& aCluster, const std::string& aLeader)
{
  std::string found;
  for (const auto& id : aCluster.NodeIds()) {
    if (id != aLeader && aCluster.Node(id).voter_) {
      found = id;
    }
  }
  return found;
}

void
ProveResends(Cluster& aCluster, KeyedCaller& aCaller)
{
  for (int i = 0; i < 20; ++i) {
    const auto key = "same-moment-" + std::to_string(i);
    aCaller.SendAtOnce(key);
    // Later resends get the kept answer in every zone.
    for (const auto& node : aCluster.NodeIds()) {
      aCaller.RequireAnswer(node, key);
    }
    CHECK(RunsOfKey(aCluster, key) == 1);
  }
}

void
ProveRestart(Cluster& aCluster, KeyedCaller& aCaller)
{
  const std::string key = "restart";
  aCaller.RequireAnswer("n4", key);
  CHECK(aCluster.Node("n4").process_->Terminate(kStartLimit) == 0);
  aCluster.StartNode("n4");
  aCluster.WaitReady(kStartLimit);
  for (const auto& node : aCluster.NodeIds()) {
    aCaller.RequireAnswer(node, key);
  }
  CHECK(RunsOfKey(aCluster, key) == 1);
}

void
ProveKilledEntry(Cluster& aCluster, KeyedCaller& aCaller)
{
  const std::string key = "killed-entry";
  SetDelay(aCluster, kLongMs);
  std::jthread first([&] { aCaller.Send("n4", key); });
  WaitAtTarget(aCluster, key);
  aCluster.Node("n4").process_->Kill();
  first.join();
  SetDelay(aCluster, 0);
  aCluster.StartNode("n4");
  aCluster.WaitReady(kStartLimit);
  for (int round = 0; round < 2; ++round) {
    for (const auto& node : aCluster.NodeIds()) {
      const auto resent = aCaller.Send(node, key);
      INFO(node << " " << resent.status_ << " " << resent.detail_);
      CHECK(resent.outcome_ != "answered");
    }
    std::this_thread::sleep_for(Millis(kLongMs));
  }
  CHECK(RunsOfKey(aCluster, key) == 1);
}

void
ProveKilledLeader(Cluster& aCluster, KeyedCaller& aCaller)
{
  const std::string key = "killed-leader";
  const auto leader = aCluster.Leader();
  REQUIRE_FALSE(leader.empty());
  SetDelay(aCluster, kLongMs);
  Operation answered;
  std::jthread first([&] { answered = aCaller.Send("n4", key); });
  WaitAtTarget(aCluster, key);
  if (leader != "n4") {
    aCluster.Node(leader).process_->Kill();
  }
  first.join();
  SetDelay(aCluster, 0);
  // The loss of the leader does not touch a request that is at its target.
  CHECK(answered.outcome_ == "answered");
  for (const auto& node : aCluster.NodeIds()) {
    if (node != leader) {
      aCaller.RequireAnswer(node, key);
    }
  }
  aCluster.StartNode(leader);
  aCluster.WaitReady(kStartLimit);
  aCaller.RequireAnswer(leader, key);
  CHECK(RunsOfKey(aCluster, key) == 1);
}

void
ProveCutZone(Cluster& aCluster, KeyedCaller& aCaller)
{
  const auto leader = aCluster.Leader();
  REQUIRE_FALSE(leader.empty());
  const auto cut = FollowerOf(aCluster, leader);
  const auto zone = aCluster.Node(cut).zone_;
  LoadSettings load;
  for (const auto& node : aCluster.NodeIds()) {
    load.entries_.push_back(aCluster.Node(node).callers_);
  }
  load.pools_ = { "rota" };
  load.rate_ = 40;
  load.duration_ = 8s;
  load.postPercent_ = 100;
  load.keyedPercent_ = 90;
  load.deadline_ = 1500ms;
  load.seed_ = kSeed;
  LoadReport report;
  std::jthread loader([&] { report = RunLoad(load, aCaller.Recorder()); });
  std::this_thread::sleep_for(2s);
  aCluster.CutZone(zone, true);
  std::this_thread::sleep_for(1s);
  for (int i = 0; i < 4; ++i) {
    const auto refused = aCaller.Send(cut, "cut-" + std::to_string(i));
    INFO(refused.status_ << " " << refused.detail_);
    CHECK(refused.outcome_ == "not-run");
  }
  aCluster.CutZone(zone, false);
  for (int i = 0; i < 4; ++i) {
    const auto key = "cut-" + std::to_string(i);
    aCaller.RequireAnswer(i % 2 == 0 ? cut : leader, key);
    for (const auto& node : aCluster.NodeIds()) {
      aCaller.RequireAnswer(node, key);
    }
    CHECK(RunsOfKey(aCluster, key) == 1);
  }
  loader.join();
  std::cout << "claims, zone " << zone << " cut: seed " << kSeed << " "
            << ToJson(report).dump() << '\n';
}

} // namespace

// Guards promise 5 for keyed requests: a key that runs twice because a resend
// meets another entry VM or zone, a restarted or killed entry, a lost leader or
// a cut, and a key that never runs although it was refused as not run.
TEST_CASE("a key runs once through resends, kills and cuts")
{
  ClusterSettings settings;
  settings.nodes_ = 4;
  settings.proxies_ = PeerProxies::PerPair;
  Cluster cluster(settings);
  StartSystem(cluster, "rota,100,3,1,1\n", kTargets, false, 5);
  KeyedCaller caller(cluster);
  ProveResends(cluster, caller);
  ProveRestart(cluster, caller);
  ProveKilledEntry(cluster, caller);
  ProveKilledLeader(cluster, caller);
  ProveCutZone(cluster, caller);

  const auto operations = caller.Recorder().Operations();
  const auto runs = cluster.TargetRuns();
  std::cout << "claims: sendings " << operations.size() << " runs "
            << runs.size() << '\n';
  CheckCallers(operations, runs);
}
