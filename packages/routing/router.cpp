#include "routing/router_base.h"

#include "kernel/error_func.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace acaciahill {

using detail::Breaker;
using detail::RoutedPhase;
using detail::RoutedPool;
using detail::RoutedRequest;

namespace {

// Weight of the newest answer in the moving average of the service time.
constexpr double kServiceWeight = 1.0 / 8;
constexpr Millis kMinRetryAfter{ 1000 };

bool
MayHaveReached(AttemptEnd aEnd)
{
  return aEnd != AttemptEnd::NotSent && aEnd != AttemptEnd::TargetRefused &&
         aEnd != AttemptEnd::Expired;
}

/// Error for a request that may have run but has no usable answer.
ErrorKind
ErrorKindOfDelivered(AttemptEnd aEnd)
{
  switch (aEnd) {
    case AttemptEnd::TimedOut:
      return ErrorKind::AnswerTimeout;
    case AttemptEnd::Malformed:
      return ErrorKind::AnswerMalformed;
    case AttemptEnd::TooLarge:
      return ErrorKind::AnswerTooLarge;
    default:
      return ErrorKind::AnswerLost;
  }
}

bool
IsRetryableStatus(std::int64_t aStatus)
{
  return aStatus == 502 || aStatus == 503 || aStatus == 504;
}

} // namespace

RouterCore::RouterCore(RouterSettings aSettings)
  : settings_(std::move(aSettings))
  , random_(settings_.seed_)
{
}

std::vector<RouterAction>
RouterCore::Step(const RouterInput& aInput, MonotonicTime aNow)
{
  Actions actions;
  std::visit(
    [this, aNow, &actions](const auto& aAlternative) {
      Handle(aAlternative, aNow, actions);
    },
    aInput);
  return actions;
}

std::optional<ErrorKind>
RouterCore::Precheck(const std::string& aPool, const std::string& aCaller) const
{
  if (stopping_) {
    return ErrorKind::NodeStopping;
  }
  const auto pool = pools_.find(aPool);
  if (pool == pools_.end() || !pool->second.listed_) {
    return hasCurrentPools_ ? ErrorKind::UnknownPool
                            : ErrorKind::ControlUnreachable;
  }
  const auto caller = pool->second.requestsByCaller_.find(aCaller);
  if (caller != pool->second.requestsByCaller_.end() &&
      caller->second >= pool->second.row_.callerLimit_) {
    return ErrorKind::CallerLimit;
  }
  return std::nullopt;
}

std::map<std::string, std::uint32_t>
RouterCore::InFlight(MonotonicTime aNow) const
{
  std::map<std::string, std::uint32_t> counts;
  for (const auto& [vm, target] : targets_) {
    const auto lingering = std::count_if(
      target.unansweredUntil_.begin(),
      target.unansweredUntil_.end(),
      [aNow](const MonotonicTime& aUntil) { return aUntil > aNow; });
    const auto count = target.inFlight_ + lingering;
    if (count > 0) {
      counts.emplace(vm, static_cast<std::uint32_t>(count));
    }
  }
  return counts;
}

std::map<std::string, RouterPoolLoad>
RouterCore::Loads() const
{
  std::map<std::string, RouterPoolLoad> loads;
  for (const auto& [name, pool] : pools_) {
    loads.emplace(name,
                  RouterPoolLoad{ pool.inFlight_,
                                  static_cast<std::int64_t>(CountWaiting(pool)),
                                  pool.refused_,
                                  pool.retried_ });
  }
  return loads;
}

std::size_t
RouterCore::Waiting() const
{
  std::size_t count = 0;
  for (const auto& [name, pool] : pools_) {
    count += CountWaiting(pool);
  }
  return count;
}

void
RouterCore::Handle(const RequestArrived& aInput,
                   MonotonicTime aNow,
                   Actions& aOut)
{
  if (requests_.contains(aInput.id_)) {
    return;
  }
  if (const auto kind = Precheck(aInput.pool_, aInput.caller_)) {
    RefuseArrival(aInput, *kind, kMinRetryAfter, aOut);
    return;
  }
  auto& pool = pools_.at(aInput.pool_);
  const auto expected = ExpectedTime(pool, aInput.urgent_, aNow);
  if (aInput.deadline_ <= aNow || aNow + expected > aInput.deadline_) {
    RefuseArrival(aInput, ErrorKind::DeadlineTooShort, expected, aOut);
    return;
  }
  RoutedRequest request;
  request.input_ = aInput;
  request.waitingSince_ = aNow;
  request.notBefore_ = aNow;
  requests_.emplace(aInput.id_, std::move(request));
  ++pool.requestsByCaller_[aInput.caller_];
  Enqueue(pool, aInput.id_, false);
  DispatchWaiting(aNow, aOut);
  const auto arrived = requests_.find(aInput.id_);
  const auto excess =
    static_cast<std::int64_t>(CountWaiting(pool)) - pool.row_.queueLimit_;
  if (arrived == requests_.end() ||
      arrived->second.phase_ != RoutedPhase::Waiting || excess <= 0) {
    return;
  }
  // An excess above 1 occurs after the limit was lowered; displacing one
  // request would not bring the queue back within the limit.
  if (!aInput.urgent_ || excess > 1 || !DisplaceNormal(pool, aOut)) {
    EndRequest(aInput.id_, ErrorKind::QueueFull, expected, aOut);
  }
}

