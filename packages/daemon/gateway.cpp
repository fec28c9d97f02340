#include "daemon/gateway_base.h"

#include "http/http_message_func.h"
#include "kernel/log_func.h"
#include "kernel/os_clock_func.h"
#include "platform/platform_requests_func.h"

#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace acaciahill {

namespace {

// Header of a forwarded request: the interface at which it arrived.
constexpr std::string_view kPlaneHeader = "Acaciahill-Plane";
constexpr std::string_view kCallersName = "callers";
constexpr std::string_view kControlName = "control";

constexpr Millis kRetryInterval{ 25 };
// Interval of checks for a new leader while a call is open. Most answers take a
// few tens of milliseconds.
constexpr Millis kLeaderCheckInterval{ 50 };
// Retry-After of refused requests; a change of leaders takes about this long.
constexpr Millis kRetryAfter{ 1000 };
constexpr std::int64_t kUnavailable = 503;
constexpr std::int64_t kServerError = 500;

std::string_view
PlaneName(Plane aPlane)
{
  return aPlane == Plane::Callers ? kCallersName : kControlName;
}

/// The request to send to another node, with the interface in a header and
/// without the headers of this connection.
HttpRequest
ForwardedRequest(Plane aPlane, HttpRequest aRequest)
{
  aRequest.headers_.push_back(
    { std::string(kPlaneHeader), std::string(PlaneName(aPlane)) });
  std::erase_if(aRequest.headers_, [](const HttpHeader& aHeader) {
    return aHeader.name_ == "Connection" ||
           aHeader.name_ == "Transfer-Encoding" ||
           aHeader.name_ == "Content-Length";
  });
  return aRequest;
}

/// The answer of another node, without the headers of its connection.
HttpAnswer
ForwardedAnswer(const HttpAnswer& aAnswer)
{
  HttpAnswer passed;
  passed.status_ = aAnswer.status_;
  passed.body_ = aAnswer.body_;
  for (const auto& header : aAnswer.headers_) {
    if (header.name_ == "Content-Type" || header.name_ == "Retry-After" ||
        header.name_ == "WWW-Authenticate") {
      passed.headers_.push_back(header);
    }
  }
  return passed;
}

/// The answer to a request of which an earlier call may have been accepted, or
/// may still arrive: a rejection of the last call says nothing about that one.
HttpAnswer
AnswerAfterCalls(bool aMaybeAccepted, HttpAnswer aAnswer)
{
  return aMaybeAccepted && aAnswer.status_ == kUnavailable
           ? platform::EncodeUnclear()
           : std::move(aAnswer);
}

} // namespace

struct Gateway::Pending
{
  Pending(boost::asio::io_context& aContext,
          Plane aPlane,
          HttpRequest aRequest,
          Answer aAnswer)
    : plane_(aPlane)
    , request_(std::move(aRequest))
    , answer_(std::move(aAnswer))
    , startedAt_(MonotonicNow())
    , timer_(aContext)
  {
  }

  Plane plane_;
  HttpRequest request_;
  Answer answer_;
  MonotonicTime startedAt_;
  boost::asio::steady_timer timer_;
  /// A leader may have accepted the request.
  bool maybeAccepted_ = false;
  bool isAnswered_ = false;
  /// Number of the last call to a leader, or of the pause after it.
  std::uint64_t call_ = 0;
};

Gateway::Gateway(boost::asio::io_context& aContext,
                 AsyncClient& aClient,
                 std::string aNode,
                 std::string aInternalPort,
                 Metrics& aMetrics,
                 WorkloadHost* aHost,
                 ReplicaReader* aReader,
                 LeaderSource aLeader,
                 GatewayTiming aTiming)
  : context_(aContext)
  , client_(aClient)
  , node_(std::move(aNode))
  , internalPort_(std::move(aInternalPort))
  , metrics_(aMetrics)
  , host_(aHost)
  , reader_(aReader)
  , leader_(std::move(aLeader))
  , timing_(aTiming)
{
}

