// Found beside the cases: a submission after its cancel.
#include "scenario.h"

namespace review {

namespace {

/// A client hands a job in at an entry node that is frozen, gets no answer and
/// cancels the job at another node. The first node wakes again.
int
LateSubmit(bool aTrouble)
{
  Cluster cluster;
  Workers workers;
  AddWorkers(workers, cluster, "menu-svc", 0, 4);
  Client client(cluster, "pule25.example", "/puxa400/");
  const auto config =
    Config(7,
           { Route("r-anu6wsj", "pule25.example", "/puxa400/", "menu-svc") },
           { Service("menu-svc") });
  if (!StartDeployment(cluster, workers, config, client)) {
    return kNotRun;
  }
  const auto id = JobName(1);
  const std::string host = "pule25.example";
  const auto job = OneStepJob("ms=1000", 1, 500, 1000);
  if (aTrouble) {
    cluster.Signal("edge-1", SIGSTOP);
  }
  const auto submitted =
    Call(cluster.Entry(0), "POST", "/puxa400/" + id, host, job.dump(), 500);
  Note("POST at edge-1 -> " + std::to_string(submitted.status_));
  int cancelled = 0;
  for (int i = 0; i < 5 && cancelled == 0; ++i) {
    cancelled =
      Call(cluster.Entry(1), "DELETE", "/puxa400/" + id, host, "", 3000)
        .status_;
  }
  const auto cancelledAt = NowMs();
  Note("DELETE at edge-2 -> " + std::to_string(cancelled));
  SleepMs(3400);
  if (aTrouble) {
    cluster.Signal("edge-1", SIGCONT);
  }
  SleepMs(4000);
  if (cancelled != 200 && cancelled != 410) {
    return kNotRun;
  }
  for (const auto& run : Runs::Get().All()) {
    if (run.task_.starts_with(id) && run.atMs_ > cancelledAt + 3000) {
      Note("a task of the job starts " +
           std::to_string(run.atMs_ - cancelledAt) +
           " ms after its cancelling was acknowledged");
      return kBroken;
    }
  }
  return kHeld;
}

} // namespace

} // namespace review

int
main(int aCount, char** aArguments)
{
  return review::RunCase(aCount, aArguments, review::LateSubmit);
}
