#include "planner/availability_func.h"
#include "planner/drain_tracker_base.h"
#include "planner_world.h"

#include <catch2/catch.hpp>

using namespace acaciahill;
using namespace acaciahill::test;
using namespace std::chrono_literals;

// Guards against counting a VM as available to which no entry VM may send.
TEST_CASE("a VM is available only on fresh evidence of its assignment")
{
  struct Row
  {
    const char* name_;
    Millis age_;
    std::int64_t incarnationOff_;
    std::int64_t epochOff_;
    bool draining_;
    bool inContact_;
    VmAvailability expected_;
  };
  const auto row = GENERATE(
    Row{ "fresh", 0ms, 0, 0, false, true, VmAvailability::Available },
    Row{ "at the limit", 5s, 0, 0, false, true, VmAvailability::Available },
    Row{ "old", 5001ms, 0, 0, false, true, VmAvailability::Unknown },
    Row{ "rebooted", 0ms, 1, 0, false, true, VmAvailability::Unavailable },
    Row{ "old epoch", 0ms, 0, -1, false, true, VmAvailability::Unavailable },
    Row{ "drains", 0ms, 0, 0, true, true, VmAvailability::Unavailable },
    Row{ "zone cut off", 0ms, 0, 0, false, false, VmAvailability::Unknown });
  INFO(row.name_);
  World world;
  world.AddPool(MakeRow("a", 2, 0, 1));
  world.Run(2s);
  auto view = world.View();
  const auto& vm = world.fleet_.Vms().begin()->second;
  const auto& id = vm.identity_.id_;
  auto& evidence = view.targets_.at(id);
  evidence.madeAt_ = world.now_ - row.age_;
  evidence.incarnation_ += static_cast<std::uint64_t>(row.incarnationOff_);
  evidence.epoch_ += static_cast<std::uint64_t>(row.epochOff_);
  evidence.draining_ = row.draining_;
  if (!row.inContact_) {
    view.zonesInContact_.clear();
  }
  CHECK(AvailabilityOf(vm, view, world.now_, {}) == row.expected_);
  const auto list = UnavailableVms("a", view, world.now_, {});
  CHECK((std::find(list.begin(), list.end(), id) == list.end()) ==
        (row.expected_ == VmAvailability::Available));
}

// Guards against taking a VM out of service if the loss of one more rack would
// then leave the pool below min_available.
TEST_CASE("a pool's capacity counts the loss of one further rack")
{
  struct Row
  {
    std::int64_t minAvailable_;
    std::int64_t maxUnavailable_;
    bool allowed_;
  };
  // Twelve VMs in three racks of four, one of them out: 11 are available, 7
  // after the loss of a rack, and 6 with one more VM out.
  const auto row =
    GENERATE(Row{ 6, 2, true }, Row{ 7, 2, false }, Row{ 6, 1, false });
  World world;
  world.AddPool(MakeRow("a", 12, row.minAvailable_, row.maxUnavailable_));
  world.Run(2s);
  auto view = world.View();
  view.targets_.erase("vm100");
  const auto capacity = PoolCapacities(view, world.now_, {}).at("a");
  CHECK(capacity.Available() == 11);
  CHECK(capacity.CanTakeOutOfService(world.fleet_.Vms().at("vm104")) ==
        row.allowed_);
}

namespace {

// A VM that drains for a move, and the evidence that the leader has of it.
struct DrainScene
{
  World world_;
  std::string vm_ = "vm100";
  PlannerView view_;
  DrainTracker tracker_{ PlannerLimits{} };
  MonotonicTime start_;

  DrainScene()
  {
    world_.AddPool(MakeRow("a", 4, 0, 2));
    world_.AddPool(MakeRow("b", 4, 0, 2));
    world_.Run(2s);
    world_.Apply(BeginMove{ vm_, "b", "test", {} });
    start_ = world_.now_;
    view_ = world_.View();
  }

  // Evidence of the VM at a time after the start, with the drain acknowledged.
  void Hear(Millis aAt, std::uint32_t aRunning)
  {
    const auto& record = world_.fleet_.Vms().at(vm_);
    view_.targets_[vm_] = { record.number_, 1,        record.epoch_,
                            true,           aRunning, start_ + aAt };
  }