void
Gateway::Handle(Plane aPlane, HttpRequest aRequest, Answer aAnswer)
{
  auto answer = WithMetrics(aPlane, std::move(aAnswer));
  if (auto local = AnswerLocally(aPlane, aRequest)) {
    answer(std::move(*local));
    return;
  }
  const bool isRead = aPlane == Plane::Callers && aRequest.method_ == "GET";
  const auto pending = std::make_shared<Pending>(
    context_, aPlane, std::move(aRequest), std::move(answer));
  const auto reader = isRead ? leader_.reader_() : std::string();
  if (reader.empty()) {
    SendToLeader(pending);
  } else {
    Read(pending, reader);
  }
}

std::optional<HttpAnswer>
Gateway::AnswerLocally(Plane aPlane, const HttpRequest& aRequest)
{
  if (reader_ == nullptr || host_ == nullptr || host_->IsActive()) {
    return std::nullopt;
  }
  return aPlane == Plane::Callers ? reader_->AnswerCaller(aRequest)
                                  : reader_->AnswerControl(aRequest);
}

void
Gateway::Read(const PendingPtr& aPending, const std::string& aReader)
{
  client_.Call(aReader + ":" + internalPort_,
               ForwardedRequest(aPending->plane_, aPending->request_),
               timing_.readTimeout_,
               [this, pending = aPending, aReader](const CallResult& aResult) {
                 const auto* answer = std::get_if<HttpAnswer>(&aResult);
                 if (answer == nullptr) {
                   leader_.onReaderFailure_(aReader);
                 }
                 if (answer != nullptr &&
                     !FindHeader(answer->headers_, kNotLeaderHeader)) {
                   Finish(pending, ForwardedAnswer(*answer));
                 } else {
                   SendToLeader(pending);
                 }
               });
}

Gateway::Answer
Gateway::WithMetrics(Plane aPlane, Answer aAnswer)
{
  return [this,
          plane = std::string(PlaneName(aPlane)),
          startedAt = MonotonicNow(),
          answer = std::move(aAnswer)](HttpAnswer aResponse) {
    constexpr double kMsPerS = 1000;
    metrics_.Count(
      "acaciahill_requests_total",
      { { "plane", plane }, { "status", std::to_string(aResponse.status_) } });
    metrics_.Observe("acaciahill_request_seconds",
                     { { "plane", plane } },
                     static_cast<double>((MonotonicNow() - startedAt).count()) /
                       kMsPerS);
    answer(std::move(aResponse));
  };
}

void
Gateway::HandleForwarded(const HttpRequest& aRequest, Answer aAnswer)
{
  const bool isControl =
    FindHeader(aRequest.headers_, kPlaneHeader) == kControlName;
  const auto plane = isControl ? Plane::Control : Plane::Callers;
  if (auto local = AnswerLocally(plane, aRequest)) {
    aAnswer(std::move(*local));
    return;
  }
  if (host_ == nullptr || !host_->IsActive()) {
    HttpAnswer answer;
    answer.status_ = kUnavailable;
    answer.headers_ = { { std::string(kNotLeaderHeader), "yes" } };
    aAnswer(std::move(answer));
    return;
  }
  PassToHost(plane, aRequest, std::move(aAnswer));
}

void
Gateway::PassToHost(Plane aPlane, const HttpRequest& aRequest, Answer aAnswer)
{
  if (aPlane == Plane::Callers) {
    host_->HandleCaller(aRequest, std::move(aAnswer));
  } else {
    host_->HandleControl(aRequest, std::move(aAnswer));
  }
}

void
Gateway::Finish(const PendingPtr& aPending, HttpAnswer aAnswer)
{
  if (!std::exchange(aPending->isAnswered_, true)) {
    aPending->timer_.cancel();
    aPending->answer_(std::move(aAnswer));
  }
}

void
Gateway::SendToLeader(const PendingPtr& aPending)
{
  if (host_ != nullptr && host_->IsActive()) {
    ++aPending->call_;
    PassToHost(
      aPending->plane_,
      aPending->request_,
      [this, pending = aPending](HttpAnswer aAnswer) {
        if (FindHeader(aAnswer.headers_, kNotLeaderHeader)) {
          pending->maybeAccepted_ = true;
          RetryOrRefuse(pending);
        } else {
          Finish(pending,
                 AnswerAfterCalls(pending->maybeAccepted_, std::move(aAnswer)));
        }
      });
    return;
  }
  const auto leader = leader_.leader_();
  if (leader.empty() || leader == node_) {
    RetryOrRefuse(aPending);
  } else {
    Forward(aPending, leader);
  }
}

