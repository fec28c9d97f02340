#pragma once

#include "workload/workload_type.h"

#include <cstdint>
#include <map>
#include <string>

namespace acaciahill {

/// What the tasks of each tenant reserve on all workers together, and the caps
/// on it. The scheduler adds a run when it is assigned and removes it when it
/// is certainly over, so that runs count which have no answer yet, are being
/// stopped, or were started by a former leader. Tasks without a tenant do not
/// count.
class TenantUsage
{
public:
  void SetTenants(const std::map<std::string, TenantSpec>& aTenants);

  void Add(const std::string& aTenant, const TaskNeed& aNeed);
  void Remove(const std::string& aTenant, const TaskNeed& aNeed);

  /// Whether that many more tasks may start together. The last of them may
  /// exceed the cap: a tenant whose tasks are larger than what is left of its
  /// cap would else use less than the cap for good.
  bool MayStart(const std::string& aTenant,
                const TaskNeed& aNeed,
                std::uint32_t aTogether) const;

  const TaskNeed& UsedBy(const std::string& aTenant) const;
  /// The tenants with tasks that may be on a worker.
  const std::map<std::string, TaskNeed>& Used() const { return used_; }

private:
  std::map<std::string, TaskNeed> caps_;
  std::map<std::string, TaskNeed> used_;
};

} // namespace acaciahill
