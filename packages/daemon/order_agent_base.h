#pragma once

#include "http/async_client_base.h"
#include "http/async_listener_base.h"
#include "workload/order_batch_type.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <vector>

namespace acaciahill {

/// Path of the internal interface that takes a leader's orders.
inline constexpr const char* kOrdersPath = "/orders";

/// Longest time for which a worker's answer to an order is awaited.
Millis
OrderTimeout(const WorkerOrder& aOrder);

/// A clock that runs on while the machine is suspended, in ms. Orders for a
/// later time than they are read at by it are too old.
std::int64_t
OrderClockMs();

/// Calls a worker and gives its answer.
void
CallWorker(AsyncClient& aClient,
           const WorkerOrder& aOrder,
           std::function<void(RelayedAnswer)> aOnAnswer);

/// Gives a leader's orders to workers on a control node that does not lead, and
/// sends back their answers: each call of the leader is answered when there are
/// some, or when the next one comes. Used from the context's thread only.
class OrderAgent
{
public:
  using Answer = AsyncListener::Answer;

  OrderAgent(boost::asio::io_context& aContext, AsyncClient& aClient);
  OrderAgent(const OrderAgent&) = delete;
  OrderAgent& operator=(const OrderAgent&) = delete;

  /// A call of a leader. That of a former one is refused.
  void Handle(const HttpRequest& aRequest, Answer aAnswer);

  void Stop();

private:
  void Take(RelayedAnswer aAnswer, std::uint64_t aTerm);
  void ReplyWithin(Millis aTime);
  void Reply();

  AsyncClient& client_;
  boost::asio::steady_timer timer_;
  std::uint64_t term_ = 0;
  Answer waiting_;
  MonotonicTime replyAt_{};
  std::vector<RelayedAnswer> answers_;
};

} // namespace acaciahill
