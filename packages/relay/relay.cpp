#include "relay/relay_base.h"

#include "kernel/error_func.h"
#include "kernel/os_clock_func.h"
#include "relay/buffer_budget_base.h"
#include "relay/call_spec_type.h"
#include "relay/caller_server_base.h"
#include "relay/http_framing_func.h"
#include "relay/target_client_base.h"
#include "routing/router_base.h"
#include "state/fleet_base.h"

#include <atomic>
#include <deque>
#include <random>
#include <unordered_map>

namespace acaciahill {

namespace {

constexpr Millis kTickInterval{ 20 };
constexpr Millis kHousekeepingInterval{ 500 };
// How often a waiting request looks whether its caller is still there.
constexpr Millis kCallerCheckInterval{ 100 };
// Longest time for which a stop, once every request is answered, waits for
// callers to close their connections.
constexpr Millis kCloseGrace{ 1000 };
constexpr double kMsPerSecond = 1000.0;
constexpr std::string_view kProbePath = "/.well-known/acaciahill";

MonotonicTime
Later(MonotonicTime aNow, Millis aBy)
{
  return aNow + std::max(aBy, Millis{ 0 });
}

std::uint64_t
RandomSeed()
{
  std::random_device device;
  return (std::uint64_t{ device() } << 32U) | device();
}

bool
IsCapacityKind(ErrorKind aKind)
{
  return aKind == ErrorKind::QueueFull || aKind == ErrorKind::CallerLimit ||
         aKind == ErrorKind::DeadlineTooShort || aKind == ErrorKind::NoTarget;
}

std::optional<TargetEcho>
ReadEcho(const std::string& aVm,
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

/// The target's answer as the caller gets it.
HttpAnswer
ForCaller(HttpAnswer aAnswer, bool aToHead)
{
  auto headers = WithoutNames(WithoutHopByHop(aAnswer.headers_),
                              { "Acaciahill-Epoch",
                                "Acaciahill-Draining",
                                "Acaciahill-Incarnation",
                                "Acaciahill-Outcome",
                                "Acaciahill-Request-Id" });
  if (aToHead || aAnswer.status_ == 304) {
    if (const auto length = FindHeader(aAnswer.headers_, "Content-Length")) {
      headers.push_back({ "Content-Length", std::string(*length) });
    }
  }
  aAnswer.headers_ = std::move(headers);
  return aAnswer;
}

} // namespace

struct Relay::Impl : public CallerHandler
{
  /// Where the thread of a request waits for the router's decisions.
  struct Waiter
  {
    std::condition_variable changed_;
    std::deque<RouterAction> actions_;
  };

  /// One request of a caller, from its arrival to its answer.
  struct Call
  {
    HttpRequest request_;
    CallerLink link_;
    CallSpec spec_;
    RequestId id_ = 0;
    std::string requestId_;
    MonotonicTime arrived_{};
    MonotonicTime deadline_{};
    std::optional<TraceContext> parent_;
    TraceContext context_;
    Waiter waiter_;
    bool cancelled_ = false;
    bool queueTraced_ = false;
    /// How the last sending ended that may have reached a target.
    std::optional<AttemptEnd> delivered_;
    bool refusedByTarget_ = false;
    std::string lastDetail_;
    HttpAnswer answer_;
    std::shared_ptr<BufferLease> answerLease_;
    std::string claimOwner_;
    /// VM of an attempt whose end the router has not been told yet.
    std::string openAttempt_;
  };

  /// Counts the requests that a stop waits for: those that came before it.
  struct Served
  {
    explicit Served(Impl& aImpl)
      : impl_(aImpl)
    {
      const std::lock_guard lock(impl_.mutex_);
      counted_ = !impl_.stopping_;
      impl_.served_ += counted_ ? 1 : 0;
    }
    Served(const Served&) = delete;
    Served& operator=(const Served&) = delete;
    ~Served()
    {
      lease_.reset();
      const std::lock_guard lock(impl_.mutex_);
      impl_.served_ -= counted_ ? 1 : 0;
      impl_.servedChanged_.notify_all();
    }

    Impl& impl_;
    bool counted_ = false;
    std::shared_ptr<BufferLease> lease_;
  };

