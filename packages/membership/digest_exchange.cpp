#include "membership/digest_exchange_base.h"

#include <algorithm>
#include <optional>

namespace acaciahill {

namespace {

std::uint64_t
ClockMs(MonotonicTime aTime)
{
  return static_cast<std::uint64_t>(aTime.time_since_epoch().count());
}

Millis
AgeOf(MonotonicTime aMadeAt, MonotonicTime aNow)
{
  return std::max(Millis(0), aNow - aMadeAt);
}

/// True when a task appeared, ended or changed its state or lease.
bool
HasNewState(const VmTaskReports& aOld, const VmTaskReports& aNew)
{
  return aOld.incarnation_ != aNew.incarnation_ ||
         !std::equal(aOld.tasks_.begin(),
                     aOld.tasks_.end(),
                     aNew.tasks_.begin(),
                     aNew.tasks_.end(),
                     [](const TaskReport& aLeft, const TaskReport& aRight) {
                       return aLeft.task_ == aRight.task_ &&
                              aLeft.lease_ == aRight.lease_ &&
                              aLeft.state_ == aRight.state_;
                     });
}

} // namespace

DigestExchange::DigestExchange(std::string aSelf, std::uint64_t aBoot)
  : self_(std::move(aSelf))
  , boot_(aBoot)
{
}

DigestMessage
DigestExchange::MakeFor(const std::string& aPeer,
                        const Directory& aDirectory,
                        MonotonicTime aNow,
                        Millis aMaxAge)
{
  auto& peer = peers_[aPeer];
  DigestMessage message;
  message.clockMs_ = ClockMs(aNow);
  message.boot_ = boot_;
  message.echoClockMs_ = peer.clockMs_;
  message.echoBoot_ = peer.boot_;
  message.echoAge_ = AgeOf(peer.receivedAt_, aNow);
  for (const auto& [number, evidence] : aDirectory.Targets()) {
    const auto age = AgeOf(evidence.madeAt_, aNow);
    const auto sent = peer.sentTargets_.find(number);
    const bool isNewer =
      sent == peer.sentTargets_.end() || sent->second < evidence.madeAt_;
    if (age <= aMaxAge && isNewer) {
      peer.sentTargets_[number] = evidence.madeAt_;
      message.targets_.push_back({ evidence, age });
    }
  }
  AddTaskReports(peer, aDirectory, aNow, aMaxAge, message);
  for (const auto& [node, status] : aDirectory.Nodes()) {
    // The peer's own status is newer than any copy of it.
    if (node != aPeer && IsStatusDue(peer, status, aNow)) {
      peer.sentNodes_.insert_or_assign(node, SentStatus{ status, aNow });
      message.nodes_.push_back({ status, AgeOf(status.madeAt_, aNow) });
    }
  }
  return message;
}

bool
DigestExchange::IsStatusDue(const PeerState& aPeer,
                            const NodeStatus& aStatus,
                            MonotonicTime aNow)
{
  const auto sent = aPeer.sentNodes_.find(aStatus.node_);
  if (sent == aPeer.sentNodes_.end()) {
    return true;
  }
  const auto& [last, sentAt] = sent->second;
  if (aStatus.madeAt_ <= last.madeAt_) {
    return false;
  }
  return aNow - sentAt >= kStatusInterval ||
         aStatus.tableVersion_ != last.tableVersion_ ||
         aStatus.inFlight_ != last.inFlight_;
}

void
DigestExchange::AddTaskReports(PeerState& aPeer,
                               const Directory& aDirectory,
                               MonotonicTime aNow,
                               Millis aMaxAge,
                               DigestMessage& aMessage)
{
  for (const auto& [number, reports] : aDirectory.Tasks()) {
    const auto sent = aPeer.sentTasks_.find(number);
    const bool isDue =
      sent == aPeer.sentTasks_.end()
        ? !reports.tasks_.empty()
        : HasNewState(sent->second, reports) ||
            (!reports.tasks_.empty() &&
             reports.madeAt_ - sent->second.madeAt_ >= kTaskReportInterval);
    const auto age = AgeOf(reports.madeAt_, aNow);
    if (isDue && age <= aMaxAge) {
      aPeer.sentTasks_.insert_or_assign(number, reports);
      aMessage.tasks_.push_back({ reports, age });
    }
  }
}

void
DigestExchange::Accept(const std::string& aPeer,
                       const DigestMessage& aMessage,
                       MonotonicTime aNow,
                       Directory& aDirectory)
{
  auto& peer = peers_[aPeer];
  if (peer.boot_ != aMessage.boot_) {
    // The peer's process has restarted and lost what it had received.
    peer.sentTargets_.clear();
    peer.sentTasks_.clear();
    peer.sentNodes_.clear();
  }
  peer.clockMs_ = aMessage.clockMs_;
  peer.boot_ = aMessage.boot_;
  peer.receivedAt_ = aNow;

  std::optional<MonotonicTime> sentAt;
  if (aMessage.echoBoot_ == boot_ && aMessage.echoClockMs_ != 0) {
    sentAt = MonotonicTime(Millis(aMessage.echoClockMs_)) + aMessage.echoAge_;
    sentAt = std::min(*sentAt, aNow);
  }
  DirectoryDigest digest;
  if (sentAt) {
    for (const auto& [evidence, age] : aMessage.targets_) {
      auto received = evidence;
      received.madeAt_ = *sentAt - age;
      digest.targets_.push_back(received);
    }
  }
  for (const auto& [reports, age] : aMessage.tasks_) {
    auto received = reports;
    received.madeAt_ = sentAt.value_or(aNow) - age;
    digest.tasks_.push_back(received);
  }
  for (const auto& [status, age] : aMessage.nodes_) {
    auto received = status;
    received.madeAt_ = sentAt.value_or(aNow) - age;
    digest.nodes_.push_back(received);
  }
  aDirectory.Merge(digest);
  MarkKnownToPeer(peer, digest, aDirectory);
}

void
DigestExchange::MarkKnownToPeer(PeerState& aPeer,
                                const DirectoryDigest& aDigest,
                                const Directory& aDirectory)
{
  // Only data that the directory holds exactly as the peer sent it; where they
  // differ, the directory has newer data that the peer needs.
  const auto isUnchanged =
    [](const auto& aKnown, const auto& aKey, const auto& aStatement) {
      const auto found = aKnown.find(aKey);
      return found != aKnown.end() && found->second == aStatement;
    };
  for (const auto& evidence : aDigest.targets_) {
    if (isUnchanged(aDirectory.Targets(), evidence.number_, evidence)) {
      aPeer.sentTargets_[evidence.number_] = evidence.madeAt_;
    }
  }
  for (const auto& reports : aDigest.tasks_) {
    if (isUnchanged(aDirectory.Tasks(), reports.number_, reports)) {
      aPeer.sentTasks_.insert_or_assign(reports.number_, reports);
    }
  }
  for (const auto& status : aDigest.nodes_) {
    if (isUnchanged(aDirectory.Nodes(), status.node_, status)) {
      // sentAt_ is unchanged: kStatusInterval limits sent statuses only.
      aPeer.sentNodes_[status.node_].status_ = status;
    }
  }
}

} // namespace acaciahill
