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

/// Figures of the routing core.
struct RouterSettings
{
  /// Availability zone of this node; its targets are preferred.
  std::string zone_;
  /// Requests in flight on this node over all pools. When it is reached, the
  /// pools share it by their weights.
  std::int64_t maxInFlight_ = 256;
  /// Share of a pool's slots, and of maxInFlight_, that only urgent requests
  /// may use. A pool with fewer than urgentFloor_ slots on this node keeps none
  /// back, any other at least one.
  std::int64_t urgentPercent_ = 5;
  std::int64_t urgentFloor_ = 8;
  /// Sendings of one request, the first included.
  int maxAttempts_ = 3;
  /// An attempt of a request that may be sent again ends at half of the time
  /// left, so that another target can still answer; but not before this time.
  /// A shorter one ends attempts at busy but sound targets and opens their
  /// breakers; see docs/decisions/09-circuit-breaker.md.
  Millis attemptFloor_{ 500 };
  /// The pause before the n-th retry is drawn from the upper half of
  /// backoffBase_ * 2^(n-1).
  Millis backoffBase_{ 25 };
  Millis backoffLimit_{ 1000 };
  /// Most tokens in a pool's retry budget, and its first filling.
  double retryBurst_ = 10;
  double retryStart_ = 2;
  /// How long a request waits for a pool that has no target at all. It bridges
  /// a late announcement without holding callers for long.
  Millis noTargetWait_{ 500 };
  /// Circuit breaker.
  int breakerFailures_ = 5;
  std::int64_t breakerMinResults_ = 10;
  std::int64_t breakerPercent_ = 50;
  Millis breakerCooldown_{ 2000 };
  Millis breakerCooldownLimit_{ 30000 };
  /// Rules that bench/ switches off to measure what each one gives. A target
  /// is the less loaded of two drawn at random; otherwise one at random.
  bool twoChoices_ = true;
  /// After a cooldown one request tries the target; otherwise all may.
  bool singleProbe_ = true;
  /// A pool whose breakers are all open is used as if none were.
  bool keepAllWhenAllOpen_ = true;
  /// Counts the answers 429 and 503 as errors of the target.
  bool busyIsError_ = false;
  /// After a cooldown, a probe by a request that may not be repeated is put off
  /// for this long in favour of one that may.
  Millis probePatience_{ 5000 };
  /// A request whose connection ended without an answer may still be at its
  /// target. It is counted in InFlight() for this long: the routing lease and
  /// its margin, after which a drain is complete without these counts.
  Millis lingerTime_{ 6000 };
  std::uint64_t seed_ = 1;

  bool operator==(const RouterSettings&) const = default;
};

/// Load of one pool on this node.
struct RouterPoolLoad
{
  std::int64_t inFlight_ = 0;
  std::int64_t queued_ = 0;
  /// Refused as not run since the start, for any reason.
  std::int64_t refused_ = 0;
  /// Sent again since the start.
  std::int64_t retried_ = 0;

  bool operator==(const RouterPoolLoad&) const = default;
};

namespace detail {

enum class BreakerPhase : std::uint8_t
{
  Closed,
  Open,    ///< Until its cooldown ends.
  Probing, ///< One request is at the target to find out.
};

/// Answers and errors of one second of the breaker's window.
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
  int consecutive_ = 0;
  MonotonicTime openUntil_{};
  Millis cooldown_{ 0 };
  RequestId probe_ = 0;
  std::array<BreakerBucket, kBreakerWindowSeconds> buckets_{};
};

struct RoutedTarget
{
  TargetView view_;
  /// False once it is missing from the list; kept while requests are at it.
  bool listed_ = false;
  std::int64_t inFlight_ = 0;
  /// Work of other entry VMs at the time of the last announcement.
  std::int64_t others_ = 0;
  /// Ends of the times for which lost requests count as still there.
  std::vector<MonotonicTime> lingering_;
  Breaker breaker_;
};

enum class RoutedPhase : std::uint8_t
{
  Waiting,
  InFlight,
  Abandoned, ///< At a target; its caller has been answered already.
};

struct RoutedRequest
{
  RequestArrived input_;
  RoutedPhase phase_ = RoutedPhase::Waiting;
  int attempts_ = 0;
  /// How the last sending ended that may have reached a target.
  std::optional<AttemptEnd> delivered_;
  /// Last attempt that did not reach a target was refused by it.
  bool refusedByTarget_ = false;
  MonotonicTime notBefore_{};
  /// Since when it waits, again after each attempt.
  MonotonicTime waitingSince_{};
  std::string vm_;
  std::set<std::string> tried_;
  std::set<std::string> refusedBy_;
};

