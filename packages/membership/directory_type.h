#pragma once

#include "kernel/time_type.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace acaciahill {

/// What a target last said of itself, and when: madeAt_ is the time on this
/// node's monotonic clock at which the target made the statement, or later only
/// by the time the statement travelled.
struct TargetEvidence
{
  std::uint32_t number_ = 0;
  std::uint64_t incarnation_ = 0;
  /// Highest assignment epoch that the target has seen.
  std::uint64_t epoch_ = 0;
  bool draining_ = false;
  /// Requests and tasks running on the target, from all entry VMs.
  std::uint32_t running_ = 0;
  MonotonicTime madeAt_{};

  bool operator==(const TargetEvidence&) const = default;
};

/// Load of one pool on one node.
struct NodePoolLoad
{
  std::uint32_t inFlight_ = 0;
  std::uint32_t queued_ = 0;
  /// Refused for want of capacity since the process started.
  std::uint64_t refused_ = 0;

  bool operator==(const NodePoolLoad&) const = default;
};

/// What a node last said of itself.
struct NodeStatus
{
  std::string node_;
  std::uint64_t appliedIndex_ = 0;
  std::uint64_t tableVersion_ = 0;
  /// Requests in flight to targets that drain, by target number. Targets with
  /// none are left out.
  std::map<std::uint32_t, std::uint32_t> inFlight_;
  /// Load by pool. Pools without any are left out.
  std::map<std::string, NodePoolLoad> loads_;
  MonotonicTime madeAt_{};

  bool operator==(const NodeStatus&) const = default;
};

/// What a VM last reported of one of its tasks.
struct TaskReport
{
  std::string task_;
  std::uint64_t lease_ = 0;
  /// "running", "completed", "failed" or "checkpointed".
  std::string state_;
  std::int64_t milliCores_ = 0;
  std::int64_t memoryMb_ = 0;
  /// Age of the usage figures when they were reported.
  Millis usageAge_{ 0 };

  bool operator==(const TaskReport&) const = default;
};

/// The tasks of one VM as it last reported them.
struct VmTaskReports
{
  std::uint32_t number_ = 0;
  std::uint64_t incarnation_ = 0;
  std::vector<TaskReport> tasks_;
  MonotonicTime madeAt_{};

  bool operator==(const VmTaskReports&) const = default;
};

/// What one node passes to another. Times are on the receiver's clock.
struct DirectoryDigest
{
  std::vector<TargetEvidence> targets_;
  std::vector<NodeStatus> nodes_;
  std::vector<VmTaskReports> tasks_;

  bool operator==(const DirectoryDigest&) const = default;
};

} // namespace acaciahill
