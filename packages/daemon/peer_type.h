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

/// A Raft message with the sender's digest. A reply may have no message.
struct PeerRaft
{
  std::string cluster_;
  std::string from_;
  std::optional<RaftMessage> message_;
  DigestMessage digest_;
};

/// Replaces consecutive claim commands in pulls of nodes without claims. The
/// logical time is absolute, right after the last command, and not the sum of
/// the increments, so that a node that already applied some of the commands can
/// set it unchanged.
struct ClaimRun
{
  std::uint64_t firstIndex_ = 0;
  std::uint64_t lastIndex_ = 0;
  std::uint64_t logicalMs_ = 0;

  bool operator==(const ClaimRun&) const = default;
};

using PulledEntry = std::variant<LogEntry, ClaimRun>;

/// Requests the committed entries after an index.
struct PeerPull
{
  std::string cluster_;
  std::string node_;
  /// Disk id of a node that is configured as a voter but has no vote.
  std::string disk_;
  std::uint64_t applied_ = 0;
  Millis wait_{ 0 };
  DigestMessage digest_;
  /// The node holds no claims. False on every node that may get a vote.
  bool withoutClaims_ = false;
};

/// Entries after the requested index, or a snapshot of the whole state when
/// they are no longer kept.
struct PeerPullReply
{
  std::vector<PulledEntry> entries_;
  std::string snapshot_;
  std::uint64_t snapshotIndex_ = 0;
  std::string leader_;
  /// Age of the replying node's last contact with the leader.
  Millis controlAge_{ 0 };
  DigestMessage digest_;
  /// Claims are left out: on request, or because the replying node stores none.
  /// In the latter case a node that needs claims gets no entries.
  bool withoutClaims_ = false;
};

/// A command that is forwarded to the leader.
struct PeerPropose
{
  std::string cluster_;
  CommandEnvelope envelope_;
  Millis timeout_{ 0 };
  /// Number of times that the command was forwarded.
  std::uint32_t hops_ = 0;
};

/// Requests a voter's view of the cluster.
struct PeerStatusRequest
{
  std::string cluster_;
  /// Identity of a node that has a disk but no vote and asks the leader for a
  /// vote; absent in other requests.
  std::optional<VoterId> candidate_;
};

/// A voter's view of the cluster. All members are empty or 0 on a voter whose
/// cluster is not initialized.
struct PeerStatus
{
  std::string leader_;
  std::uint64_t term_ = 0;
  /// Index of the voter's last log entry.
  std::uint64_t lastIndex_ = 0;

  bool operator==(const PeerStatus&) const = default;
};

/// Handles calls of other nodes. Called from several threads concurrently.
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
