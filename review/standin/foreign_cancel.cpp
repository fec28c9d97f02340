// Found beside the cases: a cancel across queues.
#include "scenario.h"

namespace review {

namespace {

/// Clients of two queues choose the same id. The second one hands its job in,
/// gets no clear answer, gives up and cancels it.
int
ForeignCancel(bool aTrouble)
{
  Cluster cluster;
  Workers workers;
  AddWorkers(workers, cluster, "menu-svc", 0, 2);
  AddWorkers(workers, cluster, "swap-svc", 2, 2);
  Client owner(cluster, "pule25.example", "/puxa400/");
  Client other(cluster, "jepu9.example", "/zizi35/");
  const auto config =
    Config(7,
           { Route("r-anu6wsj", "pule25.example", "/puxa400/", "menu-svc"),
             Route("r-b2ex5wa", "jepu9.example", "/zizi35/", "swap-svc") },
           { Service("menu-svc"), Service("swap-svc") });
  if (!StartDeployment(cluster, workers, config, owner)) {
    return kNotRun;
  }
  const auto id = JobName(1);
  if (owner.Submit(id, OneStepJob("ms=12000", 1, 500, 12000)) != 200) {
    return kNotRun;
  }
  SleepMs(1000);
  const auto before = owner.State(id);
  other.Submit(id, OneStepJob("ms=500", 1, 500, 500));
  if (aTrouble) {
    other.One("DELETE", id);
  }
  SleepMs(2000);
  std::string state;
  for (int i = 0; i < 10; ++i) {
    state = owner.State(id);
    if (state == "completed" || state == "failed" || state == "cancelled") {
      break;
    }
    SleepMs(1000);
  }
  Note("the owner's job was " + before + " and is shown as " + state);
  if (state == "cancelled") {
    return kBroken;
  }
  return state == "completed" ? kHeld : kNotRun;
}

} // namespace

} // namespace review

int
main(int aCount, char** aArguments)
{
  return review::RunCase(aCount, aArguments, review::ForeignCancel);
}
