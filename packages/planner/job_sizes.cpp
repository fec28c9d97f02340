#include "planner/job_sizes_base.h"

#include <algorithm>
#include <cmath>

namespace acaciahill {

namespace {

constexpr double kQuantile = 0.95;
constexpr double kBucketsPerDoubling = 4.0;
// Samples of a job before its measured size replaces the declared one.
constexpr std::int64_t kMinSamples = 3;
// Declared sizes are wrong by up to this factor. A usage below that comes from
// a task that has not begun its work.
constexpr std::int64_t kMaxDeclaredErrorFactor = 10;

} // namespace

namespace detail {

void
DecayedQuantile::Add(std::int64_t aValue, MonotonicTime aNow)
{
  const auto elapsed = static_cast<double>((aNow - decayedAt_).count());
  const auto decay = static_cast<float>(
    std::exp2(-elapsed / static_cast<double>(halfLife_.count())));
  decayedAt_ = aNow;
  for (auto& weight : weights_) {
    weight *= decay;
  }
  const double value = static_cast<double>(std::max<std::int64_t>(aValue, 1));
  const auto bucket =
    static_cast<std::size_t>(std::ceil(std::log2(value) * kBucketsPerDoubling));
  weights_.at(std::min(bucket, kBuckets - 1)) += 1.0F;
}

std::int64_t
DecayedQuantile::Value() const
{
  double total = 0;
  for (const auto weight : weights_) {
    total += weight;
  }
  if (total <= 0) {
    return 0;
  }
  double below = 0;
  std::size_t bucket = 0;
  while (bucket + 1 < kBuckets &&
         below + weights_.at(bucket) < kQuantile * total) {
    below += weights_.at(bucket);
    ++bucket;
  }
  return static_cast<std::int64_t>(
    std::ceil(std::exp2(static_cast<double>(bucket) / kBucketsPerDoubling)));
}

} // namespace detail

void
JobSizes::AddSample(const std::string& aJob,
                    std::int64_t aMilliCores,
                    std::int64_t aMemoryMb,
                    MonotonicTime aNow)
{
  auto& entry = entries_[aJob];
  ++entry.samples_;
  entry.maxMilliCores_ = std::max(entry.maxMilliCores_, aMilliCores);
  entry.milliCores_.recent_.Add(aMilliCores, aNow);
  entry.milliCores_.longTerm_.Add(aMilliCores, aNow);
  entry.memoryMb_.recent_.Add(aMemoryMb, aNow);
  entry.memoryMb_.longTerm_.Add(aMemoryMb, aNow);
}

std::int64_t
JobSizes::Size(const UsageQuantiles& aQuantiles, std::int64_t aDeclared)
{
  return std::max({ aQuantiles.recent_.Value(),
                    aQuantiles.longTerm_.Value(),
                    aDeclared / kMaxDeclaredErrorFactor });
}

TaskSize
JobSizes::Estimate(const JobRecord& aJob) const
{
  const auto entry = entries_.find(aJob.id_);
  if (entry == entries_.end() || entry->second.samples_ < kMinSamples) {
    return { aJob.milliCores_, aJob.memoryMb_, aJob.slots_ };
  }
  // The upper bounds of the buckets lie up to 19% above the usage. For memory
  // this is a useful reserve, as a VM that runs out of memory kills a task.
  // Cores are only shared, so they are capped to the largest sample.
  const auto most = std::max(entry->second.maxMilliCores_,
                             aJob.milliCores_ / kMaxDeclaredErrorFactor);
  return { std::min(Size(entry->second.milliCores_, aJob.milliCores_), most),
           Size(entry->second.memoryMb_, aJob.memoryMb_),
           aJob.slots_ };
}

void
JobSizes::Retain(const std::map<std::string, JobRecord>& aJobs)
{
  std::erase_if(entries_, [&aJobs](const auto& aItem) {
    return !aJobs.contains(aItem.first);
  });
}

} // namespace acaciahill
