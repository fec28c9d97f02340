#pragma once

#include "kernel/metrics_base.h"

#include <cstddef>
#include <string>

namespace acaciahill {

/// Counts the bytes of a node's control traffic in the metric
/// acaciahill_control_bytes_total with the labels rpc (raft, pull, propose,
/// announce) and direction (sent, received). Counted are serialized messages
/// and bodies of announcements, without HTTP, TCP and IP headers. Sent bytes
/// are counted even if no answer arrives. Thread-safe.
class ControlMeter
{
public:
  explicit ControlMeter(Metrics& aMetrics);

  void Count(const std::string& aRpc,
             std::size_t aSentBytes,
             std::size_t aReceivedBytes) const;

private:
  Metrics& metrics_;
};

} // namespace acaciahill
