#include "daemon/order_agent_base.h"

#include "kernel/error_func.h"
#include "kernel/log_func.h"
#include "kernel/os_clock_func.h"
#include "platform/platform_orders_func.h"

#include <utility>

namespace acaciahill {

namespace {

// Workers answer orders within a few ms. One without an answer for this time
// may be carried out later.
constexpr Millis kOrderTimeout{ 300 };
// Added to the wait of a renewal for its way there and back.
constexpr Millis kRenewalMargin{ 400 };
// Answers that come within this time of the first one go together.
constexpr Millis kGather{ 10 };
// A leader's call is answered after this time at the latest, which shows it
// that this node is there.
constexpr Millis kLongestWait{ 200 };
constexpr std::int64_t kOk = 200;
constexpr std::int64_t kBadRequest = 400;
constexpr std::int64_t kConflict = 409;

HttpAnswer
Status(std::int64_t aStatus)
{
  HttpAnswer answer;
  answer.status_ = aStatus;
  return answer;
}

} // namespace

Millis
OrderTimeout(const WorkerOrder& aOrder)
{
  const auto* renewal = std::get_if<RenewLease>(&aOrder);
  return renewal == nullptr ? kOrderTimeout : renewal->wait_ + kRenewalMargin;
}

std::int64_t
OrderClockMs()
{
  return (MonotonicNow().time_since_epoch() + SleepTime()).count();
}

void
CallWorker(AsyncClient& aClient,
           const WorkerOrder& aOrder,
           std::function<void(RelayedAnswer)> aOnAnswer)
{
  const auto& target = std::visit(
    [](const auto& aOne) -> const OrderTarget& { return aOne.target_; },
    aOrder);
  const bool isRenewal = std::holds_alternative<RenewLease>(aOrder);
  aClient.Call(
    target.address_,
    std::visit([](const auto& aOne) { return platform::EncodeOrder(aOne); },
               aOrder),
    OrderTimeout(aOrder),
    [isRenewal, onAnswer = std::move(aOnAnswer)](const CallResult& aResult) {
      RelayedAnswer answer;
      if (isRenewal) {
        auto renewal = platform::DecodeRenewalAnswer(aResult);
        answer.answer_ = renewal.order_;
        answer.lists_ = std::move(renewal.lists_);
      } else {
        answer.answer_ = platform::DecodeOrderAnswer(aResult);
      }
      onAnswer(std::move(answer));
    });
}

OrderAgent::OrderAgent(boost::asio::io_context& aContext, AsyncClient& aClient)
  : client_(aClient)
  , timer_(aContext)
{
}

void
OrderAgent::Stop()
{
  timer_.cancel();
  Reply();
}

void
OrderAgent::Handle(const HttpRequest& aRequest, Answer aAnswer)
{
  const auto decoded = DecodeOrders(aRequest.body_);
  if (!IsOk(decoded)) {
    LogWarning("orders of a leader cannot be read",
               { { "error", Describe(ErrorOf(decoded)) } });
    aAnswer(Status(kBadRequest));
    return;
  }
  const auto& batch = ValueOf(decoded);
  if (batch.term_ < term_) {
    aAnswer(Status(kConflict));
    return;
  }
  Reply();
  if (batch.term_ > term_) {
    LogInfo("giving orders for a leader", { { "term", batch.term_ } });
    term_ = batch.term_;
    answers_.clear();
    waiting_ = std::move(aAnswer);
    // The leader gives its first orders when it knows that this node is there.
    Reply();
  } else {
    waiting_ = std::move(aAnswer);
    ReplyWithin(answers_.empty() ? kLongestWait : kGather);
  }
  // Orders that were held up on their way may have been given up, and others
  // given since.
  if (!batch.orders_.empty() && OrderClockMs() > batch.untilMs_) {
    LogWarning("orders came too late to be given",
               { { "orders", batch.orders_.size() },
                 { "late_ms", OrderClockMs() - batch.untilMs_ } });
    for (const auto& each : batch.orders_) {
      Take({ each.id_, { OrderOutcome::NotGiven, std::nullopt }, std::nullopt },
           term_);
    }
    return;
  }
  for (const auto& each : batch.orders_) {
    CallWorker(client_,
               each.order_,
               [this, id = each.id_, term = term_](RelayedAnswer aResult) {
                 aResult.id_ = id;
                 Take(std::move(aResult), term);
               });
  }
}

void
OrderAgent::Take(RelayedAnswer aAnswer, std::uint64_t aTerm)
{
  if (aTerm != term_) {
    return;
  }
  answers_.push_back(std::move(aAnswer));
  if (waiting_ && replyAt_ - MonotonicNow() > kGather) {
    ReplyWithin(kGather);
  }
}

void
OrderAgent::ReplyWithin(Millis aTime)
{
  replyAt_ = MonotonicNow() + aTime;
  timer_.expires_after(aTime);
  timer_.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      Reply();
    }
  });
}

void
OrderAgent::Reply()
{
  if (!waiting_) {
    return;
  }
  timer_.cancel();
  auto answer = Status(kOk);
  answer.body_ =
    EncodeAnswers({ term_, OrderClockMs(), std::exchange(answers_, {}) });
  std::exchange(waiting_, nullptr)(std::move(answer));
}

} // namespace acaciahill
