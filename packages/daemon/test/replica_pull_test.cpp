#include "daemon/replica_service_base.h"

#include "state/text_func.h"
#include "support/process_harness.h"

#include <Poco/TemporaryFile.h>

#include <catch2/catch.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

using namespace acaciahill;
using acaciahill::testing::FreeAddress;
using namespace std::chrono_literals;

namespace {

constexpr auto kLimit = 10s;
// Long enough for several pulls.
constexpr auto kSeveralPulls = 2s;
constexpr Millis kDigestAge{ 10000 };
constexpr const char* kCluster = "test";

/// A voter that answers every pull with the same reply.
class FakeSource : public PeerHandler
{
public:
  explicit FakeSource(PeerPullReply aReply)
    : reply_(std::move(aReply))
    , server_(*this)
    , address_(FreeAddress())
  {
    REQUIRE(IsOk(server_.Start(address_, kCluster)));
  }
  ~FakeSource() override { server_.Stop(); }

  PeerRaft HandleRaft(const PeerRaft&) override { return {}; }

  PeerPullReply HandlePull(const PeerPull& aRequest) override
  {
    std::this_thread::sleep_for(20ms);
    const std::lock_guard lock(mutex_);
    ++pulls_;
    last_ = aRequest;
    return reply_;
  }

  CommandResult HandlePropose(const PeerPropose&) override
  {
    CommandResult result;
    result.error_ = Error{ ErrorKind::NotLeader, "" };
    return result;
  }

  PeerStatus HandleStatus(const PeerStatusRequest&) override { return {}; }

  int Pulls() const
  {
    const std::lock_guard lock(mutex_);
    return pulls_;
  }

  PeerPull Last() const
  {
    const std::lock_guard lock(mutex_);
    return last_;
  }

  const std::string& Address() const { return address_; }

private:
  mutable std::mutex mutex_;
  PeerPullReply reply_;
  PeerPull last_;
  int pulls_ = 0;
  PeerServer server_;
  std::string address_;
};

/// The replica of one node with a single pull source.
class Node
{
public:
  Node(bool aIsVoter, const std::string& aSource)
  {
    DaemonSettings settings;
    settings.node_ = "n2";
    settings.zone_ = "z1";
    settings.cluster_ = kCluster;
    settings.voter_ = aIsVoter;
    settings.dataDir_ = folder_.path();
    settings.listenPeers_ = FreeAddress();
    settings.advertisePeers_ = settings.listenPeers_;
    settings.voters_ = { { "n1", aSource } };
    if (aIsVoter) {
      settings.voters_.emplace("n2", settings.listenPeers_);
    }
    registry_.Add(kDirectoryServiceName,
                  std::make_unique<DirectoryService>("n2", 1, kDigestAge));
    registry_.Add(
      kReplicaServiceName,
      std::make_unique<ReplicaService>(settings, registry_, metrics_));
    REQUIRE(IsOk(registry_.StartAll()));
  }
  ~Node() { registry_.StopAll(); }

  ReplicaService& Replica()
  {
    return registry_.Find<ReplicaService>(kReplicaServiceName);
  }

  Metrics metrics_;

private:
  Poco::TemporaryFile folder_;
  ServiceRegistry registry_;
};

bool
WaitUntil(const std::function<bool()>& aCondition)
{
  const auto end = std::chrono::steady_clock::now() + kLimit;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(10ms);
  }
  return true;
}

/// A state after the registration of a node, two commands on a claim and the
/// registration of another node.
Fleet
MakeFleet()
{
  Fleet fleet;
  const auto apply = [&fleet](Command aCommand) {
    const auto index = fleet.AppliedIndex() + 1;
    fleet.Apply({ Concat("r", index), 10, std::move(aCommand) }, index);
  };
  apply(RegisterNode{ { "n1", "z1", "127.0.0.1:1", "a", true } });
  apply(BeginClaim{ "k", 1, "n1", "o" });
  apply(EndClaim{ "k", "o", ClaimEnd::Completed, 200, "t", "b", true });
  apply(RegisterNode{ { "n3", "z1", "127.0.0.1:3", "a", false } });
  return fleet;
}

PeerPullReply
Reply()
{
  PeerPullReply reply;
  reply.leader_ = "n1";
  return reply;
}

PeerPull
PullAs(bool aWithoutClaims)
{
  PeerPull pull;
  pull.cluster_ = kCluster;
  pull.node_ = "n9";
  pull.withoutClaims_ = aWithoutClaims;
  return pull;
}

} // namespace

