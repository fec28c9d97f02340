#pragma once

#include "kernel/time_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace acaciahill {

/// Identity of a voter: a node id and the id of the data folder that stores its
/// vote. A node that lost its disk returns with another disk id, and so as
/// another voter.
struct VoterId
{
  std::string node_;
  std::string disk_;

  bool operator==(const VoterId&) const = default;
};

/// The voters of the group; a majority of them makes a quorum.
struct VoterSet
{
  std::vector<VoterId> voters_;

  bool operator==(const VoterSet&) const = default;
};

enum class EntryKind : std::uint8_t
{
  Empty,   ///< Appended by each leader at the start of its term.
  Command, ///< Opaque bytes for the state machine.
  Voters,  ///< An encoded VoterSet; takes effect when appended to the log.
};

/// One entry of the replicated log. Indices start at 1.
struct LogEntry
{
  std::uint64_t index_ = 0;
  std::uint64_t term_ = 0;
  EntryKind kind_ = EntryKind::Empty;
  std::string data_;

  bool operator==(const LogEntry&) const = default;
};

/// Raft state that a voter stores before it answers: current term and vote.
struct HardState
{
  std::uint64_t term_ = 0;
  std::optional<VoterId> votedFor_;

  bool operator==(const HardState&) const = default;
};

/// State of the state machine after all entries up to lastIndex_ inclusive.
struct Snapshot
{
  std::uint64_t lastIndex_ = 0;
  std::uint64_t lastTerm_ = 0;
  VoterSet voters_;
  std::string data_;

  bool operator==(const Snapshot&) const = default;
};

struct VoteRequest
{
  VoterId candidate_;
  std::uint64_t lastIndex_ = 0;
  std::uint64_t lastTerm_ = 0;
  bool preVote_ = false;

  bool operator==(const VoteRequest&) const = default;
};

struct VoteReply
{
  VoterId voter_;
  bool granted_ = false;
  bool preVote_ = false;

  bool operator==(const VoteReply&) const = default;
};

/// Entries after previousIndex_; without entries it is a heartbeat. The reply
/// echoes the round (the leader's time of sending), so that the leader knows
/// how old the contact is that a reply proves.
struct AppendRequest
{
  std::uint64_t previousIndex_ = 0;
  std::uint64_t previousTerm_ = 0;
  std::vector<LogEntry> entries_;
  std::uint64_t commitIndex_ = 0;
  std::uint64_t round_ = 0;

  bool operator==(const AppendRequest&) const = default;
};

struct AppendReply
{
  VoterId voter_;
  bool success_ = false;
  std::uint64_t matchIndex_ = 0;
  /// On failure, the index from which the leader should try next.
  std::uint64_t conflictIndex_ = 0;
  std::uint64_t round_ = 0;

  bool operator==(const AppendReply&) const = default;
};

/// A complete snapshot; answered by an AppendReply.
struct SnapshotRequest
{
  Snapshot snapshot_;
  std::uint64_t round_ = 0;

  bool operator==(const SnapshotRequest&) const = default;
};

/// A message between two members of the group.
struct RaftMessage
{
  std::string from_;
  std::string to_;
  std::uint64_t term_ = 0;
  std::
    variant<VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotRequest>
      body_;

  bool operator==(const RaftMessage&) const = default;
};

/// Timer tick: runs elections, heartbeats and time limits.
struct TickInput
{
  bool operator==(const TickInput&) const = default;
};

/// A message arrived from another member.
struct MessageInput
{
  RaftMessage message_;

  bool operator==(const MessageInput&) const = default;
};

/// Asks the leader to append a command. Answered by ProposalAccepted or
/// ProposalRefused with the same id.
struct ProposeInput
{
  std::uint64_t proposal_ = 0;
  std::string data_;
  /// When false, followers learn of the commit with the next message sent to
  /// them for another reason, at the latest a heartbeat.
  bool announcesCommit_ = true;

  bool operator==(const ProposeInput&) const = default;
};

/// Asks the leader to add or remove one voter. A new voter is replicated to as
/// a learner until it has caught up, and only then added.
struct ChangeVoterInput
{
  std::uint64_t proposal_ = 0;
  VoterId voter_;
  bool add_ = true;

