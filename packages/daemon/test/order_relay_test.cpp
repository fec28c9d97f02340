#include "daemon/test/order_relay_bench.h"

using namespace acaciahill;
using namespace acaciahill::testing;
using namespace std::chrono_literals;

// Guards against orders that are given twice or whose answers are lost.
TEST_CASE("an order goes through an agent and its answer comes back once")
{
  RelayBench bench(kOneAgent);
  bench.Lead();
  struct Row
  {
    const char* path_;
    WorkerOrder order_;
    bool hasLists_;
  };
  const std::vector<Row> rows{
    { "/run-start",
      StartRun{ bench.Target(1), { 1, 0, 0, 0 }, 1, "payload", "" },
      false },
    { "/run-stop", bench.Stop(1), false },
    { "/hold", RenewLease{ bench.Target(1), 3, Millis(20), false, {} }, true },
    { "/pace", PaceRun{ bench.Target(1), { 1, 0, 0, 0 }, 1, 50 }, false },
  };
  for (const auto& row : rows) {
    INFO(row.path_);
    bench.told_.clear();
    bench.orders_.clear();
    const auto batches = bench.Batches(kNear).size();
    bench.Give(row.order_, "zone-n");
    bench.relay_.Flush();
    REQUIRE(bench.RunUntil([&] { return !bench.told_.empty(); }));
    bench.RunFor(20ms);
    REQUIRE(bench.told_.size() == 1);
    const auto& told = bench.told_.front();
    CHECK(told.answer_ == OrderAnswer{ OrderOutcome::Taken, kWorkerClockMs });
    REQUIRE(told.lists_.has_value() == row.hasLists_);
    if (told.lists_) {
      CHECK(*told.lists_ == WorkerLists{ kWorkerClockMs, kBornMs, {}, {} });
    }
    CHECK(bench.orders_ == std::vector<std::string>{ row.path_ });
    CHECK(bench.Batches(kNear).size() == batches + 1);
  }
}

// Guards against an order whose end is told twice to the scheduler.
TEST_CASE("an answer that comes twice is told once")
{
  RelayBench bench(kOneAgent);
  bench.Lead();
  bench.agents_.at(kNear).mood_ = Mood::Repeats;
  CHECK(bench.Ask(1, "zone-n") == OrderOutcome::Taken);
  bench.RunFor(50ms);
  CHECK(bench.told_.size() == 1);
  CHECK(bench.orders_.empty());
}

// Guards against a leader that makes as many calls as it gives orders.
TEST_CASE("orders that are given before one flush go in one call")
{
  RelayBench bench(kOneAgent);
  bench.Lead();
  constexpr std::size_t kOrders = 20;
  for (std::uint32_t worker = 0; worker < kOrders; ++worker) {
    bench.Give(bench.Stop(worker), "zone-n");
  }
  bench.RunFor(20ms);
  CHECK(bench.orders_.empty());
  bench.relay_.Flush();
  REQUIRE(bench.RunUntil([&] { return bench.told_.size() == kOrders; }));
  CHECK(bench.Batches(kNear) == std::vector<std::size_t>{ kOrders });
  CHECK(bench.orders_.size() == kOrders);
  for (const auto& each : bench.told_) {
    CHECK(each.answer_.outcome_ == OrderOutcome::Taken);
  }
}

// Guards against orders that wait for an agent where there is none, and against
// ones that go from zone to zone and back.
TEST_CASE("the way of an order by the zones of its worker and the agents")
{
  struct Row
  {
    const char* name_;
    std::vector<AgentNode> agents_;
    std::string workerZone_;
    /// The agent that gives it; empty when the leader does.
    std::string way_;
  };
  const std::vector<Row> rows{
    { "no agents", {}, "zone-n", "" },
    { "the leader's own zone has no agent",
      { { kNear, "zone-n" } },
      "zone-l",
      "" },
    { "the leader's own zone has an agent",
      { { kNear, "zone-l" }, { kFar, "zone-f" } },
      "zone-l",
      kNear },
    { "an agent of the worker's zone",
      { { kNear, "zone-n" }, { kFar, "zone-f" } },
      "zone-f",
      kFar },
    { "no agent of the worker's zone", { { kFar, "zone-f" } }, "zone-n", kFar },
    { "the only node is the leader", { { kLeader, "zone-n" } }, "zone-n", "" },
  };
  for (const auto& row : rows) {
    INFO(row.name_);
    RelayBench bench(row.agents_);
    bench.Lead();
    // Each of several workers: one zone's agents share its workers.
    for (std::uint32_t worker = 0; worker < 4; ++worker) {
      CHECK(bench.Ask(worker, row.workerZone_) == OrderOutcome::Taken);
    }
    CHECK(bench.orders_.size() == 4);
    for (const auto& [node, agent] : bench.agents_) {
      CHECK(agent.batches_.size() == (node == row.way_ ? 4 : 0));
    }
  }
}

