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

/// How messages and processes fail. Probabilities are in percent, per message
/// or per step.
struct Faults
{
  int drop_ = 0;
  int duplicate_ = 0;
  int maxDelayMs_ = 5;
  /// Crash after a random number of a step's actions, in 1/10000.
  int crash_ = 0;
};

/// One member: its disk, its process if it is running, and its state machine,
/// which is a hash over all applied entries.
struct Member
{
  StoredLog disk_;
  std::unique_ptr<RaftCore> core_;
  std::uint64_t applied_ = 0;
  std::size_t state_ = 0;
  MonotonicTime restartAt_;
};

/// A deterministic network of cores in one thread. Each action of a core is
/// checked against what all cores did before; a violation throws
/// std::logic_error.
class RaftNetwork
{
public:
  RaftNetwork(std::uint64_t aSeed, int aVoters, Faults aFaults = {});

  /// Lets time pass in steps of 1 ms; ticks are every 100 ms.
  void Run(Millis aTime);
  /// Runs until the condition holds; false after a minute.
  bool RunUntil(const std::function<bool()>& aCondition);

  /// The leader with the highest term, or an empty string.
  std::string Leader() const;
  /// Waits for a leader that has heard a quorum.
  std::string WaitForLeader();
  RaftCore& Core(const std::string& aNode) { return *At(aNode).core_; }
  Member& At(const std::string& aNode) { return members_.at(aNode); }
  std::vector<std::string> Nodes() const;

  /// Gives an input to a running member.
  void Step(const std::string& aNode, const RaftInput& aInput);
  /// Proposes at the leader and returns the entry's index; 0 if refused.
  std::uint64_t Propose(const std::string& aData);
  /// Compacts a member's log at its applied index.
  void Compact(const std::string& aNode);
  /// What the daemon does: removes voters that lost their disk, and adds those
  /// that are missing.
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
  /// True when all running members have applied everything and agree.
  bool IsSettled() const;
  /// Number of messages sent of one kind, by its place in the variant.
  int Sent(std::size_t aKind) { return sent_[aKind]; }
  /// Checks and records of each commit, for tests that look at the data.
  const std::vector<LogEntry>& CommittedEntries() const { return committed_; }

  std::mt19937_64 random_;

private:
  using Link = std::pair<std::string, std::string>;

  bool Chance(int aPart, int aWhole);
  void Deliver();
  void Perform(const std::string& aNode, const RaftAction& aAction);
  void Do(const std::string& aNode, const SaveHardState& aAction);
  void Do(const std::string& aNode, const SaveEntries& aAction);
  void Do(const std::string& aNode, const SaveSnapshot& aAction);
  void Do(const std::string& aNode, const SendMessage& aAction);
  void Do(const std::string& aNode, const ApplyEntries& aAction);
  void Do(const std::string& aNode, const RestoreState& aAction);
  void Do(const std::string& aNode, const RoleChanged& aAction);
  void Do(const std::string& aNode, const ProposalAccepted& aAction);
  void Do(const std::string&, const ProposalRefused&) {}

  Faults faults_;
  MonotonicTime now_{ std::chrono::seconds(100) };
  std::map<std::string, Member> members_;
  std::set<Link> cut_;
  std::multimap<MonotonicTime, RaftMessage> inFlight_;
  std::map<std::size_t, int> sent_;
  int disks_ = 0;
  std::uint64_t accepted_ = 0;

  // What has been seen, for the checks.
  std::map<std::uint64_t, std::string> leaderOfTerm_;
  std::map<std::pair<std::uint64_t, std::uint64_t>,
           std::pair<LogEntry, std::uint64_t>>
    entryAndPreviousTerm_;
  std::vector<LogEntry> committed_;
  std::vector<std::size_t> stateAt_{ 0 };
};

} // namespace acaciahill::test
