#pragma once

#include "state/fleet_type.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace acaciahill {

/// Whether a pool's availability budget allows one VM, the candidate, to become
/// unavailable, with the counts behind it. All counts are VMs of the pool.
struct BudgetVerdict
{
  bool allowed_ = false;
  std::int64_t total_ = 0;
  /// Unavailable VMs, including the candidate.
  std::int64_t unavailable_ = 0;
  /// Available VMs, excluding the candidate.
  std::int64_t available_ = 0;
  /// Rack, as "ZONE/RACK", with most of these available VMs, and their number;
  /// empty and 0 when no VM is available.
  std::string worstRack_;
  std::int64_t worstRackVms_ = 0;
  /// The reason of a refusal, or the counts when allowed, for the operator.
  std::string text_;

  bool operator==(const BudgetVerdict&) const = default;
};

/// Checks the availability budget of a pool for stopping a VM or moving it out.
/// The VM counts once, whether it is available, draining or already lost. A VM
/// is available when it is Active and not in aUnavailable, the VMs that the
/// leader sees as unavailable or unknown; those of other pools do not count.
BudgetVerdict
CheckBudget(const PoolRow& aRow,
            const std::map<std::string, VmRecord>& aVms,
            const std::string& aVm,
            const std::vector<std::string>& aUnavailable);

} // namespace acaciahill
