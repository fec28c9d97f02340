#include "daemon/replica_service_base.h"

#include "kernel/error_func.h"
#include "kernel/log_func.h"
#include "kernel/os_clock_func.h"

#include <algorithm>

// The part of the replica that pulls log entries on nodes without a vote, and
// keeps this node's record in the fleet state up to date.

namespace acaciahill {

namespace {

constexpr Millis kPullWait{ 1000 };
constexpr Millis kPullPause{ 200 };
// Age of a voter's last contact with the leader, in heartbeats, above which
// other sources are asked. With the default heartbeat of 500 ms, a voter that
// lost the leader at time 0 answers its last accepted pull before 1.5 s and the
// next one kPullWait later, at 2.5 s at the latest. The next source then
// answers at once. A source that stops answering costs kPullWait plus the
// client's margin of 1.5 s, also 2.5 s. Both leave 1.5 s of the 4 s within
// which a change must be in force.
constexpr int kMaxContactHeartbeats = 3;
// A node without a vote learns of the leader by its own pulls, so the age of
// its contact is one to two pull waits above that of its source.
constexpr int kPullsPerHop = 2;
// Rank of a node without a vote as a source; voters have lower (better) ranks.
constexpr int kNonVoterRank = 2;
// Interval between tries of a source with a better rank than the current one. A
// source that does not answer costs 1.5 s without new entries.
constexpr Millis kBetterSourceInterval{ 5000 };
constexpr Millis kRegistrationPause{ 1000 };
constexpr Millis kRegistrationTimeout{ 5000 };

} // namespace

std::vector<ReplicaService::PullSource>
ReplicaService::PullSources() const
{
  const auto nodes = Read([](const Fleet& aFleet) { return aFleet.Nodes(); });
  const auto isInOwnZone = [&](const std::string& aNode) {
    const auto found = nodes.find(aNode);
    return found != nodes.end() && found->second.zone_ == settings_.zone_;
  };
  std::vector<PullSource> sources;
  for (const auto& [node, address] : settings_.voters_) {
    if (node != settings_.node_) {
      sources.push_back({ isInOwnZone(node) ? 0 : 1, node, address });
    }
  }
  if (settings_.seeded_) {
    // The seeds may have been replaced, so the current voters are added.
    for (const auto& voter : Control().voters_) {
      if (voter.node_ != settings_.node_ &&
          !settings_.voters_.contains(voter.node_)) {
        sources.push_back({ isInOwnZone(voter.node_) ? 0 : 1,
                            voter.node_,
                            AddressOf(voter.node_).value_or("") });
      }
    }
  }
  for (const auto& [node, record] : nodes) {
    if (node != settings_.node_ && !settings_.voters_.contains(node) &&
        isInOwnZone(node)) {
      sources.push_back({ kNonVoterRank, node, record.peerAddress_ });
    }
  }
  std::sort(sources.begin(), sources.end());
  return sources;
}

bool
ReplicaService::HasVote() const
{
  const std::lock_guard lock(controlMutex_);
  const auto& voters = control_.voters_;
  return settings_.voter_ && !mayBeReplaced_ &&
         std::find(voters.begin(), voters.end(), self_) != voters.end();
}

void
ReplicaService::RunFollower()
{
  SourceChoice choice;
  while (!stopping_) {
    if (HasVote()) {
      std::this_thread::sleep_for(kPullWait);
      continue;
    }
    if (!PullFromAny(choice)) {
      std::this_thread::sleep_for(kPullPause);
    }
  }
}

bool
ReplicaService::PullFromAny(SourceChoice& aChoice)
{
  auto sources = PullSources();
  const auto isCurrent = [&aChoice](const PullSource& aSource) {
    return aSource.node_ == aChoice.current_;
  };
  const auto current = std::find_if(sources.begin(), sources.end(), isCurrent);
  if (current != sources.end()) {
    const auto better =
      std::count_if(sources.begin(), sources.end(), [&](const auto& aSource) {
        return aSource.rank_ < current->rank_;
      });
    const auto now = MonotonicNow();
    if (better > 0 && now - aChoice.betterTriedAt_ >= kBetterSourceInterval) {
      aChoice.betterTriedAt_ = now;
      const auto& source = sources[aChoice.betterTries_++ % better];
      if (PullOnce(source, Millis(0))) {
        aChoice.current_ = source.node_;
        return true;
      }
    }
    // The last source that was in contact comes first, so that a source which
    // does not answer costs its timeout only once.
    std::rotate(sources.begin(), current, std::next(current));
  }
  // Only the first source is asked to wait for new entries. When it has lost
  // contact, the others are asked to answer at once.
  auto wait = kPullWait;
  for (const auto& source : sources) {
    if (stopping_) {
      return true;
    }
    if (PullOnce(source, wait)) {
      if (aChoice.current_ != source.node_) {
        aChoice.current_ = source.node_;
        aChoice.betterTriedAt_ = MonotonicNow();
      }
      return true;
    }
    wait = Millis(0);
  }
  return false;
}

bool
ReplicaService::PullOnce(const PullSource& aSource, Millis aWait)
{
  PeerPull request;
  request.cluster_ = settings_.cluster_;
  request.node_ = settings_.node_;
  request.disk_ = self_.disk_;
  request.wait_ = aWait;
  request.digest_ = directory_->MakeDigestFor(aSource.node_);
  request.withoutClaims_ = !HoldsClaims();
  {
    const std::lock_guard lock(tailMutex_);
    request.applied_ = appliedIndex_;
  }
  const auto askedAt = MonotonicNow();
  const auto pulled = client_.Pull(aSource.address_, request);
  if (!IsOk(pulled)) {
    return false;
  }
  const auto& reply = ValueOf(pulled);
  directory_->AcceptDigest(aSource.node_, reply.digest_);
  // Entries without claims are of no use to a node that must store claims; only
  // the digest is.
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
  // A source that lost the leader still answers, but with old state; another
  // source may be in contact.
  const auto maxAge =
    kMaxContactHeartbeats * settings_.raft_.heartbeat_ +
    (aSource.rank_ == kNonVoterRank ? kPullsPerHop * kPullWait : Millis(0));
  return !reply.leader_.empty() && reply.controlAge_ <= maxAge;
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
        LogWarning("cannot register this node; retrying",
                   { { "error", Describe(*result.error_) } });
      }
    }
    std::this_thread::sleep_for(kRegistrationPause);
  }
}

} // namespace acaciahill
