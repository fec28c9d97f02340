#pragma once

#include <chrono>

namespace acaciahill {

/// A span of time in milliseconds.
using Millis = std::chrono::milliseconds;

/// A point on the monotonic clock of this process, in whole milliseconds. All
/// decisions use this clock: it does not follow steps of the wall clock, and it
/// continues while the process is frozen.
using MonotonicTime =
  std::chrono::time_point<std::chrono::steady_clock, Millis>;

} // namespace acaciahill
