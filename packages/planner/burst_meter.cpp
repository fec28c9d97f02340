#include "planner/burst_meter_base.h"

#include <algorithm>
#include <cmath>

namespace acaciahill {

namespace {

constexpr double kSmoothingMs = 10000;
constexpr double kMsPerHour = 3600.0 * 1000;
// Value of a VM in an overloaded pool, as a multiple of the price of holding an
// idle one. Besides the time of the move, borrowing then needs 6 s of overload
// at a hold_price of 10 and a move_price of 1, 60 s at equal prices and 600 s
// at 1 and 10 (docs/measurements.md).
constexpr double kOverloadValueFactor = 120;
// Longer gaps between steps count only as this, as the load within them is
// unknown.
constexpr Millis kMaxStep{ 2000 };
// A VM counts as idle only if the load stays below this share of the slots that
// the pool has without it. This hysteresis keeps the load for a return well
// below the load for borrowing.
constexpr double kIdleUtilization = 0.7;
// Minimum idle time before a return; takes effect at a move_price near 0.
constexpr Millis kMinIdleTime{ 30000 };

} // namespace

void
BurstMeter::Observe(const PoolLoad& aLoad,
                    std::int64_t aSlots,
                    std::int64_t aVms,
                    Millis aElapsed)
{
  slots_ = std::max<std::int64_t>(aSlots, 1);
  const auto step = std::min(aElapsed, kMaxStep);
  const auto demand =
    static_cast<double>(aLoad.inFlight_ + aLoad.queued_ + aLoad.refused_);
  const double share =
    hasSample_ ? std::min(1.0, static_cast<double>(step.count()) / kSmoothingMs)
               : 1.0;
  smoothedDemand_ += share * (demand - smoothedDemand_);
  hasSample_ = true;
  const auto capacity = static_cast<double>(slots_ * aVms);
  overloaded_ = demand > capacity ? overloaded_ + step
                                  : std::max(overloaded_ - step, Millis{ 0 });
  // Idle: with one VM less the pool would still have its reserve.
  const auto smaller =
    static_cast<double>(slots_ * std::max<std::int64_t>(aVms - 1, 0));
  idle_ = std::max(demand, smoothedDemand_) <= kIdleUtilization * smaller
            ? idle_ + step
            : Millis{ 0 };
}

std::int64_t
BurstMeter::NeededVms() const
{
  return static_cast<std::int64_t>(
    std::ceil(smoothedDemand_ / static_cast<double>(slots_)));
}

bool
BurstMeter::IsBorrowWorthIt(const PoolRow& aRow, Millis aMoveTime) const
{
  // The length of a burst is unknown; it is expected to last as long again as
  // it has lasted so far.
  const auto useful =
    static_cast<double>(std::max(overloaded_ - aMoveTime, Millis{ 0 }).count());
  const double gain = kOverloadValueFactor *
                      static_cast<double>(aRow.holdPrice_) * useful /
                      kMsPerHour;
  const double price = 2.0 * static_cast<double>(aRow.movePrice_);
  return gain > price;
}

bool
BurstMeter::IsReturnWorthIt(const PoolRow& aRow) const
{
  const double held = static_cast<double>(aRow.holdPrice_) *
                      static_cast<double>(idle_.count()) / kMsPerHour;
  return idle_ >= kMinIdleTime && held >= static_cast<double>(aRow.movePrice_);
}

} // namespace acaciahill
