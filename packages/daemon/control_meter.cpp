#include "daemon/control_meter_base.h"

namespace acaciahill {

namespace {

constexpr const char* kName = "acaciahill_control_bytes_total";

} // namespace

ControlMeter::ControlMeter(Metrics& aMetrics)
  : metrics_(aMetrics)
{
  metrics_.Describe(kName,
                    "Bytes of serialized messages between nodes and of bodies "
                    "of announcements, without HTTP, TCP and IP headers.");
}

void
ControlMeter::Count(const std::string& aRpc,
                    std::size_t aSentBytes,
                    std::size_t aReceivedBytes) const
{
  metrics_.Count(kName,
                 { { "rpc", aRpc }, { "direction", "sent" } },
                 static_cast<double>(aSentBytes));
  metrics_.Count(kName,
                 { { "rpc", aRpc }, { "direction", "received" } },
                 static_cast<double>(aReceivedBytes));
}

} // namespace acaciahill
