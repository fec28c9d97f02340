#include "proof/data_support.h"

#include <algorithm>
#include <chrono>
#include <map>

using namespace acaciahill;
using namespace acaciahill::testing;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr int kTargets = 3;
constexpr int kTaskMs = 300;
/// 24 slots, of which the failing VM wastes a third; three rounds of
/// announcements for each task and the wait after a first failure of 5 s.
constexpr Millis kJobLimit{ 60000 };
constexpr Millis kCancelLimit{ 20000 };

HttpOutcome
PutJob(Cluster& aCluster, const std::string& aJob, int aTasks, int aMilliCores)
{
  return aCluster.AdminPost("n1",
                            "/v1/commands",
                            { { "request_id", "put-" + aJob },
                              { "type", "put_job" },
                              { "job",
                                { { "id", aJob },
                                  { "pool", "rota" },
                                  { "team", "kesar" },
                                  { "tasks", aTasks },
                                  { "milli_cores", aMilliCores },
                                  { "memory_mb", 512 },
                                  { "slots", 1 } } } });
}

void
RequireJob(Cluster& aCluster, const std::string& aJob, int aTasks)
{
  const auto put = PutJob(aCluster, aJob, aTasks, 1000);
  INFO(put.answer_.body_);
  REQUIRE(put.answer_.status_ == 200);
}

/// The number of a job's tasks by phase.
std::map<std::string, int>
PhasesOf(const Cluster& aCluster, const std::string& aJob)
{
  std::map<std::string, int> phases;
  for (const auto& task : aCluster.AdminGet("n1", "/v1/tasks")) {
    if (task.value("job", "").rfind(aJob, 0) == 0) {
      ++phases[task.value("phase", "")];
    }
  }
  return phases;
}

void
ProveFailingVm(Cluster& aCluster)
{
  aCluster.ControlTarget("vm-1", { { "task_mode", "fail" } });
  RequireJob(aCluster, "steady", 40);
  aCluster.Require("all tasks of the job completed", kJobLimit, [&] {
    return PhasesOf(aCluster, "steady")["completed"] == 40;
  });
  aCluster.ControlTarget("vm-1", { { "task_mode", "ok" } });
}

void
ProveCancelling(Cluster& aCluster)
{
  for (int i = 0; i < kTargets; ++i) {
    aCluster.ControlTarget(TargetName(i + 1), { { "task_ms", 600000 } });
  }
  for (int i = 0; i < 10; ++i) {
    RequireJob(aCluster, "wave-" + std::to_string(i), 10);
  }
  aCluster.Require("tasks run", kCancelLimit, [&] {
    return PhasesOf(aCluster, "wave-")["running"] > 10;
  });
  for (int i = 0; i < 10; ++i) {
    const auto job = "wave-" + std::to_string(i);
    const auto cancelled = aCluster.AdminPost("n1",
                                              "/v1/commands",
                                              { { "request_id", "end-" + job },
                                                { "type", "cancel_job" },
                                                { "job", job } });
    CHECK(cancelled.answer_.status_ == 200);
  }
  aCluster.Require("all tasks ended", kCancelLimit, [&] {
    const auto phases = PhasesOf(aCluster, "wave-");
    return phases.empty() ||
           (phases.size() == 1 && phases.count("completed") == 1);
  });
}

} // namespace

// Guards jobs against a VM that fails every task and takes the whole queue, a
// task that waits for ever as it fits nowhere, and cancelled tasks that stay.
TEST_CASE("jobs end in spite of a failing VM, and cancelled ones go")
{
  Cluster cluster({});
  StartSystem(cluster, "rota,100,3,1,1\n", kTargets, false, 5);
  for (int i = 1; i <= kTargets; ++i) {
    cluster.ControlTarget(TargetName(i), { { "task_ms", kTaskMs } });
  }
  const auto large = PutJob(cluster, "large", 1, 64000);
  INFO(large.answer_.body_);
  CHECK(large.answer_.status_ == 422);
  CHECK(large.answer_.body_.find("never_fits") != std::string::npos);
  ProveFailingVm(cluster);
  ProveCancelling(cluster);
}
