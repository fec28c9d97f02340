// A wave moves a long-running task off a worker that has just been cut off; the
// worker that the task is to go to is restarted meanwhile. The leader ends when
// the restarted worker has room for the next task of the step.

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
    record.Add("machine " + aMachine +
               (aIsDown ? " goes down for upkeep" : " is back"));
    auto& worker = *workers.at(aMachine);
    if (aIsDown) {
      worker.Crash();
    } else {
      worker.Start();
    }
  };
  if (!cloud.Open() || !deployment.StartAll()) {
    return 2;
  }
  const auto route = [](const char* aName, const char* aService) {
    return json{ { "name", aName },
                 { "host", "h" },
                 { "pathPrefix", std::string("/") + aName + "/" },
                 { "service", aService },
                 { "timeoutMs", 3000 },
                 { "targetLatencyMs", 2500 },
                 { "attempts", 2 },
                 { "stretch", 2.2 } };
  };
  const json config{
    { "version", 1 },
    { "routes", { route("q", "p"), route("r", "other") } },
    { "services",
      { { { "name", "p" }, { "enforceCapacity", false } },
        { { "name", "other" }, { "enforceCapacity", false } } } }
  };
  if (!deployment.SendConfig(config)) {
    return 2;
  }
  const auto add = [&](int aNumber, const char* aPool) {
    const auto machine = "m-0000" + std::to_string(aNumber);
    auto& worker = workers[machine];
    worker = std::make_unique<Worker>(
      farm,
      WorkerOptions{ "i-0000" + std::to_string(aNumber),
                     machine,
                     deployment.Address(120 + aNumber, 8080),
                     aPool,
                     Deployment::Zone(aNumber),
                     "r1-1",
                     deployment.Controls() });
    cloud.Add({ machine,
                aPool,
                "up",
                Deployment::Zone(aNumber),
                worker->Options().id_ });
    return worker->Start();
  };
  const auto entry = deployment.Entries().front();
  std::map<std::string, JobSeen> jobs;
  const auto submit = [&](const std::string& aId,
                          std::uint32_t aTasks,
                          bool aIsTogether) {
    JobSeen job;
    job.id_ = aId;
    job.path_ = "/q/" + aId;
    StepShape shape;
    shape.count_ = aTasks;
    shape.lasts_ = true;
    job.steps_ = { shape };
    farm.AddJob(aId, job.steps_);
    json step{ { "count", aTasks }, { "cpu", 8000 },     { "memMb", 1000 },
               { "mayMiss", 2 },    { "estimatedMs", 700 }, { "longRunning", true } };
    if (aIsTogether) {
      step["sameRack"] = true;
      step["antiAffinity"] = 2;
    }
    const json body{ { "spec", aId }, { "steps", { step } } };
    const auto answer = Call(entry, "POST", job.path_, "h", body.dump(), 3000);
    record.Add("client POST " + job.path_ + " " + body.dump() + " -> " +
               std::to_string(answer ? answer->status_ : 0));
    job.isAccepted_ = answer && answer->status_ == 200;
    jobs[aId] = job;
    return job.isAccepted_;
  };

  // The first worker is full, so that the step goes to the next two.
  bool isReady = add(1, "p");
  SleepMs(2500);
  isReady &= submit("00000000000000b1", 1, false);
  isReady &= submit("00000000000000b2", 1, false);
  SleepMs(1500);
  isReady &= add(2, "p") && add(3, "p");
  for (int i = 4; i <= 8; ++i) {
    isReady &= add(i, "other");
  }
  SleepMs(2500);
  isReady &= submit("00000000000000c1", 4, true);
  SleepMs(2000);
  const auto cancelled =
    Call(entry, "DELETE", "/q/00000000000000b1", "h", "", 3000);
  record.Add("client DELETE /q/00000000000000b1 -> " +
             std::to_string(cancelled ? cancelled->status_ : 0));
  jobs["00000000000000b1"].cancelledAtMs_ = NowMs();
  SleepMs(1500);
  const auto* leader = deployment.WaitForLeader(5000);
  if (!isReady || leader == nullptr) {
    return 2;
  }
  record.Add("leader " + leader->name_);

  auto& emptied = *workers.at("m-00002");
  auto& destination = *workers.at("m-00001");
  if (hasTrouble) {
    record.Add("TROUBLE " + emptied.Name() + " is cut off");
    emptied.isCut_ = true;
  }
  const auto control = deployment.Controls().front();
  const json wave{ { "wave", 1 },
                   { "machines", { "m-00002" } },
                   { "durationS", 30 },
                   { "cap", 1 } };
  const auto started =
    Call(control, "POST", "/wave-start", control, wave.dump(), 2000);
  record.Add("operator POST /wave-start " + wave.dump() + " -> " +
             std::to_string(started ? started->status_ : 0));
  SleepMs(800);
  if (hasTrouble) {
    record.Add("TROUBLE " + destination.Name() + " crashes");
    destination.Crash();
    SleepMs(600);
    destination.Start();
    record.Add(destination.Name() + " has started again");
    SleepMs(3500);
    emptied.isCut_ = false;
    record.Add(emptied.Name() + " is joined again");
  }
  SleepMs(15000);
  std::string result;
  for (auto& node : deployment.nodes_) {
    if (deployment.HasEnded(node)) {
      result += "BROKEN process " + node.name_ + " ended by itself" +
                (leader->name_ == node.name_ ? " (the leader)" : "") + "\n";
    }
  }
  record.Add("RESULT " + result);
  std::cout << result << "processes checked" << std::endl;
  for (auto& [machine, worker] : workers) {
    worker->Crash();
  }
  return result.empty() ? 0 : 1;
}
