#include "planner/vm_health_base.h"

#include <algorithm>
#include <limits>

namespace acaciahill {

namespace {

// Failures since the last success before a VM is excluded, or before it no
// longer counts as proven.
constexpr std::int64_t kFailuresToExclude = 3;
// Jobs that must have failed on a VM before it is excluded: one job that fails
// everywhere must not exclude the VMs of its pool.
constexpr std::size_t kJobsToExclude = 2;
constexpr Millis kFirstBackOff{ 60 * 1000 };
constexpr Millis kMaxBackOff{ 3600 * 1000 };

} // namespace

void
VmHealth::AddFailure(const std::string& aVm,
                     const std::string& aJob,
                     MonotonicTime aNow)
{
  auto& entry = entries_[aVm];
  ++entry.failures_;
  entry.failedJobs_.insert(aJob);
  const bool isProbe = entry.excludedUntil_ && aNow >= *entry.excludedUntil_;
  const bool isFirst = !entry.excludedUntil_ &&
                       entry.failures_ >= kFailuresToExclude &&
                       entry.failedJobs_.size() >= kJobsToExclude;
  entry.proven_ = entry.proven_ && entry.failures_ < kFailuresToExclude;
  if (isProbe || isFirst) {
    entry.backOff_ = std::clamp(2 * entry.backOff_, kFirstBackOff, kMaxBackOff);
    entry.excludedUntil_ = aNow + entry.backOff_;
  }
}

void
VmHealth::AddSuccess(const std::string& aVm)
{
  entries_.insert_or_assign(aVm, Entry{ 0, {}, true, Millis{ 0 }, {} });
}

bool
VmHealth::IsProven(const std::string& aVm) const
{
  const auto entry = entries_.find(aVm);
  return entry != entries_.end() && entry->second.proven_;
}

bool
VmHealth::IsSuspect(const std::string& aVm) const
{
  const auto entry = entries_.find(aVm);
  return entry != entries_.end() && entry->second.failures_ > 0;
}

std::int64_t
VmHealth::TaskLimit(const std::string& aVm, MonotonicTime aNow) const
{
  const auto entry = entries_.find(aVm);
  if (entry != entries_.end() && entry->second.excludedUntil_) {
    return aNow < *entry->second.excludedUntil_ ? 0 : 1;
  }
  if (entry != entries_.end() && entry->second.failures_ > 0 &&
      !entry->second.proven_) {
    return 1;
  }
  return std::numeric_limits<std::int64_t>::max();
}

void
VmHealth::Retain(const std::map<std::string, VmRecord>& aVms)
{
  std::erase_if(entries_, [&aVms](const auto& aItem) {
    return !aVms.contains(aItem.first);
  });
}

} // namespace acaciahill
