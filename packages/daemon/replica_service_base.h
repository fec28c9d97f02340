#pragma once

#include "consensus/log_store_base.h"
#include "consensus/raft_base.h"
#include "daemon/control_meter_base.h"
#include "daemon/daemon_settings_type.h"
#include "daemon/directory_service_base.h"
#include "daemon/peer_client_base.h"
#include "daemon/peer_server_base.h"
#include "daemon/pull_tail_base.h"
#include "kernel/metrics_base.h"
#include "kernel/service_registry_base.h"
#include "state/fleet_base.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <shared_mutex>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

namespace acaciahill {

/// Name under which the service is registered.
inline constexpr const char* kReplicaServiceName = "replica";

/// This node's view of the control group.
struct ControlStatus
{
  /// Node id of the leader; empty when unknown.
  std::string leader_;
  bool isLeader_ = false;
  /// Time since the state was last known to be current.
  Millis age_{ 0 };
  /// True when age_ exceeds the limit above which the state may be outdated.
  bool stale_ = false;
  /// True once the node has caught up with the log after its start.
  bool caughtUp_ = false;
  std::uint64_t commitIndex_ = 0;
  /// The node has a vote, and its log held all entries committed at the time
  /// of its last contact with the leader.
  bool holdsCommitted_ = false;
  /// Current term and index of the last log entry; 0 on nodes that cannot vote.
  std::uint64_t term_ = 0;
  std::uint64_t lastIndex_ = 0;
  std::vector<VoterId> voters_;
  /// Number of voters needed to survive the tolerated losses; 0 where the
  /// settings list the voters.
  std::size_t wantedVoters_ = 0;

