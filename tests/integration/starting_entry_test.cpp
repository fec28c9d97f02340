#include "support/cluster_fixture.h"

#include <catch2/catch.hpp>

#include <fstream>

using namespace acaciahill;
using namespace acaciahill::testing;

namespace {

constexpr Millis kStartLimit{ 20000 };

HttpOutcome
Ask(const Cluster& aCluster, const std::string& aNode, const std::string& aPool)
{
  return aCluster.Request(aNode, { "GET", "/pools/" + aPool + "/x", {}, "" });
}

} // namespace

// Load: an entry VM that starts, and one that serves, while no voter runs.
// Guards against the answer 404 for a pool that exists, or may exist, which
// callers do not ask again (issues 21, 60).
TEST_CASE("an entry that cannot know all pools does not deny one")
{
  ClusterSettings settings;
  settings.nodes_ = 5;
  Cluster cluster(settings);
  cluster.StartAll();
  cluster.WaitReady(kStartLimit);
  const auto path = cluster.Folder() + "/pools.csv";
  std::ofstream(path) << "# version: 0\npool,size\nrota,1\n";
  REQUIRE(cluster.RunClient({ "apply", path, "--wait" }).exitCode_ == 0);
  ClusterTarget target;
  target.announceTo_ = { "n4", "n5" };
  cluster.StartTarget(target);
  cluster.WaitUsable("n4", 1, kStartLimit);
  CHECK(Ask(cluster, "n4", "rota").answer_.status_ == 200);
  CHECK(Ask(cluster, "n4", "none").answer_.status_ == 404);

  cluster.Node("n5").process_->Kill();
  std::vector<std::string> voters;
  for (const auto& node : cluster.NodeIds()) {
    if (cluster.Node(node).voter_) {
      voters.push_back(node);
      cluster.Node(node).process_->Kill();
    }
  }
  REQUIRE(voters.size() == 3);
  cluster.StartNode("n5");
  cluster.Require("an answer of the entry without a table", kStartLimit, [&] {
    return Ask(cluster, "n5", "rota").Answered();
  });
  const auto starting = Ask(cluster, "n5", "rota");
  INFO(starting.answer_.body_);
  CHECK(starting.answer_.status_ == 503);
  CHECK(starting.answer_.body_.find("control_unreachable") !=
        std::string::npos);
  cluster.Require(
    "the serving entry knows that it is cut off", kStartLimit, [&] {
      return Ask(cluster, "n4", "none").answer_.status_ == 503;
    });
  CHECK(Ask(cluster, "n4", "rota").answer_.status_ == 200);

  for (const auto& node : voters) {
    cluster.StartNode(node);
  }
  cluster.WaitUsable("n5", 1, kStartLimit);
  CHECK(Ask(cluster, "n5", "rota").answer_.status_ == 200);
  cluster.Require("a table that is current again", kStartLimit, [&] {
    return Ask(cluster, "n5", "none").answer_.status_ == 404;
  });
}
