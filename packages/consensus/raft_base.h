#pragma once

#include "consensus/raft_log_base.h"
#include "consensus/raft_type.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace acaciahill {

/// The Raft protocol as a state machine without I/O, with pre-vote,
/// check-quorum, learners and membership changes of one voter at a time.
class RaftCore
{
public:
  /// Starts from the state loaded from disk. The state machine must have been
  /// restored from the snapshot, if there is one; entries after the snapshot
  /// are applied again once the group confirms that they are committed.
  RaftCore(RaftStart aStart, MonotonicTime aNow);

  /// Handles one input and returns the actions that the caller must execute, in
  /// order.
  std::vector<RaftAction> Step(const RaftInput& aInput, MonotonicTime aNow);

  /// Node id of this member.
  const std::string& Node() const { return self_.node_; }
  RaftRole Role() const { return role_; }
  std::uint64_t Term() const { return hardState_.term_; }
  /// Node id of the known leader; empty when unknown.
  const std::string& Leader() const { return leader_; }
  std::uint64_t CommitIndex() const { return commitIndex_; }
  std::uint64_t LastIndex() const;
  /// Index of the snapshot below which the log is compacted.
  std::uint64_t SnapshotIndex() const { return log_.LastSnapshot().lastIndex_; }
  /// The current voters: the last set in the log, committed or not.
  const VoterSet& Voters() const { return log_.Voters(); }
  /// True while a new change of the voters is refused: the last one is not yet
  /// committed, a new voter is catching up, or no entry of the current term is
  /// committed.
  bool IsChanging() const;
  /// True when this member has committed every entry that the leader had
  /// committed when it sent its last request. Always true on the leader.
  bool HoldsCommitted() const;
  /// True when this member is the leader and a quorum has answered requests
  /// that it sent within the last election timeout (electionMin_). No other
  /// leader can be elected while it is true.
  bool HasQuorumContact(MonotonicTime aNow) const;
  /// When this member was last in contact with the group: on the leader the
  /// sending time of the latest requests that a quorum answered, elsewhere the
  /// arrival of the leader's last request. Nullopt while no leader is known.
  std::optional<MonotonicTime> LastContact(MonotonicTime aNow) const;
  /// On the leader, the other voters that have answered no request sent within
  /// this time; for voters that never answered the time counts from the start
  /// of the leadership. Empty on other members.
  std::vector<VoterId> SilentVoters(MonotonicTime aNow, Millis aFor) const;
  /// On the leader, the new identities of voters that lost their disk: they
  /// answer with another disk id than that in the voter set. The caller removes
  /// the old identity and then adds this one. Empty on other members.
  std::vector<VoterId> UnrecognizedVoters() const;

private:
  /// Replication state of one node, kept by the leader.
  struct Progress
  {
    /// Disk id in the node's last reply; empty before the first one.
    std::string disk_;
    std::uint64_t next_ = 1;
    std::uint64_t match_ = 0;
    /// Sending time of the latest request that was answered; the default lies
    /// before any time that the process can see.
    MonotonicTime contact_{ Millis::min() / 2 };
    /// A request with entries or a snapshot, sent in inFlightRound_, is not yet
    /// answered. Until then heartbeats to the node carry no entries.
    bool requestInFlight_ = false;
    std::uint64_t inFlightRound_ = 0;
    std::uint64_t sentCommit_ = 0;
    /// When the last snapshot was sent. It is not sent again within an election
    /// timeout, as a large one may still be in transit.
    MonotonicTime snapshotAt_{ Millis::min() / 2 };
    /// The node has accepted a request under this disk id.
    bool confirmed_ = false;
    /// Index of the entry that removed the node (0 if not removed) and the time
    /// of its proposal. Replication goes on up to this entry, so that the node
    /// learns of its removal.
    std::uint64_t removalIndex_ = 0;
    MonotonicTime removalProposedAt_;
  };

  /// An addition that waits until the new voter has caught up.
  struct PendingAdd
  {
    std::uint64_t proposal_ = 0;
    VoterId voter_;
    /// The index to reach in this catch-up round, and the start of the round.
    std::uint64_t target_ = 0;
    MonotonicTime roundStart_;
    /// Match index of the new voter and the time when it last advanced.
    std::uint64_t match_ = 0;
    MonotonicTime advancedAt_;
  };

  /// Delays the commit of the entry that adds a voter until the new voter has
  /// stored it, or until a time limit.
  struct AddGate
  {
    std::uint64_t index_ = 0;
    std::string node_;
    MonotonicTime until_;
  };

