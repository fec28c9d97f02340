#include "routing/router_base.h"

#include <algorithm>
#include <limits>

// The part of the routing core that hands out slots: the order of pools and
// requests, the choice of a target, its limits and its circuit breaker.

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
DivideUp(std::int64_t aWhole, std::int64_t aParts)
{
  const auto parts = std::max<std::int64_t>(aParts, 1);
  return (aWhole + parts - 1) / parts;
}

std::int64_t
UrgentReserve(std::int64_t aWhole, const RouterSettings& aSettings)
{
  if (aSettings.urgentPercent_ <= 0 || aWhole < aSettings.urgentFloor_) {
    return 0;
  }
  return std::max<std::int64_t>(1, aWhole * aSettings.urgentPercent_ / 100);
}

/// Load relative to the pool's weight after one more request.
double
ShareUsed(const RoutedPool& aPool)
{
  if (aPool.row_.weight_ <= 0) {
    return std::numeric_limits<double>::max();
  }
  return static_cast<double>(aPool.inFlight_ + 1) /
         static_cast<double>(aPool.row_.weight_);
}

} // namespace

void
RouterCore::Pump(MonotonicTime aNow, Actions& aOut)
{
  std::vector<RoutedPool*> waiting;
  for (auto& [name, pool] : pools_) {
    if (WaitingIn(pool) > 0) {
      waiting.push_back(&pool);
    }
  }
  while (!waiting.empty() && inFlight_ < settings_.maxInFlight_) {
    const auto next =
      std::min_element(waiting.begin(),
                       waiting.end(),
                       [](const RoutedPool* aLeft, const RoutedPool* aRight) {
                         return ShareUsed(*aLeft) < ShareUsed(*aRight);
                       });
    if (!DispatchOne(**next, aNow, aOut) || WaitingIn(**next) == 0) {
      waiting.erase(next);
    }
  }
}

