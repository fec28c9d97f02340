#include "consensus/raft_base.h"

#include <algorithm>
#include <functional>

namespace acaciahill {

namespace {

// Limits of one request. They keep the duration of one exchange, and with it
// the delay of the next heartbeat, well below the election timeout.
constexpr std::size_t kMaxRequestEntries = 256;
constexpr std::size_t kMaxRequestBytes = std::size_t{ 512 } * 1024;

/// The highest value that a majority of the values reaches.
template<typename T>
T
ReachedByMajority(std::vector<T> aValues)
{
  std::sort(aValues.begin(), aValues.end(), std::greater<>());
  return aValues.at(aValues.size() / 2);
}

/// Before any time that the process can see; half of the minimum, so that
/// differences do not overflow.
constexpr MonotonicTime kNever{ Millis::min() / 2 };

/// A round is the leader's monotonic time of sending, in ms, so that the echoed
/// round in a reply tells when the request was sent.
std::uint64_t
RoundAt(MonotonicTime aTime)
{
  return static_cast<std::uint64_t>(aTime.time_since_epoch().count());
}

MonotonicTime
TimeOfRound(std::uint64_t aRound)
{
  return MonotonicTime(Millis(static_cast<Millis::rep>(aRound)));
}

} // namespace

bool
RaftCore::HasQuorumContact(MonotonicTime aNow) const
{
  return role_ == RaftRole::Leader &&
         aNow - QuorumContact(aNow, kNever) < timing_.electionMin_;
}

std::optional<MonotonicTime>
RaftCore::LastContact(MonotonicTime aNow) const
{
  if (role_ == RaftRole::Leader) {
    return HasQuorumContact(aNow) ? std::optional(QuorumContact(aNow, kNever))
                                  : std::nullopt;
  }
  return leader_.empty()
           ? std::nullopt
           : std::optional(ignoreVotesUntil_ - timing_.electionMin_);
}

std::vector<VoterId>
RaftCore::SilentVoters(MonotonicTime aNow, Millis aFor) const
{
  std::vector<VoterId> silent;
  if (role_ != RaftRole::Leader) {
    return silent;
  }
  for (const auto& voter : Voters().voters_) {
    if (voter.node_ == self_.node_) {
      continue;
    }
    const auto* progress = ProgressOf(voter);
    const auto heard = progress == nullptr
                         ? leaderSince_
                         : std::max(leaderSince_, progress->contact_);
    if (aNow - heard > aFor) {
      silent.push_back(voter);
    }
  }
  return silent;
}

std::vector<VoterId>
RaftCore::UnrecognizedVoters() const
{
  std::vector<VoterId> unrecognized;
  for (const auto& voter : Voters().voters_) {
    const auto found = progress_.find(voter.node_);
    if (found != progress_.end() && !found->second.disk_.empty() &&
        found->second.disk_ != voter.disk_) {
      unrecognized.push_back({ voter.node_, found->second.disk_ });
    }
  }
  return unrecognized;
}

void
RaftCore::Receive(const RaftMessage& aMessage, const AppendReply& aReply)
{
  if (aMessage.term_ > Term()) {
    BecomeFollower(aMessage.term_, {});
    return;
  }
  const auto found = progress_.find(aMessage.from_);
  if (role_ != RaftRole::Leader || aMessage.term_ != Term() ||
      found == progress_.end() || aReply.voter_.node_ != aMessage.from_ ||
      aReply.voter_.disk_.empty() || aReply.matchIndex_ > LastIndex()) {
    return;
  }
  UpdateProgress(found->second, aReply);
  AdvanceAdd();
  AdvanceCommit();
  DropRemovedNodes();
  SendPending();
}

void
RaftCore::UpdateProgress(Progress& aProgress, const AppendReply& aReply)
{
  const auto sentAt = std::min(TimeOfRound(aReply.round_), now_);
  if (aProgress.disk_.empty()) {
    aProgress.disk_ = aReply.voter_.disk_;
  } else if (aProgress.disk_ != aReply.voter_.disk_) {
    if (sentAt <= aProgress.contact_) {
      // A late reply from before the disk was replaced.
      return;
    }
    // The entries that the node acknowledged are lost with its old disk.
    Progress fresh;
    fresh.disk_ = aReply.voter_.disk_;
    fresh.next_ = LastIndex() + 1;
    fresh.removalIndex_ = aProgress.removalIndex_;
    fresh.removalProposedAt_ = aProgress.removalProposedAt_;
    aProgress = std::move(fresh);
  }
  aProgress.contact_ = std::max(aProgress.contact_, sentAt);
  if (aReply.round_ >= aProgress.inFlightRound_) {
    aProgress.requestInFlight_ = false;
  }
  if (aReply.success_) {
    aProgress.confirmed_ = true;
    aProgress.match_ = std::max(aProgress.match_, aReply.matchIndex_);
    aProgress.next_ = std::max(aProgress.next_, aProgress.match_ + 1);
    return;
  }
  const auto next = std::max(aProgress.match_ + 1,
                             std::min(aReply.conflictIndex_, aProgress.next_));
  const bool needsSnapshot =
    next <= log_.BaseIndex() &&
    now_ - aProgress.snapshotAt_ >= timing_.electionMin_;
  if (next == aProgress.next_ && !needsSnapshot) {
    // The same request would fail again, so the next one is a heartbeat.
    aProgress.requestInFlight_ = true;
    aProgress.inFlightRound_ = RoundAt(now_);
  }
  aProgress.next_ = next;
}

void
RaftCore::TickLeader()
{
  // Without contact to a quorum, another leader may have been elected. The
  // limit is the longest election timeout, as replies may wait for a slow disk.
  if (now_ - QuorumContact(now_, leaderSince_) >= timing_.electionMax_) {
    BecomeFollower(Term(), {});
    return;
  }
  AdvanceAdd();
  AdvanceCommit();
  DropRemovedNodes();
  if (role_ == RaftRole::Leader && now_ >= heartbeatAt_) {
    heartbeatAt_ = now_ + timing_.heartbeat_;
    for (auto& [node, progress] : progress_) {
      SendAppend(node, progress, !progress.requestInFlight_);
    }
  }
  SendPending();
}

std::uint64_t
RaftCore::AppendAsLeader(EntryKind aKind,
                         std::string aData,
                         bool aAnnouncesCommit)
{
  LogEntry entry{ LastIndex() + 1, Term(), aKind, std::move(aData) };
  log_.Append(entry);
  FlushHardState();
  actions_.emplace_back(SaveEntries{ { std::move(entry) } });
  if (aAnnouncesCommit) {
    announceIndex_ = LastIndex();
  }
  return LastIndex();
}

void
RaftCore::SendAppend(const std::string& aNode,
                     Progress& aProgress,
                     bool aWithEntries)
{
  const auto round = RoundAt(now_);
  const auto& snapshot = log_.LastSnapshot();
  // A node whose log may be empty is first sent the bootstrap snapshot.
  const bool isBootstrap =
    aProgress.next_ == 1 && log_.BaseIndex() == 0 && !aProgress.confirmed_;
  const bool isBehind = aProgress.next_ <= log_.BaseIndex();
  aProgress.sentCommit_ = commitIndex_;
  if ((isBehind || isBootstrap) && aWithEntries) {
    aProgress.requestInFlight_ = true;
    aProgress.inFlightRound_ = round;
    aProgress.snapshotAt_ = now_;
    Send(aNode, Term(), SnapshotRequest{ snapshot, round });
    return;
  }
  const auto previous = isBehind ? snapshot.lastIndex_ : aProgress.next_ - 1;
  AppendRequest request{
    previous, log_.TermAt(previous).value_or(0), {}, commitIndex_, round
  };
  if (aWithEntries) {
    request.entries_ =
      log_.Copy(aProgress.next_, kMaxRequestEntries, kMaxRequestBytes);
    if (!request.entries_.empty()) {
      aProgress.requestInFlight_ = true;
      aProgress.inFlightRound_ = round;
    }
  }
  Send(aNode, Term(), std::move(request));
}

/// Sends new entries or a new commit index to each node without an unanswered
/// request.
void
RaftCore::SendPending()
{
  if (role_ != RaftRole::Leader) {
    return;
  }
  const auto announced = std::min(commitIndex_, announceIndex_);
  for (auto& [node, progress] : progress_) {
    if (!progress.requestInFlight_ &&
        (progress.next_ <= LastIndex() || progress.sentCommit_ < announced)) {
      SendAppend(node, progress, true);
    }
  }
}

void
RaftCore::AdvanceCommit()
{
  if (role_ != RaftRole::Leader) {
    return;
  }
  std::vector<std::uint64_t> stored;
  for (const auto& voter : Voters().voters_) {
    const auto* progress = ProgressOf(voter);
    stored.push_back(voter == self_ ? LastIndex()
                     : progress     ? progress->match_
                                    : 0);
  }
  auto index = ReachedByMajority(std::move(stored));
  if (addGate_) {
    const auto found = progress_.find(addGate_->node_);
    if (now_ >= addGate_->until_ || found == progress_.end() ||
        found->second.match_ >= addGate_->index_) {
      addGate_.reset();
    } else {
      index = std::min(index, addGate_->index_ - 1);
    }
  }
  // Entries of earlier terms are committed only together with a later entry of
  // the current term.
  if (index <= commitIndex_ || log_.TermAt(index) != Term()) {
    return;
  }
  CommitTo(index);
  if (!IsVoter(self_) && log_.VotersIndex() <= commitIndex_) {
    SendPending();
    BecomeFollower(Term(), {});
  }
}

/// The latest time such that a majority has answered a request sent then or
/// later, with aFloor as the lower bound; this member counts with aNow.
MonotonicTime
RaftCore::QuorumContact(MonotonicTime aNow, MonotonicTime aFloor) const
{
  std::vector<MonotonicTime> contacts;
  for (const auto& voter : Voters().voters_) {
    const auto* progress = ProgressOf(voter);
    const auto contact = progress ? progress->contact_ : kNever;
    contacts.push_back(voter == self_ ? aNow : std::max(aFloor, contact));
  }
  return ReachedByMajority(std::move(contacts));
}

/// The progress of a voter's node, or null if the node does not answer with the
/// voter's disk id.
const RaftCore::Progress*
RaftCore::ProgressOf(const VoterId& aVoter) const
{
  const auto found = progress_.find(aVoter.node_);
  return found != progress_.end() && found->second.disk_ == aVoter.disk_
           ? &found->second
           : nullptr;
}

} // namespace acaciahill
