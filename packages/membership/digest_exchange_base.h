#pragma once

#include "membership/directory_base.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace acaciahill {

/// Evidence of a target with its age when the digest was sent.
struct AgedTarget
{
  TargetEvidence evidence_;
  Millis age_{ 0 };

  bool operator==(const AgedTarget&) const = default;
};

/// A node's status with its age when the digest was sent.
struct AgedNode
{
  NodeStatus status_;
  Millis age_{ 0 };

  bool operator==(const AgedNode&) const = default;
};

/// A VM's task reports with their age when the digest was sent.
struct AgedTasks
{
  VmTaskReports reports_;
  Millis age_{ 0 };

  bool operator==(const AgedTasks&) const = default;
};

/// Interval of task reports to a peer when no task changed its state. Usage
/// lags behind anyway, and the reports are the largest part of a digest.
inline constexpr Millis kTaskReportInterval{ 10000 };

/// Minimum interval between sendings of a node's status to a peer, unless its
/// table version or its requests to draining targets changed. A status for each
/// log entry was most of the traffic caused by a claim.
inline constexpr Millis kStatusInterval{ 500 };

/// A digest as sent. It carries the sender's clock and echoes the receiver's
/// clock as the sender last received it, so that the receiver can bound how
/// long the digest was in transit.
struct DigestMessage
{
  std::vector<AgedTarget> targets_;
  std::vector<AgedNode> nodes_;
  std::vector<AgedTasks> tasks_;
  std::uint64_t clockMs_ = 0;
  /// Random id of the sender's process; clockMs_ is valid only for this
  /// process.
  std::uint64_t boot_ = 0;
  std::uint64_t echoClockMs_ = 0;
  std::uint64_t echoBoot_ = 0;
  /// Time since the sender received echoClockMs_.
  Millis echoAge_{ 0 };

  bool operator==(const DigestMessage&) const = default;
};

/// Creates digests for peers and reads theirs. A digest that was delayed by a
/// frozen process or a stalled connection must not make old evidence look
/// fresh: its sending time is computed as the echoed clock of the receiver plus
/// the time since the sender received that clock. This is never later than the
/// real sending time. Not thread-safe.
class DigestExchange
{
public:
  DigestExchange(std::string aSelf, std::uint64_t aBoot);

  /// Creates a digest for a peer with what is newer than the last sent to or
  /// received from it. Evidence and task reports older than aMaxAge are left
  /// out.
  DigestMessage MakeFor(const std::string& aPeer,
                        const Directory& aDirectory,
                        MonotonicTime aNow,
                        Millis aMaxAge);

  /// Merges a peer's digest into the directory. Targets are ignored if the
  /// sending time of the digest cannot be bounded.
  void Accept(const std::string& aPeer,
              const DigestMessage& aMessage,
              MonotonicTime aNow,
              Directory& aDirectory);

private:
  struct SentStatus
  {
    NodeStatus status_;
    MonotonicTime sentAt_{};
  };

  struct PeerState
  {
    std::uint64_t clockMs_ = 0;
    std::uint64_t boot_ = 0;
    MonotonicTime receivedAt_{};
    /// Time (madeAt_) of the last evidence of each target known to the peer.
    std::map<std::uint32_t, MonotonicTime> sentTargets_;
    /// The last status of each node known to the peer, and when one was sent.
    std::map<std::string, SentStatus> sentNodes_;
    /// The last task reports known to the peer.
    std::map<std::uint32_t, VmTaskReports> sentTasks_;
  };

  /// Records what the peer sent as known to it, so that it is not sent back.
  static void MarkKnownToPeer(PeerState& aPeer,
                              const DirectoryDigest& aDigest,
                              const Directory& aDirectory);
  static bool IsStatusDue(const PeerState& aPeer,
                          const NodeStatus& aStatus,
                          MonotonicTime aNow);
  static void AddTaskReports(PeerState& aPeer,
                             const Directory& aDirectory,
                             MonotonicTime aNow,
                             Millis aMaxAge,
                             DigestMessage& aMessage);

  std::string self_;
  std::uint64_t boot_;
  std::map<std::string, PeerState> peers_;
};

} // namespace acaciahill
