#pragma once

#include "workload/workload_base.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace acaciahill {

/// Tells which jobs are within the share of their tenant: as many a second as
/// its weight. Where a pool is full, further jobs are served with what the
/// others leave. The shares follow from the accepted jobs and the
/// configuration alone, so that every leader comes to the same result.
class TenantShares
{
public:
  /// Applies the weights and determines the jobs anew.
  void Restore(const WorkloadConfig& aConfig, const Workload& aState);

  /// Counts a job that was accepted at that logical time in ms.
  void CountJob(const JobSpec& aSpec, std::uint64_t aAtMs);

  /// Whether a job that the tenant submits now would be within its share.
  bool HasShareLeft(const std::string& aTenant, std::uint64_t aAtMs) const;

  /// The job was submitted beyond the share of its tenant.
  bool IsBeyondShare(JobId aJob) const { return beyondShare_.contains(aJob); }

  /// Forgets jobs that the state no longer has.
  void Prune(const Workload& aState);

private:
  /// A token bucket that holds what one second of the weight allows.
  struct Bucket
  {
    double jobsPerSecond_ = 1;
    double tokens_ = 1;
    std::uint64_t filledAtMs_ = 0;
  };

  static double TokensAt(const Bucket& aBucket, std::uint64_t aAtMs);

  std::map<std::string, Bucket> buckets_;
  std::set<JobId> beyondShare_;
};

} // namespace acaciahill
