#pragma once

#include "daemon/control_meter_base.h"
#include "daemon/peer_type.h"

#include <functional>
#include <memory>
#include <string>

namespace acaciahill {

/// gRPC client for calls to other nodes. Thread-safe. A connection is replaced
/// after two consecutive timeouts: a device on the path may have lost its state
/// for this connection while new ones work.
class PeerClient
{
public:
  /// The meter, when there is one, must outlive the client.
  explicit PeerClient(const ControlMeter* aMeter = nullptr);
  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;
  /// Waits until every call in flight has ended.
  ~PeerClient();

  /// Sends a Raft message without waiting. The callback receives the reply on
  /// another thread; it is not called when there is no reply. While too many
  /// messages to an address are in flight, further ones are dropped, which Raft
  /// tolerates.
  void SendRaft(const std::string& aAddress,
                const PeerRaft& aRequest,
                Millis aTimeout,
                std::function<void(const PeerRaft&)> aOnReply);

  /// Blocks until the reply arrives. Errors: Timeout, IoError.
  Result<PeerPullReply> Pull(const std::string& aAddress,
                             const PeerPull& aRequest);

  /// Blocks until the reply arrives. Errors: ControlUnreachable when the
  /// command cannot have reached the peer, ProposalLost otherwise.
  Result<CommandResult> Propose(const std::string& aAddress,
                                const PeerPropose& aRequest);

  /// Blocks until the reply arrives. Errors: Timeout, IoError.
  Result<PeerStatus> Status(const std::string& aAddress,
                            const PeerStatusRequest& aRequest,
                            Millis aTimeout);

  /// Cancels calls in flight and refuses new ones.
  void Stop();

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace acaciahill
