#pragma once

#include <chrono>

namespace acaciahill {

/// A span of time in milliseconds.
using Millis = std::chrono::milliseconds;

/// The clock behind MonotonicTime. A type of its own, so that its points do not
/// mix with those of steady_clock, which stops while the machine is suspended.
// NOLINTBEGIN(readability-identifier-naming): the names of std::chrono.
struct MonotonicClock
{
  using duration = Millis;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true;
};
// NOLINTEND(readability-identifier-naming)

/// A point on the clock that decisions use, in whole milliseconds. It does not
/// follow steps of the wall clock, and continues while the process is frozen or
/// the machine suspended. Waits take durations, as none uses this clock.
using MonotonicTime = MonotonicClock::time_point;

} // namespace acaciahill
