#include "membership/directory_base.h"

#include <algorithm>
#include <tuple>

namespace acaciahill {

Directory::Directory(std::string aSelf)
  : self_(std::move(aSelf))
{
}

bool
Directory::UpdateTarget(const TargetEvidence& aEvidence)
{
  const auto known = targets_.find(aEvidence.number_);
  if (known != targets_.end()) {
    const auto& old = known->second;
    // The epoch is compared before the time: the time of evidence from a digest
    // is only a lower bound, so evidence of an older epoch may look newer.
    if (std::tie(aEvidence.incarnation_, aEvidence.epoch_, aEvidence.madeAt_) <=
        std::tie(old.incarnation_, old.epoch_, old.madeAt_)) {
      return false;
    }
  }
  targets_.insert_or_assign(aEvidence.number_, aEvidence);
  return true;
}

void
Directory::UpdateNode(const NodeStatus& aStatus)
{
  const auto known = nodes_.find(aStatus.node_);
  if (known != nodes_.end() && aStatus.madeAt_ <= known->second.madeAt_) {
    return;
  }
  nodes_.insert_or_assign(aStatus.node_, aStatus);
}

void
Directory::UpdateTasks(const VmTaskReports& aReports)
{
  const auto known = tasks_.find(aReports.number_);
  if (known != tasks_.end() && aReports.madeAt_ <= known->second.madeAt_) {
    return;
  }
  tasks_.insert_or_assign(aReports.number_, aReports);
}

void
Directory::Merge(const DirectoryDigest& aDigest)
{
  for (const auto& evidence : aDigest.targets_) {
    UpdateTarget(evidence);
  }
  for (const auto& status : aDigest.nodes_) {
    // Other nodes' copies of this node's own status are older than its own.
    if (status.node_ != self_) {
      UpdateNode(status);
    }
  }
  for (const auto& reports : aDigest.tasks_) {
    UpdateTasks(reports);
  }
}

DirectoryDigest
Directory::MakeDigest(MonotonicTime aNow,
                      Millis aMaxAge,
                      const std::vector<std::uint32_t>& aNumbers) const
{
  DirectoryDigest digest;
  for (const auto& [number, evidence] : targets_) {
    const bool wanted =
      aNumbers.empty() ||
      std::find(aNumbers.begin(), aNumbers.end(), number) != aNumbers.end();
    if (wanted && aNow - evidence.madeAt_ <= aMaxAge) {
      digest.targets_.push_back(evidence);
    }
  }
  for (const auto& [node, status] : nodes_) {
    if (aNow - status.madeAt_ <= aMaxAge) {
      digest.nodes_.push_back(status);
    }
  }
  return digest;
}

std::optional<TargetEvidence>
Directory::Find(std::uint32_t aNumber) const
{
  return FindEvidence(targets_, aNumber);
}

std::optional<NodeStatus>
Directory::FindNode(const std::string& aNode) const
{
  const auto found = nodes_.find(aNode);
  if (found == nodes_.end()) {
    return std::nullopt;
  }
  return found->second;
}

void
Directory::Retain(const std::map<std::string, VmRecord>& aVms,
                  const std::map<std::string, NodeRecord>& aNodes)
{
  std::vector<std::uint32_t> numbers;
  numbers.reserve(aVms.size());
  for (const auto& [id, vm] : aVms) {
    numbers.push_back(vm.number_);
  }
  std::sort(numbers.begin(), numbers.end());
  const auto isGone = [&numbers](const auto& aItem) {
    return !std::binary_search(numbers.begin(), numbers.end(), aItem.first);
  };
  std::erase_if(targets_, isGone);
  std::erase_if(tasks_, isGone);
  std::erase_if(nodes_, [&aNodes, this](const auto& aItem) {
    return aItem.first != self_ && !aNodes.contains(aItem.first);
  });
}

std::optional<TargetEvidence>
FindEvidence(const std::map<std::uint32_t, TargetEvidence>& aTargets,
             std::uint32_t aNumber)
{
  const auto found = aTargets.find(aNumber);
  if (found == aTargets.end()) {
    return std::nullopt;
  }
  return found->second;
}

bool
MayRoute(const VmRecord& aVm,
         const std::optional<TargetEvidence>& aEvidence,
         MonotonicTime aNow,
         Millis aLease)
{
  return aVm.phase_ == VmPhase::Active && aEvidence.has_value() &&
         aEvidence->incarnation_ == aVm.identity_.incarnation_ &&
         aEvidence->epoch_ == aVm.epoch_ && !aEvidence->draining_ &&
         aNow - aEvidence->madeAt_ <= aLease;
}

} // namespace acaciahill
