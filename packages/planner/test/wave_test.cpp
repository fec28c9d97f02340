#include "planner_world.h"

#include <catch2/catch.hpp>

using namespace acaciahill;
using namespace acaciahill::test;
using namespace std::chrono_literals;

namespace {

// Two pools and a spare pool, with requests running on every VM.
World
MakeWorld(std::uint64_t aSeed)
{
  World world(aSeed);
  world.AddPool(MakeRow("a", 12, 5, 3));
  world.AddPool(MakeRow("b", 10, 4, 2));
  world.AddPool(MakeRow("spare", 4, 0, 2, true));
  for (auto& [id, vm] : world.vms_) {
    vm.running_ = 3;
  }
  world.Run(15s);
  return world;
}

bool
IsDone(const World& aWorld)
{
  return aWorld.WaveOf("w").phase_ == WavePhase::Completed;
}

// The VMs of open permits are in one zone for each pool and in one rack for
// each zone.
bool
IsOneZoneAndRack(const World& aWorld)
{
  std::map<std::string, std::set<std::string>> zones;
  std::map<std::string, std::set<std::string>> racks;
  for (const auto& [id, permit] : aWorld.fleet_.Permits()) {
    const auto& vm = aWorld.fleet_.Vms().at(permit.vm_);
    if (vm.phase_ != VmPhase::Lost) {
      zones[vm.pool_].insert(vm.identity_.zone_);
      racks[vm.identity_.zone_].insert(vm.identity_.rack_);
    }
  }
  const auto isOne = [](const auto& aItem) { return aItem.second.size() <= 1; };
  return std::all_of(zones.begin(), zones.end(), isOne) &&
         std::all_of(racks.begin(), racks.end(), isOne);
}

} // namespace

// Guards against a wave that stops more VMs than its budget or width allows, or
// VMs in more than one rack of a zone, that stops a VM twice or never, or that
// repeats pending proposals.
TEST_CASE("a wave reboots every VM once within width and budget")
{
  const std::int64_t width = GENERATE(0, 1, 2);
  const int commandSteps = GENERATE(1, 4);
  auto world = MakeWorld(7);
  world.commandSteps_ = commandSteps;
  world.Apply(StartWave{ "w", {}, width });
  std::size_t widest = 0;
  const auto done = world.RunUntil(
    [&] {
      widest = std::max(widest, world.fleet_.Permits().size());
      CHECK(IsOneZoneAndRack(world));
      return IsDone(world);
    },
    3600s);
  CHECK(done);
  CHECK(world.reboots_ == 26);
  CHECK_THAT(world.violations_, Catch::Equals(std::vector<std::string>{}));
  CHECK(world.applied_["revoke"] == 0);
  CHECK((width == 0 ? widest > 2 : widest <= static_cast<std::size_t>(width)));
  // Repeated proposals would show as more or refused commands.
  CHECK(world.applied_["grant"] == 26);
  CHECK(world.applied_["confirm"] == 26);
  CHECK(world.refused_ == 0);
}

// Guards against exceeding the budget after failures in the middle of a wave, a
// second VM lost right after a repair, zones out of contact, frozen or
// restarted leaders, or any two of these at once; and against a wave that hangs
// afterwards.
TEST_CASE("a wave survives failures at any moment")
{
  const auto seed = GENERATE(range(1, 201));
  INFO("seed " << seed);
  auto world = MakeWorld(static_cast<std::uint64_t>(seed));
  world.commandSteps_ = 1 + seed % 3;
  world.Apply(StartWave{ "w", {}, 0 });
  std::vector<std::string> dead;
  for (int i = 0; i < 400 && !IsDone(world); ++i) {
    const auto dice = world.random_() % 200;
    auto vm = world.vms_.begin();
    std::advance(vm, static_cast<long>(world.random_() % world.vms_.size()));
    if (dice < 3) {
      world.Kill(vm->first);
      dead.push_back(vm->first);
    } else if (dice < 6 && !dead.empty()) {
      world.Revive(dead.back());
      dead.pop_back();
      // A second VM is lost just after a repair.
      world.Kill(vm->first);
      dead.push_back(vm->first);
    } else if (dice == 6) {
      world.KillRack(
        { vm->second.identity_.zone_, vm->second.identity_.rack_ });
    } else if (dice == 7) {
      world.CutZone(vm->second.identity_.zone_);
    } else if (dice == 8) {
      world.cutZones_.clear();
    } else if (dice < 12) {
      world.RestartPlanners();
    } else if (dice == 12) {
      world.Freeze(20s);
    } else if (dice == 13) {
      world.nodeUnreachable_ = !world.nodeUnreachable_;
    }
    world.Step();
    CHECK(IsOneZoneAndRack(world));
  }
  world.cutZones_.clear();
  for (auto& [id, vm] : world.vms_) {
    if (!vm.alive_ && vm.bootsAt_ == MonotonicTime{}) {
      world.Revive(id);
    }
  }
  CHECK(world.RunUntil([&] { return IsDone(world); }, 3600s));
  CHECK_THAT(world.violations_, Catch::Equals(std::vector<std::string>{}));
  CHECK(world.maxActionsPerStep_ <= 64);
}

