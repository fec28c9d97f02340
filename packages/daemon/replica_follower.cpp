#include "daemon/replica_service_base.h"

#include "kernel/error_func.h"
#include "kernel/log_func.h"
#include "kernel/os_clock_func.h"

#include <algorithm>

// The part of the replica that follows the log by pulls, on nodes without a
// vote, and keeps the node's own record up to date.

namespace acaciahill {

namespace {

constexpr Millis kPullWait{ 1000 };
constexpr Millis kPullPause{ 200 };
constexpr Millis kRegistrationPause{ 1000 };
constexpr Millis kRegistrationTimeout{ 5000 };

} // namespace

std::vector<std::pair<std::string, std::string>>
ReplicaService::PullSources() const
{
  struct Source
  {
    int rank_;
    std::string node_;
    std::string address_;

    bool operator<(const Source& aOther) const
    {
      return std::tie(rank_, node_) < std::tie(aOther.rank_, aOther.node_);
    }
  };
  const auto nodes = Read([](const Fleet& aFleet) { return aFleet.Nodes(); });
  const auto isInOwnZone = [&](const std::string& aNode) {
    const auto found = nodes.find(aNode);
    return found != nodes.end() && found->second.zone_ == settings_.zone_;
  };
  std::vector<Source> sources;
  for (const auto& [node, address] : settings_.voters_) {
    if (node != settings_.node_) {
      sources.push_back({ isInOwnZone(node) ? 0 : 1, node, address });
    }
  }
  for (const auto& [node, record] : nodes) {
    if (node != settings_.node_ && !settings_.voters_.contains(node) &&
        isInOwnZone(node)) {
      sources.push_back({ 2, node, record.peerAddress_ });
    }
  }
  std::sort(sources.begin(), sources.end());
  std::vector<std::pair<std::string, std::string>> ordered;
  ordered.reserve(sources.size());
  for (const auto& source : sources) {
    ordered.emplace_back(source.node_, source.address_);
  }
  return ordered;
}

void
ReplicaService::RunFollower()
{
  while (!stopping_) {
    const bool hasVote = [this] {
      const std::lock_guard lock(controlMutex_);
      const auto& voters = control_.voters_;
      return settings_.voter_ &&
             std::find(voters.begin(), voters.end(), self_) != voters.end();
    }();
    if (hasVote) {
      std::this_thread::sleep_for(kPullWait);
      continue;
    }
    // The first source that answers serves until it fails; after each pull the
    // order starts anew, so that a better source that is back is used again.
    bool pulled = false;
    for (const auto& [node, address] : PullSources()) {
      if (stopping_ || PullOnce(node, address)) {
        pulled = true;
        break;
      }
    }
    if (!pulled) {
      std::this_thread::sleep_for(kPullPause);
    }
  }
}

bool
ReplicaService::PullOnce(const std::string& aPeer, const std::string& aAddress)
{
  PeerPull request;
  request.cluster_ = settings_.cluster_;
  request.node_ = settings_.node_;
  request.disk_ = self_.disk_;
  request.wait_ = kPullWait;
  request.digest_ = directory_->MakeDigestFor(aPeer);
  request.withoutClaims_ = !HoldsClaims();
  {
    const std::lock_guard lock(tailMutex_);
    request.applied_ = appliedIndex_;
  }
  const auto askedAt = MonotonicNow();
  const auto pulled = client_.Pull(aAddress, request);
  if (!IsOk(pulled)) {
    return false;
  }
  const auto& reply = ValueOf(pulled);
  directory_->AcceptDigest(aPeer, reply.digest_);
  // A source without claims has only its digest for a node that needs them.
  if (reply.withoutClaims_ && !request.withoutClaims_) {
    return false;
  }
  if (!reply.snapshot_.empty()) {
    Restore({ reply.snapshotIndex_, 0, {}, reply.snapshot_ });
  }
  for (const auto& each : reply.entries_) {
    if (const auto* entry = std::get_if<LogEntry>(&each)) {
      ApplyOne(*entry);
    } else if (const auto* run = std::get_if<ClaimRun>(&each)) {
      ApplyRun(*run);
    }
  }
  NotifyApplied();
  const std::lock_guard lock(controlMutex_);
  if (!reply.leader_.empty()) {
    control_.leader_ = reply.leader_;
  }
  if (reply.controlAge_ < Millis(INT32_MAX)) {
    contactAt_ = std::max(contactAt_, askedAt - reply.controlAge_);
  }
  // A source that lost its leader answers, but with old state; another source
  // may be in contact.
  return !reply.leader_.empty() &&
         reply.controlAge_ <= settings_.raft_.electionMin_;
}

void
ReplicaService::RunRegistration()
{
  const NodeRecord self{ settings_.node_,
                         settings_.zone_,
                         settings_.advertisePeers_,
                         settings_.advertiseAdmin_,
                         settings_.voter_ };
  while (!stopping_) {
    const bool isKnown = Read([&self](const Fleet& aFleet) {
      const auto found = aFleet.Nodes().find(self.id_);
      return found != aFleet.Nodes().end() && found->second == self;
    });
    if (!isKnown) {
      const auto result = Propose(RegisterNode{ self }, kRegistrationTimeout);
      if (result.error_) {
        LogWarning("cannot register this node yet",
                   { { "error", Describe(*result.error_) } });
      }
    }
    std::this_thread::sleep_for(kRegistrationPause);
  }
}

} // namespace acaciahill
