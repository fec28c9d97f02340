#pragma once

#include "planner/planner_type.h"
#include "planner/proposal_gate_base.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace acaciahill {

/// Marks VMs without recent evidence (silent VMs) as lost and recovers those
/// that report again. Silence counts only while this object runs without gaps
/// and other targets of the VM's zone report, so neither a frozen leader nor a
/// zone out of contact causes VMs to be marked. Not thread-safe.
class VmWatch
{
public:
  explicit VmWatch(PlannerLimits aLimits);

  std::vector<PlannerAction> Step(const PlannerView& aView, MonotonicTime aNow);

private:
  /// Zones in contact that have recent evidence of some target.
  std::set<std::string> HeardZones(const PlannerView& aView,
                                   MonotonicTime aNow) const;
  std::optional<Command> Decide(const VmRecord& aVm,
                                const TargetEvidence* aEvidence,
                                const std::set<std::string>& aHeardZones,
                                MonotonicTime aNow);

  PlannerLimits limits_;
  ProposalGate gate_;
  std::optional<MonotonicTime> lastStep_;
  /// Since when Step() has been called without a gap.
  MonotonicTime watchingSince_{};
  /// Start of the silence of each silent VM, as far as this object saw it.
  std::map<std::string, MonotonicTime> silentSince_;
};

} // namespace acaciahill
