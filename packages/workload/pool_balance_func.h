#pragma once

#include "kernel/time_type.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace acaciahill {

/// Demand and supply of a pool at one time.
struct PoolDemand
{
  std::string pool_;
  /// Needed for arriving work, the backlog and long-running tasks.
  std::int64_t demandMilliCores_ = 0;
  /// Reserved by tasks that run now.
  std::int64_t heldMilliCores_ = 0;
  /// The part of heldMilliCores_ that long-running tasks reserve.
  std::int64_t longRunningMilliCores_ = 0;
  /// Part of demandMilliCores_ that waiting work makes up which is late
  /// already.
  std::int64_t lateMilliCores_ = 0;
  /// The pool's VMs are not switched off, as its next turn (see TurnForecast)
  /// cannot be predicted yet.
  bool keepsWorkers_ = false;
  /// Capacity of a typical worker; 0 when the pool never had one.
  std::int64_t workerMilliCores_ = 0;
  /// Workers that accept tasks, and VMs that are being moved to the pool.
  std::size_t supply_ = 0;
  /// Workers that must stay because they run long-running tasks.
  std::size_t pinnedWorkers_ = 0;
  /// Workers needed to place waiting or displaced long-running tasks.
  std::size_t spreadWorkers_ = 0;
  /// Workers needed beside those with long-running tasks for waiting tasks that
  /// no present worker has room for, though most cores are free.
  std::size_t strandedWorkers_ = 0;
  /// VMs of workers without tasks that may be moved away.
  std::vector<std::string> idleVms_;
  /// How long the pool has had more workers than it wants.
  Millis surplusFor_{ 0 };

  bool operator==(const PoolDemand&) const = default;
};

/// A move of a VM to another pool.
struct VmMove
{
  std::string vm_;
  std::string pool_;

  bool operator==(const VmMove&) const = default;
};

/// Expected demand of a pool after a time, in milli-cores. aPresent is the
/// demand of the jobs that are running or queued now, aArriving that of the
/// jobs that arrive. Jobs run for aChain, so a share of the present ones is
/// still there after aAfter; arriving jobs replace the rest.
std::int64_t
ExpectedMilliCores(std::int64_t aPresent,
                   std::int64_t aArriving,
                   Millis aChain,
                   Millis aAfter);

/// Cores that the waiting tasks of a pool need, in milli-cores.
struct WaitingWork
{
  /// Of steps that can still be on time, and of long-running ones.
  std::int64_t milliCores_ = 0;
  /// Of steps that have missed their latest start.
  std::int64_t lateMilliCores_ = 0;

  bool operator==(const WaitingWork&) const = default;
};

/// Demand in milli-cores of waiting work whose tasks run for aRunTime: work
/// that can still be on time has to start within the slack of its objective,
/// late work may take longer.
WaitingWork
BacklogDemand(const WaitingWork& aWork, Millis aRunTime);

/// Number of workers that a pool needs for its demand, including headroom.
std::size_t
WantedWorkers(const PoolDemand& aDemand);

/// Plans how many workers of each pool start no late work, so that they become
/// idle and can be moved: as many as other pools lack for work that can still
/// be on time, beyond the VMs that are free already. A pool keeps what it needs
/// for such work itself. Pools that yield none are left out.
std::map<std::string, std::size_t>
PlanYields(const std::vector<PoolDemand>& aPools, std::size_t aSpareVms);

/// Plans moves of VMs between pools whose demand peaks at different times. A
/// pool with too few workers gets idle VMs of pools with a surplus, then
/// switched-off VMs of the spare pool. VMs of a pool with a lasting surplus are
/// moved to the spare pool. An empty aSparePool means that there is none. The
/// caller may carry out only some of the moves, from the first on: the most
/// urgent ones come first.
std::vector<VmMove>
PlanMoves(std::vector<PoolDemand> aPools,
          std::vector<std::string> aSpareVms,
          const std::string& aSparePool);

} // namespace acaciahill
