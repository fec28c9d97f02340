#include "daemon/leader_finder_base.h"

#include "http/async_listener_base.h"
#include "kernel/address_func.h"
#include "support/process_harness.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace acaciahill;
using namespace std::chrono_literals;

namespace {

const std::vector<std::string> kNodes{ "127.0.0.1", "127.0.0.2", "127.0.0.3" };

/// A control group of three nodes that can be made to hang.
struct FakeGroup
{
  FakeGroup()
    : client_(context_)
  {
    for (const auto& node : kNodes) {
      listeners_.push_back(std::make_unique<AsyncListener>(
        context_,
        [this, node](const HttpRequest&, AsyncListener::Answer aAnswer) {
          if (hanging_.contains(node)) {
            open_.push_back(std::move(aAnswer));
            return;
          }
          HttpAnswer answer;
          answer.status_ = 200;
          answer.body_ = EncodeGroupInfo({ reportedLeader_, kNodes });
          aAnswer(std::move(answer));
        },
        HttpLimits{ 16384, 65536 }));
      REQUIRE(IsOk(listeners_.back()->Start(JoinAddress(node, port_))));
    }
  }

  boost::asio::io_context context_;
  AsyncClient client_;
  std::vector<std::unique_ptr<AsyncListener>> listeners_;
  std::vector<AsyncListener::Answer> open_;
  const std::string port_{ std::to_string(testing::FreePort()) };
  /// The leader that all nodes report.
  std::string reportedLeader_;
  std::set<std::string> hanging_;
};

} // namespace

// Guards against requests that return to a hanging leader: its followers report
// it as leader until they have elected another one.
TEST_CASE("a node that others name leads only once it says so itself")
{
  FakeGroup group;
  group.reportedLeader_ = kNodes[0];
  LeaderFinder finder(group.context_, group.client_, kNodes, group.port_);
  finder.Start();
  const auto runUntil = [&group](const auto& aCondition) {
    for (int step = 0; step < 1000 && !aCondition(); ++step) {
      group.context_.run_for(10ms);
      group.context_.restart();
    }
    return aCondition();
  };
  REQUIRE(runUntil([&] { return finder.Leader() == kNodes[0]; }));

  group.hanging_.insert(kNodes[0]);
  REQUIRE(runUntil([&] { return finder.Leader().empty(); }));
  for (int step = 0; step < 60; ++step) {
    group.context_.run_for(10ms);
    group.context_.restart();
    CHECK(finder.Leader().empty());
  }
  group.reportedLeader_ = kNodes[1];
  CHECK(runUntil([&] { return finder.Leader() == kNodes[1]; }));
}
