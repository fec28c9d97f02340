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

/// Number of a request on this node.
using RequestId = std::uint64_t;

/// A target as the router sees it. Only targets to which the node may send now
/// are handed over (see MayRoute).
struct TargetView
{
  std::string vm_;
  std::string pool_;
  std::string zone_;
  std::string address_;
  std::uint64_t epoch_ = 0;
  std::int64_t slots_ = 0;
  std::int64_t connections_ = 0;
  /// Work running there from all entry VMs, as last announced.
  std::uint32_t announcedRunning_ = 0;
  /// Nothing may be sent to it after this time: the evidence of its assignment
  /// is too old then.
  MonotonicTime validUntil_{};

  bool operator==(const TargetView&) const = default;
};

/// A caller's request, read whole and not yet sent anywhere.
struct RequestArrived
{
  RequestId id_ = 0;
  std::string pool_;
  std::string caller_;
  MonotonicTime deadline_{};
  /// May be sent again after it may have run.
  bool repeatable_ = false;
  bool urgent_ = false;

  bool operator==(const RequestArrived&) const = default;
};

/// The caller went away.
struct RequestCancelled
{
  RequestId id_ = 0;

  bool operator==(const RequestCancelled&) const = default;
};

/// How one sending of a request to a target ended.
enum class AttemptEnd : std::uint8_t
{
  Answered,      ///< A whole answer; its status is in status_.
  NotSent,       ///< No byte of the request can have reached the target.
  TargetRefused, ///< The target said that it did not run it.
  Lost,          ///< Sent, and the connection ended without a whole answer.
  TimedOut,      ///< Sent, and no whole answer came in time.
  Malformed,     ///< Sent, and the answer was not valid.
  TooLarge,      ///< Sent, and the answer was over the size limit.
  Expired,       ///< Not sent: the target might not be used any more by then.
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

/// All targets to which this node may send now; replaces the former list.
struct TargetsChanged
{
  std::vector<TargetView> targets_;

  bool operator==(const TargetsChanged&) const = default;
};

/// The table; replaces the former one.
struct PoolsChanged
{
  std::vector<PoolRow> rows_;
  /// Number of entry VMs that share the targets with this one, itself
  /// included; all of them, and those of the own zone.
  std::int64_t entryNodes_ = 1;
  std::int64_t entryNodesInZone_ = 1;

  bool operator==(const PoolsChanged&) const = default;
};

/// Time has passed; sent every 20 ms while requests wait.
struct RouterTick
{
  bool operator==(const RouterTick&) const = default;
};

/// The node stops: what waits is refused, nothing new is taken.
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

/// Send the request to this target. Answered by AttemptFinished.
struct DispatchRequest
{
  RequestId id_ = 0;
  std::string vm_;
  std::string address_;
  std::uint64_t epoch_ = 0;
  /// 1 for the first sending.
  int attempt_ = 1;
  /// The attempt must end by then.
  MonotonicTime timeout_{};
  /// Nothing may be sent after this time. The shell checks it again right
  /// before the first byte, as the process may have been frozen in between.
  MonotonicTime validUntil_{};

  bool operator==(const DispatchRequest&) const = default;
};

/// Answer the caller with the last attempt's answer.
struct CompleteRequest
{
  RequestId id_ = 0;

  bool operator==(const CompleteRequest&) const = default;
};

/// Answer the caller with an error; its kind says whether it ran.
struct RefuseRequest
{
  RequestId id_ = 0;
  ErrorKind kind_ = ErrorKind::NoTarget;
  /// After which time it makes sense to send again.
  Millis retryAfter_{ 1000 };

  bool operator==(const RefuseRequest&) const = default;
};

using RouterAction =
  std::variant<DispatchRequest, CompleteRequest, RefuseRequest>;

} // namespace acaciahill
