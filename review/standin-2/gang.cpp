// A worker fails all that it starts while a gang runs on it. The members of one
// run of the gang fail together, and the job is shown as failed although the
// gang has failed once.

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
  cloud.onUpkeep_ = [](const std::string&, bool) {};
  if (!cloud.Open() || !deployment.StartAll()) {
    return 2;
  }
  constexpr int kAttempts = 3;
  const json config{
    { "version", 1 },
    { "routes",
      { { { "name", "q" },
          { "host", "h" },
          { "pathPrefix", "/q/" },
          { "service", "p" },
          { "timeoutMs", 3000 },
          { "targetLatencyMs", 600 },
          { "attempts", kAttempts },
          { "stretch", 1.6 } } } },
    { "services", { { { "name", "p" }, { "enforceCapacity", false } } } }
  };
  if (!deployment.SendConfig(config)) {
    return 2;
  }
  std::vector<std::unique_ptr<Worker>> workers;
  constexpr int kWorkers = 12;
  for (int i = 0; i < kWorkers; ++i) {
    const auto name = "w" + std::to_string(i);
    workers.push_back(std::make_unique<Worker>(
      farm,
      WorkerOptions{ "i-" + name,
                     "m-" + name,
                     deployment.Address(120 + i, 8080),
                     "p",
                     Deployment::Zone(i),
                     "r1-" + std::to_string(i / 4),
                     deployment.Controls() }));
    cloud.Add({ "m-" + name, "p", "up", Deployment::Zone(i), "i-" + name });
    if (!workers.back()->Start()) {
      return 2;
    }
  }
  SleepMs(3000);

  const auto entry = deployment.Entries().front();
  std::map<std::string, JobSeen> jobs;
  const auto submit = [&](const std::string& aId, bool aIsGang) {
    JobSeen job;
    job.id_ = aId;
    job.path_ = "/q/" + aId;
    job.attempts_ = kAttempts;
    StepShape shape;
    shape.count_ = 4;
    shape.gang_ = aIsGang;
    shape.workMs_ = 1000;
    job.steps_ = { shape };
    farm.AddJob(aId, job.steps_);
    json step{ { "count", 4 },
               { "cpu", 4000 },
               { "memMb", 1000 },
               { "estimatedMs", 1000 } };
    if (aIsGang) {
      step["gang"] = true;
    }
    const json body{ { "spec", aId }, { "steps", { step } } };
    const auto answer =
      Call(entry, "POST", job.path_, "h", body.dump(), 3000);
    job.isAccepted_ = answer && answer->status_ == 200;
    record.Add("client POST " + job.path_ + " " + body.dump() + " -> " +
               std::to_string(answer ? answer->status_ : 0));
    jobs[aId] = job;
    return job.isAccepted_;
  };
  const auto stateOf = [&](const std::string& aId) -> std::string {
    const auto answer =
      Call(entry, "GET", jobs.at(aId).path_, "h", "", 3000);
    record.Add("client GET " + jobs.at(aId).path_ + " -> " +
               std::to_string(answer ? answer->status_ : 0) + " " +
               (answer ? answer->body_ : ""));
    return answer && answer->status_ == 200
             ? json::parse(answer->body_).value("state", "")
             : "";
  };
  const auto waitForEnd = [&](const std::string& aId) {
    std::string state;
    for (const auto until = NowMs() + 20000; NowMs() < until;) {
      state = stateOf(aId);
      if (state == "completed" || state == "failed") {
        break;
      }
      SleepMs(300);
    }
    jobs.at(aId).state_ = state;
    return state;
  };

  // The worker that the next job will begin on.
  const std::string first = "00000000000000a1";
  const std::string gang = "00000000000000a2";
  if (!submit(first, false) || waitForEnd(first) != "completed") {
    return 2;
  }
  Worker* grey = nullptr;
  for (const auto& seen : farm.SeenSoFar()) {
    for (const auto& worker : workers) {
      grey = seen.isStart_ && seen.worker_ == worker->Name() ? worker.get()
                                                             : grey;
    }
  }
  if (grey == nullptr) {
    return 2;
  }
  if (hasTrouble) {
    record.Add("TROUBLE worker " + grey->Name() + " fails all that it starts");
    grey->isGrey_ = true;
  }
  std::thread recovery([&] {
    SleepMs(6500);
    grey->isGrey_ = false;
    record.Add("worker " + grey->Name() + " is sound");
  });
  const bool isAccepted = submit(gang, true);
  if (isAccepted) {
    waitForEnd(gang);
  }
  recovery.join();
  if (!isAccepted) {
    return 2;
  }
  const auto seen = farm.SeenSoFar();
  std::size_t failed = 0;
  for (const auto& each : seen) {
    failed += each.how_ == "failed" ? 1 : 0;
  }
  const auto failedRuns =
    FailedRuns(seen, gang + ".0.0", jobs.at(gang).steps_[0]);
  auto broken = CheckRuns(seen, jobs);
  for (const auto& each : CheckStates(seen, jobs)) {
    broken.push_back(each);
  }
  std::string result = "job " + gang + " is shown as " + jobs.at(gang).state_ +
                       "; runs of the gang that failed: " +
                       std::to_string(failedRuns) + " of " +
                       std::to_string(kAttempts) + " attempts; ends failed: " +
                       std::to_string(failed);
  for (const auto& each : broken) {
    result += "\nBROKEN " + each;
  }
  record.Add("RESULT " + result);
  std::cout << result << std::endl;
  for (auto& worker : workers) {
    worker->Crash();
  }
  // Without a failed run there was no disruption.
  if (hasTrouble && failed == 0) {
    return 2;
  }
  return broken.empty() ? 0 : 1;
}
