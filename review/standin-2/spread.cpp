// A gang with one task a worker loses one of its workers for good. The pool has
// room for it many times over but one worker too few; idle machines of the
// spare pool are not brought, and the job never runs again.

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
  std::mutex mutex;
  std::map<std::string, std::unique_ptr<Worker>> workers;
  int lives = 0;
  const auto place = [&](int aNumber, const std::string& aPool) {
    const std::lock_guard lock(mutex);
    const auto machine = "m-0" + std::to_string(aNumber);
    const auto id =
      "i-0" + std::to_string(aNumber) + "-" + std::to_string(++lives);
    auto worker = std::make_unique<Worker>(
      farm,
      WorkerOptions{ id,
                     machine,
                     deployment.Address(120 + aNumber, 8080),
                     aPool,
                     Deployment::Zone(aNumber),
                     "r1-" + std::to_string(aNumber / 4),
                     deployment.Controls() });
    const bool isStarted = worker->Start();
    cloud.SetWorker(machine, id);
    workers[id] = std::move(worker);
    return isStarted;
  };
  const auto crash = [&](const std::string& aMachine) {
    const std::lock_guard lock(mutex);
    for (auto& [id, worker] : workers) {
      if (worker->Options().machine_ == aMachine) {
        worker->Crash();
      }
    }
  };
  cloud.onUpkeep_ = [](const std::string&, bool) {};
  cloud.onMove_ = [&](const std::string& aMachine, const std::string& aPool) {
    record.Add("machine " + aMachine + " moves to " + aPool);
    if (aPool.empty()) {
      crash(aMachine);
    } else if (aPool != "spare") {
      place(std::stoi(aMachine.substr(3)), aPool);
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
    { "services",
      { { { "name", "p" }, { "enforceCapacity", false } },
        { { "name", "spare" },
          { "enforceCapacity", false },
          { "spare", true } } } }
  };
  if (!deployment.SendConfig(config)) {
    return 2;
  }
  constexpr int kWorkers = 8;
  constexpr int kSpares = 4;
  bool isReady = true;
  for (int i = 1; i <= kWorkers + kSpares; ++i) {
    const bool isSpare = i > kWorkers;
    cloud.Add({ "m-0" + std::to_string(i),
                isSpare ? "spare" : "p",
                "up",
                Deployment::Zone(i),
                "" });
    isReady &= isSpare || place(i, "p");
  }
  SleepMs(3000);

  const auto entry = deployment.Entries().front();
  std::map<std::string, JobSeen> jobs;
  JobSeen job;
  job.id_ = "00000000000000e1";
  job.path_ = "/q/" + job.id_;
  job.attempts_ = 3;
  StepShape shape;
  shape.count_ = kWorkers;
  shape.gang_ = true;
  shape.workMs_ = 5000;
  job.steps_ = { shape };
  farm.AddJob(job.id_, job.steps_);
  const json body{ { "spec", "x" },
                   { "steps",
                     { { { "count", kWorkers },
                         { "cpu", 2000 },
                         { "memMb", 500 },
                         { "estimatedMs", 5000 },
                         { "gang", true },
                         { "antiAffinity", 1 } } } } };
  const auto answer = Call(entry, "POST", job.path_, "h", body.dump(), 3000);
  record.Add("client POST " + job.path_ + " " + body.dump() + " -> " +
             std::to_string(answer ? answer->status_ : 0));
  job.isAccepted_ = answer && answer->status_ == 200;
  jobs[job.id_] = job;
  if (!isReady || !job.isAccepted_) {
    return 2;
  }
  SleepMs(2000);
  if (hasTrouble) {
    record.Add("TROUBLE machine m-08 and its worker are lost for good");
    crash("m-08");
    cloud.Remove("m-08");
  }
  auto& state = jobs[job.id_].state_;
  for (const auto until = NowMs() + 60000; NowMs() < until;) {
    const auto shown = Call(entry, "GET", job.path_, "h", "", 3000);
    state = shown && shown->status_ == 200
              ? json::parse(shown->body_).value("state", "")
              : "";
    if (state == "completed") {
      break;
    }
    SleepMs(500);
  }
  record.Add("client GET " + job.path_ + " -> " + state);
  const auto seen = farm.SeenSoFar();
  auto broken = CheckRuns(seen, jobs);
  for (const auto& each : CheckStates(seen, jobs)) {
    broken.push_back(each);
  }
  std::int64_t lastEnd = 0;
  for (const auto& each : seen) {
    lastEnd = each.isStart_ ? lastEnd : each.atMs_;
  }
  std::string result = "job is " + state + "; nothing has run for " +
                       std::to_string(NowMs() - lastEnd) + " ms; " +
                       cloud.Summary();
  for (const auto& each : broken) {
    result += "\nBROKEN " + each;
  }
  record.Add("RESULT " + result);
  std::cout << result << std::endl;
  const std::lock_guard lock(mutex);
  for (auto& [id, worker] : workers) {
    worker->Crash();
  }
  return broken.empty() ? 0 : 1;
}
