#include "platform.h"
#include "scene.h"

// A wave of upkeep with one machine down at a time. The platform leaves one of
// the first calls without an answer and carries it out some seconds later.

namespace review {

namespace {

constexpr int kMachines = 8;
constexpr std::int64_t kDelayMs = 4000;
constexpr std::int64_t kWaveMs = 60000;

} // namespace

int
PlayLateUpkeep(Scene& aScene)
{
  auto& log = aScene.log_;
  Deployment deployment(3, 1, log, true);
  std::vector<std::string> names;
  json machines = json::array();
  for (int i = 0; i < kMachines; ++i) {
    names.push_back("m-" + std::to_string(i + 1));
    machines.push_back(names.back());
  }
  Platform platform(
    deployment.Address(Deployment::kVmApiHost),
    deployment.Control(),
    log,
    [&deployment](int aMachine, int aLife) {
      WorkerOptions options;
      options.id_ =
        "i-" + std::to_string(aMachine + 1) + "-" + std::to_string(aLife);
      // Each life has an address of its own.
      options.address_ =
        deployment.Address(50 + aMachine * 10 + aLife);
      options.service_ = "rosters";
      options.zone_ = Deployment::ZoneOf(aMachine);
      options.labels_ = { aMachine == 0 ? "b" : "a",
                          "r" + std::to_string(aMachine / 4) };
      return options;
    },
    names);
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
      !WaitUntil([&] { return platform.AllConfirmed(); }, 15000)) {
    return 2;
  }
  // A task on the first machine, the only one of its kind, and on all of the
  // others but one, which is the first to be empty.
  const auto jobOn = [](const char* aKind, int aTasks) {
    return json{ { "spec", "1500" },
                 { "steps",
                   { { { "count", aTasks },
                       { "cpu", 3000 },
                       { "memMb", 1024 },
                       { "requirements", aKind },
                       { "antiAffinity", 1 },
                       { "estimatedMs", 1500 } } } } }
      .dump();
  };
  if (!SendUntilTaken(log,
                      deployment.Edges(),
                      "POST",
                      "/q/00000000000000b1",
                      jobOn("b", 1),
                      5000) ||
      !SendUntilTaken(log,
                      deployment.Edges(),
                      "POST",
                      "/q/00000000000000b2",
                      jobOn("a", kMachines - 2),
                      5000) ||
      !WaitUntil(
        [&] { return platform.RunningTasks() == kMachines - 1; }, 1000)) {
    return 2;
  }
  platform.SetWave(1, 1);
  if (aScene.hasTrouble_) {
    platform.DelayUpkeep(1, kDelayMs);
  }
  const json wave{
    { "wave", 1 }, { "machines", machines }, { "durationS", 40 }, { "cap", 1 }
  };
  if (!SendUntilTaken(
        log, deployment.Control(), "POST", "/wave-start", wave.dump(), 5000)) {
    return 2;
  }
  WaitUntil(
    [&] {
      return platform.BeyondCap() > 0 || platform.Begun() == kMachines;
    },
    kWaveMs);
  log.Line("upkeeps begun: " + std::to_string(platform.Begun()) +
           ", beyond the cap: " + std::to_string(platform.BeyondCap()));
  if (aScene.hasTrouble_ && platform.DelayedAndCarriedOut() == 0) {
    return 2;
  }
  return platform.BeyondCap() > 0 ? 1 : 0;
}

} // namespace review
