#include "daemon/gateway_base.h"

#include "kernel/address_func.h"
#include "support/process_harness.h"

#include <catch2/catch.hpp>

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace acaciahill;
using namespace std::chrono_literals;

namespace {

// All nodes use the same port; each has its own loopback address.
constexpr const char* kOne = "127.0.0.1";
constexpr const char* kTwo = "127.0.0.2";
constexpr Millis kNever = std::chrono::hours(1);
// Time limit of a test in which no answer arrives.
constexpr auto kTestTimeout = 10s;

/// How a fake node handles requests that are forwarded to it.
enum class NodeBehavior : std::uint8_t
{
  Answers,
  Hangs,
  LostLeadership,
  Refuses, ///< Answers that it does not lead and has not accepted the request.
  Rejects, ///< Leads, and does not accept the request.
  RejectsLater, ///< Hangs for the first request and rejects later ones.
  AnswersLater, ///< Hangs for the first request and answers later ones.
};

/// Fake nodes, any of which may lead, and a gateway in front of them.
class GatewayBench
{
public:
  explicit GatewayBench(const std::map<std::string, NodeBehavior>& aNodes)
    : client_(context_)
    , timer_(context_)
  {
    for (const auto& [node, behavior] : aNodes) {
      listeners_.push_back(std::make_unique<AsyncListener>(
        context_,
        [this, node = node, behavior = behavior](
          const HttpRequest&, AsyncListener::Answer aAnswer) {
          Serve(node, behavior, std::move(aAnswer));
        },
        HttpLimits{ 16384, 65536 }));
      REQUIRE(IsOk(listeners_.back()->Start(JoinAddress(node, port_))));
    }
  }

  LeaderSource Source()
  {
    return { [this] { return leader_; },
             [this] { return silentFor_; },
             [this](const std::string& aNode) { confirmed_.push_back(aNode); },
             [] {},
             [this] { return reader_; } };
  }

  /// Sends one request through the gateway. Empty when no answer arrived in
  /// time.
  std::optional<HttpAnswer> SendRequest(Plane aPlane,
                                        GatewayTiming aTiming,
                                        const std::string& aMethod = "POST")
  {
    Gateway gateway(context_,
                    client_,
                    "entry",
                    port_,
                    metrics_,
                    nullptr,
                    nullptr,
                    Source(),
                    aTiming);
    HttpRequest request;
    request.method_ = aMethod;
    request.target_ = "/q/1";
    std::optional<HttpAnswer> answer;
    gateway.Handle(aPlane, std::move(request), [&](HttpAnswer aAnswer) {
      answer = std::move(aAnswer);
      context_.stop();
    });
    context_.run_for(kTestTimeout);
    return answer;
  }

  /// Makes the node the known leader after 200 ms.
  void ElectLater(const std::string& aNode)
  {
    timer_.expires_after(200ms);
    timer_.async_wait([this, aNode](const boost::system::error_code& aError) {
      if (!aError) {
        leader_ = aNode;
      }
    });
  }

  std::string leader_;
  /// A node that may answer reads.
  std::string reader_;
  Millis silentFor_{ 0 };
  std::vector<std::string> confirmed_;

private:
  void Serve(const std::string& aNode,
             NodeBehavior aBehavior,
             AsyncListener::Answer aAnswer)
  {
    HttpAnswer answer;
    answer.status_ = 200;
    switch (aBehavior) {
      case NodeBehavior::Hangs:
        hanging_.push_back(std::move(aAnswer));
        return;
      case NodeBehavior::LostLeadership:
        answer.status_ = 504;
        answer.headers_ = { { kNotLeaderHeader, "yes" } };
        ElectLater(kTwo);
        leader_.clear();
        break;
      case NodeBehavior::Refuses:
        answer.status_ = 503;
        answer.headers_ = { { kNotLeaderHeader, "yes" } };
        break;
      case NodeBehavior::Rejects:
        answer.status_ = 503;
        break;
      case NodeBehavior::RejectsLater:
        if (hanging_.empty()) {
          hanging_.push_back(std::move(aAnswer));
          return;
        }
        answer.status_ = 503;
        break;
      case NodeBehavior::AnswersLater:
        if (hanging_.empty()) {
          hanging_.push_back(std::move(aAnswer));
          return;
        }
        answer.body_ = aNode;
        break;
      case NodeBehavior::Answers:
        answer.body_ = aNode;
        break;
    }
    aAnswer(std::move(answer));
  }

  boost::asio::io_context context_;
  AsyncClient client_;
  boost::asio::steady_timer timer_;
  std::vector<std::unique_ptr<AsyncListener>> listeners_;
  std::vector<AsyncListener::Answer> hanging_;
  const std::string port_{ std::to_string(testing::FreePort()) };
  Metrics metrics_;
};

} // namespace

