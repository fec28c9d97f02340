#pragma once

#include "planner/planner_type.h"
#include "planner/proposal_gate_base.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace acaciahill {

/// Marks silent VMs as lost and recovers those that are heard again. Silence
/// counts only while this object watches and while other targets of the VM's
/// zone are heard, so neither a frozen leader nor a zone out of contact marks
/// anything. Not thread-safe.
class VmWatch
{
public:
  explicit VmWatch(PlannerLimits aLimits);

  std::vector<PlannerAction> Step(const PlannerView& aView, MonotonicTime aNow);

private:
  /// Zones in contact of which some target was heard lately.
  std::set<std::string> HeardZones(const PlannerView& aView,
                                   MonotonicTime aNow) const;
  std::optional<Command> Decide(const VmRecord& aVm,
                                const TargetEvidence* aEvidence,
                                const std::set<std::string>& aHeardZones,
                                MonotonicTime aNow);

  PlannerLimits limits_;
  ProposalGate gate_;
  std::optional<MonotonicTime> lastStep_;
  /// Since when this object has watched without a gap.
  MonotonicTime watchingSince_{};
  /// Since when each silent VM is silent under this watch.
  std::map<std::string, MonotonicTime> silentSince_;
};

} // namespace acaciahill
