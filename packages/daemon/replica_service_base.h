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

/// This node's relation to the control group.
struct ControlStatus
{
  /// Node id of the leader; empty when unknown.
  std::string leader_;
  bool isLeader_ = false;
  /// Time since the state was last known to be current.
  Millis age_{ 0 };
  /// True when that is so long ago that the state may be outdated.
  bool stale_ = false;
  /// True once the node has caught up with the log after its start.
  bool caughtUp_ = false;
  std::uint64_t commitIndex_ = 0;
  /// The node has a vote, and holds everything that its leader had committed
  /// when it last heard from it.
  bool holdsCommitted_ = false;
  /// Term and index of the last log entry; 0 on nodes that are no voters.
  std::uint64_t term_ = 0;
  std::uint64_t lastIndex_ = 0;
  std::vector<VoterId> voters_;
  /// Voters that the group needs to bear the tolerated losses; 0 where the
  /// settings list the voters.
  std::size_t wantedVoters_ = 0;

  bool operator==(const ControlStatus&) const = default;
};

/// The node's replica of the fleet state: runs the consensus core on voters,
/// follows the log by pulls elsewhere, and takes commands. A node that is not
/// set up as a voter holds no claims: the leader decides on them, so that no
/// other node needs them. A node that may get a vote always holds them, also
/// while it has none.
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

  /// Runs a function on the state under a shared lock; it must be short.
  template<typename F>
  auto Read(F&& aFunction) const
  {
    const std::shared_lock lock(fleetMutex_);
    return aFunction(static_cast<const Fleet&>(fleet_));
  }

  /// Gives a command to the leader, wherever it is, and waits for its result.
  /// Without a leader it tries again until the timeout. Errors in the result:
  /// those of the command; ControlUnreachable when it was not accepted;
  /// ProposalLost when that is not known.
  CommandResult Propose(const Command& aCommand,
                        const std::string& aRequestId,
                        Millis aTimeout);

  /// The same with a request id of its own.
  CommandResult Propose(const Command& aCommand, Millis aTimeout);

  /// Gives commands to this node as the leader, all at once, so that they are
  /// decided in their order and share syncs of the disk. A command refused as
  /// NotLeader was not accepted.
  std::vector<CommandResult> ProposeHere(const std::vector<Command>& aCommands,
                                         Millis aTimeout);

  /// Gives a command to this node as the leader without waiting. The function
  /// is called once, on another thread, when the command is applied (after all
  /// before it in the log) or is known not to have been accepted; errors as in
  /// Propose.
  /// Other nodes learn of the commit at once, and not with the next heartbeat,
  /// when aAnnounces is set.
  void ProposeAsync(const Command& aCommand,
                    std::function<void(CommandResult)> aOnResult,
                    bool aAnnounces = false);

  /// The state's logical time, continued by this node's monotonic clock since
  /// the last command that it applied.
  std::uint64_t LogicalNowMs() const;

  ControlStatus Control() const;

  /// Index of the last entry applied here. It also counts entries that are no
  /// commands, unlike Fleet::AppliedIndex().
  std::uint64_t AppliedIndex() const;

  /// Waits until an index is applied or the time is over.
  bool WaitApplied(std::uint64_t aIndex, Millis aTimeout) const;

  PeerRaft HandleRaft(const PeerRaft& aRequest) override;
  PeerPullReply HandlePull(const PeerPull& aRequest) override;
  CommandResult HandlePropose(const PeerPropose& aRequest) override;
  PeerStatus HandleStatus(const PeerStatusRequest& aRequest) override;

