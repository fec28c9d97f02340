#pragma once

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <set>

namespace acaciahill::bench {

/// Totals of one process. Bytes are TCP payload as the kernel counts it.
struct NodeTotals
{
  double cpuSeconds_ = 0;
  std::int64_t residentBytes_ = 0;
  std::uint64_t sentBytes_ = 0;
  std::uint64_t receivedBytes_ = 0;
  /// Segments in both directions, pure acknowledgements included.
  std::uint64_t segments_ = 0;
};

/// Processor time (user and system) of a process so far, in seconds.
double
ProcessCpuSeconds(pid_t aPid);

/// Resident memory of a process in bytes.
std::int64_t
ProcessResidentBytes(pid_t aPid);

/// Reads the totals of processes that talk to each other on given ports: the
/// connections from or to these ports, by the kernel's socket diagnosis. What
/// a connection carried is lost when it ends between two readings.
class NodeMeter
{
public:
  explicit NodeMeter(std::set<std::uint16_t> aPeerPorts);

  std::map<pid_t, NodeTotals> Read(const std::set<pid_t>& aPids);

private:
  std::set<std::uint16_t> ports_;
};

} // namespace acaciahill::bench
