#include "membership/digest_exchange_base.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace acaciahill;
using namespace std::chrono_literals;

namespace {

constexpr Millis kMaxAge{ 15s };
constexpr int kSeeds = 200;
constexpr int kNodes = 4;
constexpr std::uint32_t kTargets = 3;
constexpr Millis kFaultTime{ 60s };
/// Longer than the longest delay of a packet.
constexpr Millis kQuietTime{ 20s };
constexpr Millis kTick{ 10 };
constexpr Millis kAnnounceInterval{ 1000 };
constexpr Millis kExchangeInterval{ 500 };
/// One announcement, two exchanges in the quiet time, and their way.
constexpr Millis kFreshLimit{ 2500 };

/// A version of what a target says of itself, and the true time until which it
/// was so.
struct Version
{
  std::uint64_t incarnation_ = 1;
  std::uint64_t epoch_ = 1;
  Millis until_{ 0 };
};

struct Node
{
  Millis clockOffset_{ 0 };
  Millis frozenUntil_{ 0 };
  Directory directory_;
  DigestExchange exchange_;
  /// The newest version of each target that was seen in the directory.
  std::map<std::uint32_t, std::pair<std::uint64_t, std::uint64_t>> newest_;

  Node(const std::string& aName, std::uint64_t aBoot, Millis aOffset)
    : clockOffset_(aOffset)
    , directory_(aName)
    , exchange_(aName, aBoot)
  {
  }
};

struct Packet
{
  Millis at_{ 0 };
  int from_ = 0;
  int to_ = 0;
  bool isRequest_ = false;
  DigestMessage message_;
};

/// Nodes with clocks of their own that exchange digests over a network that
/// delays, reorders, repeats and loses them.
class Membership
{
public:
  explicit Membership(std::uint64_t aSeed)
    : random_(aSeed)
  {
    for (std::uint32_t number = 1; number <= kTargets; ++number) {
      versions_[number].push_back({});
    }
    for (int i = 0; i < kNodes; ++i) {
      nodes_.push_back(MakeNode(i));
    }
  }

  void Run()
  {
    for (; now_ < kFaultTime; now_ += kTick) {
      BringFaults();
      Step();
    }
    faults_ = false;
    for (auto& node : nodes_) {
      node.frozenUntil_ = now_;
    }
    for (; now_ < kFaultTime + kQuietTime; now_ += kTick) {
      Step();
    }
    CheckLevel();
  }

private:
  int Pick(int aFrom, int aTo)
  {
    return std::uniform_int_distribution<int>(aFrom, aTo)(random_);
  }

  bool OneIn(int aCount) { return Pick(1, aCount) == 1; }

  static std::string NameOf(int aNode) { return "n" + std::to_string(aNode); }

  Node MakeNode(int aNode)
  {
    return { NameOf(aNode), ++boots_, Millis(Pick(0, 1000000)) + 1s };
  }

  MonotonicTime ClockOf(const Node& aNode) const
  {
    return MonotonicTime(now_ + aNode.clockOffset_);
  }

  void BringFaults()
  {
    if (OneIn(150)) {
      ChangeTarget(static_cast<std::uint32_t>(Pick(1, kTargets)));
    }
    if (OneIn(600)) {
      nodes_[Pick(0, kNodes - 1)].frozenUntil_ =
        now_ + Millis(Pick(500, 20000));
    }
    if (OneIn(900)) {
      const auto node = Pick(0, kNodes - 1);
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

  void Step()
  {
    for (auto& [number, versions] : versions_) {
      versions.back().until_ = now_;
      if (now_ % kAnnounceInterval == Millis(100 * number)) {
        Announce(number, Pick(0, kNodes - 1));
      }
    }
    for (int i = 0; i < kNodes; ++i) {
      if (now_ % kExchangeInterval == Millis(50 * i) && !IsFrozen(i)) {
        Send(i, (i + Pick(1, kNodes - 1)) % kNodes, true);
        Send(i, (i + 1) % kNodes, true);
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
    Packet packet{ now_ + Millis(Pick(1, 40)),
                   aFrom,
                   aTo,
                   aIsRequest,
                   node.exchange_.MakeFor(
                     NameOf(aTo), node.directory_, ClockOf(node), kMaxAge) };
    if (faults_ && OneIn(8)) {
      return;
    }
    if (faults_ && OneIn(6)) {
      packet.at_ += Millis(Pick(100, 12000));
    }
    if (faults_ && OneIn(10)) {
      auto again = packet;
      again.at_ += Millis(Pick(1, 5000));
      packets_.push_back(again);
    }
    packets_.push_back(packet);
  }

  void Deliver()
  {
    std::vector<Packet> due;
    std::vector<Packet> later;
    for (auto& packet : packets_) {
      const bool isDue = packet.at_ <= now_ && !IsFrozen(packet.to_);
      (isDue ? due : later).push_back(std::move(packet));
    }
    packets_ = std::move(later);
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
    for (const auto& [number, heard] : aNode.directory_.Targets()) {
      const auto& evidence = heard;
      const std::pair version{ evidence.incarnation_, evidence.epoch_ };
      auto& newest = aNode.newest_[number];
      if (version < newest) {
        FAIL("target " << number << " went back to epoch " << evidence.epoch_);
      }
      newest = version;
      const auto madeAt =
        evidence.madeAt_.time_since_epoch() - aNode.clockOffset_;
      const auto& versions = versions_[number];
      const auto said = std::find_if(
        versions.begin(), versions.end(), [&](const Version& aVersion) {
          return aVersion.incarnation_ == evidence.incarnation_ &&
                 aVersion.epoch_ == evidence.epoch_;
        });
      REQUIRE(said != versions.end());
      if (madeAt > said->until_) {
        FAIL("evidence of target " << number << " dated "
                                   << (madeAt - said->until_).count()
                                   << " ms after it ceased to hold");
      }
    }
  }

  void CheckLevel() const
  {
    for (const auto& node : nodes_) {
      for (const auto& [number, versions] : versions_) {
        const auto evidence = node.directory_.Find(number);
        REQUIRE(evidence);
        CHECK(evidence->incarnation_ == versions.back().incarnation_);
        CHECK(evidence->epoch_ == versions.back().epoch_);
        CHECK(ClockOf(node) - evidence->madeAt_ <= kFreshLimit);
      }
    }
  }

  std::mt19937_64 random_;
  Millis now_{ 0 };
  bool faults_ = true;
  std::uint64_t boots_ = 0;
  std::vector<Node> nodes_;
  std::map<std::uint32_t, std::vector<Version>> versions_;
  std::vector<Packet> packets_;
};

} // namespace

// Guards against evidence that looks fresher than it is, on which a node would
// send work to a target that left; against evidence that goes back to an older
// epoch; and against nodes that stay apart after the faults have ended. Digests
// are delayed, reordered, repeated and lost, and processes freeze and restart.
TEST_CASE("membership holds under faults of network and processes")
{
  const auto seed = GENERATE(range(1, kSeeds + 1));
  INFO("seed " << seed);
  Membership(static_cast<std::uint64_t>(seed)).Run();
}
