#pragma once

#include "routing/router_type.h"

#include <array>
#include <cstddef>
#include <list>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace acaciahill {

/// Limits and timing of the routing core.
struct RouterSettings
{
  /// Availability zone of this node; targets in it are preferred.
  std::string zone_;
  /// Most requests in flight on this node, over all pools. The pools share them
  /// by weight when more requests wait.
  std::int64_t maxInFlight_ = 256;
  /// Percentage of a pool's slots, and of maxInFlight_, reserved for urgent
  /// requests: none in a pool with fewer than urgentMinSlots_ slots on this
  /// node, otherwise at least one.
  std::int64_t urgentPercent_ = 5;
  std::int64_t urgentMinSlots_ = 8;
  /// Most attempts for one request, the first included.
  int maxAttempts_ = 3;
  /// An attempt of a repeatable request times out after half of the time left
  /// until the deadline, so that another target can still answer, but not
  /// before attemptFloor_. A shorter minimum times out at busy but healthy
  /// targets and opens their breakers; see
  /// docs/decisions/09-circuit-breaker.md.
  Millis attemptFloor_{ 500 };
  /// The delay before the n-th retry is random between 50% and 100% of
  /// backoffBase_ * 2^(n-1), limited to backoffLimit_.
  Millis backoffBase_{ 25 };
  Millis backoffLimit_{ 1000 };
  /// Most tokens in a pool's retry budget, and the tokens of a new pool.
  double retryBudgetLimit_ = 10;
  double retryBudgetInitial_ = 2;
  /// How long a request waits in a pool without any usable target. It bridges a
  /// delayed announcement without holding up callers for long.
  Millis noTargetWait_{ 500 };
  /// A target's circuit breaker opens after this many attempts in a row without
  /// a valid answer, or when more than breakerPercent_ of at least
  /// breakerMinResults_ results in kBreakerWindowSeconds are errors.
  int breakerFailures_ = 5;
  std::int64_t breakerMinResults_ = 10;
  std::int64_t breakerPercent_ = 50;
  /// Time that a breaker stays open; doubled, up to the limit, by each failed
  /// probe.
  Millis breakerCooldown_{ 2000 };
  Millis breakerCooldownLimit_{ 30000 };
  /// The following rules are switches so that bench/ can measure their effect.
  /// Takes the less loaded of two random targets; otherwise any random target.
  bool twoChoices_ = true;
  /// Sends only one request to a target after its cooldown; otherwise any.
  bool singleProbe_ = true;
  /// Ignores the breakers of a pool when all of them are open.
  bool keepAllWhenAllOpen_ = true;
  /// Counts HTTP status 429 and 503 as errors of the target.
  bool busyIsError_ = false;
  /// After a cooldown, a probe by a non-repeatable request is postponed for
  /// this long in favour of a repeatable one.
  Millis nonRepeatableProbeDelay_{ 5000 };
  /// A request that ended without an answer may still run at its target, so
  /// InFlight() counts it for this long: the routing lease and its margin,
  /// after which a drain is complete without these counts.
  Millis unansweredHold_{ 6000 };
  std::uint64_t seed_ = 1;

  bool operator==(const RouterSettings&) const = default;
};

/// Load of one pool on this node.
struct RouterPoolLoad
{
  std::int64_t inFlight_ = 0;
  std::int64_t queued_ = 0;
  /// Requests refused without having run, since the start of the process.
  std::int64_t refused_ = 0;
  /// Retries since the start of the process.
  std::int64_t retried_ = 0;

  bool operator==(const RouterPoolLoad&) const = default;
};

