// The platform is slow. A machine is added while its list is being read, and a
// wave that names the machine starts before the reading has ended. The machine
// counts as gone, and the wave is said to be completed although the machine
// stays and never had its upkeep.

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
  cloud.pageSize_ = 8;
  std::mutex mutex;
  std::map<std::string, std::unique_ptr<Worker>> workers;
  const auto workerOf = [&](const std::string& aMachine) -> Worker& {
    const std::lock_guard lock(mutex);
    return *workers.at(aMachine);
  };
  cloud.onUpkeep_ = [&](const std::string& aMachine, bool aIsDown) {
    record.Add("machine " + aMachine +
               (aIsDown ? " goes down for upkeep" : " is back"));
    if (aIsDown) {
      workerOf(aMachine).Crash();
    } else {
      workerOf(aMachine).Start();
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
  // A machine is listed as down until its worker has started.
  const auto add = [&](int aNumber, std::int64_t aBootMs) {
    const auto machine = "m-000" + std::to_string(aNumber);
    auto worker = std::make_unique<Worker>(
      farm,
      WorkerOptions{ "i-000" + std::to_string(aNumber),
                     machine,
                     deployment.Address(90 + aNumber, 8080),
                     "p",
                     Deployment::Zone(aNumber),
                     "r1-" + std::to_string(aNumber / 4),
                     deployment.Controls() });
    const auto& started = *worker;
    cloud.Add({ machine,
                "p",
                aBootMs == 0 ? "up" : "down",
                Deployment::Zone(aNumber),
                worker->Options().id_ });
    record.Add("machine " + machine + " is added");
    const std::lock_guard lock(mutex);
    workers[machine] = std::move(worker);
    if (aBootMs == 0) {
      return workers[machine]->Start();
    }
    std::thread([&, machine, aBootMs, name = started.Options().id_] {
      SleepMs(aBootMs);
      workerOf(machine).Start();
      cloud.SetState(machine, "up");
      record.Add("machine " + machine + " is up, worker " + name);
    }).detach();
    return true;
  };
  bool isReady = true;
  for (int i = 11; i <= 34; ++i) {
    isReady &= add(i, 0);
  }
  SleepMs(3000);
  const auto control = deployment.Controls().front();
  const auto startWave = [&](int aWave,
                             const std::vector<std::string>& aMachines) {
    const json wave{ { "wave", aWave },
                     { "machines", aMachines },
                     { "durationS", 60 },
                     { "cap", 1 } };
    const auto answer =
      Call(control, "POST", "/wave-start", control, wave.dump(), 2000);
    record.Add("operator POST /wave-start " + wave.dump() + " -> " +
               std::to_string(answer ? answer->status_ : 0));
    return answer && answer->status_ == 200;
  };
  if (hasTrouble) {
    record.Add("TROUBLE the platform answers each page of its list after 0.5 s");
    cloud.listDelayMs_ = 500;
  }
  isReady &= startWave(1, { "m-00020", "m-00021", "m-00022" });
  SleepMs(4000);

  // The new machine is listed on the first page, which has just been read.
  std::atomic<bool> isFirstPageRead{ false };
  cloud.onPage_ = [&](const std::string& aFrom) {
    isFirstPageRead = isFirstPageRead || aFrom.empty();
  };
  for (const auto until = NowMs() + 10000;
       NowMs() < until && !isFirstPageRead;) {
    SleepMs(10);
  }
  const std::string added = "m-00010";
  isReady &= add(10, 4000);
  SleepMs(200);
  isReady &= startWave(2, { added });
  if (!isReady || !isFirstPageRead) {
    return 2;
  }
  std::string state;
  for (const auto until = NowMs() + 60000; NowMs() < until;) {
    const auto answer = Call(control, "GET", "/wave-get/2", control, "", 2000);
    if (answer && answer->status_ == 200) {
      state = json::parse(answer->body_).value("state", "");
    }
    if (state == "completed") {
      record.Add("operator GET /wave-get/2 -> 200 " + answer->body_);
      break;
    }
    SleepMs(200);
  }
  const auto before = cloud.UpkeepsOf(added);
  const bool isBroken = state == "completed" && before == 0;
  // Whether its upkeep comes after all.
  SleepMs(isBroken ? 15000 : 3000);
  std::string result = "wave 2 is said to be " + state + "; by then " + added +
                       " had " + std::to_string(before) +
                       " upkeeps, 15 s later " +
                       std::to_string(cloud.UpkeepsOf(added));
  result += isBroken ? "\nBROKEN MIXED the wave is completed, and " + added +
                         " stays and had not begun its upkeep"
                     : "";
  record.Add("RESULT " + result);
  std::cout << result << std::endl;
  for (auto& [machine, worker] : workers) {
    worker->Crash();
  }
  return state.empty() ? 2 : (isBroken ? 1 : 0);
}
