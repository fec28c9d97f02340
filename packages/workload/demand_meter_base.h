#pragma once

#include "kernel/time_type.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace acaciahill {

/// Measures how many cores the work that arrives at queues asks for. Customers'
/// estimates of run times are far off, so that the time of a task is learned
/// from the runs of its queue.
class DemandMeter
{
public:
  /// A job arrived with this many cores over all its tasks, and a mean
  /// estimated run time of a task.
  void CountArrival(const std::string& aQueue,
                    std::int64_t aMilliCores,
                    Millis aEstimated,
                    MonotonicTime aNow);

  /// A run of a task of the queue was done after this time.
  void CountRun(const std::string& aQueue, Millis aTook);

  /// Cores that keep up with what arrived at a queue in the last window.
  std::int64_t MilliCores(const std::string& aQueue, MonotonicTime aNow);

  /// Learned run time of a task of the queue; the estimate before the first
  /// runs.
  Millis RunTime(const std::string& aQueue) const;

private:
  struct Arrival
  {
    MonotonicTime at_{};
    std::int64_t milliCores_ = 0;
  };

  struct QueueMeter
  {
    std::deque<Arrival> arrivals_;
    double runMs_ = 0;
    std::uint64_t runs_ = 0;
  };

  std::map<std::string, QueueMeter> queues_;
};

} // namespace acaciahill
