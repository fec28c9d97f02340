#include "routing/router_base.h"

#include "kernel/error_func.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace acaciahill;
using namespace std::chrono_literals;

namespace {

RouterSettings
Settings()
{
  RouterSettings settings;
  settings.zone_ = "z1";
  // No slots reserved for urgent requests; a case of its own tests those.
  settings.urgentPercent_ = 0;
  return settings;
}

/// Feeds inputs to a RouterCore and keeps the actions of the last one.
class RouterHarness
{
public:
  explicit RouterHarness(const RouterSettings& aSettings = Settings())
    : core_(aSettings)
  {
    row_.pool_ = "rota";
    SetRows({ row_ });
  }

  std::vector<RouterAction> Feed(const RouterInput& aInput)
  {
    lastActions_ = core_.Step(aInput, now_);
    return lastActions_;
  }

  void SetRows(const std::vector<PoolRow>& aRows,
               std::int64_t aNodes = 1,
               std::int64_t aNodesInZone = 1)
  {
    Feed(PoolsChanged{ aRows, aNodes, aNodesInZone });
  }

  void SetTargets() { Feed(TargetsChanged{ targets_ }); }

  TargetView& AddTarget(const std::string& aVm,
                        std::int64_t aSlots = 1,
                        const std::string& aZone = "z1")
  {
    targets_.push_back(
      { aVm, "rota", aZone, aVm + ":1", 1, aSlots, 0, 0, now_ + 1h });
    SetTargets();
    return targets_.back();
  }

  RequestId Arrive(bool aRepeatable = true,
                   bool aUrgent = false,
                   const std::string& aPool = "rota",
                   const std::string& aCaller = "",
                   Millis aDeadline = 60s)
  {
    const auto id = ++lastId_;
    Feed(RequestArrived{ id,
                         aPool,
                         aCaller.empty() ? "c" + std::to_string(id) : aCaller,
                         now_ + aDeadline,
                         aRepeatable,
                         aUrgent });
    return id;
  }

  void Finish(RequestId aId,
              const std::string& aVm,
              AttemptEnd aEnd,
              std::int64_t aStatus = 200,
              Millis aTook = 1s)
  {
    Feed(AttemptFinished{ aId, aVm, aEnd, aStatus, aTook });
  }

  /// VM to which the last input dispatched the request; "" if it did not.
  std::string SentTo(RequestId aId) const
  {
    for (const auto& action : lastActions_) {
      const auto* dispatch = std::get_if<DispatchRequest>(&action);
      if (dispatch != nullptr && dispatch->id_ == aId) {
        return dispatch->vm_;
      }
    }
    return {};
  }

  /// "done" or the name of the error kind with which the last input ended the
  /// request; "" if it did not end it.
  std::string ResultOf(RequestId aId) const
  {
    for (const auto& action : lastActions_) {
      if (action == RouterAction(CompleteRequest{ aId })) {
        return "done";
      }
      const auto* refusal = std::get_if<RefuseRequest>(&action);
      if (refusal != nullptr && refusal->id_ == aId) {
        return std::string(AnswerOf(refusal->kind_).name_);
      }
    }
    return {};
  }

  void AdvanceTime(Millis aTime)
  {
    now_ += aTime;
    Feed(RouterTick{});
  }

  PoolRow row_;
  MonotonicTime now_{ 1000s };
  RouterCore core_;
  std::vector<TargetView> targets_;
  std::vector<RouterAction> lastActions_;
  RequestId lastId_ = 0;
};

} // namespace

