#pragma once

#include "daemon/daemon_settings_type.h"
#include "daemon/directory_service_base.h"
#include "daemon/replica_service_base.h"
#include "kernel/service_registry_base.h"
#include "kernel/trace_base.h"
#include "relay/relay_base.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace acaciahill {

/// Name under which the service is registered.
inline constexpr const char* kRelayServiceName = "relay";

/// Feeds the relay with the table and the usable targets, commits its claims,
/// and reports what this node has in force.
class RelayService
  : public Service
  , public ClaimGate
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

  ClaimReply Begin(const std::string& aKey,
                   std::uint64_t aFingerprint,
                   MonotonicTime aDeadline) override;
  void End(const EndClaim& aEnd) override;
  void OnEcho(const TargetEcho& aEcho) override;

  std::map<std::string, RelayPoolLoad> Loads() const;

private:
  /// A claim to end. With begin_ set, it is not known whether the claim was
  /// committed; it is proposed once more with the same request id first, so
  /// that the end cannot come before a delayed begin.
  struct PendingEnd
  {
    std::optional<BeginClaim> begin_;
    EndClaim end_;
  };

  void AddEnd(PendingEnd aEnd);
  /// True when the claim's end is decided.
  bool TryEnd(const PendingEnd& aEnd);
  void RunRefresh();
  void RunProbes();
  void ProbeSilentTargets();
  void NotifyTargets();
  void RunClaimEnds();
  void Refresh();

  const DaemonSettings settings_;
  const ServiceRegistry& registry_;
  TraceSink& traces_;
  Metrics& metrics_;
  ReplicaService* replica_ = nullptr;
  DirectoryService* directory_ = nullptr;
  std::unique_ptr<Relay> relay_;

  std::atomic<bool> stopping_{ false };
  bool drained_ = false;
  std::mutex claimMutex_;
  std::condition_variable claimReady_;
  std::deque<PendingEnd> claimEnds_;
  std::atomic<std::uint64_t> nextOwner_{ 1 };
  std::string ownerPrefix_;
  /// Epochs and leases of urgent tasks of which targets were notified, and
  /// when; used by the probing thread only.
  std::map<std::string, MonotonicTime> notified_;
  std::uint64_t refreshedTable_ = 0;
  bool hasRefreshedTable_ = false;
  std::int64_t refreshedNodes_ = 0;
  std::vector<std::thread> threads_;
};

} // namespace acaciahill
