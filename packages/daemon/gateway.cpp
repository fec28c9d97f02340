#include "daemon/gateway_base.h"

#include "http/http_message_func.h"
#include "kernel/log_func.h"
#include "kernel/os_clock_func.h"
#include "platform/platform_requests_func.h"

#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace acaciahill {

namespace {

// Header of a passed-on request: the interface at which it arrived.
constexpr std::string_view kPlaneHeader = "Acaciahill-Plane";
constexpr std::string_view kCallersWord = "callers";
constexpr std::string_view kControlWord = "control";

constexpr Millis kRetryPause{ 25 };
// Pause between looks whether another node leads while a call is open. Answers
// mostly take a few tens of milliseconds.
constexpr Millis kWatchPause{ 50 };
// A change of leaders takes about this long.
constexpr Millis kComeBack{ 1000 };
constexpr std::int64_t kNotNow = 503;
constexpr std::int64_t kServerError = 500;

std::string_view
WordOf(Plane aPlane)
{
  return aPlane == Plane::Callers ? kCallersWord : kControlWord;
}

/// The request for another node, which learns where it arrived.
HttpRequest
PassedOn(Plane aPlane, HttpRequest aRequest)
{
  aRequest.headers_.push_back(
    { std::string(kPlaneHeader), std::string(WordOf(aPlane)) });
  std::erase_if(aRequest.headers_, [](const HttpHeader& aHeader) {
    return aHeader.name_ == "Connection" ||
           aHeader.name_ == "Transfer-Encoding" ||
           aHeader.name_ == "Content-Length";
  });
  return aRequest;
}

// Headers that are of this connection only are left out.
HttpAnswer
PassOn(const HttpAnswer& aAnswer)
{
  HttpAnswer passed;
  passed.status_ = aAnswer.status_;
  passed.body_ = aAnswer.body_;
  for (const auto& header : aAnswer.headers_) {
    if (header.name_ == "Content-Type" || header.name_ == "Retry-After") {
      passed.headers_.push_back(header);
    }
  }
  return passed;
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
  /// A leader may have accepted it.
  bool maybeAccepted_ = false;
  bool isAnswered_ = false;
  /// Number of the last call to a leader.
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
  auto answer = Measured(aPlane, std::move(aAnswer));
  if (auto here = AnswerHere(aPlane, aRequest)) {
    answer(std::move(*here));
    return;
  }
  const bool isRead = aPlane == Plane::Callers && aRequest.method_ == "GET";
  const auto pending = std::make_shared<Pending>(
    context_, aPlane, std::move(aRequest), std::move(answer));
  const auto reader = isRead ? leader_.reader_() : std::string();
  if (reader.empty()) {
    Try(pending);
  } else {
    Read(pending, reader);
  }
}

std::optional<HttpAnswer>
Gateway::AnswerHere(Plane aPlane, const HttpRequest& aRequest)
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
               PassedOn(aPending->plane_, aPending->request_),
               timing_.read_,
               [this, pending = aPending, aReader](const CallResult& aResult) {
                 const auto* answer = std::get_if<HttpAnswer>(&aResult);
                 if (answer == nullptr) {
                   leader_.onSilentReader_(aReader);
                 }
                 if (answer != nullptr &&
                     !FindHeader(answer->headers_, kNotLeaderHeader)) {
                   Finish(pending, PassOn(*answer));
                 } else {
                   Try(pending);
                 }
               });
}

Gateway::Answer
Gateway::Measured(Plane aPlane, Answer aAnswer)
{
  return [this,
          plane = std::string(WordOf(aPlane)),
          startedAt = MonotonicNow(),
          answer = std::move(aAnswer)](HttpAnswer aMade) {
    constexpr double kMsPerS = 1000;
    metrics_.Count(
      "acaciahill_requests_total",
      { { "plane", plane }, { "status", std::to_string(aMade.status_) } });
    metrics_.Observe("acaciahill_request_seconds",
                     { { "plane", plane } },
                     static_cast<double>((MonotonicNow() - startedAt).count()) /
                       kMsPerS);
    answer(std::move(aMade));
  };
}

