#pragma once

#include "daemon/daemon_settings_type.h"
#include "workload/scheduler_type.h"

#include <string>
#include <vector>

namespace acaciahill {

/// The settings of a node that carries jobs (acaciahilld --workload), checked
/// and typed. Addresses that the node does not serve are empty.
struct WorkloadSettings
{
  /// What the replica of a control node needs; unused on entry nodes.
  DaemonSettings control_;
  bool isControl_ = false;

  std::string listenCallers_;
  std::string listenReadiness_;
  std::string listenControl_;
  std::string listenInternal_;
  std::string listenMetrics_;
  /// Addresses of control nodes to begin with, as ip:port; the port is that of
  /// their control interface and unused here.
  std::vector<std::string> seeds_;
  /// Port of the internal interface, the same on every node.
  std::string internalPort_;
  /// Interface of the platform that lists and changes VMs; empty without one.
  std::string vmApi_;
  SchedulerSettings scheduler_;
  Millis stopGrace_{ 5000 };

  bool operator==(const WorkloadSettings&) const = default;
};

/// Reads and checks a settings file. Errors: BadSetting with a line for each
/// fault.
Result<WorkloadSettings>
LoadWorkloadSettings(const std::string& aPath);

} // namespace acaciahill
