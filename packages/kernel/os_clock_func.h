#pragma once

#include "kernel/time_type.h"

#include <string>

namespace acaciahill {

/// The monotonic clock of the operating system that continues while the machine
/// is suspended: what was granted for a time before that has run out after it.
MonotonicTime
MonotonicNow();

/// CPU time of the calling thread.
std::chrono::microseconds
ThreadCpuTime();

/// Wall-clock time as ISO 8601 in UTC with milliseconds, for log lines only.
std::string
WallClockText();

} // namespace acaciahill