// Guards against a job that runs though its customer was told that it was
// rejected (REFUSED): an earlier call was still to arrive, or to be committed.
TEST_CASE("outcome of a request when the leader is lost")
{
  struct Row
  {
    const char* name_;
    NodeBehavior first_;
    std::string leader_;
    Millis silentFor_;
    GatewayTiming timing_;
    bool elects_;
    std::int64_t status_;
    std::string body_;
    Plane plane_ = Plane::Callers;
    NodeBehavior second_ = NodeBehavior::Answers;
  };
  const std::vector<Row> rows{
    { "a leader that answers",
      NodeBehavior::Answers,
      kOne,
      Millis(0),
      { kNever, kNever, kNever, kNever, kNever },
      false,
      200,
      kOne },
    // With a frozen leader, requests waited for the time-out of their calls
    // long after the next leader was elected.
    { "the leader hangs and another one is elected",
      NodeBehavior::Hangs,
      kOne,
      Millis(0),
      { kNever, kNever, kNever, kNever, kNever },
      true,
      200,
      kTwo },
    // Requests were delayed by a second after each election.
    { "a leader is elected while the request waits",
      NodeBehavior::Answers,
      "",
      Millis(100),
      { kNever, kNever, kNever, kNever, kNever },
      true,
      200,
      kTwo },
    { "the leader loses its leadership with the request in work",
      NodeBehavior::LostLeadership,
      kOne,
      Millis(0),
      { kNever, kNever, kNever, kNever, kNever },
      false,
      200,
      kTwo },
    { "there has been no leader for long",
      NodeBehavior::Answers,
      "",
      Millis(5000),
      { kNever, kNever, Millis(1500), kNever, kNever },
      false,
      503,
      "" },
    { "no leader is elected in time",
      NodeBehavior::Answers,
      "",
      Millis(100),
      { Millis(100), kNever, kNever, kNever, kNever },
      false,
      503,
      "" },
    // A worker's heartbeat was held for 1 s, after which the worker calls
    // another node.
    { "a worker is told sooner",
      NodeBehavior::Answers,
      "",
      Millis(100),
      { kNever, Millis(100), kNever, kNever, kNever },
      false,
      503,
      "",
      Plane::Control },
    { "a leader that rejects",
      NodeBehavior::Rejects,
      kOne,
      Millis(0),
      { kNever, kNever, kNever, kNever, kNever },
      false,
      503,
      "" },
    { "the leader hangs and the next one rejects",
      NodeBehavior::Hangs,
      kOne,
      Millis(0),
      { kNever, kNever, kNever, kNever, kNever },
      true,
      504,
      "",
      Plane::Callers,
      NodeBehavior::Rejects },
    { "the leader hangs and the next one rejects an operator",
      NodeBehavior::Hangs,
      kOne,
      Millis(0),
      { kNever, kNever, kNever, kNever, kNever },
      true,
      504,
      "",
      Plane::Control,
      NodeBehavior::Rejects },
    { "a call times out and the leader rejects the next one",
      NodeBehavior::RejectsLater,
      kOne,
      Millis(0),
      { kNever, kNever, kNever, kNever, Millis(100) },
      false,
      504,
      "" },
  };
  for (const auto& row : rows) {
    INFO(row.name_);
    GatewayBench bench({ { kOne, row.first_ }, { kTwo, row.second_ } });
    bench.leader_ = row.leader_;
    bench.silentFor_ = row.silentFor_;
    if (row.elects_) {
      bench.ElectLater(kTwo);
    }
    const auto answer = bench.SendRequest(row.plane_, row.timing_);
    REQUIRE(answer);
    CHECK(answer->status_ == row.status_);
    CHECK(answer->body_ == row.body_);
    if (row.status_ == 200) {
      REQUIRE(!bench.confirmed_.empty());
      CHECK(bench.confirmed_.back() == row.body_);
    }
  }
}

// Guards against a request that is neither answered nor sent again: its call
// timed out just as the gateway looked for another leader, which it does every
// 50 ms.
TEST_CASE("a call that times out is sent again")
{
  const auto timeout = GENERATE(Millis(50), Millis(100), Millis(150));
  for (int repeat = 0; repeat < 10; ++repeat) {
    INFO("time-out of calls " << timeout.count() << " ms, repeat " << repeat);
    GatewayBench bench({ { kOne, NodeBehavior::AnswersLater } });
    bench.leader_ = kOne;
    const auto answer = bench.SendRequest(
      Plane::Callers, { kNever, kNever, kNever, kNever, timeout });
    REQUIRE(answer);
    CHECK(answer->body_ == kOne);
  }
}

// Guards against reads of jobs that are all sent to the leader.
TEST_CASE("reads are answered by control nodes that need not lead")
{
  struct Row
  {
    const char* name_;
    NodeBehavior second_;
    std::string reader_;
    std::string method_;
    Plane plane_;
    std::string body_;
  };
  const std::vector<Row> rows{
    { "a read", NodeBehavior::Answers, kTwo, "GET", Plane::Callers, kTwo },
    { "the reader hangs",
      NodeBehavior::Hangs,
      kTwo,
      "GET",
      Plane::Callers,
      kOne },
    { "it does not know",
      NodeBehavior::Refuses,
      kTwo,
      "GET",
      Plane::Callers,
      kOne },
    { "no reader is known",
      NodeBehavior::Answers,
      "",
      "GET",
      Plane::Callers,
      kOne },
    { "a job", NodeBehavior::Answers, kTwo, "POST", Plane::Callers, kOne },
    { "a cancel", NodeBehavior::Answers, kTwo, "DELETE", Plane::Callers, kOne },
    { "an operator's read",
      NodeBehavior::Answers,
      kTwo,
      "GET",
      Plane::Control,
      kOne },
  };
  for (const auto& row : rows) {
    INFO(row.name_);
    GatewayBench bench(
      { { kOne, NodeBehavior::Answers }, { kTwo, row.second_ } });
    bench.leader_ = kOne;
    bench.reader_ = row.reader_;
    const auto answer = bench.SendRequest(
      row.plane_, { kNever, kNever, kNever, kNever, kNever }, row.method_);
    REQUIRE(answer);
    CHECK(answer->status_ == 200);
    CHECK(answer->body_ == row.body_);
  }
}
