// Measures the path from callers to targets through one entry process:
//   bench_path RUN FOLDER
// Appends to FOLDER/path.csv and FOLDER/connections.csv.
#include "bench_func.h"
#include "node_meter.h"
#include "target_crowd.h"

#include "support/cluster_fixture.h"

#include <Poco/Net/SocketAddress.h>

#include <iostream>
#include <thread>

using namespace acaciahill;
using namespace acaciahill::testing;
using namespace acaciahill::bench;
using nlohmann::json;

namespace {

constexpr Millis kReadyLimit{ 30000 };
constexpr Millis kCallTimeout{ 5000 };
constexpr std::size_t kTargets = 8;
constexpr int kRounds = 10;
constexpr int kCallsPerRound = 200;
constexpr int kCallers = 8;
constexpr double kLoadSeconds = 6;
constexpr double kBytesPerKb = 1024;

/// A caller with one kept connection.
class Caller
{
public:
  explicit Caller(const std::string& aAddress)
    : socket_(Poco::Net::SocketAddress(aAddress))
    , connection_(socket_)
  {
    socket_.setNoDelay(true);
  }

  void Send(const std::string& aPath)
  {
    connection_.Send("GET " + aPath + " HTTP/1.1\r\nHost: x\r\n\r\n");
  }

  bool Receive()
  {
    HttpMessage answer;
    return connection_.ReadAnswer(answer, kCallTimeout, false) ==
             ReadEnd::Whole &&
           answer.status_ == 200;
  }

  /// Time of one call in ms; negative when it failed.
  double Call(const std::string& aPath)
  {
    const auto begin = MonotonicNs();
    Send(aPath);
    return Receive() ? static_cast<double>(MonotonicNs() - begin) / 1e6 : -1;
  }

private:
  Poco::Net::StreamSocket socket_;
  HttpConnection connection_;
};

class PathBench
{
public:
  PathBench(int aRun, std::string aFolder)
    : run_(aRun)
    , folder_(std::move(aFolder))
    , cluster_([] {
      ClusterSettings settings;
      settings.nodes_ = 3;
      settings.zones_ = 1;
      settings.platform_ = false;
      settings.name_ = "bench";
      return settings;
    }())
  {
    cluster_.StartAll();
    cluster_.WaitReady(kReadyLimit);
    const json row{ { "pool", "p1" },         { "weight", 100 },
                    { "size", kTargets },     { "min_available", 1 },
                    { "caller_limit", 1000 }, { "queue_limit", 1000 },
                    { "max_unavailable", 2 }, { "deadline_ms", 10000 } };
    cluster_.Require("table applied", kReadyLimit, [&] {
      const auto outcome = cluster_.AdminPost("n1",
                                              "/v1/commands",
                                              { { "request_id", "table" },
                                                { "type", "apply_table" },
                                                { "rows", { row } },
                                                { "if_version", 0 } });
      return outcome.Answered() && outcome.answer_.status_ == 200;
    });
    CrowdSettings crowd;
    for (const auto& id : cluster_.NodeIds()) {
      crowd.announce_["z1"].push_back(cluster_.Node(id).announce_);
    }
    crowd_ = std::make_unique<TargetCrowd>(std::move(crowd));
    crowd_->GrowTo(kTargets);
    cluster_.WaitUsable(Entry(), kTargets, kReadyLimit);
    std::this_thread::sleep_for(Millis(3000));
  }

  void MeasureLatency();
  void MeasureConnections();

private:
  /// A node that is not the leader.
  std::string Entry() const { return cluster_.Leader() == "n2" ? "n3" : "n2"; }

