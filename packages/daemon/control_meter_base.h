#pragma once

#include "kernel/metrics_base.h"

#include <cstddef>
#include <string>

namespace acaciahill {

/// Counts the bytes that a node spends on control, as
/// acaciahill_control_bytes_total with the labels rpc (raft, pull, propose,
/// announce) and direction (sent, received). These are serialized messages and
/// bodies of announcements; HTTP, TCP and IP headers are not in them. What was
/// sent counts also when no answer came. Thread-safe.
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
