#pragma once

#include <chrono>

namespace acaciahill {

/// A span of time in milliseconds.
using Millis = std::chrono::milliseconds;

/// The clock behind MonotonicTime; see MonotonicNow(). Its type keeps points on
/// it from being mixed with those of std::chrono::steady_clock, which stops
/// while the machine is suspended.
struct MonotonicClock
{
  using duration = Millis;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true;
};

/// A point on the monotonic clock of this machine, in whole milliseconds. All
/// decisions use this clock: it does not follow steps of the wall clock, and it
/// continues while the process is frozen or the machine suspended. Waits of the
/// standard library take durations instead, as no wait uses this clock.
using MonotonicTime = MonotonicClock::time_point;

} // namespace acaciahill
