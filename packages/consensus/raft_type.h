#pragma once

#include "kernel/time_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace acaciahill {

/// A voter: a node together with the data folder that holds its vote. A node
/// that lost its disk comes back with another disk id and is another voter.
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
  Empty,   ///< First entry of each leader.
  Command, ///< Opaque bytes for the state machine.
  Voters,  ///< An encoded VoterSet; in force as soon as it is in the log.
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

/// What a voter must not forget between votes.
struct HardState
{
  std::uint64_t term_ = 0;
  std::optional<VoterId> votedFor_;

  bool operator==(const HardState&) const = default;
};

/// The state machine's state up to and including an index.
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

/// Entries after previousIndex_; without entries it is a heartbeat. The round
/// is echoed, so that the leader knows which contact a reply proves.
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

/// A whole snapshot; answered by an AppendReply.
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

/// Time has passed. Sent every tick.
struct TickInput
{
  bool operator==(const TickInput&) const = default;
};

/// A message arrived.
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
  /// False when followers need not learn of the commit before the next message
  /// that goes to them anyway, at the latest a heartbeat.
  bool announcesCommit_ = true;

  bool operator==(const ProposeInput&) const = default;
};

/// Asks the leader to change the voters by one: add or remove. A voter to add
/// is first caught up as a learner.
struct ChangeVoterInput
{
  std::uint64_t proposal_ = 0;
  VoterId voter_;
  bool add_ = true;

  bool operator==(const ChangeVoterInput&) const = default;
};

/// The state machine made a snapshot of its state at an applied index; the log
/// up to it may go.
struct CompactInput
{
  std::uint64_t index_ = 0;
  std::string data_;

  bool operator==(const CompactInput&) const = default;
};

using RaftInput = std::variant<TickInput,
                               MessageInput,
                               ProposeInput,
                               ChangeVoterInput,
                               CompactInput>;

enum class RaftRole : std::uint8_t
{
  Learner, ///< Has no vote: not in the voter set under its disk id.
  Follower,
  PreCandidate,
  Candidate,
  Leader,
};

/// Store term and vote, synced.
struct SaveHardState
{
  HardState state_;

  bool operator==(const SaveHardState&) const = default;
};

/// Store entries, synced; any stored entry at or after the first one's index is
/// replaced.
struct SaveEntries
{
  std::vector<LogEntry> entries_;

  bool operator==(const SaveEntries&) const = default;
};

/// Store a snapshot, synced, and drop the entries that it covers. With reset_
/// set, it came from the leader and the whole log is replaced by it.
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

/// Hand committed entries to the state machine, in order, each index once.
struct ApplyEntries
{
  std::vector<LogEntry> entries_;

  bool operator==(const ApplyEntries&) const = default;
};

/// Replace the state machine's state.
struct RestoreState
{
  Snapshot snapshot_;

  bool operator==(const RestoreState&) const = default;
};

/// The proposal is in the leader's log. It is decided when an entry is applied
/// at this index: with this term it is accepted, with another it was lost.
struct ProposalAccepted
{
  std::uint64_t proposal_ = 0;
  std::uint64_t index_ = 0;
  std::uint64_t term_ = 0;

  bool operator==(const ProposalAccepted&) const = default;
};

/// The proposal was not appended: this node does not lead.
struct ProposalRefused
{
  std::uint64_t proposal_ = 0;

  bool operator==(const ProposalRefused&) const = default;
};

/// Role or known leader changed. The leader is empty when unknown.
struct RoleChanged
{
  RaftRole role_ = RaftRole::Follower;
  std::string leader_;
  std::uint64_t term_ = 0;

  bool operator==(const RoleChanged&) const = default;
};

/// The shell carries out the actions of a step strictly in order; a save that
/// fails ends the process before anything after it is carried out.
using RaftAction = std::variant<SaveHardState,
                                SaveEntries,
                                SaveSnapshot,
                                SendMessage,
                                ApplyEntries,
                                RestoreState,
                                ProposalAccepted,
                                ProposalRefused,
                                RoleChanged>;

/// Times of the group. An election starts after a random time between
/// electionMin_ and electionMax_ without a leader.
struct RaftTiming
{
  Millis heartbeat_{ 500 };
  Millis electionMin_{ 2000 };
  Millis electionMax_{ 4000 };

  bool operator==(const RaftTiming&) const = default;
};

/// What a member starts with: itself, its times, a seed for its random election
/// times, and what its disk holds.
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
