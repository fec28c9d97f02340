// Measures real acaciahilld processes on the loopback:
//   bench_cluster CASE RUN FOLDER [WINDOW_S]
// CASE is one of targets, nodes, voters, changes, claims, tasks, restart. The
// lines are appended to FOLDER/cost.csv, FOLDER/latency.csv and
// FOLDER/restart.csv.
#include "bench_func.h"
#include "node_meter.h"
#include "target_crowd.h"

#include "support/cluster_fixture.h"

#include <atomic>
#include <cstdio>
#include <filesystem>
#include <functional>
#include <iostream>
#include <thread>

using namespace acaciahill;
using namespace acaciahill::testing;
using namespace acaciahill::bench;
using nlohmann::json;

namespace {

constexpr Millis kReadyLimit{ 30000 };
constexpr Millis kAssignedLimit{ 90000 };
constexpr Millis kSettle{ 6000 };
constexpr std::uint64_t kNsPerMs = 1000000;
/// IPv4 and TCP header with time stamps, without Ethernet: an estimate.
constexpr double kHeaderBytes = 52;
/// Segments of one announcement with a connection of its own: 3 to open, 4 with
/// data or their acknowledgement, 4 to close. An estimate.
constexpr double kAnnounceSegments = 11;
constexpr int kTodayNodes = 8;
constexpr std::size_t kTodayTargets = 51;

const char* const kCostHeader =
  "case,run,nodes,voters,targets,changes_per_min,claims_per_s,tasks_per_vm,"
  "node,role,window_s,cpu_percent,resident_mb,peer_bytes_per_s,"
  "peer_header_bytes_per_s_estimate,peer_segments_per_s,announce_per_s,"
  "announce_bytes_per_s,announce_header_bytes_per_s_estimate,load1";
const char* const kLatencyHeader =
  "case,run,nodes,voters,targets,changes,commit_p50_ms,commit_p99_ms,"
  "in_force_p50_ms,in_force_p99_ms,in_force_max_ms,load1";
const char* const kRestartHeader =
  "run,entries,data_bytes,ready_ms,cpu_ms,load1";

struct Load
{
  double changesPerMinute_ = 0;
  double claimsPerSecond_ = 0;
  int tasksPerVm_ = 0;
};

struct Context
{
  std::string case_;
  int run_ = 1;
  std::string folder_;
  int windowSeconds_ = 10;
};

void
Sleep(Millis aTime)
{
  std::this_thread::sleep_for(aTime);
}

double
MsSince(std::uint64_t aNs)
{
  return static_cast<double>(MonotonicNs() - aNs) /
         static_cast<double>(kNsPerMs);
}

std::uint16_t
PortOf(const std::string& aAddress)
{
  return static_cast<std::uint16_t>(
    std::stoul(aAddress.substr(aAddress.rfind(':') + 1)));
}

/// A cluster with a crowd of targets in five pools.
class Bench
{
public:
  Bench(Context aContext, int aNodes, int aVoters)
    : context_(std::move(aContext))
    , nodes_(aNodes)
    , voters_(aVoters)
    , cluster_(SettingsOf(aNodes, aVoters))
  {
    cluster_.StartAll();
    cluster_.WaitReady(kReadyLimit);
    ApplyTable();
    CrowdSettings crowd;
    crowd.seed_ = static_cast<std::uint64_t>(context_.run_);
    for (const auto& id : cluster_.NodeIds()) {
      const auto& node = cluster_.Node(id);
      crowd.announce_[node.zone_].push_back(node.announce_);
    }
    crowd_ = std::make_unique<TargetCrowd>(std::move(crowd));
  }

  void Grow(std::size_t aTargets)
  {
    targets_ = aTargets;
    crowd_->GrowTo(aTargets);
    cluster_.Require("targets assigned", kAssignedLimit, [&] {
      return crowd_->Assigned() == aTargets;
    });
    // Targets announce fast for 10 s after a change of their assignment.
    if (aTargets > 0) {
      Sleep(Millis(12000));
    }
  }

  void Settle() { Sleep(kSettle); }
  void MeasureCost(const Load& aLoad);
  void MeasureLatency(int aChanges);
  /// Adds five jobs with this many tasks for each VM in all.
  void PutJobs(int aStep, int aTasksPerVm);
  Cluster& Processes() { return cluster_; }

  /// Sends one change through the leader; returns its table version, or
  /// nothing.
  std::optional<std::uint64_t> Change(const std::string& aNode);

private:
  static ClusterSettings SettingsOf(int aNodes, int aVoters)
  {
    ClusterSettings settings;
    settings.nodes_ = aNodes;
    settings.voters_ = aVoters;
    settings.platform_ = false;
    settings.name_ = "bench";
    return settings;
  }

