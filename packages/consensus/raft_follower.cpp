#include "consensus/raft_base.h"

#include <algorithm>

namespace acaciahill {

void
RaftCore::Receive(const RaftMessage& aMessage, const AppendRequest& aRequest)
{
  if (!AcceptLeader(aMessage, aRequest.round_)) {
    return;
  }
  leaderCommit_ = aRequest.commitIndex_;
  const auto previous = aRequest.previousIndex_;
  if (previous > log_.LastIndex()) {
    ReplyFailure(aMessage.from_, log_.LastIndex() + 1, aRequest.round_);
    return;
  }
  // Entries below the base index are committed and therefore equal.
  if (previous >= log_.BaseIndex() &&
      log_.TermAt(previous) != aRequest.previousTerm_) {
    // Skips all entries of the conflicting term in one exchange.
    ReplyFailure(aMessage.from_, log_.FirstOfTerm(previous), aRequest.round_);
    return;
  }
  if (!StoreEntries(aRequest)) {
    return;
  }
  UpdateVotingRole();
  const auto verified = previous + aRequest.entries_.size();
  ReplySuccess(aMessage.from_, verified, aRequest.round_);
  CommitTo(std::min(aRequest.commitIndex_, verified));
}

void
RaftCore::Receive(const RaftMessage& aMessage, const SnapshotRequest& aRequest)
{
  if (!AcceptLeader(aMessage, aRequest.round_)) {
    return;
  }
  const auto& snapshot = aRequest.snapshot_;
  leaderCommit_ = std::max(leaderCommit_, snapshot.lastIndex_ + 1);
  const bool isBootstrap = snapshot.lastIndex_ == 0 && LastIndex() == 0 &&
                           log_.LastSnapshot().voters_.voters_.empty();
  if (!isBootstrap && snapshot.lastIndex_ <= commitIndex_) {
    ReplySuccess(aMessage.from_, commitIndex_, aRequest.round_);
    return;
  }
  if (!isBootstrap && log_.TermAt(snapshot.lastIndex_) == snapshot.lastTerm_) {
    ReplySuccess(aMessage.from_, snapshot.lastIndex_, aRequest.round_);
    CommitTo(snapshot.lastIndex_);
    return;
  }
  log_.Reset(snapshot);
  commitIndex_ = snapshot.lastIndex_;
  UpdateVotingRole();
  FlushHardState();
  actions_.emplace_back(SaveSnapshot{ snapshot, true });
  actions_.emplace_back(RestoreState{ snapshot });
  ReplySuccess(aMessage.from_, snapshot.lastIndex_, aRequest.round_);
}

bool
RaftCore::HoldsCommitted() const
{
  return role_ == RaftRole::Leader ||
         (role_ == RaftRole::Follower && !leader_.empty() &&
          commitIndex_ >= leaderCommit_);
}

/// Follows the sender as the leader of its term. False when the message is from
/// an earlier term, which is answered with a failure, or when this member is
/// the leader of the same term.
bool
RaftCore::AcceptLeader(const RaftMessage& aMessage, std::uint64_t aRound)
{
  if (aMessage.term_ < Term()) {
    ReplyFailure(aMessage.from_, log_.LastIndex() + 1, aRound);
    return false;
  }
  if (aMessage.term_ == Term() && role_ == RaftRole::Leader) {
    return false;
  }
  BecomeFollower(aMessage.term_, aMessage.from_);
  ignoreVotesUntil_ = now_ + timing_.electionMin_;
  RestartElectionTimer();
  return true;
}

/// Stores the new entries of a request and replaces conflicting ones. False
/// when the request is malformed or conflicts with a committed entry.
bool
RaftCore::StoreEntries(const AppendRequest& aRequest)
{
  const auto& entries = aRequest.entries_;
  for (std::size_t i = 0; i < entries.size(); ++i) {
    if (entries[i].index_ != aRequest.previousIndex_ + 1 + i) {
      return false;
    }
  }
  const auto fresh = std::find_if(
    entries.begin(), entries.end(), [this](const LogEntry& aEntry) {
      return aEntry.index_ > log_.BaseIndex() &&
             log_.TermAt(aEntry.index_) != aEntry.term_;
    });
  if (fresh == entries.end()) {
    return true;
  }
  if (fresh->index_ <= commitIndex_) {
    return false;
  }
  if (fresh->index_ <= log_.LastIndex()) {
    log_.TruncateFrom(fresh->index_);
  }
  std::for_each(fresh, entries.end(), [this](const LogEntry& aEntry) {
    log_.Append(aEntry);
  });
  FlushHardState();
  actions_.emplace_back(SaveEntries{ { fresh, entries.end() } });
  return true;
}

void
RaftCore::ReplyFailure(const std::string& aTo,
                       std::uint64_t aConflict,
                       std::uint64_t aRound)
{
  // Committed entries are never in conflict with a leader's log.
  const auto conflict = std::max(aConflict, commitIndex_ + 1);
  Send(aTo, Term(), AppendReply{ self_, false, 0, conflict, aRound });
}

void
RaftCore::ReplySuccess(const std::string& aTo,
                       std::uint64_t aMatch,
                       std::uint64_t aRound)
{
  const auto match = std::max(aMatch, commitIndex_);
  Send(aTo, Term(), AppendReply{ self_, true, match, 0, aRound });
}

} // namespace acaciahill