// Guards against a wave that continues, or gives no reason, when the headroom
// is exhausted, and against one that never resumes.
TEST_CASE("a wave is held and resumes by itself")
{
  struct Row
  {
    const char* name_;
    bool rack_;
    const char* text_;
  };
  const auto row = GENERATE(Row{ "rack lost", true, "max_unavailable 3" },
                            Row{ "zone out of contact", false, "zone z1" });
  INFO(row.name_);
  World world(3);
  world.AddPool(MakeRow("a", 12, 5, 3));
  world.Run(15s);
  world.Apply(StartWave{ "w", {}, 0 });
  world.Run(10s);
  if (row.rack_) {
    world.KillRack({ "z1", "r1" });
  } else {
    world.CutZone("z1");
  }
  REQUIRE(world.RunUntil(
    [&] { return world.WaveOf("w").phase_ == WavePhase::Held; }, 30s));
  const auto reason = world.WaveOf("w").reason_;
  INFO(reason);
  CHECK(reason.find("pool a") != std::string::npos);
  CHECK(reason.find(row.text_) != std::string::npos);
  world.Run(120s);
  CHECK(world.WaveOf("w").phase_ == WavePhase::Held);
  const auto grants = world.applied_["grant"];
  world.cutZones_.clear();
  for (const auto& id : world.VmsOf("a")) {
    if (!world.vms_.at(id).alive_) {
      world.Revive(id);
    }
  }
  world.Run(8s);
  CHECK(world.WaveOf("w").phase_ == WavePhase::Held);
  CHECK(world.applied_["grant"] == grants);
  CHECK(world.RunUntil([&] { return IsDone(world); }, 3600s));
  CHECK_THAT(world.violations_, Catch::Equals(std::vector<std::string>{}));
}

// Guards against keeping VMs drained that are needed by a pool with failures.
TEST_CASE("permits that are not confirmed are revoked when the budget breaks")
{
  World world(3);
  world.AddPool(MakeRow("a", 12, 5, 3));
  for (auto& [id, vm] : world.vms_) {
    vm.running_ = 1;
    vm.neverFinishes_ = true;
  }
  world.Run(15s);
  world.Apply(StartWave{ "w", {}, 0 });
  world.Run(5s);
  REQUIRE(world.fleet_.Permits().size() == 3);
  const auto zone = world.fleet_.Vms()
                      .at(world.fleet_.Permits().begin()->second.vm_)
                      .identity_.zone_;
  world.KillRack(zone == "z0" ? RackKey{ "z1", "r1" } : RackKey{ "z0", "r0" });
  world.Run(10s);
  CHECK(world.fleet_.Permits().empty());
  CHECK(world.applied_["confirm"] == 0);
}

// Guards against cutting off requests with drain_action wait, against waiting
// forever with stop, and against stopping before the limit.
TEST_CASE("a drain that reaches its limit waits or stops by the table")
{
  const auto stops = GENERATE(false, true);
  World world(3);
  auto row = MakeRow("a", 12, 5, 1);
  row.drainLimitMs_ = 20000;
  row.drainAction_ = stops ? DrainAction::Stop : DrainAction::Wait;
  world.AddPool(row);
  for (auto& [id, vm] : world.vms_) {
    vm.running_ = 1;
    vm.neverFinishes_ = true;
  }
  world.Run(15s);
  world.Apply(StartWave{ "w", {}, 1 });
  world.Run(19s);
  CHECK(world.applied_["confirm"] == 0);
  world.Run(15s);
  CHECK(world.applied_["confirm"] == (stops ? 1 : 0));
  if (!stops) {
    CHECK(world.WaveOf("w").phase_ == WavePhase::Held);
    CHECK(world.WaveOf("w").reason_.find("drain_action is wait") !=
          std::string::npos);
    for (auto& [id, vm] : world.vms_) {
      vm.neverFinishes_ = false;
    }
    CHECK(world.RunUntil([&] { return IsDone(world); }, 3600s));
    CHECK_THAT(world.violations_, Catch::Equals(std::vector<std::string>{}));
  }
}

