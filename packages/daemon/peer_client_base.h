#pragma once

#include "daemon/control_meter_base.h"
#include "daemon/peer_type.h"

#include <functional>
#include <memory>
#include <string>

namespace acaciahill {

/// Calls other nodes by gRPC. Thread-safe. A connection on which two calls in a
/// row time out is replaced: something between the ends may have lost track of
/// it while new ones work.
class PeerClient
{
public:
  /// The meter, when there is one, must outlive the client.
  explicit PeerClient(const ControlMeter* aMeter = nullptr);
  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;
  /// Waits until every call in flight has ended.
  ~PeerClient();

  /// Sends a message; the callback gets the reply on another thread, and is not
  /// called when there is none. Messages beyond a few in flight to one address
  /// are dropped, which the log's protocol allows for.
  void SendRaft(const std::string& aAddress,
                const PeerRaft& aRequest,
                Millis aTimeout,
                std::function<void(const PeerRaft&)> aOnReply);

  /// Blocks until the reply is there. Errors: Timeout, IoError.
  Result<PeerPullReply> Pull(const std::string& aAddress,
                             const PeerPull& aRequest);

  /// Blocks until the reply is there. Errors: ControlUnreachable when the
  /// command cannot have reached the peer, ProposalLost otherwise.
  Result<CommandResult> Propose(const std::string& aAddress,
                                const PeerPropose& aRequest);

  /// Blocks until the reply is there. Errors: Timeout, IoError.
  Result<PeerStatus> Status(const std::string& aAddress,
                            const PeerStatusRequest& aRequest,
                            Millis aTimeout);

  /// Ends calls that are waiting and refuses new ones.
  void Stop();

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace acaciahill
