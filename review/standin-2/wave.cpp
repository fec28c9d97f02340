// A wave of upkeep runs while one reading of the list of machines has an entry
// that cannot be used. The machine of that entry counts as gone, and the wave
// is said to be completed although the machine stays and never had its upkeep.

#include "checks.h"
#include "cloud.h"

using namespace review;

int
main(int, char** aArguments)
{
  const bool hasTrouble = std::string(aArguments[1]) != "0";
  Record record(aArguments[2]);
  Farm farm(record);
  Deployment deployment(record, 3, 2);
  Cloud cloud(record, deployment.cloud_);
  std::map<std::string, std::unique_ptr<Worker>> workers;
  cloud.onUpkeep_ = [&](const std::string& aMachine, bool aIsDown) {
    auto& worker = *workers.at(aMachine);
    record.Add("machine " + aMachine +
               (aIsDown ? " goes down for upkeep" : " is back"));
    if (aIsDown) {
      worker.Crash();
    } else {
      worker.Start();
    }
  };
  if (!cloud.Open() || !deployment.StartAll()) {
    return 2;
  }
  const json config{
    { "version", 1 },
    { "routes",
      { { { "name", "q" },
          { "host", "h" },
          { "pathPrefix", "/q/" },
          { "service", "p" },
          { "timeoutMs", 3000 },
          { "targetLatencyMs", 600 },
          { "attempts", 3 },
          { "stretch", 1.6 } } } },
    { "services", { { { "name", "p" }, { "enforceCapacity", false } } } }
  };
  if (!deployment.SendConfig(config)) {
    return 2;
  }
  constexpr int kWorkers = 6;
  for (int i = 0; i < kWorkers; ++i) {
    const auto machine = "m-0000" + std::to_string(i + 1);
    auto& worker = workers[machine];
    worker = std::make_unique<Worker>(
      farm,
      WorkerOptions{ "i-0000" + std::to_string(i + 1),
                     machine,
                     deployment.Address(120 + i, 8080),
                     "p",
                     Deployment::Zone(i),
                     "r1-" + std::to_string(i / 3),
                     deployment.Controls() });
    cloud.Add(
      { machine, "p", "up", Deployment::Zone(i), worker->Options().id_ });
  }
  for (auto& [machine, worker] : workers) {
    if (!worker->Start()) {
      return 2;
    }
  }
  SleepMs(3000);

  const std::vector<std::string> machines{ "m-00001", "m-00002", "m-00003" };
  const auto control = deployment.Controls().front();
  const json wave{ { "wave", 1 },
                   { "machines", machines },
                   { "durationS", 40 },
                   { "cap", 1 } };
  const auto started =
    Call(control, "POST", "/wave-start", control, wave.dump(), 2000);
  record.Add("operator POST /wave-start " + wave.dump() + " -> " +
             std::to_string(started ? started->status_ : 0));
  if (!started || started->status_ != 200) {
    return 2;
  }
  // The entry of the last machine cannot be used in one reading.
  cloud.oddMachine_ = "m-00003";
  const int before = cloud.readings_;
  if (hasTrouble) {
    record.Add("TROUBLE the entry of m-00003 comes from another writer in the "
               "next reading");
    cloud.oddReadings_ = 1;
  }
  std::string state;
  std::vector<std::string> missing;
  for (const auto until = NowMs() + 70000; NowMs() < until;) {
    const auto answer =
      Call(control, "GET", "/wave-get/1", control, "", 2000);
    if (answer && answer->status_ == 200) {
      state = json::parse(answer->body_).value("state", "");
    }
    if (state == "completed") {
      record.Add("operator GET /wave-get/1 -> 200 " + answer->body_);
      break;
    }
    SleepMs(200);
  }
  for (const auto& machine : machines) {
    if (cloud.UpkeepsOf(machine) == 0) {
      missing.push_back(machine);
    }
  }
  // Whether it comes after all.
  SleepMs(state == "completed" && !missing.empty() ? 20000 : 3000);
  std::string result = "wave 1 is said to be " + state;
  for (const auto& machine : machines) {
    result += "; " + machine + " had " +
              std::to_string(cloud.UpkeepsOf(machine)) + " upkeeps";
  }
  const bool isBroken = state == "completed" && !missing.empty();
  for (const auto& machine : missing) {
    result += isBroken
                ? "\nBROKEN MIXED the wave is completed, and " + machine +
                    " stays and had not begun its upkeep"
                : "";
  }
  record.Add("RESULT " + result);
  std::cout << result << std::endl;
  const int readings = cloud.readings_ - before;
  for (auto& [machine, worker] : workers) {
    worker->Crash();
  }
  if (state.empty() || (hasTrouble && (readings == 0 || cloud.oddReadings_ > 0))) {
    return 2;
  }
  return isBroken ? 1 : 0;
}
