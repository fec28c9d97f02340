#include "support/cluster_fixture.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <map>
#include <sstream>
#include <string>
#include <thread>

using namespace acaciahill;
using namespace acaciahill::testing;
using namespace std::chrono_literals;

namespace {

constexpr Millis kStartLimit{ 20000 };
constexpr Millis kElectionLimit{ 10000 };
constexpr Millis kSample{ 8000 };
/// The design target: control takes at most 1.3% of a core on a node.
constexpr double kMostOfCore = 0.013;
/// The design target: control takes at most 6 KB a second on a node.
constexpr double kMostBytesPerSecond = 6000;

/// Sum of a node's series whose text starts so.
double
SumOf(const Cluster& aCluster, ClusterNode& aNode, const std::string& aStart)
{
  const auto outcome =
    HttpCall(aNode.admin_, { "GET", "/metrics", {}, "" }, Millis(5000));
  std::istringstream in(outcome.answer_.body_);
  bool isFound = false;
  double sum = 0;
  for (std::string line; std::getline(in, line);) {
    std::istringstream words(line);
    std::string name;
    double value = 0;
    if (words >> name >> value && name.rfind(aStart, 0) == 0) {
      isFound = true;
      sum += value;
    }
  }
  if (!isFound) {
    FAIL("no " << aStart << " from " << aNode.id_ << "\n"
               << aCluster.LogTails());
  }
  return sum;
}

/// Processor time that a node has used, in seconds.
double
ProcessorSeconds(const Cluster& aCluster, ClusterNode& aNode)
{
  return SumOf(aCluster, aNode, "acaciahill_process_cpu_seconds");
}

/// Requires that each of these nodes stays under the target while idle.
void
CheckIdleCost(Cluster& aCluster, const std::vector<std::string>& aNodes)
{
  std::vector<double> before;
  before.reserve(aNodes.size());
  for (const auto& node : aNodes) {
    before.push_back(ProcessorSeconds(aCluster, aCluster.Node(node)));
  }
  std::this_thread::sleep_for(kSample);
  const auto most =
    kMostOfCore * std::chrono::duration<double>(kSample).count();
  for (std::size_t i = 0; i < aNodes.size(); ++i) {
    INFO(aNodes[i] << " in " << kSample.count() << " ms");
    CHECK(ProcessorSeconds(aCluster, aCluster.Node(aNodes[i])) - before[i] <=
          most);
  }
}

/// Starts the nodes and waits until nothing is left to do.
void
StartIdle(Cluster& aCluster)
{
  aCluster.StartAll();
  aCluster.WaitReady(kStartLimit);
  aCluster.Require(
    "a leader", kElectionLimit, [&] { return !aCluster.Leader().empty(); });
  // Nodes register themselves within their first seconds.
  std::this_thread::sleep_for(3s);
}

} // namespace

// Guards against loops that spin while nothing happens, before and after an
// election; the entry that a new leader appends is no command and does not
// change the fleet's applied index.
TEST_CASE("an idle node stays under its processor target")
{
  Cluster cluster({});
  StartIdle(cluster);
  CheckIdleCost(cluster, cluster.NodeIds());

  const auto old = cluster.Leader();
  cluster.Node(old).process_->Kill();
  std::vector<std::string> left;
  for (const auto& node : cluster.NodeIds()) {
    if (node != old) {
      left.push_back(node);
    }
  }
  cluster.Require("another leader", kElectionLimit, [&] {
    const auto leader = cluster.Leader();
    return !leader.empty() && leader != old;
  });
  CheckIdleCost(cluster, left);
}

// Guards against messages between nodes that are not counted, and against a
// loop of small messages that a low processor time hides.
TEST_CASE("an idle node counts its control bytes and stays under their target")
{
  Cluster cluster({});
  StartIdle(cluster);
  const std::string name = "acaciahill_control_bytes_total";
  auto& leader = cluster.Node(cluster.Leader());
  for (const char* series : { "{rpc=\"raft\",direction=\"sent\"}",
                              "{rpc=\"raft\",direction=\"received\"}",
                              "{rpc=\"propose\",direction=\"sent\"}",
                              "{rpc=\"propose\",direction=\"received\"}" }) {
    CHECK(SumOf(cluster, leader, name + series) > 0);
  }
  std::map<std::string, double> before;
  for (const auto& id : cluster.NodeIds()) {
    auto& node = cluster.Node(id);
    if (!node.voter_) {
      CHECK(SumOf(cluster, node, name + "{rpc=\"pull\"") > 0);
    }
    before[id] = SumOf(cluster, node, name);
  }
  std::this_thread::sleep_for(kSample);
  const auto most =
    kMostBytesPerSecond * std::chrono::duration<double>(kSample).count();
  for (const auto& [id, bytes] : before) {
    const auto after = SumOf(cluster, cluster.Node(id), name);
    INFO(id << " " << after - bytes << " bytes in " << kSample.count()
            << " ms");
    CHECK(after > bytes);
    CHECK(after - bytes <= most);
  }
}