  // raft_core.cpp: inputs, roles, elections.
  void Handle(const TickInput& aInput);
  void Handle(const MessageInput& aInput);
  void Handle(const ProposeInput& aInput);
  void Handle(const ChangeVoterInput& aInput);
  void Handle(const CompactInput& aInput);
  void Handle(const ResignInput& aInput);
  void Receive(const RaftMessage& aMessage, const VoteRequest& aRequest);
  void Receive(const RaftMessage& aMessage, const VoteReply& aReply);
  void BecomeFollower(std::uint64_t aTerm, const std::string& aLeader);
  void BecomeLeader();
  void StartPreVote();
  void StartElection();
  void RequestVotes(std::uint64_t aTerm, bool aPreVote);
  bool HasMajority() const;
  bool HasActiveLeader() const;
  bool IsUpToDate(const VoteRequest& aRequest) const;
  bool IsVoter(const VoterId& aVoter) const;
  void UpdateVotingRole();
  void RestartElectionTimer();
  void CommitTo(std::uint64_t aIndex);
  void SetHardState(HardState aState);
  void FlushHardState();
  void Send(const std::string& aTo,
            std::uint64_t aTerm,
            decltype(RaftMessage::body_) aBody);

  // raft_follower.cpp: requests of the leader.
  void Receive(const RaftMessage& aMessage, const AppendRequest& aRequest);
  void Receive(const RaftMessage& aMessage, const SnapshotRequest& aRequest);
  bool AcceptLeader(const RaftMessage& aMessage, std::uint64_t aRound);
  bool StoreEntries(const AppendRequest& aRequest);
  void ReplyFailure(const std::string& aTo,
                    std::uint64_t aConflict,
                    std::uint64_t aRound);
  void ReplySuccess(const std::string& aTo,
                    std::uint64_t aMatch,
                    std::uint64_t aRound);

  // raft_leader.cpp: replication and commit.
  void Receive(const RaftMessage& aMessage, const AppendReply& aReply);
  void TickLeader();
  std::uint64_t AppendAsLeader(EntryKind aKind,
                               std::string aData,
                               bool aAnnouncesCommit = true);
  void UpdateProgress(Progress& aProgress, const AppendReply& aReply);
  void SendAppend(const std::string& aNode,
                  Progress& aProgress,
                  bool aWithEntries);
  void SendPending();
  void AdvanceCommit();
  MonotonicTime QuorumContact(MonotonicTime aNow, MonotonicTime aFloor) const;
  const Progress* ProgressOf(const VoterId& aVoter) const;

  // raft_change.cpp: changes of the voters.
  bool IsChangeAllowed(const ChangeVoterInput& aInput) const;
  void RemoveVoter(const ChangeVoterInput& aInput);
  void StartAdd(const ChangeVoterInput& aInput);
  void AdvanceAdd();
  void AbandonAdd();
  void DropRemovedNodes();
  void InitializeProgress();

  VoterId self_;
  RaftTiming timing_;
  std::mt19937_64 random_;
  RaftRole role_ = RaftRole::Learner;
  HardState hardState_;
  bool hardStateChanged_ = false;
  RaftLog log_;
  std::string leader_;
  std::uint64_t commitIndex_ = 0;
  /// The leader's commit index in its last request; above commitIndex_ while
  /// this member catches up.
  std::uint64_t leaderCommit_ = 0;

  /// Time and actions of the step being handled.
  MonotonicTime now_;
  std::vector<RaftAction> actions_;

  MonotonicTime electionAt_;
  /// Until then a leader is assumed to be alive and vote requests are ignored.
  MonotonicTime ignoreVotesUntil_;
  /// Nodes whose votes are counted in this election.
  std::set<std::string> votes_;

  // Only on the leader.
  MonotonicTime leaderSince_;
  MonotonicTime heartbeatAt_;
  /// Index of the last entry of this leader whose commit is announced to
  /// followers at once.
  std::uint64_t announceIndex_ = 0;
  std::map<std::string, Progress> progress_;
  std::optional<PendingAdd> pendingAdd_;
  std::optional<AddGate> addGate_;
};

/// Encodes a voter set as the data of a Voters entry.
std::string
EncodeVoters(const VoterSet& aVoters);

/// Decodes the output of EncodeVoters; an empty set when the data is damaged.
VoterSet
DecodeVoters(const std::string& aData);

} // namespace acaciahill
