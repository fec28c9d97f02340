#pragma once

#include "kernel/error_type.h"
#include "kernel/time_type.h"
#include "state/fleet_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace acaciahill {

/// Identifies a request on this node.
using RequestId = std::uint64_t;

/// A target that requests may be sent to. The list of targets holds only those
/// for which MayRoute is true.
struct TargetView
{
  std::string vm_;
  std::string pool_;
  std::string zone_;
  std::string address_;
  std::uint64_t epoch_ = 0;
  std::int64_t slots_ = 0;
  std::int64_t connections_ = 0;
  /// Requests and tasks of all entry VMs running on the target, as last
  /// announced by it.
  std::uint32_t announcedRunning_ = 0;
  /// Nothing may be sent to the target from this time on: the evidence of its
  /// assignment is then older than the routing lease.
  MonotonicTime validUntil_{};

  bool operator==(const TargetView&) const = default;
};

/// A caller's request has been received completely; not yet sent to a target.
struct RequestArrived
{
  RequestId id_ = 0;
  std::string pool_;
  std::string caller_;
  MonotonicTime deadline_{};
  /// True when the request may be sent again although a target may already have
  /// run it.
  bool repeatable_ = false;
  bool urgent_ = false;

  bool operator==(const RequestArrived&) const = default;
};

/// The caller has closed its connection or cancelled the request.
struct RequestCancelled
{
  RequestId id_ = 0;

  bool operator==(const RequestCancelled&) const = default;
};

/// Result of one attempt to send a request to a target.
enum class AttemptEnd : std::uint8_t
{
  Answered,      ///< A complete answer; its HTTP status is in status_.
  NotSent,       ///< No byte of the request can have reached the target.
  TargetRefused, ///< The target answered that it did not run the request.
  Lost,          ///< Sent; the connection ended before a complete answer.
  TimedOut,      ///< Sent; no complete answer arrived in time.
  Malformed,     ///< Sent; the answer was not valid.
  TooLarge,      ///< Sent; the answer exceeded the size limit.
  Expired,       ///< Not sent: the target could no longer be used by then.
};

struct AttemptFinished
{
  RequestId id_ = 0;
  std::string vm_;
  AttemptEnd end_ = AttemptEnd::Answered;
  std::int64_t status_ = 0;
  Millis took_{ 0 };

  bool operator==(const AttemptFinished&) const = default;
};

/// All targets to which this node may send now; replaces the previous list.
struct TargetsChanged
{
  std::vector<TargetView> targets_;

  bool operator==(const TargetsChanged&) const = default;
};

/// The pool table; replaces the previous one.
struct PoolsChanged
{
  std::vector<PoolRow> rows_;
  /// Number of entry VMs that share the targets, this one included: in all
  /// availability zones, and in this node's availability zone.
  std::int64_t entryNodes_ = 1;
  std::int64_t entryNodesInZone_ = 1;
  /// False while the node may not have seen the newest table, as it has just
  /// started or is cut off: then a pool that is not in rows_ may exist.
  bool isCurrent_ = true;

  bool operator==(const PoolsChanged&) const = default;
};

/// Periodic input to handle timeouts; sent every 20 ms while requests wait.
struct RouterTick
{
  bool operator==(const RouterTick&) const = default;
};

/// The node shuts down: waiting requests and new ones are refused.
struct RouterStop
{
  bool operator==(const RouterStop&) const = default;
};

using RouterInput = std::variant<RequestArrived,
                                 RequestCancelled,
                                 AttemptFinished,
                                 TargetsChanged,
                                 PoolsChanged,
                                 RouterTick,
                                 RouterStop>;

/// Send the request to this target, then report AttemptFinished.
struct DispatchRequest
{
  RequestId id_ = 0;
  std::string vm_;
  std::string address_;
  std::uint64_t epoch_ = 0;
  /// 1 for the first attempt.
  int attempt_ = 1;
  /// Time at which an attempt without a complete answer is given up.
  MonotonicTime timeout_{};
  /// Nothing may be sent after this time. The relay checks it again right
  /// before it sends the first byte, as the process may have been frozen since.
  MonotonicTime validUntil_{};

  bool operator==(const DispatchRequest&) const = default;
};

/// Pass the answer of the last attempt on to the caller.
struct CompleteRequest
{
  RequestId id_ = 0;

  bool operator==(const CompleteRequest&) const = default;
};

/// Answer the caller with an error; its kind tells whether the request ran, did
/// not run or may have run.
struct RefuseRequest
{
  RequestId id_ = 0;
  ErrorKind kind_ = ErrorKind::NoTarget;
  /// Suggested delay before the caller sends the request again.
  Millis retryAfter_{ 1000 };

  bool operator==(const RefuseRequest&) const = default;
};

using RouterAction =
  std::variant<DispatchRequest, CompleteRequest, RefuseRequest>;

} // namespace acaciahill
