#include "consensus/log_store_base.h"
#include "daemon/replica_service_base.h"
#include "support/process_harness.h"

#include <Poco/File.h>
#include <Poco/TemporaryFile.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <functional>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

using namespace acaciahill;
using namespace std::chrono_literals;

namespace {

constexpr const char* kCluster = "test";
constexpr std::size_t kSeeds = 3;
constexpr Millis kDigestAge{ 10000 };
// Time within which a new or replaced node must have caught up.
constexpr Millis kCatchUp{ 6000 };

std::string
DiskOf(const std::string& aNode)
{
  return "genesis-" + aNode;
}

/// A group of replicas in one process, with the first three as seeds. Each has
/// its own address on the loopback network; all use the same port.
class Group
{
public:
  Group(int aNodes, int aZones, int aToleratedLosses)
    : toleratedLosses_(aToleratedLosses)
    , zones_(aZones)
  {
    for (int i = 0; i < aNodes; ++i) {
      nodes_.push_back(std::make_unique<Node>());
      nodes_.back()->address_ = "127.0.3." + std::to_string(i + 1);
    }
    for (std::size_t i = 0; i < kSeeds; ++i) {
      MakeGenesis(*nodes_[i]);
    }
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      Start(i);
    }
  }

  ~Group()
  {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      Stop(i);
    }
  }

  void Start(std::size_t aNode)
  {
    auto& node = *nodes_[aNode];
    DaemonSettings settings;
    settings.node_ = node.address_;
    // Assigns the availability zones in turn, so that the seeds are in
    // different zones if there are at least as many zones as seeds.
    settings.zone_ =
      "z" + std::to_string(aNode % static_cast<std::size_t>(zones_));
    settings.cluster_ = kCluster;
    settings.voter_ = true;
    settings.dataDir_ = node.folder_.path() + "/data";
    settings.listenPeers_ = node.address_ + ":" + port_;
    settings.advertisePeers_ = settings.listenPeers_;
    for (std::size_t i = 0; i < kSeeds; ++i) {
      const auto& seed = nodes_[i]->address_;
      settings.voters_.emplace(seed, seed + ":" + port_);
    }
    settings.seeded_ = SeededGroup{ port_, true, toleratedLosses_ };
    settings.raft_ = { 120ms, 600ms, 1200ms };
    node.registry_ = std::make_unique<ServiceRegistry>();
    node.metrics_ = std::make_unique<Metrics>();
    node.registry_->Add(
      kDirectoryServiceName,
      std::make_unique<DirectoryService>(node.address_, aNode + 1, kDigestAge));
    node.registry_->Add(kReplicaServiceName,
                        std::make_unique<ReplicaService>(
                          settings, *node.registry_, *node.metrics_));
    REQUIRE(IsOk(node.registry_->StartAll()));
  }

  void Stop(std::size_t aNode)
  {
    if (nodes_[aNode]->registry_) {
      nodes_[aNode]->registry_->StopAll();
      nodes_[aNode]->registry_.reset();
    }
  }

  void LoseDisk(std::size_t aNode)
  {
    Poco::File(nodes_[aNode]->folder_.path() + "/data").remove(true);
  }

  bool IsRunning(std::size_t aNode) const
  {
    return nodes_[aNode]->registry_ != nullptr;
  }

  ReplicaService& Replica(std::size_t aNode)
  {
    return nodes_[aNode]->registry_->Find<ReplicaService>(kReplicaServiceName);
  }

  /// The leader's list of voters; empty while no leader is in contact with a
  /// majority.
  std::vector<VoterId> Voters()
  {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (!IsRunning(i)) {
        continue;
      }
      const auto control = Replica(i).Control();
      if (control.isLeader_ && !control.stale_) {
        return control.voters_;
      }
    }
    return {};
  }

  /// Indices of the nodes that have a vote.
  std::vector<std::size_t> VotingNodes()
  {
    std::vector<std::size_t> voting;
    for (const auto& voter : Voters()) {
      for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (nodes_[i]->address_ == voter.node_) {
          voting.push_back(i);
        }
      }
    }
    return voting;
  }

  /// WaitFor until there are aCount voters, each with the current disk id of
  /// its node. False on timeout.
  bool HasVoters(std::size_t aCount, Millis aWithin)
  {
    return WaitFor(
      [&] {
        const auto voters = Voters();
        return voters.size() == aCount &&
               std::all_of(
                 voters.begin(), voters.end(), [this](const auto& aVoter) {
                   return HasDisk(aVoter);
                 });
      },
      aWithin);
  }

  /// Commits the registration of a node. False if that fails within the time.
  bool Commits(const std::string& aNode, Millis aWithin)
  {
    const auto last =
      std::find_if(nodes_.rbegin(), nodes_.rend(), [](const auto& aOne) {
        return aOne->registry_ != nullptr;
      });
    auto& replica =
      (*last)->registry_->Find<ReplicaService>(kReplicaServiceName);
    const NodeRecord record{ aNode, "z", "127.0.0.1:1", "", false };
    return !replica.Propose(RegisterNode{ record }, aWithin).error_;
  }

  bool Holds(const std::string& aNode)
  {
    return WaitFor(
      [&] {
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
          if (IsRunning(i) && Replica(i).Control().isLeader_) {
            return Replica(i).Read([&](const Fleet& aFleet) {
              return aFleet.Nodes().contains(aNode);
            });
          }
        }
        return false;
      },
      kCatchUp);
  }

  static bool WaitFor(const std::function<bool()>& aCondition, Millis aWithin)
  {
    const auto end = std::chrono::steady_clock::now() + aWithin;
    while (!aCondition()) {
      if (std::chrono::steady_clock::now() > end) {
        return false;
      }
      std::this_thread::sleep_for(20ms);
    }
    return true;
  }