// Guards against workers that stay without orders behind a frozen agent.
TEST_CASE("an order through an agent that hangs is unknown in time")
{
  RelayBench bench(kOneAgent);
  bench.Lead();
  bench.agents_.at(kNear).mood_ = Mood::Hangs;
  CHECK(bench.Ask(1, "zone-n") == OrderOutcome::Unknown);
  REQUIRE(bench.told_.size() == 1);
  CHECK(bench.told_[0].after_ >= kOrderTime);
  CHECK(bench.told_[0].after_ < kOrderTime + kSlack);
  CHECK(bench.orders_.empty());
  CHECK(bench.Batches(kNear).size() == 1);

  CHECK(bench.Ask(1, "zone-n") == OrderOutcome::Taken);
  CHECK(bench.told_[1].after_ < kOrderTime);
  CHECK(bench.orders_.size() == 1);
  CHECK(bench.Batches(kNear).size() == 1);
  // Its calls have failed by then, and it gets no orders of others either.
  bench.RunFor(100ms);
  CHECK(bench.Ask(2, "zone-n") == OrderOutcome::Taken);
  CHECK(bench.Batches(kNear).size() == 1);
  CHECK(bench.told_.size() == 3);
}

// Guards against orders that go to a node which does not give them.
TEST_CASE("an agent that refuses or is not there is rested")
{
  struct Row
  {
    const char* name_;
    const char* node_;
    Mood mood_;
  };
  const std::vector<Row> rows{
    { "it follows another leader", kNear, Mood::Refuses },
    { "its answers cannot be read", kNear, Mood::Garbles },
    { "it is not there", kAbsent, Mood::Gives },
  };
  for (const auto& row : rows) {
    INFO(row.name_);
    RelayBench bench(std::vector<AgentNode>{ { row.node_, "zone-n" } });
    const auto calls = [&] {
      return bench.agents_.empty() ? 0 : bench.agents_.at(kNear).calls_;
    };
    if (!bench.agents_.empty()) {
      bench.agents_.at(kNear).mood_ = row.mood_;
    }
    bench.relay_.Begin(kTerm);
    bench.relay_.SetAgents(bench.nodes_);
    bench.RunFor(50ms);
    const auto before = calls();
    CHECK(before <= 1);
    for (int i = 0; i < 5; ++i) {
      bench.relay_.SetAgents(bench.nodes_);
      CHECK(bench.Ask(1, "zone-n") == OrderOutcome::Taken);
    }
    bench.RunFor(50ms);
    CHECK(calls() == before);
    CHECK(bench.orders_.size() == 5);
  }
}

// Guards against an agent that is never used again after one lost call, and
// against one that is used although it has just refused.
TEST_CASE("an agent that refused is used again after its rest")
{
  RelayBench bench(kOneAgent);
  bench.Lead();
  auto& agent = bench.agents_.at(kNear);
  agent.mood_ = Mood::Refuses;
  // That order was in the call which was refused.
  CHECK(bench.Ask(1, "zone-n") == OrderOutcome::Unknown);
  CHECK(bench.told_[0].after_ < kOrderTime + kSlack);
  CHECK(bench.orders_.empty());
  CHECK(bench.Ask(2, "zone-n") == OrderOutcome::Taken);
  CHECK(agent.batches_.size() == 1);

  agent.mood_ = Mood::Gives;
  const auto calls = agent.calls_;
  REQUIRE(bench.RunUntil([&] {
    bench.relay_.SetAgents(bench.nodes_);
    return agent.calls_ >= calls + 2;
  }));
  // A call that was open before may be answered within the rest.
  bench.RunFor(kRestTime);
  bench.relay_.SetAgents(bench.nodes_);
  bench.RunFor(kSlack);
  CHECK(bench.Ask(2, "zone-n") == OrderOutcome::Taken);
  CHECK(agent.batches_.size() == 2);
}