// Guards against retrying a non-repeatable request that may have run, against
// not retrying one that did not run, and against reporting a wrong outcome.
TEST_CASE("retry after an attempt depends on its end and on repeatability")
{
  struct Row
  {
    AttemptEnd end_;
    std::int64_t status_;
    bool repeatable_;
    /// Result if there is no other attempt; "" if the request is retried.
    std::string result_;
  };
  const auto row =
    GENERATE(Row{ AttemptEnd::Answered, 200, true, "done" },
             Row{ AttemptEnd::Answered, 500, true, "done" },
             Row{ AttemptEnd::Answered, 503, true, "" },
             Row{ AttemptEnd::Answered, 502, true, "" },
             Row{ AttemptEnd::Answered, 504, true, "" },
             Row{ AttemptEnd::Answered, 503, false, "done" },
             Row{ AttemptEnd::NotSent, 0, true, "" },
             Row{ AttemptEnd::NotSent, 0, false, "" },
             Row{ AttemptEnd::Expired, 0, false, "" },
             Row{ AttemptEnd::TargetRefused, 421, true, "" },
             Row{ AttemptEnd::TargetRefused, 503, false, "" },
             Row{ AttemptEnd::Lost, 0, true, "" },
             Row{ AttemptEnd::Lost, 0, false, "answer_lost" },
             Row{ AttemptEnd::TimedOut, 0, true, "" },
             Row{ AttemptEnd::TimedOut, 0, false, "answer_timeout" },
             Row{ AttemptEnd::Malformed, 0, true, "" },
             Row{ AttemptEnd::Malformed, 0, false, "answer_malformed" },
             Row{ AttemptEnd::TooLarge, 0, true, "answer_too_large" },
             Row{ AttemptEnd::TooLarge, 0, false, "answer_too_large" });
  CAPTURE(static_cast<int>(row.end_), row.status_, row.repeatable_);
  RouterHarness router;
  router.AddTarget("a");
  router.AddTarget("b");
  const auto id = router.Arrive(row.repeatable_);
  const auto first = router.SentTo(id);
  REQUIRE_FALSE(first.empty());
  router.Finish(id, first, row.end_, row.status_);
  CHECK(router.ResultOf(id) == row.result_);
  if (!row.result_.empty()) {
    CHECK(router.core_.IsIdle());
    return;
  }
  if (router.SentTo(id).empty()) {
    router.AdvanceTime(1s);
  }
  const auto second = router.SentTo(id);
  CHECK_FALSE(second.empty());
  CHECK(second != first);
  router.Finish(id, second, AttemptEnd::Answered);
  CHECK(router.ResultOf(id) == "done");
  CHECK(router.core_.IsIdle());
}

// Guards against reporting "not run" to a caller after an attempt that may have
// run.
TEST_CASE("the outcome after several attempts is that of the delivered one")
{
  struct Row
  {
    AttemptEnd first_;
    std::int64_t firstStatus_;
    AttemptEnd rest_;
    std::string result_;
  };
  const auto row = GENERATE(
    Row{ AttemptEnd::NotSent, 0, AttemptEnd::NotSent, "no_target" },
    Row{ AttemptEnd::NotSent, 0, AttemptEnd::TargetRefused, "target_refused" },
    Row{ AttemptEnd::Lost, 0, AttemptEnd::NotSent, "answer_lost" },
    Row{ AttemptEnd::TimedOut, 0, AttemptEnd::TargetRefused, "answer_timeout" },
    Row{ AttemptEnd::Answered, 503, AttemptEnd::NotSent, "done" },
    Row{ AttemptEnd::Answered, 503, AttemptEnd::Lost, "answer_lost" });
  CAPTURE(static_cast<int>(row.first_), static_cast<int>(row.rest_));
  RouterHarness router;
  for (const auto* vm : { "a", "b", "c", "d" }) {
    router.AddTarget(vm);
  }
  const auto id = router.Arrive();
  std::set<std::string> seen;
  for (int attempt = 1; attempt <= 3; ++attempt) {
    if (router.SentTo(id).empty()) {
      router.AdvanceTime(1s);
    }
    const auto vm = router.SentTo(id);
    REQUIRE_FALSE(vm.empty());
    CHECK(seen.insert(vm).second);
    router.Finish(id,
                  vm,
                  attempt == 1 ? row.first_ : row.rest_,
                  attempt == 1 ? row.firstStatus_ : 0);
  }
  CHECK(router.ResultOf(id) == row.result_);
  CHECK(router.core_.IsIdle());
}

