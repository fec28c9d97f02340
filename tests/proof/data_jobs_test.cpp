#include "proof/data_support.h"

#include <algorithm>
#include <chrono>
#include <iostream>
#include <map>
#include <set>
#include <thread>

using namespace acaciahill;
using namespace acaciahill::testing;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr int kTargets = 3;
constexpr int kTaskMs = 300;
/// Tasks that VMs are given while one of them fails all of its own.
constexpr int kQueue = 80;
/// Until the first failure is reported, the failing VM may have a task in each
/// of its 8 slots; then one at a time, and with 3 failures of 2 jobs none for
/// 60 s, the first back-off (vm_health.cpp). One probe may fall into the test.
constexpr std::size_t kFailingVmShare = 8 + 1;
constexpr std::int64_t kVmCores = 16;
/// What a task really uses, and how many times the declared size that is.
constexpr std::int64_t kRealCores = 8;
constexpr int kSizeError = 10;
constexpr Millis kLongTask{ 15000 };
/// The size of a job is known after its tasks have run for the warm-up of 8 s
/// (PlacementLimits) and digests have passed on a report, every 10 s, of an
/// announcement, every 2 s. Tasks placed until then stay to their end, which is
/// seen with another announcement. 3 s are for commands and orders.
constexpr Millis kOverloadLimit =
  8000ms + 10000ms + 2000ms + kLongTask + 2000ms + 3000ms;
/// Longer than the 10 s in which targets announce often after a change.
constexpr Millis kIdleTime{ 11000 };
/// Another batch of tasks begins in it.
constexpr Millis kWatchTime{ 16000 };
/// 24 slots, of which the failing VM wastes a third; three rounds of
/// announcements for each task and the wait after a first failure of 5 s.
constexpr Millis kJobLimit{ 60000 };
constexpr Millis kCancelLimit{ 20000 };

void
RequireJob(Cluster& aCluster,
           const std::string& aJob,
           int aTasks,
           const std::string& aTeam = "kesar")
{
  const auto put = PutJob(aCluster, aJob, aTasks, { { "team", aTeam } });
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
  // One job is no witness against a VM, so the jobs of two teams take turns.
  RequireJob(aCluster, "steady-1", kQueue / 2, "kesar");
  RequireJob(aCluster, "steady-2", kQueue / 2, "setu");
  std::set<std::string> taken;
  aCluster.Require("all tasks of the jobs completed", kJobLimit, [&] {
    const auto tasks = aCluster.TargetStatus("vm-1")["tasks"];
    for (const auto& task : tasks.items()) {
      taken.insert(task.key());
    }
    return PhasesOf(aCluster, "steady-")["completed"] == kQueue;
  });
  std::cout << "failing VM: took " << taken.size() << " of " << kQueue
            << " tasks\n";
  CHECK_FALSE(taken.empty());
  CHECK(taken.size() <= kFailingVmShare);
  aCluster.ControlTarget("vm-1", { { "task_mode", "ok" } });
}

/// Processors in use by tasks at a VM.
std::int64_t
CoresInUse(const Cluster& aCluster, const std::string& aVm)
{
  const auto tasks = aCluster.TargetStatus(aVm)["tasks"];
  return kRealCores * std::count(tasks.begin(), tasks.end(), json("running"));
}

void
ProveWrongSizes(Cluster& aCluster)
{
  for (int i = 1; i <= kTargets; ++i) {
    aCluster.ControlTarget(TargetName(i),
                           { { "task_mode", "wrong_size" },
                             { "size_factor", kSizeError },
                             { "task_ms", kLongTask.count() } });
  }
  REQUIRE(PutJob(aCluster,
                 "small",
                 200,
                 { { "milli_cores", kRealCores * 1000 / kSizeError } })
            .answer_.status_ == 200);
  const auto begin = MonotonicNs();
  Millis age{ 0 };
  Millis overloadedUntil{ 0 };
  std::set<std::string> used;
  while (age < kOverloadLimit + kWatchTime) {
    age = Millis((MonotonicNs() - begin) / 1000000);
    for (int i = 1; i <= kTargets; ++i) {
      const auto cores = CoresInUse(aCluster, TargetName(i));
      overloadedUntil = cores > kVmCores ? age : overloadedUntil;
      if (age > kOverloadLimit && cores > 0) {
        used.insert(TargetName(i));
      }
    }
    std::this_thread::sleep_for(200ms);
  }
  std::cout << "wrong sizes: overloaded until " << overloadedUntil.count()
            << " ms\n";
  CHECK(overloadedUntil > Millis{ 0 });
  CHECK(overloadedUntil <= kOverloadLimit);
  CHECK(used.size() == kTargets);
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
  const auto large = PutJob(cluster, "large", 1, { { "milli_cores", 64000 } });
  INFO(large.answer_.body_);
  CHECK(large.answer_.status_ == 422);
  CHECK(large.answer_.body_.find("never_fits") != std::string::npos);
  ProveFailingVm(cluster);
  ProveCancelling(cluster);
}

// Guards against VMs that stay overloaded as tasks are larger than declared.
// The leader hears of these tasks through other nodes only, so less often.
TEST_CASE("tasks larger than declared overload VMs for a limited time")
{
  Cluster cluster({});
  StartSystem(cluster, "rota,100,3,1,1\n", kTargets, false, 5, {}, true);
  std::this_thread::sleep_for(kIdleTime);
  ProveWrongSizes(cluster);
}
