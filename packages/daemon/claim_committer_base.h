#pragma once

#include "relay/relay_type.h"
#include "state/command_type.h"
#include "state/fleet_base.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>

namespace acaciahill {

/// Commits this node's claims through the replicated log and goes on ending
/// them until each end is decided. Thread-safe.
class ClaimCommitter : public ClaimGate
{
public:
  /// Gives a command with a request id to the leader; as
  /// ReplicaService::Propose().
  using Proposer = std::function<
    CommandResult(const Command&, const std::string& aRequestId, Millis)>;

  /// aIsStale tells whether the node has no contact with the control group.
  ClaimCommitter(std::string aNode,
                 Proposer aPropose,
                 std::function<bool()> aIsStale);

  ClaimReply Begin(const std::string& aKey,
                   std::uint64_t aFingerprint,
                   MonotonicTime aDeadline) override;
  void End(const EndClaim& aEnd) override;

  /// Ends claims until Stop(), and then tries what is left once each.
  void Run();
  void Stop();

private:
  /// A claim to end. With begin_ set, it is not known whether the claim was
  /// committed; it is proposed once more with the same request id first, so
  /// that the end cannot come before a delayed begin.
  struct PendingEnd
  {
    std::optional<BeginClaim> begin_;
    EndClaim end_;
  };

  void AddEnd(PendingEnd aEnd);
  /// True when the claim's end is decided.
  bool TryEnd(const PendingEnd& aEnd) const;

  const std::string node_;
  const Proposer propose_;
  const std::function<bool()> isStale_;
  const std::string ownerPrefix_;
  std::atomic<std::uint64_t> nextOwner_{ 1 };
  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  std::deque<PendingEnd> ends_;
};

} // namespace acaciahill