  bool operator==(const ChangeVoterInput&) const = default;
};

/// A snapshot of the state machine at an applied index; the log up to that
/// index may be compacted.
struct CompactInput
{
  std::uint64_t index_ = 0;
  std::string data_;

  bool operator==(const CompactInput&) const = default;
};

/// Asks the leader of this term to step down, so that the group elects one with
/// a higher term. Without effect on other members and in other terms.
struct ResignInput
{
  std::uint64_t term_ = 0;

  bool operator==(const ResignInput&) const = default;
};

using RaftInput = std::variant<TickInput,
                               MessageInput,
                               ProposeInput,
                               ChangeVoterInput,
                               CompactInput,
                               ResignInput>;

enum class RaftRole : std::uint8_t
{
  Learner, ///< Has no vote: its node and disk id are not in the voter set.
  Follower,
  PreCandidate,
  Candidate,
  Leader,
};

/// Store term and vote and sync them to disk.
struct SaveHardState
{
  HardState state_;

  bool operator==(const SaveHardState&) const = default;
};

/// Store entries and sync them to disk; stored entries at or after the index of
/// the first one are replaced.
struct SaveEntries
{
  std::vector<LogEntry> entries_;

  bool operator==(const SaveEntries&) const = default;
};

/// Store a snapshot, sync it to disk, and drop the entries that it covers. With
/// reset_ set, the snapshot came from the leader and replaces the whole log.
struct SaveSnapshot
{
  Snapshot snapshot_;
  bool reset_ = false;

  bool operator==(const SaveSnapshot&) const = default;
};

struct SendMessage
{
  RaftMessage message_;

  bool operator==(const SendMessage&) const = default;
};

/// Apply committed entries to the state machine, in order, each index once.
struct ApplyEntries
{
  std::vector<LogEntry> entries_;

  bool operator==(const ApplyEntries&) const = default;
};

/// Replace the state of the state machine by that of the snapshot.
struct RestoreState
{
  Snapshot snapshot_;

  bool operator==(const RestoreState&) const = default;
};

/// The proposal was appended to the leader's log. The entry that is later
/// applied at this index decides it: with this term the proposal is committed,
/// with another term it was lost.
struct ProposalAccepted
{
  std::uint64_t proposal_ = 0;
  std::uint64_t index_ = 0;
  std::uint64_t term_ = 0;

  bool operator==(const ProposalAccepted&) const = default;
};

/// The proposal was not appended: this node is not the leader, or the change of
/// voters is not allowed or was abandoned.
struct ProposalRefused
{
  std::uint64_t proposal_ = 0;

  bool operator==(const ProposalRefused&) const = default;
};

/// Role, known leader or term changed. The leader is empty when unknown.
struct RoleChanged
{
  RaftRole role_ = RaftRole::Follower;
  std::string leader_;
  std::uint64_t term_ = 0;

  bool operator==(const RoleChanged&) const = default;
};

/// The caller executes the actions of a step strictly in order. A save that
/// fails ends the process before any later action is executed.
using RaftAction = std::variant<SaveHardState,
                                SaveEntries,
                                SaveSnapshot,
                                SendMessage,
                                ApplyEntries,
                                RestoreState,
                                ProposalAccepted,
                                ProposalRefused,
                                RoleChanged>;

/// Timing of the group. An election starts after a random time between
/// electionMin_ and electionMax_ without a leader.
struct RaftTiming
{
  Millis heartbeat_{ 500 };
  Millis electionMin_{ 2000 };
  Millis electionMax_{ 4000 };

  bool operator==(const RaftTiming&) const = default;
};

/// Start parameters of a member: its identity, timing, the seed of its random
/// election timeouts, and the state loaded from disk.
struct RaftStart
{
  VoterId self_;
  RaftTiming timing_;
  std::uint64_t seed_ = 0;
  HardState hardState_;
  Snapshot snapshot_;
  std::vector<LogEntry> entries_;

  bool operator==(const RaftStart&) const = default;
};

} // namespace acaciahill
