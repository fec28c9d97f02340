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
  /// Requests refused for lack of capacity since the process started.
  std::int64_t refused_ = 0;

  bool operator==(const RelayPoolLoad&) const = default;
};

/// The data path: accepts callers' requests, has the routing core choose
/// targets, forwards the requests and returns the answers. Thread-safe.
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

  /// Replaces the pool table.
  void SetPools(const PoolsChanged& aPools);

  /// Replaces the targets to which this node may send. Once it has returned, no
  /// new request is sent to a target that is not in the list.
  void SetTargets(const TargetsChanged& aTargets);

  /// Number of requests that each VM is or may still be processing, by VM id.
  /// VMs with none are left out.
  std::map<std::string, std::uint32_t> InFlight() const;

  std::map<std::string, RelayPoolLoad> Loads() const;

  /// Asks a target for its assignment (HEAD /.well-known/acaciahill) and passes
  /// the answer to the echo sink. Blocks up to the timeout. Errors: Timeout,
  /// IoError, AnswerMalformed. With aAnnounceNow the target is also asked to
  /// announce itself at once, so that it gets a new epoch or an urgent task
  /// without delay.
  Result<Done> Probe(const std::string& aVm,
                     const std::string& aAddress,
                     Millis aTimeout,
                     bool aAnnounceNow = false);

  /// Graceful stop: new and queued requests are refused as node_stopping, those
  /// in flight are finished and answered, then connections are closed. Returns
  /// when done or after the grace time.
  void Stop(Millis aGrace);

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace acaciahill
