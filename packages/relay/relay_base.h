#pragma once

#include "kernel/metrics_base.h"
#include "kernel/trace_base.h"
#include "relay/relay_type.h"
#include "routing/router_type.h"

#include <map>
#include <memory>
#include <string>

namespace acaciahill {

/// Load of one pool on this node.
struct RelayPoolLoad
{
  std::int64_t inFlight_ = 0;
  std::int64_t queued_ = 0;
  /// Refused for want of capacity since the process started.
  std::int64_t refused_ = 0;

  bool operator==(const RelayPoolLoad&) const = default;
};

/// The data path: takes callers' requests on its port, lets the routing core
/// decide, sends them to targets and answers. Thread-safe.
class Relay
{
public:
  /// The references must outlive the relay.
  Relay(RelaySettings aSettings,
        ClaimGate& aClaims,
        TargetEchoSink& aEchoes,
        TraceSink& aTraces,
        Metrics& aMetrics);
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;
  ~Relay();

  /// Listens and serves. Errors: IoError when the address cannot be bound.
  Result<Done> Start();

  /// The port in use, also when the settings asked for any free one.
  std::uint16_t Port() const;

  /// Takes a new table.
  void SetPools(const PoolsChanged& aPools);

  /// Takes the targets to which this node may send. When it returns, no new
  /// request is sent to a target that is not in the list.
  void SetTargets(const TargetsChanged& aTargets);

  /// Requests that are at each VM or may still be there, by VM id. VMs with
  /// none are left out.
  std::map<std::string, std::uint32_t> InFlight() const;

  std::map<std::string, RelayPoolLoad> Loads() const;

  /// Asks a target for its assignment (HEAD /.well-known/acaciahill) and hands
  /// the answer to the echo sink. Blocks up to the timeout. Errors: Timeout,
  /// IoError, AnswerMalformed. With aAnnounceNow the target is also asked to
  /// announce itself at once, as there is news for it.
  Result<Done> Probe(const std::string& aVm,
                     const std::string& aAddress,
                     Millis aTimeout,
                     bool aAnnounceNow = false);

  /// Graceful stop: new requests are refused as node_stopping, waiting ones
  /// too, those in flight are finished and answered; then connections are
  /// closed. Returns when done or after the grace time.
  void Stop(Millis aGrace);

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace acaciahill
