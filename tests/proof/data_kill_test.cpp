#include "proof/data_support.h"

#include <algorithm>
#include <chrono>
#include <iostream>
#include <random>
#include <thread>

using namespace acaciahill;
using namespace acaciahill::testing;
using namespace std::chrono_literals;

namespace {

constexpr int kTargets = 6;
constexpr int kNodes = 5;
/// Long enough that a kill meets requests at most targets.
constexpr int kServiceMs = 100;
constexpr Millis kLoadTime{ 10000 };
/// An election takes 2 to 4 s; the rest is left to a busy machine.
constexpr Millis kRecoveryLimit{ 30000 };

/// Kills entries and targets, up to two of each at once, and starts them again,
/// at moments that the seed fixes.
class Killer
{
public:
  Killer(Cluster& aCluster, std::uint64_t aSeed)
    : cluster_(aCluster)
    , random_(aSeed)
  {
  }

  void Run(std::uint64_t aUntilNs)
  {
    while (MonotonicNs() < aUntilNs) {
      std::this_thread::sleep_for(Millis(Pick(100, 900)));
      const auto entries = Some(cluster_.NodeIds());
      std::vector<std::string> targets;
      for (int i = 1; i <= kTargets; ++i) {
        targets.push_back(TargetName(i));
      }
      targets = Some(targets);
      for (const auto& id : entries) {
        cluster_.Node(id).process_->Kill();
      }
      for (const auto& id : targets) {
        cluster_.TargetProcess(id).Kill();
      }
      killed_ += entries.size() + targets.size();
      std::this_thread::sleep_for(Millis(Pick(50, 1200)));
      for (const auto& id : targets) {
        StartAgain(id);
      }
      for (const auto& id : entries) {
        cluster_.StartNode(id);
      }
    }
  }

  std::size_t Killed() const { return killed_; }

private:
  int Pick(int aLeast, int aMost)
  {
    return std::uniform_int_distribution<int>(aLeast, aMost)(random_);
  }

  std::vector<std::string> Some(std::vector<std::string> aNames)
  {
    std::shuffle(aNames.begin(), aNames.end(), random_);
    aNames.resize(static_cast<std::size_t>(Pick(0, 2)));
    return aNames;
  }

  void StartAgain(const std::string& aTarget)
  {
    const int number = std::stoi(aTarget.substr(3));
    ClusterTarget target;
    target.id_ = aTarget;
    target.zone_ = "z" + std::to_string((number - 1) % 3 + 1);
    target.rack_ = "r" + std::to_string(number);
    target.arguments_ = { "--incarnation",
                          std::to_string(++incarnations_[aTarget] + 1),
                          "--service-ms",
                          std::to_string(kServiceMs) };
    cluster_.StartTarget(target);
  }

  Cluster& cluster_;
  std::mt19937_64 random_;
  std::map<std::string, int> incarnations_;
  std::size_t killed_ = 0;
};

} // namespace

// Guards the promises to callers when processes die at any moment, several at
// once and again just after their return, and the return to service without
// help.
TEST_CASE("kills at random moments break no promise to callers")
{
  ClusterSettings settings;
  settings.nodes_ = kNodes;
  Cluster cluster(settings);
  StartSystem(cluster, "rota,100,6,2,2\n", kTargets, false, kServiceMs);
  HistoryRecorder recorder;
  std::uint64_t seed = 700;
  Killer killer(cluster, seed);
  for (int round = 0; round < 3; ++round) {
    ++seed;
    LoadSettings load;
    for (const auto& node : cluster.NodeIds()) {
      load.entries_.push_back(cluster.Node(node).callers_);
    }
    load.pools_ = { "rota" };
    load.rate_ = 100;
    load.duration_ = kLoadTime;
    load.postPercent_ = 60;
    load.deadline_ = 1500ms;
    load.seed_ = seed;
    LoadReport report;
    std::jthread loader([&] { report = RunLoad(load, recorder); });
    killer.Run(MonotonicNs() +
               static_cast<std::uint64_t>(kLoadTime.count()) * 1000000);
    loader.join();
    std::cout << "kills: seed " << seed << " killed " << killer.Killed() << " "
              << ToJson(report).dump() << '\n';
    INFO("seed " << seed);
    CHECK(report.answered_ > 0);
    cluster.WaitReady(kRecoveryLimit);
    for (const auto& node : cluster.NodeIds()) {
      cluster.WaitUsable(node, kTargets, kRecoveryLimit);
    }
  }
  const auto runs = cluster.TargetRuns();
  CheckCallers(recorder.Operations(), runs);
  CHECK(Describe(CheckOnePool(AssignmentsOf(runs), runs)) == kNone);
}
