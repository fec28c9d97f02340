#include "scene.h"

// A job whose last step is a gang of one task runs on the only worker with the
// label that it requires. The worker is cut off and runs on; the task ends
// "done" meanwhile, the leader closes the run when the lease is over, and the
// worker then returns and lists the end.

namespace review {

namespace {

// The site file cuts off at most 17 in 100 workers, for 5.5 s: one of six.
constexpr int kWorkers = 6;
constexpr std::int64_t kCutMs = 5300;
// A process that ends during a disruption on its links, or within a second of
// it, is excused.
constexpr std::int64_t kExcusedMs = 1000;
// A task ends this long after its start, that is during the cut.
constexpr const char* kTaskMs = "2500";
constexpr std::int64_t kWatchMs = 30000;

} // namespace

int
PlayLateEndOfGang(Scene& aScene)
{
  auto& log = aScene.log_;
  Deployment deployment(3, 1, log);
  std::vector<std::unique_ptr<Worker>> workers;
  for (int i = 0; i < kWorkers; ++i) {
    WorkerOptions options;
    options.id_ = "i-" + std::to_string(i);
    options.address_ = deployment.Address(100 + i);
    options.service_ = "rosters";
    options.zone_ = Deployment::ZoneOf(i);
    options.labels_ = { i == 0 ? "b" : "a", "r" + std::to_string(i / 2) };
    workers.push_back(
      std::make_unique<Worker>(options, deployment.Control(), log));
    if (!workers.back()->IsOpen()) {
      return 2;
    }
  }
  const json config{
    { "version", 1 },
    { "routes",
      { { { "name", "q" },
          { "host", "h.example" },
          { "pathPrefix", "/q/" },
          { "type", "unsafe" },
          { "timeoutMs", 3000 },
          { "targetLatencyMs", 600 },
          { "priority", 0 },
          { "service", "rosters" },
          { "attempts", 3 },
          { "stretch", 1.6 } } } },
    { "services", { { { "name", "rosters" }, { "maxConnections", 64 } } } }
  };
  if (!SendUntilTaken(
        log, deployment.Control(), "PUT", "/config", config.dump(), 20000) ||
      !WaitUntil(
        [&] {
          return std::all_of(
            workers.begin(), workers.end(), [](const auto& aWorker) {
              return aWorker->Renewals() > 2;
            });
        },
        15000)) {
    return 2;
  }
  const auto& edge = deployment.Edges()[0];
  const std::string gang = "/q/00000000000000a1";
  const std::string other = "/q/00000000000000a2";
  const json gangJob{ { "spec", kTaskMs },
                      { "steps",
                        { { { "count", 1 },
                            { "cpu", 1000 },
                            { "memMb", 512 },
                            { "estimatedMs", 2500 },
                            { "gang", true },
                            { "requirements", "b" } } } } };
  const json otherJob{ { "spec", "1000" },
                       { "steps",
                         { { { "count", 2 },
                             { "cpu", 1000 },
                             { "memMb", 512 },
                             { "estimatedMs", 1000 } } } } };
  if (!SendUntilTaken(
        log, deployment.Edges(), "POST", gang, gangJob.dump(), 5000) ||
      !WaitUntil([&] { return !workers[0]->Running().empty(); }, 5000)) {
    return 2;
  }
  SleepMs(700);
  if (aScene.hasTrouble_) {
    workers[0]->Cut();
    SleepMs(kCutMs);
    workers[0]->Join();
  }
  const auto countedFrom = NowMs() + kExcusedMs;
  // A client hands in another job, and asks for both.
  bool isOtherTaken = false;
  std::string gangState;
  std::string otherState;
  const auto until = NowMs() + kWatchMs;
  while (NowMs() < until &&
         (gangState != "completed" || otherState != "completed")) {
    if (!isOtherTaken) {
      const auto answer = Send(log, edge, "POST", other, otherJob.dump());
      isOtherTaken = answer && answer->status_ == 200;
    }
    gangState = StateOf(log, edge, gang);
    otherState = isOtherTaken ? StateOf(log, edge, other) : "";
    SleepMs(500);
  }
  const auto ends = deployment.OwnEndsOfCores(countedFrom);
  int machines = 0;
  for (std::size_t i = 0; i < ends.size(); ++i) {
    log.Line("processes of core-" + std::to_string(i + 1) +
             " that ended by themselves later than 1 s after the cut: " +
             std::to_string(ends[i]));
    machines += ends[i] >= 3 ? 1 : 0;
  }
  log.Line("the job that was accepted is shown as '" + gangState +
           "', the one handed in later as '" + otherState + "'");
  // Half of the core, three times on each of these machines.
  return 2 * machines >= static_cast<int>(ends.size()) ? 1 : 0;
}

} // namespace review
