#include "support/cluster_fixture.h"

#include <catch2/catch.hpp>

#include <fstream>

using namespace acaciahill;
using namespace acaciahill::testing;
using nlohmann::json;

namespace {

constexpr Millis kStartLimit{ 20000 };
/// An election takes 2 to 4 s after a silence of as long.
constexpr Millis kElectionLimit{ 10000 };
constexpr Millis kReturnLimit{ 20000 };

void
StartWithTargets(Cluster& aCluster)
{
  aCluster.StartAll();
  aCluster.WaitReady(kStartLimit);
  const auto path = aCluster.Folder() + "/pools.csv";
  std::ofstream(path) << "# version: 0\npool,size\nrota,3\n";
  const auto applied = aCluster.RunClient({ "apply", path, "--wait" });
  INFO(applied.output_);
  REQUIRE(applied.exitCode_ == 0);
  for (int i = 1; i <= 3; ++i) {
    ClusterTarget target;
    target.id_ = "vm-" + std::to_string(i);
    target.zone_ = "z" + std::to_string(i);
    aCluster.StartTarget(target);
  }
  for (const auto& node : aCluster.NodeIds()) {
    aCluster.WaitUsable(node, 3, kStartLimit);
  }
}

void
RequireServed(const Cluster& aCluster, const std::string& aNode)
{
  const auto outcome =
    aCluster.Request(aNode, { "GET", "/pools/rota/x", {}, "" });
  INFO(aNode << ": " << outcome.answer_.status_ << " "
             << outcome.answer_.body_);
  CHECK(outcome.Answered());
  CHECK(outcome.answer_.status_ == 200);
}

} // namespace

// Guards against an isolated leader that goes on accepting changes, against a
// majority that cannot go on without it, and against a cut-off zone that serves
// nobody or does not catch up.
TEST_CASE("the leader's zone is cut off and returns")
{
  ClusterSettings settings;
  settings.nodes_ = 4;
  settings.proxies_ = PeerProxies::PerPair;
  Cluster cluster(settings);
  StartWithTargets(cluster);

  const auto cutNode = cluster.Leader();
  REQUIRE_FALSE(cutNode.empty());
  const auto zone = cluster.Node(cutNode).zone_;
  std::string otherNode;
  for (const auto& node : cluster.NodeIds()) {
    otherNode = cluster.Node(node).zone_ == zone ? otherNode : node;
  }
  cluster.CutZone(zone, true);
  cluster.Require(
    "the isolated leader knows that it is cut off", kElectionLimit, [&] {
      const auto nodes = cluster.AdminGet(cutNode, "/v1/nodes");
      return nodes.is_object() && nodes["stale"] == true;
    });
  cluster.Require("another leader", kElectionLimit, [&] {
    const auto nodes = cluster.AdminGet(otherNode, "/v1/nodes");
    const auto leader =
      nodes.is_object() ? nodes.value("leader", std::string()) : "";
    return !leader.empty() && cluster.Node(leader).zone_ != zone;
  });
  for (const auto& node : cluster.NodeIds()) {
    RequireServed(cluster, node);
  }

  const json change{ { "request_id", "cut-1" }, { "type", "set_cell" },
                     { "pool", "rota" },        { "column", "weight" },
                     { "value", "77" },         { "if_version", 1 } };
  const auto inside = cluster.AdminPost(cutNode, "/v1/commands", change);
  INFO(inside.answer_.body_);
  CHECK((!inside.Answered() || inside.answer_.status_ >= 400));
  const auto outside =
    cluster.RunClient({ "set", "rota", "weight", "88", "--if-version", "1" });
  INFO(outside.output_);
  REQUIRE(outside.exitCode_ == 0);

  cluster.CutZone(zone, false);
  cluster.WaitInForce(2, kReturnLimit);
  for (const auto& node : cluster.NodeIds()) {
    const auto table = cluster.AdminGet(node, "/v1/table");
    REQUIRE(table.is_object());
    CHECK(table["version"] == 2);
    CHECK(table["rows"][0]["weight"] == 88);
    RequireServed(cluster, node);
  }
}
