#include "membership/digest_exchange_base.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace acaciahill;
using namespace std::chrono_literals;

namespace {

constexpr Millis kMaxAge{ 15s };
constexpr int kSeedCount = 200;
constexpr int kNodeCount = 4;
constexpr std::uint32_t kTargetCount = 3;
constexpr Millis kFaultTime{ 60s };
/// Time without faults; longer than the longest delay of a packet.
constexpr Millis kConvergenceTime{ 20s };
constexpr Millis kTick{ 10 };
constexpr Millis kAnnounceInterval{ 1000 };
constexpr Millis kExchangeInterval{ 500 };
/// One announcement interval, two exchange intervals, and transit times.
constexpr Millis kMaxEvidenceAge{ 2500 };

/// An incarnation and epoch of a target, and the last simulated time at which
/// the target had them.
struct TargetVersion
{
  std::uint64_t incarnation_ = 1;
  std::uint64_t epoch_ = 1;
  Millis heldUntil_{ 0 };
};

struct Node
{
  Millis clockOffset_{ 0 };
  Millis frozenUntil_{ 0 };
  Directory directory_;
  DigestExchange exchange_;
  /// Highest incarnation and epoch of each target seen in the directory.
  std::map<std::uint32_t, std::pair<std::uint64_t, std::uint64_t>>
    newestVersions_;

  Node(const std::string& aName, std::uint64_t aBoot, Millis aOffset)
    : clockOffset_(aOffset)
    , directory_(aName)
    , exchange_(aName, aBoot)
  {
  }
};

struct Packet
{
  Millis deliverAt_{ 0 };
  int from_ = 0;
  int to_ = 0;
  bool isRequest_ = false;
  DigestMessage message_;
};

/// Simulates nodes with different clocks that exchange digests over a network
/// that delays, reorders, duplicates and loses them.
class MembershipSimulation
{
public:
  explicit MembershipSimulation(std::uint64_t aSeed)
    : random_(aSeed)
  {
    for (std::uint32_t number = 1; number <= kTargetCount; ++number) {
      versions_[number].push_back({});
    }
    for (int i = 0; i < kNodeCount; ++i) {
      nodes_.push_back(MakeNode(i));
    }
  }

  void Run()
  {
    for (; now_ < kFaultTime; now_ += kTick) {
      InjectFaults();
      SimulateTick();
    }
    injectFaults_ = false;
    for (auto& node : nodes_) {
      node.frozenUntil_ = now_;
    }
    for (; now_ < kFaultTime + kConvergenceTime; now_ += kTick) {
      SimulateTick();
    }
    CheckConverged();
  }

private:
  int PickBetween(int aFrom, int aTo)
  {
    return std::uniform_int_distribution<int>(aFrom, aTo)(random_);
  }

  bool OneIn(int aCount) { return PickBetween(1, aCount) == 1; }

  static std::string NameOf(int aNode) { return "n" + std::to_string(aNode); }

  Node MakeNode(int aNode)
  {
    return { NameOf(aNode), ++lastBoot_, Millis(PickBetween(0, 1000000)) + 1s };
  }

  MonotonicTime ClockOf(const Node& aNode) const
  {
    return MonotonicTime(now_ + aNode.clockOffset_);
  }

  void InjectFaults()
  {
    if (OneIn(150)) {
      ChangeTarget(static_cast<std::uint32_t>(PickBetween(1, kTargetCount)));
    }
    if (OneIn(600)) {
      nodes_[PickBetween(0, kNodeCount - 1)].frozenUntil_ =
        now_ + Millis(PickBetween(500, 20000));
    }
    if (OneIn(900)) {
      const auto node = PickBetween(0, kNodeCount - 1);
      nodes_[node] = MakeNode(node);
    }
  }

  void ChangeTarget(std::uint32_t aNumber)
  {
    auto next = versions_[aNumber].back();
    if (OneIn(4)) {
      ++next.incarnation_;
    } else {
      ++next.epoch_;
    }
    versions_[aNumber].push_back(next);
  }

  void SimulateTick()
  {
    for (auto& [number, versions] : versions_) {
      versions.back().heldUntil_ = now_;
      if (now_ % kAnnounceInterval == Millis(100 * number)) {
        Announce(number, PickBetween(0, kNodeCount - 1));
      }
    }
    for (int i = 0; i < kNodeCount; ++i) {
      if (now_ % kExchangeInterval == Millis(50 * i) && !IsFrozen(i)) {
        Send(i, (i + PickBetween(1, kNodeCount - 1)) % kNodeCount, true);
        Send(i, (i + 1) % kNodeCount, true);
      }
    }
    Deliver();
  }

