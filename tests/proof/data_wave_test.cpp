#include "proof/data_support.h"
#include "support/vm_watcher.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <iostream>
#include <set>
#include <thread>

using namespace acaciahill;
using namespace acaciahill::testing;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr int kTargets = 8;
constexpr std::uint64_t kSeed = 401;
/// Four VMs of each pool one after another; each drain may take the routing
/// lease of 5 s and its margin, then a reboot of 1 s and a return.
constexpr Millis kWaveLimit{ 60000 };
/// One drain, with its lease and margin, and what a busy machine adds.
constexpr Millis kMoveLimit{ 30000 };
/// "After a few seconds": routing lease of 5 s and margin of 1 s.
constexpr Millis kNoNewWorkLimit{ 6000 };
constexpr Millis kDrainLimit{ 1000 };
/// A wave is held when a drain has been over its limit for 5 s (WaveLimits);
/// the rest is for the start of the wave and a command that is proposed again.
constexpr Millis kLongRequest = kDrainLimit + 5000ms + 6000ms;
/// Enough that each VM of the pool holds at least one.
constexpr int kLongRequests = 20;
/// The size of the pool after the move.
constexpr std::size_t kRotaSize = 5;
constexpr Millis kLongDeadline{ 20000 };

std::string
WavePhaseOf(const Cluster& aCluster, const std::string& aWave)
{
  const auto wave = aCluster.AdminGet("n1", "/v1/waves/" + aWave);
  return wave.is_object() ? wave.value("phase", "") : "";
}

void
WaitCompleted(const Cluster& aCluster, const std::string& aWave)
{
  aCluster.Require("wave " + aWave + " completed", kWaveLimit, [&] {
    return WavePhaseOf(aCluster, aWave) == "completed";
  });
}

/// True when the pools have these numbers of VMs and each of them is active.
bool
HasSizes(const Cluster& aCluster, std::int64_t aRota, std::int64_t aReceipts)
{
  const auto vms = aCluster.AdminGet("n1", "/v1/vms");
  const auto count = [&](const char* aPool) {
    return std::count_if(vms.begin(), vms.end(), [&](const json& aVm) {
      return aVm.value("pool", "") == aPool &&
             aVm.value("phase", "") == "active" && aVm.value("usable", false);
    });
  };
  return count("rota") == aRota && count("receipts") == aReceipts;
}

/// The load goes on while the work is done.
template<typename Work>
LoadReport
DuringLoad(Cluster& aCluster,
           HistoryRecorder& aRecorder,
           Millis aDuration,
           Work aWork)
{
  LoadSettings load;
  for (const auto& node : aCluster.NodeIds()) {
    load.entries_.push_back(aCluster.Node(node).callers_);
  }
  load.pools_ = { "rota", "receipts" };
  load.rate_ = 60;
  load.duration_ = aDuration;
  load.seed_ = kSeed;
  LoadReport report;
  std::jthread loader([&] { report = RunLoad(load, aRecorder); });
  aWork();
  loader.join();
  return report;
}

void
CheckServed(const char* aWhat, const LoadReport& aReport)
{
  std::cout << aWhat << ": seed " << kSeed << " " << ToJson(aReport).dump()
            << '\n';
  INFO(aWhat << " " << ToJson(aReport).dump());
  CHECK(aReport.answered_ == aReport.sent_);
  CHECK(aReport.late_ == 0);
}

/// Requests that stay longer at their targets than the drain limit, one or more
/// on each VM, while a wave reboots the VMs.
struct LongRequests
{
  std::vector<Operation> operations_;
  /// Stops of the wave that interrupted requests.
  std::size_t cutting_ = 0;
  std::size_t stops_ = 0;
  bool held_ = false;

  std::size_t Count(const std::string& aOutcome) const
  {
    return static_cast<std::size_t>(std::count_if(
      operations_.begin(), operations_.end(), [&](const Operation& aOperation) {
        return aOperation.outcome_ == aOutcome;
      }));
  }
};

void
SetDelay(const Cluster& aCluster, Millis aDelay)
{
  for (int i = 1; i <= kTargets; ++i) {
    aCluster.ControlTarget(TargetName(i), { { "delay_ms", aDelay.count() } });
  }
}

/// The number of VMs of a pool at which requests of this body's name run.
std::size_t
VmsWith(const Cluster& aCluster, const std::string& aName)
{
  std::set<std::string> vms;
  for (const auto& run : aCluster.TargetRuns()) {
    if (run.nonce_.rfind(aName, 0) == 0) {
      vms.insert(run.vm_);
    }
  }
  return vms.size();
}