  Impl(RelaySettings aSettings,
       ClaimGate& aClaims,
       TargetEchoSink& aEchoes,
       TraceSink& aTraces,
       Metrics& aMetrics);

  std::optional<Error> CheckHead(const HttpRequest& aRequest) override;
  CallerReply Handle(HttpRequest aRequest, const CallerLink& aLink) override;
  void OnRefused(ErrorKind aKind) override;

  /// Passes an input to the router and its actions to their requests.
  void Apply(const RouterInput& aInput);
  std::optional<ErrorKind> Precheck(const CallSpec& aSpec);
  HttpAnswer Serve(Call& aCall);
  HttpAnswer Route(Call& aCall);
  std::optional<HttpAnswer> BeginClaim(Call& aCall);
  void FinishClaim(const Call& aCall);
  std::optional<HttpAnswer> AnswerOfClaim(const Claim& aClaim,
                                          std::uint64_t aFingerprint) const;
  RouterAction NextAction(Call& aCall);
  void Cancel(Call& aCall);
  void Attempt(Call& aCall, const DispatchRequest& aDispatch);
  TargetOutcome SendTo(Call& aCall,
                       const DispatchRequest& aDispatch,
                       const TraceContext& aContext);
  HttpRequest RequestFor(const Call& aCall,
                         const DispatchRequest& aDispatch,
                         const TraceContext& aContext,
                         MonotonicTime aNow) const;
  HttpAnswer Refuse(const Call& aCall, ErrorKind aKind, Millis aRetryAfter);
  void Trace(const std::string& aName,
             const TraceContext& aContext,
             const std::string& aParentSpan,
             MonotonicTime aStart,
             bool aOk,
             std::vector<std::pair<std::string, std::string>> aAttributes);
  void CountAnswer(const Call& aCall, const HttpAnswer& aAnswer);
  void RunTicker();
  void RunMaintenance();
  void Stop(Millis aGrace);

  RelaySettings settings_;
  ClaimGate& claims_;
  TargetEchoSink& echoes_;
  TraceSink& traces_;
  Metrics& metrics_;
  BufferBudget budget_;
  StickyEvent stop_;
  StickyEvent abort_;
  std::string requestIdPrefix_;
  std::atomic<RequestId> nextId_{ 1 };

  /// Guards the router, the waiters and the counts below.
  mutable std::mutex mutex_;
  RouterCore router_;
  std::unordered_map<RequestId, Waiter*> waiters_;
  std::map<std::string, PoolRow> rows_;
  std::map<std::string, std::int64_t> refused_;
  std::int64_t served_ = 0;
  bool stopping_ = false;
  bool stopped_ = false;
  std::condition_variable servedChanged_;
  std::condition_variable tickerChanged_;

  /// Held while a request's first bytes are written, which does not block, so
  /// that a change of the targets is complete when it returns.
  std::mutex sendGate_;
  std::map<std::string, TargetView> allowed_;

