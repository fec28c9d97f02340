#include "proof/data_support.h"

#include <Poco/Net/SocketAddress.h>

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <set>
#include <thread>

using namespace acaciahill;
using namespace acaciahill::testing;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr int kTargets = 6;
constexpr std::uint64_t kDefaultSeed = 101;
constexpr Millis kDeadline{ 1000 };
constexpr Millis kFaultTime{ 1200 };
constexpr Millis kCalmTime{ 400 };
/// Spans many chunks and several reads of the relay.
constexpr std::size_t kLongAnswer = 20000;
/// An open circuit breaker and an evidence that expired are renewed in this
/// time.
constexpr Millis kRecoveryLimit{ 15000 };

/// One kind of fault: switches of targets' proxies, targets' control paths and
/// callers' proxies, each with what ends it. Half of the targets have it.
struct Fault
{
  const char* name_;
  json proxy_;
  json target_;
  json targetEnd_;
  json caller_;
};

std::vector<Fault>
Faults()
{
  const auto cutDown = [](int aBytes) {
    return json{ { "down", { { "truncate_after", aBytes } } } };
  };
  return {
    { "answer ends in its head", cutDown(20), {}, {}, {} },
    { "answer ends in its body", cutDown(330), {}, {}, {} },
    { "answer lacks its last byte",
      {},
      { { "truncate", -1 } },
      { { "truncate", 0 } },
      {} },
    { "answer in chunks",
      {},
      { { "framing", "chunked" } },
      { { "framing", "length" } },
      {} },
    { "answer in chunks lacks some",
      {},
      { { "framing", "chunked" },
        { "truncate", -1 },
        { "truncate_bytes", 150 } },
      { { "framing", "length" }, { "truncate", 0 }, { "truncate_bytes", 1 } },
      {} },
    { "answer ended by close",
      {},
      { { "framing", "close" } },
      { { "framing", "length" } },
      {} },
    { "answer ended by close lacks some",
      {},
      { { "framing", "close" }, { "truncate", -1 }, { "truncate_bytes", 150 } },
      { { "framing", "length" }, { "truncate", 0 }, { "truncate_bytes", 1 } },
      {} },
    { "request ends on its way",
      { { "up", { { "truncate_after", 150 } } } },
      {},
      {},
      {} },
    { "answers twice", {}, { { "twice", -1 } }, { { "twice", 0 } }, {} },
    { "no HTTP", {}, { { "malformed", -1 } }, { { "malformed", 0 } }, {} },
    { "closed before executing",
      {},
      { { "close_before", -1 } },
      { { "close_before", 0 } },
      {} },
    { "closed after executing",
      {},
      { { "close_after", -1 } },
      { { "close_after", 0 } },
      {} },
    // A repeatable request's first attempt ends at half its deadline, so that
    // answers come just before and just after the ends of attempts.
    { "late for the first attempt",
      {},
      { { "late_ms", 490 } },
      { { "late_ms", 0 } },
      {} },
    { "late for the deadline",
      {},
      { { "late_ms", 985 } },
      { { "late_ms", 0 } },
      {} },
    { "slow links",
      { { "down", { { "delay_ms", 260 } } },
        { "up", { { "delay_ms", 260 } } } },
      {},
      {},
      {} },
    { "connections to targets go silent",
      { { "freeze_open", true } },
      { { "silence_open", true } },
      {},
      {} },
    { "connections of callers go silent",
      {},
      {},
      {},
      { { "freeze_open", true } } },
    { "answer to the caller ends early", {}, {}, {}, cutDown(100) },
    { "request of the caller ends early",
      {},
      {},
      {},
      { { "up", { { "truncate_after", 120 } } } } },
  };
}

/// The seed of the load; ACACIAHILL_PROOF_SEED replaces the default.
std::uint64_t
LoadSeed()
{
  const auto* text = std::getenv("ACACIAHILL_PROOF_SEED");
  return text == nullptr ? kDefaultSeed : std::stoull(text);
}

const json&
HealOrder()
{
  static const json kHeal{ { "heal", true } };
  return kHeal;
}

using Proxies = std::vector<std::unique_ptr<FaultProxy>>;

void
InjectFaults(Cluster& aCluster, Proxies& aCallers)
{
  // Each kind concerns the other half of the targets than the one before.
  int first = 1;
  for (const auto& fault : Faults()) {
    for (int i = first; i <= kTargets; i += 2) {
      if (!fault.proxy_.is_null()) {
        aCluster.TargetProxy(TargetName(i)).Control(fault.proxy_);
      }
      if (!fault.target_.is_null()) {
        aCluster.ControlTarget(TargetName(i), fault.target_);
      }
    }
    if (!fault.caller_.is_null()) {
      for (auto& proxy : aCallers) {
        proxy->Control(fault.caller_);
      }
    }
    std::this_thread::sleep_for(kFaultTime);
    for (int i = first; i <= kTargets; i += 2) {
      aCluster.TargetProxy(TargetName(i)).Control(HealOrder());
      if (!fault.targetEnd_.is_null()) {
        aCluster.ControlTarget(TargetName(i), fault.targetEnd_);
      }
    }
    for (auto& proxy : aCallers) {
      proxy->Control(HealOrder());
    }
    std::this_thread::sleep_for(kCalmTime);
    first = 3 - first;
  }
}