void
Gateway::Forward(const PendingPtr& aPending, const std::string& aLeader)
{
  const auto call = ++aPending->call_;
  client_.Call(
    aLeader + ":" + internalPort_,
    ForwardedRequest(aPending->plane_, aPending->request_),
    timing_.forwardTimeout_,
    [this, pending = aPending, call, aLeader](const CallResult& aResult) {
      const bool isLast = call == pending->call_;
      if (const auto* answer = std::get_if<HttpAnswer>(&aResult)) {
        const bool leads = !FindHeader(answer->headers_, kNotLeaderHeader);
        if (leads) {
          leader_.onAnswer_(aLeader);
        }
        // A server error of an earlier call is ignored: the new leader may know
        // the outcome.
        if (leads && (isLast || answer->status_ < kServerError)) {
          Finish(pending,
                 AnswerAfterCalls(pending->maybeAccepted_,
                                  ForwardedAnswer(*answer)));
          return;
        }
        pending->maybeAccepted_ |= answer->status_ != kUnavailable;
      } else {
        pending->maybeAccepted_ |=
          std::get<CallFailure>(aResult) != CallFailure::NotSent;
      }
      if (isLast && !pending->isAnswered_) {
        leader_.onLeaderFailure_();
        RetryOrRefuse(pending);
      }
    });
  WatchLeader(aPending, aLeader, call);
}

void
Gateway::WatchLeader(const PendingPtr& aPending,
                     const std::string& aSentTo,
                     std::uint64_t aCall)
{
  aPending->timer_.expires_after(kLeaderCheckInterval);
  aPending->timer_.async_wait([this, pending = aPending, aSentTo, aCall](
                                const boost::system::error_code& aError) {
    // A wait that is over can't be cancelled; the call may have ended since.
    if (aError || pending->isAnswered_ || pending->call_ != aCall) {
      return;
    }
    const bool leadsHere = host_ != nullptr && host_->IsActive();
    const auto leader = leader_.leader_();
    if (!leadsHere && (leader.empty() || leader == aSentTo)) {
      WatchLeader(pending, aSentTo, aCall);
      return;
    }
    LogInfo(
      "resending a request to the new leader",
      { { "target", pending->request_.target_ },
        { "former", aSentTo },
        { "leader", leadsHere ? node_ : leader },
        { "waited_ms", (MonotonicNow() - pending->startedAt_).count() } });
    pending->maybeAccepted_ = true;
    SendToLeader(pending);
  });
}

void
Gateway::Refuse(const PendingPtr& aPending)
{
  LogWarning("refusing a request: no leader answered",
             { { "plane", PlaneName(aPending->plane_) },
               { "method", aPending->request_.method_ },
               { "target", aPending->request_.target_ },
               { "waited_ms", (MonotonicNow() - aPending->startedAt_).count() },
               { "leaderless_ms", leader_.silentFor_().count() },
               { "maybe_accepted", aPending->maybeAccepted_ } });
  Finish(aPending,
         aPending->maybeAccepted_ ? platform::EncodeUnclear()
                                  : platform::EncodeNotNow(kRetryAfter));
}

void
Gateway::RetryOrRefuse(const PendingPtr& aPending)
{
  const auto waited = MonotonicNow() - aPending->startedAt_;
  const auto unsentTimeout = aPending->plane_ == Plane::Callers
                               ? timing_.unsentTimeout_
                               : timing_.controlUnsentTimeout_;
  const bool hasExpired =
    aPending->maybeAccepted_
      ? waited >= timing_.sentTimeout_
      : waited >= unsentTimeout ||
          leader_.silentFor_() >= timing_.leaderlessLimit_;
  if (hasExpired) {
    Refuse(aPending);
    return;
  }
  ++aPending->call_;
  aPending->timer_.expires_after(kRetryInterval);
  aPending->timer_.async_wait(
    [this, pending = aPending](const boost::system::error_code& aError) {
      if (!aError && !pending->isAnswered_) {
        SendToLeader(pending);
      }
    });
}

} // namespace acaciahill
