#include "planner_world.h"

#include <catch2/catch.hpp>

using namespace acaciahill;
using namespace acaciahill::test;
using namespace std::chrono_literals;

namespace {

World
MakeWorld(std::uint64_t aSeed, PoolRow aRow)
{
  World world(aSeed);
  world.AddPool(std::move(aRow));
  world.AddPool(MakeRow("b", 10, 4, 3));
  world.AddPool(MakeRow("spare", 8, 0, 3, true));
  world.Run(15s);
  return world;
}

bool
HasSizes(const World& aWorld, std::int64_t aA, std::int64_t aB)
{
  return aWorld.MembersOf("a") == aA && aWorld.MembersOf("b") == aB;
}

} // namespace

// Guards against a pool that stays too small or too large, and against further
// moves after it has reached its size.
TEST_CASE("pools reach their wanted size and stay there")
{
  const std::int64_t size = GENERATE(7, 8, 10, 12, 14);
  auto world = MakeWorld(5, MakeRow("a", 10, 3, 3));
  world.SetCell("a", "size", std::to_string(size));
  CHECK(world.RunUntil([&] { return HasSizes(world, size, 10); }, 120s));
  world.Run(600s);
  CHECK(HasSizes(world, size, 10));
  CHECK(world.applied_["begin"] == std::abs(size - 10));
  CHECK(world.applied_["abort"] == 0);
  CHECK(world.refused_ == 0);
  CHECK_THAT(world.violations_, Catch::Equals(std::vector<std::string>{}));
}

// Guards against moves for bursts that end before the drain does, and against
// bursts that borrow no VMs although the prices justify it.
TEST_CASE("prices decide whether a burst borrows VMs")
{
  struct Row
  {
    const char* name_;
    std::int64_t holdPrice_;
    std::int64_t movePrice_;
    Millis burst_;
    bool moves_;
  };
  const auto row =
    GENERATE(Row{ "seconds, default prices", 1, 1, 8s, false },
             Row{ "a minute, default prices", 1, 1, 60s, false },
             Row{ "ten minutes, default prices", 1, 1, 600s, true },
             Row{ "seconds, moves cost nothing", 1, 0, 5s, false },
             Row{ "ten minutes, moves are expensive", 1, 10, 600s, false },
             Row{ "seconds, holding is expensive", 10, 1, 8s, false },
             Row{ "two minutes, holding is expensive", 10, 1, 120s, true },
             Row{ "ten minutes, both are expensive", 100, 1000, 600s, false });
  INFO(row.name_);
  auto wanted = MakeRow("a", 10, 3, 3);
  wanted.holdPrice_ = row.holdPrice_;
  wanted.movePrice_ = row.movePrice_;
  auto world = MakeWorld(5, wanted);
  world.loads_["a"] = { 80, 30, 0 };
  world.Run(row.burst_);
  world.loads_["a"] = { 4, 0, 0 };
  CHECK((world.applied_["begin"] > 0) == row.moves_);
  CHECK(world.MembersOf("a") == (row.moves_ ? 14 : 10));
  world.Run(3600s);
  // At equal prices each of the four VMs is idle for an hour before its return.
  CHECK(world.RunUntil([&] { return HasSizes(world, 10, 10); }, 4h));
  CHECK(world.applied_["begin"] == (row.moves_ ? 8 : 0));
  CHECK_THAT(world.violations_, Catch::Equals(std::vector<std::string>{}));
}

// Guards against pools concentrated in one zone: the pool has 4, 4 and 2 VMs in
// its zones and the spare pool 4 in each.
TEST_CASE("moves keep the zones balanced")
{
  World world(5);
  world.AddPool(MakeRow("a", 10, 3, 3));
  world.AddPool(MakeRow("spare", 12, 0, 3, true));
  world.Run(15s);
  world.SetCell("a", "size", "12");
  REQUIRE(world.RunUntil([&] { return world.MembersOf("a") == 12; }, 120s));
  std::map<std::string, int> zones;
  for (const auto& id : world.VmsOf("a")) {
    ++zones[world.vms_.at(id).identity_.zone_];
  }
  for (const auto& [zone, count] : zones) {
    INFO(zone);
    CHECK(count == 4);
  }
}

// Guards against moves begun or aborted by a new leader that has no evidence of
// the VMs yet.
TEST_CASE("a new leader without evidence begins and aborts no move")
{
  auto world = MakeWorld(5, MakeRow("a", 10, 3, 3));
  for (auto& [id, vm] : world.vms_) {
    vm.running_ = 1;
    vm.neverFinishes_ = true;
  }
  world.SetCell("a", "size", "11");
  REQUIRE(world.RunUntil([&] { return world.applied_["begin"] == 1; }, 30s));
  for (int i = 0; i < 5; ++i) {
    world.RestartPlanners();
    world.noEvidenceUntil_ = world.now_ + 6s;
    world.Run(15s);
  }
  CHECK(world.applied_["begin"] == 1);
  CHECK(world.applied_["abort"] == 0);
}

// Guards against a pool that takes all spare VMs in the first seconds of its
// burst, because its queue would fill all of them, and leaves none for the next
// pool. At these prices borrowing a VM needs 12 s of overload, so a burst of
// 30 s borrows two VMs.
TEST_CASE("a burst borrows VMs one at a time")
{
  auto wanted = MakeRow("a", 10, 3, 3);
  wanted.holdPrice_ = 10;
  auto world = MakeWorld(5, wanted);
  world.loads_["a"] = { 80, 500, 20 };
  world.Run(30s);
  world.loads_["a"] = { 4, 0, 0 };
  world.Run(30s);
  CHECK(world.applied_["begin"] == 2);
  CHECK(world.MembersOf("a") == 12);
}

