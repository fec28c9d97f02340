#pragma once

#include "workload/room_shortage_base.h"
#include "workload/workload_type.h"

#include <compare>
#include <cstdint>
#include <limits>

namespace acaciahill {

/// A step with waiting tasks; sorted in the order of service.
struct ReadyStep
{
  std::int64_t priority_ = 0;
  /// The step depends on no other, and none of its tasks has started.
  bool isNotStarted_ = false;
  /// The job was submitted beyond the share of its tenant. Work that was done
  /// for a started job would be wasted, so that this comes second.
  bool isBeyondShare_ = false;
  /// Latest logical start time in ms at which the job still meets its
  /// objective.
  std::uint64_t latestStartMs_ = 0;
  /// Logical time in ms from which a start is of no more use to the sender.
  std::uint64_t expiresAtMs_ = std::numeric_limits<std::uint64_t>::max();
  JobId job_ = 0;
  std::uint32_t occurrence_ = 0;
  std::uint32_t step_ = 0;
  /// Copied from the step, as all waiting steps are looked at many times a
  /// second.
  bool isLongRunning_ = false;
  PlacementNeed need_;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads it.
  auto operator<=>(const ReadyStep&) const = default;
};

} // namespace acaciahill