/// Sends through every entry and gives each caller's view: "whole" for a
/// target's own answer with all its bytes, else the outcome and error kind.
std::set<std::string>
ViewsOf(const Cluster& aCluster, const std::string& aMethod)
{
  std::set<std::string> views;
  for (const auto& node : aCluster.NodeIds()) {
    for (int i = 0; i < kTargets; ++i) {
      const auto nonce = node + "-" + std::to_string(i);
      const auto outcome = aCluster.Request(
        node,
        { aMethod,
          "/pools/rota/x",
          { { "X-Nonce", nonce },
            { "X-Answer-Bytes", std::to_string(kLongAnswer) } },
          "body" });
      const auto body = json::parse(outcome.answer_.body_, nullptr, false);
      if (!outcome.Answered()) {
        views.emplace(ReadEndName(outcome.end_));
      } else if (!body.is_object()) {
        views.emplace("not JSON");
      } else if (body.contains("error")) {
        views.emplace(outcome.answer_.Header("acaciahill-outcome") + " " +
                      body["error"].get<std::string>());
      } else {
        const bool isWhole = body.value("nonce", "") == nonce &&
                             body.value("padding", "").size() == kLongAnswer;
        views.emplace(isWhole ? "whole" : "not its own");
      }
    }
  }
  return views;
}

void
ControlAll(const Cluster& aCluster, const json& aSwitches)
{
  for (int i = 1; i <= kTargets; ++i) {
    aCluster.ControlTarget(TargetName(i), aSwitches);
  }
}

/// A request to which an answer takes at most this time.
HttpRequest
NumberedRequest(const std::string& aMethod, int aNumber, Millis aDeadline)
{
  return { aMethod,
           "/pools/rota/x",
           { { "X-Nonce", std::to_string(aNumber) },
             { "Acaciahill-Deadline-Ms", std::to_string(aDeadline.count()) } },
           "body " + std::to_string(aNumber) };
}

/// What an answer says: the number of the request that it belongs to, or the
/// outcome of a reply that is no answer.
std::string
NumberOf(const HttpMessage& aAnswer)
{
  const auto outcome = aAnswer.Header("acaciahill-outcome");
  return outcome.empty() ? aAnswer.Header("x-nonce") : outcome;
}

} // namespace

// Guards against an answer that goes to another request of the same caller's
// connection: after replies that are no answers, behind an answer that comes
// too late, and to a second request sent before the first was answered.
TEST_CASE("each answer on a kept connection belongs to its own request")
{
  constexpr Millis kShort{ 300 };
  constexpr Millis kLate{ 450 };
  Cluster cluster({});
  StartSystem(cluster, "rota,100,1,0,1\n", 1, false, 5);
  const auto entry = cluster.Node("n1").callers_;
  HttpCaller caller;
  int number = 0;
  const auto ask = [&](const std::string& aMethod) {
    const auto outcome = caller.Call(
      entry, NumberedRequest(aMethod, ++number, kShort), kDeadline * 5);
    return outcome.Answered() ? NumberOf(outcome.answer_)
                              : std::string(ReadEndName(outcome.end_));
  };
  const auto askOwn = [&] {
    const auto answer = ask("POST");
    CHECK(answer == std::to_string(number));
  };
  askOwn();
  cluster.ControlTarget("vm-1", { { "refuse", 1 } });
  CHECK(ask("POST") == "not-run");
  askOwn();
  for (int i = 0; i < 3; ++i) {
    cluster.ControlTarget("vm-1", { { "late_ms", kLate.count() } });
    CHECK(ask("POST") == "unknown");
    cluster.ControlTarget("vm-1", { { "late_ms", 0 } });
    askOwn();
    // The late answer comes while the connection is idle, and then once more
    // while the next request waits for its own.
    std::this_thread::sleep_for(i == 0 ? kLate : Millis{ 0 });
    cluster.ControlTarget("vm-1", { { "delay_ms", (kShort / 2).count() } });
    askOwn();
    askOwn();
    cluster.ControlTarget("vm-1", { { "delay_ms", 0 } });
  }
  CHECK(caller.Reused() == number - 1);

  Poco::Net::StreamSocket socket{ Poco::Net::SocketAddress(entry) };
  HttpConnection connection(socket);
  for (const auto& lateMs : { 0, 100, 400 }) {
    cluster.ControlTarget("vm-1", { { "late_ms", lateMs } });
    REQUIRE(connection.Send(
      FormatRequest(entry, NumberedRequest("POST", 1, kShort), true) +
      FormatRequest(entry, NumberedRequest("POST", 2, kDeadline), true)));
    const bool isLate = lateMs > kShort.count();
    for (const auto* expected : { isLate ? "unknown" : "1", "2" }) {
      HttpMessage answer;
      REQUIRE(connection.ReadAnswer(answer, kDeadline * 5, false) ==
              ReadEnd::Whole);
      CHECK(NumberOf(answer) == expected);
    }
  }
}

