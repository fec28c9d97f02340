#pragma once

#include "http/buffer_budget_base.h"
#include "relay/call_spec_type.h"
#include "relay/caller_server_base.h"
#include "relay/relay_base.h"
#include "relay/target_client_base.h"
#include "routing/router_base.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <unordered_map>

// Internal to the relay; shared by relay.cpp (start, stop, maintenance) and
// relay_call.cpp (handling of a request).

namespace acaciahill {

namespace detail {

/// The assignment that a target reported in an answer; nullopt without one.
std::optional<TargetEcho>
ReadEcho(const std::string& aVm,
         const HttpHeaders& aHeaders,
         MonotonicTime aSentAt);

} // namespace detail

struct Relay::Impl : public CallerHandler
{
  /// Queue on which a request's thread waits for the router's decisions.
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
    /// How the last attempt that may have reached a target ended.
    std::optional<AttemptEnd> lastDeliveredEnd_;
    bool refusedByTarget_ = false;
    std::string lastAttemptDetail_;
    HttpAnswer answer_;
    std::shared_ptr<BufferLease> answerLease_;
    std::string claimOwner_;
    /// VM of an attempt whose end has not been reported to the router yet.
    std::string openAttemptVm_;
  };

  /// Counts a request for which Stop waits; only those that arrived before it.
  struct ActiveRequest
  {
    explicit ActiveRequest(Impl& aImpl)
      : impl_(aImpl)
    {
      const std::lock_guard lock(impl_.mutex_);
      counted_ = !impl_.stopping_;
      impl_.activeRequests_ += counted_ ? 1 : 0;
    }
    ActiveRequest(const ActiveRequest&) = delete;
    ActiveRequest& operator=(const ActiveRequest&) = delete;
    ~ActiveRequest()
    {
      lease_.reset();
      const std::lock_guard lock(impl_.mutex_);
      impl_.activeRequests_ -= counted_ ? 1 : 0;
      impl_.activeRequestsChanged_.notify_all();
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

  /// Passes an input to the router and queues its actions to their requests.
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
  void RunAttempt(Call& aCall, const DispatchRequest& aDispatch);
  TargetOutcome SendToTarget(Call& aCall,
                             const DispatchRequest& aDispatch,
                             const TraceContext& aContext);
  HttpRequest MakeTargetRequest(const Call& aCall,
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
  std::int64_t activeRequests_ = 0;
  bool stopping_ = false;
  bool stopped_ = false;
  std::condition_variable activeRequestsChanged_;
  std::condition_variable tickerChanged_;

  /// Guards allowedTargets_. Also held while a request's first bytes are
  /// written (without blocking), so that nothing is sent to a target once
  /// SetTargets has removed it.
  std::mutex sendMutex_;
  std::map<std::string, TargetView> allowedTargets_;

  TargetClient targets_;
  CallerServer server_;
  std::thread ticker_;
};

} // namespace acaciahill
