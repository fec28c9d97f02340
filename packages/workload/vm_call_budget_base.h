#pragma once

#include "kernel/time_type.h"

namespace acaciahill {

/// Paces the calls that change VMs. The platform refuses calls beyond a rate
/// that all nodes share, so that a burst would delay the calls behind it. In
/// any second fewer calls are allowed than the platform accepts, also when a
/// leader takes over from another: the budget is empty at first.
class VmCallBudget
{
public:
  VmCallBudget(double aCallsPerSecond, MonotonicTime aNow);

  /// Takes a call for a move; false when the budget is spent. A part of it is
  /// reserved for upkeep, which has a due time.
  bool TakeForMove(MonotonicTime aNow);

  /// Takes a call for upkeep; false when the budget is spent.
  bool TakeForUpkeep(MonotonicTime aNow);

  /// The platform refused a call because of its rate limit: another node may be
  /// using it too. Halves the rate, which then recovers within seconds.
  void NoteRefusal(MonotonicTime aNow);

private:
  void Refill(MonotonicTime aNow);
  bool Take(double aReserve);

  double fullRate_;
  /// Share of the full rate in use, 1 unless calls were refused.
  double rateShare_ = 1;
  double calls_ = 0;
  MonotonicTime refilledAt_;
};

} // namespace acaciahill