  void HearNodes(Millis aAt, bool aAll, std::uint32_t aInFlight)
  {
    const auto number = world_.fleet_.Vms().at(vm_).number_;
    for (auto& [id, node] : view_.nodes_) {
      if (aAll || id == "n1") {
        node.appliedIndex_ = world_.fleet_.AppliedIndex();
        node.madeAt_ = start_ + aAt;
        node.inFlight_ = { { number, aInFlight } };
      }
    }
    if (!aAll) {
      view_.nodes_.erase("n2");
    }
  }

  bool CompleteAt(Millis aAt)
  {
    tracker_.Observe(view_, start_ + aAt);
    return tracker_.IsComplete(vm_);
  }
};

} // namespace

// Guards against stopping a VM to which some entry VM may still send.
TEST_CASE("a drain ends by the nodes' status or by the lease, not before")
{
  DrainScene scene;
  SECTION("every node has applied it and has nothing in flight")
  {
    scene.HearNodes(0ms, true, 1);
    scene.Hear(0ms, 0);
    CHECK_FALSE(scene.CompleteAt(0ms));
    scene.HearNodes(500ms, true, 0);
    scene.Hear(400ms, 0);
    // The target's report is older than the latest status of the nodes.
    CHECK_FALSE(scene.CompleteAt(500ms));
    scene.Hear(1000ms, 1);
    CHECK_FALSE(scene.CompleteAt(1000ms));
    scene.Hear(1500ms, 0);
    CHECK(scene.CompleteAt(1500ms));
  }
  SECTION("a node has not applied it")
  {
    scene.HearNodes(0ms, true, 0);
    scene.view_.nodes_.at("n2").appliedIndex_ -= 1;
    scene.Hear(0ms, 0);
    CHECK_FALSE(scene.CompleteAt(0ms));
    scene.Hear(500ms, 0);
    CHECK_FALSE(scene.CompleteAt(500ms));
  }
  SECTION("a node is unreachable: the lease and its margin decide")
  {
    for (auto at = 0ms; at < 6000ms; at += 500ms) {
      scene.HearNodes(at, false, 0);
      scene.Hear(at, 0);
      CHECK_FALSE(scene.CompleteAt(at));
    }
    scene.Hear(6000ms, 0);
    CHECK(scene.CompleteAt(6000ms));
  }
  SECTION("a frozen leader does not shorten the lease")
  {
    scene.HearNodes(0ms, false, 0);
    scene.Hear(0ms, 0);
    CHECK_FALSE(scene.CompleteAt(0ms));
    // Made during the freeze, but timestamped only after it.
    scene.Hear(10000ms, 0);
    CHECK_FALSE(scene.CompleteAt(10000ms));
    for (auto at = 10500ms; at < 15000ms; at += 500ms) {
      scene.Hear(at, 0);
      CHECK_FALSE(scene.CompleteAt(at));
    }
    scene.Hear(15000ms, 0);
    CHECK(scene.CompleteAt(15000ms));
  }
  SECTION("a new leader waits the whole time again")
  {
    for (auto at = 0ms; at <= 5500ms; at += 500ms) {
      scene.HearNodes(at, false, 0);
      scene.Hear(at, 0);
      CHECK_FALSE(scene.CompleteAt(at));
    }
    scene.tracker_ = DrainTracker{ PlannerLimits{} };
    for (auto at = 6000ms; at < 12000ms; at += 500ms) {
      scene.Hear(at, 0);
      CHECK_FALSE(scene.CompleteAt(at));
    }
    scene.Hear(12000ms, 0);
    CHECK(scene.CompleteAt(12000ms));
  }
  SECTION("the target has not acknowledged the drain")
  {
    scene.HearNodes(0ms, true, 0);
    scene.Hear(0ms, 0);
    scene.view_.targets_.at(scene.vm_).draining_ = false;
    CHECK_FALSE(scene.CompleteAt(0ms));
    scene.Hear(500ms, 0);
    scene.view_.targets_.at(scene.vm_).epoch_ -= 1;
    CHECK_FALSE(scene.CompleteAt(500ms));
  }
}
