#pragma once

#include "kernel/time_type.h"
#include "workload/workload_type.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace acaciahill {

/// Measures how many cores the work that arrives at queues asks for. Customers'
/// estimates of run times are far off, so that the time of a task is learned
/// from the runs of its queue.
class DemandMeter
{
public:
  /// A job arrived with this many cores over all its tasks, a mean estimated
  /// run time of a task, and a longest chain of this many steps.
  void CountArrival(const std::string& aQueue,
                    std::int64_t aMilliCores,
                    Millis aEstimated,
                    std::size_t aChainSteps,
                    MonotonicTime aNow);

  /// A run of a task of the queue was done after this time. True when the run
  /// time of the queue's tasks is known from now on.
  bool CountRun(const std::string& aQueue, Millis aTook);

  /// Cores that keep up with what arrived at a queue in the last window.
  std::int64_t MilliCores(const std::string& aQueue, MonotonicTime aNow);

  /// Cores by which that grows within a time, as far as the last arrivals show;
  /// 0 when it falls, or when there were too few arrivals to tell.
  std::int64_t Growth(const std::string& aQueue,
                      Millis aWithin,
                      MonotonicTime aNow);

  /// Learned run time of a task of the queue; the estimate before the first
  /// runs.
  Millis RunTime(const std::string& aQueue) const;

  /// Expected time of the longest chain of a job of the queue.
  Millis ChainTime(const std::string& aQueue) const;

  /// Mean run time in ms of a task of the queue and a number of standard
  /// deviations more; nothing while few runs of the queue have been done.
  std::optional<double> LearnedRunTime(const std::string& aQueue,
                                       double aDeviations) const;

  /// What a later leader is to know, by the name of the queue.
  std::vector<LearnedQueue> Learned() const;

  /// Goes on from what a former leader has learned.
  void Restore(const std::vector<LearnedQueue>& aQueues);

private:
  struct Arrival
  {
    MonotonicTime at_{};
    std::int64_t milliCores_ = 0;
  };

  struct QueueMeter
  {
    /// Those that the growth is told from, oldest first.
    std::deque<Arrival> arrivals_;
    /// Mean number of steps in the longest chain of a job.
    double chainSteps_ = 1;
    double runMs_ = 0;
    /// Mean square of the difference from the mean.
    double runVariance_ = 0;
    std::uint64_t runs_ = 0;
  };

  std::map<std::string, QueueMeter> queues_;
};

} // namespace acaciahill
