// Case 2: steps that can't be placed keep late jobs from starting.
#include "../standin/scenario.h"

namespace review {

namespace {

/// Jobs that need the label of a lost worker wait while the queue has its
/// turn; jobs that became late in the turn never start afterwards.
int
HopelessJobsAhead(bool aTrouble)
{
  Cluster cluster;
  Workers workers;
  AddWorkers(workers, cluster, "menu-svc", 0, 6);
  AddWorkers(workers, cluster, "menu-svc", 6, 1, "b");
  Client client(cluster, "pule25.example", "/puxa400/");
  const auto config =
    Config(7,
           { Route("r-anu6wsj", "pule25.example", "/puxa400/", "menu-svc") },
           { Service("menu-svc") });
  if (!StartDeployment(cluster, workers, config, client)) {
    return kNotRun;
  }
  if (aTrouble) {
    workers.back()->Crash(false);
  }
  // Jobs of five steps each for the worker's label, at the usual pace.
  int number = 0;
  std::vector<std::string> labelled;
  auto labelledJob = OneStepJob("ms=400", 1, 900, 400, "b");
  while (labelledJob["steps"].size() < 5) {
    const Json step = labelledJob["steps"][0];
    labelledJob["steps"].push_back(step);
  }
  for (int i = 0; i < 5; ++i) {
    const auto id = JobName(++number);
    if (client.Submit(id, labelledJob) == 200) {
      labelled.push_back(id);
    }
    SleepMs(60);
  }
  SleepMs(1500);
  // The queue's turn: for some seconds more than the pool holds.
  std::vector<std::string> usual;
  const auto until = NowMs() + 5000;
  while (NowMs() < until) {
    const auto id = JobName(++number);
    if (client.Submit(id, OneStepJob("ms=1000", 6, 1900, 1000)) == 200) {
      usual.push_back(id);
    }
    SleepMs(25);
  }
  const auto ended = NowMs();
  Note("the traffic has ended: " + std::to_string(usual.size()) +
       " usual jobs, " + std::to_string(labelled.size()) +
       " that need the label b");
  SleepMs(14000);
  // For 3 s: nothing runs although the pool is empty.
  std::size_t mostRunning = 0;
  const auto from = NowMs();
  while (NowMs() < from + 4000) {
    std::size_t running = 0;
    for (auto& worker : workers) {
      running += worker->RunningCount();
    }
    mostRunning = std::max(mostRunning, running);
    SleepMs(20);
  }
  std::set<std::string> begun;
  for (const auto& run : Runs::Get().All()) {
    begun.insert(run.task_.substr(0, 16));
  }
  std::size_t stuck = 0;
  std::size_t open = 0;
  for (const auto& id : usual) {
    const auto state = client.State(id);
    if (state != "completed") {
      ++open;
      stuck += begun.contains(id) ? 0 : 1;
    }
  }
  Note("from " + std::to_string((from - ended) / 1000) +
       " s after the traffic, at most " + std::to_string(mostRunning) +
       " tasks ran in the pool for 4 s; usual jobs not completed: " +
       std::to_string(open) + ", never begun: " + std::to_string(stuck));
  return stuck > 0 && mostRunning == 0 ? kBroken : open == 0 ? kHeld : kNotRun;
}

} // namespace

} // namespace review

int
main(int aCount, char** aArguments)
{
  return review::RunCase(aCount, aArguments, review::HopelessJobsAhead);
}
