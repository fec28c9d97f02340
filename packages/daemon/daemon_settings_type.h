#pragma once

#include "consensus/raft_type.h"
#include "http/async_http_type.h"
#include "kernel/error_type.h"
#include "kernel/log_func.h"
#include "kernel/time_type.h"
#include "relay/relay_type.h"

#include <map>
#include <optional>
#include <string>

namespace acaciahill {

/// A control group that forms itself by discovery among nodes that know only a
/// few seed addresses. The members' node ids are their IP addresses, and all
/// use the same peer port.
struct SeededGroup
{
  std::string peerPort_;
  /// The whole group starts for the first time, with empty disks.
  bool isFirstStart_ = false;
  /// Number of voters that may fail at once; the group has twice as many voters
  /// plus one.
  int toleratedLosses_ = 1;

  bool operator==(const SeededGroup&) const = default;
};

/// Memory for messages that peers send, unless the settings say otherwise.
inline constexpr std::size_t kPeerBufferBytes = std::size_t{ 32 } * 1024 * 1024;

/// The settings of acaciahilld, checked and typed.
struct DaemonSettings
{
  std::string node_;
  std::string zone_;
  std::string cluster_;
  bool voter_ = false;
  std::string dataDir_;

  std::string listenAnnounce_;
  std::string listenAdmin_;
  std::string listenPeers_;
  std::string advertisePeers_;
  std::string advertiseAdmin_;
  /// Limits of the admin and the announce interface, each.
  ListenerLimits listenerLimits_;
  /// Bytes of peers' messages that are being received.
  std::size_t peerBufferBytes_ = kPeerBufferBytes;
  /// Peer addresses of all voters by node id.
  std::map<std::string, std::string> voters_;
  /// Set when the voters are discovered and not listed in the settings.
  std::optional<SeededGroup> seeded_;

  RaftTiming raft_;
  Millis announceInterval_{ 2000 };
  Millis routingLease_{ 5000 };
  Millis lostAfter_{ 60000 };
  Millis availableFor_{ 5000 };
  Millis stopGrace_{ 30000 };
  std::uint64_t snapshotEntries_ = 2000;

  /// Base URL of the platform; empty when there is none.
  std::string platformUrl_;
  std::string traceFile_;
  LogSettings log_;
  RelaySettings relay_;

  bool operator==(const DaemonSettings&) const = default;
};

/// Checks the timing of the control group. Returns a description of the first
/// fault; empty when there is none.
std::string
FaultOfTiming(const RaftTiming& aTiming);

/// Reads and checks a settings file. Errors: BadSetting with a line for each
/// fault.
Result<DaemonSettings>
LoadDaemonSettings(const std::string& aPath);

} // namespace acaciahill
