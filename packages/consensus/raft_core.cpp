#include "consensus/raft_base.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace acaciahill {

RaftCore::RaftCore(RaftStart aStart, MonotonicTime aNow)
  : self_(std::move(aStart.self_))
  , timing_(aStart.timing_)
  , random_(aStart.seed_)
  , hardState_(std::move(aStart.hardState_))
  , log_(std::move(aStart.snapshot_), std::move(aStart.entries_))
  , commitIndex_(log_.LastSnapshot().lastIndex_)
  , now_(aNow)
  // A leader may still rely on replies that this voter sent before its restart,
  // so the voter grants no votes to others for one election timeout.
  , ignoreVotesUntil_(aNow + timing_.electionMin_)
{
  if (IsVoter(self_)) {
    role_ = RaftRole::Follower;
  }
  RestartElectionTimer();
  if (Voters().voters_.size() == 1) {
    electionAt_ = aNow;
  }
}

std::vector<RaftAction>
RaftCore::Step(const RaftInput& aInput, MonotonicTime aNow)
{
  now_ = aNow;
  actions_.clear();
  const auto before = std::tuple(role_, leader_, Term());
  std::visit([this](const auto& aValue) { Handle(aValue); }, aInput);
  FlushHardState();
  if (before != std::tuple(role_, leader_, Term())) {
    actions_.emplace_back(RoleChanged{ role_, leader_, Term() });
  }
  return std::exchange(actions_, {});
}

std::uint64_t
RaftCore::LastIndex() const
{
  return log_.LastIndex();
}

void
RaftCore::Handle(const TickInput&)
{
  if (role_ == RaftRole::Leader) {
    TickLeader();
  } else if (now_ >= electionAt_) {
    leader_.clear();
    if (role_ != RaftRole::Learner) {
      StartPreVote();
    }
  }
}

void
RaftCore::Handle(const MessageInput& aInput)
{
  const auto& message = aInput.message_;
  if (message.to_ != self_.node_ || message.from_ == self_.node_) {
    return;
  }
  std::visit([&](const auto& aBody) { Receive(message, aBody); },
             message.body_);
}

void
RaftCore::Handle(const ProposeInput& aInput)
{
  if (role_ != RaftRole::Leader) {
    actions_.emplace_back(ProposalRefused{ aInput.proposal_ });
    return;
  }
  const auto index =
    AppendAsLeader(EntryKind::Command, aInput.data_, aInput.announcesCommit_);
  actions_.emplace_back(ProposalAccepted{ aInput.proposal_, index, Term() });
  AdvanceCommit();
  SendPending();
}

void
RaftCore::Handle(const CompactInput& aInput)
{
  if (aInput.index_ <= SnapshotIndex() || aInput.index_ > commitIndex_) {
    return;
  }
  log_.Compact(aInput.index_, aInput.data_);
  actions_.emplace_back(SaveSnapshot{ log_.LastSnapshot(), false });
}

void
RaftCore::Handle(const ResignInput& aInput)
{
  if (role_ == RaftRole::Leader && aInput.term_ == Term()) {
    BecomeFollower(Term(), {});
  }
}

void
RaftCore::Receive(const RaftMessage& aMessage, const VoteRequest& aRequest)
{
  if (role_ == RaftRole::Learner || HasActiveLeader() ||
      aRequest.candidate_.node_ != aMessage.from_) {
    return;
  }
  if (aRequest.preVote_) {
    // A refusal carries this member's term, so that a candidate with an older
    // term learns of it; a pre-vote itself changes no term.
    const bool granted = aMessage.term_ > Term() && IsUpToDate(aRequest);
    Send(aMessage.from_,
         granted ? aMessage.term_ : Term(),
         VoteReply{ self_, granted, true });
    return;
  }
  if (aMessage.term_ > Term()) {
    BecomeFollower(aMessage.term_, {});
  }
  const bool granted =
    aMessage.term_ == Term() &&
    hardState_.votedFor_.value_or(aRequest.candidate_) == aRequest.candidate_ &&
    IsUpToDate(aRequest);
  if (granted) {
    BecomeFollower(Term(), {});
    SetHardState({ Term(), aRequest.candidate_ });
    RestartElectionTimer();
  }
  Send(aMessage.from_, Term(), VoteReply{ self_, granted, false });
}

