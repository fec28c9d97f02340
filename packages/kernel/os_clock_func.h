#pragma once

#include "kernel/time_type.h"

#include <string>

namespace acaciahill {

/// The monotonic clock of the operating system.
MonotonicTime
MonotonicNow();

/// Total time for which the machine has been suspended since boot, which the
/// monotonic clock does not count.
Millis
SleepTime();

/// CPU time of the calling thread.
std::chrono::microseconds
ThreadCpuTime();

/// Wall-clock time as ISO 8601 in UTC with milliseconds, for log lines only.
std::string
WallClockText();

} // namespace acaciahill
