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

/// Estimates how many cores the work arriving at each queue needs. Customers'
/// estimates of run times are far off, so the run time of a task is learned
/// from completed runs of its queue.
class DemandMeter
{
public:
  /// Records the arrival of a job: the sum of milli-cores of all its tasks, the
  /// mean estimated run time of a task, and the number of steps in its longest
  /// dependency chain.
  void CountArrival(const std::string& aQueue,
                    std::int64_t aMilliCores,
                    Millis aEstimated,
                    std::size_t aChainSteps,
                    MonotonicTime aNow);

  /// Records the run time of a completed run. Returns true for the run that
  /// makes the queue's run time known (see LearnedRunTime).
  bool CountRun(const std::string& aQueue, Millis aTook);

  /// Milli-cores needed to keep up with the queue's current arrival rate.
  std::int64_t MilliCores(const std::string& aQueue, MonotonicTime aNow);

  /// Expected increase of MilliCores within a time, extrapolated from recent
  /// arrivals; 0 when it falls, or when there are too few arrivals.
  std::int64_t Growth(const std::string& aQueue,
                      Millis aWithin,
                      MonotonicTime aNow);

  /// Learned mean run time of a task of the queue; the customer's estimate
  /// before the first run.
  Millis RunTime(const std::string& aQueue) const;

  /// Expected run time of the longest dependency chain of a job of the queue.
  Millis ChainTime(const std::string& aQueue) const;

  /// Mean run time in ms of a task of the queue plus a number of standard
  /// deviations; nullopt until enough runs of the queue are recorded.
  std::optional<double> LearnedRunTime(const std::string& aQueue,
                                       double aDeviations) const;

  /// State to replicate for later leaders, sorted by queue.
  std::vector<LearnedQueue> Learned() const;

  /// Continues from the state that a former leader replicated.
  void Restore(const std::vector<LearnedQueue>& aQueues);

private:
  struct Arrival
  {
    MonotonicTime at_{};
    std::int64_t milliCores_ = 0;
  };

  struct QueueMeter
  {
    /// Arrivals within the growth window, oldest first.
    std::deque<Arrival> arrivals_;
    /// Mean number of steps in the longest dependency chain of a job.
    double chainSteps_ = 1;
    double runMs_ = 0;
    /// Variance of the run time in square milliseconds.
    double runVariance_ = 0;
    std::uint64_t runs_ = 0;
  };

  std::map<std::string, QueueMeter> queues_;
};

} // namespace acaciahill
