#pragma once

#include "kernel/time_type.h"
#include "workload/workload_type.h"

#include <cstdint>
#include <map>

namespace acaciahill {

/// Jobs that were refused a short time ago, so that those which return are not
/// counted as new demand.
class RefusedJobs
{
public:
  void Note(JobId aJob, MonotonicTime aNow)
  {
    ++count_;
    refusedAt_.emplace(aJob, aNow);
  }

  /// The job was refused before.
  bool IsReturning(JobId aJob) const { return refusedAt_.contains(aJob); }

  /// Forgets jobs whose senders do not return any more.
  void Prune(MonotonicTime aNow)
  {
    std::erase_if(refusedAt_, [aNow](const auto& aEntry) {
      return aNow - aEntry.second > kReturnTime;
    });
  }

  /// Refusals so far.
  std::uint64_t Count() const { return count_; }

private:
  static constexpr Millis kReturnTime{ 20000 };

  std::uint64_t count_ = 0;
  std::map<JobId, MonotonicTime> refusedAt_;
};

} // namespace acaciahill