  bool IsFrozen(int aNode) const { return nodes_[aNode].frozenUntil_ > now_; }

  void Announce(std::uint32_t aNumber, int aNode)
  {
    if (IsFrozen(aNode)) {
      return;
    }
    auto& node = nodes_[aNode];
    const auto& version = versions_[aNumber].back();
    node.directory_.UpdateTarget({ aNumber,
                                   version.incarnation_,
                                   version.epoch_,
                                   false,
                                   0,
                                   ClockOf(node) });
    CheckNode(node);
  }

  void Send(int aFrom, int aTo, bool aIsRequest)
  {
    auto& node = nodes_[aFrom];
    Packet packet{ now_ + Millis(PickBetween(1, 40)),
                   aFrom,
                   aTo,
                   aIsRequest,
                   node.exchange_.MakeFor(
                     NameOf(aTo), node.directory_, ClockOf(node), kMaxAge) };
    if (injectFaults_ && OneIn(8)) {
      return;
    }
    if (injectFaults_ && OneIn(6)) {
      packet.deliverAt_ += Millis(PickBetween(100, 12000));
    }
    if (injectFaults_ && OneIn(10)) {
      auto duplicate = packet;
      duplicate.deliverAt_ += Millis(PickBetween(1, 5000));
      packets_.push_back(duplicate);
    }
    packets_.push_back(packet);
  }

  void Deliver()
  {
    std::vector<Packet> due;
    std::vector<Packet> pending;
    for (auto& packet : packets_) {
      const bool isDue = packet.deliverAt_ <= now_ && !IsFrozen(packet.to_);
      (isDue ? due : pending).push_back(std::move(packet));
    }
    packets_ = std::move(pending);
    std::shuffle(due.begin(), due.end(), random_);
    for (const auto& packet : due) {
      auto& node = nodes_[packet.to_];
      node.exchange_.Accept(
        NameOf(packet.from_), packet.message_, ClockOf(node), node.directory_);
      CheckNode(node);
      if (packet.isRequest_) {
        Send(packet.to_, packet.from_, false);
      }
    }
  }

  void CheckNode(Node& aNode)
  {
    for (const auto& [number, stored] : aNode.directory_.Targets()) {
      const auto& evidence = stored;
      const std::pair version{ evidence.incarnation_, evidence.epoch_ };
      auto& newest = aNode.newestVersions_[number];
      if (version < newest) {
        FAIL("target " << number << " went back to epoch " << evidence.epoch_);
      }
      newest = version;
      const auto madeAt =
        evidence.madeAt_.time_since_epoch() - aNode.clockOffset_;
      const auto& versions = versions_[number];
      const auto matching = std::find_if(
        versions.begin(), versions.end(), [&](const TargetVersion& aVersion) {
          return aVersion.incarnation_ == evidence.incarnation_ &&
                 aVersion.epoch_ == evidence.epoch_;
        });
      REQUIRE(matching != versions.end());
      if (madeAt > matching->heldUntil_) {
        FAIL("evidence of target " << number << " dated "
                                   << (madeAt - matching->heldUntil_).count()
                                   << " ms after the target had changed");
      }
    }
  }

  void CheckConverged() const
  {
    for (const auto& node : nodes_) {
      for (const auto& [number, versions] : versions_) {
        const auto evidence = node.directory_.Find(number);
        REQUIRE(evidence);
        CHECK(evidence->incarnation_ == versions.back().incarnation_);
        CHECK(evidence->epoch_ == versions.back().epoch_);
        CHECK(ClockOf(node) - evidence->madeAt_ <= kMaxEvidenceAge);
      }
    }
  }

  std::mt19937_64 random_;
  Millis now_{ 0 };
  bool injectFaults_ = true;
  std::uint64_t lastBoot_ = 0;
  std::vector<Node> nodes_;
  std::map<std::uint32_t, std::vector<TargetVersion>> versions_;
  std::vector<Packet> packets_;
};

} // namespace

// Guards against evidence that looks fresher than it is, so that a node sends
// work to a target that left; against evidence of an older epoch replacing
// newer evidence; and against nodes that do not converge after the faults.
// Digests are delayed, reordered, duplicated and lost, and processes freeze and
// restart.
TEST_CASE("membership converges despite faults of network and processes")
{
  const auto seed = GENERATE(range(1, kSeedCount + 1));
  INFO("seed " << seed);
  MembershipSimulation(static_cast<std::uint64_t>(seed)).Run();
}