void
RouterCore::Handle(const RequestCancelled& aInput, MonotonicTime, Actions& aOut)
{
  const auto found = requests_.find(aInput.id_);
  if (found == requests_.end()) {
    return;
  }
  auto& request = found->second;
  if (request.phase_ == RoutedPhase::Waiting) {
    if (request.deliveredEnd_) {
      aOut.emplace_back(RefuseRequest{
        aInput.id_, ErrorKind::CancelledInFlight, kMinRetryAfter });
      EraseRequest(aInput.id_);
      return;
    }
    EndRequest(aInput.id_, ErrorKind::Cancelled, kMinRetryAfter, aOut);
  } else if (request.phase_ == RoutedPhase::InFlight) {
    request.phase_ = RoutedPhase::Abandoned;
    aOut.emplace_back(RefuseRequest{
      aInput.id_, ErrorKind::CancelledInFlight, kMinRetryAfter });
  }
}

void
RouterCore::Handle(const AttemptFinished& aInput,
                   MonotonicTime aNow,
                   Actions& aOut)
{
  const auto found = requests_.find(aInput.id_);
  if (found == requests_.end() ||
      found->second.phase_ == RoutedPhase::Waiting ||
      found->second.vm_ != aInput.vm_) {
    return;
  }
  auto& request = found->second;
  auto& pool = pools_.at(request.input_.pool_);
  auto& target = targets_.at(aInput.vm_);
  --target.inFlight_;
  --pool.inFlight_;
  --inFlight_;
  RecordAttempt(target, aInput, aNow);
  if (aInput.end_ == AttemptEnd::Answered &&
      !IsRetryableStatus(aInput.status_)) {
    const auto took = static_cast<double>(aInput.took_.count());
    pool.serviceMs_ =
      pool.serviceMs_ == 0
        ? took
        : pool.serviceMs_ + kServiceWeight * (took - pool.serviceMs_);
  } else if (MayHaveReached(aInput.end_) &&
             aInput.end_ != AttemptEnd::Answered) {
    target.unansweredUntil_.push_back(aNow + settings_.unansweredHold_);
  }

  if (request.phase_ == RoutedPhase::Abandoned) {
    EraseRequest(aInput.id_);
  } else if (aInput.end_ == AttemptEnd::Answered &&
             (!IsRetryableStatus(aInput.status_) ||
              !request.input_.repeatable_)) {
    aOut.emplace_back(CompleteRequest{ aInput.id_ });
    EraseRequest(aInput.id_);
  } else {
    RetryOrEnd(request, aInput.end_, aNow, aOut);
  }
  DispatchWaiting(aNow, aOut);
}

void
RouterCore::Handle(const TargetsChanged& aInput,
                   MonotonicTime aNow,
                   Actions& aOut)
{
  for (auto& [vm, target] : targets_) {
    target.listed_ = false;
  }
  for (auto& [name, pool] : pools_) {
    pool.vms_.clear();
  }
  for (const auto& view : aInput.targets_) {
    auto& target = targets_[view.vm_];
    if (target.listed_) {
      continue;
    }
    if (target.view_.epoch_ != view.epoch_ ||
        target.view_.address_ != view.address_) {
      target.breaker_ = Breaker{};
    }
    // The announced count includes this node's own requests; the rest is the
    // work of other entry VMs.
    if (target.view_.announcedRunning_ != view.announcedRunning_ ||
        target.view_.validUntil_ != view.validUntil_) {
      target.runningFromOthers_ = std::max<std::int64_t>(
        0, std::int64_t{ view.announcedRunning_ } - target.inFlight_);
    }
    target.view_ = view;
    target.listed_ = true;
    const auto pool = pools_.find(view.pool_);
    if (pool != pools_.end()) {
      pool->second.vms_.push_back(view.vm_);
    }
  }
  for (auto& [vm, target] : targets_) {
    std::erase_if(target.unansweredUntil_, [aNow](const MonotonicTime& aUntil) {
      return aUntil <= aNow;
    });
  }
  std::erase_if(targets_, [](const auto& aItem) {
    const auto& target = aItem.second;
    return !target.listed_ && target.inFlight_ == 0 &&
           target.unansweredUntil_.empty();
  });
  EndExpired(aNow, aOut);
  DispatchWaiting(aNow, aOut);
}

