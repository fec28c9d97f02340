#include "support/cluster_fixture.h"

#include <catch2/catch.hpp>

#include <fstream>

using namespace acaciahill;
using namespace acaciahill::testing;
using nlohmann::json;

namespace {

// An election takes 2 to 4 s; the rest is left to a busy machine.
constexpr Millis kStartLimit{ 20000 };
constexpr Millis kUsableLimit{ 20000 };
constexpr Millis kReturnLimit{ 20000 };
constexpr Millis kRequestTimeout{ 5000 };
/// The design target: a change is in force everywhere within 4 s, in whole
/// seconds for the command line.
constexpr const char* kInForceSeconds = "4";

const char* const kTable = "# version: 0\n"
                           "pool,weight,size,min_available,max_unavailable\n"
                           "rota,100,4,2,1\n";

std::string
WriteTable(const Cluster& aCluster)
{
  auto path = aCluster.Folder() + "/pools.csv";
  std::ofstream(path) << kTable;
  return path;
}

void
StartTargets(Cluster& aCluster)
{
  const std::vector<std::string> zones{ "z1", "z2", "z3", "z1" };
  for (std::size_t i = 0; i < zones.size(); ++i) {
    ClusterTarget target;
    target.id_ = "vm-" + std::to_string(i + 1);
    target.zone_ = zones[i];
    target.rack_ = "r" + std::to_string(i + 1);
    target.arguments_ = { "--seed", std::to_string(i + 1) };
    aCluster.StartTarget(target);
  }
}

/// A request through a node, answered by a target with the request's nonce.
void
RequireAnswer(const Cluster& aCluster,
              const std::string& aNode,
              const std::string& aMethod)
{
  const auto nonce = aNode + "-" + aMethod;
  const auto outcome =
    aCluster.Request(aNode,
                     { aMethod,
                       "/pools/rota/hello",
                       { { "X-Nonce", nonce }, { "Acaciahill-Caller", "c1" } },
                       aMethod == "POST" ? "body" : "" },
                     kRequestTimeout);
  INFO(aMethod << " through " << aNode << ": " << ReadEndName(outcome.end_)
               << " " << outcome.answer_.status_ << " "
               << outcome.answer_.body_);
  REQUIRE(outcome.Answered());
  REQUIRE(outcome.answer_.status_ == 200);
  const auto body = json::parse(outcome.answer_.body_);
  CHECK(body["nonce"] == nonce);
  CHECK(body["pool"] == "rota");
  CHECK(body["checksum"] == BodyChecksum(aMethod == "POST" ? "body" : ""));
}

std::int64_t
WeightOn(const Cluster& aCluster, const std::string& aNode)
{
  const auto table = aCluster.AdminGet(aNode, "/v1/table");
  return table.is_object() && !table["rows"].empty()
           ? table["rows"][0].value("weight", std::int64_t{ -1 })
           : -1;
}

void
RequireSet(const Cluster& aCluster, const std::string& aWeight)
{
  const auto run = aCluster.RunClient({ "set",
                                        "rota",
                                        "weight",
                                        aWeight,
                                        "--wait",
                                        "--timeout",
                                        kInForceSeconds });
  INFO(run.output_);
  REQUIRE(run.exitCode_ == 0);
}

} // namespace

// Guards against a system whose parts work alone and not together: the table
// reaches all nodes, targets become usable, requests are answered through each
// entry, and a killed node catches up without help.
TEST_CASE("three nodes serve, follow the table and survive a kill")
{
  Cluster cluster({});
  cluster.StartAll();
  cluster.WaitReady(kStartLimit);
  const auto applied =
    cluster.RunClient({ "apply", WriteTable(cluster), "--wait" });
  INFO(applied.output_ << cluster.LogTails());
  REQUIRE(applied.exitCode_ == 0);
  StartTargets(cluster);
  for (const auto& node : cluster.NodeIds()) {
    cluster.WaitUsable(node, 4, kUsableLimit);
  }
  for (const auto& node : cluster.NodeIds()) {
    RequireAnswer(cluster, node, "GET");
    RequireAnswer(cluster, node, "POST");
  }

  RequireSet(cluster, "120");
  for (const auto& node : cluster.NodeIds()) {
    CHECK(WeightOn(cluster, node) == 120);
  }

  cluster.Node("n3").process_->Kill();
  const auto changed = cluster.RunClient({ "set", "rota", "weight", "130" });
  INFO(changed.output_);
  REQUIRE(changed.exitCode_ == 0);
  RequireAnswer(cluster, "n1", "GET");
  RequireAnswer(cluster, "n2", "POST");

  cluster.StartNode("n3");
  cluster.Require("the change on the returned node", kReturnLimit, [&] {
    return WeightOn(cluster, "n3") == 130;
  });
  cluster.WaitUsable("n3", 4, kUsableLimit);
  RequireAnswer(cluster, "n3", "GET");
  RequireAnswer(cluster, "n3", "POST");
  RequireSet(cluster, "140");
}
