#include "membership/digest_exchange_base.h"

#include <catch2/catch.hpp>

using namespace acaciahill;
using namespace std::chrono_literals;

namespace {

constexpr Millis kMaxAge{ 15s };

struct Node
{
  Directory directory_;
  DigestExchange exchange_;

  Node(const std::string& aName, std::uint64_t aBoot)
    : directory_(aName)
    , exchange_(aName, aBoot)
  {
  }
};

MonotonicTime
At(Millis aTime)
{
  return MonotonicTime(aTime);
}

} // namespace

// Guards against evidence that waited in a frozen process or a stalled
// connection being taken as fresh, on which a node would send new work to a
// target that left in the meantime. The clocks of the two nodes differ.
TEST_CASE("the time a digest was on its way counts into the age of evidence")
{
  Node sender("a", 1);
  Node receiver("b", 2);
  const Millis offset = 500s;
  // The receiver's clock reaches the sender, which answers 100 ms later.
  sender.exchange_.Accept(
    "b",
    receiver.exchange_.MakeFor("a", receiver.directory_, At(10s), kMaxAge),
    At(10s + offset),
    sender.directory_);
  sender.directory_.UpdateTarget({ 7, 1, 4, false, 0, At(10s + offset) });
  const auto message = sender.exchange_.MakeFor(
    "b", sender.directory_, At(10100ms + offset), kMaxAge);

  const Millis transit = GENERATE(1ms, 200ms, 8s, 60s);
  receiver.exchange_.Accept(
    "a", message, At(10100ms + transit), receiver.directory_);
  const auto heard = receiver.directory_.Find(7);
  REQUIRE(heard);
  CHECK(heard->madeAt_ == At(10s));
}

// Guards against trusting an echo of this node's earlier process, whose clock
// may have been another one.
TEST_CASE("targets in a digest without a bound on its way are left out")
{
  Node sender("a", 1);
  Node receiver("b", 3);
  Node formerReceiver("b", 2);
  sender.exchange_.Accept("b",
                          formerReceiver.exchange_.MakeFor(
                            "a", formerReceiver.directory_, At(9s), kMaxAge),
                          At(9s),
                          sender.directory_);
  sender.directory_.UpdateTarget({ 7, 1, 4, false, 0, At(10s) });
  receiver.exchange_.Accept(
    "a",
    sender.exchange_.MakeFor("b", sender.directory_, At(10s), kMaxAge),
    At(10s),
    receiver.directory_);
  CHECK_FALSE(receiver.directory_.Find(7));
}

// Guards against digests that repeat what the peer already has: they are most
// of the control traffic.
TEST_CASE("a statement is sent to a peer once, and again to a new process")
{
  Node sender("a", 1);
  Node receiver("b", 2);
  sender.directory_.UpdateTarget({ 7, 1, 4, false, 0, At(10s) });
  CHECK(sender.exchange_.MakeFor("b", sender.directory_, At(10s), kMaxAge)
          .targets_.size() == 1);
  CHECK(sender.exchange_.MakeFor("b", sender.directory_, At(11s), kMaxAge)
          .targets_.empty());
  sender.directory_.UpdateTarget({ 7, 1, 4, false, 2, At(11s) });
  CHECK(sender.exchange_.MakeFor("b", sender.directory_, At(11s), kMaxAge)
          .targets_.size() == 1);
  sender.exchange_.Accept(
    "b",
    receiver.exchange_.MakeFor("a", receiver.directory_, At(12s), kMaxAge),
    At(12s),
    sender.directory_);
  CHECK(sender.exchange_.MakeFor("b", sender.directory_, At(12s), kMaxAge)
          .targets_.size() == 1);
}

// Guards against task reports filling the digests: they are sent on a change of
// a state, and else at the interval.
TEST_CASE("task reports are sent on a change of state or at the interval")
{
  Node sender("a", 1);
  const auto sentTasks = [&sender](Millis aAt,
                                   const std::vector<TaskReport>& aTasks) {
    sender.directory_.UpdateTasks({ 7, 1, aTasks, At(aAt) });
    return sender.exchange_.MakeFor("b", sender.directory_, At(aAt), kMaxAge)
      .tasks_.size();
  };
  const TaskReport running{ "job/0", 1, "running", 900, 100, 1s };
  auto moreUsage = running;
  moreUsage.milliCores_ = 1000;
  auto failed = running;
  failed.state_ = "failed";
  CHECK(sentTasks(10s, {}) == 0);
  CHECK(sentTasks(11s, { running }) == 1);
  CHECK(sentTasks(12s, { moreUsage }) == 0);
  CHECK(sentTasks(21s, { moreUsage }) == 1);
  CHECK(sentTasks(22s, { failed }) == 1);
  CHECK(sentTasks(23s, {}) == 1);
  CHECK(sentTasks(24s, {}) == 0);
}

