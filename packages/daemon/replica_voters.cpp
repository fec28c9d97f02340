#include "daemon/replica_service_base.h"

#include "kernel/log_func.h"
#include "kernel/os_clock_func.h"

#include <algorithm>

// The part of the replica that changes the voters of the control group: it
// requests a vote for this node and, on the leader, admits candidates and
// removes lost or silent voters.

namespace acaciahill {

namespace {

// Time, in longest election timeouts, after which a voter that does not answer
// is replaced by a control node without a vote. A change of the leader takes
// one or two.
constexpr double kSilentElectionTimeouts = 2.5;
// Heartbeats without a reply from a voter after which a node that reports
// another disk id is considered to have lost the disk of its vote.
constexpr int kLostDiskHeartbeats = 3;
// A node can be admitted within this time after it last asked for a vote.
constexpr Millis kCandidateMaxAge{ 3000 };
// A node whose admission failed is skipped for this time: the leader may be
// unable to reach it, and other candidates must not wait for it.
constexpr Millis kAdmissionPause{ 5000 };
constexpr Millis kAdmissionInterval{ 300 };
constexpr Millis kAdmissionTimeout{ 1000 };
constexpr Millis kAdjustInterval{ 250 };
// Nodes with an unrecognized disk are forgotten when they were not heard from
// for this time.
constexpr Millis kUnrecognizedDiskMaxAge{ 5000 };
constexpr Millis kSizeReportInterval{ 5000 };

} // namespace

void
ReplicaService::AdjustVoters()
{
  const auto now = MonotonicNow();
  if (now - lastAdjustAt_ < kAdjustInterval) {
    return;
  }
  lastAdjustAt_ = now;
  if (settings_.seeded_) {
    ReportGroupSize();
  }
  if (core_->Role() != RaftRole::Leader) {
    return;
  }
  for (const auto& voter : core_->UnrecognizedVoters()) {
    RecordCandidate(voter.node_, voter.disk_);
  }
  std::map<std::string, UnrecognizedDisk> unrecognized;
  {
    const std::lock_guard lock(controlMutex_);
    std::erase_if(unrecognized_, [now](const auto& aEntry) {
      return now - aEntry.second.heardAt_ > kUnrecognizedDiskMaxAge;
    });
    unrecognized = unrecognized_;
  }
  if (!settings_.seeded_) {
    ReadmitListedVoters(unrecognized);
    return;
  }
  // One change at a time, additions first, so that the group stays close to the
  // wanted size.
  if (!core_->IsChanging() && !GrowSeededGroup(unrecognized)) {
    RemoveLostVoter(unrecognized);
  }
}

void
ReplicaService::ReadmitListedVoters(
  const std::map<std::string, UnrecognizedDisk>& aUnrecognized)
{
  RemoveLostVoter(aUnrecognized);
  const auto& voters = core_->Voters().voters_;
  for (const auto& [name, heard] : aUnrecognized) {
    const auto& node = name;
    const bool isVoter =
      std::any_of(voters.begin(), voters.end(), [&](const auto& aVoter) {
        return aVoter.node_ == node;
      });
    if (!isVoter && settings_.voters_.contains(node)) {
      LogInfo("admitting a voter with a new disk",
              { { "voter", node }, { "disk", heard.disk_ } });
      Enqueue(ChangeVoters{ { node, heard.disk_ }, true });
    }
  }
}

// Asks the leader itself, as only the leader admits nodes: the pulls of this
// node may go to another voter as long as that one is in contact.
void
ReplicaService::RunAdmission()
{
  while (!stopping_) {
    const auto leader = HasVote() ? std::string() : Control().leader_;
    const auto address = leader.empty() ? std::nullopt : AddressOf(leader);
    if (address && leader != settings_.node_) {
      const auto status = client_.Status(
        *address, { settings_.cluster_, self_ }, kAdmissionTimeout);
      if (IsOk(status) && !ValueOf(status).leader_.empty()) {
        const std::lock_guard lock(controlMutex_);
        control_.leader_ = ValueOf(status).leader_;
      }
    }
    std::this_thread::sleep_for(kAdmissionInterval);
  }
}

void
ReplicaService::RecordCandidate(const std::string& aNode,
                                const std::string& aDisk)
{
  const std::lock_guard lock(controlMutex_);
  unrecognized_[aNode] = { aDisk, MonotonicNow() };
}

std::size_t
ReplicaService::WantedVoters() const
{
  return settings_.seeded_
           ? 2 * static_cast<std::size_t>(settings_.seeded_->toleratedLosses_) +
               1
           : 0;
}

bool
ReplicaService::RemoveLostVoter(
  const std::map<std::string, UnrecognizedDisk>& aUnrecognized)
{
  // Only voters that do not answer are removed: if the voter still answers with
  // its disk, the report of another disk is outdated.
  const auto silent = core_->SilentVoters(
    MonotonicNow(), kLostDiskHeartbeats * settings_.raft_.heartbeat_);
  for (const auto& voter : silent) {
    const auto heard = aUnrecognized.find(voter.node_);
    if (heard != aUnrecognized.end() && heard->second.disk_ != voter.disk_) {
      LogWarning("removing a voter that lost its disk",
                 { { "voter", voter.node_ },
                   { "disk", voter.disk_ },
                   { "disk_now", heard->second.disk_ } });
      Enqueue(ChangeVoters{ voter, false });
      return true;
    }
  }
  return false;
}

bool
ReplicaService::GrowSeededGroup(
  const std::map<std::string, UnrecognizedDisk>& aUnrecognized)
{
  const auto now = MonotonicNow();
  const auto& voters = core_->Voters().voters_;
  const auto isVoter = [&voters](const std::string& aNode) {
    return std::any_of(voters.begin(), voters.end(), [&](const auto& aVoter) {
      return aVoter.node_ == aNode;
    });
  };
  const auto hasFailed = [&](const std::string& aNode) {
    const auto failed = admissionFailedAt_.find(aNode);
    return failed != admissionFailedAt_.end() &&
           now - failed->second <= kAdmissionPause;
  };
  const auto candidate = std::find_if(
    aUnrecognized.begin(), aUnrecognized.end(), [&](const auto& aEntry) {
      return !isVoter(aEntry.first) && !hasFailed(aEntry.first) &&
             now - aEntry.second.heardAt_ <= kCandidateMaxAge;
    });
  if (candidate == aUnrecognized.end()) {
    return false;
  }
  const auto& [node, heard] = *candidate;
  if (voters.size() < WantedVoters()) {
    LogInfo("admitting a control node as a voter",
            { { "candidate", node },
              { "disk", heard.disk_ },
              { "voters", voters.size() },
              { "wanted", WantedVoters() } });
    lastAdmission_ = node;
    Enqueue(ChangeVoters{ { node, heard.disk_ }, true });
    return true;
  }
  const auto silentFor = std::chrono::duration_cast<Millis>(
    settings_.raft_.electionMax_ * kSilentElectionTimeouts);
  const auto silent = core_->SilentVoters(now, silentFor);
  if (silent.empty()) {
    return false;
  }
  LogWarning("removing a voter that does not answer; a candidate replaces it",
             { { "voter", silent.front().node_ },
               { "candidate", node },
               { "silent_ms", silentFor.count() } });
  Enqueue(ChangeVoters{ silent.front(), false });
  return true;
}

void
ReplicaService::ReportGroupSize()
{
  const auto voters = core_->Voters().voters_.size();
  metrics_.Set("acaciahill_control_voters", {}, static_cast<double>(voters));
  metrics_.Set("acaciahill_control_voters_wanted",
               {},
               static_cast<double>(WantedVoters()));
  const auto now = MonotonicNow();
  if (core_->Role() != RaftRole::Leader || voters >= WantedVoters() ||
      now - sizeReportedAt_ < kSizeReportInterval) {
    return;
  }
  sizeReportedAt_ = now;
  std::size_t candidates = 0;
  {
    const std::lock_guard lock(controlMutex_);
    candidates = unrecognized_.size();
  }
  LogWarning("too few voters in the control group for the tolerated losses",
             { { "voters", voters },
               { "wanted", WantedVoters() },
               { "losses_borne", (voters - 1) / 2 },
               { "nodes_that_ask", candidates } });
}

} // namespace acaciahill
