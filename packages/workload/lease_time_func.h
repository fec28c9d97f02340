#pragma once

#include "kernel/time_type.h"

#include <cstdint>

namespace acaciahill::detail {

/// Time after which a lease of that length on a worker's clock has certainly
/// expired. The clock may be slow by 2%; the margin covers rounded times.
inline Millis
TimeUntilExpired(Millis aLease)
{
  constexpr double kMaxClockSlowdown = 1.02;
  constexpr Millis kLeaseMargin{ 100 };
  return kLeaseMargin +
         Millis(static_cast<std::int64_t>(static_cast<double>(aLease.count()) *
                                          kMaxClockSlowdown));
}

} // namespace acaciahill::detail