void
RouterCore::Handle(const PoolsChanged& aInput,
                   MonotonicTime aNow,
                   Actions& aOut)
{
  hasCurrentPools_ = aInput.isCurrent_;
  entryNodes_ = aInput.entryNodes_;
  entryNodesInZone_ = aInput.entryNodesInZone_;
  for (auto& [name, pool] : pools_) {
    pool.listed_ = false;
    pool.vms_.clear();
  }
  for (const auto& row : aInput.rows_) {
    const bool isNew = !pools_.contains(row.pool_);
    auto& pool = pools_[row.pool_];
    pool.row_ = row;
    pool.listed_ = true;
    if (isNew) {
      pool.retryTokens_ = settings_.retryBudgetInitial_;
    }
  }
  for (const auto& [vm, target] : targets_) {
    const auto pool = pools_.find(target.view_.pool_);
    if (target.listed_ && pool != pools_.end()) {
      pool->second.vms_.push_back(vm);
    }
  }
  for (auto& [name, pool] : pools_) {
    if (pool.listed_) {
      continue;
    }
    auto waiting = pool.urgent_;
    waiting.insert(waiting.end(), pool.normal_.begin(), pool.normal_.end());
    for (const auto id : waiting) {
      EndRequest(id, ErrorKind::UnknownPool, kMinRetryAfter, aOut);
    }
  }
  std::erase_if(pools_, [](const auto& aItem) {
    return !aItem.second.listed_ && aItem.second.requestsByCaller_.empty();
  });
  EndExpired(aNow, aOut);
  DispatchWaiting(aNow, aOut);
}

void
RouterCore::Handle(const RouterTick&, MonotonicTime aNow, Actions& aOut)
{
  EndExpired(aNow, aOut);
  DispatchWaiting(aNow, aOut);
}

void
RouterCore::Handle(const RouterStop&, MonotonicTime aNow, Actions& aOut)
{
  stopping_ = true;
  // Requests that wait for a retry are finished like those in flight.
  std::vector<RequestId> unsent;
  for (const auto& [id, request] : requests_) {
    if (request.phase_ == RoutedPhase::Waiting && request.attempts_ == 0) {
      unsent.push_back(id);
    }
  }
  std::sort(unsent.begin(), unsent.end());
  for (const auto id : unsent) {
    EndRequest(id, ErrorKind::NodeStopping, kMinRetryAfter, aOut);
  }
  DispatchWaiting(aNow, aOut);
}

void
RouterCore::EndRequest(RequestId aId,
                       ErrorKind aKind,
                       Millis aRetryAfter,
                       Actions& aOut)
{
  const auto& request = requests_.at(aId);
  if (request.deliveredEnd_ == AttemptEnd::Answered) {
    aOut.emplace_back(CompleteRequest{ aId });
  } else if (request.deliveredEnd_) {
    aOut.emplace_back(RefuseRequest{
      aId, ErrorKindOfDelivered(*request.deliveredEnd_), kMinRetryAfter });
  } else {
    ++pools_.at(request.input_.pool_).refused_;
    aOut.emplace_back(
      RefuseRequest{ aId, aKind, std::max(aRetryAfter, kMinRetryAfter) });
  }
  EraseRequest(aId);
}

void
RouterCore::RefuseArrival(const RequestArrived& aInput,
                          ErrorKind aKind,
                          Millis aRetryAfter,
                          Actions& aOut)
{
  const auto pool = pools_.find(aInput.pool_);
  if (pool != pools_.end()) {
    ++pool->second.refused_;
  }
  aOut.emplace_back(
    RefuseRequest{ aInput.id_, aKind, std::max(aRetryAfter, kMinRetryAfter) });
}

void
RouterCore::EraseRequest(RequestId aId)
{
  const auto found = requests_.find(aId);
  const auto& input = found->second.input_;
  const auto pool = pools_.find(input.pool_);
  if (found->second.phase_ == RoutedPhase::Waiting) {
    RemoveFromQueue(pool->second, aId);
  }
  const auto caller = pool->second.requestsByCaller_.find(input.caller_);
  if (--caller->second == 0) {
    pool->second.requestsByCaller_.erase(caller);
  }
  requests_.erase(found);
}

void
RouterCore::RemoveFromQueue(RoutedPool& aPool, RequestId aId)
{
  aPool.urgent_.remove(aId);
  aPool.normal_.remove(aId);
}

void
RouterCore::Enqueue(RoutedPool& aPool, RequestId aId, bool aFront)
{
  auto& queue =
    requests_.at(aId).input_.urgent_ ? aPool.urgent_ : aPool.normal_;
  queue.insert(aFront ? queue.begin() : queue.end(), aId);
}

