#pragma once

#include "kernel/time_type.h"
#include "state/fleet_type.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace acaciahill {

/// Resources of one task, or of a part of a VM.
struct TaskSize
{
  std::int64_t milliCores_ = 0;
  std::int64_t memoryMb_ = 0;
  std::int64_t slots_ = 0;

  bool operator==(const TaskSize&) const = default;
};

inline TaskSize
Sum(const TaskSize& aLeft, const TaskSize& aRight)
{
  return { aLeft.milliCores_ + aRight.milliCores_,
           aLeft.memoryMb_ + aRight.memoryMb_,
           aLeft.slots_ + aRight.slots_ };
}

inline TaskSize
Subtract(const TaskSize& aLeft, const TaskSize& aRight)
{
  return { aLeft.milliCores_ - aRight.milliCores_,
           aLeft.memoryMb_ - aRight.memoryMb_,
           aLeft.slots_ - aRight.slots_ };
}

/// True if a task of this size fits into the free resources.
inline bool
Fits(const TaskSize& aSize, const TaskSize& aFree)
{
  return aSize.milliCores_ <= aFree.milliCores_ &&
         aSize.memoryMb_ <= aFree.memoryMb_ && aSize.slots_ <= aFree.slots_;
}

/// Number of tasks of this size that fit into the free resources.
inline std::int64_t
CountFitting(const TaskSize& aSize, const TaskSize& aFree)
{
  const auto times = [](std::int64_t aPart, std::int64_t aWhole) {
    return aPart > 0 ? std::max<std::int64_t>(aWhole, 0) / aPart : INT64_MAX;
  };
  return std::min({ times(aSize.milliCores_, aFree.milliCores_),
                    times(aSize.memoryMb_, aFree.memoryMb_),
                    times(aSize.slots_, aFree.slots_) });
}

/// Average resources of one slot.
inline TaskSize
AverageSlot(const TaskSize& aTotal)
{
  const auto slots = std::max<std::int64_t>(aTotal.slots_, 1);
  return { aTotal.milliCores_ / slots, aTotal.memoryMb_ / slots, 1 };
}

inline TaskSize
ScaleByPercent(const TaskSize& aSize, std::int64_t aPercent)
{
  return { aSize.milliCores_ * aPercent / 100,
           aSize.memoryMb_ * aPercent / 100,
           aSize.slots_ * aPercent / 100 };
}

namespace detail {

/// 95% quantile of samples whose weight decays exponentially with the given
/// half-life. Samples are counted in buckets of logarithmic width.
class DecayedQuantile
{
public:
  explicit DecayedQuantile(Millis aHalfLife)
    : halfLife_(aHalfLife)
  {
  }

  void Add(std::int64_t aValue, MonotonicTime aNow);

  /// Upper bound of the bucket that holds the quantile; 0 without samples.
  std::int64_t Value() const;

private:
  // Four buckets per doubling, up to 2^20: the error is at most 19%.
  static constexpr std::size_t kBuckets = 80;

  Millis halfLife_;
  MonotonicTime decayedAt_{};
  std::array<float, kBuckets> weights_{};
};

} // namespace detail

/// Estimates the real size of each job's tasks from usage samples. Not
/// thread-safe.
class JobSizes
{
public:
  /// Adds a usage sample of one task. The caller skips samples measured during
  /// the warm-up of the task.
  void AddSample(const std::string& aJob,
                 std::int64_t aMilliCores,
                 std::int64_t aMemoryMb,
                 MonotonicTime aNow);

  /// The measured size, or the declared one while there are too few samples.
  TaskSize Estimate(const JobRecord& aJob) const;

  /// Removes the samples of jobs that no longer exist.
  void Retain(const std::map<std::string, JobRecord>& aJobs);

private:
  /// Quantiles of one resource over a short and a long half-life. The larger
  /// one counts, so that a rise takes effect at once and a quiet hour does not
  /// hide the daily peak.
  struct UsageQuantiles
  {
    detail::DecayedQuantile recent_{ Millis{ 10 * 60 * 1000 } };
    detail::DecayedQuantile longTerm_{ Millis{ 6 * 3600 * 1000 } };
  };

  struct Entry
  {
    std::int64_t samples_ = 0;
    std::int64_t maxMilliCores_ = 0;
    UsageQuantiles milliCores_;
    UsageQuantiles memoryMb_;
  };

  static std::int64_t Size(const UsageQuantiles& aQuantiles,
                           std::int64_t aDeclared);

  std::map<std::string, Entry> entries_;
};

} // namespace acaciahill
