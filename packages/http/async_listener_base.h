#pragma once

#include "http/async_http_type.h"
#include "kernel/error_type.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace acaciahill {

/// Serves HTTP/1.1 on one address from the thread that runs the context. Each
/// connection carries one request at a time; the handler may answer later, and
/// at most once.
class AsyncListener
{
public:
  using Answer = std::function<void(HttpAnswer)>;
  /// Takes a whole request. The function that it is given sends the answer; it
  /// may be called from the context's thread only.
  using Handler = std::function<void(HttpRequest, Answer)>;

  AsyncListener(boost::asio::io_context& aContext,
                Handler aHandler,
                HttpLimits aLimits,
                ListenerTiming aTiming = {});
  AsyncListener(const AsyncListener&) = delete;
  AsyncListener& operator=(const AsyncListener&) = delete;
  ~AsyncListener();

  /// Binds the numeric address and accepts connections. Errors: IoError.
  Result<Done> Start(const std::string& aAddress);

  /// Closes the port and idle connections. Requests in work are answered, and
  /// their connections are closed after that.
  void Drain();

  /// Requests that have no answer yet.
  std::size_t InWork() const;

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

} // namespace acaciahill