// Guards against VMs that are never maintained because each wave begins with
// the same VMs.
TEST_CASE("a wave begins with the VMs that were maintained longest ago")
{
  World world(3);
  world.AddPool(MakeRow("a", 12, 5, 3));
  world.Run(15s);
  world.Apply(StartWave{ "w", {}, 0 });
  REQUIRE(world.RunUntil([&] { return world.reboots_ >= 4; }, 600s));
  world.Apply(SetWavePhase{ "w", WavePhase::Cancelled, "test" });
  REQUIRE(world.RunUntil([&] { return world.fleet_.Permits().empty(); }, 600s));
  const auto first = world.reboots_;
  world.Apply(StartWave{ "w2", {}, 0 });
  REQUIRE(world.RunUntil([&] { return world.reboots_ >= 12; }, 600s));
  for (const auto& [id, vm] : world.vms_) {
    CHECK(vm.operations_.size() == 1);
  }
  CHECK(first < 12);
}

// Guards against stopping a VM that is out of contact because its drain limit
// has passed.
TEST_CASE("no stop is confirmed in a zone out of contact")
{
  World world(3);
  auto row = MakeRow("a", 12, 0, 12);
  row.drainLimitMs_ = 20000;
  row.drainAction_ = DrainAction::Stop;
  world.AddPool(row);
  for (auto& [id, vm] : world.vms_) {
    vm.running_ = 1;
    vm.neverFinishes_ = true;
  }
  world.Run(15s);
  world.Apply(StartWave{ "w", {}, 1 });
  world.Run(5s);
  REQUIRE(world.fleet_.Permits().size() == 1);
  const auto vm = world.fleet_.Permits().begin()->second.vm_;
  world.CutZone(world.vms_.at(vm).identity_.zone_);
  world.Run(60s);
  CHECK(world.applied_["confirm"] == 0);
  world.cutZones_.clear();
  world.Run(10s);
  CHECK(world.applied_["confirm"] == 1);
}

// Guards against revoked permits and held waves at each change of the leader,
// as a new leader has no evidence of the VMs at first.
TEST_CASE("a new leader without evidence revokes and holds nothing")
{
  World world(3);
  world.AddPool(MakeRow("a", 12, 5, 3));
  for (auto& [id, vm] : world.vms_) {
    vm.running_ = 1;
    vm.neverFinishes_ = true;
  }
  world.Run(15s);
  world.Apply(StartWave{ "w", {}, 0 });
  world.Run(5s);
  REQUIRE(world.fleet_.Permits().size() == 3);
  for (int i = 0; i < 5; ++i) {
    world.RestartPlanners();
    world.noEvidenceUntil_ = world.now_ + 6s;
    world.Run(15s);
  }
  CHECK(world.applied_["revoke"] == 0);
  CHECK(world.fleet_.Permits().size() == 3);
  CHECK(world.WaveOf("w").phase_ == WavePhase::Running);
}

// Guards against permits left open, and VMs left drained, after an operator has
// paused the wave.
TEST_CASE("a paused wave gives back what it has not confirmed")
{
  World world(3);
  world.AddPool(MakeRow("a", 12, 5, 2));
  for (auto& [id, vm] : world.vms_) {
    vm.running_ = 1;
    vm.neverFinishes_ = true;
  }
  world.Run(15s);
  world.Apply(StartWave{ "w", {}, 0 });
  world.Run(5s);
  world.Apply(SetWavePhase{ "w", WavePhase::Paused, "by the operator" });
  world.Run(60s);
  CHECK(world.fleet_.Permits().empty());
  CHECK(world.WaveOf("w").phase_ == WavePhase::Paused);
  world.Apply(SetWavePhase{ "w", WavePhase::Running, "" });
  for (auto& [id, vm] : world.vms_) {
    vm.neverFinishes_ = false;
  }
  CHECK(world.RunUntil([&] { return IsDone(world); }, 3600s));
}

// Guards against marking VMs as lost because the leader was frozen, is new, or
// has no contact with their zone, and against not recovering a VM that reports
// again.
TEST_CASE("only a silent VM in a zone in contact is lost")
{
  World world(3);
  world.AddPool(MakeRow("a", 12, 0, 3));
  world.Run(15s);
  world.Freeze(300s);
  world.Run(10s);
  world.CutZone("z1");
  world.Run(300s);
  CHECK(world.applied_["lost"] == 0);
  world.cutZones_.clear();
  world.Run(10s);
  world.Kill("vm100");
  world.Run(58s);
  CHECK(world.applied_["lost"] == 0);
  world.Run(5s);
  CHECK(world.fleet_.Vms().at("vm100").phase_ == VmPhase::Lost);
  CHECK(world.applied_["lost"] == 1);
  // Reports again under the same incarnation.
  world.vms_.at("vm100").alive_ = true;
  world.Run(5s);
  CHECK(world.fleet_.Vms().at("vm100").phase_ == VmPhase::Active);
  CHECK(world.applied_["recover"] == 1);
}
