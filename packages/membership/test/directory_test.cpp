#include "membership/directory_base.h"

#include <catch2/catch.hpp>

using namespace acaciahill;
using namespace std::chrono_literals;

namespace {

constexpr MonotonicTime kNow{ 100s };
constexpr Millis kLease{ 5s };

VmRecord
MakeVm(std::uint64_t aEpoch, VmPhase aPhase)
{
  VmRecord vm;
  vm.identity_.id_ = "vm-1";
  vm.identity_.incarnation_ = 3;
  vm.number_ = 1;
  vm.epoch_ = aEpoch;
  vm.phase_ = aPhase;
  return vm;
}

TargetEvidence
MakeEvidence(std::uint64_t aIncarnation,
             std::uint64_t aEpoch,
             bool aDraining,
             Millis aAge)
{
  return { 1, aIncarnation, aEpoch, aDraining, 0, kNow - aAge };
}

} // namespace

// Guards against sending new work to a target that is leaving, was moved or
// rebooted, or has not announced itself within the lease.
TEST_CASE("a node routes only on fresh evidence of the same assignment")
{
  struct Row
  {
    const char* name_;
    std::uint64_t vmEpoch_;
    VmPhase phase_;
    TargetEvidence evidence_;
    bool allowed_;
  };
  const auto row = GENERATE(
    Row{ "same", 7, VmPhase::Active, MakeEvidence(3, 7, false, 1s), true },
    Row{
      "at the lease", 7, VmPhase::Active, MakeEvidence(3, 7, false, 5s), true },
    Row{ "old", 7, VmPhase::Active, MakeEvidence(3, 7, false, 5001ms), false },
    Row{ "target ahead",
         7,
         VmPhase::Active,
         MakeEvidence(3, 8, false, 1s),
         false },
    Row{ "target behind",
         8,
         VmPhase::Active,
         MakeEvidence(3, 7, false, 1s),
         false },
    Row{ "target drains",
         7,
         VmPhase::Active,
         MakeEvidence(3, 7, true, 1s),
         false },
    Row{ "rebooted", 7, VmPhase::Active, MakeEvidence(4, 7, false, 1s), false },
    Row{ "drains", 7, VmPhase::Draining, MakeEvidence(3, 7, false, 1s), false },
    Row{ "lost", 7, VmPhase::Lost, MakeEvidence(3, 7, false, 1s), false });
  INFO(row.name_);
  const auto vm = MakeVm(row.vmEpoch_, row.phase_);
  CHECK(MayRoute(vm, row.evidence_, kNow, kLease) == row.allowed_);
  CHECK_FALSE(MayRoute(vm, std::nullopt, kNow, kLease));
}

// Guards against a delayed digest overwriting newer evidence.
TEST_CASE("older evidence does not replace newer evidence")
{
  Directory directory("n1");
  CHECK(directory.UpdateTarget(MakeEvidence(3, 7, false, 1s)));
  CHECK_FALSE(directory.UpdateTarget(MakeEvidence(3, 6, false, 2s)));
  CHECK_FALSE(directory.UpdateTarget(MakeEvidence(2, 9, false, 0s)));
  CHECK(directory.Find(1)->epoch_ == 7);
  CHECK(directory.UpdateTarget(MakeEvidence(4, 1, false, 2s)));
  CHECK(directory.Find(1)->incarnation_ == 4);
}

// Guards against another node's stale copy of this node's status replacing it.
TEST_CASE("a node's own status is not taken from digests")
{
  Directory directory("n1");
  directory.UpdateNode({ "n1", 10, 2, {}, {}, kNow });
  directory.Merge({ {}, { { "n1", 99, 9, {}, {}, kNow + 1s } }, {} });
  CHECK(directory.FindNode("n1")->appliedIndex_ == 10);
}
