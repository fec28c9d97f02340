#pragma once

#include "membership/directory_type.h"
#include "state/fleet_type.h"

#include <map>
#include <optional>
#include <string>

namespace acaciahill {

/// What one node knows of targets and nodes, merged from announcements, answers
/// and the digests of other nodes. Not thread-safe.
class Directory
{
public:
  explicit Directory(std::string aSelf);

  /// Takes a statement of a target unless it is older than what is known, by
  /// incarnation, epoch and time in this order. Returns true when it was news.
  bool UpdateTarget(const TargetEvidence& aEvidence);

  /// Takes a statement of a node; an older one than is known is ignored.
  void UpdateNode(const NodeStatus& aStatus);

  /// Takes a VM's report of its tasks; an older one than is known is ignored.
  void UpdateTasks(const VmTaskReports& aReports);

  /// Takes everything in another node's digest.
  void Merge(const DirectoryDigest& aDigest);

  /// The statements not older than aMaxAge. Targets can be narrowed to some
  /// numbers (those of one availability zone); an empty list means all.
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

  /// Forgets targets and nodes that are not in the lists any more.
  void Retain(const std::map<std::string, VmRecord>& aVms,
              const std::map<std::string, NodeRecord>& aNodes);

private:
  std::string self_;
  std::map<std::uint32_t, TargetEvidence> targets_;
  std::map<std::string, NodeStatus> nodes_;
  std::map<std::uint32_t, VmTaskReports> tasks_;
};

/// The evidence of one target; nothing when there is none.
std::optional<TargetEvidence>
FindEvidence(const std::map<std::uint32_t, TargetEvidence>& aTargets,
             std::uint32_t aNumber);

/// True while a node may send requests to a VM: the VM itself said within the
/// lease that it holds exactly this assignment and does not drain.
bool
MayRoute(const VmRecord& aVm,
         const std::optional<TargetEvidence>& aEvidence,
         MonotonicTime aNow,
         Millis aLease);

} // namespace acaciahill
