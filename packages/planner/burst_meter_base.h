#pragma once

#include "planner/planner_type.h"

#include <cstdint>

namespace acaciahill {

/// Tracks the load of one pool and decides whether borrowing a VM for a burst,
/// or returning one after it, is worth the price of the move. Prices are those
/// of the pool's row. Not thread-safe.
class BurstMeter
{
public:
  /// Adds a load sample, aElapsed after the last call. aSlots is the number of
  /// slots of one VM, aVms the number of VMs that serve the pool.
  void Observe(const PoolLoad& aLoad,
               std::int64_t aSlots,
               std::int64_t aVms,
               Millis aElapsed);

  /// Number of VMs needed for the smoothed load.
  std::int64_t NeededVms() const;

  /// True if the value of one more VM exceeds the price of borrowing and
  /// returning it. aMoveTime is the time from the decision until the VM serves.
  bool IsBorrowWorthIt(const PoolRow& aRow, Millis aMoveTime) const;

  /// True if holding a VM that the pool does not need has cost as much as
  /// returning it.
  bool IsReturnWorthIt(const PoolRow& aRow) const;

  /// Call after a VM was borrowed, so that the next one needs its own overload.
  void RestartOverloadTime() { overloaded_ = Millis{ 0 }; }

  /// Call after a VM was returned, so that the next one needs its own idle
  /// time.
  void RestartIdleTime() { idle_ = Millis{ 0 }; }

private:
  double smoothedDemand_ = 0;
  bool hasSample_ = false;
  std::int64_t slots_ = 1;
  /// Time in overload minus time without, at least 0.
  Millis overloaded_{ 0 };
  /// Time for which the pool could have spared a VM without losing its reserve.
  Millis idle_{ 0 };
};

} // namespace acaciahill
