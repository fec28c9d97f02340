#include "consensus/test/raft_network_base.h"

#include <algorithm>
#include <stdexcept>

namespace acaciahill::test {

namespace {

void
Require(bool aHolds, const std::string& aWhat)
{
  if (!aHolds) {
    throw std::logic_error(aWhat);
  }
}

std::size_t
NextState(std::size_t aState, const LogEntry& aEntry)
{
  return std::hash<std::string>()(
    std::to_string(aState) + "/" + std::to_string(aEntry.index_) + "/" +
    std::to_string(aEntry.term_) + "/" + aEntry.data_);
}

} // namespace

RaftNetwork::RaftNetwork(std::uint64_t aSeed, int aVoters, Faults aFaults)
  : random_(aSeed)
  , faults_(aFaults)
{
  Snapshot genesis;
  genesis.data_ = "0";
  for (int i = 1; i <= aVoters; ++i) {
    const auto node = "n" + std::to_string(i);
    genesis.voters_.voters_.push_back({ node, "disk-" + node });
  }
  for (const auto& voter : genesis.voters_.voters_) {
    members_[voter.node_].disk_ = { voter.disk_, {}, genesis, {} };
    Start(voter.node_);
  }
}

void
RaftNetwork::Run(Millis aTime)
{
  for (const auto end = now_ + aTime; now_ < end;) {
    now_ += Millis(1);
    Deliver();
    if (now_.time_since_epoch().count() % 100 == 0) {
      for (const auto& node : Nodes()) {
        if (At(node).core_) {
          Step(node, TickInput{});
        } else if (At(node).restartAt_ != MonotonicTime{} &&
                   now_ >= At(node).restartAt_) {
          Start(node);
        }
      }
    }
  }
}

bool
RaftNetwork::RunUntil(const std::function<bool()>& aCondition)
{
  for (int i = 0; i < 6000 && !aCondition(); ++i) {
    Run(Millis(10));
  }
  return aCondition();
}

std::string
RaftNetwork::Leader() const
{
  std::string leader;
  std::uint64_t term = 0;
  for (const auto& [node, member] : members_) {
    if (member.core_ && member.core_->Role() == RaftRole::Leader &&
        member.core_->Term() > term) {
      leader = node;
      term = member.core_->Term();
    }
  }
  return leader;
}

std::string
RaftNetwork::WaitForLeader()
{
  RunUntil([this] {
    const auto leader = Leader();
    return !leader.empty() && Core(leader).HasQuorumContact(now_);
  });
  return Leader();
}

std::vector<std::string>
RaftNetwork::Nodes() const
{
  std::vector<std::string> nodes;
  for (const auto& [node, member] : members_) {
    nodes.push_back(node);
  }
  return nodes;
}

void
RaftNetwork::Step(const std::string& aNode, const RaftInput& aInput)
{
  if (!At(aNode).core_) {
    return;
  }
  const auto actions = Core(aNode).Step(aInput, now_);
  std::size_t done = actions.size();
  const bool crashes = Chance(faults_.crashPer10000_, 10000);
  if (crashes) {
    done = random_() % (actions.size() + 1);
  }
  for (std::size_t i = 0; i < done; ++i) {
    ExecuteAction(aNode, actions[i]);
  }
  if (crashes) {
    Crash(aNode);
    At(aNode).restartAt_ = now_ + Millis(random_() % 3000);
  }
}

std::uint64_t
RaftNetwork::Propose(const std::string& aData)
{
  acceptedIndex_ = 0;
  if (const auto leader = Leader(); !leader.empty()) {
    // Alternates announcesCommit_ by the commit count, which draws no random
    // number and so leaves the sequence of a seed as it is.
    Step(leader, ProposeInput{ 1, aData, committed_.size() % 2 == 0 });
  }
  return acceptedIndex_;
}

void
RaftNetwork::Compact(const std::string& aNode)
{
  const auto& member = At(aNode);
  Step(aNode, CompactInput{ member.applied_, std::to_string(member.state_) });
}

void
RaftNetwork::RepairVoters()
{
  const auto leader = Leader();
  if (leader.empty()) {
    return;
  }
  const auto voters = Core(leader).Voters().voters_;
  for (const auto& unrecognizedDisk : Core(leader).UnrecognizedVoters()) {
    for (const auto& voter : voters) {
      if (voter.node_ == unrecognizedDisk.node_) {
        Step(leader, ChangeVoterInput{ 2, voter, false });
        return;
      }
    }
  }
  for (const auto& node : Nodes()) {
    const bool present =
      std::any_of(voters.begin(), voters.end(), [&](const VoterId& aVoter) {
        return aVoter.node_ == node;
      });
    if (!present) {
      const VoterId missing{ node, At(node).disk_.diskId_ };
      Step(leader, ChangeVoterInput{ 3, missing, true });
      return;
    }
  }
}

void
RaftNetwork::Cut(const std::string& aFrom, const std::string& aTo)
{
  cut_.insert({ aFrom, aTo });
}

void
RaftNetwork::Isolate(const std::string& aNode)
{
  for (const auto& node : Nodes()) {
    Cut(aNode, node);
    Cut(node, aNode);
  }
}

void
RaftNetwork::Start(const std::string& aNode)
{
  auto& member = At(aNode);
  const auto& disk = member.disk_;
  member.restartAt_ = {};
  member.applied_ = disk.snapshot_.lastIndex_;
  member.state_ =
    disk.snapshot_.data_.empty() ? 0 : std::stoull(disk.snapshot_.data_);
  member.core_ = std::make_unique<RaftCore>(RaftStart{ { aNode, disk.diskId_ },
                                                       {},
                                                       random_(),
                                                       disk.hardState_,
                                                       disk.snapshot_,
                                                       disk.entries_ },
                                            now_);
}

void
RaftNetwork::LoseDisk(const std::string& aNode)
{
  At(aNode).disk_ = {};
  At(aNode).disk_.diskId_ = "new-disk-" + std::to_string(++newDisks_);
}

bool
RaftNetwork::IsSettled() const
{
  return std::all_of(
    members_.begin(), members_.end(), [this](const auto& aItem) {
      const auto& member = aItem.second;
      return !member.core_ || (member.applied_ == Committed() &&
                               member.state_ == stateAt_.back());
    });
}

bool
RaftNetwork::Chance(int aPart, int aWhole)
{
  return aPart > 0 && static_cast<int>(random_() % aWhole) < aPart;
}

void
RaftNetwork::Deliver()
{
  while (!inFlight_.empty() && inFlight_.begin()->first <= now_) {
    const auto message = inFlight_.begin()->second;
    inFlight_.erase(inFlight_.begin());
    if (members_.contains(message.to_) &&
        !cut_.contains({ message.from_, message.to_ })) {
      Step(message.to_, MessageInput{ message });
    }
  }
}

void
RaftNetwork::ExecuteAction(const std::string& aNode, const RaftAction& aAction)
{
  std::visit([&](const auto& aValue) { Execute(aNode, aValue); }, aAction);
}

void
RaftNetwork::Execute(const std::string& aNode, const SaveHardState& aAction)
{
  const auto& old = At(aNode).disk_.hardState_;
  Require(aAction.state_.term_ > old.term_ ||
            (aAction.state_.term_ == old.term_ && !old.votedFor_),
          aNode + " changed its vote or decreased its term");
  At(aNode).disk_.hardState_ = aAction.state_;
}

void
RaftNetwork::Execute(const std::string& aNode, const SaveEntries& aAction)
{
  auto& disk = At(aNode).disk_;
  Require(!aAction.entries_.empty(), "a save without entries");
  const auto base = disk.snapshot_.lastIndex_;
  const auto first = aAction.entries_[0].index_;
  Require(first > base && first <= base + disk.entries_.size() + 1,
          aNode + " left a gap in its log");
  Require(first > At(aNode).applied_, aNode + " replaced an applied entry");
  disk.entries_.resize(first - base - 1);
  for (const auto& entry : aAction.entries_) {
    const auto previous = disk.entries_.empty() ? disk.snapshot_.lastTerm_
                                                : disk.entries_.back().term_;
    const auto [seen, isNew] = entryAndPreviousTerm_.try_emplace(
      { entry.index_, entry.term_ }, entry, previous);
    Require(seen->second == std::pair(entry, previous),
            "log matching is violated at index " +
              std::to_string(entry.index_));
    disk.entries_.push_back(entry);
  }
}

void
RaftNetwork::Execute(const std::string& aNode, const SaveSnapshot& aAction)
{
  auto& disk = At(aNode).disk_;
  const auto& snapshot = aAction.snapshot_;
  Require(snapshot.lastIndex_ >= disk.snapshot_.lastIndex_,
          aNode + " stored an older snapshot than before");
  Require(snapshot.data_ == std::to_string(stateAt_.at(snapshot.lastIndex_)),
          aNode + " stored a snapshot with a wrong state");
  if (aAction.reset_) {
    disk.entries_.clear();
  }
  std::erase_if(disk.entries_, [&](const LogEntry& aEntry) {
    return aEntry.index_ <= snapshot.lastIndex_;
  });
  disk.snapshot_ = snapshot;
}

void
RaftNetwork::Execute(const std::string& aNode, const SendMessage& aAction)
{
  const auto& message = aAction.message_;
  Require(message.from_ == aNode, "a message with a wrong sender");
  Require(message.term_ <= At(aNode).disk_.hardState_.term_ ||
            std::holds_alternative<VoteRequest>(message.body_) ||
            std::holds_alternative<VoteReply>(message.body_),
          aNode + " sent a message with a term that it has not stored");
  ++sent_[message.body_.index()];
  if (cut_.contains({ message.from_, message.to_ }) ||
      Chance(faults_.dropPercent_, 100)) {
    return;
  }
  const int copies = Chance(faults_.duplicatePercent_, 100) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    const auto delay = Millis(1 + random_() % faults_.maxDelayMs_);
    inFlight_.emplace(now_ + delay, message);
  }
}