// Guards against a node that is not configured as a voter and misses more than
// claims, and against one that serves its state to a node that may get a vote.
TEST_CASE("a node without a vote follows without claims and says so")
{
  const auto fleet = MakeFleet();
  auto expected = fleet;
  expected.DropClaims();
  auto reply = Reply();
  const bool isSnapshot = GENERATE(true, false);
  if (isSnapshot) {
    // A source that runs an older version sends claims although they are not
    // requested.
    reply.snapshot_ = fleet.EncodeSnapshot();
    reply.snapshotIndex_ = fleet.AppliedIndex();
  } else {
    const auto entry = [](std::uint64_t aIndex, NodeRecord aNode) {
      return LogEntry{ aIndex,
                       1,
                       EntryKind::Command,
                       EncodeEnvelope({ Concat("r", aIndex),
                                        10,
                                        RegisterNode{ std::move(aNode) } }) };
    };
    reply.withoutClaims_ = true;
    reply.entries_ = { entry(1, { "n1", "z1", "127.0.0.1:1", "a", true }),
                       ClaimRun{ 2, 3, 30 },
                       entry(4, { "n3", "z1", "127.0.0.1:3", "a", false }) };
  }
  FakeSource source(reply);
  Node node(false, source.Address());
  auto& replica = node.Replica();
  REQUIRE(WaitUntil([&] { return replica.AppliedIndex() == 4; }));
  CHECK(source.Last().withoutClaims_);
  CHECK(replica.WaitApplied(3, Millis(0)));
  CHECK(replica.Read([&](const Fleet& aFleet) { return aFleet == expected; }));

  const auto partial = replica.HandlePull(PullAs(true));
  CHECK(partial.withoutClaims_);
  CHECK(partial.leader_ == "n1");
  if (isSnapshot) {
    CHECK(Fleet::DecodeSnapshot(partial.snapshot_) == Result<Fleet>(expected));
  } else {
    // Catch2 cannot decompose a comparison of variants.
    const bool isEqual = partial.entries_ == reply.entries_;
    CHECK(isEqual);
  }

  const auto refused = replica.HandlePull(PullAs(false));
  CHECK(refused.withoutClaims_);
  CHECK(refused.entries_.empty());
  CHECK(refused.snapshot_.empty());
  CHECK(refused.leader_.empty());
  CHECK(refused.controlAge_ == Millis(INT32_MAX));

  // Only the leader decides on claim commands, so this node refuses
  // them.
  const auto begun = replica.HandlePropose(
    { kCluster, { "r2", 0, BeginClaim{ "k", 1, "n1", "o" } }, kDigestAge, 0 });
  REQUIRE(begun.error_);
  CHECK(begun.error_->kind_ == ErrorKind::NotLeader);
  CHECK(node.metrics_.PrometheusText().find(
          "acaciahill_control_bytes_total{rpc=\"pull\",direction=\"received\"}"
          " ") != std::string::npos);
}

// Guards against a voter that lost its disk and is readmitted with a state
// without claims: a charge could then run twice.
TEST_CASE("a voter without a vote takes no state that lacks claims")
{
  struct Row
  {
    const char* name_;
    bool isMarked_;
    bool isSnapshot_;
  };
  const auto row = GENERATE(Row{ "marked snapshot", true, true },
                            Row{ "marked run", true, false },
                            Row{ "snapshot not marked", false, true },
                            Row{ "run not marked", false, false });
  INFO(row.name_);
  auto reply = Reply();
  reply.withoutClaims_ = row.isMarked_;
  if (row.isSnapshot_) {
    reply.snapshot_ = MakeFleet().EncodeSnapshotWithoutClaims();
    reply.snapshotIndex_ = 4;
  } else {
    reply.entries_ = { ClaimRun{ 1, 4, 40 } };
  }
  FakeSource source(reply);
  Node node(true, source.Address());
  REQUIRE(WaitUntil([&] { return source.Pulls() >= 2; }));
  std::this_thread::sleep_for(kSeveralPulls);
  CHECK_FALSE(source.Last().withoutClaims_);
  CHECK_FALSE(source.Last().disk_.empty());
  CHECK(node.Replica().AppliedIndex() == 0);
  CHECK(node.Replica().Read(
    [](const Fleet& aFleet) { return aFleet.HoldsClaims(); }));
  if (row.isMarked_) {
    CHECK_FALSE(node.Replica().Control().caughtUp_);
  }
}

// Guards against a learner that pulls without claims although its source has
// them.
TEST_CASE("a voter without a vote follows with claims")
{
  const auto fleet = MakeFleet();
  auto reply = Reply();
  reply.snapshot_ = fleet.EncodeSnapshot();
  reply.snapshotIndex_ = fleet.AppliedIndex();
  FakeSource source(reply);
  Node node(true, source.Address());
  auto& replica = node.Replica();
  REQUIRE(WaitUntil([&] { return replica.AppliedIndex() == 4; }));
  CHECK(replica.Read([&](const Fleet& aFleet) { return aFleet == fleet; }));
  const auto whole = replica.HandlePull(PullAs(false));
  CHECK_FALSE(whole.withoutClaims_);
  CHECK(whole.snapshot_ == fleet.EncodeSnapshot());
  const auto partial = replica.HandlePull(PullAs(true));
  CHECK(partial.withoutClaims_);
  CHECK(partial.snapshot_ == fleet.EncodeSnapshotWithoutClaims());
}
