#include "proof/data_support.h"

#include <algorithm>
#include <chrono>
#include <iostream>
#include <thread>

using namespace acaciahill;
using namespace acaciahill::testing;
using namespace std::chrono_literals;

namespace {

constexpr int kTargets = 6;
constexpr std::uint64_t kSeed = 601;
constexpr Millis kDeadline{ 2000 };
/// Routing lease of 5 s and margin of 1 s: from then on an entry has no
/// evidence of targets that it does not reach.
constexpr Millis kSettled{ 6000 };
constexpr Millis kSettledTime{ 3000 };
constexpr Millis kCalmTime{ 2000 };
/// An election takes 2 to 4 s; the rest is left to a busy machine.
constexpr Millis kHealLimit{ 30000 };

/// The entries that get the load. A proxy in front of a target cannot tell
/// entries apart, so that each side of a cut is looked at by itself: the
/// targets of the other side are unreachable.
enum class Side : std::uint8_t
{
  Inside,
  Outside,
};

std::vector<std::string>
EntriesOf(Cluster& aCluster, const std::string& aZone, Side aSide)
{
  std::vector<std::string> entries;
  for (const auto& id : aCluster.NodeIds()) {
    if ((aCluster.Node(id).zone_ == aZone) == (aSide == Side::Inside)) {
      entries.push_back(aCluster.Node(id).callers_);
    }
  }
  return entries;
}

void
CutTargets(Cluster& aCluster, const std::string& aZone, Side aSide, bool aCut)
{
  for (int i = 1; i <= kTargets; ++i) {
    const auto zone = "z" + std::to_string((i - 1) % 3 + 1);
    if ((zone == aZone) != (aSide == Side::Inside)) {
      aCluster.TargetProxy(TargetName(i)).Cut(aCut);
    }
  }
}

/// Prints the share of the requests from a time on that were answered, and
/// gives those without a key that were not.
std::string
Unserved(const std::string& aWhat,
         const std::vector<Operation>& aOperations,
         std::uint64_t aFromNs)
{
  std::size_t sent = 0;
  std::size_t answered = 0;
  std::string text;
  for (const auto& operation : aOperations) {
    if (operation.beginNs_ < aFromNs || !operation.key_.empty()) {
      continue;
    }
    ++sent;
    if (operation.outcome_ == "answered") {
      ++answered;
    } else {
      text += operation.nonce_ + " " + operation.outcome_ + " " +
              operation.detail_ + "\n";
    }
  }
  std::cout << "zone cut: " << aWhat << ": answered " << answered << " of "
            << sent << " without key\n";
  return text;
}

class ZoneProof
{
public:
  explicit ZoneProof(Cluster& aCluster)
    : cluster_(aCluster)
  {
  }

  void Run(const std::string& aZone, Side aSide, std::uint64_t aSeed)
  {
    const auto entries = EntriesOf(cluster_, aZone, aSide);
    const auto name = aZone + (aSide == Side::Inside ? " inside" : " outside") +
                      ", seed " + std::to_string(aSeed);
    INFO(name);
    CHECK(Unserved(name + ", before", Load(entries, kCalmTime, aSeed), 0) ==
          kNone);
    std::vector<Operation> during;
    std::jthread loader([&] {
      during = Load(entries, kCalmTime + kSettled + kSettledTime, aSeed + 1);
    });
    std::this_thread::sleep_for(kCalmTime);
    cluster_.CutZone(aZone, true);
    CutTargets(cluster_, aZone, aSide, true);
    const auto cutNs = MonotonicNs();
    loader.join();
    const auto settledNs =
      cutNs + static_cast<std::uint64_t>(kSettled.count()) * 1000000;
    Unserved(name + ", from the cut on", during, cutNs);
    CHECK(Unserved(name + ", after 6 s", during, settledNs) == kNone);
    if (aSide == Side::Inside) {
      CheckKeysRefused(during, settledNs);
    }
    cluster_.CutZone(aZone, false);
    CutTargets(cluster_, aZone, aSide, false);
    cluster_.WaitReady(kHealLimit);
    for (const auto& node : cluster_.NodeIds()) {
      cluster_.WaitUsable(node, kTargets, kHealLimit);
    }
    CHECK(Unserved(name + ", healed", Load(entries, kCalmTime, aSeed + 2), 0) ==
          kNone);
  }

  const std::vector<Operation>& Operations() const { return all_; }

private:
  std::vector<Operation> Load(const std::vector<std::string>& aEntries,
                              Millis aDuration,
                              std::uint64_t aSeed)
  {
    LoadSettings load;
    load.entries_ = aEntries;
    load.pools_ = { "rota" };
    load.rate_ = 60;
    load.duration_ = aDuration;
    load.deadline_ = kDeadline;
    load.seed_ = aSeed;
    HistoryRecorder recorder;
    RunLoad(load, recorder);
    auto operations = recorder.Operations();
    all_.insert(all_.end(), operations.begin(), operations.end());
    return operations;
  }

  static void CheckKeysRefused(const std::vector<Operation>& aOperations,
                               std::uint64_t aFromNs)
  {
    std::string text;
    for (const auto& operation : aOperations) {
      if (operation.beginNs_ >= aFromNs && !operation.key_.empty() &&
          operation.outcome_ != "not-run") {
        text += operation.nonce_ + " " + operation.outcome_ + "\n";
      }
    }
    CHECK(text == kNone);
  }

  Cluster& cluster_;
  std::vector<Operation> all_;
};

} // namespace

// Guards serving in an availability zone that is cut off, and elsewhere:
// callers that get no answer although targets are in reach, and broken promises
// to callers at the cut and at the healing.
TEST_CASE("a zone cut off serves its callers, and so do the others")
{
  ClusterSettings settings;
  settings.proxies_ = PeerProxies::PerPair;
  Cluster cluster(settings);
  StartSystem(cluster, "rota,100,6,2,2\n", kTargets, true, 5);
  ZoneProof proof(cluster);
  const auto leader = cluster.Leader();
  REQUIRE_FALSE(leader.empty());
  proof.Run(
    cluster.Node(leader == "n3" ? "n2" : "n3").zone_, Side::Inside, kSeed);
  const auto next = cluster.Leader();
  REQUIRE_FALSE(next.empty());
  proof.Run(cluster.Node(next).zone_, Side::Outside, kSeed + 10);
  const auto last = cluster.Leader();
  REQUIRE_FALSE(last.empty());
  proof.Run(cluster.Node(last).zone_, Side::Inside, kSeed + 20);

  const auto runs = cluster.TargetRuns();
  CheckCallers(proof.Operations(), runs);
  CHECK(Describe(CheckOnePool(AssignmentsOf(runs), runs)) == kNone);
}
