// Case 3: a late DELETE removes a worker's next incarnation.
#include "../standin/scenario.h"

namespace review {

namespace {

/// Notes each pair of runs of one task that overlapped by over 50 ms on workers
/// that were up, and returns their number.
int
CountDoubleRuns()
{
  std::map<std::string, std::vector<StartSeen>> byTask;
  for (const auto& run : Runs::Get().All()) {
    byTask[run.task_].push_back(run);
  }
  int doubles = 0;
  for (const auto& [task, runs] : byTask) {
    for (std::size_t i = 1; i < runs.size(); ++i) {
      const auto& first = runs[i - 1];
      const auto& second = runs[i];
      const auto end = first.endMs_ < 0 ? NowMs() : first.endMs_;
      if (end > second.atMs_ + 50) {
        ++doubles;
        Note("twice: " + task + " run " + std::to_string(first.run_) + " on " +
             first.worker_ + " from " + std::to_string(first.atMs_) +
             " ms until " + std::to_string(end) + " ms (" + first.how_ +
             "), run " + std::to_string(second.run_) + " on " + second.worker_ +
             " from " + std::to_string(second.atMs_) + " ms (" + second.how_ +
             ")");
      }
    }
  }
  Note("tasks with two runs at the same time: " + std::to_string(doubles));
  return doubles;
}

/// A worker is restarted by plan under its id while it has lost the path to one
/// control node. Its DELETE, held up on that path, arrives when the path is
/// whole again.
int
LateLeave(bool aTrouble)
{
  Cluster cluster;
  Workers workers;
  AddWorkers(workers, cluster, "menu-svc", 0, 5);
  Client client(cluster, "pule25.example", "/puxa400/");
  const auto config =
    Config(7,
           { Route("r-anu6wsj", "pule25.example", "/puxa400/", "menu-svc") },
           { Service("menu-svc") });
  if (!StartDeployment(cluster, workers, config, client)) {
    return kNotRun;
  }
  const int leader = cluster.Leader();
  if (leader < 0) {
    return kNotRun;
  }
  Note("the leader is core-" + std::to_string(leader + 1));
  const auto next = cluster.Control(leader);
  static Proxy path;
  const auto held = cluster.Ip(200) + ":8623";
  if (!path.Open(held, cluster.Control((leader + 1) % 3))) {
    return kNotRun;
  }
  // This worker sends its heartbeats to the leader.
  auto& worker = *workers[static_cast<std::size_t>(leader)];
  std::int64_t cutAt = 0;
  const bool left = worker.Leave(2000, held, next, [&] {
    if (aTrouble) {
      path.Hold(true);
      cutAt = NowMs();
    }
  });
  SleepMs(600);
  const bool back = worker.Start();
  for (int i = 0; i < 300 && !worker.IsRegistered(); ++i) {
    SleepMs(10);
  }
  SleepMs(100);
  // Short tasks fill the other workers, so that the long ones come to this one.
  int number = 0;
  for (int i = 0; i < 4; ++i) {
    client.Submit(JobName(++number), OneStepJob("ms=1200", 17, 900, 1200));
  }
  for (int i = 0; i < 2; ++i) {
    client.Submit(JobName(++number), OneStepJob("ms=6000", 4, 900, 6000));
  }
  if (aTrouble) {
    // Just after a heartbeat, so that the next one is a second or more away.
    SleepMs(std::max<std::int64_t>(0, cutAt + 3300 - NowMs()));
    const auto beats = worker.Beats();
    while (worker.Beats() == beats && NowMs() < cutAt + 5000) {
      SleepMs(5);
    }
    SleepMs(30);
    path.Hold(false);
  }
  SleepMs(9000);
  if (!left || !back) {
    return kNotRun;
  }
  return CountDoubleRuns() > 0 ? kBroken : kHeld;
}

} // namespace

} // namespace review

int
main(int aCount, char** aArguments)
{
  return review::RunCase(aCount, aArguments, review::LateLeave);
}
