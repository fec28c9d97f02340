#include "consensus/test/raft_network_base.h"

#include <catch2/catch.hpp>

using namespace acaciahill;
using namespace acaciahill::test;
using namespace std::chrono_literals;

namespace {

/// Random faults and operations against one group. The next disk is lost only
/// after the last lost one is repaired, as Raft does not tolerate more.
class RandomRun
{
public:
  RandomRun(std::uint64_t aSeed, int aVoters, Faults aFaults)
    : net_(aSeed, aVoters, aFaults)
  {
  }

  /// Runs random operations in the first 8 s of each 15 s; in the rest the
  /// group can repair itself, but the message and crash faults go on.
  void RunWithFaults(Millis aTime)
  {
    for (const auto end = net_.Now() + aTime; net_.Now() < end;) {
      net_.Run(Millis(20 + net_.random_() % 100));
      if (net_.Now().time_since_epoch() % 15s < 8s) {
        RandomOperation();
      } else {
        StartAll();
        net_.Propose(std::to_string(net_.random_()));
      }
      net_.RepairVoters();
    }
  }

  /// Ends all faults; true when the group then commits an entry and all members
  /// have the same state.
  bool Recover()
  {
    net_.SetFaults({});
    StartAll();
    const bool repaired = net_.RunUntil([this] {
      net_.RepairVoters();
      return IsRepaired() &&
             net_.Core(net_.Leader()).HasQuorumContact(net_.Now());
    });
    const auto index = net_.Propose("last");
    return repaired && index > 0 && net_.RunUntil([&] {
      return net_.Committed() >= index && net_.IsSettled();
    });
  }

  RaftNetwork net_;

private:
  void StartAll()
  {
    net_.Heal();
    for (const auto& node : net_.Nodes()) {
      if (!net_.At(node).core_) {
        net_.Start(node);
      }
    }
  }

  std::string AnyNode()
  {
    const auto nodes = net_.Nodes();
    return nodes[net_.random_() % nodes.size()];
  }

  void RandomOperation()
  {
    const auto node = AnyNode();
    const auto choice = net_.random_() % 100;
    if (choice < 60) {
      // In 1 % of the operations, more entries than fit into one request (256).
      const auto count = choice == 0 ? 300 : 1;
      for (int i = 0; i < count; ++i) {
        net_.Propose(std::to_string(net_.random_()));
      }
    } else if (choice < 68) {
      net_.Compact(node);
    } else if (choice < 76) {
      net_.Cut(node, AnyNode());
    } else if (choice < 80) {
      net_.Isolate(node);
    } else if (choice < 88) {
      net_.Heal();
    } else if (choice < 92) {
      net_.Crash(node);
    } else if (choice < 98) {
      if (!net_.At(node).core_) {
        net_.Start(node);
      }
    } else if (IsRepaired() && net_.Nodes().size() > 1) {
      net_.Crash(node);
      net_.LoseDisk(node);
    }
  }

  /// True when all nodes are voters with their current disks, and each has
  /// applied all committed entries and has the same voter set.
  bool IsRepaired()
  {
    const auto leader = net_.Leader();
    if (leader.empty() ||
        net_.Core(leader).Voters().voters_.size() != net_.Nodes().size()) {
      return false;
    }
    for (const auto& node : net_.Nodes()) {
      const auto& member = net_.At(node);
      const VoterId self{ node, member.disk_.diskId_ };
      const auto& voters = net_.Core(leader).Voters().voters_;
      if (!member.core_ || member.applied_ < net_.Committed() ||
          member.core_->Voters() != net_.Core(leader).Voters() ||
          std::find(voters.begin(), voters.end(), self) == voters.end()) {
        return false;
      }
    }
    return true;
  }
};

} // namespace

// Guards against any loss, change or reordering of committed entries, two
// leaders in a term, and members whose states differ, under dropped, delayed,
// reordered and duplicated messages, cuts in one or both directions, crashes
// between any two actions, and lost disks. The checks are in RaftNetwork.
TEST_CASE("random faults break no promise of the log")
{
  struct Row
  {
    const char* name_;
    int voters_;
    std::uint64_t seeds_;
    Faults faults_;
  };
  const auto row = GENERATE(Row{ "single voter", 1, 20, { 0, 0, 5, 20 } },
                            Row{ "calm network", 3, 60, { 0, 0, 10, 2 } },
                            Row{ "lossy network", 3, 100, { 10, 5, 60, 5 } },
                            Row{ "slow network", 3, 40, { 5, 20, 900, 5 } },
                            Row{ "five voters", 5, 60, { 5, 5, 100, 3 } });
  std::uint64_t committed = 0;
  for (std::uint64_t seed = 1; seed <= row.seeds_; ++seed) {
    INFO(row.name_ << ", seed " << seed);
    RandomRun run(seed, row.voters_, row.faults_);
    REQUIRE_NOTHROW(run.RunWithFaults(90s));
    bool recovered = false;
    REQUIRE_NOTHROW(recovered = run.Recover());
    CHECK(recovered);
    committed += run.net_.Committed();
  }
  // Fails when the faults prevent commits, so that nothing would be checked.
  CHECK(committed > row.seeds_ * 100);
}
