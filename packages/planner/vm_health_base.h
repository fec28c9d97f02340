#pragma once

#include "kernel/time_type.h"
#include "state/fleet_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace acaciahill {

/// Tells VMs that fail every task from tasks that fail on every VM. Not
/// thread-safe.
class VmHealth
{
public:
  /// A task of a job failed on a VM.
  void AddFailure(const std::string& aVm,
                  const std::string& aJob,
                  MonotonicTime aNow);

  /// A task of a job completed on a VM, or has run there for a while.
  void AddSuccess(const std::string& aVm);

  /// True when the VM runs tasks well, so that a failure there is the task's.
  bool IsProven(const std::string& aVm) const;

  /// True when tasks failed on the VM since its last success; other VMs are
  /// better choices.
  bool IsSuspect(const std::string& aVm) const;

  /// Tasks that may be on the VM at once: none while it is excluded, one as a
  /// probe after that and after failures that no success followed, else no
  /// limit.
  std::int64_t TaskLimit(const std::string& aVm, MonotonicTime aNow) const;

  /// Forgets VMs that are gone.
  void Retain(const std::map<std::string, VmRecord>& aVms);

private:
  /// What happened on a VM since its last success.
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
