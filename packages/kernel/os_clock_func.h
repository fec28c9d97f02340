#pragma once

#include "kernel/time_type.h"

#include <string>

namespace acaciahill {

/// The monotonic clock of the operating system.
MonotonicTime
MonotonicNow();

/// Time for which the machine was suspended since its start; the monotonic
/// clock leaves it out.
Millis
SleepTime();

/// Processor time that the calling thread has used.
std::chrono::microseconds
ThreadCpuTime();

/// Wall-clock time as ISO 8601 in UTC with milliseconds, for log lines only.
std::string
WallClockText();

} // namespace acaciahill