void
Gateway::HandleForwarded(const HttpRequest& aRequest, Answer aAnswer)
{
  const bool isControl =
    FindHeader(aRequest.headers_, kPlaneHeader) == kControlWord;
  const auto plane = isControl ? Plane::Control : Plane::Callers;
  if (auto here = AnswerHere(plane, aRequest)) {
    aAnswer(std::move(*here));
    return;
  }
  if (host_ == nullptr || !host_->IsActive()) {
    HttpAnswer answer;
    answer.status_ = kNotNow;
    answer.headers_ = { { std::string(kNotLeaderHeader), "yes" } };
    aAnswer(std::move(answer));
    return;
  }
  GiveToHost(plane, aRequest, std::move(aAnswer));
}

void
Gateway::GiveToHost(Plane aPlane, const HttpRequest& aRequest, Answer aAnswer)
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
Gateway::Try(const PendingPtr& aPending)
{
  if (host_ != nullptr && host_->IsActive()) {
    ++aPending->call_;
    GiveToHost(aPending->plane_,
               aPending->request_,
               [this, pending = aPending](HttpAnswer aAnswer) {
                 if (FindHeader(aAnswer.headers_, kNotLeaderHeader)) {
                   pending->maybeAccepted_ = true;
                   TryLater(pending);
                 } else {
                   Finish(pending, std::move(aAnswer));
                 }
               });
    return;
  }
  const auto leader = leader_.leader_();
  if (leader.empty() || leader == node_) {
    TryLater(aPending);
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
    PassedOn(aPending->plane_, aPending->request_),
    timing_.forward_,
    [this, pending = aPending, call, aLeader](const CallResult& aResult) {
      const bool isLast = call == pending->call_;
      if (const auto* answer = std::get_if<HttpAnswer>(&aResult)) {
        const bool leads = !FindHeader(answer->headers_, kNotLeaderHeader);
        if (leads) {
          leader_.onAnswer_(aLeader);
        }
        // A former leader that knows no outcome is not the last word.
        if (leads && (isLast || answer->status_ < kServerError)) {
          Finish(pending, PassOn(*answer));
          return;
        }
        pending->maybeAccepted_ |= answer->status_ != kNotNow;
      } else {
        pending->maybeAccepted_ |=
          std::get<CallFailure>(aResult) != CallFailure::NotSent;
      }
      if (isLast && !pending->isAnswered_) {
        leader_.onDoubt_();
        TryLater(pending);
      }
    });
  WatchLeader(aPending, aLeader);
}

void
Gateway::WatchLeader(const PendingPtr& aPending, const std::string& aSentTo)
{
  aPending->timer_.expires_after(kWatchPause);
  aPending->timer_.async_wait([this, pending = aPending, aSentTo](
                                const boost::system::error_code& aError) {
    if (aError || pending->isAnswered_) {
      return;
    }
    const bool leadsHere = host_ != nullptr && host_->IsActive();
    const auto leader = leader_.leader_();
    if (!leadsHere && (leader.empty() || leader == aSentTo)) {
      WatchLeader(pending, aSentTo);
      return;
    }
    LogInfo(
      "sending a request to the new leader",
      { { "target", pending->request_.target_ },
        { "former", aSentTo },
        { "leader", leadsHere ? node_ : leader },
        { "waited_ms", (MonotonicNow() - pending->startedAt_).count() } });
    pending->maybeAccepted_ = true;
    Try(pending);
  });
}

void
Gateway::Refuse(const PendingPtr& aPending)
{
  LogWarning("no leader for a request",
             { { "plane", WordOf(aPending->plane_) },
               { "method", aPending->request_.method_ },
               { "target", aPending->request_.target_ },
               { "waited_ms", (MonotonicNow() - aPending->startedAt_).count() },
               { "leaderless_ms", leader_.silentFor_().count() },
               { "maybe_accepted", aPending->maybeAccepted_ } });
  Finish(aPending,
         aPending->maybeAccepted_ ? platform::EncodeUnclear()
                                  : platform::EncodeNotNow(kComeBack));
}

void
Gateway::TryLater(const PendingPtr& aPending)
{
  const auto waited = MonotonicNow() - aPending->startedAt_;
  const auto patience = aPending->plane_ == Plane::Callers
                          ? timing_.unsentPatience_
                          : timing_.controlPatience_;
  const bool isOver =
    aPending->maybeAccepted_
      ? waited >= timing_.sentPatience_
      : waited >= patience || leader_.silentFor_() >= timing_.leaderless_;
  if (isOver) {
    Refuse(aPending);
    return;
  }
  aPending->timer_.expires_after(kRetryPause);
  aPending->timer_.async_wait(
    [this, pending = aPending](const boost::system::error_code& aError) {
      if (!aError) {
        Try(pending);
      }
    });
}

} // namespace acaciahill