bool
RouterCore::DispatchOne(RoutedPool& aPool, MonotonicTime aNow, Actions& aOut)
{
  const auto [whole, open] = Capacity(aPool, aNow);
  if (open <= 0) {
    return false;
  }
  if (DispatchFrom(aPool, aPool.urgent_, aNow, aOut)) {
    return true;
  }
  const auto openOnNode = settings_.maxInFlight_ - inFlight_;
  if (open <= UrgentReserve(whole, settings_) ||
      openOnNode <= UrgentReserve(settings_.maxInFlight_, settings_)) {
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
  Unqueue(aPool, id);
  aRequest.phase_ = RoutedPhase::InFlight;
  aRequest.vm_ = aTarget.view_.vm_;
  aRequest.tried_.insert(aRequest.vm_);
  ++aRequest.attempts_;
  ++aTarget.inFlight_;
  ++aPool.inFlight_;
  ++inFlight_;
  if (aRequest.attempts_ == 1) {
    aPool.retryTokens_ =
      std::min(settings_.retryBurst_,
               aPool.retryTokens_ +
                 static_cast<double>(aPool.row_.retryPercent_) / 100.0);
  }
  auto& breaker = aTarget.breaker_;
  if (breaker.phase_ == BreakerPhase::Open && aNow >= breaker.openUntil_) {
    breaker.phase_ = BreakerPhase::Probing;
    breaker.probe_ = id;
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
    if (!aRequest.refusedBy_.contains(vm)) {
      hasUntried = hasUntried || !aRequest.tried_.contains(vm);
      usable.push_back(&target);
    }
  }
  std::erase_if(usable, [&](const RoutedTarget* aTarget) {
    return Room(*aTarget) <= 0 ||
           (hasUntried && aRequest.tried_.contains(aTarget->view_.vm_));
  });
  const auto others = std::stable_partition(
    usable.begin(), usable.end(), [this](const RoutedTarget* aTarget) {
      return aTarget->view_.zone_ == settings_.zone_;
    });
  const std::vector<RoutedTarget*> ownZone(usable.begin(), others);
  const std::vector<RoutedTarget*> otherZones(others, usable.end());
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
    return static_cast<double>(aTarget.inFlight_ + aTarget.others_) /
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
         aNow >= breaker.openUntil_ + settings_.probePatience_ ||
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
RouterCore::Share(std::int64_t aWhole, const std::string& aZone) const
{
  return DivideUp(aWhole,
                  aZone == settings_.zone_ ? entryNodesInZone_ : entryNodes_);
}

std::int64_t
RouterCore::Room(const RoutedTarget& aTarget) const
{
  const auto& view = aTarget.view_;
  auto limit =
    std::max(Share(view.slots_, view.zone_), view.slots_ - aTarget.others_);
  if (view.connections_ > 0) {
    limit = std::min(limit, Share(view.connections_, view.zone_));
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
  std::int64_t closedWhole = 0;
  std::int64_t closedRoom = 0;
  std::int64_t openWhole = 0;
  std::int64_t openRoom = 0;
  std::int64_t probes = 0;
  bool hasClosed = false;
  for (const auto& vm : aPool.vms_) {
    const auto& target = targets_.at(vm);
    if (!IsUsable(target, aNow)) {
      continue;
    }
    const auto room = Room(target);
    if (target.breaker_.phase_ == BreakerPhase::Closed) {
      hasClosed = true;
      closedWhole += target.inFlight_ + room;
      closedRoom += room;
      continue;
    }
    openWhole += target.inFlight_ + room;
    openRoom += room;
    const bool mayProbe = target.breaker_.phase_ == BreakerPhase::Open &&
                          aNow >= target.breaker_.openUntil_ && room > 0;
    probes += mayProbe ? 1 : 0;
  }
  if (!hasClosed && !settings_.keepAllWhenAllOpen_) {
    return { probes, probes };
  }
  if (!hasClosed) {
    return { openWhole, openRoom };
  }
  return { closedWhole + probes, closedRoom + probes };
}

Millis
RouterCore::ExpectedTime(const RoutedPool& aPool,
                         bool aUrgent,
                         MonotonicTime aNow) const
{
  // With nothing in flight there is no newer observation to come; one request
  // is let through to make it, or a pool that was slow once would stay shut.
  if (aPool.serviceMs_ == 0 || aPool.inFlight_ == 0) {
    return Millis{ 0 };
  }
  const auto [whole, open] = Capacity(aPool, aNow);
  if (whole <= 0) {
    return Millis{ 0 };
  }
  const auto ahead = static_cast<std::int64_t>(aUrgent ? aPool.urgent_.size()
                                                       : WaitingIn(aPool));
  const auto rounds =
    static_cast<double>(std::max<std::int64_t>(0, ahead - open + 1)) /
    static_cast<double>(whole);
  return Millis{ static_cast<std::int64_t>(
    std::ceil(aPool.serviceMs_ * (1 + rounds))) };
}

void
RouterCore::RecordAttempt(RoutedTarget& aTarget,
                          const AttemptFinished& aInput,
                          MonotonicTime aNow)
{
  auto& breaker = aTarget.breaker_;
  const bool isProbe =
    breaker.phase_ == BreakerPhase::Probing && breaker.probe_ == aInput.id_;
  // A deadline far below the usual time says nothing of the target; counted, a
  // caller with short deadlines would shut it for everybody.
  const bool isTooShort = aInput.end_ == AttemptEnd::TimedOut &&
                          aInput.took_ < settings_.attemptFloor_;
  if (aInput.end_ == AttemptEnd::Expired || isTooShort) {
    if (isProbe) {
      breaker.phase_ = BreakerPhase::Open;
    }
    return;
  }
  const bool isHard =
    aInput.end_ == AttemptEnd::NotSent || aInput.end_ == AttemptEnd::Lost ||
    aInput.end_ == AttemptEnd::TimedOut || aInput.end_ == AttemptEnd::Malformed;
  const bool isBusy = aInput.status_ == 429 || aInput.status_ == 503;
  const bool isError =
    isHard || (aInput.end_ == AttemptEnd::Answered &&
               (isBusy ? settings_.busyIsError_ : aInput.status_ >= 500));
  if (isProbe) {
    if (isError) {
      OpenBreaker(breaker, aNow);
    } else {
      breaker = Breaker{};
    }
    return;
  }
  breaker.consecutive_ = isHard ? breaker.consecutive_ + 1 : 0;
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
  for (const auto& each : aBreaker.buckets_) {
    if (each.second_ +
          static_cast<std::int64_t>(detail::kBreakerWindowSeconds) >
        second) {
      total += each.total_;
      errors += each.errors_;
    }
  }
  const bool isRateOver = total >= settings_.breakerMinResults_ &&
                          errors * 100 > total * settings_.breakerPercent_;
  if (aBreaker.consecutive_ >= settings_.breakerFailures_ || isRateOver) {
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