void
RaftNetwork::Execute(const std::string& aNode, const ApplyEntries& aAction)
{
  auto& member = At(aNode);
  for (const auto& entry : aAction.entries_) {
    Require(entry.index_ == member.applied_ + 1,
            aNode + " applied an entry out of order");
    if (entry.index_ > committed_.size()) {
      committed_.push_back(entry);
      stateAt_.push_back(NextState(stateAt_.back(), entry));
    }
    Require(committed_.at(entry.index_ - 1) == entry,
            "the committed entry " + std::to_string(entry.index_) + " changed");
    member.applied_ = entry.index_;
    member.state_ = NextState(member.state_, entry);
    Require(member.state_ == stateAt_.at(entry.index_),
            aNode + " has a different state than other members");
  }
}

void
RaftNetwork::Execute(const std::string& aNode, const RestoreState& aAction)
{
  auto& member = At(aNode);
  Require(aAction.snapshot_.lastIndex_ >= member.applied_,
          aNode + " restored an older state");
  member.applied_ = aAction.snapshot_.lastIndex_;
  member.state_ = std::stoull(aAction.snapshot_.data_);
}

void
RaftNetwork::Execute(const std::string& aNode, const RoleChanged& aAction)
{
  if (aAction.role_ != RaftRole::Leader) {
    return;
  }
  const auto [seen, isNew] = leaderOfTerm_.try_emplace(aAction.term_, aNode);
  Require(seen->second == aNode,
          "two leaders of term " + std::to_string(aAction.term_));
  const auto& disk = At(aNode).disk_;
  const auto base = disk.snapshot_.lastIndex_;
  for (auto i = base; i < committed_.size(); ++i) {
    Require(i - base < disk.entries_.size() &&
              disk.entries_[i - base] == committed_[i],
            aNode + " became leader without the committed entry " +
              std::to_string(i + 1));
  }
}

void
RaftNetwork::Execute(const std::string&, const ProposalAccepted& aAction)
{
  acceptedIndex_ = aAction.index_;
}

} // namespace acaciahill::test
