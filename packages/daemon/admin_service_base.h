#pragma once

#include "daemon/announce_service_base.h"
#include "daemon/daemon_settings_type.h"
#include "daemon/http_server_base.h"
#include "daemon/relay_service_base.h"
#include "daemon/replica_service_base.h"
#include "kernel/metrics_base.h"
#include "kernel/service_registry_base.h"

#include <atomic>
#include <string>

namespace acaciahill {

/// Name under which the service is registered.
inline constexpr const char* kAdminServiceName = "admin";

/// The operators' HTTP port; see docs/admin-api.md.
class AdminService : public Service
{
public:
  AdminService(const DaemonSettings& aSettings,
               const ServiceRegistry& aRegistry,
               Metrics& aMetrics);

  Result<Done> Start() override;
  void Stop() override;

  /// Makes /readyz answer 503, so that the load balancer sends no new callers.
  void SetStopping() { stopping_ = true; }

private:
  ServerAnswer Handle(const ServerCall& aCall);
  ServerAnswer Get(const ServerCall& aCall);
  ServerAnswer Table() const;
  ServerAnswer TableCsv() const;
  ServerAnswer Columns() const;
  ServerAnswer Pools() const;
  ServerAnswer Vms() const;
  ServerAnswer Nodes() const;
  ServerAnswer Waves(const std::string& aWave) const;
  ServerAnswer Why(const std::string& aSubject) const;
  ServerAnswer InForce(const ServerCall& aCall) const;
  ServerAnswer Ready() const;
  ServerAnswer PrintMetrics();
  ServerAnswer PostCommand(const ServerCall& aCall);

  const DaemonSettings settings_;
  const ServiceRegistry& registry_;
  Metrics& metrics_;
  ReplicaService* replica_ = nullptr;
  DirectoryService* directory_ = nullptr;
  RelayService* relay_ = nullptr;
  AnnounceService* announce_ = nullptr;
  std::atomic<bool> stopping_{ false };
  HttpServer server_;
};

} // namespace acaciahill
