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

// All nodes use one port; each has a loopback address of its own.
constexpr const char* kOne = "127.0.0.1";
constexpr const char* kTwo = "127.0.0.2";
constexpr Millis kNever = std::chrono::hours(1);
// Bounds a test whose answer never comes.
constexpr auto kTestTime = 10s;

/// How a fake node treats requests that are passed on to it.
enum class Mood : std::uint8_t
{
  Answers,
  Hangs,
  LostLeadership,
  Refuses, ///< Says that it does not lead, and has taken nothing.
};

/// Fake nodes that may lead, and a gateway in front of them.
class GatewayBench
{
public:
  explicit GatewayBench(const std::map<std::string, Mood>& aNodes)
    : client_(context_)
    , timer_(context_)
  {
    for (const auto& [node, mood] : aNodes) {
      listeners_.push_back(std::make_unique<AsyncListener>(
        context_,
        [this, node = node, mood = mood](const HttpRequest&,
                                         AsyncListener::Answer aAnswer) {
          Serve(node, mood, std::move(aAnswer));
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

  /// Passes one request on; the answer is there when one came in time.
  std::optional<HttpAnswer> Ask(Plane aPlane,
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
    context_.run_for(kTestTime);
    return answer;
  }

  /// After some time the node is known to lead.
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
             Mood aMood,
             AsyncListener::Answer aAnswer)
  {
    HttpAnswer answer;
    answer.status_ = 200;
    switch (aMood) {
      case Mood::Hangs:
        hanging_.push_back(std::move(aAnswer));
        return;
      case Mood::LostLeadership:
        answer.status_ = 504;
        answer.headers_ = { { kNotLeaderHeader, "yes" } };
        ElectLater(kTwo);
        leader_.clear();
        break;
      case Mood::Refuses:
        answer.status_ = 503;
        answer.headers_ = { { kNotLeaderHeader, "yes" } };
        break;
      case Mood::Answers:
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

TEST_CASE("what becomes of a request when the leader is lost")
{
  struct Row
  {
    const char* name_;
    Mood first_;
    std::string leader_;
    Millis silentFor_;
    GatewayTiming timing_;
    bool elects_;
    std::int64_t status_;
    std::string body_;
    Plane plane_ = Plane::Callers;
  };
  const std::vector<Row> rows{
    { "a leader that answers",
      Mood::Answers,
      kOne,
      Millis(0),
      { kNever, kNever, kNever, kNever, kNever },
      false,
      200,
      kOne },
    // Seen with a frozen leader: requests waited for the end of their calls
    // long after the next one was elected.
    { "the leader hangs and another one is elected",
      Mood::Hangs,
      kOne,
      Millis(0),
      { kNever, kNever, kNever, kNever, kNever },
      true,
      200,
      kTwo },
    // Seen as a pause of a second after each election.
    { "a leader is elected while the request waits",
      Mood::Answers,
      "",
      Millis(100),
      { kNever, kNever, kNever, kNever, kNever },
      true,
      200,
      kTwo },
    { "the leader loses its leadership with the request in work",
      Mood::LostLeadership,
      kOne,
      Millis(0),
      { kNever, kNever, kNever, kNever, kNever },
      false,
      200,
      kTwo },
    { "there has been no leader for long",
      Mood::Answers,
      "",
      Millis(5000),
      { kNever, kNever, Millis(1500), kNever, kNever },
      false,
      503,
      "" },
    { "no leader is elected in time",
      Mood::Answers,
      "",
      Millis(100),
      { Millis(100), kNever, kNever, kNever, kNever },
      false,
      503,
      "" },
    // A worker's heartbeat was held for 1 s, after which it calls another node.
    { "a worker is told sooner",
      Mood::Answers,
      "",
      Millis(100),
      { kNever, Millis(100), kNever, kNever, kNever },
      false,
      503,
      "",
      Plane::Control },
  };
  for (const auto& row : rows) {
    INFO(row.name_);
    GatewayBench bench({ { kOne, row.first_ }, { kTwo, Mood::Answers } });
    bench.leader_ = row.leader_;
    bench.silentFor_ = row.silentFor_;
    if (row.elects_) {
      bench.ElectLater(kTwo);
    }
    const auto answer = bench.Ask(row.plane_, row.timing_);
    REQUIRE(answer);
    CHECK(answer->status_ == row.status_);
    CHECK(answer->body_ == row.body_);
    if (row.status_ == 200) {
      REQUIRE(!bench.confirmed_.empty());
      CHECK(bench.confirmed_.back() == row.body_);
    }
  }
}

// Guards against a leader that answers every look at a job itself.
TEST_CASE("reads are answered by control nodes that need not lead")
{
  struct Row
  {
    const char* name_;
    Mood second_;
    std::string reader_;
    std::string method_;
    Plane plane_;
    std::string body_;
  };
  const std::vector<Row> rows{
    { "a read", Mood::Answers, kTwo, "GET", Plane::Callers, kTwo },
    { "the reader hangs", Mood::Hangs, kTwo, "GET", Plane::Callers, kOne },
    { "it does not know", Mood::Refuses, kTwo, "GET", Plane::Callers, kOne },
    { "no reader is known", Mood::Answers, "", "GET", Plane::Callers, kOne },
    { "a job", Mood::Answers, kTwo, "POST", Plane::Callers, kOne },
    { "a cancel", Mood::Answers, kTwo, "DELETE", Plane::Callers, kOne },
    { "an operator's read", Mood::Answers, kTwo, "GET", Plane::Control, kOne },
  };
  for (const auto& row : rows) {
    INFO(row.name_);
    GatewayBench bench({ { kOne, Mood::Answers }, { kTwo, row.second_ } });
    bench.leader_ = kOne;
    bench.reader_ = row.reader_;
    const auto answer = bench.Ask(
      row.plane_, { kNever, kNever, kNever, kNever, kNever }, row.method_);
    REQUIRE(answer);
    CHECK(answer->status_ == 200);
    CHECK(answer->body_ == row.body_);
  }
}