  void ApplyTable();
  void SendChanges(double aPerMinute, const std::atomic<bool>& aStop);
  void SendClaims(double aPerSecond, const std::atomic<bool>& aStop);
  std::string LeaderOrFirst()
  {
    const auto leader = cluster_.Leader();
    return leader.empty() ? "n1" : leader;
  }

  Context context_;
  int nodes_;
  int voters_;
  Cluster cluster_;
  std::size_t targets_ = 0;
  std::uint64_t version_ = 0;
  std::uint64_t changes_ = 0;
  std::uint64_t claims_ = 0;
  std::unique_ptr<TargetCrowd> crowd_;
};

void
Bench::ApplyTable()
{
  auto rows = json::array();
  for (int i = 1; i <= 5; ++i) {
    rows.push_back({ { "pool", "p" + std::to_string(i) },
                     { "weight", 100 },
                     { "size", 80 },
                     { "min_available", 1 },
                     { "max_unavailable", 2 } });
  }
  cluster_.Require("table applied", kReadyLimit, [&] {
    const auto outcome = cluster_.AdminPost(LeaderOrFirst(),
                                            "/v1/commands",
                                            { { "request_id", "table" },
                                              { "type", "apply_table" },
                                              { "rows", rows },
                                              { "if_version", 0 } });
    if (!outcome.Answered() || outcome.answer_.status_ != 200) {
      std::cerr << outcome.answer_.body_ << '\n';
      return false;
    }
    version_ = json::parse(outcome.answer_.body_).value("table_version", 1ULL);
    return true;
  });
}

std::optional<std::uint64_t>
Bench::Change(const std::string& aNode)
{
  ++changes_;
  const auto outcome =
    cluster_.AdminPost(aNode,
                       "/v1/commands",
                       { { "request_id", "c" + std::to_string(changes_) },
                         { "type", "set_cell" },
                         { "pool", "p1" },
                         { "column", "weight" },
                         { "value", std::to_string(100 + changes_ % 50) },
                         { "if_version", version_ } });
  if (!outcome.Answered() || outcome.answer_.status_ != 200) {
    const auto table = cluster_.AdminGet(aNode, "/v1/table");
    if (table.is_object()) {
      version_ = table.value("version", version_);
    }
    return std::nullopt;
  }
  version_ = json::parse(outcome.answer_.body_).value("table_version", 0ULL);
  return version_;
}

void
Bench::SendChanges(double aPerMinute, const std::atomic<bool>& aStop)
{
  const Millis pause(static_cast<std::int64_t>(60000 / aPerMinute));
  const auto leader = LeaderOrFirst();
  auto next = std::chrono::steady_clock::now();
  while (!aStop) {
    Change(leader);
    next += pause;
    std::this_thread::sleep_until(next);
  }
}

void
Bench::SendClaims(double aPerSecond, const std::atomic<bool>& aStop)
{
  const auto pause = std::chrono::duration<double>(1 / aPerSecond);
  const auto start = std::chrono::steady_clock::now();
  int sent = 0;
  while (!aStop) {
    const auto node =
      "n" + std::to_string(1 + claims_ % static_cast<unsigned>(nodes_));
    const auto key = "key-" + std::to_string(++claims_);
    const auto outcome = cluster_.Request(
      node,
      { "POST",
        "/pools/p1/gift",
        { { "Idempotency-Key", key }, { "Acaciahill-Caller", "c1" } },
        "body" });
    if (!outcome.Answered() || outcome.answer_.status_ != 200) {
      std::cerr << "claim: " << outcome.answer_.status_ << ' '
                << outcome.answer_.body_ << '\n';
    }
    ++sent;
    std::this_thread::sleep_until(
      start + std::chrono::duration_cast<std::chrono::nanoseconds>(
                pause * static_cast<double>(sent)));
  }
}

void
Bench::MeasureCost(const Load& aLoad)
{
  std::set<std::uint16_t> ports;
  std::set<pid_t> pids;
  for (const auto& id : cluster_.NodeIds()) {
    ports.insert(PortOf(cluster_.Node(id).peers_));
    pids.insert(cluster_.Node(id).process_->Pid());
  }
  std::atomic<bool> stop{ false };
  std::vector<std::thread> senders;
  if (aLoad.changesPerMinute_ > 0) {
    senders.emplace_back([&] { SendChanges(aLoad.changesPerMinute_, stop); });
  }
  if (aLoad.claimsPerSecond_ > 0) {
    senders.emplace_back([&] { SendClaims(aLoad.claimsPerSecond_, stop); });
  }
  const auto leader = LeaderOrFirst();
  NodeMeter meter(ports);
  const auto begin = meter.Read(pids);
  const auto announcedBegin = crowd_->Totals();
  const auto claimsBegin = claims_;
  const auto changesBegin = changes_;
  const auto beginNs = MonotonicNs();
  Sleep(Millis(context_.windowSeconds_ * 1000));
  auto end = meter.Read(pids);
  auto announcedEnd = crowd_->Totals();
  const double seconds = MsSince(beginNs) / 1000;
  const auto claims = static_cast<double>(claims_ - claimsBegin) / seconds;
  const auto changes =
    static_cast<double>(changes_ - changesBegin) / seconds * 60;
  stop = true;
  for (auto& sender : senders) {
    sender.join();
  }
  const bool sameLeader = LeaderOrFirst() == leader;
  const auto targets = std::max<double>(1, static_cast<double>(targets_));
  const auto tasks = static_cast<double>(crowd_->Tasks()) / targets;
  CsvFile file(context_.folder_ + "/cost.csv", kCostHeader);
  for (const auto& id : cluster_.NodeIds()) {
    const auto& node = cluster_.Node(id);
    const auto pid = node.process_->Pid();
    const auto& before = begin.at(pid);
    const auto& after = end[pid];
    const auto heardBefore = announcedBegin.find(node.announce_);
    const auto heard = announcedEnd[node.announce_];
    const auto known = heardBefore == announcedBegin.end()
                         ? AnnounceTotals{}
                         : heardBefore->second;
    const auto bytes =
      static_cast<double>(after.sentBytes_ + after.receivedBytes_ -
                          before.sentBytes_ - before.receivedBytes_) /
      seconds;
    const auto segments =
      static_cast<double>(after.segments_ - before.segments_) / seconds;
    const auto announced =
      static_cast<double>(heard.count_ - known.count_) / seconds;
    std::string role = node.voter_ ? "voter" : "entry";
    if (id == leader) {
      role = sameLeader ? "leader" : "changed";
    }
    file.Line(context_.case_,
              context_.run_,
              nodes_,
              voters_,
              targets_,
              changes,
              claims,
              tasks,
              id,
              role,
              seconds,
              (after.cpuSeconds_ - before.cpuSeconds_) / seconds * 100,
              static_cast<double>(after.residentBytes_) / (1024 * 1024),
              bytes,
              segments * kHeaderBytes,
              segments,
              announced,
              static_cast<double>(heard.bytes_ - known.bytes_) / seconds,
              announced * kAnnounceSegments * kHeaderBytes,
              LoadAverage());
  }
}

void
Bench::MeasureLatency(int aChanges)
{
  std::vector<double> commits;
  std::vector<double> inForce;
  for (int i = 0; i < aChanges; ++i) {
    const auto wanted = version_ + 1;
    const auto beginNs = MonotonicNs();
    std::vector<double> reached(cluster_.NodeIds().size(), 0);
    std::vector<std::thread> watchers;
    for (std::size_t n = 0; n < reached.size(); ++n) {
      watchers.emplace_back([&, n] {
        const auto& id = cluster_.NodeIds()[n];
        while (MsSince(beginNs) < 10000) {
          const auto table = cluster_.AdminGet(id, "/v1/table");
          if (table.is_object() && table.value("version", 0ULL) >= wanted) {
            reached[n] = MsSince(beginNs);
            return;
          }
          Sleep(Millis(2));
        }
        reached[n] = 10000;
      });
    }
    const auto changed = Change(LeaderOrFirst());
    const auto took = MsSince(beginNs);
    for (auto& watcher : watchers) {
      watcher.join();
    }
    if (changed) {
      commits.push_back(took);
      inForce.push_back(*std::max_element(reached.begin(), reached.end()));
    }
    Sleep(Millis(50));
  }
  CsvFile(context_.folder_ + "/latency.csv", kLatencyHeader)
    .Line(context_.case_,
          context_.run_,
          nodes_,
          voters_,
          targets_,
          commits.size(),
          Quantile(commits, 0.5),
          Quantile(commits, 0.99),
          Quantile(inForce, 0.5),
          Quantile(inForce, 0.99),
          Quantile(inForce, 1),
          LoadAverage());
}

void
Bench::PutJobs(int aStep, int aTasksPerVm)
{
  // Five pools of about equal size; each task takes one slot.
  const auto perPool = static_cast<std::int64_t>(targets_) * aTasksPerVm / 5;
  for (int i = 1; i <= 5; ++i) {
    const auto name = "j" + std::to_string(i) + "-" + std::to_string(aStep);
    const json job{ { "id", name },      { "pool", "p" + std::to_string(i) },
                    { "team", "t1" },    { "tasks", perPool },
                    { "slots", 1 },      { "milli_cores", 1000 },
                    { "urgent", false }, { "memory_mb", 1024 } };
    const auto outcome = cluster_.AdminPost(
      LeaderOrFirst(),
      "/v1/commands",
      { { "request_id", name }, { "type", "put_job" }, { "job", job } });
    if (!outcome.Answered() || outcome.answer_.status_ != 200) {
      std::cerr << "job: " << outcome.answer_.body_ << '\n';
    }
  }
}

void
MeasureTargets(const Context& aContext)
{
  Bench bench(aContext, kTodayNodes, 3);
  bench.Settle();
  for (const std::size_t targets : { 0, 50, 100, 200, 400 }) {
    bench.Grow(targets);
    bench.MeasureCost({});
  }
}

void
MeasureNodes(const Context& aContext)
{
  for (const int nodes : { 3, 5, 8, 12 }) {
    Bench bench(aContext, nodes, 3);
    bench.Grow(kTodayTargets);
    bench.MeasureCost({});
    bench.MeasureLatency(40);
  }
}

void
MeasureVoters(const Context& aContext)
{
  for (const int voters : { 1, 3, 5 }) {
    Bench bench(aContext, 5, voters);
    bench.Settle();
    bench.MeasureLatency(100);
    bench.MeasureCost({});
  }
}

void
MeasureChanges(const Context& aContext)
{
  Bench bench(aContext, kTodayNodes, 3);
  bench.Grow(kTodayTargets);
  for (const double rate : { 0.0, 30.0, 120.0, 300.0 }) {
    bench.MeasureCost({ rate, 0, 0 });
  }
}

void
MeasureClaims(const Context& aContext)
{
  Bench bench(aContext, kTodayNodes, 3);
  bench.Grow(kTodayTargets);
  for (const double rate : { 0.0, 5.0, 10.0, 20.0 }) {
    bench.MeasureCost({ 0, rate, 0 });
  }
}

void
MeasureTasks(const Context& aContext)
{
  Bench bench(aContext, kTodayNodes, 3);
  bench.Grow(kTodayTargets);
  bench.MeasureCost({});
  for (const int tasks : { 1, 2, 4 }) {
    // Each step adds to the tasks of the steps before.
    bench.PutJobs(tasks, tasks == 1 ? 1 : tasks / 2);
    Sleep(Millis(15000));
    bench.MeasureCost({ 0, 0, tasks });
  }
}

/// Restarts the one voter of a cluster after so many changes.
void
MeasureRestart(const Context& aContext)
{
  Bench bench(aContext, 1, 1);
  auto& node = bench.Processes().Node("n1");
  int sent = 0;
  for (const int entries : { 100, 500, 1000, 2000, 4000 }) {
    for (; sent < entries; ++sent) {
      bench.Change("n1");
    }
    node.process_->Kill();
    std::uintmax_t bytes = 0;
    for (const auto& item : std::filesystem::recursive_directory_iterator(
           node.folder_ + "/data")) {
      bytes += item.is_regular_file() ? item.file_size() : 0;
    }
    const auto beginNs = MonotonicNs();
    bench.Processes().StartNode("n1");
    bench.Processes().WaitReady(kReadyLimit);
    const auto ready = MsSince(beginNs);
    const auto cpu = ProcessCpuSeconds(node.process_->Pid()) * 1000;
    CsvFile(aContext.folder_ + "/restart.csv", kRestartHeader)
      .Line(aContext.run_, entries, bytes, ready, cpu, LoadAverage());
  }
}

} // namespace

int
main(int aCount, char** aWords)
{
  const std::map<std::string, std::function<void(const Context&)>> cases{
    { "targets", MeasureTargets }, { "nodes", MeasureNodes },
    { "voters", MeasureVoters },   { "changes", MeasureChanges },
    { "claims", MeasureClaims },   { "tasks", MeasureTasks },
    { "restart", MeasureRestart },
  };
  if (aCount < 4 || !cases.contains(aWords[1])) {
    std::cerr << "usage: bench_cluster CASE RUN FOLDER [WINDOW_S]\n";
    return 2;
  }
  try {
    Context context{ aWords[1], std::stoi(aWords[2]), aWords[3], 10 };
    if (aCount > 4) {
      context.windowSeconds_ = std::stoi(aWords[4]);
    }
    cases.at(context.case_)(context);
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 1;
  }
  return 0;
}
