#pragma once

#include "daemon/control_meter_base.h"
#include "daemon/peer_type.h"

#include <memory>
#include <string>

namespace acaciahill {

/// Serves other nodes' calls by gRPC.
class PeerServer
{
public:
  /// The handler and the meter, when there is one, must outlive the server.
  explicit PeerServer(PeerHandler& aHandler,
                      const ControlMeter* aMeter = nullptr);
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;
  ~PeerServer();

  /// Errors: IoError when the address cannot be bound.
  Result<Done> Start(const std::string& aAddress, const std::string& aCluster);

  /// Ends calls that do not end by themselves within a second.
  void Stop();

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace acaciahill