  TargetClient targets_;
  CallerServer server_;
  std::thread ticker_;
};

Relay::Impl::Impl(RelaySettings aSettings,
                  ClaimGate& aClaims,
                  TargetEchoSink& aEchoes,
                  TraceSink& aTraces,
                  Metrics& aMetrics)
  : settings_(std::move(aSettings))
  , claims_(aClaims)
  , echoes_(aEchoes)
  , traces_(aTraces)
  , metrics_(aMetrics)
  , budget_(settings_.maxBufferedBytes_)
  , requestIdPrefix_(settings_.node_ + "-" +
                     MakeChildContext(std::nullopt).spanId_ + "-")
  , router_([this] {
    RouterSettings router;
    router.zone_ = settings_.zone_;
    router.seed_ = RandomSeed();
    return router;
  }())
  , targets_(
      [this] {
        TargetClientSettings client;
        client.limits_ = { static_cast<std::size_t>(settings_.maxHeaderBytes_),
                           static_cast<std::size_t>(
                             settings_.maxAnswerBytes_) };
        client.connectTimeout_ = settings_.connectTimeout_;
        return client;
      }(),
      abort_)
  , server_(settings_, *this, budget_, stop_, abort_)
{
}

void
Relay::Impl::Apply(const RouterInput& aInput)
{
  const std::lock_guard lock(mutex_);
  for (auto& action : router_.Step(aInput, MonotonicNow())) {
    const auto id =
      std::visit([](const auto& aAction) { return aAction.id_; }, action);
    const auto waiter = waiters_.find(id);
    if (waiter != waiters_.end()) {
      waiter->second->actions_.push_back(std::move(action));
      waiter->second->changed_.notify_all();
    }
  }
  if (router_.Waiting() > 0) {
    tickerChanged_.notify_all();
  }
}

std::optional<Error>
Relay::Impl::CheckHead(const HttpRequest& aRequest)
{
  const auto spec = ReadCallSpec(aRequest, "-", settings_.maxDeadline_);
  if (!IsOk(spec)) {
    return ErrorOf(spec);
  }
  // Only a caller that asks first is spared the body; the others have sent it
  // already, and keep their connections by its being read.
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
  auto served = std::make_shared<Served>(*this);
  Call call;
  call.request_ = std::move(aRequest);
  call.link_ = aLink;
  call.arrived_ = MonotonicNow();
  HttpAnswer answer;
  try {
    answer = Serve(call);
  } catch (const std::exception& error) {
    Cancel(call);
    if (!call.openAttempt_.empty()) {
      Apply(AttemptFinished{
        call.id_, call.openAttempt_, AttemptEnd::Lost, 0, Millis{ 0 } });
    }
    answer = AnswerOfError({ ErrorKind::Internal, error.what() }, Millis{ 0 });
  }
  {
    const std::lock_guard lock(mutex_);
    waiters_.erase(call.id_);
  }
  CountAnswer(call, answer);
  served->lease_ = std::move(call.answerLease_);
  return { std::move(answer), std::move(served) };
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
    const auto usual =
      row == rows_.end() ? Millis{ 1 } : Millis{ row->second.deadlineMs_ };
    const auto wanted =
      aCall.spec_.deadline_ > Millis{ 0 } ? aCall.spec_.deadline_ : usual;
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
  if (!aCall.delivered_) {
    end.end_ = ClaimEnd::NotRun;
  } else if (*aCall.delivered_ != AttemptEnd::Answered) {
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
      Attempt(aCall, *dispatch);
    } else if (const auto* refusal = std::get_if<RefuseRequest>(&action)) {
      return Refuse(aCall, refusal->kind_, refusal->retryAfter_);
    } else {
      return ForCaller(aCall.answer_, aCall.request_.method_ == "HEAD");
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
Relay::Impl::Attempt(Call& aCall, const DispatchRequest& aDispatch)
{
  const auto start = MonotonicNow();
  aCall.openAttempt_ = aDispatch.vm_;
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
    outcome = SendTo(aCall, aDispatch, context);
  } catch (const std::exception& error) {
    // Some of it may have been sent.
    outcome = { AttemptEnd::Lost, {}, start, error.what() };
  }
  const auto now = MonotonicNow();
  if (const auto echo =
        ReadEcho(aDispatch.vm_, outcome.answer_.headers_, outcome.sentAt_)) {
    echoes_.OnEcho(*echo);
  }
  aCall.lastDetail_ = outcome.detail_;
  aCall.refusedByTarget_ = outcome.end_ == AttemptEnd::TargetRefused;
  if (outcome.end_ != AttemptEnd::NotSent &&
      outcome.end_ != AttemptEnd::Expired && !aCall.refusedByTarget_) {
    aCall.delivered_ = outcome.end_;
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
          { "detail", aCall.lastDetail_ } });
  aCall.openAttempt_.clear();
  Apply(finished);
}

TargetOutcome
Relay::Impl::SendTo(Call& aCall,
                    const DispatchRequest& aDispatch,
                    const TraceContext& aContext)
{
  auto lease = std::make_shared<BufferLease>(budget_, false);
  TargetAttempt attempt;
  attempt.address_ = aDispatch.address_;
  attempt.makeRequest_ = [&](MonotonicTime aNow) {
    return RequestFor(aCall, aDispatch, aContext, aNow);
  };
  attempt.body_ = aCall.request_.body_;
  attempt.requestId_ = aCall.requestId_;
  attempt.toHead_ = aCall.request_.method_ == "HEAD";
  attempt.repeatable_ = aCall.spec_.repeatable_;
  attempt.timeout_ = aDispatch.timeout_;
  attempt.permission_ = [&](const std::function<void()>& aWrite) {
    const std::lock_guard gate(sendGate_);
    const auto allowed = allowed_.find(aDispatch.vm_);
    if (allowed == allowed_.end() ||
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
Relay::Impl::RequestFor(const Call& aCall,
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
  const bool isKnown = aKind != ErrorKind::UnknownPool;
  metrics_.Count("acaciahill_relay_refused_total",
                 { { "pool", isKnown ? pool : "" },
                   { "kind", std::string(AnswerOf(aKind).name_) } });
  if (IsCapacityKind(aKind)) {
    const std::lock_guard lock(mutex_);
    ++refused_[pool];
  }
  std::string detail(AnswerOf(aKind).text_);
  if (!aCall.lastDetail_.empty()) {
    detail += " (" + aCall.lastDetail_ + ")";
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
  const bool isAnswered = aCall.delivered_ == AttemptEnd::Answered;
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

void
Relay::Impl::RunTicker()
{
  auto nextHousekeeping = MonotonicNow();
  std::unique_lock lock(mutex_);
  while (!stopped_) {
    const bool waits = router_.Waiting() > 0;
    lock.unlock();
    if (waits) {
      Apply(RouterTick{});
    }
    if (MonotonicNow() >= nextHousekeeping) {
      RunMaintenance();
      nextHousekeeping = MonotonicNow() + kHousekeepingInterval;
    }
    lock.lock();
    if (router_.Waiting() > 0) {
      // Not woken early: a busy node would tick with each arrival.
      tickerChanged_.wait_for(lock, kTickInterval, [this] { return stopped_; });
    } else {
      tickerChanged_.wait_until(lock, nextHousekeeping, [this] {
        return stopped_ || router_.Waiting() > 0;
      });
    }
  }
}

void
Relay::Impl::RunMaintenance()
{
  targets_.CloseOldIdle(MonotonicNow());
  std::map<std::string, RouterPoolLoad> loads;
  {
    const std::lock_guard lock(mutex_);
    loads = router_.Loads();
  }
  for (const auto& [pool, load] : loads) {
    metrics_.Set("acaciahill_relay_in_flight",
                 { { "pool", pool } },
                 static_cast<double>(load.inFlight_));
    metrics_.Set("acaciahill_relay_queued",
                 { { "pool", pool } },
                 static_cast<double>(load.queued_));
  }
  metrics_.Set(
    "acaciahill_relay_buffered_bytes", {}, static_cast<double>(budget_.Used()));
}

void
Relay::Impl::Stop(Millis aGrace)
{
  const auto until = Later(MonotonicNow(), aGrace);
  {
    const std::lock_guard lock(mutex_);
    if (stopping_) {
      return;
    }
    stopping_ = true;
  }
  // Raised first, so that the refusals of waiting requests already close their
  // connections.
  stop_.Raise();
  Apply(RouterStop{});
  {
    std::unique_lock lock(mutex_);
    servedChanged_.wait_until(lock, until, [this] { return served_ == 0; });
  }
  server_.StopListening();
  server_.WaitForEnd(std::min(until, MonotonicNow() + kCloseGrace));
  abort_.Raise();
  server_.Join();
  {
    const std::lock_guard lock(mutex_);
    stopped_ = true;
    tickerChanged_.notify_all();
  }
  if (ticker_.joinable()) {
    ticker_.join();
  }
  targets_.CloseAllIdle();
}

Relay::Relay(RelaySettings aSettings,
             ClaimGate& aClaims,
             TargetEchoSink& aEchoes,
             TraceSink& aTraces,
             Metrics& aMetrics)
  : impl_(std::make_unique<Impl>(std::move(aSettings),
                                 aClaims,
                                 aEchoes,
                                 aTraces,
                                 aMetrics))
{
}

Relay::~Relay()
{
  impl_->Stop(Millis{ 0 });
}

Result<Done>
Relay::Start()
{
  auto started = impl_->server_.Start();
  if (IsOk(started)) {
    impl_->ticker_ = std::thread([this] { impl_->RunTicker(); });
  }
  return started;
}

std::uint16_t
Relay::Port() const
{
  return impl_->server_.Port();
}

void
Relay::SetPools(const PoolsChanged& aPools)
{
  {
    const std::lock_guard lock(impl_->mutex_);
    impl_->rows_.clear();
    for (const auto& row : aPools.rows_) {
      impl_->rows_.emplace(row.pool_, row);
    }
  }
  // Series of pools that were removed must not stay.
  impl_->metrics_.ForgetGauges("acaciahill_relay_in_flight");
  impl_->metrics_.ForgetGauges("acaciahill_relay_queued");
  impl_->Apply(aPools);
}

void
Relay::SetTargets(const TargetsChanged& aTargets)
{
  {
    const std::lock_guard gate(impl_->sendGate_);
    impl_->allowed_.clear();
    for (const auto& target : aTargets.targets_) {
      impl_->allowed_.emplace(target.vm_, target);
    }
  }
  impl_->Apply(aTargets);
}

std::map<std::string, std::uint32_t>
Relay::InFlight() const
{
  const std::lock_guard lock(impl_->mutex_);
  return impl_->router_.InFlight(MonotonicNow());
}

std::map<std::string, RelayPoolLoad>
Relay::Loads() const
{
  const std::lock_guard lock(impl_->mutex_);
  std::map<std::string, RelayPoolLoad> loads;
  for (const auto& [pool, load] : impl_->router_.Loads()) {
    const auto refused = impl_->refused_.find(pool);
    loads.emplace(
      pool,
      RelayPoolLoad{ load.inFlight_,
                     load.queued_,
                     refused == impl_->refused_.end() ? 0 : refused->second });
  }
  return loads;
}

Result<Done>
Relay::Probe(const std::string& aVm,
             const std::string& aAddress,
             Millis aTimeout,
             bool aAnnounceNow)
{
  BufferLease lease(impl_->budget_, false);
  TargetAttempt attempt;
  attempt.address_ = aAddress;
  attempt.requestId_ =
    impl_->requestIdPrefix_ + std::to_string(impl_->nextId_++);
  attempt.makeRequest_ = [&](MonotonicTime) {
    HttpRequest request{ "HEAD",
                         std::string(kProbePath),
                         { { "Host", aAddress },
                           { "Acaciahill-Request-Id", attempt.requestId_ },
                           { "Connection", "close" } },
                         {},
                         false,
                         false };
    if (aAnnounceNow) {
      request.headers_.push_back({ "Acaciahill-Announce", "now" });
    }
    return request;
  };
  attempt.toHead_ = true;
  attempt.repeatable_ = true;
  attempt.timeout_ = MonotonicNow() + aTimeout;
  attempt.permission_ = [](const std::function<void()>& aWrite) {
    aWrite();
    return true;
  };
  attempt.ownConnection_ = true;
  const auto outcome = impl_->targets_.Send(attempt, lease);
  switch (outcome.end_) {
    case AttemptEnd::Answered:
    case AttemptEnd::TargetRefused:
      break;
    case AttemptEnd::TimedOut:
      return Error{ ErrorKind::Timeout, outcome.detail_ };
    case AttemptEnd::Malformed:
    case AttemptEnd::TooLarge:
      return Error{ ErrorKind::AnswerMalformed, outcome.detail_ };
    default:
      return Error{ ErrorKind::IoError, outcome.detail_ };
  }
  const auto echo = ReadEcho(aVm, outcome.answer_.headers_, outcome.sentAt_);
  if (!echo) {
    return Error{ ErrorKind::AnswerMalformed,
                  "the probe's answer has no Acaciahill-Epoch" };
  }
  impl_->echoes_.OnEcho(*echo);
  return Done{};
}

void
Relay::Stop(Millis aGrace)
{
  impl_->Stop(aGrace);
}

} // namespace acaciahill
