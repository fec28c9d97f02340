#include "scene.h"

// The configuration changes while a job is under way: a route is removed. The
// job was accepted on that route, and its second step has not begun.

namespace review {

namespace {

constexpr int kWorkers = 4;
// The jobs are looked at this long after the end of the traffic (finish_s).
constexpr std::int64_t kFinishMs = 14000;
constexpr std::int64_t kWatchMs = 6000;
// "for 3 s, a job has nothing running while a task's turn has come".
constexpr std::int64_t kNothingRunningMs = 3000;
// All tasks of the case have one size; a step of the job has two.
constexpr std::int64_t kTaskCores = 1000;
constexpr std::int64_t kTaskMemoryMb = 512;
constexpr std::int64_t kStepTasks = 2;
constexpr std::int64_t kWorkerCores = 16000;
constexpr std::int64_t kWorkerMemoryMb = 32768;

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
  const auto endOfTraffic = NowMs();
  std::set<std::string> secondStep;
  const auto look = [&] {
    std::int64_t running = 0;
    bool runs = false;
    for (auto& worker : workers) {
      for (const auto& task : worker->Running()) {
        ++running;
        runs |= task.starts_with("00000000000000c1.");
        if (task.starts_with("00000000000000c1.0.1.")) {
          secondStep.insert(task);
        }
      }
    }
    return std::pair(running, runs);
  };
  while (NowMs() < endOfTraffic + kFinishMs) {
    look();
    SleepMs(20);
  }
  // The turn of the second step has come: the ends of the first were noted.
  bool hasTurn = true;
  for (int index = 0; index < kStepTasks; ++index) {
    const auto task = "00000000000000c1.0.0." + std::to_string(index);
    hasTurn &= std::any_of(
      workers.begin(), workers.end(), [&task](const auto& aWorker) {
        return aWorker->HasNotedDone(task);
      });
  }
  std::int64_t since = 0;
  std::int64_t longest = 0;
  while (NowMs() < endOfTraffic + kFinishMs + kWatchMs) {
    const auto [running, runs] = look();
    const auto cores = kWorkers * kWorkerCores;
    const auto memory = kWorkers * kWorkerMemoryMb;
    const auto usedCores = running * kTaskCores;
    const auto usedMemory = running * kTaskMemoryMb;
    const bool hasRoomTwice =
      cores - usedCores >= 2 * kStepTasks * kTaskCores &&
      memory - usedMemory >= 2 * kStepTasks * kTaskMemoryMb;
    const bool isHalfFree = 2 * usedCores < cores && 2 * usedMemory < memory;
    const bool stands = !runs && hasTurn && hasRoomTwice && isHalfFree &&
                        secondStep.size() < kStepTasks;
    since = !stands ? 0 : since == 0 ? NowMs() : since;
    longest = std::max(longest, since == 0 ? 0 : NowMs() - since);
    SleepMs(20);
  }
  const auto otherState = StateOf(log, deployment.Edges()[0], other);
  Send(log, deployment.Edges()[0], "GET", job);
  log.Line("finish_s after the traffic: tasks of the job's second step that "
           "began: " +
           std::to_string(secondStep.size()) +
           "; its turn has come: " + (hasTurn ? "yes" : "no") +
           "; longest time with room and nothing of the job running: " +
           std::to_string(longest) + " ms; the other job is shown as '" +
           otherState + "'");
  return longest > kNothingRunningMs ? 1 : 0;
}

} // namespace review