namespace detail {

enum class BreakerPhase : std::uint8_t
{
  Closed,
  Open,    ///< Until its cooldown ends.
  Probing, ///< One request has been sent to test whether the target is back.
};

/// Results and errors in one second of the breaker's window.
struct BreakerBucket
{
  std::int64_t second_ = 0;
  std::int64_t total_ = 0;
  std::int64_t errors_ = 0;
};

inline constexpr std::size_t kBreakerWindowSeconds = 10;

struct Breaker
{
  BreakerPhase phase_ = BreakerPhase::Closed;
  /// Attempts in a row without a valid answer.
  int consecutiveFailures_ = 0;
  MonotonicTime openUntil_{};
  Millis cooldown_{ 0 };
  RequestId probeRequest_ = 0;
  std::array<BreakerBucket, kBreakerWindowSeconds> buckets_{};
};

struct RoutedTarget
{
  TargetView view_;
  /// False once the target is missing from TargetsChanged. It is kept while
  /// requests are in flight or may still run there.
  bool listed_ = false;
  std::int64_t inFlight_ = 0;
  /// Requests and tasks of other entry VMs, as of the last announcement.
  std::int64_t runningFromOthers_ = 0;
  /// For each request that ended without an answer: until when it counts as in
  /// flight.
  std::vector<MonotonicTime> unansweredUntil_;
  Breaker breaker_;
};

enum class RoutedPhase : std::uint8_t
{
  Waiting,
  InFlight,
  Abandoned, ///< In flight, but cancelled and the caller answered.
};

struct RoutedRequest
{
  RequestArrived input_;
  RoutedPhase phase_ = RoutedPhase::Waiting;
  int attempts_ = 0;
  /// Result of the last attempt that may have reached a target.
  std::optional<AttemptEnd> deliveredEnd_;
  /// The last attempt ended with TargetRefused.
  bool refusedByTarget_ = false;
  MonotonicTime notBefore_{};
  /// Start of the current wait; set again after each attempt.
  MonotonicTime waitingSince_{};
  std::string vm_;
  std::set<std::string> triedVms_;
  std::set<std::string> refusedByVms_;
};

struct RoutedPool
{
  PoolRow row_;
  std::vector<std::string> vms_;
  /// Waiting requests in the order in which they are served.
  std::list<RequestId> urgent_;
  std::list<RequestId> normal_;
  std::map<std::string, std::int64_t> requestsByCaller_;
  std::int64_t inFlight_ = 0;
  std::int64_t refused_ = 0;
  std::int64_t retried_ = 0;
  double retryTokens_ = 0;
  bool listed_ = true;
  /// Moving average of the service time; 0 before the first answer.
  double serviceMs_ = 0;
};

/// Number of requests that wait in a pool.
inline std::size_t
CountWaiting(const RoutedPool& aPool)
{
  return aPool.urgent_.size() + aPool.normal_.size();
}

} // namespace detail

/// Queues requests and dispatches them to targets: choice of target, limits,
/// retries and circuit breakers. It does no I/O and reads no clock; the caller
/// passes the time, which must not decrease. Not thread-safe.
class RouterCore
{
public:
  explicit RouterCore(RouterSettings aSettings);

  /// Handles one input. Each RequestArrived is ended by exactly one
  /// CompleteRequest or RefuseRequest. The caller must report one
  /// AttemptFinished for each DispatchRequest, even if the request has been
  /// cancelled since.
  std::vector<RouterAction> Step(const RouterInput& aInput, MonotonicTime aNow);

  /// Error with which a request of this caller would be refused now, if that is
  /// certain already; lets the relay refuse it before reading the body.
  std::optional<ErrorKind> Precheck(const std::string& aPool,
                                    const std::string& aCaller) const;

  /// Requests that run or may still run on each VM; VMs with none are left
  /// out.
  std::map<std::string, std::uint32_t> InFlight(MonotonicTime aNow) const;

  std::map<std::string, RouterPoolLoad> Loads() const;

  /// Number of waiting requests in all pools.
  std::size_t Waiting() const;

  /// True when no request waits or is in flight.
  bool IsIdle() const { return requests_.empty(); }

private:
  using Actions = std::vector<RouterAction>;

  void Handle(const RequestArrived& aInput, MonotonicTime aNow, Actions& aOut);
  void Handle(const RequestCancelled& aInput,
              MonotonicTime aNow,
              Actions& aOut);
  void Handle(const AttemptFinished& aInput, MonotonicTime aNow, Actions& aOut);
  void Handle(const TargetsChanged& aInput, MonotonicTime aNow, Actions& aOut);
  void Handle(const PoolsChanged& aInput, MonotonicTime aNow, Actions& aOut);
  void Handle(const RouterTick& aInput, MonotonicTime aNow, Actions& aOut);
  void Handle(const RouterStop& aInput, MonotonicTime aNow, Actions& aOut);

