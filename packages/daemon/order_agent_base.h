#pragma once

#include "http/async_client_base.h"
#include "http/async_listener_base.h"
#include "workload/order_batch_type.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <vector>

namespace acaciahill {

/// Path of the internal interface at which an agent receives orders.
inline constexpr const char* kOrdersPath = "/orders";

/// Timeout of a call to a worker with this order.
Millis
OrderTimeout(const WorkerOrder& aOrder);

/// Time in ms by a clock that also advances while the machine is suspended.
/// Agents check the deadlines of orders by it.
std::int64_t
OrderClockMs();

/// Sends an order to a worker and passes its answer to the callback.
void
CallWorker(AsyncClient& aClient,
           const WorkerOrder& aOrder,
           std::function<void(RelayedAnswer)> aOnAnswer);

/// Relays a leader's orders to workers on a control node that does not lead,
/// and returns their answers. A call of the leader is held open until there are
/// answers, the next call arrives, or 0.2 s have passed. Used from the
/// context's thread only.
class OrderAgent
{
public:
  using Answer = AsyncListener::Answer;

  OrderAgent(boost::asio::io_context& aContext, AsyncClient& aClient);
  OrderAgent(const OrderAgent&) = delete;
  OrderAgent& operator=(const OrderAgent&) = delete;

  /// Handles a call of a leader. Calls of a former leader are refused.
  void Handle(const HttpRequest& aRequest, Answer aAnswer);

  void Stop();

private:
  void AddAnswer(RelayedAnswer aAnswer, std::uint64_t aTerm);
  void ScheduleReply(Millis aTime);
  void Reply();

  AsyncClient& client_;
  boost::asio::steady_timer timer_;
  std::uint64_t term_ = 0;
  Answer waitingCall_;
  MonotonicTime replyAt_{};
  std::vector<RelayedAnswer> answers_;
};

} // namespace acaciahill
