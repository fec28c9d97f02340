#include "relay/relay_impl_base.h"

#include "kernel/error_func.h"
#include "kernel/os_clock_func.h"
#include "relay/http_framing_func.h"
#include "state/fleet_base.h"

// Handling of a caller's request: claim, routing, attempts at targets, answer.

namespace acaciahill {

namespace {

// Interval at which a queued request checks whether its caller has hung up.
constexpr Millis kCallerCheckInterval{ 100 };
constexpr double kMsPerSecond = 1000.0;

bool
IsCapacityRefusal(ErrorKind aKind)
{
  return aKind == ErrorKind::QueueFull || aKind == ErrorKind::CallerLimit ||
         aKind == ErrorKind::DeadlineTooShort || aKind == ErrorKind::NoTarget;
}

/// The target's answer without the headers that are not meant for the caller.
HttpAnswer
ToCallerAnswer(HttpAnswer aAnswer, bool aIsHeadRequest)
{
  auto headers = WithoutNames(WithoutHopByHop(aAnswer.headers_),
                              { "Acaciahill-Epoch",
                                "Acaciahill-Draining",
                                "Acaciahill-Incarnation",
                                "Acaciahill-Outcome",
                                "Acaciahill-Request-Id" });
  if (aIsHeadRequest || aAnswer.status_ == 304) {
    if (const auto length = FindHeader(aAnswer.headers_, "Content-Length")) {
      headers.push_back({ "Content-Length", std::string(*length) });
    }
  }
  aAnswer.headers_ = std::move(headers);
  return aAnswer;
}

} // namespace

std::optional<TargetEcho>
detail::ReadEcho(const std::string& aVm,
                 const HttpHeaders& aHeaders,
                 MonotonicTime aSentAt)
{
  const auto epoch = FindHeader(aHeaders, "Acaciahill-Epoch");
  const auto number = epoch ? ParseNumber(*epoch) : std::nullopt;
  if (!number) {
    return std::nullopt;
  }
  const auto draining = FindHeader(aHeaders, "Acaciahill-Draining");
  const auto incarnation = FindHeader(aHeaders, "Acaciahill-Incarnation");
  const bool isDraining =
    draining && (IsSameName(*draining, "yes") ||
                 IsSameName(*draining, "true") || *draining == "1");
  return TargetEcho{ aVm,
                     *number,
                     isDraining,
                     incarnation ? ParseNumber(*incarnation).value_or(0) : 0,
                     aSentAt };
}

std::optional<Error>
Relay::Impl::CheckHead(const HttpRequest& aRequest)
{
  const auto spec = ReadCallSpec(aRequest, "-", settings_.maxDeadline_);
  if (!IsOk(spec)) {
    return ErrorOf(spec);
  }
  // Only callers that sent Expect: 100-continue are refused before the body.
  // The others send it anyway; reading it keeps their connections usable.
  if (aRequest.expectsContinue_) {
    if (const auto kind = Precheck(ValueOf(spec))) {
      return Error{ *kind, {} };
    }
  }
  return std::nullopt;
}

void
Relay::Impl::OnRefused(ErrorKind aKind)
{
  metrics_.Count(
    "acaciahill_relay_refused_total",
    { { "pool", "" }, { "kind", std::string(AnswerOf(aKind).name_) } });
}

std::optional<ErrorKind>
Relay::Impl::Precheck(const CallSpec& aSpec)
{
  const std::lock_guard lock(mutex_);
  return router_.Precheck(aSpec.pool_, aSpec.caller_);
}

CallerReply
Relay::Impl::Handle(HttpRequest aRequest, const CallerLink& aLink)
{
  auto activeRequest = std::make_shared<ActiveRequest>(*this);
  Call call;
  call.request_ = std::move(aRequest);
  call.link_ = aLink;
  call.arrived_ = MonotonicNow();
  HttpAnswer answer;
  try {
    answer = Serve(call);
  } catch (const std::exception& error) {
    Cancel(call);
    if (!call.openAttemptVm_.empty()) {
      Apply(AttemptFinished{
        call.id_, call.openAttemptVm_, AttemptEnd::Lost, 0, Millis{ 0 } });
    }
    answer = AnswerOfError({ ErrorKind::Internal, error.what() }, Millis{ 0 });
  }
  {
    const std::lock_guard lock(mutex_);
    waiters_.erase(call.id_);
  }
  CountAnswer(call, answer);
  activeRequest->lease_ = std::move(call.answerLease_);
  return { std::move(answer), std::move(activeRequest) };
}

HttpAnswer
Relay::Impl::Serve(Call& aCall)
{
  auto spec =
    ReadCallSpec(aCall.request_, aCall.link_.peerIp_, settings_.maxDeadline_);
  if (!IsOk(spec)) {
    return AnswerOfError(ErrorOf(spec), Millis{ 0 });
  }
  aCall.spec_ = ValueOf(std::move(spec));
  aCall.id_ = nextId_++;
  aCall.requestId_ = requestIdPrefix_ + std::to_string(aCall.id_);
  if (const auto header = FindHeader(aCall.request_.headers_, "traceparent")) {
    aCall.parent_ = ParseTraceparent(*header);
  }
  aCall.context_ = MakeChildContext(aCall.parent_);
  {
    const std::lock_guard lock(mutex_);
    const auto row = rows_.find(aCall.spec_.pool_);
    const auto poolDeadline =
      row == rows_.end() ? Millis{ 1 } : Millis{ row->second.deadlineMs_ };
    const auto wanted = aCall.spec_.deadline_ > Millis{ 0 }
                          ? aCall.spec_.deadline_
                          : poolDeadline;
    aCall.deadline_ = aCall.arrived_ + std::min(wanted, settings_.maxDeadline_);
    waiters_.emplace(aCall.id_, &aCall.waiter_);
  }
  if (aCall.spec_.key_.empty()) {
    return Route(aCall);
  }
  if (auto answer = BeginClaim(aCall)) {
    return *answer;
  }
  try {
    auto answer = Route(aCall);
    FinishClaim(aCall);
    return answer;
  } catch (...) {
    FinishClaim(aCall);
    throw;
  }
}

std::optional<HttpAnswer>
Relay::Impl::BeginClaim(Call& aCall)
{
  if (const auto kind = Precheck(aCall.spec_)) {
    return Refuse(aCall, *kind, Millis{ 0 });
  }
  const auto fingerprint = FingerprintOf(aCall.request_);
  const auto reply =
    claims_.Begin(ClaimKeyOf(aCall.spec_), fingerprint, aCall.deadline_);
  if (const auto* granted = std::get_if<ClaimGranted>(&reply)) {
    aCall.claimOwner_ = granted->owner_;
    return std::nullopt;
  }
  if (const auto* error = std::get_if<Error>(&reply)) {
    return AnswerOfError(*error, Millis{ 0 });
  }
  return AnswerOfClaim(std::get<Claim>(reply), fingerprint);
}

std::optional<HttpAnswer>
Relay::Impl::AnswerOfClaim(const Claim& aClaim,
                           std::uint64_t aFingerprint) const
{
  if (aClaim.fingerprint_ != aFingerprint) {
    return AnswerOfError({ ErrorKind::ClaimMismatch, {} }, Millis{ 0 });
  }
  if (aClaim.phase_ == ClaimPhase::Running) {
    return AnswerOfError({ ErrorKind::ClaimRunning, {} }, Millis{ 0 });
  }
  if (aClaim.phase_ == ClaimPhase::Unknown) {
    return AnswerOfError({ ErrorKind::ClaimUnknown, {} }, Millis{ 0 });
  }
  HttpAnswer answer;
  answer.status_ = aClaim.answerStatus_;
  answer.reason_ = "Replayed";
  if (aClaim.answerKept_) {
    answer.body_ = aClaim.answerBody_;
    if (!aClaim.answerType_.empty()) {
      answer.headers_.push_back({ "Content-Type", aClaim.answerType_ });
    }
  } else {
    answer.headers_.push_back({ "Acaciahill-Outcome", "done" });
  }
  return answer;
}

void
Relay::Impl::FinishClaim(const Call& aCall)
{
  EndClaim end;
  end.key_ = ClaimKeyOf(aCall.spec_);
  end.owner_ = aCall.claimOwner_;
  if (!aCall.lastDeliveredEnd_) {
    end.end_ = ClaimEnd::NotRun;
  } else if (*aCall.lastDeliveredEnd_ != AttemptEnd::Answered) {
    end.end_ = ClaimEnd::Unknown;
  } else {
    end.end_ = ClaimEnd::Completed;
    end.answerStatus_ = aCall.answer_.status_;
    end.answerType_ = std::string(
      FindHeader(aCall.answer_.headers_, "Content-Type").value_or(""));
    end.answerKept_ = aCall.answer_.body_.size() <= kClaimAnswerLimit;
    if (end.answerKept_) {
      end.answerBody_ = aCall.answer_.body_;
    }
  }
  claims_.End(end);
}

HttpAnswer
Relay::Impl::Route(Call& aCall)
{
  const auto& spec = aCall.spec_;
  Apply(RequestArrived{ aCall.id_,
                        spec.pool_,
                        spec.caller_,
                        aCall.deadline_,
                        spec.repeatable_,
                        spec.urgent_ });
  for (;;) {
    const auto action = NextAction(aCall);
    if (const auto* dispatch = std::get_if<DispatchRequest>(&action)) {
      RunAttempt(aCall, *dispatch);
    } else if (const auto* refusal = std::get_if<RefuseRequest>(&action)) {
      return Refuse(aCall, refusal->kind_, refusal->retryAfter_);
    } else {
      return ToCallerAnswer(aCall.answer_, aCall.request_.method_ == "HEAD");
    }
  }
}

RouterAction
Relay::Impl::NextAction(Call& aCall)
{
  auto& waiter = aCall.waiter_;
  for (;;) {
    {
      std::unique_lock lock(mutex_);
      waiter.changed_.wait_for(lock, kCallerCheckInterval, [&waiter] {
        return !waiter.actions_.empty();
      });
      if (!waiter.actions_.empty()) {
        auto action = std::move(waiter.actions_.front());
        waiter.actions_.pop_front();
        return action;
      }
    }
    if (!aCall.cancelled_ && (IsHungUp(aCall.link_.fd_) || abort_.IsRaised())) {
      Cancel(aCall);
    }
  }
}

void
Relay::Impl::Cancel(Call& aCall)
{
  aCall.cancelled_ = true;
  Apply(RequestCancelled{ aCall.id_ });
}

void
Relay::Impl::RunAttempt(Call& aCall, const DispatchRequest& aDispatch)
{
  const auto start = MonotonicNow();
  aCall.openAttemptVm_ = aDispatch.vm_;
  if (!aCall.queueTraced_) {
    aCall.queueTraced_ = true;
    metrics_.Count("acaciahill_relay_admitted_total",
                   { { "pool", aCall.spec_.pool_ } });
    Trace("relay.queue",
          MakeChildContext(aCall.context_),
          aCall.context_.spanId_,
          aCall.arrived_,
          true,
          { { "pool", aCall.spec_.pool_ } });
  } else {
    metrics_.Count("acaciahill_relay_retried_total",
                   { { "pool", aCall.spec_.pool_ } });
  }
  const auto context = MakeChildContext(aCall.context_);
  TargetOutcome outcome;
  try {
    outcome = SendToTarget(aCall, aDispatch, context);
  } catch (const std::exception& error) {
    // Part of the request may have been sent.
    outcome = { AttemptEnd::Lost, {}, start, error.what() };
  }
  const auto now = MonotonicNow();
  if (const auto echo = detail::ReadEcho(
        aDispatch.vm_, outcome.answer_.headers_, outcome.sentAt_)) {
    echoes_.OnEcho(*echo);
  }
  aCall.lastAttemptDetail_ = outcome.detail_;
  aCall.refusedByTarget_ = outcome.end_ == AttemptEnd::TargetRefused;
  if (outcome.end_ != AttemptEnd::NotSent &&
      outcome.end_ != AttemptEnd::Expired && !aCall.refusedByTarget_) {
    aCall.lastDeliveredEnd_ = outcome.end_;
  }
  AttemptFinished finished{
    aCall.id_, aDispatch.vm_, outcome.end_, outcome.answer_.status_, now - start
  };
  if (outcome.end_ == AttemptEnd::Answered) {
    aCall.answer_ = std::move(outcome.answer_);
  }
  Trace("relay.attempt",
        context,
        aCall.context_.spanId_,
        start,
        outcome.end_ == AttemptEnd::Answered,
        { { "vm", aDispatch.vm_ },
          { "attempt", std::to_string(aDispatch.attempt_) },
          { "status", std::to_string(finished.status_) },
          { "detail", aCall.lastAttemptDetail_ } });
  aCall.openAttemptVm_.clear();
  Apply(finished);
}

TargetOutcome
Relay::Impl::SendToTarget(Call& aCall,
                          const DispatchRequest& aDispatch,
                          const TraceContext& aContext)
{
  auto lease = std::make_shared<BufferLease>(budget_, false);
  TargetAttempt attempt;
  attempt.address_ = aDispatch.address_;
  attempt.makeRequest_ = [&](MonotonicTime aNow) {
    return MakeTargetRequest(aCall, aDispatch, aContext, aNow);
  };
  attempt.body_ = aCall.request_.body_;
  attempt.requestId_ = aCall.requestId_;
  attempt.isHeadRequest_ = aCall.request_.method_ == "HEAD";
  attempt.repeatable_ = aCall.spec_.repeatable_;
  attempt.timeout_ = aDispatch.timeout_;
  attempt.writeIfAllowed_ = [&](const std::function<void()>& aWrite) {
    const std::lock_guard lock(sendMutex_);
    const auto allowed = allowedTargets_.find(aDispatch.vm_);
    if (allowed == allowedTargets_.end() ||
        allowed->second.epoch_ != aDispatch.epoch_ ||
        allowed->second.address_ != aDispatch.address_ ||
        allowed->second.validUntil_ <= MonotonicNow()) {
      return false;
    }
    aWrite();
    return true;
  };
  attempt.callerFd_ = aCall.cancelled_ ? -1 : aCall.link_.fd_;
  attempt.onCallerGone_ = [&] { Cancel(aCall); };
  auto outcome = targets_.Send(attempt, *lease);
  if (outcome.end_ == AttemptEnd::Answered) {
    aCall.answerLease_ = std::move(lease);
  }
  return outcome;
}

HttpRequest
Relay::Impl::MakeTargetRequest(const Call& aCall,
                               const DispatchRequest& aDispatch,
                               const TraceContext& aContext,
                               MonotonicTime aNow) const
{
  HttpRequest request;
  request.method_ = aCall.request_.method_;
  request.target_ = aCall.spec_.path_;
  request.headers_ = WithoutNames(WithoutHopByHop(aCall.request_.headers_),
                                  { "Expect",
                                    "Acaciahill-Outcome",
                                    "Acaciahill-Epoch",
                                    "Acaciahill-Draining",
                                    "Acaciahill-Incarnation",
                                    "Acaciahill-Deadline-Ms",
                                    "Acaciahill-Request-Id",
                                    "traceparent" });
  auto& headers = request.headers_;
  if (!FindHeader(headers, "Host")) {
    headers.insert(headers.begin(), { "Host", aDispatch.address_ });
  }
  const auto left = std::max(aDispatch.timeout_ - aNow, Millis{ 1 });
  headers.push_back({ "Acaciahill-Epoch", std::to_string(aDispatch.epoch_) });
  headers.push_back({ "Acaciahill-Deadline-Ms", std::to_string(left.count()) });
  headers.push_back({ "Acaciahill-Request-Id", aCall.requestId_ });
  headers.push_back({ "traceparent", FormatTraceparent(aContext) });
  return request;
}

HttpAnswer
Relay::Impl::Refuse(const Call& aCall, ErrorKind aKind, Millis aRetryAfter)
{
  const auto& pool = aCall.spec_.pool_;
  // The name of a pool that may not exist is the caller's: as a label it would
  // let callers make any number of series.
  const bool isKnown =
    aKind != ErrorKind::UnknownPool && aKind != ErrorKind::ControlUnreachable;
  metrics_.Count("acaciahill_relay_refused_total",
                 { { "pool", isKnown ? pool : "" },
                   { "kind", std::string(AnswerOf(aKind).name_) } });
  if (IsCapacityRefusal(aKind)) {
    const std::lock_guard lock(mutex_);
    ++refused_[pool];
  }
  std::string detail(AnswerOf(aKind).text_);
  if (!aCall.lastAttemptDetail_.empty()) {
    detail += " (" + aCall.lastAttemptDetail_ + ")";
  }
  return AnswerOfError({ aKind, detail }, aRetryAfter);
}

void
Relay::Impl::Trace(const std::string& aName,
                   const TraceContext& aContext,
                   const std::string& aParentSpan,
                   MonotonicTime aStart,
                   bool aOk,
                   std::vector<std::pair<std::string, std::string>> aAttributes)
{
  const auto took = MonotonicNow() - aStart;
  traces_.Write(
    { aName,
      aContext,
      aParentSpan,
      aStart,
      std::chrono::duration_cast<std::chrono::microseconds>(took).count(),
      aOk,
      std::move(aAttributes) });
}

void
Relay::Impl::CountAnswer(const Call& aCall, const HttpAnswer& aAnswer)
{
  const bool isAnswered = aCall.lastDeliveredEnd_ == AttemptEnd::Answered;
  if (isAnswered) {
    const MetricLabels pool{ { "pool", aCall.spec_.pool_ } };
    metrics_.Count(
      "acaciahill_relay_answers_total",
      { { "pool", aCall.spec_.pool_ },
        { "class", std::to_string(aAnswer.status_ / 100) + "xx" } });
    metrics_.Observe(
      "acaciahill_relay_latency_seconds",
      pool,
      static_cast<double>((MonotonicNow() - aCall.arrived_).count()) /
        kMsPerSecond);
  }
  if (aCall.id_ != 0) {
    Trace("relay.request",
          aCall.context_,
          aCall.parent_ ? aCall.parent_->spanId_ : std::string(),
          aCall.arrived_,
          isAnswered,
          { { "pool", aCall.spec_.pool_ },
            { "request_id", aCall.requestId_ },
            { "status", std::to_string(aAnswer.status_) } });
  }
}

} // namespace acaciahill
