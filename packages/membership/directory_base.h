#pragma once

#include "membership/directory_type.h"
#include "state/fleet_type.h"

#include <map>
#include <optional>
#include <string>

namespace acaciahill {

/// What this node knows about targets, nodes and tasks, merged from
/// announcements, answers and the digests of other nodes. Not thread-safe.
class Directory
{
public:
  explicit Directory(std::string aSelf);

  /// Stores the evidence unless the stored one is as new or newer, compared by
  /// incarnation, epoch and time in this order. Returns true when it was
  /// stored.
  bool UpdateTarget(const TargetEvidence& aEvidence);

  /// Stores a node's status unless the stored one is as new or newer.
  void UpdateNode(const NodeStatus& aStatus);

  /// Stores a VM's task reports unless the stored ones are as new or newer.
  void UpdateTasks(const VmTaskReports& aReports);

  /// Stores the contents of another node's digest, except this node's status.
  void Merge(const DirectoryDigest& aDigest);

  /// Evidence and status not older than aMaxAge, without task reports. aNumbers
  /// selects targets (those of one availability zone); empty selects all.
  DirectoryDigest MakeDigest(MonotonicTime aNow,
                             Millis aMaxAge,
                             const std::vector<std::uint32_t>& aNumbers) const;

  std::optional<TargetEvidence> Find(std::uint32_t aNumber) const;
  std::optional<NodeStatus> FindNode(const std::string& aNode) const;
  const std::map<std::uint32_t, VmTaskReports>& Tasks() const { return tasks_; }
  const std::map<std::string, NodeStatus>& Nodes() const { return nodes_; }
  const std::map<std::uint32_t, TargetEvidence>& Targets() const
  {
    return targets_;
  }

  /// Removes VMs and nodes that are not in the lists; this node is kept.
  void Retain(const std::map<std::string, VmRecord>& aVms,
              const std::map<std::string, NodeRecord>& aNodes);

private:
  std::string self_;
  std::map<std::uint32_t, TargetEvidence> targets_;
  std::map<std::string, NodeStatus> nodes_;
  std::map<std::uint32_t, VmTaskReports> tasks_;
};

/// The evidence of one target, if there is any.
std::optional<TargetEvidence>
FindEvidence(const std::map<std::uint32_t, TargetEvidence>& aTargets,
             std::uint32_t aNumber);

/// True while a node may send requests to a VM: it is active, and announced
/// within the lease that it has this assignment epoch and is not draining.
bool
MayRoute(const VmRecord& aVm,
         const std::optional<TargetEvidence>& aEvidence,
         MonotonicTime aNow,
         Millis aLease);

} // namespace acaciahill
