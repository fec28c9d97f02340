#pragma once

#include "daemon/order_relay_base.h"
#include "kernel/address_func.h"
#include "kernel/os_clock_func.h"
#include "platform/standin/worker_answer_func.h"
#include "support/process_harness.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace acaciahill::testing {

using namespace std::chrono_literals;

/// All nodes use the same port; each has its own loopback address.
inline constexpr const char* kLeader = "127.0.0.1";
inline constexpr const char* kNear = "127.0.0.2";
inline constexpr const char* kFar = "127.0.0.3";
inline constexpr const char* kWorkerNode = "127.0.0.9";
/// An address at which nothing listens.
inline constexpr const char* kAbsent = "127.0.0.4";
/// The agent list of most test cases.
inline const std::vector<AgentNode> kOneAgent{ { kNear, "zone-n" } };
inline constexpr std::uint64_t kTerm = 5;
/// Values in the worker's answers.
inline constexpr std::int64_t kWorkerClockMs = 1700000000000;
inline constexpr std::uint64_t kBornMs = 1600000000000;
/// Time limit of a test in which no answer arrives.
inline constexpr Millis kTestTimeout{ 5000 };
/// Timeout of a call to an agent, which fails its orders. The slack is for slow
/// machines.
inline constexpr Millis kAgentCallTimeout{ 450 };
/// Timeout of an order through an agent that answers its calls: 0.3 s for its
/// way to the agent, 0.3 s for the worker and 0.45 s for a call.
inline constexpr Millis kRelayedOrderTimeLimit{ 1050 };
inline constexpr Millis kSlack{ 300 };
/// An agent that failed gets no orders for this time.
inline constexpr Millis kBackoffTime{ 2000 };

/// How a fake agent handles calls.
enum class AgentBehavior : std::uint8_t
{
  Relays,
  Hangs,
  Refuses,
  Repeats, ///< Answers each order twice without calling the worker.
  Forgets, ///< Answers its calls, but never an order.
  SendsGarbage,
};

/// One agent on its own address, and the calls that it received.
struct FakeAgent
{
  std::unique_ptr<OrderAgent> agent_;
  std::unique_ptr<AsyncListener> listener_;
  AgentBehavior behavior_ = AgentBehavior::Relays;
  int calls_ = 0;
  /// Numbers of orders in each call that had any, and what was left of their
  /// time when they arrived.
  std::vector<std::size_t> batches_;
  std::vector<std::int64_t> timeLeftMs_;
};

/// The arguments and the time of one callback of an order.
struct ReceivedAnswer
{
  OrderAnswer answer_;
  std::optional<WorkerLists> lists_;
  Millis after_;
};

/// A relay with agents, and a fake worker.
class RelayBench
{
public:
  explicit RelayBench(std::vector<AgentNode> aNodes)
    : client_(context_)
    , relay_(context_, client_, kLeader, port_, metrics_)
    , nodes_(std::move(aNodes))
    , worker_(
        context_,
        [this](const HttpRequest& aRequest, AsyncListener::Answer aAnswer) {
          ServeWorker(aRequest, std::move(aAnswer));
        },
        kLimits)
  {
    REQUIRE(IsOk(worker_.Start(WorkerAddress())));
    for (const auto& [node, zone] : nodes_) {
      if (node == kAbsent || node == kLeader) {
        continue;
      }
      auto& one = agents_[node];
      one.agent_ = std::make_unique<OrderAgent>(context_, client_);
      one.listener_ = std::make_unique<AsyncListener>(
        context_,
        [this, &one](const HttpRequest& aRequest,
                     AsyncListener::Answer aAnswer) {
          ServeAgent(one, aRequest, std::move(aAnswer));
        },
        kLimits);
      REQUIRE(IsOk(one.listener_->Start(JoinAddress(node, port_))));
    }
  }

  std::string WorkerAddress() const { return JoinAddress(kWorkerNode, port_); }

  /// Begins a leadership and waits until the relay knows the agents.
  void Lead()
  {
    relay_.Begin(kTerm);
    relay_.SetAgents(nodes_);
    RunUntilCalled(1);
    // Stopping an agent makes it answer the open call at once.
    for (auto& [node, one] : agents_) {
      one.agent_->Stop();
    }
    RunUntilCalled(2);
  }

  /// Waits until each agent has received this number of calls.
  void RunUntilCalled(int aCalls)
  {
    REQUIRE(RunUntil([this, aCalls] {
      return std::all_of(
        agents_.begin(), agents_.end(), [aCalls](const auto& aEntry) {
          return aEntry.second.calls_ >= aCalls;
        });
    }));
  }

  bool RunUntil(const std::function<bool()>& aCondition,
                Millis aTimeout = kTestTimeout)
  {
    const auto end = MonotonicNow() + aTimeout;
    while (!aCondition() && MonotonicNow() < end) {
      context_.restart();
      context_.run_one_for(5ms);
    }
    return aCondition();
  }

  void RunFor(Millis aTime)
  {
    RunUntil([] { return false; }, aTime);
  }

  OrderTarget Target(std::uint32_t aWorker) const
  {
    return { aWorker, "life-1", WorkerAddress(), 1, 1000 };
  }

