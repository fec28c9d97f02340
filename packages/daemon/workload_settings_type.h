#pragma once

#include "daemon/daemon_settings_type.h"
#include "http/async_http_type.h"
#include "workload/scheduler_type.h"

#include <string>
#include <vector>

namespace acaciahill {

/// The settings of a node in workload mode (acaciahilld --workload), checked
/// and typed. The address of an interface that the node does not serve is
/// empty.
struct WorkloadSettings
{
  /// Settings of the Raft replica on a control node; unused on entry nodes.
  DaemonSettings control_;
  bool isControl_ = false;

  std::string listenCallers_;
  std::string listenReadiness_;
  std::string listenControl_;
  std::string listenInternal_;
  std::string listenMetrics_;
  /// Addresses of the control nodes to contact first, as ip:port. The port is
  /// that of their control interface and is ignored here.
  std::vector<std::string> seeds_;
  /// Port of the internal interface, the same on every node.
  std::string internalPort_;
  /// Address of the platform's API that lists and changes VMs; empty when there
  /// is none.
  std::string vmApi_;
  SchedulerSettings scheduler_;
  Millis stopGrace_{ 5000 };
  /// Limits of each HTTP interface.
  ListenerLimits listenerLimits_;
  /// Largest body at the control interface. Configurations hold hundreds of
  /// queues of about 250 bytes each; a parsed one takes about forty times its
  /// size.
  std::size_t maxControlBodyBytes_ = std::size_t{ 1024 } * 1024;

  bool operator==(const WorkloadSettings&) const = default;
};

/// Reads and checks a settings file. Errors: BadSetting with a line for each
/// fault.
Result<WorkloadSettings>
LoadWorkloadSettings(const std::string& aPath);

} // namespace acaciahill
