#pragma once

#include "http/async_http_type.h"
#include "kernel/error_type.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace acaciahill {

/// HTTP/1.1 server on one address that runs on the context's thread. Each
/// connection has one request at a time; the handler may answer asynchronously,
/// at most once. Its memory and its descriptors are bounded whatever peers
/// send: what exceeds a limit is refused with 413, 431 or 503, without having
/// reached the handler, and its connection is closed.
class AsyncListener
{
public:
  using Answer = std::function<void(HttpAnswer)>;
  /// Handles a complete request. The Answer function sends the answer; it may
  /// be called from the context's thread only.
  using Handler = std::function<void(HttpRequest, Answer)>;

  /// Makes the answer that refuses a request with the given status.
  using Refusal = std::function<HttpAnswer(std::int64_t)>;

  /// Without a Refusal, refusals have no body.
  AsyncListener(boost::asio::io_context& aContext,
                Handler aHandler,
                HttpLimits aLimits,
                ListenerTiming aTiming = {},
                ListenerLimits aTotal = {},
                Refusal aRefusal = {});
  AsyncListener(const AsyncListener&) = delete;
  AsyncListener& operator=(const AsyncListener&) = delete;
  ~AsyncListener();

  /// Binds the numeric address and accepts connections. Errors: BadSetting when
  /// the address cannot be parsed, IoError when it cannot be bound.
  Result<Done> Start(const std::string& aAddress);

  /// Closes the port and idle connections. Requests in progress are answered
  /// before their connections are closed.
  void Drain();

  /// Requests that have no answer yet.
  std::size_t InWork() const;

  ListenerCounts Counts() const;

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

} // namespace acaciahill
