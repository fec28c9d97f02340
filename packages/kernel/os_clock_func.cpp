#include "kernel/os_clock_func.h"

#include <Poco/DateTimeFormatter.h>
#include <Poco/Timestamp.h>

#include <ctime>

namespace acaciahill {

MonotonicTime
MonotonicNow()
{
  return std::chrono::time_point_cast<Millis>(std::chrono::steady_clock::now());
}

Millis
SleepTime()
{
  const auto read = [](clockid_t aClock) {
    timespec time{};
    ::clock_gettime(aClock, &time);
    return std::chrono::seconds(time.tv_sec) +
           std::chrono::nanoseconds(time.tv_nsec);
  };
  return std::chrono::duration_cast<Millis>(read(CLOCK_BOOTTIME) -
                                            read(CLOCK_MONOTONIC));
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
