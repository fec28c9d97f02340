#include "scene.h"

// The configuration changes while a job is under way: a route is removed. The
// job was accepted on that route, and its second step has not begun.

namespace review {

namespace {

constexpr int kWorkers = 4;
constexpr std::int64_t kWatchMs = 25000;
// "for 3 s, a job has nothing running while a task's turn has come".
constexpr std::int64_t kNothingRunningMs = 3000;

json
RouteOf(const std::string& aName, const std::string& aPrefix)
{
  return { { "name", aName },        { "host", "h.example" },
           { "pathPrefix", aPrefix }, { "type", "unsafe" },
           { "timeoutMs", 3000 },     { "targetLatencyMs", 600 },
           { "priority", 0 },         { "service", "rosters" },
           { "attempts", 3 },         { "stretch", 1.6 } };
}

} // namespace

int
PlayRemovedRoute(Scene& aScene)
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
    options.labels_ = { "a", "r" + std::to_string(i) };
    workers.push_back(
      std::make_unique<Worker>(options, deployment.Control(), log));
    if (!workers.back()->IsOpen()) {
      return 2;
    }
  }
  const json services{ { { "name", "rosters" }, { "maxConnections", 64 } } };
  const json config{ { "version", 1 },
                     { "routes",
                       json::array({ RouteOf("kept", "/kept/"),
                                     RouteOf("gone", "/gone/") }) },
                     { "services", services } };
  const json changed{ { "version", 4 },
                      { "routes",
                        aScene.hasTrouble_
                          ? json::array({ RouteOf("kept", "/kept/") })
                          : json::array({ RouteOf("kept", "/kept/"),
                                          RouteOf("gone", "/gone/") }) },
                      { "services", services } };
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
  const auto jobWith = [](const char* aTaskMs) {
    return json{ { "spec", aTaskMs },
                 { "steps",
                   { { { "count", 2 },
                       { "cpu", 1000 },
                       { "memMb", 512 },
                       { "estimatedMs", 1500 } },
                     { { "count", 2 },
                       { "cpu", 1000 },
                       { "memMb", 512 },
                       { "estimatedMs", 1500 },
                       { "dependsOn", { 0 } } } } } }
      .dump();
  };
  const std::string job = "/gone/00000000000000c1";
  const std::string other = "/kept/00000000000000c2";
  if (!SendUntilTaken(
        log, deployment.Edges(), "POST", job, jobWith("1500"), 5000)) {
    return 2;
  }
  SleepMs(500);
  if (!SendUntilTaken(
        log, deployment.Control(), "PUT", "/config", changed.dump(), 5000) ||
      !SendUntilTaken(
        log, deployment.Edges(), "POST", other, jobWith("1000"), 5000)) {
    return 2;
  }
  std::string otherState;
  std::set<std::string> secondStep;
  std::int64_t idleSince = 0;
  std::int64_t longestIdle = 0;
  const auto until = NowMs() + kWatchMs;
  while (NowMs() < until && secondStep.size() < 2) {
    bool runs = false;
    for (auto& worker : workers) {
      for (const auto& task : worker->Running()) {
        const bool isOfJob = task.starts_with("00000000000000c1.");
        runs |= isOfJob;
        if (task.starts_with("00000000000000c1.0.1.")) {
          secondStep.insert(task);
        }
      }
    }
    idleSince = runs ? 0 : idleSince == 0 ? NowMs() : idleSince;
    longestIdle =
      std::max(longestIdle, idleSince == 0 ? 0 : NowMs() - idleSince);
    SleepMs(20);
  }
  otherState = StateOf(log, deployment.Edges()[0], other);
  Send(log, deployment.Edges()[0], "GET", job);
  log.Line("tasks of the job's second step that began: " +
           std::to_string(secondStep.size()) +
           "; longest time in which nothing of the job ran: " +
           std::to_string(longestIdle) + " ms; the other job is shown as '" +
           otherState + "'");
  return secondStep.size() < 2 && longestIdle > kNothingRunningMs ? 1 : 0;
}

} // namespace review