  bool operator==(const ControlStatus&) const = default;
};

/// The node's replica of the fleet state. Runs the consensus core on voters,
/// pulls log entries from other nodes elsewhere, and accepts commands. Only the
/// leader decides on claims, so a node that is not configured as a voter stores
/// none. A node that can become a voter always stores them.
class ReplicaService
  : public Service
  , public PeerHandler
{
public:
  ReplicaService(const DaemonSettings& aSettings,
                 const ServiceRegistry& aRegistry,
                 Metrics& aMetrics);
  ~ReplicaService() override;

  Result<Done> Start() override;
  void Stop() override;

  /// Runs a function on the state under a shared lock. The function must be
  /// short, as commands cannot be applied meanwhile.
  template<typename F>
  auto Read(F&& aFunction) const
  {
    const std::shared_lock lock(fleetMutex_);
    return aFunction(static_cast<const Fleet&>(fleet_));
  }

  /// Sends a command to the leader, local or remote, and waits for the result.
  /// Retries until the timeout while there is no leader. Errors in the result:
  /// those of the command; ControlUnreachable when it was not accepted;
  /// ProposalLost when it is unknown whether it was.
  CommandResult Propose(const Command& aCommand,
                        const std::string& aRequestId,
                        Millis aTimeout);

  /// As above, with a generated request id.
  CommandResult Propose(const Command& aCommand, Millis aTimeout);

  /// Proposes commands on this node, which must be the leader. They are queued
  /// together, so that they are applied in order and share disk syncs. A
  /// command refused with NotLeader was not accepted.
  std::vector<CommandResult> ProposeHere(const std::vector<Command>& aCommands,
                                         Millis aTimeout);

  /// Proposes a command on this node, which must be the leader, without
  /// waiting. The callback runs once, on another thread, when the command is
  /// applied (after all earlier log entries) or is known not to have been
  /// accepted; errors as in Propose. With aNotifiesPeers the leader tells the
  /// other nodes of the commit at once instead of with the next heartbeat.
  void ProposeAsync(const Command& aCommand,
                    std::function<void(CommandResult)> aOnResult,
                    bool aNotifiesPeers = false);

  /// Steps down if this node leads in the term; the group elects a leader of a
  /// higher term, which may be this node.
  void Resign(std::uint64_t aTerm);

  /// The state's logical time plus the time that passed on this node's
  /// monotonic clock since it last applied a command.
  std::uint64_t LogicalNowMs() const;

  ControlStatus Control() const;

  /// Index of the last entry applied here, including entries that are not
  /// commands, unlike Fleet::AppliedIndex().
  std::uint64_t AppliedIndex() const;

  /// Waits until an index is applied. False on timeout.
  bool WaitApplied(std::uint64_t aIndex, Millis aTimeout) const;

  PeerRaft HandleRaft(const PeerRaft& aRequest) override;
  PeerPullReply HandlePull(const PeerPull& aRequest) override;
  CommandResult HandlePropose(const PeerPropose& aRequest) override;
  PeerStatus HandleStatus(const PeerStatusRequest& aRequest) override;

private:
  /// A peer's Raft message that waits for the core's reply.
  struct WaitingMessage
  {
    RaftMessage message_;
    std::promise<std::optional<RaftMessage>> reply_;
  };

  /// A command that waits for its result.
  struct WaitingCommand
  {
    CommandEnvelope envelope_;
    /// Other nodes are told of the commit before the next heartbeat.
    bool notifiesPeers_ = true;
    /// Called once, on the voter thread.
    std::function<void(CommandResult)> onResult_;
  };

  struct ChangeVoters
  {
    VoterId voter_;
    bool add_;
  };

  using Work = std::variant<std::shared_ptr<WaitingMessage>,
                            std::shared_ptr<WaitingCommand>,
                            RaftMessage,
                            ChangeVoters,
                            ResignInput>;

  /// A proposal in the leader's log that is not applied yet.
  struct PendingProposal
  {
    std::uint64_t term_ = 0;
    std::shared_ptr<WaitingCommand> command_;
  };

  struct UnrecognizedDisk
  {
    std::string disk_;
    MonotonicTime heardAt_{};
  };

  /// A node to pull from; a lower rank is better.
  struct PullSource
  {
    int rank_ = 0;
    std::string node_;
    std::string address_;

    bool operator<(const PullSource& aOther) const
    {
      return std::tie(rank_, node_) < std::tie(aOther.rank_, aOther.node_);
    }
  };

  /// The follower's state between pulls.
  struct SourceChoice
  {
    /// The last source that was in contact with the leader.
    std::string current_;
    /// When a source of a better rank was last tried, and how often.
    MonotonicTime betterTriedAt_{};
    std::size_t betterTries_ = 0;
  };

  Result<Done> OpenLog();
  void RunVoter();
  void RunFollower();
  void RunRegistration();
  /// Asks the leader to admit this node as a voter while it has no vote.
  void RunAdmission();
  bool HasVote() const;
  std::vector<PullSource> PullSources() const;
  /// Pulls from the sources in turn until one is in contact with the leader;
  /// false if none is.
  bool PullFromAny(SourceChoice& aChoice);
  /// Pulls new entries or a snapshot from a source and applies them. False when
  /// the source does not answer or has lost contact with the leader.
  bool PullOnce(const PullSource& aSource, Millis aWait);

  void StepWork(const Work& aWork, std::vector<RaftAction>& aActions);
  void StepCommand(const std::shared_ptr<WaitingCommand>& aCommand,
                   std::vector<RaftAction>& aActions);
  void StepMessage(const std::shared_ptr<WaitingMessage>& aMessage,
                   std::vector<RaftAction>& aActions);
  /// Executes the actions of a step; ends the process when a save fails.
  void ExecuteActions(std::vector<RaftAction>& aActions);
  bool Save(const RaftAction& aAction);
  /// Executes an action that saves nothing.
  void ExecuteAction(const RaftAction& aAction);
  void SendToPeer(const RaftMessage& aMessage);
  void Restore(const Snapshot& aSnapshot);
  void ApplyCommitted(const std::vector<LogEntry>& aEntries);
  CommandResult ApplyOne(const LogEntry& aEntry);
  void ApplyRun(const ClaimRun& aRun);
  /// True when the state contains claims. The constructor, OpenLog and Restore
  /// keep the state in this form.
  bool HoldsClaims() const { return settings_.voter_; }
  void CompactWhenDue();
  void AdjustVoters();
  /// Records a node that reports a disk id without a vote.
  void RecordCandidate(const std::string& aNode, const std::string& aDisk);
  /// Starts to remove one voter that lost its disk. True when there is one.
  bool RemoveLostVoter(
    const std::map<std::string, UnrecognizedDisk>& aUnrecognized);
  /// Readmits voters of the settings that return with another disk.
  void ReadmitListedVoters(
    const std::map<std::string, UnrecognizedDisk>& aUnrecognized);
  /// Admits one control node that asks for a vote, up to the wanted number, or
  /// removes a silent voter to make room for it. True when a change of the
  /// voters was queued.
  bool GrowSeededGroup(
    const std::map<std::string, UnrecognizedDisk>& aUnrecognized);
  /// Number of voters that a seeded group needs to survive the tolerated
  /// losses.
  std::size_t WantedVoters() const;
  /// Logs a warning when a seeded group has too few voters to survive the
  /// tolerated losses.
  void ReportGroupSize();
  void PublishControl();
  void FailWaiting();
  void NotifyApplied();
  void Enqueue(Work aWork);

  CommandResult ProposeHere(const CommandEnvelope& aEnvelope, Millis aTimeout);
  std::future<CommandResult> EnqueueForResult(const CommandEnvelope& aEnvelope);
  std::optional<std::string> AddressOf(const std::string& aNode) const;

  const DaemonSettings settings_;
  const ServiceRegistry& registry_;
  Metrics& metrics_;
  DirectoryService* directory_ = nullptr;
  ControlMeter meter_;
  PeerClient client_;
  std::unique_ptr<PeerServer> server_;

  mutable std::shared_mutex fleetMutex_;
  Fleet fleet_;

  // Committed entries kept for pulls; guarded by tailMutex_.
  mutable std::mutex tailMutex_;
  mutable std::condition_variable applied_;
  PullTail tail_;
  std::uint64_t appliedIndex_ = 0;
  /// Index of the last entry that ends long polls early. Claims don't: no other
  /// node acts on them, and each would cost a message to every node.
  std::uint64_t notifiedIndex_ = 0;
  MonotonicTime commandAppliedAt_{};

  mutable std::mutex controlMutex_;
  ControlStatus control_;
  MonotonicTime contactAt_{};
  /// Nodes that answer, or ask for a vote, with a disk id that has no vote.
  std::map<std::string, UnrecognizedDisk> unrecognized_;

  std::mutex workMutex_;
  std::condition_variable workReady_;
  std::deque<Work> work_;

  // Used by the voter thread only.
  std::unique_ptr<RaftCore> core_;
  std::unique_ptr<LogStore> store_;
  VoterId self_;
  std::map<std::uint64_t, std::shared_ptr<WaitingCommand>> proposed_;
  std::map<std::uint64_t, PendingProposal> pending_;
  std::uint64_t nextProposal_ = 1;
  MonotonicTime lastProposalAt_{};
  MonotonicTime lastAdjustAt_{};
  /// The node of the last admission, and the time of the last failed admission
  /// by node.
  std::string lastAdmission_;
  std::map<std::string, MonotonicTime> admissionFailedAt_;
  /// When this node last knew a leader; initially the start of the process.
  MonotonicTime leaderKnownAt_{};
  MonotonicTime sizeReportedAt_{};

  std::atomic<bool> stopping_{ false };
  /// No leader was known for so long that this node may have lost its vote.
  std::atomic<bool> mayBeReplaced_{ false };
  std::atomic<std::uint64_t> nextRequest_{ 1 };
  std::string requestPrefix_;
  std::vector<std::thread> threads_;
};

} // namespace acaciahill
