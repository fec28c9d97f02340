#include "control_support.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <iostream>

using namespace acaciahill;
using namespace acaciahill::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kSeed = 11;
constexpr int kRounds = 6;
constexpr int kOperators = 4;
/// Longer than an election with FastTiming().
constexpr Millis kFaultTime{ 1500 };
constexpr Millis kPause{ 1000 };
constexpr Millis kLevelLimit{ 4000 };
constexpr Millis kResendTimeout{ 5000 };

/// Kills or freezes the leader for longer than an election, round after round.
void
DisturbLeaders(Cluster& aCluster, TableWatch& aWatch, std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  for (int round = 0; round < kRounds; ++round) {
    std::string leader;
    aCluster.Require("a leader", kStartLimit, [&] {
      leader = aCluster.Leader();
      return !leader.empty();
    });
    const bool isKill = round % 2 == 0;
    aWatch.BeginFault(leader);
    auto& process = *aCluster.Node(leader).process_;
    if (isKill) {
      process.Kill();
    } else {
      process.Freeze();
    }
    std::this_thread::sleep_for(kFaultTime + Millis(random() % 500));
    if (isKill) {
      aCluster.StartNode(leader);
    } else {
      process.Thaw();
    }
    aWatch.EndFault(leader, isKill);
    std::this_thread::sleep_for(kPause + Millis(random() % 500));
  }
}

/// The first result of every change, asked again through each node in turn.
Violations
CheckResends(Cluster& aCluster, const std::vector<CellChange>& aChanges)
{
  Violations found;
  std::size_t turn = 0;
  const auto& nodes = aCluster.NodeIds();
  for (const auto& change : aChanges) {
    if (!IsDefinite(change)) {
      continue;
    }
    auto again = change;
    SendChange(aCluster, nodes[turn++ % nodes.size()], again, kResendTimeout);
    if (again.outcome_ != change.outcome_ ||
        again.version_ != change.version_ || again.index_ != change.index_) {
      found.push_back({ "first result",
                        change.requestId_ + " was " + change.outcome_ +
                          " at version " + std::to_string(change.version_) +
                          " and is " + again.outcome_ + " at version " +
                          std::to_string(again.version_) });
    }
  }
  return found;
}

} // namespace

// Guards against accepted changes that revert or are not in force everywhere
// within 4 s, two winners at one version, and resends that run again or lose
// their first result, while leaders are killed and frozen in turn.
TEST_CASE("accepted changes stay while leaders are killed and frozen")
{
  ClusterSettings settings;
  settings.nodes_ = 4;
  settings.extraLines_ = FastTiming();
  Cluster cluster(settings);
  cluster.StartAll();
  ApplyFirstTable(cluster, "n1");
  cluster.WaitReady(kStartLimit);
  cluster.WaitInForce(1, kStartLimit);

  TableWatch watch(cluster);
  Operators operators(cluster, kOperators, kSeed);
  DisturbLeaders(cluster, watch, kSeed);
  const auto changes = operators.Stop();
  const auto last =
    std::max_element(changes.begin(),
                     changes.end(),
                     [](const CellChange& aLeft, const CellChange& aRight) {
                       return aLeft.version_ < aRight.version_;
                     });
  REQUIRE(last != changes.end());
  cluster.WaitInForce(last->version_, kLevelLimit);
  watch.Stop();

  const auto count = [&](const std::string& aOutcome) {
    return std::count_if(
      changes.begin(), changes.end(), [&](const CellChange& aChange) {
        return aChange.outcome_ == aOutcome;
      });
  };
  const auto accepted = count("accepted");
  const auto resent = std::count_if(
    changes.begin(), changes.end(), [](const CellChange& aChange) {
      return aChange.sendings_ > 1;
    });
  std::map<std::string, int> outcomes;
  for (const auto& change : changes) {
    ++outcomes[change.outcome_];
  }
  for (const auto& [outcome, number] : outcomes) {
    std::cout << outcome << ": " << number << "\n";
  }
  std::cout << "seed " << kSeed << ": " << accepted << " accepted, "
            << count("version_conflict") << " conflicts, " << resent
            << " resent, " << watch.Looks().size() << " looks\n";
  CHECK(Describe(watch.Check(changes)).empty());
  CHECK(Describe(CheckOneWinner(changes)).empty());
  CHECK(Describe(CheckValues(watch.Looks(), changes)).empty());
  CHECK(Describe(CheckResends(cluster, changes)).empty());
  // Each change has a known outcome, and each version an accepted change: the
  // first table is version 1.
  CHECK(accepted + count("version_conflict") ==
        static_cast<std::ptrdiff_t>(changes.size()));
  CHECK(static_cast<std::uint64_t>(accepted) + 1 == VersionOn(cluster, "n1"));
  // A run without races and lost answers would show nothing.
  CHECK(accepted > kRounds);
  CHECK(count("version_conflict") > 0);
  CHECK(resent > 0);
}