bool
RouterCore::DisplaceNormal(RoutedPool& aPool, Actions& aOut)
{
  const auto newest = std::find_if(
    aPool.normal_.rbegin(), aPool.normal_.rend(), [this](RequestId aId) {
      return requests_.at(aId).attempts_ == 0;
    });
  if (newest == aPool.normal_.rend()) {
    return false;
  }
  EndRequest(*newest, ErrorKind::QueueFull, kMinRetryAfter, aOut);
  return true;
}

void
RouterCore::RetryOrEnd(RoutedRequest& aRequest,
                       AttemptEnd aEnd,
                       MonotonicTime aNow,
                       Actions& aOut)
{
  auto& pool = pools_.at(aRequest.input_.pool_);
  const bool reached = MayHaveReached(aEnd);
  if (reached) {
    aRequest.deliveredEnd_ = aEnd;
  }
  aRequest.refusedByTarget_ = aEnd == AttemptEnd::TargetRefused;
  if (aRequest.refusedByTarget_) {
    aRequest.refusedByVms_.insert(aRequest.vm_);
  }
  const bool hasOther = std::any_of(
    pool.vms_.begin(), pool.vms_.end(), [&](const std::string& aVm) {
      return !aRequest.triedVms_.contains(aVm) &&
             IsUsable(targets_.at(aVm), aNow);
    });

  bool shouldRetry = aRequest.attempts_ < settings_.maxAttempts_ &&
                     aNow < aRequest.input_.deadline_ && pool.listed_;
  if (aEnd == AttemptEnd::TooLarge) {
    shouldRetry = false;
  } else if (aEnd == AttemptEnd::Answered) {
    shouldRetry = shouldRetry && hasOther && TakeRetryToken(pool);
  } else if (reached) {
    shouldRetry =
      shouldRetry && aRequest.input_.repeatable_ && TakeRetryToken(pool);
  }
  const bool isImmediate = !reached && hasOther;
  const auto delay = isImmediate ? Millis{ 0 } : Backoff(aRequest.attempts_);
  if (!shouldRetry || aNow + delay >= aRequest.input_.deadline_) {
    const auto kind = aRequest.refusedByTarget_ ? ErrorKind::TargetRefused
                                                : ErrorKind::NoTarget;
    EndRequest(aRequest.input_.id_, kind, kMinRetryAfter, aOut);
    return;
  }
  ++pool.retried_;
  aRequest.phase_ = RoutedPhase::Waiting;
  aRequest.notBefore_ = aNow + delay;
  aRequest.waitingSince_ = aNow;
  Enqueue(pool, aRequest.input_.id_, true);
}

bool
RouterCore::TakeRetryToken(RoutedPool& aPool)
{
  if (aPool.row_.retryPercent_ <= 0 || aPool.retryTokens_ < 1) {
    return false;
  }
  aPool.retryTokens_ -= 1;
  return true;
}

Millis
RouterCore::Backoff(int aAttempts)
{
  const auto fullDelay =
    std::min(settings_.backoffBase_ * (std::int64_t{ 1 } << (aAttempts - 1)),
             settings_.backoffLimit_);
  std::uniform_int_distribution<std::int64_t> pick(fullDelay.count() / 2,
                                                   fullDelay.count());
  return Millis{ pick(random_) };
}

void
RouterCore::EndExpired(MonotonicTime aNow, Actions& aOut)
{
  std::vector<std::pair<RequestId, ErrorKind>> ended;
  for (const auto& [name, pool] : pools_) {
    if (CountWaiting(pool) == 0) {
      continue;
    }
    const bool hasTarget = HasTarget(pool, aNow);
    for (const auto* queue : { &pool.urgent_, &pool.normal_ }) {
      for (const auto id : *queue) {
        const auto& request = requests_.at(id);
        const auto mayAccept = [&](const std::string& aVm) {
          return !request.refusedByVms_.contains(aVm) &&
                 IsUsable(targets_.at(aVm), aNow);
        };
        if (request.input_.deadline_ <= aNow) {
          ended.emplace_back(id, ErrorKind::DeadlineTooShort);
        } else if (!hasTarget &&
                   aNow - request.waitingSince_ >= settings_.noTargetWait_) {
          ended.emplace_back(id,
                             request.refusedByTarget_ ? ErrorKind::TargetRefused
                                                      : ErrorKind::NoTarget);
        } else if (hasTarget && !request.refusedByVms_.empty() &&
                   std::none_of(
                     pool.vms_.begin(), pool.vms_.end(), mayAccept)) {
          ended.emplace_back(id, ErrorKind::TargetRefused);
        }
      }
    }
  }
  for (const auto& [id, kind] : ended) {
    EndRequest(id, kind, kMinRetryAfter, aOut);
  }
}

} // namespace acaciahill