  StopRun Stop(std::uint32_t aWorker) const
  {
    return { Target(aWorker), { 1, 0, 0, aWorker }, 1 };
  }

  /// Sends an order and records the callback in received_.
  void Send(const WorkerOrder& aOrder, const std::string& aZone)
  {
    relay_.Send(
      aOrder,
      aZone,
      [this, givenAt = MonotonicNow()](const auto& aAnswer,
                                       const auto& aLists) {
        received_.push_back({ aAnswer, aLists, MonotonicNow() - givenAt });
        if (onReceived_) {
          onReceived_();
        }
      });
  }

  /// Sends a stop order, flushes and returns its outcome; empty at the time
  /// limit.
  std::optional<OrderOutcome> SendStop(std::uint32_t aWorker,
                                       const std::string& aZone)
  {
    const auto before = received_.size();
    Send(Stop(aWorker), aZone);
    relay_.Flush();
    if (!RunUntil([&] { return received_.size() > before; })) {
      return std::nullopt;
    }
    return received_.back().answer_.outcome_;
  }

  /// Numbers of orders in the calls that an agent received.
  const std::vector<std::size_t>& Batches(const std::string& aNode)
  {
    return agents_.at(aNode).batches_;
  }

  /// Calls an agent as a leader does, without the relay.
  void CallAgent(const std::string& aNode, const OrderBatch& aBatch)
  {
    HttpRequest request;
    request.method_ = "POST";
    request.target_ = kOrdersPath;
    request.body_ = EncodeOrders(aBatch);
    agents_.at(aNode).agent_->Handle(request, [this](HttpAnswer aAnswer) {
      agentAnswers_.push_back(std::move(aAnswer));
    });
  }

  /// Makes the worker answer the orders that it holds.
  void Release()
  {
    isWorkerHolding_ = false;
    for (auto& each : std::exchange(held_, {})) {
      each.second(
        platform::standin::TakenAnswer(each.first, kWorkerClockMs, kBornMs));
    }
  }

  static constexpr HttpLimits kLimits{ 16384, 65536 };

  boost::asio::io_context context_;
  const std::string port_{ std::to_string(FreePort()) };
  Metrics metrics_;
  AsyncClient client_;
  OrderRelay relay_;
  std::vector<AgentNode> nodes_;
  std::map<std::string, FakeAgent> agents_;
  std::vector<ReceivedAnswer> received_;
  /// Called with each answer.
  std::function<void()> onReceived_;
  /// Paths of the orders that reached the worker.
  std::vector<std::string> orders_;
  bool isWorkerHolding_ = false;
  std::vector<HttpAnswer> agentAnswers_;

private:
  void ServeWorker(const HttpRequest& aRequest, AsyncListener::Answer aAnswer)
  {
    orders_.push_back(aRequest.target_);
    if (isWorkerHolding_) {
      held_.emplace_back(aRequest.target_, std::move(aAnswer));
      return;
    }
    aAnswer(platform::standin::TakenAnswer(
      aRequest.target_, kWorkerClockMs, kBornMs));
  }

  void ServeAgent(FakeAgent& aAgent,
                  const HttpRequest& aRequest,
                  AsyncListener::Answer aAnswer)
  {
    const auto decoded = DecodeOrders(aRequest.body_);
    ++aAgent.calls_;
    const auto batch = IsOk(decoded) ? ValueOf(decoded) : OrderBatch{};
    if (!batch.orders_.empty()) {
      aAgent.batches_.push_back(batch.orders_.size());
      aAgent.timeLeftMs_.push_back(batch.untilMs_ - OrderClockMs());
    }
    HttpAnswer answer;
    answer.status_ = 200;
    switch (aAgent.behavior_) {
      case AgentBehavior::Relays:
        aAgent.agent_->Handle(aRequest, std::move(aAnswer));
        return;
      case AgentBehavior::Hangs:
        hanging_.push_back(std::move(aAnswer));
        return;
      case AgentBehavior::Refuses:
        answer.status_ = 409;
        break;
      case AgentBehavior::SendsGarbage:
        answer.body_ = "{}";
        break;
      case AgentBehavior::Forgets: {
        auto empty = batch;
        empty.orders_.clear();
        auto request = aRequest;
        request.body_ = EncodeOrders(empty);
        aAgent.agent_->Handle(request, std::move(aAnswer));
        return;
      }
      case AgentBehavior::Repeats: {
        if (batch.orders_.empty()) {
          aAgent.agent_->Handle(aRequest, std::move(aAnswer));
          return;
        }
        AnswerBatch answers{ batch.term_, OrderClockMs(), {} };
        for (const auto& each : batch.orders_) {
          const RelayedAnswer taken{ each.id_,
                                     { OrderOutcome::Taken, std::nullopt },
                                     std::nullopt };
          answers.answers_.insert(answers.answers_.end(), 2, taken);
        }
        answer.body_ = EncodeAnswers(answers);
        break;
      }
    }
    aAnswer(std::move(answer));
  }

  AsyncListener worker_;
  std::vector<AsyncListener::Answer> hanging_;
  std::vector<std::pair<std::string, AsyncListener::Answer>> held_;
};

} // namespace acaciahill::testing
