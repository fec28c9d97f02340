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

/// What a target announced.
struct Announcement
{
  VmIdentity identity_;
  std::uint64_t epoch_ = 0;
  bool draining_ = false;
  std::uint32_t running_ = 0;
  std::vector<TaskReport> tasks_;

  bool operator==(const Announcement&) const = default;
};

/// Reads an announcement's JSON. Errors: BadRequest naming the field.
Result<Announcement>
ParseAnnouncement(const std::string& aBody);

/// Takes targets' announcements and answers with their assignments.
class AnnounceService : public Service
{
public:
  AnnounceService(const DaemonSettings& aSettings,
                  const ServiceRegistry& aRegistry,
                  Metrics& aMetrics);

  Result<Done> Start() override;
  void Stop() override;

private:
  ServerAnswer Handle(const ServerCall& aCall);
  ServerAnswer Take(const Announcement& aAnnouncement, MonotonicTime aMadeAt);
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
  /// When each target was last heard here, for the next interval.
  std::map<std::string, MonotonicTime> heardHere_;
  /// When the assignment of each VM was last seen to differ from its own.
  std::map<std::string, MonotonicTime> changedAt_;
};

} // namespace acaciahill
