// The collector of one process's log reads nothing for a while. The process
// that writes the log is the leader; it blocks in the write, goes on to lead,
// and no accepted job goes on.

#include "checks.h"
#include "cloud.h"

#include <array>

using namespace review;

namespace {

struct Accepted
{
  std::string id_;
  std::int64_t atMs_ = 0;
  std::string state_;
};

} // namespace

int
main(int, char** aArguments)
{
  const bool hasTrouble = std::string(aArguments[1]) != "0";
  Record record(aArguments[2]);
  Farm farm(record);
  Deployment deployment(record, 3, 2);
  deployment.collectsLogs_ = true;
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
  constexpr int kWorkers = 9;
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
  auto* leader = deployment.WaitForLeader(10000);
  if (leader == nullptr) {
    return 2;
  }

  // Customers: 20 jobs a second of two steps with two tasks each.
  const auto entries = deployment.Entries();
  std::mutex mutex;
  std::vector<Accepted> accepted;
  std::map<std::string, JobSeen> jobs;
  std::atomic<bool> stop{ false };
  std::vector<std::thread> customers;
  constexpr int kCustomers = 10;
  for (int c = 0; c < kCustomers; ++c) {
    customers.emplace_back([&, c] {
      for (int number = 0; !stop; ++number) {
        char id[24];
        std::snprintf(id, sizeof id, "%08x%08x", 0xa0 + c, number);
        JobSeen job;
        job.id_ = id;
        job.path_ = "/q/" + job.id_;
        StepShape shape;
        shape.count_ = 2;
        shape.workMs_ = 400;
        job.steps_ = { shape, shape };
        job.steps_[1].after_ = { 0 };
        farm.AddJob(id, job.steps_);
        json step{ { "count", 2 },
                   { "cpu", 500 },
                   { "memMb", 100 },
                   { "estimatedMs", 400 } };
        json body{ { "spec", id }, { "steps", { step, step } } };
        body["steps"][1]["dependsOn"] = { 0 };
        const auto begin = NowMs();
        const auto answer = Call(entries[static_cast<std::size_t>(c) % 2],
                                 "POST",
                                 job.path_,
                                 "h",
                                 body.dump(),
                                 3000);
        job.isAccepted_ = answer && answer->status_ == 200;
        job.mayBeAccepted_ = !job.isAccepted_;
        record.Add("client POST " + job.id_ + " -> " +
                   std::to_string(answer ? answer->status_ : 0));
        {
          const std::lock_guard lock(mutex);
          jobs[job.id_] = job;
          if (job.isAccepted_) {
            accepted.push_back({ job.id_, NowMs(), "" });
          }
        }
        SleepMs(std::max<std::int64_t>(0, 500 - (NowMs() - begin)));
      }
    });
  }
  SleepMs(6000);
  const auto troubleAt = NowMs();
  if (hasTrouble) {
    record.Add("TROUBLE the log of " + leader->name_ + " is not read");
    *leader->isStalled_ = true;
  }
  SleepMs(24000);
  stop = true;
  for (auto& each : customers) {
    each.join();
  }
  const auto trafficEnd = NowMs();
  record.Add("end of the traffic");
  constexpr std::int64_t kFinishMs = 14000;
  SleepMs(kFinishMs);
  const auto askedAt = NowMs();

  // Jobs are asked for, each up to four times.
  std::vector<std::thread> askers;
  std::atomic<std::size_t> next{ 0 };
  for (int i = 0; i < 16; ++i) {
    askers.emplace_back([&] {
      for (auto at = next++; at < accepted.size(); at = next++) {
        for (std::size_t tries = 0; tries < 2; ++tries) {
          const auto answer = Call(entries[tries % 2],
                                   "GET",
                                   "/q/" + accepted[at].id_,
                                   "h",
                                   "",
                                   3000);
          accepted[at].state_ =
            !answer                   ? "no answer"
            : answer->status_ == 200  ? json::parse(answer->body_)
                                         .value("state", "")
                                      : std::to_string(answer->status_);
          if (answer && answer->status_ == 200) {
            break;
          }
        }
      }
    });
  }
  for (auto& each : askers) {
    each.join();
  }
  std::map<std::string, int> states;
  for (const auto& each : accepted) {
    ++states[each.state_];
    if (each.state_ != "completed") {
      record.Add("client GET " + each.id_ + " -> " + each.state_);
    }
  }
  const auto* now = deployment.Leader();
  const auto seen = farm.SeenSoFar();
  std::int64_t lastStart = 0;
  std::map<std::string, int> running;
  for (const auto& each : seen) {
    lastStart = each.isStart_ ? each.atMs_ : lastStart;
    running[each.task_] += each.isStart_ ? 1 : -1;
  }
  int atWork = 0;
  for (const auto& [task, count] : running) {
    atWork += count;
  }
  std::string result =
    std::to_string(accepted.size()) + " jobs accepted; " +
    std::to_string(kFinishMs / 1000) + " s after the end of the traffic:";
  for (const auto& [state, count] : states) {
    result += " " + state + " " + std::to_string(count);
  }
  result += "; tasks at work: " + std::to_string(atWork) +
            "; last start of a task " + std::to_string(NowMs() - lastStart) +
            " ms ago; leader before: " + leader->name_ +
            ", one that answers now: " + (now == nullptr ? "none" : now->name_);
  // The rule: for the last 3 s nothing of the job has run, a task's turn has
  // come, the workers have room for the job twice over, and under half of their
  // cores are in use.
  constexpr std::int64_t kIdleMs = 3000;
  constexpr std::int64_t kMilliCores = 16000;
  constexpr std::int64_t kTaskMilliCores = 500;
  const auto free = kWorkers * kMilliCores - atWork * kTaskMilliCores;
  int stuck = 0;
  for (const auto& each : accepted) {
    if (each.state_ == "completed" || each.state_ == "failed") {
      continue;
    }
    std::array<std::set<std::string>, 2> done;
    std::set<std::string> runs;
    std::int64_t lastMs = 0;
    for (const auto& one : seen) {
      if (one.task_.substr(0, each.id_.size()) != each.id_) {
        continue;
      }
      lastMs = one.atMs_;
      if (one.isStart_) {
        runs.insert(one.task_);
        continue;
      }
      runs.erase(one.task_);
      if (one.how_ == "done") {
        done.at(one.task_.at(each.id_.size() + 3) - '0').insert(one.task_);
      }
    }
    const bool hasTurn = done[0].size() < 2 || done[1].size() < 2;
    const bool isIdle =
      runs.empty() && askedAt - std::max(lastMs, each.atMs_) >= kIdleMs;
    const bool isStuck = hasTurn && isIdle &&
                         free >= 2 * 2 * kTaskMilliCores &&
                         2 * free > kWorkers * kMilliCores;
    const bool hasNoAnswer = each.state_ != "running" &&
                             each.state_ != "queued";
    if (isStuck || hasNoAnswer) {
      ++stuck;
      record.Add("BROKEN LOST " + each.id_ + " " + each.state_ +
                 ", done of step 0: " + std::to_string(done[0].size()) +
                 ", of step 1: " + std::to_string(done[1].size()) +
                 ", nothing of it has run for " +
                 std::to_string(askedAt - std::max(lastMs, each.atMs_)) + " ms");
    }
  }
  if (stuck > 0) {
    result += "\nBROKEN LOST " + std::to_string(stuck) +
              " accepted jobs have had nothing running for 3 s though a task's "
              "turn has come and the workers have room, or get no answer";
  }
  for (const auto& each : CheckRuns(seen, jobs)) {
    result += "\nBROKEN " + each;
  }
  record.Add("trouble at " + std::to_string(troubleAt) + ", traffic ended at " +
             std::to_string(trafficEnd));
  record.Add("RESULT " + result);
  std::cout << result << std::endl;
  *leader->isStalled_ = false;
  for (auto& worker : workers) {
    worker->Crash();
  }
  return result.find("BROKEN") == std::string::npos ? 0 : 1;
}
