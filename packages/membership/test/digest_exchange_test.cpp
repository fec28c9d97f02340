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

// Guards against taking evidence as fresh that was delayed by a frozen process
// or a stalled connection: a node would then send work to a target that has
// left in the meantime. The clocks of the two nodes differ.
TEST_CASE("the transit time of a digest counts into the age of evidence")
{
  Node sender("a", 1);
  Node receiver("b", 2);
  const Millis offset = 500s;
  // The sender receives the receiver's clock and answers 100 ms later.
  sender.exchange_.Accept(
    "b",
    receiver.exchange_.MakeFor("a", receiver.directory_, At(10s), kMaxAge),
    At(10s + offset),
    sender.directory_);
  sender.directory_.UpdateTarget({ 7, 1, 4, false, 0, At(10s + offset) });
  const auto message = sender.exchange_.MakeFor(
    "b", sender.directory_, At(10100ms + offset), kMaxAge);

  const Millis transitTime = GENERATE(1ms, 200ms, 8s, 60s);
  receiver.exchange_.Accept(
    "a", message, At(10100ms + transitTime), receiver.directory_);
  const auto evidence = receiver.directory_.Find(7);
  REQUIRE(evidence);
  CHECK(evidence->madeAt_ == At(10s));
}

// Guards against using a clock echo of this node's previous process, as the
// clock may differ between processes.
TEST_CASE("targets in a digest without a bounded sending time are ignored")
{
  Node sender("a", 1);
  Node receiver("b", 3);
  Node previousReceiver("b", 2);
  sender.exchange_.Accept("b",
                          previousReceiver.exchange_.MakeFor(
                            "a", previousReceiver.directory_, At(9s), kMaxAge),
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

// Guards against digests that repeat what the peer already has, as they are
// most of the control traffic.
TEST_CASE("evidence is sent to a peer once, and again after its restart")
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

// Guards against large digests: task reports are sent when a state changes, and
// otherwise only at the interval.
TEST_CASE("task reports are sent on a change of state or at the interval")
{
  Node sender("a", 1);
  const auto countSentReports =
    [&sender](Millis aAt, const std::vector<TaskReport>& aTasks) {
      sender.directory_.UpdateTasks({ 7, 1, aTasks, At(aAt) });
      return sender.exchange_.MakeFor("b", sender.directory_, At(aAt), kMaxAge)
        .tasks_.size();
    };
  const TaskReport running{ "job/0", 1, "running", 900, 100, 1s };
  auto moreUsage = running;
  moreUsage.milliCores_ = 1000;
  auto failed = running;
  failed.state_ = "failed";
  CHECK(countSentReports(10s, {}) == 0);
  CHECK(countSentReports(11s, { running }) == 1);
  CHECK(countSentReports(12s, { moreUsage }) == 0);
  CHECK(countSentReports(21s, { moreUsage }) == 1);
  CHECK(countSentReports(22s, { failed }) == 1);
  CHECK(countSentReports(23s, {}) == 1);
  CHECK(countSentReports(24s, {}) == 0);
}

// Guards against a status in each message, which was most of a claim's traffic,
// and against delaying a table version or drain status that is waited for.
TEST_CASE("a node's status is sent at its interval or on a relevant change")
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

/// Two nodes that have exchanged digests, so that sending times are bounded.
struct ConnectedNodes
{
  Node a_{ "a", 1 };
  Node b_{ "b", 2 };

  ConnectedNodes()
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

// Guards against sending data back to the node it came from: this was half of
// the bytes of digests.
TEST_CASE("data received from a peer is not sent back to it")
{
  ConnectedNodes nodes;
  nodes.a_.directory_.UpdateTarget({ 7, 1, 4, false, 0, At(10s) });
  nodes.a_.directory_.UpdateNode({ "c", 10, 2, {}, {}, At(10s) });
  nodes.a_.directory_.UpdateTasks({ 7, 1, { { "t", 1, "running" } }, At(10s) });
  const auto sent = nodes.ToB(At(10s));
  REQUIRE(sent.targets_.size() == 1);
  REQUIRE(sent.nodes_.size() == 1);
  REQUIRE(sent.tasks_.size() == 1);
  const auto reply = nodes.ToA(At(11s));
  CHECK(reply.targets_.empty());
  CHECK(reply.nodes_.empty());
  CHECK(reply.tasks_.empty());
  // Another node gets the data, and so does a new process of the peer.
  const auto toOther =
    nodes.b_.exchange_.MakeFor("d", nodes.b_.directory_, At(11s), kMaxAge);
  CHECK(toOther.targets_.size() == 1);
  CHECK(toOther.nodes_.size() == 1);
  CHECK(toOther.tasks_.size() == 1);
  Node restarted("a", 3);
  ConnectedNodes::Send(restarted, nodes.b_, "a", "b", At(12s));
  const auto toRestarted = nodes.ToA(At(12s));
  CHECK(toRestarted.targets_.size() == 1);
  CHECK(toRestarted.nodes_.size() == 1);
  CHECK(toRestarted.tasks_.size() == 1);
}

// Guards against not sending a peer what it lacks: it sent older data, or of an
// older epoch, than this node has.
TEST_CASE("a peer that sent outdated data gets the newer data")
{
  ConnectedNodes nodes;
  const auto newerEvidence =
    GENERATE(TargetEvidence{ 7, 1, 5, true, 0, At(9500ms) },  // newer epoch
             TargetEvidence{ 7, 2, 1, false, 0, At(9500ms) }, // newer boot
             TargetEvidence{ 7, 1, 4, false, 0, At(10500ms) });
  nodes.b_.directory_.UpdateTarget(newerEvidence);
  nodes.b_.directory_.UpdateNode({ "c", 11, 2, {}, {}, At(10500ms) });
  nodes.a_.directory_.UpdateTarget({ 7, 1, 4, false, 0, At(10s) });
  nodes.a_.directory_.UpdateNode({ "c", 10, 2, {}, {}, At(10s) });
  nodes.ToB(At(11s));
  const auto reply = nodes.ToA(At(11s));
  CHECK(reply.targets_.size() == 1);
  CHECK(reply.nodes_.size() == 1);
  CHECK(nodes.a_.directory_.Find(7)->epoch_ == newerEvidence.epoch_);
}

// Guards against delaying a status by the interval after the peer itself sent
// an older one.
TEST_CASE("a newer status than the one received is sent at once")
{
  ConnectedNodes nodes;
  nodes.a_.directory_.UpdateNode({ "c", 10, 2, {}, {}, At(10s) });
  nodes.ToB(At(10s));
  nodes.b_.directory_.UpdateNode({ "c", 11, 2, {}, {}, At(10100ms) });
  CHECK(nodes.ToA(At(10100ms)).nodes_.size() == 1);
}