// Guards against a whole chunked answer that is not passed on, and against a
// cut answer that is: what ends with the connection cannot be told whole from
// cut, so a caller must not get any answer of that kind.
TEST_CASE("answers without a stated length are whole or fail visibly")
{
  using Views = std::set<std::string>;
  Cluster cluster({});
  StartSystem(cluster, "rota,100,6,1,1\n", kTargets, false, 5);
  const json cut{ { "truncate", -1 }, { "truncate_bytes", kLongAnswer / 2 } };
  const json uncut{ { "truncate", 0 } };
  ControlAll(cluster, { { "framing", "chunked" } });
  CHECK(ViewsOf(cluster, "GET") == Views{ "whole" });
  CHECK(ViewsOf(cluster, "POST") == Views{ "whole" });
  ControlAll(cluster, cut);
  CHECK(ViewsOf(cluster, "POST").count("whole") == 0);
  CHECK(ViewsOf(cluster, "POST").count("not JSON") == 0);
  ControlAll(cluster, uncut);
  ControlAll(cluster, { { "framing", "close" } });
  for (const auto& switches : { uncut, cut }) {
    ControlAll(cluster, switches);
    const auto views = ViewsOf(cluster, "POST");
    CHECK(views.count("unknown answer_malformed") == 1);
    CHECK(views.count("whole") == 0);
    CHECK(views.count("not JSON") == 0);
  }
}

// Guards promises 3 to 5 against every way in which a connection or an answer
// can fail: short, crossed or repeated answers taken as own ones, a request
// called not run that ran, and a POST sent again after it may have run.
TEST_CASE("answers are whole and own, and nothing runs twice under faults")
{
  Cluster cluster({});
  StartSystem(
    cluster, "rota,100,3,1,1\nreceipts,100,3,1,1\n", kTargets, true, 5);
  Proxies callers;
  LoadSettings load;
  for (const auto& node : cluster.NodeIds()) {
    callers.push_back(
      std::make_unique<FaultProxy>(FreeAddress(), cluster.Node(node).callers_));
    load.entries_.push_back(callers.back()->Address());
  }
  load.pools_ = { "rota", "receipts" };
  load.rate_ = 75;
  load.duration_ = (kFaultTime + kCalmTime) * static_cast<int>(Faults().size());
  load.postPercent_ = 60;
  load.deadline_ = kDeadline;
  load.seed_ = LoadSeed();
  auto keptLoad = load;
  keptLoad.keepAlive_ = true;
  keptLoad.seed_ = load.seed_ + 1;
  HistoryRecorder recorder;
  LoadReport report;
  LoadReport kept;
  std::jthread loader([&] { report = RunLoad(load, recorder); });
  std::jthread keptLoader([&] { kept = RunLoad(keptLoad, recorder); });
  InjectFaults(cluster, callers);
  loader.join();
  keptLoader.join();

  const auto operations = recorder.Operations();
  const auto runs = cluster.TargetRuns();
  std::cout << "answers: seed " << load.seed_ << " " << ToJson(report).dump()
            << " runs " << runs.size() << "\nkept connections: seed "
            << keptLoad.seed_ << " " << ToJson(kept).dump() << '\n';
  INFO("seed " << load.seed_);
  CheckCallers(operations, runs);
  CHECK(Describe(CheckOnePool(AssignmentsOf(runs), runs)) == kNone);
  // A load that hardly reached the targets, or met no fault, would show
  // nothing.
  CHECK(report.answered_ > report.sent_ / 2);
  CHECK(report.unknown_ > 0);
  CHECK(kept.answered_ > kept.sent_ / 2);
  CHECK(kept.unknown_ > 0);
  CHECK(kept.reused_ > kept.sent_ / 2);
  // No fault leaves a lasting mark.
  for (const auto& node : cluster.NodeIds()) {
    cluster.WaitUsable(node, kTargets, kRecoveryLimit);
    for (const auto* pool : { "rota", "receipts" }) {
      cluster.Require("an answer through " + node, kRecoveryLimit, [&] {
        const auto outcome = cluster.Request(
          node, { "GET", std::string("/pools/") + pool + "/x", {}, "" });
        return outcome.Answered() && outcome.answer_.status_ == 200;
      });
    }
  }
}
