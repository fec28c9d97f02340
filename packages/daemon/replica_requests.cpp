#include "daemon/replica_service_base.h"

#include "kernel/error_func.h"
#include "kernel/os_clock_func.h"

#include <algorithm>

// The part of the replica that serves other threads and nodes: proposals of
// commands and the calls of the peer service.

namespace acaciahill {

namespace {

// Maximum number of entries in one reply to a pull.
constexpr std::size_t kMaxPullEntries = 1000;
// Longest wait of one pull; an idle node exchanges digests at this interval.
constexpr Millis kPullWait{ 1000 };
constexpr Millis kProposePause{ 100 };
// A proposal is forwarded at most from a node to a follower and on to the
// leader.
constexpr std::uint32_t kMaxHops = 2;

CommandResult
Failed(ErrorKind aKind, const std::string& aDetail)
{
  CommandResult result;
  result.error_ = Error{ aKind, aDetail };
  return result;
}

} // namespace

CommandResult
ReplicaService::Propose(const Command& aCommand, Millis aTimeout)
{
  return Propose(
    aCommand, requestPrefix_ + std::to_string(nextRequest_++), aTimeout);
}

CommandResult
ReplicaService::Propose(const Command& aCommand,
                        const std::string& aRequestId,
                        Millis aTimeout)
{
  const CommandEnvelope envelope{ aRequestId, 0, aCommand };
  const auto deadline = MonotonicNow() + aTimeout;
  // Once an attempt may have been accepted, the outcome is unknown until a
  // resend with the same request id returns the first result.
  bool mayBeAccepted = false;
  while (!stopping_) {
    const auto left = deadline - MonotonicNow();
    if (left <= Millis(0)) {
      break;
    }
    // When a connection gets no reply, it is unknown whether the command
    // arrived. A node without contact therefore sends nothing, so that its
    // refusal is definite.
    if (Control().stale_) {
      std::this_thread::sleep_for(std::min(kProposePause, left));
      continue;
    }
    auto result = HandlePropose({ settings_.cluster_, envelope, left, 0 });
    if (!result.error_ ||
        (result.error_->kind_ != ErrorKind::NotLeader &&
         result.error_->kind_ != ErrorKind::ProposalLost &&
         result.error_->kind_ != ErrorKind::ControlUnreachable)) {
      return result;
    }
    mayBeAccepted |= result.error_->kind_ == ErrorKind::ProposalLost;
    std::this_thread::sleep_for(std::min(kProposePause, left));
  }
  return mayBeAccepted ? Failed(ErrorKind::ProposalLost, "")
                       : Failed(ErrorKind::ControlUnreachable,
                                "no leader took the change; it was not made");
}

CommandResult
ReplicaService::HandlePropose(const PeerPropose& aRequest)
{
  const auto control = Control();
  if (control.isLeader_) {
    return ProposeHere(aRequest.envelope_, aRequest.timeout_);
  }
  if (control.leader_.empty() || aRequest.hops_ >= kMaxHops ||
      control.leader_ == settings_.node_) {
    return Failed(ErrorKind::NotLeader, "the leader is not known");
  }
  const auto address = AddressOf(control.leader_);
  if (!address) {
    return Failed(ErrorKind::ControlUnreachable,
                  "the leader's address is not known");
  }
  auto request = aRequest;
  ++request.hops_;
  auto reply = client_.Propose(*address, request);
  if (!IsOk(reply)) {
    CommandResult failed;
    failed.error_ = ErrorOf(reply);
    return failed;
  }
  return ValueOf(std::move(reply));
}

void
ReplicaService::Resign(std::uint64_t aTerm)
{
  if (settings_.voter_) {
    Enqueue(ResignInput{ aTerm });
  }
}

std::future<CommandResult>
ReplicaService::EnqueueForResult(const CommandEnvelope& aEnvelope)
{
  auto promise = std::make_shared<std::promise<CommandResult>>();
  auto waiting = std::make_shared<WaitingCommand>();
  waiting->envelope_ = aEnvelope;
  waiting->onResult_ = [promise](CommandResult aResult) {
    promise->set_value(std::move(aResult));
  };
  Enqueue(waiting);
  return promise->get_future();
}

void
ReplicaService::ProposeAsync(const Command& aCommand,
                             std::function<void(CommandResult)> aOnResult,
                             bool aNotifiesPeers)
{
  auto waiting = std::make_shared<WaitingCommand>();
  waiting->envelope_ = { requestPrefix_ + std::to_string(nextRequest_++),
                         0,
                         aCommand };
  waiting->notifiesPeers_ = aNotifiesPeers;
  waiting->onResult_ = std::move(aOnResult);
  Enqueue(waiting);
}

CommandResult
ReplicaService::ProposeHere(const CommandEnvelope& aEnvelope, Millis aTimeout)
{
  auto result = EnqueueForResult(aEnvelope);
  if (result.wait_for(aTimeout) != std::future_status::ready) {
    return Failed(ErrorKind::ProposalLost, "no quorum confirmed it in time");
  }
  return result.get();
}

std::vector<CommandResult>
ReplicaService::ProposeHere(const std::vector<Command>& aCommands,
                            Millis aTimeout)
{
  std::vector<std::future<CommandResult>> futures;
  futures.reserve(aCommands.size());
  for (const auto& command : aCommands) {
    futures.push_back(EnqueueForResult(
      { requestPrefix_ + std::to_string(nextRequest_++), 0, command }));
  }
  const auto deadline = std::chrono::steady_clock::now() + aTimeout;
  std::vector<CommandResult> results;
  results.reserve(futures.size());
  for (auto& future : futures) {
    results.push_back(
      future.wait_until(deadline) == std::future_status::ready
        ? future.get()
        : Failed(ErrorKind::ProposalLost, "no quorum confirmed it in time"));
  }
  return results;
}

PeerRaft
ReplicaService::HandleRaft(const PeerRaft& aRequest)
{
  directory_->AcceptDigest(aRequest.from_, aRequest.digest_);
  PeerRaft reply;
  reply.cluster_ = settings_.cluster_;
  reply.from_ = settings_.node_;
  if (settings_.voter_ && aRequest.message_ && !stopping_) {
    auto waiting = std::make_shared<WaitingMessage>();
    waiting->message_ = *aRequest.message_;
    auto answer = waiting->reply_.get_future();
    Enqueue(waiting);
    // The voter thread answers every message that it takes, but may be
    // stopping.
    if (answer.wait_for(settings_.raft_.electionMin_) ==
        std::future_status::ready) {
      reply.message_ = answer.get();
    }
  }
  reply.digest_ = directory_->MakeDigestFor(aRequest.from_);
  return reply;
}

PeerStatus
ReplicaService::HandleStatus(const PeerStatusRequest& aRequest)
{
  if (const auto& candidate = aRequest.candidate_) {
    RecordCandidate(candidate->node_, candidate->disk_);
  }
  const auto control = Control();
  return { control.leader_, control.term_, control.lastIndex_ };
}

PeerPullReply
ReplicaService::HandlePull(const PeerPull& aRequest)
{
  directory_->AcceptDigest(aRequest.node_, aRequest.digest_);
  if (!aRequest.disk_.empty()) {
    RecordCandidate(aRequest.node_, aRequest.disk_);
  }
  // A state without claims is of no use to a node that may get a vote. Such a
  // pull only exchanges digests. It still waits, as the node would otherwise
  // repeat it at once.
  const bool canServe = aRequest.withoutClaims_ || HoldsClaims();
  {
    std::unique_lock lock(tailMutex_);
    applied_.wait_for(lock, std::min(aRequest.wait_, kPullWait), [&] {
      return stopping_ || (canServe && notifiedIndex_ > aRequest.applied_);
    });
  }

  PeerPullReply reply;
  reply.withoutClaims_ = aRequest.withoutClaims_ || !canServe;
  if (!canServe) {
    // Reports no leader and no contact, so that the requesting node does not
    // consider its own state current.
    reply.controlAge_ = Millis(INT32_MAX);
    reply.digest_ = directory_->MakeDigestFor(aRequest.node_);
    return reply;
  }
  bool needsSnapshot = false;
  {
    const std::lock_guard lock(tailMutex_);
    if (appliedIndex_ > aRequest.applied_) {
      auto entries = tail_.After(
        aRequest.applied_, aRequest.withoutClaims_, kMaxPullEntries);
      needsSnapshot = !entries;
      reply.entries_ = std::move(entries).value_or(std::vector<PulledEntry>{});
    }
  }
  if (needsSnapshot) {
    const std::shared_lock lock(fleetMutex_);
    const std::lock_guard tailLock(tailMutex_);
    reply.snapshot_ = aRequest.withoutClaims_
                        ? fleet_.EncodeSnapshotWithoutClaims()
                        : fleet_.EncodeSnapshot();
    reply.snapshotIndex_ = appliedIndex_;
  }
  const auto control = Control();
  reply.leader_ = control.leader_;
  reply.controlAge_ = control.caughtUp_ ? control.age_ : Millis(INT32_MAX);
  reply.digest_ = directory_->MakeDigestFor(aRequest.node_);
  return reply;
}

} // namespace acaciahill