// Guards against a retry storm: retries are limited to a share of requests.
TEST_CASE("retries of requests that may have run keep to the pool's budget")
{
  const auto percent = GENERATE(0, 10, 50);
  RouterHarness router;
  router.row_.retryPercent_ = percent;
  router.SetRows({ router.row_ });
  for (int i = 0; i < 8; ++i) {
    router.AddTarget("vm" + std::to_string(i), 100);
  }
  const int requests = 200;
  for (int i = 0; i < requests; ++i) {
    const auto id = router.Arrive();
    auto vm = router.SentTo(id);
    while (!vm.empty()) {
      router.Finish(id, vm, AttemptEnd::Answered, 503);
      if (!router.ResultOf(id).empty()) {
        break;
      }
      router.AdvanceTime(1s);
      vm = router.SentTo(id);
    }
  }
  const auto retried = router.core_.Loads().at("rota").retried_;
  CHECK(retried <= requests * percent / 100 + 2);
  CHECK(retried >= requests * percent / 100 - 2);
}

// Guards against sending to targets whose evidence is too old, or which have
// been removed from the list.
TEST_CASE("only listed targets with valid evidence get requests")
{
  RouterHarness router;
  router.AddTarget("a").validUntil_ = router.now_ + 100ms;
  router.SetTargets();
  auto id = router.Arrive();
  CHECK(router.SentTo(id) == "a");
  router.Finish(id, "a", AttemptEnd::Answered);
  router.now_ += 100ms;
  id = router.Arrive();
  CHECK(router.SentTo(id).empty());
  router.AdvanceTime(499ms);
  CHECK(router.ResultOf(id).empty());
  router.AdvanceTime(1ms);
  CHECK(router.ResultOf(id) == "no_target");

  router.targets_.clear();
  router.AddTarget("b");
  id = router.Arrive();
  CHECK(router.SentTo(id) == "b");
  router.targets_.clear();
  router.SetTargets();
  CHECK(router.core_.InFlight(router.now_).at("b") == 1);
  const auto other = router.Arrive();
  CHECK(router.SentTo(other).empty());
  router.Finish(id, "b", AttemptEnd::Answered);
  CHECK(router.ResultOf(id) == "done");
  CHECK(router.core_.InFlight(router.now_).empty());
}

// Guards against completing a drain while a request without an answer may still
// be in the target's receive buffer.
TEST_CASE("a request without an answer counts as in flight for 6 s")
{
  RouterHarness router;
  router.AddTarget("a");
  const auto id = router.Arrive(false);
  router.Finish(id, "a", AttemptEnd::TimedOut);
  CHECK(router.ResultOf(id) == "answer_timeout");
  CHECK(router.core_.InFlight(router.now_ + 5999ms).at("a") == 1);
  CHECK(router.core_.InFlight(router.now_ + 6s).empty());
}

// Guards against overloading targets that several entry VMs share, and against
// idle slots when the other entry VMs do not use their share.
TEST_CASE("entry VMs share slots and may use those that others leave free")
{
  struct Row
  {
    std::int64_t slots_;
    std::int64_t connections_;
    std::int64_t nodesInZone_;
    std::string zone_;
    std::uint32_t announced_;
    int expected_;
  };
  const auto row = GENERATE(Row{ 8, 0, 1, "z1", 0, 8 },
                            Row{ 8, 0, 3, "z1", 8, 3 },
                            Row{ 8, 0, 3, "z1", 0, 8 },
                            Row{ 8, 0, 3, "z1", 3, 5 },
                            Row{ 8, 0, 3, "z1", 7, 3 },
                            Row{ 8, 0, 3, "z2", 8, 1 },
                            Row{ 8, 12, 3, "z1", 0, 4 },
                            Row{ 8, 64, 3, "z1", 0, 8 });
  CAPTURE(row.slots_, row.connections_, row.zone_, row.announced_);
  RouterHarness router;
  router.SetRows({ router.row_ }, 8, row.nodesInZone_);
  auto& target = router.AddTarget("a", row.slots_, row.zone_);
  target.connections_ = row.connections_;
  target.announcedRunning_ = row.announced_;
  router.SetTargets();
  int sent = 0;
  for (int i = 0; i < 12; ++i) {
    const auto id = router.Arrive();
    sent += router.SentTo(id).empty() ? 0 : 1;
  }
  CHECK(sent == row.expected_);

  // The announcement now includes this node's requests; they must not be
  // counted as work of other entry VMs.
  router.targets_[0].announcedRunning_ = static_cast<std::uint32_t>(sent);
  router.SetTargets();
  router.Finish(1, "a", AttemptEnd::Answered);
  CHECK_FALSE(std::none_of(router.lastActions_.begin(),
                           router.lastActions_.end(),
                           [](const RouterAction& aAction) {
                             return std::holds_alternative<DispatchRequest>(
                               aAction);
                           }));
}

