#pragma once

#include "daemon/control_meter_base.h"
#include "daemon/daemon_settings_type.h"
#include "daemon/peer_type.h"

#include <memory>
#include <string>

namespace acaciahill {

/// gRPC server for calls of other nodes.
class PeerServer
{
public:
  /// The handler and the meter, when there is one, must outlive the server.
  explicit PeerServer(PeerHandler& aHandler,
                      const ControlMeter* aMeter = nullptr);
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;
  ~PeerServer();

  /// Messages that are being received hold about that many bytes at most; those
  /// beyond it fail. Errors: IoError when the address cannot be bound.
  Result<Done> Start(const std::string& aAddress,
                     const std::string& aCluster,
                     std::size_t aMaxBufferedBytes = kPeerBufferBytes);

  /// Stops the server; calls that take longer than a second are cancelled.
  void Stop();

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace acaciahill
