#include "workload/vm_call_budget_base.h"

#include <algorithm>

namespace acaciahill {

namespace {

// Shares of the platform's limit for the steady rate and for a burst. A second
// with a burst stays below the limit: the two add up to less than 1.
constexpr double kRateShare = 0.75;
constexpr double kBurstShare = 0.2;
// Share of the burst that moves leave for upkeep.
constexpr double kUpkeepReserve = 0.2;
constexpr double kRefusalFactor = 0.5;
constexpr double kMinRateShare = 0.1;
// Recovery of the rate after a refusal, as a share of the full rate a second.
constexpr double kRecoveryPerSecond = 0.2;

} // namespace

VmCallBudget::VmCallBudget(double aCallsPerSecond, MonotonicTime aNow)
  : fullRate_(aCallsPerSecond)
  , refilledAt_(aNow)
{
}

void
VmCallBudget::Refill(MonotonicTime aNow)
{
  const auto seconds =
    std::max(0.0, std::chrono::duration<double>(aNow - refilledAt_).count());
  refilledAt_ = std::max(refilledAt_, aNow);
  rateShare_ = std::min(1.0, rateShare_ + seconds * kRecoveryPerSecond);
  const auto burst = std::max(1.0, fullRate_ * kBurstShare);
  calls_ =
    std::min(burst, calls_ + seconds * fullRate_ * kRateShare * rateShare_);
}

bool
VmCallBudget::Take(double aReserve)
{
  if (calls_ < 1 + aReserve) {
    return false;
  }
  calls_ -= 1;
  return true;
}

bool
VmCallBudget::TakeForMove(MonotonicTime aNow)
{
  Refill(aNow);
  // A burst of a single call leaves nothing to reserve.
  const auto burst = fullRate_ * kBurstShare;
  return Take(burst > 2 ? burst * kUpkeepReserve : 0);
}

bool
VmCallBudget::TakeForUpkeep(MonotonicTime aNow)
{
  Refill(aNow);
  return Take(0);
}

void
VmCallBudget::NoteRefusal(MonotonicTime aNow)
{
  Refill(aNow);
  rateShare_ = std::max(kMinRateShare, rateShare_ * kRefusalFactor);
  calls_ = 0;
}

} // namespace acaciahill
