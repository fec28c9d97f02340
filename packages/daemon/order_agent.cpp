#include "daemon/order_agent_base.h"

#include "kernel/error_func.h"
#include "kernel/log_func.h"
#include "kernel/os_clock_func.h"
#include "platform/platform_orders_func.h"

#include <utility>

namespace acaciahill {

namespace {

// Workers answer orders within a few ms. A worker may still execute an order
// after this timeout.
constexpr Millis kOrderTimeout{ 300 };
// Added to the wait time of a lease renewal for the network round trip.
constexpr Millis kRenewalMargin{ 400 };
// Answers that arrive within this time of the first one are sent together.
constexpr Millis kReplyBatchDelay{ 10 };
// A leader's call is answered after this time at the latest, which shows the
// leader that this node is running.
constexpr Millis kMaxReplyDelay{ 200 };
constexpr std::int64_t kOk = 200;
constexpr std::int64_t kBadRequest = 400;
constexpr std::int64_t kConflict = 409;

HttpAnswer
StatusAnswer(std::int64_t aStatus)
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
  return MonotonicNow().time_since_epoch().count();
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
    LogWarning("cannot decode orders of a leader",
               { { "error", Describe(ErrorOf(decoded)) } });
    aAnswer(StatusAnswer(kBadRequest));
    return;
  }
  const auto& batch = ValueOf(decoded);
  if (batch.term_ < term_) {
    aAnswer(StatusAnswer(kConflict));
    return;
  }
  Reply();
  if (batch.term_ > term_) {
    LogInfo("relaying orders for a new leader", { { "term", batch.term_ } });
    term_ = batch.term_;
    answers_.clear();
    waitingCall_ = std::move(aAnswer);
    // The leader sends orders only after this first answer.
    Reply();
  } else {
    waitingCall_ = std::move(aAnswer);
    ScheduleReply(answers_.empty() ? kMaxReplyDelay : kReplyBatchDelay);
  }
  // The leader may have given up orders that were delayed on their way, and
  // issued others since.
  if (!batch.orders_.empty() && OrderClockMs() > batch.untilMs_) {
    LogWarning("orders arrived after their deadline; not relayed",
               { { "orders", batch.orders_.size() },
                 { "late_ms", OrderClockMs() - batch.untilMs_ } });
    for (const auto& each : batch.orders_) {
      AddAnswer(
        { each.id_, { OrderOutcome::NotGiven, std::nullopt }, std::nullopt },
        term_);
    }
    return;
  }
  for (const auto& each : batch.orders_) {
    CallWorker(client_,
               each.order_,
               [this, id = each.id_, term = term_](RelayedAnswer aResult) {
                 aResult.id_ = id;
                 AddAnswer(std::move(aResult), term);
               });
  }
}

void
OrderAgent::AddAnswer(RelayedAnswer aAnswer, std::uint64_t aTerm)
{
  if (aTerm != term_) {
    return;
  }
  answers_.push_back(std::move(aAnswer));
  if (waitingCall_ && replyAt_ - MonotonicNow() > kReplyBatchDelay) {
    ScheduleReply(kReplyBatchDelay);
  }
}

void
OrderAgent::ScheduleReply(Millis aTime)
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
  if (!waitingCall_) {
    return;
  }
  timer_.cancel();
  auto answer = StatusAnswer(kOk);
  answer.body_ =
    EncodeAnswers({ term_, OrderClockMs(), std::exchange(answers_, {}) });
  std::exchange(waitingCall_, nullptr)(std::move(answer));
}

} // namespace acaciahill
