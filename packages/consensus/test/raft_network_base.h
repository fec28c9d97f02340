#pragma once

#include "consensus/log_store_base.h"
#include "consensus/raft_base.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace acaciahill::test {

/// Probabilities of message faults, per message, and of process crashes, per
/// step.
struct Faults
{
  int dropPercent_ = 0;
  int duplicatePercent_ = 0;
  int maxDelayMs_ = 5;
  /// Crash after a random number of a step's actions, in 1/10000 of the steps.
  int crashPer10000_ = 0;
};

/// One member: the content of its disk, its core (null while the process is
/// down), and its state machine, whose state is a hash over all applied
/// entries.
struct Member
{
  StoredLog disk_;
  std::unique_ptr<RaftCore> core_;
  std::uint64_t applied_ = 0;
  std::size_t state_ = 0;
  MonotonicTime restartAt_;
};

/// A deterministic simulation of a group of cores in one thread. Each action of
/// a core is checked against the earlier actions of all cores; a violation of
/// Raft's safety rules throws std::logic_error.
class RaftNetwork
{
public:
  RaftNetwork(std::uint64_t aSeed, int aVoters, Faults aFaults = {});

  /// Advances the time in steps of 1 ms, with a tick every 100 ms.
  void Run(Millis aTime);
  /// Runs until the condition holds; false after a minute of simulated time.
  bool RunUntil(const std::function<bool()>& aCondition);

  /// The leader with the highest term, or an empty string.
  std::string Leader() const;
  /// Runs until there is a leader with contact to a quorum, and returns it.
  std::string WaitForLeader();
  RaftCore& Core(const std::string& aNode) { return *At(aNode).core_; }
  Member& At(const std::string& aNode) { return members_.at(aNode); }
  std::vector<std::string> Nodes() const;

  /// Steps the core of a member with an input, unless the member is down.
  void Step(const std::string& aNode, const RaftInput& aInput);
  /// Proposes a command at the leader and returns the index of its entry; 0 if
  /// it is refused or there is no leader.
  std::uint64_t Propose(const std::string& aData);
  /// Compacts a member's log at its applied index.
  void Compact(const std::string& aNode);
  /// Starts one change of the voters, as the daemon does: removes a voter that
  /// lost its disk, or else adds a node that is not a voter.
  void RepairVoters();

  void Cut(const std::string& aFrom, const std::string& aTo);
  void Isolate(const std::string& aNode);
  void Heal() { cut_.clear(); }
  void Crash(const std::string& aNode) { At(aNode).core_.reset(); }
  void Start(const std::string& aNode);
  /// The member's disk is replaced by an empty one. The member must be down.
  void LoseDisk(const std::string& aNode);
  void SetFaults(Faults aFaults) { faults_ = aFaults; }

  MonotonicTime Now() const { return now_; }
  /// The highest index applied by any member.
  std::uint64_t Committed() const { return committed_.size(); }
  /// True when all running members have applied all committed entries and have
  /// the same state.
  bool IsSettled() const;
  /// Number of messages sent of one kind, given by its index in the variant.
  int Sent(std::size_t aKind) { return sent_[aKind]; }
  /// All committed entries, for tests that check their data.
  const std::vector<LogEntry>& CommittedEntries() const { return committed_; }

  std::mt19937_64 random_;

private:
  using Link = std::pair<std::string, std::string>;

  bool Chance(int aPart, int aWhole);
  void Deliver();
  void ExecuteAction(const std::string& aNode, const RaftAction& aAction);
  void Execute(const std::string& aNode, const SaveHardState& aAction);
  void Execute(const std::string& aNode, const SaveEntries& aAction);
  void Execute(const std::string& aNode, const SaveSnapshot& aAction);
  void Execute(const std::string& aNode, const SendMessage& aAction);
  void Execute(const std::string& aNode, const ApplyEntries& aAction);
  void Execute(const std::string& aNode, const RestoreState& aAction);
  void Execute(const std::string& aNode, const RoleChanged& aAction);
  void Execute(const std::string& aNode, const ProposalAccepted& aAction);
  void Execute(const std::string&, const ProposalRefused&) {}

  Faults faults_;
  MonotonicTime now_{ std::chrono::seconds(100) };
  std::map<std::string, Member> members_;
  std::set<Link> cut_;
  std::multimap<MonotonicTime, RaftMessage> inFlight_;
  std::map<std::size_t, int> sent_;
  int newDisks_ = 0;
  std::uint64_t acceptedIndex_ = 0;

  // History of the actions of all members, for the checks.
  std::map<std::uint64_t, std::string> leaderOfTerm_;
  std::map<std::pair<std::uint64_t, std::uint64_t>,
           std::pair<LogEntry, std::uint64_t>>
    entryAndPreviousTerm_;
  std::vector<LogEntry> committed_;
  std::vector<std::size_t> stateAt_{ 0 };
};

} // namespace acaciahill::test
