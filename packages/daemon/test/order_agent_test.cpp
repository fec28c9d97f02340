#include "daemon/test/order_relay_bench.h"

using namespace acaciahill;
using namespace acaciahill::testing;
using namespace std::chrono_literals;

// Guards against old orders that are executed after newer ones.
TEST_CASE("orders that reach an agent after their deadline are not relayed")
{
  struct Row
  {
    const char* name_;
    Millis late_;
    std::size_t given_;
  };
  const std::vector<Row> rows{
    { "in time", -1000ms, 1 },
    { "late", 50ms, 0 },
    { "an hour late", 1h, 0 },
  };
  for (const auto& row : rows) {
    INFO(row.name_);
    RelayBench bench(kOneAgent);
    // The first call of a leader is answered immediately.
    bench.CallAgent(kNear, { kTerm, 0, {} });
    REQUIRE(bench.agentAnswers_.size() == 1);
    bench.CallAgent(
      kNear,
      { kTerm, OrderClockMs() - row.late_.count(), { { 1, bench.Stop(1) } } });
    bench.RunFor(50ms);
    CHECK(bench.orders_.size() == row.given_);
    // The answer holds the order's outcome and the agent's clock.
    bench.agents_.at(kNear).agent_->Stop();
    REQUIRE(bench.agentAnswers_.size() == 2);
    const auto answers = DecodeAnswers(bench.agentAnswers_[1].body_);
    REQUIRE(IsOk(answers));
    REQUIRE(ValueOf(answers).answers_.size() == 1);
    CHECK(ValueOf(answers).answers_[0].answer_.outcome_ ==
          (row.given_ > 0 ? OrderOutcome::Taken : OrderOutcome::NotGiven));
    CHECK(ValueOf(answers).clockMs_ <= OrderClockMs());
  }
}

// Guards against orders of a former leader that does not know of the new one.
TEST_CASE("an agent refuses calls of a former leader")
{
  RelayBench bench(kOneAgent);
  const auto call = [&](std::uint64_t aTerm, std::uint32_t aWorker) {
    bench.CallAgent(
      kNear,
      { aTerm, OrderClockMs() + 1000, { { aWorker, bench.Stop(aWorker) } } });
  };
  call(kTerm, 1);
  REQUIRE(bench.RunUntil([&] { return bench.agentAnswers_.size() == 1; }));
  CHECK(bench.agentAnswers_[0].status_ == 200);
  call(kTerm - 1, 2);
  REQUIRE(bench.agentAnswers_.size() == 2);
  CHECK(bench.agentAnswers_[1].status_ == 409);
  bench.RunFor(50ms);
  CHECK(bench.orders_.size() == 1);
  call(kTerm, 3);
  REQUIRE(bench.RunUntil([&] { return bench.agentAnswers_.size() == 3; }));
  CHECK(bench.agentAnswers_[2].status_ == 200);
  CHECK(bench.orders_.size() == 2);
}

// Order ids are unique only within a term, so that an answer to a former
// leader's order would be taken for one to the new leader's.
TEST_CASE("a leader gets no answers to the orders of a former one")
{
  RelayBench bench(kOneAgent);
  bench.isWorkerHolding_ = true;
  bench.CallAgent(kNear,
                  { kTerm, OrderClockMs() + 1000, { { 1, bench.Stop(1) } } });
  REQUIRE(bench.RunUntil([&] { return bench.orders_.size() == 1; }));
  bench.CallAgent(kNear, { kTerm + 1, 0, {} });
  bench.Release();
  REQUIRE(bench.RunUntil([&] { return bench.agentAnswers_.size() == 2; }));
  for (const auto& each : bench.agentAnswers_) {
    const auto answers = DecodeAnswers(each.body_);
    REQUIRE(IsOk(answers));
    CHECK(ValueOf(answers).answers_.empty());
  }
}

// Guards against answers that are lost when they arrive between two calls of
// the leader.
TEST_CASE(
  "answers that arrive while no call is open are sent with the next one")
{
  RelayBench bench(kOneAgent);
  bench.isWorkerHolding_ = true;
  bench.CallAgent(kNear,
                  { kTerm, OrderClockMs() + 1000, { { 8, bench.Stop(1) } } });
  REQUIRE(bench.RunUntil([&] { return bench.agentAnswers_.size() == 1; }));
  bench.Release();
  bench.RunFor(20ms);
  bench.CallAgent(kNear, { kTerm, 0, {} });
  REQUIRE(
    bench.RunUntil([&] { return bench.agentAnswers_.size() == 2; }, 100ms));
  const auto answers = DecodeAnswers(bench.agentAnswers_[1].body_);
  REQUIRE(IsOk(answers));
  REQUIRE(ValueOf(answers).answers_.size() == 1);
  CHECK(ValueOf(answers).answers_[0].id_ == 8);
  CHECK(ValueOf(answers).answers_[0].answer_.outcome_ == OrderOutcome::Taken);
}

// Guards against an agent that leaves a malformed call unanswered.
TEST_CASE("an agent refuses malformed calls")
{
  RelayBench bench(kOneAgent);
  for (const std::string body : { "", "{}", "\1\2\0\0\0" }) {
    HttpRequest request;
    request.body_ = body;
    std::optional<HttpAnswer> answer;
    bench.agents_.at(kNear).agent_->Handle(
      request, [&](HttpAnswer aAnswer) { answer = std::move(aAnswer); });
    REQUIRE(answer);
    CHECK(answer->status_ == 400);
  }
  CHECK(bench.orders_.empty());
}
