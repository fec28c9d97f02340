#pragma once

#include "daemon/control_meter_base.h"
#include "daemon/daemon_settings_type.h"
#include "daemon/http_server_base.h"
#include "daemon/replica_service_base.h"
#include "kernel/service_registry_base.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace acaciahill {

/// Name under which the service is registered.
inline constexpr const char* kAnnounceServiceName = "announce";

/// The content of a target's announcement.
struct Announcement
{
  VmIdentity identity_;
  std::uint64_t epoch_ = 0;
  bool draining_ = false;
  std::uint32_t running_ = 0;
  std::vector<TaskReport> tasks_;

  bool operator==(const Announcement&) const = default;
};

/// Parses the JSON of an announcement. Errors: BadRequest with the fault in the
/// detail.
Result<Announcement>
ParseAnnouncement(const std::string& aBody);

/// HTTP service that receives the targets' announcements and replies with their
/// assignments.
class AnnounceService : public Service
{
public:
  AnnounceService(const DaemonSettings& aSettings,
                  const ServiceRegistry& aRegistry,
                  Metrics& aMetrics);

  Result<Done> Start() override;
  void Stop() override;

  ListenerCounts Connections() const { return server_.Counts(); }

private:
  ServerAnswer Handle(const ServerCall& aCall);
  /// Records an announcement that the target made at a time, after registering
  /// the VM if necessary.
  ServerAnswer Accept(const Announcement& aAnnouncement, MonotonicTime aMadeAt);
  Result<Done> Register(const Announcement& aAnnouncement);
  ServerAnswer AssignmentOf(const VmRecord& aVm);
  Millis NextInterval(const VmRecord& aVm);

  const DaemonSettings settings_;
  const ServiceRegistry& registry_;
  Metrics& metrics_;
  ControlMeter meter_;
  ReplicaService* replica_ = nullptr;
  DirectoryService* directory_ = nullptr;
  HttpServer server_;
  std::mutex mutex_;
  /// Last announcement of each target to this node, by VM id; determines the
  /// announcement interval.
  std::map<std::string, MonotonicTime> lastHeardAt_;
  /// Last announcement with an outdated epoch, by VM id.
  std::map<std::string, MonotonicTime> changedAt_;
};

} // namespace acaciahill
