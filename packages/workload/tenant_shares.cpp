#include "workload/tenant_shares_base.h"

#include <algorithm>
#include <vector>

namespace acaciahill {

namespace {

constexpr double kMsPerSecond = 1000;

/// A bucket holds at least one job, so that a tenant with a weight below 1 gets
/// its share as well.
double
CapacityOf(double aJobsPerSecond)
{
  return std::max(1.0, aJobsPerSecond);
}

} // namespace

double
TenantShares::TokensAt(const Bucket& aBucket, std::uint64_t aAtMs)
{
  const auto since = aAtMs > aBucket.filledAtMs_
                       ? static_cast<double>(aAtMs - aBucket.filledAtMs_)
                       : 0.0;
  return std::min(CapacityOf(aBucket.jobsPerSecond_),
                  aBucket.tokens_ +
                    since * aBucket.jobsPerSecond_ / kMsPerSecond);
}

void
TenantShares::Restore(const WorkloadConfig& aConfig, const Workload& aState)
{
  buckets_.clear();
  beyondShare_.clear();
  for (const auto& [name, tenant] : aConfig.tenants_) {
    buckets_.emplace(name,
                     Bucket{ tenant.weight_, CapacityOf(tenant.weight_), 0 });
  }
  if (buckets_.empty()) {
    return;
  }
  std::vector<const JobEntry*> jobs;
  for (const auto& [id, job] : aState.Jobs()) {
    if (!job.spec_.tenant_.empty()) {
      jobs.push_back(&job);
    }
  }
  std::sort(jobs.begin(), jobs.end(), [](const auto* aOne, const auto* aTwo) {
    return std::pair(aOne->acceptedAtMs_, aOne->spec_.id_) <
           std::pair(aTwo->acceptedAtMs_, aTwo->spec_.id_);
  });
  for (const auto* job : jobs) {
    CountJob(job->spec_, job->acceptedAtMs_);
  }
}

void
TenantShares::CountJob(const JobSpec& aSpec, std::uint64_t aAtMs)
{
  const auto found = buckets_.find(aSpec.tenant_);
  if (found == buckets_.end()) {
    return;
  }
  auto& bucket = found->second;
  bucket.tokens_ = TokensAt(bucket, aAtMs);
  bucket.filledAtMs_ = std::max(bucket.filledAtMs_, aAtMs);
  if (bucket.tokens_ >= 1) {
    bucket.tokens_ -= 1;
  } else {
    beyondShare_.insert(aSpec.id_);
  }
}

bool
TenantShares::HasShareLeft(const std::string& aTenant,
                           std::uint64_t aAtMs) const
{
  const auto found = buckets_.find(aTenant);
  return found == buckets_.end() || TokensAt(found->second, aAtMs) >= 1;
}

void
TenantShares::Prune(const Workload& aState)
{
  std::erase_if(beyondShare_, [&aState](JobId aJob) {
    return aState.FindJob(aJob) == nullptr;
  });
}

} // namespace acaciahill
