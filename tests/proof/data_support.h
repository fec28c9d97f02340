#pragma once

#include "support/cluster_fixture.h"
#include "support/history.h"
#include "support/load_generator.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <string>
#include <vector>

namespace acaciahill::testing {

/// An election takes 2 to 4 s; the rest is left to a busy machine.
constexpr Millis kStartLimit{ 30000 };

/// What Describe() gives without a violation. A comparison with it shows the
/// violations in the test's output.
inline const std::string kNone;

inline std::string
TargetName(int aNumber)
{
  return "vm-" + std::to_string(aNumber);
}

/// Starts vm-1, vm-2, ... in the zones z1 to z3 in turn, each in a rack of its
/// own. Without names of nodes they announce to the nodes of their zone. Every
/// other target names the request in its answers, so that the connections to
/// it are reused.
inline void
StartTargets(Cluster& aCluster,
             int aCount,
             bool aProxy,
             int aServiceMs,
             const std::vector<std::string>& aAnnounceTo = {})
{
  for (int i = 1; i <= aCount; ++i) {
    ClusterTarget target;
    target.id_ = TargetName(i);
    target.zone_ = "z" + std::to_string((i - 1) % 3 + 1);
    target.rack_ = "r" + std::to_string(i);
    target.announceTo_ = aAnnounceTo;
    target.proxy_ = aProxy;
    target.arguments_ = {
      "--seed", std::to_string(i), "--service-ms", std::to_string(aServiceMs)
    };
    if (i % 2 == 0) {
      target.arguments_.emplace_back("--echo-request-id");
    }
    aCluster.StartTarget(target);
  }
}

/// Runs acaciahill and requires that it succeeds.
inline void
RequireClient(const Cluster& aCluster, const std::vector<std::string>& aWords)
{
  const auto run = aCluster.RunClient(aWords);
  INFO(aWords[0] << ": " << run.output_);
  REQUIRE(run.exitCode_ == 0);
}

/// Submits a job of the pool rota. The fields replace those of the default job.
inline HttpOutcome
PutJob(const Cluster& aCluster,
       const std::string& aJob,
       int aTasks,
       const nlohmann::json& aFields = nlohmann::json::object())
{
  nlohmann::json job = { { "id", aJob },          { "pool", "rota" },
                         { "team", "kesar" },     { "tasks", aTasks },
                         { "milli_cores", 1000 }, { "memory_mb", 512 },
                         { "slots", 1 } };
  job.update(aFields);
  return aCluster.AdminPost(
    "n1",
    "/v1/commands",
    { { "request_id", "put-" + aJob }, { "type", "put_job" }, { "job", job } });
}

/// Starts the nodes, applies a table with these rows (pool, weight, size,
/// min_available, max_unavailable), starts the targets and waits until every
/// node may use all of them. With aAvoidLeader all targets announce themselves
/// to one node that does not lead at the start.
inline void
StartSystem(Cluster& aCluster,
            const std::string& aRows,
            int aTargets,
            bool aProxy,
            int aServiceMs,
            const std::vector<std::string>& aAnnounceTo = {},
            bool aAvoidLeader = false)
{
  aCluster.StartAll();
  aCluster.WaitReady(kStartLimit);
  const auto path = aCluster.Folder() + "/pools.csv";
  std::ofstream(path) << "# version: 0\n"
                         "pool,weight,size,min_available,max_unavailable\n"
                      << aRows;
  const auto applied = aCluster.RunClient({ "apply", path, "--wait" });
  INFO(applied.output_);
  REQUIRE(applied.exitCode_ == 0);
  auto announceTo = aAnnounceTo;
  if (aAvoidLeader) {
    announceTo = aCluster.NodeIds();
    std::erase(announceTo, aCluster.Leader());
    announceTo.resize(1);
  }
  StartTargets(aCluster, aTargets, aProxy, aServiceMs, announceTo);
  for (const auto& node : aCluster.NodeIds()) {
    aCluster.WaitUsable(node, static_cast<std::size_t>(aTargets), kStartLimit);
  }
}

/// The promises to callers, which hold under every failure.
inline void
CheckCallers(const std::vector<Operation>& aOperations,
             const std::vector<ExecutedRun>& aRuns)
{
  CHECK(Describe(CheckOwnAnswers(aOperations)) == kNone);
  CHECK(Describe(CheckNotRun(aOperations, aRuns)) == kNone);
  CHECK(Describe(CheckAtMostOnce(aOperations, aRuns)) == kNone);
}

} // namespace acaciahill::testing
