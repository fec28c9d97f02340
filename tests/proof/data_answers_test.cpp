#include "proof/data_support.h"

#include <chrono>
#include <iostream>
#include <thread>

using namespace acaciahill;
using namespace acaciahill::testing;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr int kTargets = 6;
constexpr std::uint64_t kSeed = 101;
constexpr Millis kDeadline{ 1000 };
constexpr Millis kFaultTime{ 1200 };
constexpr Millis kCalmTime{ 400 };
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

} // namespace

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
  load.rate_ = 150;
  load.duration_ = (kFaultTime + kCalmTime) * static_cast<int>(Faults().size());
  load.postPercent_ = 60;
  load.deadline_ = kDeadline;
  load.seed_ = kSeed;
  HistoryRecorder recorder;
  LoadReport report;
  std::jthread loader([&] { report = RunLoad(load, recorder); });
  InjectFaults(cluster, callers);
  loader.join();

  const auto operations = recorder.Operations();
  const auto runs = cluster.TargetRuns();
  std::cout << "answers: seed " << kSeed << " " << ToJson(report).dump()
            << " runs " << runs.size() << '\n';
  INFO("seed " << kSeed);
  CheckCallers(operations, runs);
  CHECK(Describe(CheckOnePool(AssignmentsOf(runs), runs)) == kNone);
  // A load that hardly reached the targets, or met no fault, would show
  // nothing.
  CHECK(report.answered_ > report.sent_ / 2);
  CHECK(report.unknown_ > 0);
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