  /// Ends a request: with the answer if the last delivered attempt has one,
  /// with an unknown outcome if it may have run, otherwise with aKind.
  void EndRequest(RequestId aId,
                  ErrorKind aKind,
                  Millis aRetryAfter,
                  Actions& aOut);
  void RefuseArrival(const RequestArrived& aInput,
                     ErrorKind aKind,
                     Millis aRetryAfter,
                     Actions& aOut);
  void EraseRequest(RequestId aId);
  void RemoveFromQueue(detail::RoutedPool& aPool, RequestId aId);
  void Enqueue(detail::RoutedPool& aPool, RequestId aId, bool aFront);
  /// Refuses the newest normal request without an attempt, to make room for an
  /// urgent one. Returns false when there is none.
  bool DisplaceNormal(detail::RoutedPool& aPool, Actions& aOut);

  /// Queues the request for a retry, or ends it, after an unsuccessful attempt.
  void RetryOrEnd(detail::RoutedRequest& aRequest,
                  AttemptEnd aEnd,
                  MonotonicTime aNow,
                  Actions& aOut);
  bool TakeRetryToken(detail::RoutedPool& aPool);
  Millis Backoff(int aAttempts);

  /// Ends waiting requests that passed their deadline or have no target that
  /// could still accept them.
  void EndExpired(MonotonicTime aNow, Actions& aOut);
  void DispatchWaiting(MonotonicTime aNow, Actions& aOut);
  bool DispatchOne(detail::RoutedPool& aPool,
                   MonotonicTime aNow,
                   Actions& aOut);
  bool DispatchFrom(detail::RoutedPool& aPool,
                    const std::list<RequestId>& aQueue,
                    MonotonicTime aNow,
                    Actions& aOut);
  void Dispatch(detail::RoutedPool& aPool,
                detail::RoutedRequest& aRequest,
                detail::RoutedTarget& aTarget,
                MonotonicTime aNow,
                Actions& aOut);

  detail::RoutedTarget* ChooseTarget(const detail::RoutedPool& aPool,
                                     const detail::RoutedRequest& aRequest,
                                     MonotonicTime aNow);
  detail::RoutedTarget* ChooseAmong(
    const std::vector<detail::RoutedTarget*>& aUsable,
    const detail::RoutedPool& aPool,
    const detail::RoutedRequest& aRequest,
    bool aAllOpen,
    MonotonicTime aNow);
  /// The less loaded of two random targets; nullptr if there is none.
  detail::RoutedTarget* TwoChoices(
    const std::vector<detail::RoutedTarget*>& aTargets);
  bool MayProbe(const detail::RoutedTarget& aTarget,
                const detail::RoutedPool& aPool,
                const detail::RoutedRequest& aRequest,
                bool aHasClosed,
                MonotonicTime aNow) const;
  bool HasRepeatableWaiting(const detail::RoutedPool& aPool) const;
  /// Requests that this node may still send to the target now.
  std::int64_t FreeSlots(const detail::RoutedTarget& aTarget) const;
  /// This node's equal share of aTotal among the entry VMs that may send to
  /// aZone.
  std::int64_t NodeShare(std::int64_t aTotal, const std::string& aZone) const;
  static bool IsUsable(const detail::RoutedTarget& aTarget, MonotonicTime aNow);
  bool HasTarget(const detail::RoutedPool& aPool, MonotonicTime aNow) const;
  /// Slots that this node may use in a pool: total, and free now.
  std::pair<std::int64_t, std::int64_t> Capacity(
    const detail::RoutedPool& aPool,
    MonotonicTime aNow) const;
  /// Estimated time to answer a request that joins the queue now.
  Millis ExpectedTime(const detail::RoutedPool& aPool,
                      bool aUrgent,
                      MonotonicTime aNow) const;

  void RecordAttempt(detail::RoutedTarget& aTarget,
                     const AttemptFinished& aInput,
                     MonotonicTime aNow);
  void CountOutcome(detail::Breaker& aBreaker, bool aError, MonotonicTime aNow);
  void OpenBreaker(detail::Breaker& aBreaker, MonotonicTime aNow);

  RouterSettings settings_;
  std::mt19937_64 random_;
  std::map<std::string, detail::RoutedTarget> targets_;
  std::map<std::string, detail::RoutedPool> pools_;
  /// Whether a pool that is not in pools_ does not exist.
  bool hasCurrentPools_ = false;
  std::unordered_map<RequestId, detail::RoutedRequest> requests_;
  std::int64_t inFlight_ = 0;
  std::int64_t entryNodes_ = 1;
  std::int64_t entryNodesInZone_ = 1;
  bool stopping_ = false;
};

} // namespace acaciahill
