#include "daemon/replica_service_base.h"

#include "daemon/random_func.h"
#include "kernel/error_func.h"
#include "kernel/log_func.h"
#include "kernel/os_clock_func.h"

#include <algorithm>

namespace acaciahill {

namespace {

// Limits of the committed entries kept for nodes that pull.
constexpr std::size_t kTailEntries = 10000;
constexpr std::size_t kTailBytes = 8UL * 1024 * 1024;
// Ticks in one heartbeat interval.
constexpr int kTicksPerHeartbeat = 5;
// Proposal number of all changes of the voters; commands count from 1.
constexpr std::uint64_t kVoterChange = 0;
// Time without a leader after which a voter assumes that it may have been
// replaced. Several elections fit into it.
constexpr Millis kMayBeReplacedAfter{ 5000 };
// Contact is stale when it is older than the longest election timeout plus this
// margin.
constexpr Millis kStaleMargin{ 1000 };

CommandResult
Failed(ErrorKind aKind, const std::string& aDetail)
{
  CommandResult result;
  result.error_ = Error{ aKind, aDetail };
  return result;
}

template<typename T>
bool
IsSave(const T& aAction)
{
  return std::holds_alternative<SaveHardState>(aAction) ||
         std::holds_alternative<SaveEntries>(aAction) ||
         std::holds_alternative<SaveSnapshot>(aAction);
}

/// Joins saves of consecutive entries, so that several proposals cost one disk
/// sync.
void
MergeSaves(std::vector<RaftAction>& aActions)
{
  std::vector<RaftAction> merged;
  for (auto& action : aActions) {
    auto* next = std::get_if<SaveEntries>(&action);
    auto* last =
      merged.empty() ? nullptr : std::get_if<SaveEntries>(&merged.back());
    const bool follows =
      next != nullptr && last != nullptr && !next->entries_.empty() &&
      !last->entries_.empty() &&
      last->entries_.back().index_ + 1 == next->entries_.front().index_;
    if (follows) {
      std::move(next->entries_.begin(),
                next->entries_.end(),
                std::back_inserter(last->entries_));
    } else {
      merged.push_back(std::move(action));
    }
  }
  aActions = std::move(merged);
}

} // namespace

ReplicaService::ReplicaService(const DaemonSettings& aSettings,
                               const ServiceRegistry& aRegistry,
                               Metrics& aMetrics)
  : settings_(aSettings)
  , registry_(aRegistry)
  , metrics_(aMetrics)
  , meter_(aMetrics)
  , client_(&meter_)
  , tail_(kTailEntries, kTailBytes)
  , requestPrefix_(aSettings.node_ + "-" + RandomId() + "-")
{
  if (!settings_.voter_) {
    fleet_.DropClaims();
  }
}

ReplicaService::~ReplicaService()
{
  Stop();
}

Result<Done>
ReplicaService::Start()
{
  directory_ = &registry_.Find<DirectoryService>(kDirectoryServiceName);
  if (settings_.voter_) {
    auto opened = OpenLog();
    if (!IsOk(opened)) {
      return opened;
    }
  }
  server_ = std::make_unique<PeerServer>(*this, &meter_);
  auto listening = server_->Start(
    settings_.listenPeers_, settings_.cluster_, settings_.peerBufferBytes_);
  if (!IsOk(listening)) {
    return listening;
  }
  if (settings_.voter_) {
    threads_.emplace_back([this] { RunVoter(); });
  }
  threads_.emplace_back([this] { RunFollower(); });
  threads_.emplace_back([this] { RunRegistration(); });
  if (settings_.voter_ && settings_.seeded_) {
    threads_.emplace_back([this] { RunAdmission(); });
  }
  return Done{};
}

void
ReplicaService::Stop()
{
  if (stopping_.exchange(true)) {
    return;
  }
  workReady_.notify_all();
  NotifyApplied();
  client_.Stop();
  if (server_) {
    server_->Stop();
  }
  for (auto& thread : threads_) {
    thread.join();
  }
  threads_.clear();
}

Result<Done>
ReplicaService::OpenLog()
{
  auto opened = OpenFileLog(OsFileSystem(), settings_.dataDir_, RandomId());
  if (!IsOk(opened)) {
    return ErrorOf(opened);
  }
  auto [stored, store] = ValueOf(std::move(opened));
  if (!stored.snapshot_.data_.empty()) {
    auto fleet = Fleet::DecodeSnapshot(stored.snapshot_.data_);
    if (!IsOk(fleet)) {
      return ErrorOf(fleet);
    }
    if (!ValueOf(fleet).HoldsClaims()) {
      return Error{ ErrorKind::CorruptSnapshot,
                    "the stored snapshot of a voter contains no claims" };
    }
    fleet_ = ValueOf(std::move(fleet));
    appliedIndex_ = stored.snapshot_.lastIndex_;
    notifiedIndex_ = appliedIndex_;
  }
  self_ = { settings_.node_, stored.diskId_ };
  LogInfo("opened the Raft log",
          { { "disk", stored.diskId_ },
            { "snapshot_index", stored.snapshot_.lastIndex_ },
            { "entries", stored.entries_.size() } });
  core_ = std::make_unique<RaftCore>(RaftStart{ self_,
                                                settings_.raft_,
                                                RandomNumber(),
                                                stored.hardState_,
                                                stored.snapshot_,
                                                std::move(stored.entries_) },
                                     MonotonicNow());
  store_ = std::move(store);
  leaderKnownAt_ = MonotonicNow();
  PublishControl();
  return Done{};
}

void
ReplicaService::Enqueue(Work aWork)
{
  {
    const std::lock_guard lock(workMutex_);
    work_.push_back(std::move(aWork));
  }
  workReady_.notify_one();
}

void
ReplicaService::RunVoter()
{
  const auto tick =
    std::max(Millis(10), settings_.raft_.heartbeat_ / kTicksPerHeartbeat);
  auto nextTick = MonotonicNow();
  while (!stopping_) {
    std::deque<Work> work;
    {
      std::unique_lock lock(workMutex_);
      workReady_.wait_for(lock, nextTick - MonotonicNow(), [this] {
        return stopping_ || !work_.empty();
      });
      work.swap(work_);
    }
    std::vector<RaftAction> actions;
    for (const auto& item : work) {
      StepWork(item, actions);
    }
    if (MonotonicNow() >= nextTick) {
      auto ticked = core_->Step(TickInput{}, MonotonicNow());
      std::move(ticked.begin(), ticked.end(), std::back_inserter(actions));
      nextTick = MonotonicNow() + tick;
      AdjustVoters();
    }
    ExecuteActions(actions);
    CompactWhenDue();
    PublishControl();
  }
  FailWaiting();
}

void
ReplicaService::StepWork(const Work& aWork, std::vector<RaftAction>& aActions)
{
  if (const auto* message =
        std::get_if<std::shared_ptr<WaitingMessage>>(&aWork)) {
    StepMessage(*message, aActions);
  } else if (const auto* command =
               std::get_if<std::shared_ptr<WaitingCommand>>(&aWork)) {
    StepCommand(*command, aActions);
  } else if (const auto* reply = std::get_if<RaftMessage>(&aWork)) {
    auto stepped = core_->Step(MessageInput{ *reply }, MonotonicNow());
    std::move(stepped.begin(), stepped.end(), std::back_inserter(aActions));
  } else if (const auto* change = std::get_if<ChangeVoters>(&aWork)) {
    auto stepped = core_->Step(
      ChangeVoterInput{ kVoterChange, change->voter_, change->add_ },
      MonotonicNow());
    std::move(stepped.begin(), stepped.end(), std::back_inserter(aActions));
  } else if (const auto* resign = std::get_if<ResignInput>(&aWork)) {
    auto stepped = core_->Step(*resign, MonotonicNow());
    std::move(stepped.begin(), stepped.end(), std::back_inserter(aActions));
  }
}

void
ReplicaService::StepMessage(const std::shared_ptr<WaitingMessage>& aMessage,
                            std::vector<RaftAction>& aActions)
{
  auto stepped =
    core_->Step(MessageInput{ aMessage->message_ }, MonotonicNow());
  // The reply must not be sent before the state that it confirms is durable, so
  // the saves of this message are executed first.
  const auto reply = std::find_if(
    stepped.begin(), stepped.end(), [&aMessage](const RaftAction& aAction) {
      const auto* send = std::get_if<SendMessage>(&aAction);
      return send != nullptr && send->message_.to_ == aMessage->message_.from_;
    });
  std::optional<RaftMessage> answer;
  if (reply != stepped.end()) {
    answer = std::get<SendMessage>(*reply).message_;
    stepped.erase(reply);
  }
  std::move(stepped.begin(), stepped.end(), std::back_inserter(aActions));
  ExecuteActions(aActions);
  aActions.clear();
  aMessage->reply_.set_value(std::move(answer));
}

void
ReplicaService::StepCommand(const std::shared_ptr<WaitingCommand>& aCommand,
                            std::vector<RaftAction>& aActions)
{
  const auto now = MonotonicNow();
  auto envelope = aCommand->envelope_;
  // The first command of a leader adds no time, as the time since the former
  // leader's last command is unknown.
  envelope.elapsedMs_ =
    lastProposalAt_ == MonotonicTime{}
      ? 0
      : static_cast<std::uint64_t>((now - lastProposalAt_).count());
  const auto proposal = nextProposal_++;
  proposed_.emplace(proposal, aCommand);
  // Only the leader acts on claims and on most changes of jobs. A message to
  // each voter after each commit would double their cost on the leader.
  auto stepped =
    core_->Step(ProposeInput{ proposal,
                              EncodeEnvelope(envelope),
                              aCommand->notifiesPeers_ &&
                                !IsClaimCommand(envelope.command_) },
                now);
  if (core_->Role() == RaftRole::Leader) {
    lastProposalAt_ = now;
  }
  std::move(stepped.begin(), stepped.end(), std::back_inserter(aActions));
}

void
ReplicaService::ExecuteActions(std::vector<RaftAction>& aActions)
{
  // Saves are executed first, in their order: it is always safe to send or
  // apply later than allowed, and consecutive saves are merged into one.
  std::stable_partition(
    aActions.begin(), aActions.end(), [](const RaftAction& aAction) {
      return IsSave(aAction);
    });
  MergeSaves(aActions);
  for (const auto& action : aActions) {
    if (IsSave(action)) {
      if (!Save(action)) {
        // Entries that are not durable must not be acknowledged, and after a
        // failed save the state of the store is unknown.
        FlushLog();
        std::_Exit(AnswerOf(ErrorKind::IoError).exitCode_);
      }
    } else {
      ExecuteAction(action);
    }
  }
}

bool
ReplicaService::Save(const RaftAction& aAction)
{
  const auto start = MonotonicNow();
  Result<Done> saved = Done{};
  if (const auto* hardState = std::get_if<SaveHardState>(&aAction)) {
    saved = store_->Save(*hardState);
  } else if (const auto* entries = std::get_if<SaveEntries>(&aAction)) {
    saved = store_->Save(*entries);
  } else if (const auto* snapshot = std::get_if<SaveSnapshot>(&aAction)) {
    saved = store_->Save(*snapshot);
  }
  metrics_.Observe("acaciahill_log_save_seconds",
                   {},
                   static_cast<double>((MonotonicNow() - start).count()) / 1e3);
  if (!IsOk(saved)) {
    LogError("cannot save the Raft log; stopping this node",
             { { "error", Describe(ErrorOf(saved)) } });
    return false;
  }
  return true;
}

void
ReplicaService::ExecuteAction(const RaftAction& aAction)
{
  if (const auto* send = std::get_if<SendMessage>(&aAction)) {
    SendToPeer(send->message_);
  } else if (const auto* apply = std::get_if<ApplyEntries>(&aAction)) {
    ApplyCommitted(apply->entries_);
  } else if (const auto* restore = std::get_if<RestoreState>(&aAction)) {
    Restore(restore->snapshot_);
  } else if (const auto* accepted = std::get_if<ProposalAccepted>(&aAction)) {
    const auto found = proposed_.find(accepted->proposal_);
    if (accepted->proposal_ == kVoterChange) {
      LogInfo("appended a change of the voters",
              { { "index", accepted->index_ },
                { "voters", core_->Voters().voters_.size() } });
    } else if (found != proposed_.end()) {
      pending_[accepted->index_] = { accepted->term_, found->second };
      proposed_.erase(found);
    }
  } else if (const auto* refused = std::get_if<ProposalRefused>(&aAction)) {
    const auto found = proposed_.find(refused->proposal_);
    if (refused->proposal_ == kVoterChange) {
      LogInfo("a change of the voters was refused or abandoned");
      admissionFailedAt_[lastAdmission_] = MonotonicNow();
    } else if (found != proposed_.end()) {
      found->second->onResult_(
        Failed(ErrorKind::NotLeader, "this node does not lead"));
      proposed_.erase(found);
    }
  } else if (const auto* role = std::get_if<RoleChanged>(&aAction)) {
    LogInfo("role changed",
            { { "role", static_cast<int>(role->role_) },
              { "leader", role->leader_ },
              { "term", role->term_ } });
    if (role->role_ != RaftRole::Leader) {
      lastProposalAt_ = MonotonicTime{};
    }
  }
}

void
ReplicaService::SendToPeer(const RaftMessage& aMessage)
{
  const auto address = AddressOf(aMessage.to_);
  if (!address) {
    return;
  }
  const PeerRaft request{ settings_.cluster_,
                          settings_.node_,
                          aMessage,
                          directory_->MakeDigestFor(aMessage.to_) };
  client_.SendRaft(*address,
                   request,
                   settings_.raft_.electionMin_,
                   [this](const PeerRaft& aReply) {
                     directory_->AcceptDigest(aReply.from_, aReply.digest_);
                     if (aReply.message_) {
                       Enqueue(*aReply.message_);
                     }
                   });
}

void
ReplicaService::Restore(const Snapshot& aSnapshot)
{
  if (aSnapshot.data_.empty()) {
    return;
  }
  auto decoded = Fleet::DecodeSnapshot(aSnapshot.data_);
  if (!IsOk(decoded)) {
    LogError("cannot decode a received snapshot",
             { { "index", aSnapshot.lastIndex_ },
               { "error", Describe(ErrorOf(decoded)) } });
    return;
  }
  auto fleet = ValueOf(std::move(decoded));
  if (!settings_.voter_) {
    fleet.DropClaims();
  } else if (!fleet.HoldsClaims()) {
    LogError("ignoring a snapshot without claims: a voter needs them",
             { { "index", aSnapshot.lastIndex_ } });
    return;
  }
  {
    const std::unique_lock lock(fleetMutex_);
    const std::lock_guard tailLock(tailMutex_);
    if (aSnapshot.lastIndex_ <= appliedIndex_) {
      return;
    }
    fleet_ = std::move(fleet);
    tail_.Clear();
    appliedIndex_ = aSnapshot.lastIndex_;
    notifiedIndex_ = aSnapshot.lastIndex_;
    commandAppliedAt_ = MonotonicNow();
  }
  LogInfo("restored the state from a snapshot",
          { { "index", aSnapshot.lastIndex_ } });
  NotifyApplied();
}

void
ReplicaService::ApplyCommitted(const std::vector<LogEntry>& aEntries)
{
  for (const auto& entry : aEntries) {
    const auto result = ApplyOne(entry);
    const auto waiting = pending_.find(entry.index_);
    if (waiting == pending_.end()) {
      continue;
    }
    const auto proposal = waiting->second;
    pending_.erase(waiting);
    proposal.command_->onResult_(
      proposal.term_ == entry.term_
        ? result
        : Failed(ErrorKind::ProposalLost, "another leader took over"));
  }
  NotifyApplied();
}

CommandResult
ReplicaService::ApplyOne(const LogEntry& aEntry)
{
  auto result = Failed(ErrorKind::ProposalLost, "applied before");
  bool isClaim = false;
  {
    const std::unique_lock lock(fleetMutex_);
    {
      const std::lock_guard tailLock(tailMutex_);
      // A Raft learner that also pulls entries receives them twice.
      if (aEntry.index_ != appliedIndex_ + 1) {
        return result;
      }
    }
    if (aEntry.kind_ == EntryKind::Command) {
      const auto envelope = DecodeEnvelope(aEntry.data_);
      if (IsOk(envelope)) {
        isClaim = IsClaimCommand(ValueOf(envelope).command_);
        result = fleet_.Apply(ValueOf(envelope), aEntry.index_);
      } else {
        LogError("cannot decode a committed command",
                 { { "index", aEntry.index_ },
                   { "error", Describe(ErrorOf(envelope)) } });
      }
    }
    const std::lock_guard tailLock(tailMutex_);
    appliedIndex_ = aEntry.index_;
    if (aEntry.kind_ == EntryKind::Command) {
      commandAppliedAt_ = MonotonicNow();
    }
    if (!isClaim) {
      notifiedIndex_ = aEntry.index_;
      tail_.Add(aEntry);
    } else if (fleet_.HoldsClaims()) {
      tail_.AddClaim(aEntry, fleet_.LogicalMs());
    } else {
      tail_.AddRun({ aEntry.index_, aEntry.index_, fleet_.LogicalMs() });
    }
  }
  return result;
}

void
ReplicaService::ApplyRun(const ClaimRun& aRun)
{
  const std::unique_lock lock(fleetMutex_);
  const std::lock_guard tailLock(tailMutex_);
  // A state with claims needs the claim commands themselves.
  if (fleet_.HoldsClaims() || aRun.firstIndex_ > appliedIndex_ + 1 ||
      aRun.lastIndex_ <= appliedIndex_) {
    return;
  }
  fleet_.SkipClaims(aRun.lastIndex_, aRun.logicalMs_);
  tail_.AddRun({ appliedIndex_ + 1, aRun.lastIndex_, aRun.logicalMs_ });
  appliedIndex_ = aRun.lastIndex_;
  commandAppliedAt_ = MonotonicNow();
}

void
ReplicaService::NotifyApplied()
{
  const std::lock_guard lock(tailMutex_);
  applied_.notify_all();
}

void
ReplicaService::CompactWhenDue()
{
  std::uint64_t applied = 0;
  {
    const std::lock_guard lock(tailMutex_);
    applied = appliedIndex_;
  }
  applied = std::min(applied, core_->CommitIndex());
  if (applied < core_->SnapshotIndex() + settings_.snapshotEntries_) {
    return;
  }
  const auto data =
    Read([](const Fleet& aFleet) { return aFleet.EncodeSnapshot(); });
  auto actions = core_->Step(CompactInput{ applied, data }, MonotonicNow());
  ExecuteActions(actions);
  LogInfo("compacted the Raft log", { { "index", applied } });
}

void
ReplicaService::PublishControl()
{
  const auto now = MonotonicNow();
  const std::lock_guard lock(controlMutex_);
  control_.term_ = core_->Term();
  control_.wantedVoters_ = WantedVoters();
  control_.lastIndex_ = core_->LastIndex();
  if (!core_->Leader().empty()) {
    leaderKnownAt_ = now;
  }
  // A voter without a leader for this time may have been replaced, which its
  // own log does not show.
  mayBeReplaced_ =
    settings_.seeded_ && now - leaderKnownAt_ > kMayBeReplacedAfter;
  if (core_->Role() == RaftRole::Learner || mayBeReplaced_) {
    // Such a node also pulls; PullOnce publishes its leader and contact.
    control_.isLeader_ = false;
    control_.holdsCommitted_ = false;
    control_.voters_ = core_->Voters().voters_;
    return;
  }
  control_.leader_ = core_->Leader();
  control_.isLeader_ = core_->Role() == RaftRole::Leader;
  control_.commitIndex_ = core_->CommitIndex();
  control_.holdsCommitted_ = core_->HoldsCommitted();
  control_.voters_ = core_->Voters().voters_;
  if (const auto contact = core_->LastContact(now)) {
    contactAt_ = std::max(contactAt_, *contact);
  }
}

void
ReplicaService::FailWaiting()
{
  for (auto& [proposal, command] : proposed_) {
    command->onResult_(Failed(ErrorKind::NodeStopping, ""));
  }
  for (auto& [index, proposal] : pending_) {
    proposal.command_->onResult_(Failed(ErrorKind::ProposalLost, ""));
  }
  proposed_.clear();
  pending_.clear();
  const std::lock_guard lock(workMutex_);
  for (auto& item : work_) {
    if (auto* message = std::get_if<std::shared_ptr<WaitingMessage>>(&item)) {
      (*message)->reply_.set_value(std::nullopt);
    } else if (auto* command =
                 std::get_if<std::shared_ptr<WaitingCommand>>(&item)) {
      (*command)->onResult_(Failed(ErrorKind::NodeStopping, ""));
    }
  }
  work_.clear();
}

std::uint64_t
ReplicaService::LogicalNowMs() const
{
  const std::shared_lock lock(fleetMutex_);
  const std::lock_guard tailLock(tailMutex_);
  const auto sinceCommand = commandAppliedAt_ == MonotonicTime{}
                              ? Millis(0)
                              : MonotonicNow() - commandAppliedAt_;
  return fleet_.LogicalMs() + static_cast<std::uint64_t>(sinceCommand.count());
}

std::optional<std::string>
ReplicaService::AddressOf(const std::string& aNode) const
{
  // In a seeded group the node ids are IP addresses.
  if (settings_.seeded_) {
    return aNode + ":" + settings_.seeded_->peerPort_;
  }
  // The settings come first: the operator sets a voter's address there, and
  // they are valid before any node is registered.
  const auto voter = settings_.voters_.find(aNode);
  if (voter != settings_.voters_.end()) {
    return voter->second;
  }
  return Read([&aNode](const Fleet& aFleet) -> std::optional<std::string> {
    const auto found = aFleet.Nodes().find(aNode);
    if (found == aFleet.Nodes().end()) {
      return std::nullopt;
    }
    return found->second.peerAddress_;
  });
}

ControlStatus
ReplicaService::Control() const
{
  const auto now = MonotonicNow();
  const std::lock_guard lock(controlMutex_);
  auto control = control_;
  control.age_ = now - contactAt_;
  control.caughtUp_ = contactAt_ != MonotonicTime{};
  control.stale_ = !control.caughtUp_ ||
                   control.age_ > settings_.raft_.electionMax_ + kStaleMargin;
  return control;
}

std::uint64_t
ReplicaService::AppliedIndex() const
{
  const std::lock_guard lock(tailMutex_);
  return appliedIndex_;
}

bool
ReplicaService::WaitApplied(std::uint64_t aIndex, Millis aTimeout) const
{
  std::unique_lock lock(tailMutex_);
  return applied_.wait_for(lock, aTimeout, [this, aIndex] {
    return stopping_ || appliedIndex_ >= aIndex;
  }) && appliedIndex_ >= aIndex;
}

} // namespace acaciahill