struct RoutedPool
{
  PoolRow row_;
  std::vector<std::string> vms_;
  /// In the order in which they are served.
  std::list<RequestId> urgent_;
  std::list<RequestId> normal_;
  std::map<std::string, std::int64_t> callers_;
  std::int64_t inFlight_ = 0;
  std::int64_t refused_ = 0;
  std::int64_t retried_ = 0;
  double retryTokens_ = 0;
  bool listed_ = true;
  /// Moving average of the time that answers took; 0 before the first.
  double serviceMs_ = 0;
};

/// Requests that wait in a pool.
inline std::size_t
WaitingIn(const RoutedPool& aPool)
{
  return aPool.urgent_.size() + aPool.normal_.size();
}

} // namespace detail

/// Decides where and when requests go: choice of target, queues, limits,
/// retries and circuit breakers. It does no I/O and reads no clock; the caller
/// passes the time, which must not decrease. Not thread-safe.
class RouterCore
{
public:
  explicit RouterCore(RouterSettings aSettings);

  /// Takes one input. Each RequestArrived gets exactly one CompleteRequest or
  /// RefuseRequest in the end, and each DispatchRequest asks for one
  /// AttemptFinished, also when the request was cancelled meanwhile.
  std::vector<RouterAction> Step(const RouterInput& aInput, MonotonicTime aNow);

  /// The kind with which a request would be refused now, if that is certain
  /// before it is taken. Spares the work that precedes a request's arrival.
  std::optional<ErrorKind> Precheck(const std::string& aPool,
                                    const std::string& aCaller) const;

  /// Requests that are at each VM or may still be there; VMs with none are
  /// left out.
  std::map<std::string, std::uint32_t> InFlight(MonotonicTime aNow) const;

  std::map<std::string, RouterPoolLoad> Loads() const;

  /// Requests that wait, in all pools.
  std::size_t Waiting() const;

  /// True when no request waits or is at a target.
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

  /// Ends a request for its caller: with the last answer if one is held, with
  /// an unknown outcome if it may have run, else with the given kind.
  void EndRequest(RequestId aId,
                  ErrorKind aKind,
                  Millis aRetryAfter,
                  Actions& aOut);
  void RefuseArrival(const RequestArrived& aInput,
                     ErrorKind aKind,
                     Millis aRetryAfter,
                     Actions& aOut);
  void Forget(RequestId aId);
  void Unqueue(detail::RoutedPool& aPool, RequestId aId);
  void Enqueue(detail::RoutedPool& aPool, RequestId aId, bool aFront);
  /// Makes room for an urgent request by refusing the newest one that is not.
  bool DisplaceNormal(detail::RoutedPool& aPool, Actions& aOut);

  /// Decides what follows an attempt that did not give the final answer.
  void Continue(detail::RoutedRequest& aRequest,
                AttemptEnd aEnd,
                MonotonicTime aNow,
                Actions& aOut);
  bool TakeRetryToken(detail::RoutedPool& aPool);
  Millis Backoff(int aAttempts);

  /// Ends waiting requests whose time or targets are over.
  void Expire(MonotonicTime aNow, Actions& aOut);
  void Pump(MonotonicTime aNow, Actions& aOut);
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
  detail::RoutedTarget* TwoChoices(
    const std::vector<detail::RoutedTarget*>& aTargets);
  bool MayProbe(const detail::RoutedTarget& aTarget,
                const detail::RoutedPool& aPool,
                const detail::RoutedRequest& aRequest,
                bool aHasClosed,
                MonotonicTime aNow) const;
  bool HasRepeatableWaiting(const detail::RoutedPool& aPool) const;
  std::int64_t Room(const detail::RoutedTarget& aTarget) const;
  std::int64_t Share(std::int64_t aWhole, const std::string& aZone) const;
  static bool IsUsable(const detail::RoutedTarget& aTarget, MonotonicTime aNow);
  bool HasTarget(const detail::RoutedPool& aPool, MonotonicTime aNow) const;
  /// Slots that this node may use in a pool: in all, and free now.
  std::pair<std::int64_t, std::int64_t> Capacity(
    const detail::RoutedPool& aPool,
    MonotonicTime aNow) const;
  /// Time until a request that joins the queue now would be answered.
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
  std::unordered_map<RequestId, detail::RoutedRequest> requests_;
  std::int64_t inFlight_ = 0;
  std::int64_t entryNodes_ = 1;
  std::int64_t entryNodesInZone_ = 1;
  bool stopping_ = false;
};

} // namespace acaciahill
