#pragma once

#include "workload/workload_type.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace acaciahill {

/// What a step needs of a pool to place its next tasks.
struct PlacementNeed
{
  /// Resources that each task reserves.
  TaskNeed perTask_;
  /// Label that the workers must have; empty for any worker.
  std::string label_;
  /// Tasks that must be placed together: 1, or the size of a gang.
  std::uint32_t together_ = 1;
  /// Maximum number of these tasks on one worker; 0 for no limit.
  std::uint32_t maxPerWorker_ = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads it.
  auto operator<=>(const PlacementNeed&) const = default;
};

/// The needs of a step's tasks.
PlacementNeed
NeedOf(const StepSpec& aStep);

/// Remembers which needs a pool could not meet. While tasks are only added to
/// the pool its room shrinks, so that whatever needs at least as much cannot be
/// placed either and does not have to be tried.
class RoomShortage
{
public:
  void Add(PlacementNeed aNeed);

  /// Whether the need is known not to be met.
  bool Covers(const PlacementNeed& aNeed) const;

private:
  std::vector<PlacementNeed> needs_;
};

} // namespace acaciahill
