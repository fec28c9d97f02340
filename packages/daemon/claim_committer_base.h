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

/// Begins and ends this node's claims by commands to the leader. Retries each
/// end until its result is known. Thread-safe.
class ClaimCommitter : public ClaimGate
{
public:
  /// Sends a command with a request id to the leader, like
  /// ReplicaService::Propose().
  using Proposer = std::function<
    CommandResult(const Command&, const std::string& aRequestId, Millis)>;

  /// aIsStale returns true while the node has no contact with the control
  /// group.
  ClaimCommitter(std::string aNode,
                 Proposer aPropose,
                 std::function<bool()> aIsStale);

  ClaimReply Begin(const std::string& aKey,
                   std::uint64_t aFingerprint,
                   MonotonicTime aDeadline) override;
  void End(const EndClaim& aEnd) override;

  /// Commits queued ends until Stop(), then tries each remaining one once.
  void Run();
  void Stop();

private:
  /// A claim to end. If begin_ is set, it is unknown whether the claim was
  /// committed. The begin is then proposed again with the same request id
  /// first, so that a delayed begin cannot be committed after the end.
  struct PendingEnd
  {
    std::optional<BeginClaim> begin_;
    EndClaim end_;
  };

  void AddEnd(PendingEnd aEnd);
  /// Proposes the end of a claim. True when its result is known.
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
