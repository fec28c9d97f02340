#include "routing/router_base.h"

#include <algorithm>
#include <limits>

// Dispatching in the routing core: the order of pools and requests, the choice
// of a target, slot limits and circuit breakers.

namespace acaciahill {

using detail::Breaker;
using detail::BreakerPhase;
using detail::RoutedPhase;
using detail::RoutedPool;
using detail::RoutedRequest;
using detail::RoutedTarget;

namespace {

constexpr std::int64_t kMsPerSecond = 1000;

std::int64_t
DivideUp(std::int64_t aTotal, std::int64_t aParts)
{
  const auto parts = std::max<std::int64_t>(aParts, 1);
  return (aTotal + parts - 1) / parts;
}

std::int64_t
UrgentReserve(std::int64_t aTotal, const RouterSettings& aSettings)
{
  if (aSettings.urgentPercent_ <= 0 || aTotal < aSettings.urgentMinSlots_) {
    return 0;
  }
  return std::max<std::int64_t>(1, aTotal * aSettings.urgentPercent_ / 100);
}

/// Requests in flight per unit of the pool's weight, with one more request.
double
LoadPerWeight(const RoutedPool& aPool)
{
  if (aPool.row_.weight_ <= 0) {
    return std::numeric_limits<double>::max();
  }
  return static_cast<double>(aPool.inFlight_ + 1) /
         static_cast<double>(aPool.row_.weight_);
}

} // namespace

void
RouterCore::DispatchWaiting(MonotonicTime aNow, Actions& aOut)
{
  std::vector<RoutedPool*> waiting;
  for (auto& [name, pool] : pools_) {
    if (CountWaiting(pool) > 0) {
      waiting.push_back(&pool);
    }
  }
  while (!waiting.empty() && inFlight_ < settings_.maxInFlight_) {
    const auto next =
      std::min_element(waiting.begin(),
                       waiting.end(),
                       [](const RoutedPool* aLeft, const RoutedPool* aRight) {
                         return LoadPerWeight(*aLeft) < LoadPerWeight(*aRight);
                       });
    if (!DispatchOne(**next, aNow, aOut) || CountWaiting(**next) == 0) {
      waiting.erase(next);
    }
  }
}

bool
RouterCore::DispatchOne(RoutedPool& aPool, MonotonicTime aNow, Actions& aOut)
{
  const auto [totalSlots, freeSlots] = Capacity(aPool, aNow);
  if (freeSlots <= 0) {
    return false;
  }
  if (DispatchFrom(aPool, aPool.urgent_, aNow, aOut)) {
    return true;
  }
  const auto freeOnNode = settings_.maxInFlight_ - inFlight_;
  if (freeSlots <= UrgentReserve(totalSlots, settings_) ||
      freeOnNode <= UrgentReserve(settings_.maxInFlight_, settings_)) {
    return false;
  }
  return DispatchFrom(aPool, aPool.normal_, aNow, aOut);
}

bool
RouterCore::DispatchFrom(RoutedPool& aPool,
                         const std::list<RequestId>& aQueue,
                         MonotonicTime aNow,
                         Actions& aOut)
{
  for (const auto id : aQueue) {
    auto& request = requests_.at(id);
    if (request.notBefore_ > aNow || request.input_.deadline_ <= aNow) {
      continue;
    }
    if (auto* target = ChooseTarget(aPool, request, aNow)) {
      Dispatch(aPool, request, *target, aNow, aOut);
      return true;
    }
  }
  return false;
}

void
RouterCore::Dispatch(RoutedPool& aPool,
                     RoutedRequest& aRequest,
                     RoutedTarget& aTarget,
                     MonotonicTime aNow,
                     Actions& aOut)
{
  const auto id = aRequest.input_.id_;
  RemoveFromQueue(aPool, id);
  aRequest.phase_ = RoutedPhase::InFlight;
  aRequest.vm_ = aTarget.view_.vm_;
  aRequest.triedVms_.insert(aRequest.vm_);
  ++aRequest.attempts_;
  ++aTarget.inFlight_;
  ++aPool.inFlight_;
  ++inFlight_;
  if (aRequest.attempts_ == 1) {
    aPool.retryTokens_ =
      std::min(settings_.retryBudgetLimit_,
               aPool.retryTokens_ +
                 static_cast<double>(aPool.row_.retryPercent_) / 100.0);
  }
  auto& breaker = aTarget.breaker_;
  if (breaker.phase_ == BreakerPhase::Open && aNow >= breaker.openUntil_) {
    breaker.phase_ = BreakerPhase::Probing;
    breaker.probeRequest_ = id;
  }
  auto timeout = aRequest.input_.deadline_;
  if (aRequest.input_.repeatable_ &&
      aRequest.attempts_ < settings_.maxAttempts_) {
    timeout = std::min(
      timeout, aNow + std::max(settings_.attemptFloor_, (timeout - aNow) / 2));
  }
  aOut.emplace_back(DispatchRequest{ id,
                                     aTarget.view_.vm_,
                                     aTarget.view_.address_,
                                     aTarget.view_.epoch_,
                                     aRequest.attempts_,
                                     timeout,
                                     aTarget.view_.validUntil_ });
}

RoutedTarget*
RouterCore::ChooseTarget(const RoutedPool& aPool,
                         const RoutedRequest& aRequest,
                         MonotonicTime aNow)
{
  std::vector<RoutedTarget*> usable;
  bool allOpen = true;
  bool hasUntried = false;
  for (const auto& vm : aPool.vms_) {
    auto& target = targets_.at(vm);
    if (!IsUsable(target, aNow)) {
      continue;
    }
    auto& breaker = target.breaker_;
    if (!settings_.singleProbe_ && breaker.phase_ == BreakerPhase::Open &&
        aNow >= breaker.openUntil_) {
      breaker.phase_ = BreakerPhase::Closed;
    }
    allOpen = allOpen && target.breaker_.phase_ != BreakerPhase::Closed;
    if (!aRequest.refusedByVms_.contains(vm)) {
      hasUntried = hasUntried || !aRequest.triedVms_.contains(vm);
      usable.push_back(&target);
    }
  }
  std::erase_if(usable, [&](const RoutedTarget* aTarget) {
    return FreeSlots(*aTarget) <= 0 ||
           (hasUntried && aRequest.triedVms_.contains(aTarget->view_.vm_));
  });
  const auto firstOther = std::stable_partition(
    usable.begin(), usable.end(), [this](const RoutedTarget* aTarget) {
      return aTarget->view_.zone_ == settings_.zone_;
    });
  const std::vector<RoutedTarget*> ownZone(usable.begin(), firstOther);
  const std::vector<RoutedTarget*> otherZones(firstOther, usable.end());
  if (auto* target = ChooseAmong(ownZone, aPool, aRequest, allOpen, aNow)) {
    return target;
  }
  return ChooseAmong(otherZones, aPool, aRequest, allOpen, aNow);
}

RoutedTarget*
RouterCore::ChooseAmong(const std::vector<RoutedTarget*>& aUsable,
                        const RoutedPool& aPool,
                        const RoutedRequest& aRequest,
                        bool aAllOpen,
                        MonotonicTime aNow)
{
  if (aAllOpen && settings_.keepAllWhenAllOpen_) {
    return TwoChoices(aUsable);
  }
  std::vector<RoutedTarget*> closed;
  for (auto* target : aUsable) {
    if (target->breaker_.phase_ == BreakerPhase::Closed) {
      closed.push_back(target);
    }
  }
  for (auto* target : aUsable) {
    if (MayProbe(*target, aPool, aRequest, !closed.empty(), aNow)) {
      return target;
    }
  }
  return TwoChoices(closed);
}

RoutedTarget*
RouterCore::TwoChoices(const std::vector<RoutedTarget*>& aTargets)
{
  if (aTargets.empty()) {
    return nullptr;
  }
  if (aTargets.size() == 1) {
    return aTargets.front();
  }
  std::uniform_int_distribution<std::size_t> pick(0, aTargets.size() - 1);
  std::uniform_int_distribution<std::size_t> step(1, aTargets.size() - 1);
  const auto index = pick(random_);
  auto* first = aTargets[index];
  if (!settings_.twoChoices_) {
    return first;
  }
  auto* second = aTargets[(index + step(random_)) % aTargets.size()];
  const auto load = [](const RoutedTarget& aTarget) {
    return static_cast<double>(aTarget.inFlight_ + aTarget.runningFromOthers_) /
           static_cast<double>(std::max<std::int64_t>(aTarget.view_.slots_, 1));
  };
  return load(*second) < load(*first) ? second : first;
}

bool
RouterCore::MayProbe(const RoutedTarget& aTarget,
                     const RoutedPool& aPool,
                     const RoutedRequest& aRequest,
                     bool aHasClosed,
                     MonotonicTime aNow) const
{
  const auto& breaker = aTarget.breaker_;
  if (breaker.phase_ != BreakerPhase::Open || aNow < breaker.openUntil_) {
    return false;
  }
  return aRequest.input_.repeatable_ ||
         aNow >= breaker.openUntil_ + settings_.nonRepeatableProbeDelay_ ||
         (!aHasClosed && !HasRepeatableWaiting(aPool));
}

bool
RouterCore::HasRepeatableWaiting(const RoutedPool& aPool) const
{
  const auto isRepeatable = [this](RequestId aId) {
    return requests_.at(aId).input_.repeatable_;
  };
  return std::any_of(
           aPool.urgent_.begin(), aPool.urgent_.end(), isRepeatable) ||
         std::any_of(aPool.normal_.begin(), aPool.normal_.end(), isRepeatable);
}

std::int64_t
RouterCore::NodeShare(std::int64_t aTotal, const std::string& aZone) const
{
  return DivideUp(aTotal,
                  aZone == settings_.zone_ ? entryNodesInZone_ : entryNodes_);
}

std::int64_t
RouterCore::FreeSlots(const RoutedTarget& aTarget) const
{
  const auto& view = aTarget.view_;
  auto limit = std::max(NodeShare(view.slots_, view.zone_),
                        view.slots_ - aTarget.runningFromOthers_);
  if (view.connections_ > 0) {
    limit = std::min(limit, NodeShare(view.connections_, view.zone_));
  }
  return std::max<std::int64_t>(0, limit - aTarget.inFlight_);
}

bool
RouterCore::IsUsable(const RoutedTarget& aTarget, MonotonicTime aNow)
{
  return aTarget.listed_ && aTarget.view_.validUntil_ > aNow;
}

bool
RouterCore::HasTarget(const RoutedPool& aPool, MonotonicTime aNow) const
{
  return std::any_of(
    aPool.vms_.begin(), aPool.vms_.end(), [this, aNow](const auto& aVm) {
      return IsUsable(targets_.at(aVm), aNow);
    });
}

std::pair<std::int64_t, std::int64_t>
RouterCore::Capacity(const RoutedPool& aPool, MonotonicTime aNow) const
{
  std::int64_t closedTotal = 0;
  std::int64_t closedFree = 0;
  std::int64_t openTotal = 0;
  std::int64_t openFree = 0;
  std::int64_t probes = 0;
  bool hasClosed = false;
  for (const auto& vm : aPool.vms_) {
    const auto& target = targets_.at(vm);
    if (!IsUsable(target, aNow)) {
      continue;
    }
    const auto freeOnTarget = FreeSlots(target);
    if (target.breaker_.phase_ == BreakerPhase::Closed) {
      hasClosed = true;
      closedTotal += target.inFlight_ + freeOnTarget;
      closedFree += freeOnTarget;
      continue;
    }
    openTotal += target.inFlight_ + freeOnTarget;
    openFree += freeOnTarget;
    const bool mayProbe = target.breaker_.phase_ == BreakerPhase::Open &&
                          aNow >= target.breaker_.openUntil_ &&
                          freeOnTarget > 0;
    probes += mayProbe ? 1 : 0;
  }
  if (!hasClosed && !settings_.keepAllWhenAllOpen_) {
    return { probes, probes };
  }
  if (!hasClosed) {
    return { openTotal, openFree };
  }
  return { closedTotal + probes, closedFree + probes };
}

Millis
RouterCore::ExpectedTime(const RoutedPool& aPool,
                         bool aUrgent,
                         MonotonicTime aNow) const
{
  // With nothing in flight no new measurement would come: one request is let
  // through, or a pool that was slow once would refuse short deadlines for
  // ever.
  if (aPool.serviceMs_ == 0 || aPool.inFlight_ == 0) {
    return Millis{ 0 };
  }
  const auto [totalSlots, freeSlots] = Capacity(aPool, aNow);
  if (totalSlots <= 0) {
    return Millis{ 0 };
  }
  const auto ahead = static_cast<std::int64_t>(aUrgent ? aPool.urgent_.size()
                                                       : CountWaiting(aPool));
  const auto rounds =
    static_cast<double>(std::max<std::int64_t>(0, ahead - freeSlots + 1)) /
    static_cast<double>(totalSlots);
  return Millis{ static_cast<std::int64_t>(
    std::ceil(aPool.serviceMs_ * (1 + rounds))) };
}

void
RouterCore::RecordAttempt(RoutedTarget& aTarget,
                          const AttemptFinished& aInput,
                          MonotonicTime aNow)
{
  auto& breaker = aTarget.breaker_;
  const bool isProbe = breaker.phase_ == BreakerPhase::Probing &&
                       breaker.probeRequest_ == aInput.id_;
  // A timeout below attemptFloor_ is due to a short deadline, not to the
  // target; counting it, one caller's short deadlines would open the breaker
  // for all.
  const bool isTooShort = aInput.end_ == AttemptEnd::TimedOut &&
                          aInput.took_ < settings_.attemptFloor_;
  if (aInput.end_ == AttemptEnd::Expired || isTooShort) {
    if (isProbe) {
      breaker.phase_ = BreakerPhase::Open;
    }
    return;
  }
  const bool hasNoValidAnswer =
    aInput.end_ == AttemptEnd::NotSent || aInput.end_ == AttemptEnd::Lost ||
    aInput.end_ == AttemptEnd::TimedOut || aInput.end_ == AttemptEnd::Malformed;
  const bool isBusy = aInput.status_ == 429 || aInput.status_ == 503;
  const bool isError =
    hasNoValidAnswer ||
    (aInput.end_ == AttemptEnd::Answered &&
     (isBusy ? settings_.busyIsError_ : aInput.status_ >= 500));
  if (isProbe) {
    if (isError) {
      OpenBreaker(breaker, aNow);
    } else {
      breaker = Breaker{};
    }
    return;
  }
  breaker.consecutiveFailures_ =
    hasNoValidAnswer ? breaker.consecutiveFailures_ + 1 : 0;
  if (breaker.phase_ == BreakerPhase::Closed) {
    CountOutcome(breaker, isError, aNow);
  }
}

void
RouterCore::CountOutcome(Breaker& aBreaker, bool aError, MonotonicTime aNow)
{
  const auto second = aNow.time_since_epoch().count() / kMsPerSecond;
  auto& bucket = aBreaker.buckets_[static_cast<std::size_t>(second) %
                                   detail::kBreakerWindowSeconds];
  if (bucket.second_ != second) {
    bucket = { second, 0, 0 };
  }
  ++bucket.total_;
  bucket.errors_ += aError ? 1 : 0;
  std::int64_t total = 0;
  std::int64_t errors = 0;
  for (const auto& recent : aBreaker.buckets_) {
    if (recent.second_ +
          static_cast<std::int64_t>(detail::kBreakerWindowSeconds) >
        second) {
      total += recent.total_;
      errors += recent.errors_;
    }
  }
  const bool isRateOver = total >= settings_.breakerMinResults_ &&
                          errors * 100 > total * settings_.breakerPercent_;
  if (aBreaker.consecutiveFailures_ >= settings_.breakerFailures_ ||
      isRateOver) {
    OpenBreaker(aBreaker, aNow);
  }
}

void
RouterCore::OpenBreaker(Breaker& aBreaker, MonotonicTime aNow)
{
  const auto cooldown =
    aBreaker.cooldown_ == Millis{ 0 }
      ? settings_.breakerCooldown_
      : std::min(aBreaker.cooldown_ * 2, settings_.breakerCooldownLimit_);
  aBreaker = Breaker{};
  aBreaker.phase_ = BreakerPhase::Open;
  aBreaker.cooldown_ = cooldown;
  aBreaker.openUntil_ = aNow + cooldown;
}

} // namespace acaciahill
