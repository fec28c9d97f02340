#include "daemon/listener_metrics_func.h"

namespace acaciahill {

void
SetListenerMetrics(Metrics& aMetrics,
                   const std::string& aInterface,
                   const ListenerCounts& aCounts)
{
  const auto set = [&](const std::string& aName,
                       const std::string& aReason,
                       std::uint64_t aValue) {
    MetricLabels labels{ { "interface", aInterface } };
    if (!aReason.empty()) {
      labels.emplace_back("reason", aReason);
    }
    aMetrics.Set(aName, labels, static_cast<double>(aValue));
  };
  set("acaciahill_connections", "", aCounts.connections_);
  set("acaciahill_request_buffer_bytes", "", aCounts.bufferedBytes_);
  constexpr const char* kRefused = "acaciahill_refused_peers";
  set(kRefused, "connections", aCounts.closedConnections_);
  set(kRefused, "buffers", aCounts.refusedForBuffers_);
  set(kRefused, "size", aCounts.refusedForSize_);
}

} // namespace acaciahill
