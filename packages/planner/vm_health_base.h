#pragma once

#include "kernel/time_type.h"
#include "state/fleet_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace acaciahill {

/// Distinguishes VMs that fail every task from tasks that fail on every VM. Not
/// thread-safe.
class VmHealth
{
public:
  /// Records that a task of a job failed on a VM.
  void AddFailure(const std::string& aVm,
                  const std::string& aJob,
                  MonotonicTime aNow);

  /// Records that a task completed on a VM, or has run there long enough.
  void AddSuccess(const std::string& aVm);

  /// True if tasks have succeeded on the VM, with fewer than three failures
  /// since: a further failure there is attributed to the task.
  bool IsProven(const std::string& aVm) const;

  /// True if tasks failed on the VM since its last success; other VMs are
  /// preferred.
  bool IsSuspect(const std::string& aVm) const;

  /// Maximum number of concurrent tasks on the VM: 0 while it is excluded; 1,
  /// as a probe, after the exclusion and while an unproven VM has failures;
  /// else no limit.
  std::int64_t TaskLimit(const std::string& aVm, MonotonicTime aNow) const;

  /// Removes VMs that no longer exist.
  void Retain(const std::map<std::string, VmRecord>& aVms);

private:
  /// Failures on a VM since its last success.
  struct Entry
  {
    std::int64_t failures_ = 0;
    std::set<std::string> failedJobs_;
    bool proven_ = false;
    Millis backOff_{ 0 };
    std::optional<MonotonicTime> excludedUntil_;
  };

  std::map<std::string, Entry> entries_;
};

} // namespace acaciahill