private:
  /// True when the voter's disk id is the one stored in the node's folder.
  bool HasDisk(const VoterId& aVoter) const
  {
    const auto node =
      std::find_if(nodes_.begin(), nodes_.end(), [&aVoter](const auto& aOne) {
        return aOne->address_ == aVoter.node_;
      });
    std::ifstream file((*node)->folder_.path() + "/data/disk_id");
    std::ostringstream content;
    content << file.rdbuf();
    return content.str().find(aVoter.disk_) != std::string::npos;
  }

  struct Node
  {
    std::string address_;
    Poco::TemporaryFile folder_;
    std::unique_ptr<ServiceRegistry> registry_;
    std::unique_ptr<Metrics> metrics_;
  };

  void MakeGenesis(Node& aNode)
  {
    Poco::File(aNode.folder_.path()).createDirectories();
    auto opened = OpenFileLog(
      OsFileSystem(), aNode.folder_.path() + "/data", DiskOf(aNode.address_));
    REQUIRE(IsOk(opened));
    Snapshot first;
    for (std::size_t i = 0; i < kSeeds; ++i) {
      const auto& seed = nodes_[i]->address_;
      first.voters_.voters_.push_back({ seed, DiskOf(seed) });
    }
    const auto folder = ValueOf(std::move(opened));
    REQUIRE(IsOk(folder.store_->Save(SaveSnapshot{ first, true })));
  }

  const int toleratedLosses_;
  const int zones_;
  const std::string port_{ std::to_string(testing::FreePort()) };
  std::vector<std::unique_ptr<Node>> nodes_;
};

} // namespace

// Guards against control nodes that are never admitted because they ask a voter
// of their own availability zone, which is not the leader.
TEST_CASE("a seeded group grows to the voters that the losses need")
{
  struct Row
  {
    int nodes_;
    int zones_;
    int losses_;
    std::size_t voters_;
  };
  const auto row = GENERATE(
    Row{ 3, 3, 1, 3 }, Row{ 6, 3, 2, 5 }, Row{ 8, 4, 2, 5 }, Row{ 4, 2, 2, 4 });
  CAPTURE(row.nodes_, row.zones_, row.losses_);
  Group group(row.nodes_, row.zones_, row.losses_);
  CHECK(group.HasVoters(row.voters_, kCatchUp));
}

// Guards against the loss of acknowledged changes, and a group without a
// leader, after as many lost disks as the group must tolerate.
TEST_CASE("a group bears the tolerated losses of disks at any time")
{
  Group group(6, 3, 2);
  REQUIRE(group.HasVoters(5, kCatchUp));
  for (const int round : { 1, 2, 3 }) {
    CAPTURE(round);
    const auto name = "change-" + std::to_string(round);
    REQUIRE(group.Commits(name, kCatchUp));
    const auto voting = group.VotingNodes();
    REQUIRE(voting.size() == 5);
    // All nodes stop, and two voters lose their disks.
    for (std::size_t i = 0; i < 6; ++i) {
      group.Stop(i);
    }
    group.LoseDisk(voting[0]);
    group.LoseDisk(voting[static_cast<std::size_t>(round) + 1]);
    for (std::size_t i = 0; i < 6; ++i) {
      group.Start(i);
    }
    CHECK(group.Holds(name));
    CHECK(group.HasVoters(5, kCatchUp));
  }
}

// Guards against a node that was replaced while it was stopped and then rejects
// every leader, because it still has a vote by its own log.
TEST_CASE("a voter that was replaced while it was away follows again")
{
  Group group(6, 3, 2);
  REQUIRE(group.HasVoters(5, kCatchUp));
  const auto voting = group.VotingNodes();
  REQUIRE(voting.size() == 5);
  const auto away =
    *std::find_if(voting.begin(), voting.end(), [&](std::size_t aNode) {
      return !group.Replica(aNode).Control().isLeader_;
    });
  group.Stop(away);
  REQUIRE(Group::WaitFor(
    [&] {
      const auto now = group.VotingNodes();
      return now.size() == 5 &&
             std::find(now.begin(), now.end(), away) == now.end();
    },
    kCatchUp));
  // No running node has informed it of its removal.
  for (std::size_t i = 0; i < 6; ++i) {
    group.Stop(i);
  }
  for (std::size_t i = 0; i < 6; ++i) {
    group.Start(i);
  }
  REQUIRE(group.HasVoters(5, 2 * kCatchUp));
  REQUIRE(group.Commits("later", kCatchUp));
  CHECK(Group::WaitFor(
    [&] {
      return group.Replica(away).Read(
        [](const Fleet& aFleet) { return aFleet.Nodes().contains("later"); });
    },
    2 * kCatchUp));
}

// Guards against a voter that is never replaced after its node is lost, so that
// further losses leave no majority.
TEST_CASE("a voter that is gone is replaced within the time to catch up")
{
  Group group(6, 3, 2);
  REQUIRE(group.HasVoters(5, kCatchUp));
  const auto voting = group.VotingNodes();
  REQUIRE(voting.size() == 5);
  const auto gone =
    *std::find_if(voting.begin(), voting.end(), [&](std::size_t aNode) {
      return !group.Replica(aNode).Control().isLeader_;
    });
  group.Stop(gone);
  CHECK(Group::WaitFor(
    [&] {
      const auto now = group.VotingNodes();
      return now.size() == 5 &&
             std::find(now.begin(), now.end(), gone) == now.end();
    },
    kCatchUp));
}
