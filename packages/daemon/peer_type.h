#pragma once

#include "consensus/raft_type.h"
#include "kernel/error_type.h"
#include "kernel/time_type.h"
#include "membership/digest_exchange_base.h"
#include "state/command_type.h"

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace acaciahill {

/// One message of the log's protocol with the sender's digest. A reply may
/// carry no message.
struct PeerRaft
{
  std::string cluster_;
  std::string from_;
  std::optional<RaftMessage> message_;
  DigestMessage digest_;
};

/// Stands for claim commands in what a node without claims pulls. The logical
/// time is the one right after the last of them, not the sum of what they add,
/// so that a node that has applied some of them can take it as it is.
struct ClaimRun
{
  std::uint64_t firstIndex_ = 0;
  std::uint64_t lastIndex_ = 0;
  std::uint64_t logicalMs_ = 0;

  bool operator==(const ClaimRun&) const = default;
};

using PulledEntry = std::variant<LogEntry, ClaimRun>;

/// Asks for committed entries after an index.
struct PeerPull
{
  std::string cluster_;
  std::string node_;
  /// Disk id of a node that is set up as a voter but has no vote.
  std::string disk_;
  std::uint64_t applied_ = 0;
  Millis wait_{ 0 };
  DigestMessage digest_;
  /// The node holds no claims. False on every node that may get a vote.
  bool withoutClaims_ = false;
};

/// Entries after the asked index, or a whole state when they are gone.
struct PeerPullReply
{
  std::vector<PulledEntry> entries_;
  std::string snapshot_;
  std::uint64_t snapshotIndex_ = 0;
  std::string leader_;
  /// Age of the replying node's last contact with the leader.
  Millis controlAge_{ 0 };
  DigestMessage digest_;
  /// Claims are left out, or the replying node holds none and has nothing for a
  /// node that needs them.
  bool withoutClaims_ = false;
};

/// A command on its way to the leader.
struct PeerPropose
{
  std::string cluster_;
  CommandEnvelope envelope_;
  Millis timeout_{ 0 };
  /// Forwardings so far.
  std::uint32_t hops_ = 0;
};

/// Asks what a voter knows of the cluster.
struct PeerStatusRequest
{
  std::string cluster_;
  /// Identity of a node that has a disk but no vote, and asks the leader for
  /// one; nothing for others.
  std::optional<VoterId> candidate_;
};

/// What a voter knows of the cluster. All members are empty or 0 on a voter
/// whose cluster has not begun.
struct PeerStatus
{
  std::string leader_;
  std::uint64_t term_ = 0;
  /// Index of its last log entry.
  std::uint64_t lastIndex_ = 0;

  bool operator==(const PeerStatus&) const = default;
};

/// Serves other nodes' calls. Called from many threads at once.
class PeerHandler
{
public:
  PeerHandler() = default;
  PeerHandler(const PeerHandler&) = delete;
  PeerHandler& operator=(const PeerHandler&) = delete;
  virtual ~PeerHandler() = default;

  virtual PeerRaft HandleRaft(const PeerRaft& aRequest) = 0;
  virtual PeerPullReply HandlePull(const PeerPull& aRequest) = 0;
  virtual CommandResult HandlePropose(const PeerPropose& aRequest) = 0;
  virtual PeerStatus HandleStatus(const PeerStatusRequest& aRequest) = 0;
};

} // namespace acaciahill
