#include "kernel/os_clock_func.h"

#include <Poco/DateTimeFormatter.h>
#include <Poco/Timestamp.h>

#include <ctime>

namespace acaciahill {

MonotonicTime
MonotonicNow()
{
  timespec time{};
  ::clock_gettime(CLOCK_BOOTTIME, &time);
  return MonotonicTime(
    std::chrono::duration_cast<Millis>(std::chrono::seconds(time.tv_sec) +
                                       std::chrono::nanoseconds(time.tv_nsec)));
}

std::chrono::microseconds
ThreadCpuTime()
{
  timespec used{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return std::chrono::duration_cast<std::chrono::microseconds>(
    std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec));
}

std::string
WallClockText()
{
  return Poco::DateTimeFormatter::format(Poco::Timestamp(),
                                         "%Y-%m-%dT%H:%M:%S.%iZ");
}

} // namespace acaciahill
