#include "daemon/gateway_base.h"

#include "kernel/log_func.h"
#include "kernel/os_clock_func.h"
#include "platform/platform_requests_func.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>

namespace acaciahill {

namespace {

// Header of a passed-on request: the interface at which it arrived.
constexpr std::string_view kPlaneHeader = "Acaciahill-Plane";
constexpr std::string_view kCallersWord = "callers";
constexpr std::string_view kControlWord = "control";
// Header of the answer of a node that does not lead.
constexpr std::string_view kNotLeaderHeader = "Acaciahill-Not-Leader";

// A request that reached no leader is refused after this time: a change of
// leaders takes longer, and the sender can come back.
constexpr Millis kUnsentPatience{ 120 };
// A request that may have been accepted is sent again for this time, so that
// its sender learns the outcome.
constexpr Millis kSentPatience{ 1500 };
constexpr Millis kRetryPause{ 25 };
constexpr Millis kForwardTimeout{ 1200 };
// A change of leaders takes about this long.
constexpr Millis kComeBack{ 1000 };
constexpr std::int64_t kNotNow = 503;

bool
HasHeader(const HttpHeaders& aHeaders, std::string_view aName)
{
  return std::any_of(aHeaders.begin(), aHeaders.end(), [&](const auto& aOne) {
    return aOne.name_ == aName;
  });
}

std::string_view
WordOf(Plane aPlane)
{
  return aPlane == Plane::Callers ? kCallersWord : kControlWord;
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
};

Gateway::Gateway(boost::asio::io_context& aContext,
                 AsyncClient& aClient,
                 std::string aNode,
                 std::string aInternalPort,
                 Metrics& aMetrics,
                 WorkloadHost* aHost,
                 std::function<std::string()> aLeader,
                 std::function<void()> aOnDoubt)
  : context_(aContext)
  , client_(aClient)
  , node_(std::move(aNode))
  , internalPort_(std::move(aInternalPort))
  , metrics_(aMetrics)
  , host_(aHost)
  , leader_(std::move(aLeader))
  , onDoubt_(std::move(aOnDoubt))
{
}

void
Gateway::Handle(Plane aPlane, HttpRequest aRequest, Answer aAnswer)
{
  Try(std::make_shared<Pending>(context_,
                                aPlane,
                                std::move(aRequest),
                                Measured(aPlane, std::move(aAnswer))));
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
  if (host_ == nullptr || !host_->IsActive()) {
    HttpAnswer answer;
    answer.status_ = kNotNow;
    answer.headers_ = { { std::string(kNotLeaderHeader), "yes" } };
    aAnswer(std::move(answer));
    return;
  }
  const bool isControl = std::any_of(aRequest.headers_.begin(),
                                     aRequest.headers_.end(),
                                     [](const auto& aHeader) {
                                       return aHeader.name_ == kPlaneHeader &&
                                              aHeader.value_ == kControlWord;
                                     });
  GiveToHost(
    isControl ? Plane::Control : Plane::Callers, aRequest, std::move(aAnswer));
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
Gateway::Try(const PendingPtr& aPending)
{
  if (host_ != nullptr && host_->IsActive()) {
    GiveToHost(aPending->plane_, aPending->request_, aPending->answer_);
    return;
  }
  const auto leader = leader_();
  if (leader.empty() || leader == node_) {
    TryLater(aPending);
  } else {
    Forward(aPending, leader);
  }
}

void
Gateway::Forward(const PendingPtr& aPending, const std::string& aLeader)
{
  auto request = aPending->request_;
  request.headers_.push_back(
    { std::string(kPlaneHeader), std::string(WordOf(aPending->plane_)) });
  std::erase_if(request.headers_, [](const HttpHeader& aHeader) {
    return aHeader.name_ == "Connection" ||
           aHeader.name_ == "Transfer-Encoding" ||
           aHeader.name_ == "Content-Length";
  });
  client_.Call(aLeader + ":" + internalPort_,
               std::move(request),
               kForwardTimeout,
               [this, pending = aPending](const CallResult& aResult) {
                 if (const auto* answer = std::get_if<HttpAnswer>(&aResult)) {
                   if (!HasHeader(answer->headers_, kNotLeaderHeader)) {
                     pending->answer_(PassOn(*answer));
                     return;
                   }
                 } else {
                   pending->maybeAccepted_ |=
                     std::get<CallFailure>(aResult) != CallFailure::NotSent;
                 }
                 onDoubt_();
                 TryLater(pending);
               });
}

void
Gateway::TryLater(const PendingPtr& aPending)
{
  const auto waited = MonotonicNow() - aPending->startedAt_;
  const auto patience =
    aPending->maybeAccepted_ ? kSentPatience : kUnsentPatience;
  if (waited >= patience) {
    LogWarning("no leader for a request",
               { { "plane", WordOf(aPending->plane_) },
                 { "method", aPending->request_.method_ },
                 { "target", aPending->request_.target_ },
                 { "waited_ms", waited.count() },
                 { "maybe_accepted", aPending->maybeAccepted_ } });
    aPending->answer_(aPending->maybeAccepted_
                        ? platform::EncodeUnclear()
                        : platform::EncodeNotNow(kComeBack));
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
