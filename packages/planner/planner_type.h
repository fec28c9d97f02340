#pragma once

#include "kernel/time_type.h"
#include "membership/directory_type.h"
#include "state/command_type.h"
#include "state/fleet_base.h"

#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace acaciahill {

/// Load of one pool, summed over the entry VMs that report to the leader.
struct PoolLoad
{
  std::int64_t inFlight_ = 0;
  std::int64_t queued_ = 0;
  /// Requests refused for lack of capacity since the last view.
  std::int64_t refused_ = 0;

  bool operator==(const PoolLoad&) const = default;
};

/// Input of the planners: the replicated state and the reports that the leader
/// received. The fleet must outlive the view.
struct PlannerView
{
  const Fleet* fleet_ = nullptr;
  /// Latest evidence of each target, by VM id.
  std::map<std::string, TargetEvidence> targets_;
  /// Latest status of each node, by node id.
  std::map<std::string, NodeStatus> nodes_;
  /// Availability zones with a report from some node or target within the
  /// contact limit.
  std::set<std::string> zonesInContact_;
  std::map<std::string, PoolLoad> loads_;
  /// Task reports by VM id: all tasks that the VM listed in one announcement.
  std::map<std::string, std::vector<TaskReport>> reports_;
  /// Time at which each VM made its reports, by VM id. Reports without a time
  /// are ignored. The VM's evidence may be newer, as digests pass on reports
  /// less often.
  std::map<std::string, MonotonicTime> reportsMadeAt_;
};

/// Proposes a command, which may be refused. The planner sees the outcome in
/// the fleet of a later view.
struct ProposeCommand
{
  Command command_;

  bool operator==(const ProposeCommand&) const = default;
};

/// Requests a reboot of a VM from the platform. The operation id makes it
/// idempotent; it is repeated until the VM announces a new incarnation.
struct AskReboot
{
  std::string vm_;
  std::string operation_;

  bool operator==(const AskReboot&) const = default;
};

using PlannerAction = std::variant<ProposeCommand, AskReboot>;

/// Time limits that all planners share.
struct PlannerLimits
{
  /// Maximum age of the evidence of a target that counts as available.
  Millis availableFor_{ 5000 };
  /// Time without evidence after which a VM is marked as lost.
  Millis lostAfter_{ 60000 };
  /// Maximum age of evidence on which any node may still send to a target.
  Millis routingLease_{ 5000 };
  Millis routingMargin_{ 1000 };

  bool operator==(const PlannerLimits&) const = default;
};

} // namespace acaciahill