// Guards against traffic between availability zones while targets in the own
// zone have free slots.
TEST_CASE("targets in the own zone are used first, others when it is full")
{
  RouterHarness router;
  router.AddTarget("far", 4, "z2");
  router.AddTarget("near", 2, "z1");
  std::vector<std::string> seen;
  for (int i = 0; i < 6; ++i) {
    const auto id = router.Arrive();
    seen.push_back(router.SentTo(id));
  }
  CHECK(seen ==
        std::vector<std::string>{ "near", "near", "far", "far", "far", "far" });
}

// Guards against overloading a target that other entry VMs use heavily.
TEST_CASE("the less loaded of two targets is preferred")
{
  RouterHarness router;
  router.SetRows({ router.row_ }, 4, 4);
  router.AddTarget("busy", 100).announcedRunning_ = 90;
  router.AddTarget("free", 100);
  int onBusy = 0;
  for (int i = 0; i < 40; ++i) {
    const auto id = router.Arrive();
    onBusy += router.SentTo(id) == "busy" ? 1 : 0;
  }
  CHECK(onBusy == 0);
}

// Guards against unbounded queues and one caller using all of a pool.
// Guards against an entry VM that has just started, or is cut off, and answers
// that a pool does not exist which it has not heard of (issues 21, 60): callers
// do not send such a request again.
TEST_CASE("only a current table tells that a pool does not exist")
{
  struct Row
  {
    const char* name_;
    std::optional<PoolsChanged> pools_;
    const char* result_;
  };
  PoolRow other;
  other.pool_ = "other";
  const auto row = GENERATE_COPY(
    values<Row>({ { "no table yet", std::nullopt, "control_unreachable" },
                  { "an empty table of a node that has just started",
                    PoolsChanged{ {}, 1, 1, false },
                    "control_unreachable" },
                  { "the table of a node that is cut off",
                    PoolsChanged{ { other }, 1, 1, false },
                    "control_unreachable" },
                  { "the newest table",
                    PoolsChanged{ { other }, 1, 1 },
                    "unknown_pool" } }));
  INFO(row.name_);
  RouterCore core(Settings());
  const MonotonicTime now{ 1h };
  if (row.pools_) {
    core.Step(*row.pools_, now);
  }
  const auto actions =
    core.Step(RequestArrived{ 1, "rota", "c", now + 5s, true, false }, now);
  REQUIRE(actions.size() == 1);
  const auto* refusal = std::get_if<RefuseRequest>(&actions[0]);
  REQUIRE(refusal != nullptr);
  CHECK(std::string(AnswerOf(refusal->kind_).name_) == row.result_);
}

TEST_CASE("a node that is cut off serves the pools that it knows")
{
  RouterHarness router;
  router.AddTarget("a");
  router.Feed(PoolsChanged{ { router.row_ }, 1, 1, false });
  CHECK(router.SentTo(router.Arrive()) == "a");
}

TEST_CASE("queues and callers have limits")
{
  RouterHarness router;
  router.row_.queueLimit_ = 2;
  router.row_.callerLimit_ = 2;
  router.SetRows({ router.row_ });
  router.AddTarget("a");
  CHECK(router.SentTo(router.Arrive(true, false, "rota", "x")) == "a");
  CHECK(router.ResultOf(router.Arrive(true, false, "rota", "x")).empty());
  CHECK(router.ResultOf(router.Arrive(true, false, "rota", "x")) ==
        "caller_limit");
  CHECK(router.core_.Precheck("rota", "x") == ErrorKind::CallerLimit);
  CHECK(router.ResultOf(router.Arrive()).empty());
  CHECK(router.ResultOf(router.Arrive()) == "queue_full");
  CHECK(router.ResultOf(router.Arrive(true, false, "none")) == "unknown_pool");

  // An urgent request displaces the newest normal request, number 4.
  const auto urgent = router.Arrive(true, true);
  CHECK(router.ResultOf(urgent).empty());
  CHECK(router.ResultOf(3 + 1) == "queue_full");
  CHECK(router.core_.Waiting() == 2);
  router.Finish(1, "a", AttemptEnd::Answered);
  CHECK(router.SentTo(urgent) == "a");
}