private:
  /// A message from a peer that waits for the core's answer.
  struct WaitingMessage
  {
    RaftMessage message_;
    std::promise<std::optional<RaftMessage>> reply_;
  };

  /// A command that waits for its result.
  struct WaitingCommand
  {
    CommandEnvelope envelope_;
    /// Other nodes act on it before the next heartbeat.
    bool announces_ = true;
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
                            ChangeVoters>;

  /// A proposal in the leader's log that waits to be applied.
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

  /// What the follower remembers between pulls.
  struct SourceChoice
  {
    /// The source that was last in contact.
    std::string current_;
    /// When a better one was last tried, and how often.
    MonotonicTime triedAt_{};
    std::size_t tries_ = 0;
  };

  Result<Done> OpenLog();
  void RunVoter();
  void RunFollower();
  void RunRegistration();
  /// Asks the leader for a place among the voters while this node has none.
  void RunAdmission();
  bool HasVote() const;
  std::vector<PullSource> PullSources() const;
  /// Asks the sources until one is in contact with the leader; false if none
  /// is.
  bool PullFromAny(SourceChoice& aChoice);
  /// Takes the newest state from a source. False when it does not answer, or
  /// lost its own contact with the leader.
  bool PullOnce(const PullSource& aSource, Millis aWait);

  void StepWork(const Work& aWork, std::vector<RaftAction>& aActions);
  void StepCommand(const std::shared_ptr<WaitingCommand>& aCommand,
                   std::vector<RaftAction>& aActions);
  void StepMessage(const std::shared_ptr<WaitingMessage>& aMessage,
                   std::vector<RaftAction>& aActions);
  /// Carries out the actions of a step; ends the process when a save fails.
  void CarryOut(std::vector<RaftAction>& aActions);
  bool Save(const RaftAction& aAction);
  void CarryOutOther(const RaftAction& aAction);
  void SendToPeer(const RaftMessage& aMessage);
  void Restore(const Snapshot& aSnapshot);
  void ApplyCommitted(const std::vector<LogEntry>& aEntries);
  CommandResult ApplyOne(const LogEntry& aEntry);
  void ApplyRun(const ClaimRun& aRun);
  /// The constructor, the log and each snapshot keep the state in this form.
  bool HoldsClaims() const { return settings_.voter_; }
  void CompactWhenDue();
  void RepairVoters();
  /// Takes note of a node that answers with a disk id that has no vote.
  void NoteCandidate(const std::string& aNode, const std::string& aDisk);
  /// Removes one voter that lost its disk. True when there is one.
  bool RemoveLostVoter(const std::map<std::string, UnrecognizedDisk>& aHeard);
  /// Admits voters of the settings again that come back with another disk.
  void ReadmitListedVoters(
    const std::map<std::string, UnrecognizedDisk>& aHeard);
  /// Admits one control node that asks for a place, up to the wanted number,
  /// or makes room for it. True when the voters change.
  bool GrowSeededGroup(const std::map<std::string, UnrecognizedDisk>& aHeard);
  /// Voters that a seeded group needs to bear the tolerated losses.
  std::size_t WantedVoters() const;
  /// Reports a seeded group that cannot bear the tolerated losses.
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
  /// Index of the last entry that ends long polls early. Claims do not: no
  /// other node acts on them, and each would cost a message to every node.
  std::uint64_t announcedIndex_ = 0;
  MonotonicTime commandAppliedAt_{};

  mutable std::mutex controlMutex_;
  ControlStatus control_;
  MonotonicTime contactAt_{};
  /// Nodes that answer, or ask for a place, with a disk id that has no vote.
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
  MonotonicTime lastRepairAt_{};
  /// The node that was last to be admitted, and when that failed, by node.
  std::string lastAdmission_;
  std::map<std::string, MonotonicTime> admissionFailedAt_;
  /// When this member last knew a leader; the start of the process before.
  MonotonicTime ledAt_{};
  MonotonicTime sizeReportedAt_{};

  std::atomic<bool> stopping_{ false };
  /// No leader was found for so long that the vote may be gone.
  std::atomic<bool> isOrphaned_{ false };
  std::atomic<std::uint64_t> nextRequest_{ 1 };
  std::string requestPrefix_;
  std::vector<std::thread> threads_;
};

} // namespace acaciahill
