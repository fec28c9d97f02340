#include "workload/upkeep_denials_base.h"

#include <algorithm>

namespace acaciahill {

namespace {

// A denial is believed only when it is repeated this long after the first. The
// platform may learn of a VM or of a wave some seconds after the system.
constexpr Millis kMinDenialTime{ 5000 };
// Pause before an order that was denied is sent again. After the denials that
// fit into the time above it doubles with each further one, up to the longest.
constexpr Millis kFirstDenialPause{ 1500 };
constexpr Millis kLongestDenialPause{ 24000 };
constexpr std::uint32_t kDenialsAtFirstPause = 4;

} // namespace

bool
UpkeepDenials::Confirm(const BeginUpkeep& aOrder,
                       VmOutcome aDenial,
                       MonotonicTime aNow)
{
  auto& denial = denials_[{ aOrder.vm_, aOrder.wave_ }];
  // "Not in the wave" comes from a platform that knows the VM, so that the two
  // denials contradict each other.
  if (denial.count_ == 0 || denial.outcome_ != aDenial) {
    denial = { aDenial, aNow, denial.count_, false };
  }
  ++denial.count_;
  const bool isProved = aDenial == VmOutcome::NotInWave || denial.isUnlisted_;
  if (!isProved || aNow - denial.firstAt_ < kMinDenialTime) {
    return false;
  }
  Forget(aOrder);
  return true;
}

Millis
UpkeepDenials::PauseOf(const BeginUpkeep& aOrder) const
{
  const auto found = denials_.find({ aOrder.vm_, aOrder.wave_ });
  if (found == denials_.end()) {
    return Millis(0);
  }
  auto pause = kFirstDenialPause;
  for (auto count = kDenialsAtFirstPause;
       count < found->second.count_ && pause < kLongestDenialPause;
       ++count) {
    pause *= 2;
  }
  return std::min(pause, kLongestDenialPause);
}

void
UpkeepDenials::Forget(const BeginUpkeep& aOrder)
{
  denials_.erase({ aOrder.vm_, aOrder.wave_ });
}

// An earlier denial that there is no such VM was wrong, and a proof needs later
// ones only.
void
UpkeepDenials::NoteExists(const std::string& aVm, MonotonicTime aAt)
{
  for (auto each = denials_.lower_bound({ aVm, 0 });
       each != denials_.end() && each->first.first == aVm;
       ++each) {
    auto& denial = each->second;
    if (denial.outcome_ == VmOutcome::NoSuchVm && aAt >= denial.firstAt_) {
      denial.firstAt_ = aAt;
      denial.isUnlisted_ = false;
    }
  }
}

void
UpkeepDenials::NoteUnlisted(const std::string& aVm, MonotonicTime aAskedAt)
{
  for (auto each = denials_.lower_bound({ aVm, 0 });
       each != denials_.end() && each->first.first == aVm;
       ++each) {
    auto& denial = each->second;
    denial.isUnlisted_ = denial.isUnlisted_ || aAskedAt >= denial.firstAt_;
  }
}

} // namespace acaciahill