// Guards against queueing requests that cannot be answered before the deadline.
TEST_CASE("a request that would miss its deadline is refused at once")
{
  RouterHarness router;
  router.AddTarget("a", 2);
  auto id = router.Arrive();
  router.Finish(id, "a", AttemptEnd::Answered, 200, 100ms);
  router.Arrive();
  router.Arrive();
  // Both slots are in use: 50 ms to wait (half of 100 ms) and 100 ms to run.
  CHECK(router.ResultOf(router.Arrive(true, false, "rota", "", 149ms)) ==
        "deadline_too_short");
  id = router.Arrive(true, false, "rota", "", 150ms);
  CHECK(router.ResultOf(id).empty());
  router.AdvanceTime(150ms);
  CHECK(router.ResultOf(id) == "deadline_too_short");
  CHECK(router.ResultOf(router.Arrive(true, false, "rota", "", 0ms)) ==
        "deadline_too_short");
}

// Guards against a pool with one slow answer refusing short deadlines for ever.
TEST_CASE("an idle pool accepts a request whatever its past service time")
{
  RouterHarness router;
  router.AddTarget("a");
  auto id = router.Arrive();
  router.Finish(id, "a", AttemptEnd::Answered, 200, 10s);
  id = router.Arrive(true, false, "rota", "", 500ms);
  CHECK(router.SentTo(id) == "a");
}

// Guards against normal requests occupying every slot when an urgent one comes.
TEST_CASE("some slots are reserved for urgent requests")
{
  auto settings = Settings();
  settings.urgentPercent_ = 5;
  RouterHarness router(settings);
  router.AddTarget("a", 40);
  int sent = 0;
  for (int i = 0; i < 45; ++i) {
    sent += router.SentTo(router.Arrive()).empty() ? 0 : 1;
  }
  CHECK(sent == 38);
  CHECK(router.SentTo(router.Arrive(true, true)) == "a");
  CHECK(router.SentTo(router.Arrive(true, true)) == "a");
  CHECK(router.SentTo(router.Arrive(true, true)).empty());
}

// Guards against a burst of one pool starving the others on a full node.
TEST_CASE("pools share a full node by their weights")
{
  auto settings = Settings();
  settings.maxInFlight_ = 12;
  RouterHarness router(settings);
  PoolRow swaps;
  swaps.pool_ = "swaps";
  swaps.weight_ = 200;
  router.SetRows({ router.row_, swaps });
  router.AddTarget("a", 100);
  router.AddTarget("b", 100).pool_ = "swaps";
  router.SetTargets();
  std::vector<std::pair<RequestId, std::string>> running;
  const auto recordDispatches = [&] {
    for (const auto& action : router.lastActions_) {
      if (const auto* sent = std::get_if<DispatchRequest>(&action)) {
        running.emplace_back(sent->id_, sent->vm_);
      }
    }
  };
  for (int i = 0; i < 40; ++i) {
    router.Arrive();
    recordDispatches();
  }
  for (int i = 0; i < 40; ++i) {
    router.Arrive(true, false, "swaps");
    recordDispatches();
  }
  CHECK(router.core_.Loads().at("rota").inFlight_ == 12);
  for (int i = 0; i < 20; ++i) {
    const auto [id, vm] = running.front();
    running.erase(running.begin());
    router.Finish(id, vm, AttemptEnd::Answered);
    recordDispatches();
  }
  CHECK(router.core_.Loads().at("rota").inFlight_ == 4);
  CHECK(router.core_.Loads().at("swaps").inFlight_ == 8);
}

