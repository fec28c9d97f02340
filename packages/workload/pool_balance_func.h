#pragma once

#include "kernel/time_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace acaciahill {

/// What a pool holds and wants at a moment.
struct PoolDemand
{
  std::string pool_;
  /// Cores that keep up with its arriving work and its backlog, and those of
  /// its tasks that last.
  std::int64_t demandMilliCores_ = 0;
  /// Cores that its tasks hold now.
  std::int64_t heldMilliCores_ = 0;
  /// The part of them that tasks which last hold.
  std::int64_t longRunningMilliCores_ = 0;
  /// Its VMs are not switched off, as its next turn cannot be foreseen.
  bool keepsWorkers_ = false;
  /// Cores of a typical worker; 0 when the pool never had one.
  std::int64_t workerMilliCores_ = 0;
  /// Workers that take tasks, and VMs that are on their way to the pool.
  std::size_t supply_ = 0;
  /// Workers that must stay, as they hold tasks that last.
  std::size_t pinnedWorkers_ = 0;
  /// Workers over which its waiting or displaced steps have to be spread.
  std::size_t spreadWorkers_ = 0;
  /// VMs of workers without any task that may leave.
  std::vector<std::string> idleVms_;
  /// Time for which the pool has had more than it wants.
  Millis surplusFor_{ 0 };

  bool operator==(const PoolDemand&) const = default;
};

/// A VM that is to change its pool.
struct VmMove
{
  std::string vm_;
  std::string pool_;

  bool operator==(const VmMove&) const = default;
};

/// Cores that a pool's work will ask for after a time, in milli-cores. The work
/// that is there now holds or waits for some; as its jobs take a chain of that
/// length, a part of them is still there then, and arriving work takes the
/// place of the rest.
std::int64_t
ExpectedMilliCores(std::int64_t aPresent,
                   std::int64_t aArriving,
                   Millis aChain,
                   Millis aAfter);

/// Workers that a pool wants for its demand, with some headroom.
std::size_t
WantedWorkers(const PoolDemand& aLoad);

/// Moves for queues whose demand rises and falls by turns: a pool that lacks
/// workers gets idle VMs of pools that have more than they want, then VMs that
/// are switched off; VMs that were idle for a while are switched off. An empty
/// name of the spare pool means that there is none.
std::vector<VmMove>
PlanMoves(std::vector<PoolDemand> aPools,
          std::vector<std::string> aSpareVms,
          const std::string& aSparePool);

} // namespace acaciahill