// Guards against returning VMs in a pause between two bursts that costs less
// than moving them twice: at these prices a VM may be idle for 36 s.
TEST_CASE("borrowed VMs stay through a short pause")
{
  auto wanted = MakeRow("a", 10, 3, 3);
  wanted.holdPrice_ = 100;
  auto world = MakeWorld(5, wanted);
  for (int i = 0; i < 3; ++i) {
    world.loads_["a"] = { 80, 30, 0 };
    world.Run(300s);
    CHECK(HasSizes(world, 14, 10));
    world.loads_["a"] = { 4, 0, 0 };
    world.Run(25s);
  }
  CHECK(world.applied_["begin"] == 4);
}

// Guards against moves for bursts that alternate between the pools: a few
// seconds of five times the mean load in one pool at a time.
TEST_CASE("rotating bursts of several seconds cause no moves")
{
  auto world = MakeWorld(5, MakeRow("a", 10, 3, 3));
  for (int i = 0; i < 100; ++i) {
    const bool isFirst = i % 2 == 0;
    world.loads_["a"] = isFirst ? PoolLoad{ 80, 100, 20 } : PoolLoad{ 2, 0, 0 };
    world.loads_["b"] = isFirst ? PoolLoad{ 2, 0, 0 } : PoolLoad{ 80, 100, 20 };
    world.Run(7s);
  }
  CHECK(world.applied_["begin"] == 0);
}

// Guards against a move that continues when its pool no longer needs a VM, and
// against one into or out of a zone out of contact.
TEST_CASE("a move whose reason is gone is aborted")
{
  const auto cut = GENERATE(false, true);
  auto world = MakeWorld(5, MakeRow("a", 10, 3, 3));
  for (auto& [id, vm] : world.vms_) {
    vm.running_ = 1;
    vm.neverFinishes_ = true;
  }
  world.SetCell("a", "size", "11");
  REQUIRE(world.RunUntil([&] { return world.applied_["begin"] == 1; }, 30s));
  std::string zone;
  for (const auto& [id, vm] : world.fleet_.Vms()) {
    if (vm.phase_ == VmPhase::Draining) {
      zone = vm.identity_.zone_;
    }
  }
  if (cut) {
    world.CutZone(zone);
  } else {
    world.SetCell("a", "size", "10");
  }
  CHECK(world.RunUntil([&] { return world.applied_["abort"] == 1; }, 10s));
  world.Run(60s);
  for (const auto& [id, vm] : world.fleet_.Vms()) {
    CHECK(
      (vm.phase_ != VmPhase::Draining || (cut && vm.identity_.zone_ != zone)));
  }
}

// Guards against pools that do not converge, or VMs that move back and forth,
// after failures, changes of size, zones out of contact and new leaders.
TEST_CASE("moves converge after failures at any moment")
{
  const auto seed = GENERATE(range(1, 201));
  INFO("seed " << seed);
  auto world =
    MakeWorld(static_cast<std::uint64_t>(seed), MakeRow("a", 10, 3, 3));
  for (auto& [id, vm] : world.vms_) {
    vm.running_ = static_cast<std::uint32_t>(world.random_() % 4);
  }
  world.commandSteps_ = 1 + seed % 3;
  std::int64_t sizeA = 10;
  for (int i = 0; i < 300; ++i) {
    auto vm = world.vms_.begin();
    std::advance(vm, static_cast<long>(world.random_() % world.vms_.size()));
    const auto dice = world.random_() % 100;
    if (dice < 4) {
      sizeA = 8 + static_cast<std::int64_t>(world.random_() % 6);
      world.SetCell("a", "size", std::to_string(sizeA));
    } else if (dice == 4) {
      world.Kill(vm->first);
    } else if (dice == 5) {
      world.CutZone(vm->second.identity_.zone_);
    } else if (dice < 8) {
      world.cutZones_.clear();
    } else if (dice < 10) {
      world.RestartPlanners();
    } else if (dice == 10) {
      world.nodeUnreachable_ = !world.nodeUnreachable_;
    }
    world.Step();
  }
  world.cutZones_.clear();
  for (auto& [id, vm] : world.vms_) {
    if (!vm.alive_) {
      world.Revive(id);
    }
  }
  CHECK(world.RunUntil([&] { return HasSizes(world, sizeA, 10); }, 300s));
  world.Run(60s);
  const auto begun = world.applied_["begin"];
  world.Run(300s);
  CHECK(world.applied_["begin"] == begun);
  CHECK(HasSizes(world, sizeA, 10));
  CHECK_THAT(world.violations_, Catch::Equals(std::vector<std::string>{}));
}

// Guards against replacing a lost VM with one from a pool that then falls below
// its own size, and against not replacing it.
TEST_CASE("a lost VM is replaced from the spare pool and the surplus returns")
{
  auto world = MakeWorld(5, MakeRow("a", 10, 3, 3));
  const auto vm = world.VmsOf("a").front();
  world.Kill(vm);
  world.Run(120s);
  CHECK(HasSizes(world, 11, 10));
  world.Revive(vm);
  world.Run(120s);
  CHECK(HasSizes(world, 10, 10));
  world.Run(300s);
  CHECK(world.applied_["begin"] == 2);
}
