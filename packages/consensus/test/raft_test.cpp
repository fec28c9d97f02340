#include "consensus/test/raft_network_base.h"

#include <catch2/catch.hpp>

using namespace acaciahill;
using namespace acaciahill::test;
using namespace std::chrono_literals;

// Guards against a group that elects no leader or commits nothing.
TEST_CASE("a group elects a leader, replicates and commits")
{
  const int voters = GENERATE(1, 2, 3, 5);
  RaftNetwork net(1, voters);
  REQUIRE_FALSE(net.WaitForLeader().empty());
  const auto index = net.Propose("a");
  CHECK(net.RunUntil([&] { return net.Committed() == index; }));
  CHECK(net.RunUntil([&] { return net.IsSettled(); }));
  CHECK(net.CommittedEntries().back().data_ == "a");
}
