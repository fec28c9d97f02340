#pragma once

#include "membership/directory_base.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace acaciahill {

/// A target's statement with its age when the digest was sent.
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

/// Task reports are sent to a peer when a state in them changed, and otherwise
/// this often: usage has a lag anyway, and the reports are the largest part of
/// a digest.
inline constexpr Millis kTaskReportInterval{ 10000 };

/// A node's status is sent to a peer at most this often, unless its table
/// version or its requests to draining targets changed: a status for each log
/// entry was most of the bytes that a claim cost.
inline constexpr Millis kStatusInterval{ 500 };

/// A digest on its way. It carries the sender's clock, and the receiver's own
/// clock as the sender last received it, so that the receiver can bound how
/// long the digest was on its way.
struct DigestMessage
{
  std::vector<AgedTarget> targets_;
  std::vector<AgedNode> nodes_;
  std::vector<AgedTasks> tasks_;
  std::uint64_t clockMs_ = 0;
  /// Random number of the sender's process; its clock means nothing to others.
  std::uint64_t boot_ = 0;
  std::uint64_t echoClockMs_ = 0;
  std::uint64_t echoBoot_ = 0;
  /// Time since the sender received echoClockMs_.
  Millis echoAge_{ 0 };

  bool operator==(const DigestMessage&) const = default;
};

/// Makes and reads digests for each peer. A digest that waited in a frozen
/// process or a stalled connection must not make old evidence look fresh: its
/// sending time is taken as the receiver's own clock that it echoes, plus the
/// time the sender held it, which is never later than the truth. Not
/// thread-safe.
class DigestExchange
{
public:
  DigestExchange(std::string aSelf, std::uint64_t aBoot);

  /// A digest for a peer: the statements newer than those last put into a
  /// digest for it or told by it, not older than aMaxAge.
  DigestMessage MakeFor(const std::string& aPeer,
                        const Directory& aDirectory,
                        MonotonicTime aNow,
                        Millis aMaxAge);

  /// Reads a peer's digest and merges it. Targets in a digest whose sending
  /// time cannot be bounded are left out.
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
    /// When the last statement sent to the peer on each target was made.
    std::map<std::uint32_t, MonotonicTime> sentTargets_;
    /// The last status of each node sent to the peer, and when.
    std::map<std::string, SentStatus> sentNodes_;
    /// The last task reports sent to the peer.
    std::map<std::uint32_t, VmTaskReports> sentTasks_;
  };

  /// Notes what the peer has told as known to it, so that it is not sent back.
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
