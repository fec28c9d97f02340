#include "kernel/os_clock_func.h"

#include <Poco/DateTimeFormatter.h>
#include <Poco/Timestamp.h>

namespace acaciahill {

MonotonicTime
MonotonicNow()
{
  return std::chrono::time_point_cast<Millis>(std::chrono::steady_clock::now());
}

std::string
WallClockText()
{
  return Poco::DateTimeFormatter::format(Poco::Timestamp(),
                                         "%Y-%m-%dT%H:%M:%S.%iZ");
}

} // namespace acaciahill
