#pragma once

#include "planner/move_planner_base.h"
#include "planner/placement_planner_base.h"
#include "planner/vm_watch_base.h"
#include "planner/wave_planner_base.h"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace acaciahill::test {

/// Simulated time between two steps.
inline constexpr Millis kStep{ 500 };

/// Actual state of a simulated VM, as opposed to its record in the fleet.
struct FakeVm
{
  VmIdentity identity_;
  bool alive_ = true;
  std::uint64_t epoch_ = 0;
  bool draining_ = false;
  /// Running requests; they end while the VM drains.
  std::uint32_t running_ = 0;
  /// The VM's requests never end.
  bool neverFinishes_ = false;
  /// Every task placed on the VM fails.
  bool failsTasks_ = false;
  MonotonicTime lastReportAt_{};
  MonotonicTime diedAt_{};
  MonotonicTime bootsAt_{};
  std::set<std::string> operations_;
};

/// Simulates a fleet of VMs in steps of half a second. Commands that the
/// planners propose are applied commandSteps_ steps later, in order.
class World
{
public:
  explicit World(std::uint64_t aSeed = 1);

  /// Adds a pool and as many VMs as its size, in racks of four that alternate
  /// between three zones.
  void AddPool(PoolRow aRow);
  void SetCell(const std::string& aPool,
               const std::string& aColumn,
               const std::string& aValue);
  CommandResult Apply(const Command& aCommand);

  void Step();
  /// Runs steps for the given time.
  void Run(Millis aTime);
  /// Runs steps until the condition is true; false if the limit passes first.
  template<typename Condition>
  bool RunUntil(Condition aCondition, Millis aLimit)
  {
    const auto end = now_ + aLimit;
    while (!aCondition()) {
      if (now_ >= end) {
        return false;
      }
      Step();
    }
    return true;
  }
  /// Advances the time without a step of the planners, as with a frozen leader.
  /// Its pending proposals are lost with its term.
  void Freeze(Millis aTime)
  {
    now_ += aTime;
    pending_.clear();
    // The planners run once before any VM reports again.
    dropsReports_ = true;
    lossySteps_ = 2;
  }
  void CutZone(const std::string& aZone) { cutZones_.try_emplace(aZone, now_); }
  /// A new leader: all planners start with empty memory.
  void RestartPlanners();

  void Kill(const std::string& aVm);
  void Revive(const std::string& aVm);
  void KillRack(const RackKey& aRack);

  std::int64_t MembersOf(const std::string& aPool) const;
  std::vector<std::string> VmsOf(const std::string& aPool) const;
  /// Tasks of a job that actually run on the VMs.
  std::int64_t RunningTasks(const std::string& aJob) const;
  const Wave& WaveOf(const std::string& aWave) const;
  PlannerView View() const;

  Fleet fleet_;
  MonotonicTime now_{ std::chrono::seconds(1000) };
  std::map<std::string, FakeVm> vms_;
  /// Zones out of contact, and since when.
  std::map<std::string, MonotonicTime> cutZones_;
  std::map<std::string, PoolLoad> loads_;
  PlannerLimits limits_;
  std::mt19937_64 random_;
  bool nodeUnreachable_ = false;
  /// Duration of a reboot.
  Millis rebootTime_{ 20000 };
  /// Steps from the proposal of a command to its place in the fleet.
  int commandSteps_ = 1;
  /// Until then the leader has no evidence of any VM.
  MonotonicTime noEvidenceUntil_{};
  /// Violated invariants, one sentence each.
  std::vector<std::string> violations_;
  /// Number of applied commands by name, and number of refused ones.
  std::map<std::string, int> applied_;
  int refused_ = 0;
  std::size_t maxActionsPerStep_ = 0;
  int reboots_ = 0;
  /// Actual usage of a task by job id, in milli-cores and MB.
  std::map<std::string, std::pair<std::int64_t, std::int64_t>> usage_;
  std::set<std::string> badTasks_;
  /// Steps for which a task runs before it completes; 0 means forever.
  int taskSteps_ = 0;

private:
  struct FakeTask
  {
    std::uint64_t lease_ = 0;
    std::string state_;
    MonotonicTime startedAt_{};
    /// End of the lease as last received by the VM.
    MonotonicTime endsAt_{};
    int steps_ = 0;
  };

  void StepVms();
  void RunTasks(FakeVm& aVm);
  void TakeOrders(FakeVm& aVm);
  void CheckTasks();
  void Announce(FakeVm& aVm);
  void ApplyPending();
  void CheckChange(const Command& aCommand);
  void Reboot(const AskReboot& aAsk);
  void CheckBudget(const std::string& aPool, const std::string& aWhat);

  std::unique_ptr<VmWatch> vmWatch_;
  std::unique_ptr<WavePlanner> wavePlanner_;
  std::unique_ptr<MovePlanner> movePlanner_;
  std::unique_ptr<PlacementPlanner> placementPlanner_;
  /// Proposed commands, with the steps left until they are applied.
  std::vector<std::pair<int, Command>> pending_;
  bool dropsReports_ = false;
  /// Steps left in which only some VMs report.
  int lossySteps_ = 0;
  std::map<std::string, TargetEvidence> evidence_;
  std::map<std::string, std::vector<TaskReport>> reports_;
  std::map<std::string, std::map<std::string, FakeTask>> tasks_;
  std::uint64_t nextRequest_ = 1;
  std::uint64_t index_ = 0;
  MonotonicTime lastCommandAt_ = now_;
  int nextVm_ = 0;
  int nextRack_ = 0;
};

/// A row with a budget, for tests.
PoolRow
MakeRow(const std::string& aPool,
        std::int64_t aSize,
        std::int64_t aMinAvailable,
        std::int64_t aMaxUnavailable,
        bool aSpare = false);

} // namespace acaciahill::test
