// Case 4: a job fails after one attempt while its route is dropped.
#include "../standin/scenario.h"

namespace review {

namespace {

/// A route is dropped and comes back while a task of its queue runs and fails
/// for the first time of three.
int
DroppedRoute(bool aTrouble)
{
  Cluster cluster;
  Workers workers;
  AddWorkers(workers, cluster, "menu-svc", 0, 4);
  Client client(cluster, "pule25.example", "/puxa400/");
  Client other(cluster, "pule25.example", "/wuhu344/");
  const auto queue =
    Route("r-anu6wsj", "pule25.example", "/puxa400/", "menu-svc");
  const auto kept =
    Route("r-k9m68k7", "pule25.example", "/wuhu344/", "menu-svc");
  const std::vector<Json> services{ Service("menu-svc") };
  if (!StartDeployment(
        cluster, workers, Config(7, { queue, kept }, services), other)) {
    return kNotRun;
  }
  const auto id = JobName(1);
  if (client.Submit(id, OneStepJob("ms=3000 failonce", 1, 500, 3000)) != 200) {
    return kNotRun;
  }
  SleepMs(1000);
  if (aTrouble && !cluster.PutConfig(Config(9, { kept }, services))) {
    return kNotRun;
  }
  SleepMs(3500);
  if (aTrouble && !cluster.PutConfig(Config(12, { queue, kept }, services))) {
    return kNotRun;
  }
  SleepMs(2500);
  std::string state;
  for (int i = 0; i < 14; ++i) {
    state = client.State(id);
    if (state == "completed" || state == "failed" || state == "cancelled") {
      break;
    }
    SleepMs(1000);
  }
  std::size_t failed = 0;
  for (const auto& run : Runs::Get().All()) {
    failed += run.task_.starts_with(id) && run.how_ == "failed" ? 1 : 0;
  }
  Note("the job is shown as " + state + " after " + std::to_string(failed) +
       " failed runs; its queue allows 3 attempts");
  if (!cluster.AllRun()) {
    Note("a node has ended by itself");
  }
  if (state == "failed" && failed < 3) {
    return kBroken;
  }
  return state == "completed" ? kHeld : kNotRun;
}

} // namespace

} // namespace review

int
main(int aCount, char** aArguments)
{
  return review::RunCase(aCount, aArguments, review::DroppedRoute);
}