// Guards against sending a request whose caller has cancelled it, and against
// reporting "not run" for one that was sent.
TEST_CASE("a cancelled request ends once, as not run only if it waited")
{
  RouterHarness router;
  router.AddTarget("a");
  const auto sent = router.Arrive(false);
  const auto waiting = router.Arrive();
  router.Feed(RequestCancelled{ waiting });
  CHECK(router.ResultOf(waiting) == "cancelled");
  router.Feed(RequestCancelled{ sent });
  CHECK(router.ResultOf(sent) == "cancelled_in_flight");
  CHECK(router.core_.InFlight(router.now_).at("a") == 1);
  router.Feed(RequestCancelled{ sent });
  CHECK(router.lastActions_.empty());
  router.Finish(sent, "a", AttemptEnd::Answered);
  CHECK(router.lastActions_.empty());
  CHECK(router.core_.IsIdle());
  CHECK(router.core_.InFlight(router.now_).empty());
}

// Guards against a shutdown that aborts requests in flight.
TEST_CASE("shutdown refuses waiting and new requests and finishes the rest")
{
  RouterHarness router;
  router.AddTarget("a");
  router.AddTarget("b");
  const auto retried = router.Arrive();
  const auto vm = router.SentTo(retried);
  const auto running = router.Arrive();
  const auto waiting = router.Arrive();
  router.Feed(RouterStop{});
  CHECK(router.ResultOf(waiting) == "node_stopping");
  CHECK(router.ResultOf(router.Arrive()) == "node_stopping");
  CHECK(router.core_.Precheck("rota", "x") == ErrorKind::NodeStopping);
  router.Finish(running, vm == "a" ? "b" : "a", AttemptEnd::Answered);
  CHECK(router.ResultOf(running) == "done");
  router.Finish(retried, vm, AttemptEnd::NotSent);
  CHECK_FALSE(router.SentTo(retried).empty());
  router.Finish(retried, vm == "a" ? "b" : "a", AttemptEnd::Answered);
  CHECK(router.ResultOf(retried) == "done");
  CHECK(router.core_.IsIdle());
}

namespace {

/// Adds two targets and fails requests to "bad" until its breaker opens.
void
OpenBreakerOfBad(RouterHarness& aRouter, AttemptEnd aEnd, std::int64_t aStatus)
{
  aRouter.AddTarget("bad", 1000);
  int failures = 0;
  for (; failures < 30; ++failures) {
    const auto id = aRouter.Arrive(false);
    if (aRouter.SentTo(id).empty()) {
      break;
    }
    aRouter.Finish(id, "bad", aEnd, aStatus);
  }
  aRouter.AddTarget("good", 1000);
}

int
CountSentTo(RouterHarness& aRouter, const std::string& aVm, int aRequests)
{
  int count = 0;
  for (int i = 0; i < aRequests; ++i) {
    const auto id = aRouter.Arrive(false);
    const auto vm = aRouter.SentTo(id);
    count += vm == aVm ? 1 : 0;
    aRouter.Finish(id, vm, AttemptEnd::Answered);
  }
  return count;
}

} // namespace

// Guards against sending more requests to a failing target, and against
// excluding a target that is only busy.
TEST_CASE("failures open a target's breaker, busy answers do not")
{
  struct Row
  {
    AttemptEnd end_;
    std::int64_t status_;
    bool opens_;
  };
  const auto row = GENERATE(Row{ AttemptEnd::Lost, 0, true },
                            Row{ AttemptEnd::TimedOut, 0, true },
                            Row{ AttemptEnd::Malformed, 0, true },
                            Row{ AttemptEnd::Answered, 500, true },
                            Row{ AttemptEnd::Answered, 200, false },
                            Row{ AttemptEnd::Answered, 429, false },
                            Row{ AttemptEnd::Answered, 503, false },
                            Row{ AttemptEnd::Answered, 404, false });
  CAPTURE(static_cast<int>(row.end_), row.status_);
  RouterHarness router;
  OpenBreakerOfBad(router, row.end_, row.status_);
  const auto sent = CountSentTo(router, "bad", 40);
  CHECK((sent == 0) == row.opens_);
}

