#pragma once

#include "kernel/time_type.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace acaciahill {

/// The last announced state of a target. madeAt_ is when the target announced
/// it, on this node's monotonic clock; it may be too late by at most the time
/// that the announcement was in transit.
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
  /// Requests refused since the process started.
  std::uint64_t refused_ = 0;

  bool operator==(const NodePoolLoad&) const = default;
};

/// The last reported status of a node.
struct NodeStatus
{
  std::string node_;
  std::uint64_t appliedIndex_ = 0;
  std::uint64_t tableVersion_ = 0;
  /// Requests in flight to draining targets, by target number. Targets with
  /// none are left out.
  std::map<std::uint32_t, std::uint32_t> inFlight_;
  /// Load by pool. Pools without load are left out.
  std::map<std::string, NodePoolLoad> loads_;
  MonotonicTime madeAt_{};

  bool operator==(const NodeStatus&) const = default;
};

/// A VM's last report on one of its tasks.
struct TaskReport
{
  std::string task_;
  std::uint64_t lease_ = 0;
  /// "running", "completed", "failed" or "checkpointed".
  std::string state_;
  std::int64_t milliCores_ = 0;
  std::int64_t memoryMb_ = 0;
  /// Age of milliCores_ and memoryMb_ when they were reported.
  Millis usageAge_{ 0 };

  bool operator==(const TaskReport&) const = default;
};

/// A VM's last reports on all of its tasks.
struct VmTaskReports
{
  std::uint32_t number_ = 0;
  std::uint64_t incarnation_ = 0;
  std::vector<TaskReport> tasks_;
  MonotonicTime madeAt_{};

  bool operator==(const VmTaskReports&) const = default;
};

/// Information that one node sends to another. Times are on the receiver's
/// clock.
struct DirectoryDigest
{
  std::vector<TargetEvidence> targets_;
  std::vector<NodeStatus> nodes_;
  std::vector<VmTaskReports> tasks_;

  bool operator==(const DirectoryDigest&) const = default;
};

} // namespace acaciahill