  int run_;
  std::string folder_;
  Cluster cluster_;
  std::unique_ptr<TargetCrowd> crowd_;
};

void
PathBench::MeasureLatency()
{
  auto& node = cluster_.Node(Entry());
  Caller direct(crowd_->Address(0));
  Caller through(node.callers_);
  std::vector<double> directMs;
  std::vector<double> throughMs;
  int failed = 0;
  const auto take = [&](std::vector<double>& aTimes, double aMs) {
    if (aMs < 0) {
      ++failed;
    } else {
      aTimes.push_back(aMs);
    }
  };
  // In turns, so that a disturbance of the machine meets both.
  for (int round = 0; round < kRounds; ++round) {
    for (int i = 0; i < kCallsPerRound; ++i) {
      take(directMs, direct.Call("/pools/p1/x"));
    }
    for (int i = 0; i < kCallsPerRound; ++i) {
      take(throughMs, through.Call("/pools/p1/x"));
    }
  }
  const auto pid = node.process_->Pid();
  const auto cpuBefore = ProcessCpuSeconds(pid);
  const auto beginNs = MonotonicNs();
  std::atomic<std::int64_t> answered{ 0 };
  std::vector<std::thread> threads;
  threads.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    threads.emplace_back([&] {
      Caller caller(node.callers_);
      while (static_cast<double>(MonotonicNs() - beginNs) <
             kLoadSeconds * 1e9) {
        answered += caller.Call("/pools/p1/x") >= 0 ? 1 : 0;
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  const auto cpu = ProcessCpuSeconds(pid) - cpuBefore;
  const auto count = static_cast<double>(answered.load());
  CsvFile(folder_ + "/path.csv",
          "run,calls,failed,direct_p50_ms,direct_p99_ms,through_p50_ms,"
          "through_p99_ms,added_p50_ms,added_p99_ms,load_callers,load_answered,"
          "load_per_s,entry_cpu_us_per_request,requests_per_s_and_core,load1")
    .Line(run_,
          throughMs.size(),
          failed,
          Quantile(directMs, 0.5),
          Quantile(directMs, 0.99),
          Quantile(throughMs, 0.5),
          Quantile(throughMs, 0.99),
          Quantile(throughMs, 0.5) - Quantile(directMs, 0.5),
          Quantile(throughMs, 0.99) - Quantile(directMs, 0.99),
          kCallers,
          answered.load(),
          count / kLoadSeconds,
          cpu / count * 1e6,
          count / cpu,
          LoadAverage());
}

void
PathBench::MeasureConnections()
{
  auto& node = cluster_.Node(Entry());
  const auto pid = node.process_->Pid();
  CsvFile file(folder_ + "/connections.csv",
               "run,kind,connections,resident_kb,failed,load1");
  const auto line =
    [&](const std::string& aKind, std::size_t aCount, int aBad) {
      file.Line(run_,
                aKind,
                aCount,
                static_cast<double>(ProcessResidentBytes(pid)) / kBytesPerKb,
                aBad,
                LoadAverage());
    };
  std::vector<std::unique_ptr<Caller>> callers;
  line("idle", 0, 0);
  for (const std::size_t count : { 50, 100, 200, 400 }) {
    int failed = 0;
    while (callers.size() < count) {
      callers.push_back(std::make_unique<Caller>(node.callers_));
      failed += callers.back()->Call("/pools/p1/x") < 0 ? 1 : 0;
    }
    line("idle", count, failed);
  }
  // The same connections with a request in flight or queued on each.
  for (const std::size_t count : { 10, 20, 40, 64 }) {
    int failed = 0;
    for (std::size_t i = 0; i < count; ++i) {
      callers[i]->Send("/pools/p1/slow");
    }
    std::this_thread::sleep_for(kSlowTime / 2);
    line("active of 400", count, 0);
    for (std::size_t i = 0; i < count; ++i) {
      failed += callers[i]->Receive() ? 0 : 1;
    }
    if (failed > 0) {
      std::cerr << failed << " slow calls failed\n";
    }
  }
}

} // namespace

int
main(int aCount, char** aWords)
{
  if (aCount < 3) {
    std::cerr << "usage: bench_path RUN FOLDER\n";
    return 2;
  }
  try {
    PathBench bench(std::stoi(aWords[1]), aWords[2]);
    bench.MeasureLatency();
    bench.MeasureConnections();
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 1;
  }
  return 0;
}
