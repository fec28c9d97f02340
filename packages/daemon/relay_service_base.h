#pragma once

#include "daemon/daemon_settings_type.h"
#include "daemon/directory_service_base.h"
#include "daemon/replica_service_base.h"
#include "kernel/service_registry_base.h"
#include "kernel/trace_base.h"
#include "relay/relay_base.h"

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace acaciahill {

/// Name under which the service is registered.
inline constexpr const char* kRelayServiceName = "relay";

class ClaimCommitter;

/// Supplies the relay with the pool table and the usable targets, commits its
/// claims, and reports the state index and the table version that this node has
/// applied.
class RelayService
  : public Service
  , public TargetEchoSink
{
public:
  RelayService(const DaemonSettings& aSettings,
               const ServiceRegistry& aRegistry,
               TraceSink& aTraces,
               Metrics& aMetrics);
  ~RelayService() override;

  Result<Done> Start() override;
  void Stop() override;

  /// Refuses new requests and waits for those in flight, up to the grace time
  /// of the settings.
  void Drain();

  void OnEcho(const TargetEcho& aEcho) override;

  std::map<std::string, RelayPoolLoad> Loads() const;

private:
  void RunRefresh();
  void RunProbes();
  void ProbeSilentTargets();
  void NotifyTargets();
  void Refresh();

  const DaemonSettings settings_;
  const ServiceRegistry& registry_;
  TraceSink& traces_;
  Metrics& metrics_;
  ReplicaService* replica_ = nullptr;
  DirectoryService* directory_ = nullptr;
  std::unique_ptr<ClaimCommitter> claims_;
  std::unique_ptr<Relay> relay_;

  std::atomic<bool> stopping_{ false };
  bool drained_ = false;
  /// When targets were last notified of an epoch or of the lease of an urgent
  /// task. Used by the probing thread only.
  std::map<std::string, MonotonicTime> notified_;
  /// The state index of the last refresh, and the pools last given to the
  /// relay.
  std::optional<std::uint64_t> refreshedIndex_;
  std::optional<PoolsChanged> pools_;
  std::vector<std::thread> threads_;
};

} // namespace acaciahill
