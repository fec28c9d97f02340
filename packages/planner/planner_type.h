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

/// Load of one pool, summed over the entry VMs that the leader hears.
struct PoolLoad
{
  std::int64_t inFlight_ = 0;
  std::int64_t queued_ = 0;
  /// Requests refused for want of capacity since the last view.
  std::int64_t refused_ = 0;

  bool operator==(const PoolLoad&) const = default;
};

/// Everything a planner decides on: the replicated state, and what the leader
/// hears. The fleet outlives the view.
struct PlannerView
{
  const Fleet* fleet_ = nullptr;
  /// Last statement of each target, by VM id.
  std::map<std::string, TargetEvidence> targets_;
  /// Last status of each node, by node id.
  std::map<std::string, NodeStatus> nodes_;
  /// Availability zones of which some node or target was heard within the
  /// contact limit.
  std::set<std::string> zonesInContact_;
  std::map<std::string, PoolLoad> loads_;
  /// Task reports by VM id: all tasks that the VM named in one announcement.
  std::map<std::string, std::vector<TaskReport>> reports_;
  /// When each VM made its reports, by VM id. Reports without a time here are
  /// ignored: the VM's evidence may be newer than they are, as digests pass on
  /// reports less often.
  std::map<std::string, MonotonicTime> reportsMadeAt_;
};

/// Propose a command. It may be refused; the planner sees the outcome in the
/// fleet of a later view.
struct ProposeCommand
{
  Command command_;

  bool operator==(const ProposeCommand&) const = default;
};

/// Ask the platform to reboot a VM. The operation id makes it idempotent; it is
/// asked again until the VM announces a new incarnation.
struct AskReboot
{
  std::string vm_;
  std::string operation_;

  bool operator==(const AskReboot&) const = default;
};

using PlannerAction = std::variant<ProposeCommand, AskReboot>;

/// Limits that the planners share.
struct PlannerLimits
{
  /// Age of evidence up to which a target counts as available.
  Millis availableFor_{ 5000 };
  /// Silence after which a VM is marked as lost.
  Millis lostAfter_{ 60000 };
  /// Longest age of evidence on which any node may still send to a target.
  Millis routingLease_{ 5000 };
  Millis routingMargin_{ 1000 };

  bool operator==(const PlannerLimits&) const = default;
};

} // namespace acaciahill