void
RaftCore::Receive(const RaftMessage& aMessage, const VoteReply& aReply)
{
  const bool preVoteGranted = aReply.preVote_ && aReply.granted_;
  if (aMessage.term_ > Term() && !preVoteGranted) {
    BecomeFollower(aMessage.term_, {});
    return;
  }
  const bool expected =
    aReply.preVote_
      ? role_ == RaftRole::PreCandidate && aMessage.term_ == Term() + 1
      : role_ == RaftRole::Candidate && aMessage.term_ == Term();
  if (!expected || !aReply.granted_ || aReply.voter_.node_ != aMessage.from_ ||
      !IsVoter(aReply.voter_)) {
    return;
  }
  votes_.insert(aReply.voter_.node_);
  if (!HasMajority()) {
    return;
  }
  if (aReply.preVote_) {
    StartElection();
  } else {
    BecomeLeader();
  }
}

void
RaftCore::BecomeFollower(std::uint64_t aTerm, const std::string& aLeader)
{
  if (aTerm > Term()) {
    SetHardState({ aTerm, std::nullopt });
  }
  if (role_ == RaftRole::Leader) {
    AbandonAdd();
    progress_.clear();
    addGate_.reset();
    RestartElectionTimer();
  }
  votes_.clear();
  leader_ = aLeader;
  role_ = IsVoter(self_) ? RaftRole::Follower : RaftRole::Learner;
}

void
RaftCore::BecomeLeader()
{
  role_ = RaftRole::Leader;
  leader_ = self_.node_;
  leaderSince_ = now_;
  heartbeatAt_ = now_ + timing_.heartbeat_;
  progress_.clear();
  InitializeProgress();
  AppendAsLeader(EntryKind::Empty, {});
  AdvanceCommit();
  SendPending();
}

void
RaftCore::StartPreVote()
{
  role_ = RaftRole::PreCandidate;
  votes_ = { self_.node_ };
  RestartElectionTimer();
  if (HasMajority()) {
    StartElection();
  } else {
    RequestVotes(Term() + 1, true);
  }
}

void
RaftCore::StartElection()
{
  SetHardState({ Term() + 1, self_ });
  role_ = RaftRole::Candidate;
  votes_ = { self_.node_ };
  RestartElectionTimer();
  if (HasMajority()) {
    BecomeLeader();
  } else {
    RequestVotes(Term(), false);
  }
}

void
RaftCore::RequestVotes(std::uint64_t aTerm, bool aPreVote)
{
  const VoteRequest request{
    self_, log_.LastIndex(), log_.LastTerm(), aPreVote
  };
  for (const auto& voter : Voters().voters_) {
    if (voter != self_) {
      Send(voter.node_, aTerm, request);
    }
  }
}

bool
RaftCore::HasMajority() const
{
  return votes_.size() > Voters().voters_.size() / 2;
}

bool
RaftCore::HasActiveLeader() const
{
  return role_ == RaftRole::Leader ? HasQuorumContact(now_)
                                   : now_ < ignoreVotesUntil_;
}

bool
RaftCore::IsUpToDate(const VoteRequest& aRequest) const
{
  return std::tuple(aRequest.lastTerm_, aRequest.lastIndex_) >=
         std::tuple(log_.LastTerm(), log_.LastIndex());
}

bool
RaftCore::IsVoter(const VoterId& aVoter) const
{
  const auto& voters = Voters().voters_;
  return std::find(voters.begin(), voters.end(), aVoter) != voters.end();
}

void
RaftCore::UpdateVotingRole()
{
  const bool voter = IsVoter(self_);
  if (voter && role_ == RaftRole::Learner) {
    role_ = RaftRole::Follower;
    RestartElectionTimer();
  } else if (!voter && role_ != RaftRole::Leader) {
    role_ = RaftRole::Learner;
  }
}

void
RaftCore::RestartElectionTimer()
{
  std::uniform_int_distribution<Millis::rep> spread(
    timing_.electionMin_.count(),
    std::max(timing_.electionMin_, timing_.electionMax_).count());
  electionAt_ = now_ + Millis(spread(random_));
}

void
RaftCore::CommitTo(std::uint64_t aIndex)
{
  if (aIndex > commitIndex_) {
    actions_.emplace_back(
      ApplyEntries{ log_.CopyRange(commitIndex_ + 1, aIndex) });
    commitIndex_ = aIndex;
  }
}

void
RaftCore::SetHardState(HardState aState)
{
  hardStateChanged_ = hardStateChanged_ || aState != hardState_;
  hardState_ = std::move(aState);
}

void
RaftCore::FlushHardState()
{
  if (std::exchange(hardStateChanged_, false)) {
    actions_.emplace_back(SaveHardState{ hardState_ });
  }
}

void
RaftCore::Send(const std::string& aTo,
               std::uint64_t aTerm,
               decltype(RaftMessage::body_) aBody)
{
  // The term and vote that a message reflects are stored before it is sent.
  FlushHardState();
  actions_.emplace_back(
    SendMessage{ { self_.node_, aTo, aTerm, std::move(aBody) } });
}

} // namespace acaciahill
