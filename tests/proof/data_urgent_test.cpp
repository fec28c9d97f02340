#include "proof/data_support.h"

#include <algorithm>
#include <chrono>
#include <iostream>
#include <thread>

using namespace acaciahill;
using namespace acaciahill::testing;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr int kTargets = 3;
constexpr int kTaskMs = 300;
/// Enough that orders are given at every moment between two announcements.
constexpr int kUrgentJobs = 15;
constexpr int kUrgentBeside = 5;
/// More than all slots can work off during the test.
constexpr int kQueue = 2000;
constexpr Millis kBeginLimit{ 30000 };
/// Design target: urgent work starts within this time.
constexpr std::uint64_t kUrgentLimitMs = 1700;
/// Longer than the 10 s in which targets announce often after a change.
constexpr Millis kIdleTime{ 11000 };

/// True when a target has begun a task of a job.
bool
HasStarted(const Cluster& aCluster, const std::string& aJob)
{
  for (const auto& task : aCluster.AdminGet("n1", "/v1/tasks")) {
    const auto vm = task.value("vm", "");
    if (task.value("job", "") == aJob && !vm.empty() &&
        aCluster.TargetStatus(vm)["tasks"].contains(task.value("id", ""))) {
      return true;
    }
  }
  return false;
}

HttpOutcome
EndJob(Cluster& aCluster, const std::string& aJob)
{
  return aCluster.AdminPost("n1",
                            "/v1/commands",
                            { { "request_id", "end-" + aJob },
                              { "type", "cancel_job" },
                              { "job", aJob } });
}

/// The number of a job's tasks in a phase.
std::size_t
CountTasks(const Cluster& aCluster,
           const std::string& aJob,
           const std::string& aPhase)
{
  const auto tasks = aCluster.AdminGet("n1", "/v1/tasks");
  return static_cast<std::size_t>(
    std::count_if(tasks.begin(), tasks.end(), [&](const json& aTask) {
      return aTask.value("job", "") == aJob &&
             aTask.value("phase", "") == aPhase;
    }));
}

std::uint64_t
BeginTimeMs(Cluster& aCluster, const std::string& aJob)
{
  const auto put = PutJob(aCluster, aJob, 1, { { "urgent", true } });
  INFO(put.answer_.body_);
  REQUIRE(put.answer_.status_ == 200);
  const auto begin = MonotonicNs();
  aCluster.Require("the urgent task began", kBeginLimit, [&] {
    return HasStarted(aCluster, aJob);
  });
  return (MonotonicNs() - begin) / 1000000;
}

} // namespace

// Guards the start of urgent work on VMs that have room and have had no change
// for a while.
TEST_CASE("urgent work starts in time on idle VMs")
{
  Cluster cluster({});
  StartSystem(cluster, "rota,100,3,1,1\n", kTargets, false, 5);
  for (int i = 1; i <= kTargets; ++i) {
    cluster.ControlTarget(TargetName(i), { { "task_ms", kTaskMs } });
  }
  std::this_thread::sleep_for(kIdleTime);
  for (int i = 0; i < kUrgentJobs; ++i) {
    const auto tookMs = BeginTimeMs(cluster, "urgent-" + std::to_string(i));
    std::cout << "urgent: job " << i << " began after " << tookMs << " ms\n";
    CHECK(tookMs <= kUrgentLimitMs);
  }
}

// Guards the start of urgent work against a queue of other work that fills
// every slot but the share kept for urgent tasks, 5% (PlacementLimits): one
// slot of 24. Each urgent task ends before the next one comes.
TEST_CASE("urgent work starts in time beside a full queue")
{
  const auto taskMs = GENERATE(as<int>{}, kTaskMs, 600000);
  Cluster cluster({});
  StartSystem(cluster, "rota,100,3,1,1\n", kTargets, false, 5);
  for (int i = 1; i <= kTargets; ++i) {
    cluster.ControlTarget(TargetName(i), { { "task_ms", taskMs } });
  }
  REQUIRE(PutJob(cluster, "fill", kQueue).answer_.status_ == 200);
  std::this_thread::sleep_for(kIdleTime);
  for (int i = 0; i < kUrgentBeside; ++i) {
    const auto job = "urgent-" + std::to_string(i);
    CHECK(CountTasks(cluster, "fill", "waiting") > 0);
    const auto tookMs = BeginTimeMs(cluster, job);
    std::cout << "urgent beside tasks of " << taskMs << " ms: job " << i
              << " began after " << tookMs << " ms\n";
    CHECK(tookMs <= kUrgentLimitMs);
    if (taskMs > kTaskMs) {
      REQUIRE(EndJob(cluster, job).answer_.status_ == 200);
    }
    cluster.Require("the urgent task ended", kBeginLimit, [&] {
      return CountTasks(cluster, job, "completed") == 1;
    });
  }
}
