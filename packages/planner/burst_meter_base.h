#pragma once

#include "planner/planner_type.h"

#include <cstdint>

namespace acaciahill {

/// Follows the load of one pool and weighs whether its burst, or the end of it,
/// is worth a move. Prices are those of the pool's row. Not thread-safe.
class BurstMeter
{
public:
  /// Takes the pool's load after aElapsed since the last call. aSlots is the
  /// number of slots of one VM, aVms the number of VMs that serve the pool.
  void Observe(const PoolLoad& aLoad,
               std::int64_t aSlots,
               std::int64_t aVms,
               Millis aElapsed);

  /// VMs that the smoothed load fills.
  std::int64_t NeededVms() const;

  /// True when one more VM would earn more than borrowing and returning it
  /// costs. aMoveTime is the time from the decision until the VM serves.
  bool IsBorrowWorthIt(const PoolRow& aRow, Millis aMoveTime) const;

  /// True when holding a VM that the pool does not need has cost as much as
  /// returning it.
  bool IsReturnWorthIt(const PoolRow& aRow) const;

  /// A VM was borrowed; the next one has to pay for itself.
  void RestartOverloadTime() { overloaded_ = Millis{ 0 }; }

  /// A VM was returned; the next one waits its own time.
  void RestartIdleTime() { idle_ = Millis{ 0 }; }

private:
  double smoothedDemand_ = 0;
  bool hasSample_ = false;
  std::int64_t slots_ = 1;
  /// Time in overload, less the time without.
  Millis overloaded_{ 0 };
  /// Time for which more VMs serve the pool than it needs with reserve.
  Millis idle_{ 0 };
};

} // namespace acaciahill
