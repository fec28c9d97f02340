#pragma once

#include "hostile/hostile_support.h"
#include "support/cluster_fixture.h"

#include <string>
#include <utility>
#include <vector>

namespace acaciahill::testing {

/// Memory of an entry VM.
inline constexpr std::size_t kEntryVmMegabytes = 160;

/// An entry node that is a voter of its own, with one target of the pool
/// "rota".
class RelayNode
{
public:
  using Lines = std::vector<std::pair<std::string, std::string>>;

  /// The lines are added to the sections of the node's settings; the arguments
  /// to those of the target.
  explicit RelayNode(const Lines& aLines = {},
                     std::vector<std::string> aTargetArguments = {})
    : cluster_(Settings(aLines))
  {
    cluster_.StartAll();
    cluster_.WaitReady(kStartTimeout);
    ClusterTarget target;
    target.arguments_ = std::move(aTargetArguments);
    cluster_.StartTarget(target);
    const auto path = cluster_.Folder() + "/pools.csv";
    std::ofstream(path) << "# version: 0\n"
                           "pool,weight,size,min_available,max_unavailable\n"
                           "rota,100,1,0,1\n";
    const auto applied = cluster_.RunClient({ "apply", path, "--wait" });
    INFO(applied.output_);
    REQUIRE(applied.exitCode_ == 0);
    REQUIRE(WaitUntil(kStartTimeout, [this] { return IsServing(); }));
  }

  Cluster& Nodes() { return cluster_; }
  ChildProcess& Process() { return *Node().process_; }

  /// The address of an interface by its name.
  std::string Door(const std::string& aName)
  {
    return aName == "callers"    ? Node().callers_
           : aName == "admin"    ? Node().admin_
           : aName == "announce" ? Node().announce_
                                 : Node().peers_;
  }

  /// Whether an ordinary caller's request is answered by the target.
  bool IsServing() const
  {
    const auto outcome = cluster_.Request(
      "n1", { "GET", "/pools/rota/x", {}, "" }, kAnswerTimeout);
    return outcome.Answered() && outcome.answer_.status_ == 200;
  }

  /// Whether an ordinary request to an interface is answered as it should be.
  bool IsAnswering(const std::string& aDoor)
  {
    if (aDoor == "callers") {
      return IsServing();
    }
    const auto outcome =
      aDoor == "admin"
        ? HttpCall(Door(aDoor), { "GET", "/healthz", {}, "" }, kAnswerTimeout)
        : HttpCall(Door("announce"),
                   { "POST", "/v1/announce", {}, "{}" },
                   kAnswerTimeout);
    // An announcement without an id is malformed.
    return outcome.Answered() &&
           outcome.answer_.status_ == (aDoor == "admin" ? 200 : 400);
  }

private:
  static ClusterSettings Settings(const Lines& aLines)
  {
    ClusterSettings settings;
    settings.nodes_ = 1;
    settings.zones_ = 1;
    settings.voters_ = 1;
    settings.platform_ = false;
    settings.extraLines_ = { { "timing", "heartbeat_ms = 100" },
                             { "timing", "election_min_ms = 400" },
                             { "timing", "election_max_ms = 800" } };
    settings.extraLines_.insert(
      settings.extraLines_.end(), aLines.begin(), aLines.end());
    return settings;
  }

  ClusterNode& Node() { return cluster_.Node("n1"); }

  Cluster cluster_;
};

} // namespace acaciahill::testing
