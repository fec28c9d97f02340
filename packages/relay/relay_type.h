#pragma once

#include "kernel/error_type.h"
#include "kernel/time_type.h"
#include "state/command_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace acaciahill {

/// Settings of the port on which callers connect.
struct RelaySettings
{
  /// Numeric address and port to listen on; port 0 takes any free one.
  std::string listen_ = "127.0.0.1:0";
  /// Concurrent caller connections. A further one takes the place of the one
  /// that has sent nothing the longest or else of the one that has been sending
  /// a request the longest. It is answered node_overloaded and closed when all
  /// have requests in work or are idle after one.
  std::int64_t maxConnections_ = 512;
  std::int64_t maxHeaderBytes_ = std::int64_t{ 16 } * 1024;
  std::int64_t maxRequestBytes_ = std::int64_t{ 1024 } * 1024;
  std::int64_t maxAnswerBytes_ = std::int64_t{ 8 } * 1024 * 1024;
  /// Bytes of requests and answers buffered over all connections.
  std::int64_t maxBufferedBytes_ = std::int64_t{ 48 } * 1024 * 1024;
  /// A caller that sends no byte for this long is disconnected.
  Millis idleTimeout_{ 30000 };
  /// Longest time for reading one complete request; guards against slow
  /// senders.
  Millis readTimeout_{ 10000 };
  Millis connectTimeout_{ 500 };
  /// Longest deadline that a caller may ask for.
  Millis maxDeadline_{ 60000 };
  /// Availability zone of this node.
  std::string zone_;
  std::string node_;

  bool operator==(const RelaySettings&) const = default;
};

/// The claim was committed for this owner; the request may be sent.
struct ClaimGranted
{
  std::string owner_;

  bool operator==(const ClaimGranted&) const = default;
};

/// ClaimGranted, the claim that an earlier request holds on the key, or the
/// error with which the request is refused as no claim was committed.
using ClaimReply = std::variant<ClaimGranted, Claim, Error>;

/// Commits claims on Idempotency-Keys in the replicated log.
class ClaimGate
{
public:
  ClaimGate() = default;
  ClaimGate(const ClaimGate&) = delete;
  ClaimGate& operator=(const ClaimGate&) = delete;
  virtual ~ClaimGate() = default;

  /// Claims a key for one attempt of this node. Blocks until the claim is
  /// committed or the deadline has passed. After an error the request must not
  /// be sent, so that it has not run under this claim.
  virtual ClaimReply Begin(const std::string& aKey,
                           std::uint64_t aFingerprint,
                           MonotonicTime aDeadline) = 0;

  /// Ends a claim. Returns at once; the end is retried until it is committed.
  virtual void End(const EndClaim& aEnd) = 0;
};

/// The assignment that a target reported in the headers of an answer or a probe
/// (Acaciahill-Epoch, Acaciahill-Draining, Acaciahill-Incarnation).
struct TargetEcho
{
  std::string vm_;
  std::uint64_t epoch_ = 0;
  bool draining_ = false;
  /// 0 when the target reported none.
  std::uint64_t incarnation_ = 0;
  /// When the request was sent; the report is not older than this.
  MonotonicTime sentAt_{};

  bool operator==(const TargetEcho&) const = default;
};

/// Receives the assignments that targets report. Called from many threads.
class TargetEchoSink
{
public:
  TargetEchoSink() = default;
  TargetEchoSink(const TargetEchoSink&) = delete;
  TargetEchoSink& operator=(const TargetEchoSink&) = delete;
  virtual ~TargetEchoSink() = default;

  virtual void OnEcho(const TargetEcho& aEcho) = 0;
};

} // namespace acaciahill
