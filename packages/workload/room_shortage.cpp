#include "workload/room_shortage_base.h"

#include "workload/workload_text_func.h"

#include <algorithm>

namespace acaciahill {

namespace {

/// Whether a pool that cannot meet aLess cannot meet aMore either.
bool
IsAtLeast(const PlacementNeed& aMore, const PlacementNeed& aLess)
{
  const bool isLimited =
    aLess.maxPerWorker_ == 0 ||
    (aMore.maxPerWorker_ > 0 && aMore.maxPerWorker_ <= aLess.maxPerWorker_);
  return Fits(aLess.perTask_, aMore.perTask_) &&
         aMore.together_ >= aLess.together_ && isLimited &&
         (aLess.label_.empty() || aMore.label_ == aLess.label_);
}

} // namespace

PlacementNeed
NeedOf(const StepSpec& aStep)
{
  PlacementNeed need{
    ReservedBy(aStep.need_, aStep.usesSpareCores_), aStep.label_, 1, 0
  };
  // Tasks that are placed one by one may wait for others of their step.
  if (aStep.gang_) {
    need.together_ = aStep.tasks_;
    need.maxPerWorker_ = aStep.maxPerWorker_;
  }
  return need;
}

void
RoomShortage::Add(PlacementNeed aNeed)
{
  std::erase_if(
    needs_, [&aNeed](const auto& aKnown) { return IsAtLeast(aKnown, aNeed); });
  needs_.push_back(std::move(aNeed));
}

bool
RoomShortage::Covers(const PlacementNeed& aNeed) const
{
  return std::any_of(needs_.begin(), needs_.end(), [&](const auto& aKnown) {
    return IsAtLeast(aNeed, aKnown);
  });
}

} // namespace acaciahill
