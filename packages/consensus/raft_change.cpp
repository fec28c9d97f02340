#include "consensus/raft_base.h"

#include <algorithm>

namespace acaciahill {

namespace {

// Number of election timeouts (electionMax_) after which a new voter without
// progress is given up, and after which replication to a removed node ends even
// if the node has not learned of its removal.
constexpr int kMaxStalledTimeouts = 10;

} // namespace

void
RaftCore::Handle(const ChangeVoterInput& aInput)
{
  if (!IsChangeAllowed(aInput)) {
    actions_.emplace_back(ProposalRefused{ aInput.proposal_ });
  } else if (aInput.add_) {
    StartAdd(aInput);
  } else {
    RemoveVoter(aInput);
  }
}

bool
RaftCore::IsChangeAllowed(const ChangeVoterInput& aInput) const
{
  // Quorums of two voter sets that differ by one voter always overlap. This
  // requires that the last change and an entry of the current term are
  // committed.
  if (role_ != RaftRole::Leader || IsChanging()) {
    return false;
  }
  const auto& voters = Voters().voters_;
  if (!aInput.add_) {
    return IsVoter(aInput.voter_) && voters.size() > 1;
  }
  return !aInput.voter_.node_.empty() && !aInput.voter_.disk_.empty() &&
         std::none_of(
           voters.begin(), voters.end(), [&aInput](const VoterId& aVoter) {
             return aVoter.node_ == aInput.voter_.node_;
           });
}

bool
RaftCore::IsChanging() const
{
  return pendingAdd_ || log_.VotersIndex() > commitIndex_ ||
         log_.TermAt(commitIndex_) != Term();
}

void
RaftCore::RemoveVoter(const ChangeVoterInput& aInput)
{
  auto voters = Voters();
  std::erase(voters.voters_, aInput.voter_);
  const auto index = AppendAsLeader(EntryKind::Voters, EncodeVoters(voters));
  const auto found = progress_.find(aInput.voter_.node_);
  if (found != progress_.end()) {
    found->second.removalIndex_ = index;
    found->second.removalProposedAt_ = now_;
  }
  actions_.emplace_back(ProposalAccepted{ aInput.proposal_, index, Term() });
  AdvanceCommit();
  SendPending();
}

void
RaftCore::StartAdd(const ChangeVoterInput& aInput)
{
  pendingAdd_ =
    PendingAdd{ aInput.proposal_, aInput.voter_, LastIndex(), now_, 0, now_ };
  auto [item, isNew] = progress_.try_emplace(aInput.voter_.node_);
  if (isNew) {
    item->second.next_ = LastIndex() + 1;
  }
  item->second.removalIndex_ = 0;
  SendAppend(item->first, item->second, !item->second.requestInFlight_);
}

/// Appends the addition once the new voter has caught up; abandons it when the
/// voter makes no progress.
void
RaftCore::AdvanceAdd()
{
  if (role_ != RaftRole::Leader || !pendingAdd_) {
    return;
  }
  const auto* progress = ProgressOf(pendingAdd_->voter_);
  if (progress && progress->match_ > pendingAdd_->match_) {
    pendingAdd_->match_ = progress->match_;
    pendingAdd_->advancedAt_ = now_;
  }
  if (now_ - pendingAdd_->advancedAt_ >=
      timing_.electionMax_ * kMaxStalledTimeouts) {
    AbandonAdd();
    return;
  }
  if (!progress || progress->match_ < pendingAdd_->target_) {
    return;
  }
  if (now_ - pendingAdd_->roundStart_ > timing_.electionMin_) {
    // The round took so long that the log may have grown far beyond its target.
    // A voter that lags that much would delay commits once it is part of the
    // quorum, so another round starts.
    pendingAdd_->target_ = LastIndex();
    pendingAdd_->roundStart_ = now_;
    return;
  }
  const auto add = *pendingAdd_;
  pendingAdd_.reset();
  auto voters = Voters();
  voters.voters_.push_back(add.voter_);
  const auto index = AppendAsLeader(EntryKind::Voters, EncodeVoters(voters));
  // The new voter votes only once this entry is in its log. Without the gate,
  // the others alone could commit the change, and the loss of one of them would
  // leave the group without a quorum although a majority is alive.
  addGate_ = AddGate{ index, add.voter_.node_, now_ + timing_.electionMin_ };
  actions_.emplace_back(ProposalAccepted{ add.proposal_, index, Term() });
}

void
RaftCore::AbandonAdd()
{
  if (pendingAdd_) {
    progress_.erase(pendingAdd_->voter_.node_);
    actions_.emplace_back(ProposalRefused{ pendingAdd_->proposal_ });
    pendingAdd_.reset();
  }
}

/// Ends the replication to removed nodes that have stored the entry of their
/// removal or have not done so within the time limit.
void
RaftCore::DropRemovedNodes()
{
  std::erase_if(progress_, [this](const auto& aItem) {
    const auto& progress = aItem.second;
    return progress.removalIndex_ > 0 &&
           (progress.match_ >= progress.removalIndex_ ||
            now_ - progress.removalProposedAt_ >=
              timing_.electionMax_ * kMaxStalledTimeouts);
  });
}

void
RaftCore::InitializeProgress()
{
  for (const auto& voter : Voters().voters_) {
    if (voter != self_ && !progress_.contains(voter.node_)) {
      progress_[voter.node_].next_ = LastIndex() + 1;
    }
  }
}

} // namespace acaciahill
