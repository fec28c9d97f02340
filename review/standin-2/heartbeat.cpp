// A heartbeat of another writer names a service that is not in the
// configuration, under the id of a worker that is at work. The tasks of that
// worker are started again elsewhere while they run.

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
  std::vector<std::unique_ptr<Worker>> workers;
  constexpr int kWorkers = 6;
  for (int i = 0; i < kWorkers; ++i) {
    const auto name = "0000" + std::to_string(i + 1);
    workers.push_back(std::make_unique<Worker>(
      farm,
      WorkerOptions{ "i-" + name,
                     "m-" + name,
                     deployment.Address(120 + i, 8080),
                     "p",
                     Deployment::Zone(i),
                     "r1-" + std::to_string(i / 3),
                     deployment.Controls() }));
    cloud.Add({ "m-" + name, "p", "up", Deployment::Zone(i), "i-" + name });
    if (!workers.back()->Start()) {
      return 2;
    }
  }
  SleepMs(3000);

  const auto entry = deployment.Entries().front();
  std::map<std::string, JobSeen> jobs;
  JobSeen job;
  job.id_ = "00000000000000d1";
  job.path_ = "/q/" + job.id_;
  job.attempts_ = 3;
  StepShape shape;
  shape.count_ = 4;
  shape.workMs_ = 5000;
  job.steps_ = { shape };
  farm.AddJob(job.id_, job.steps_);
  const json body{ { "spec", "x" },
                   { "steps",
                     { { { "count", 4 },
                         { "cpu", 2000 },
                         { "memMb", 500 },
                         { "estimatedMs", 5000 } } } } };
  const auto answer = Call(entry, "POST", job.path_, "h", body.dump(), 3000);
  record.Add("client POST " + job.path_ + " " + body.dump() + " -> " +
             std::to_string(answer ? answer->status_ : 0));
  job.isAccepted_ = answer && answer->status_ == 200;
  jobs[job.id_] = job;
  if (!job.isAccepted_) {
    return 2;
  }
  SleepMs(1000);
  const Worker* atWork = nullptr;
  for (const auto& seen : farm.SeenSoFar()) {
    for (const auto& worker : workers) {
      atWork = seen.isStart_ && seen.worker_ == worker->Name() ? worker.get()
                                                               : atWork;
    }
  }
  if (atWork == nullptr) {
    return 2;
  }
  if (hasTrouble) {
    const auto& options = atWork->Options();
    const json report{ { "service", "svc-of-another-writer" },
                       { "address", options.address_ },
                       { "zone", options.zone_ },
                       { "version", "v1" },
                       { "slots", 8 },
                       { "state", "ready" },
                       { "coldRemainingMs", 0 },
                       { "capacity",
                         { { "cpu", 16000 }, { "memMb", 32768 }, { "gpu", 0 } } },
                       { "labels", { "a", options.rack_ } },
                       { "wallClockMs", 1000 },
                       { "born", UnixMs() },
                       { "sequence", 1 } };
    const auto control = deployment.Controls().front();
    const auto taken = Call(control,
                            "PUT",
                            "/instances/" + options.id_,
                            control,
                            report.dump(),
                            1000);
    record.Add("TROUBLE heartbeat of another writer: PUT /instances/" +
               options.id_ + " " + report.dump() + " -> " +
               std::to_string(taken ? taken->status_ : 0));
  }
  for (const auto until = NowMs() + 25000; NowMs() < until;) {
    const auto state = Call(entry, "GET", job.path_, "h", "", 3000);
    jobs[job.id_].state_ = state && state->status_ == 200
                             ? json::parse(state->body_).value("state", "")
                             : "";
    if (jobs[job.id_].state_ == "completed") {
      break;
    }
    SleepMs(300);
  }
  record.Add("client GET " + job.path_ + " -> " + jobs[job.id_].state_);
  const auto seen = farm.SeenSoFar();
  auto broken = CheckRuns(seen, jobs);
  for (const auto& each : CheckStates(seen, jobs)) {
    broken.push_back(each);
  }
  std::size_t starts = 0;
  for (const auto& each : seen) {
    starts += each.isStart_ ? 1 : 0;
  }
  std::string result = "job is " + jobs[job.id_].state_ + ", 4 tasks, " +
                       std::to_string(starts) + " starts";
  for (const auto& each : broken) {
    result += "\nBROKEN " + each;
  }
  record.Add("RESULT " + result);
  std::cout << result << std::endl;
  for (auto& worker : workers) {
    worker->Crash();
  }
  return broken.empty() ? 0 : 1;
}
