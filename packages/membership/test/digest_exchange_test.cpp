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