// Guards against calls without pause between a leader and a node that left the
// agents for a moment.
TEST_CASE("an agent that left and came back is called as before")
{
  RelayBench bench(kOneAgent);
  bench.Lead();
  bench.relay_.SetAgents({});
  CHECK(bench.Ask(1, "zone-n") == OrderOutcome::Taken);
  CHECK(bench.Batches(kNear).empty());
  bench.relay_.SetAgents(bench.nodes_);
  bench.RunFor(100ms);
  const auto calls = bench.agents_.at(kNear).calls_;
  bench.RunFor(400ms);
  // Each is answered after 0.2 s.
  CHECK(bench.agents_.at(kNear).calls_ - calls <= 4);
  CHECK(bench.Ask(1, "zone-n") == OrderOutcome::Taken);
  CHECK(bench.Batches(kNear).size() == 1);
}

// Guards against a worker that is not heard of when its way to the agent is
// cut.
TEST_CASE("a worker that an agent cannot reach is called directly next time")
{
  struct Row
  {
    const char* name_;
    bool isThere_;
    OrderOutcome outcome_;
  };
  const std::vector<Row> rows{
    { "no connection", false, OrderOutcome::WorkerUnavailable },
    { "no answer", true, OrderOutcome::Unknown },
  };
  for (const auto& row : rows) {
    INFO(row.name_);
    RelayBench bench(kOneAgent);
    bench.Lead();
    auto lost = bench.Stop(1);
    if (!row.isThere_) {
      lost.target_.address_ = JoinAddress(kAbsent, bench.port_);
    }
    bench.workerHolds_ = true;
    bench.Give(lost, "zone-n");
    bench.relay_.Flush();
    REQUIRE(bench.RunUntil([&] { return !bench.told_.empty(); }));
    CHECK(bench.told_[0].answer_.outcome_ == row.outcome_);
    CHECK(bench.Batches(kNear).size() == 1);
    bench.Release();

    CHECK(bench.Ask(1, "zone-n") == OrderOutcome::Taken);
    CHECK(bench.Batches(kNear).size() == 1);
    // Others still go over the agent.
    CHECK(bench.Ask(2, "zone-n") == OrderOutcome::Taken);
    CHECK(bench.Batches(kNear).size() == 2);
  }
}

// Guards against an answer that a later leadership takes for one to its orders.
TEST_CASE("the functions of a former leadership are not called")
{
  struct Row
  {
    const char* name_;
    bool isRelayed_;
    bool beginsAgain_;
  };
  const std::vector<Row> rows{
    { "relayed, ended", true, false },
    { "relayed, another term", true, true },
    { "direct, ended", false, false },
    { "direct, another term", false, true },
  };
  for (const auto& row : rows) {
    INFO(row.name_);
    RelayBench bench(kOneAgent);
    bench.Lead();
    bench.workerHolds_ = true;
    const std::string zone = row.isRelayed_ ? "zone-n" : "zone-l";
    bench.Give(bench.Stop(1), zone);
    bench.relay_.Flush();
    REQUIRE(bench.RunUntil([&] { return bench.orders_.size() == 1; }));
    REQUIRE(bench.Batches(kNear).size() == (row.isRelayed_ ? 1 : 0));
    // One more that is not sent yet.
    bench.Give(bench.Stop(2), "zone-n");
    if (row.beginsAgain_) {
      bench.relay_.Begin(kTerm + 1);
      bench.relay_.SetAgents(bench.nodes_);
    } else {
      bench.relay_.End();
    }
    bench.relay_.Flush();
    bench.Release();
    bench.RunFor(row.isRelayed_ ? kOrderTime + 100ms : 50ms);
    CHECK(bench.told_.empty());
    CHECK(bench.orders_.size() == 1);
    if (row.beginsAgain_) {
      CHECK(bench.Ask(3, "zone-n") == OrderOutcome::Taken);
      CHECK(bench.told_.size() == 1);
    }
  }
}

// Guards against functions of a leadership that ended while its answers, or the
// orders without one, were gone through.
TEST_CASE("a leadership that ends in a function has no more answers")
{
  for (const bool isAnswered : { true, false }) {
    INFO((isAnswered ? "answered" : "without answers"));
    RelayBench bench(kOneAgent);
    bench.Lead();
    if (!isAnswered) {
      bench.agents_.at(kNear).mood_ = Mood::Hangs;
    }
    bench.onTold_ = [&] { bench.relay_.Begin(kTerm + 1); };
    for (std::uint32_t worker = 0; worker < 3; ++worker) {
      bench.Give(bench.Stop(worker), "zone-n");
    }
    bench.relay_.Flush();
    REQUIRE(bench.RunUntil([&] { return !bench.told_.empty(); }));
    bench.RunFor(100ms);
    CHECK(bench.told_.size() == 1);
    CHECK(bench.orders_.size() == (isAnswered ? 3 : 0));
  }
}
