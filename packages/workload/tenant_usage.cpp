#include "workload/tenant_usage_base.h"

#include "workload/workload_text_func.h"

namespace acaciahill {

namespace {

/// Whether the last of aTogether tasks starts below the cap of one resource.
bool
IsBelow(std::int64_t aCap,
        std::int64_t aUsed,
        std::int64_t aNeed,
        std::uint32_t aTogether)
{
  return aCap == 0 || aNeed == 0 || aUsed + (aTogether - 1) * aNeed < aCap;
}

} // namespace

void
TenantUsage::SetTenants(const std::map<std::string, TenantSpec>& aTenants)
{
  caps_.clear();
  for (const auto& [name, tenant] : aTenants) {
    if (tenant.cap_ != TaskNeed{}) {
      caps_.emplace(name, tenant.cap_);
    }
  }
}

void
TenantUsage::Add(const std::string& aTenant, const TaskNeed& aNeed)
{
  if (!aTenant.empty()) {
    auto& used = used_[aTenant];
    used = Sum(used, aNeed);
  }
}

void
TenantUsage::Remove(const std::string& aTenant, const TaskNeed& aNeed)
{
  const auto found = used_.find(aTenant);
  if (found == used_.end()) {
    return;
  }
  found->second = Difference(found->second, aNeed);
  if (found->second == TaskNeed{}) {
    used_.erase(found);
  }
}

bool
TenantUsage::MayStart(const std::string& aTenant,
                      const TaskNeed& aNeed,
                      std::uint32_t aTogether) const
{
  const auto found = caps_.find(aTenant);
  if (found == caps_.end()) {
    return true;
  }
  const auto& cap = found->second;
  const auto& used = UsedBy(aTenant);
  return IsBelow(
           cap.milliCores_, used.milliCores_, aNeed.milliCores_, aTogether) &&
         IsBelow(cap.memoryMb_, used.memoryMb_, aNeed.memoryMb_, aTogether) &&
         IsBelow(cap.accelerators_,
                 used.accelerators_,
                 aNeed.accelerators_,
                 aTogether);
}

const TaskNeed&
TenantUsage::UsedBy(const std::string& aTenant) const
{
  static const TaskNeed kNothing;
  const auto found = used_.find(aTenant);
  return found == used_.end() ? kNothing : found->second;
}

} // namespace acaciahill