// Guards against a status in each message, which was most of a claim's cost,
// and against holding back what a waiting operator or a drain needs.
TEST_CASE("a node's status is sent at its interval or on a change that matters")
{
  struct Row
  {
    const char* name_;
    NodeStatus next_;
    bool sent_;
  };
  const auto row = GENERATE(
    Row{ "applied only", { "a", 11, 2, {}, {}, At(10100ms) }, false },
    Row{ "table", { "a", 11, 3, {}, {}, At(10100ms) }, true },
    Row{ "in flight", { "a", 11, 2, { { 7, 1 } }, {}, At(10100ms) }, true },
    Row{ "interval", { "a", 11, 2, {}, {}, At(10500ms) }, true },
    Row{ "nothing new", { "a", 10, 2, {}, {}, At(10s) }, false });
  INFO(row.name_);
  Node sender("a", 1);
  sender.directory_.UpdateNode({ "a", 10, 2, {}, {}, At(10s) });
  CHECK(sender.exchange_.MakeFor("b", sender.directory_, At(10s), kMaxAge)
          .nodes_.size() == 1);
  sender.directory_.UpdateNode(row.next_);
  const auto message = sender.exchange_.MakeFor(
    "b", sender.directory_, row.next_.madeAt_, kMaxAge);
  CHECK(message.nodes_.size() == (row.sent_ ? 1 : 0));
}

namespace {

/// Two nodes that have heard each other, so that the way of a digest is bound.
struct Pair
{
  Node a_{ "a", 1 };
  Node b_{ "b", 2 };

  Pair()
  {
    Send(a_, b_, "a", "b", At(9s));
    Send(b_, a_, "b", "a", At(9s));
  }

  static DigestMessage Send(Node& aFrom,
                            Node& aTo,
                            const std::string& aFromName,
                            const std::string& aToName,
                            MonotonicTime aNow)
  {
    auto message =
      aFrom.exchange_.MakeFor(aToName, aFrom.directory_, aNow, kMaxAge);
    aTo.exchange_.Accept(aFromName, message, aNow, aTo.directory_);
    return message;
  }

  DigestMessage ToB(MonotonicTime aNow) { return Send(a_, b_, "a", "b", aNow); }

  DigestMessage ToA(MonotonicTime aNow) { return Send(b_, a_, "b", "a", aNow); }
};

} // namespace

// Guards against statements that go back to the node that told them: this was
// half of the bytes of digests.
TEST_CASE("what a peer told is not sent back to it")
{
  Pair pair;
  pair.a_.directory_.UpdateTarget({ 7, 1, 4, false, 0, At(10s) });
  pair.a_.directory_.UpdateNode({ "c", 10, 2, {}, {}, At(10s) });
  pair.a_.directory_.UpdateTasks({ 7, 1, { { "t", 1, "running" } }, At(10s) });
  const auto there = pair.ToB(At(10s));
  REQUIRE(there.targets_.size() == 1);
  REQUIRE(there.nodes_.size() == 1);
  REQUIRE(there.tasks_.size() == 1);
  const auto back = pair.ToA(At(11s));
  CHECK(back.targets_.empty());
  CHECK(back.nodes_.empty());
  CHECK(back.tasks_.empty());
  // Another node gets it, and so does a new process of the peer.
  const auto other =
    pair.b_.exchange_.MakeFor("d", pair.b_.directory_, At(11s), kMaxAge);
  CHECK(other.targets_.size() == 1);
  CHECK(other.nodes_.size() == 1);
  CHECK(other.tasks_.size() == 1);
  Node restarted("a", 3);
  Pair::Send(restarted, pair.b_, "a", "b", At(12s));
  const auto again = pair.ToA(At(12s));
  CHECK(again.targets_.size() == 1);
  CHECK(again.nodes_.size() == 1);
  CHECK(again.tasks_.size() == 1);
}

// Guards against holding back what a peer does not know: it told something
// older, or of an older epoch, than this node holds.
TEST_CASE("what a peer told wrongly is corrected")
{
  Pair pair;
  const auto ours =
    GENERATE(TargetEvidence{ 7, 1, 5, true, 0, At(9500ms) },  // newer epoch
             TargetEvidence{ 7, 2, 1, false, 0, At(9500ms) }, // newer boot
             TargetEvidence{ 7, 1, 4, false, 0, At(10500ms) });
  pair.b_.directory_.UpdateTarget(ours);
  pair.b_.directory_.UpdateNode({ "c", 11, 2, {}, {}, At(10500ms) });
  pair.a_.directory_.UpdateTarget({ 7, 1, 4, false, 0, At(10s) });
  pair.a_.directory_.UpdateNode({ "c", 10, 2, {}, {}, At(10s) });
  pair.ToB(At(11s));
  const auto back = pair.ToA(At(11s));
  CHECK(back.targets_.size() == 1);
  CHECK(back.nodes_.size() == 1);
  CHECK(pair.a_.directory_.Find(7)->epoch_ == ours.epoch_);
}

// Guards against news that waits for a status that the peer told itself.
TEST_CASE("a newer status than the one told is sent at once")
{
  Pair pair;
  pair.a_.directory_.UpdateNode({ "c", 10, 2, {}, {}, At(10s) });
  pair.ToB(At(10s));
  pair.b_.directory_.UpdateNode({ "c", 11, 2, {}, {}, At(10100ms) });
  CHECK(pair.ToA(At(10100ms)).nodes_.size() == 1);
}