// Guards against an error rate computed from too few or too old answers.
TEST_CASE("over half errors of at least 10 answers in 10 s open the breaker")
{
  struct Row
  {
    int errors_;
    int successes_;
    Millis pause_;
    bool opens_;
  };
  const auto row = GENERATE(Row{ 6, 4, 0s, true },
                            Row{ 5, 5, 0s, false },
                            Row{ 6, 3, 0s, false },
                            Row{ 6, 4, 11s, false });
  CAPTURE(row.errors_, row.successes_, row.pause_.count());
  RouterHarness router;
  router.AddTarget("bad", 1000);
  const auto send = [&router](int aCount, std::int64_t aStatus) {
    for (int i = 0; i < aCount; ++i) {
      const auto id = router.Arrive(false);
      router.Finish(id, "bad", AttemptEnd::Answered, aStatus);
    }
  };
  send(row.errors_, 500);
  router.now_ += row.pause_;
  send(row.successes_, 200);
  router.AddTarget("good", 1000);
  CHECK((CountSentTo(router, "bad", 40) == 0) == row.opens_);
}

// Guards against flooding a recovering target, against probing with a request
// that may not be repeated, and against a cooldown that does not grow.
TEST_CASE("after the cooldown one repeatable request probes the target")
{
  RouterHarness router;
  OpenBreakerOfBad(router, AttemptEnd::Lost, 0);
  auto cooldown = 2000ms;
  for (int round = 0; round < 6; ++round) {
    CAPTURE(round, cooldown.count());
    router.now_ += cooldown - 1ms;
    auto id = router.Arrive();
    CHECK(router.SentTo(id) == "good");
    router.Finish(id, "good", AttemptEnd::Answered);
    router.now_ += 1ms;
    CHECK(CountSentTo(router, "bad", 10) == 0);
    const auto probe = router.Arrive();
    CHECK(router.SentTo(probe) == "bad");
    id = router.Arrive();
    CHECK(router.SentTo(id) == "good");
    router.Finish(id, "good", AttemptEnd::Answered);
    router.Finish(probe, "bad", AttemptEnd::Lost);
    router.Feed(RequestCancelled{ probe });
    cooldown = std::min<Millis>(cooldown * 2, 30s);
  }
  // Without repeatable requests, a non-repeatable one probes 5 s later.
  router.now_ += cooldown + 5s;
  const auto probe = router.Arrive(false);
  CHECK(router.SentTo(probe) == "bad");
  router.Finish(probe, "bad", AttemptEnd::Answered);
  CHECK(CountSentTo(router, "bad", 40) > 0);
}

// Guards against a pool refusing all requests because every breaker is open.
TEST_CASE("when every breaker is open all targets are used")
{
  RouterHarness router;
  router.AddTarget("a", 100);
  router.AddTarget("b", 100);
  std::set<std::string> seen;
  for (int i = 0; i < 60; ++i) {
    const auto id = router.Arrive(false);
    const auto vm = router.SentTo(id);
    REQUIRE_FALSE(vm.empty());
    router.Finish(id, vm, AttemptEnd::Lost);
    if (i >= 40) {
      seen.insert(vm);
    }
  }
  CHECK(seen == std::set<std::string>{ "a", "b" });
}

// Guards against one caller's short deadlines opening the breaker for everyone.
TEST_CASE("timeouts below the attempt floor do not open the breaker")
{
  RouterHarness router;
  router.AddTarget("a", 100);
  for (int i = 0; i < 30; ++i) {
    const auto id = router.Arrive(false);
    router.Finish(id, "a", AttemptEnd::TimedOut, 0, 10ms);
  }
  router.AddTarget("b", 100);
  CHECK(CountSentTo(router, "a", 40) > 0);
}

// Guards against a target that does not answer using up the deadline of a
// request that another target could answer.
TEST_CASE("an attempt of a repeatable request leaves time for a retry")
{
  struct Row
  {
    bool repeatable_;
    Millis deadline_;
    Millis timeout_;
  };
  const auto row = GENERATE(Row{ true, 4s, 2s },
                            Row{ true, 600ms, 500ms },
                            Row{ true, 100ms, 100ms },
                            Row{ false, 4s, 4s });
  RouterHarness router;
  router.AddTarget("a");
  const auto id =
    router.Arrive(row.repeatable_, false, "rota", "", row.deadline_);
  REQUIRE(router.SentTo(id) == "a");
  CHECK(std::get<DispatchRequest>(router.lastActions_.front()).timeout_ ==
        router.now_ + row.timeout_);
}
