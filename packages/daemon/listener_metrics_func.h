#pragma once

#include "http/async_http_type.h"
#include "kernel/metrics_base.h"

#include <string>

namespace acaciahill {

/// Sets the gauges of an HTTP interface: connections and buffered bytes, and
/// the refused peers by reason.
void
SetListenerMetrics(Metrics& aMetrics,
                   const std::string& aInterface,
                   const ListenerCounts& aCounts);

} // namespace acaciahill