LongRequests
RunLongRequests(Cluster& aCluster,
                HistoryRecorder& aRecorder,
                const std::string& aWave)
{
  LongRequests seen;
  // The wave before may have completed while its last VM was not usable yet.
  aCluster.Require("all VMs of both pools usable", kMoveLimit, [&] {
    return HasSizes(aCluster, kRotaSize, kTargets - kRotaSize);
  });
  for (const auto& node : aCluster.NodeIds()) {
    aCluster.WaitUsable(node, kTargets, kMoveLimit);
  }
  const auto stopsBefore = ReadStops(aCluster.PlatformJournal()).size();
  SetDelay(aCluster, kLongRequest);
  HistoryRecorder mine;
  std::atomic<int> open{ kLongRequests };
  std::vector<std::jthread> callers;
  callers.reserve(kLongRequests);
  for (int i = 0; i < kLongRequests; ++i) {
    callers.emplace_back([&, i] {
      PlannedRequest request;
      request.caller_ = "long";
      request.pool_ = "rota";
      request.method_ = "POST";
      request.body_ = aWave;
      // Entries prefer targets of their own zone, so that each zone's entry
      // takes its share.
      const auto& nodes = aCluster.NodeIds();
      const auto& node = nodes[static_cast<std::size_t>(i) % nodes.size()];
      const auto operation = SendPlanned(request,
                                         aCluster.Node(node).callers_,
                                         aWave + "-" + std::to_string(i),
                                         kLongDeadline);
      mine.Add(operation);
      aRecorder.Add(operation);
      --open;
    });
  }
  const bool onAll = WaitUntil(
    kLongRequest, [&] { return VmsWith(aCluster, aWave) == kRotaSize; });
  if (!onAll) {
    FAIL(aWave << ": long requests on " << VmsWith(aCluster, aWave)
               << " VMs only: " << aCluster.AdminGet("n1", "/v1/vms").dump());
  }
  SetDelay(aCluster, Millis{ 0 });
  RequireClient(aCluster, { "wave", "start", aWave, "--pools", "rota" });
  aCluster.Require("wave " + aWave + " completed", kWaveLimit, [&] {
    const auto phase = WavePhaseOf(aCluster, aWave);
    seen.held_ = seen.held_ || phase == "held";
    if (phase == "held" && open == 0) {
      // The operator goes on once the reason is gone.
      aCluster.RunClient({ "wave", "resume", aWave });
    }
    return phase == "completed";
  });
  callers.clear();
  seen.operations_ = mine.Operations();
  const auto stops = ReadStops(aCluster.PlatformJournal());
  seen.stops_ = stops.size() - stopsBefore;
  for (auto i = stopsBefore; i < stops.size(); ++i) {
    seen.cutting_ += stops[i].inFlight_ > 0 ? 1 : 0;
  }
  return seen;
}

void
ProveDrainLimit(Cluster& aCluster, HistoryRecorder& aRecorder)
{
  const auto limit = std::to_string(kDrainLimit.count());
  RequireClient(aCluster, { "set", "rota", "drain_limit_ms", limit, "--wait" });
  const auto waited = RunLongRequests(aCluster, aRecorder, "limit-wait");
  CHECK(waited.Count("answered") == kLongRequests);
  CHECK(waited.cutting_ == 0);
  CHECK(waited.held_);
  CHECK(waited.stops_ == kRotaSize);

  RequireClient(aCluster, { "set", "rota", "drain_action", "stop", "--wait" });
  const auto stopped = RunLongRequests(aCluster, aRecorder, "limit-stop");
  CHECK(stopped.Count("unknown") > 0);
  CHECK(stopped.cutting_ > 0);
  CHECK(stopped.stops_ == kRotaSize);
  std::cout << "drain limit: wait: answered " << waited.Count("answered")
            << " cutting stops " << waited.cutting_
            << (waited.held_ ? ", held" : ", not held") << "; stop: answered "
            << stopped.Count("answered") << " unknown "
            << stopped.Count("unknown") << " cutting stops " << stopped.cutting_
            << '\n';
}

} // namespace

// Guards promises 1, 2, 6 and 7 in planned work under load: a wave or a move
// that fails a request, stops more VMs than the budget allows or cuts off a
// request, and a drain limit that does not do what the table says.
TEST_CASE("a wave and a move under load fail no request")
{
  Cluster cluster({});
  StartSystem(
    cluster, "rota,100,4,2,1\nreceipts,100,4,2,1\n", kTargets, false, 20);
  HistoryRecorder recorder;
  VmWatcher watcher(cluster, "n1");
  const auto wave = DuringLoad(cluster, recorder, 20s, [&] {
    RequireClient(cluster, { "wave", "start", "w1", "--wait" });
    WaitCompleted(cluster, "w1");
  });
  CheckServed("wave", wave);
  const auto moves = DuringLoad(cluster, recorder, 12s, [&] {
    RequireClient(cluster, { "set", "receipts", "size", "3", "--wait" });
    RequireClient(cluster, { "set", "rota", "size", "5", "--wait" });
    cluster.Require(
      "a move", kMoveLimit, [&] { return HasSizes(cluster, 5, 3); });
  });
  CheckServed("move", moves);
  watcher.Stop();
  const auto plannedRuns = cluster.TargetRuns();
  const auto stops = ReadStops(cluster.PlatformJournal());
  CHECK(stops.size() == kTargets);
  CHECK(Describe(CheckGracefulStops(stops, plannedRuns)) == kNone);
  CHECK(Describe(CheckBudgets(
          PeriodsOf(watcher),
          { { "rota", 4, 2, 1 }, { "receipts", 4, 2, 1 } })) == kNone);
  CHECK(Describe(CheckNoNewWork(
          plannedRuns, watcher.Drains(), kNoNewWorkLimit)) == kNone);
  CHECK(Describe(CheckOnePool(
          watcher.Seen(), plannedRuns, recorder.Operations())) == kNone);

  ProveDrainLimit(cluster, recorder);
  CheckCallers(recorder.Operations(), cluster.TargetRuns());
}
