#pragma once

#include "http/async_http_type.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace acaciahill {

/// Limits of a client's connections and answers.
struct ClientLimits
{
  /// An answer with a longer body fails as AnswerLost.
  std::size_t maxAnswerBytes_ = std::size_t{ 8 } * 1024 * 1024;
  /// Idle connections kept to each address.
  std::size_t maxIdlePerAddress_ = 12;
  /// Idle connections kept in total, as file descriptors are limited.
  std::size_t maxIdleTotal_ = 2400;
  /// Connections idle for longer are not reused: the peer may be about to close
  /// them.
  Millis maxIdleAge_{ 10000 };
  Millis connectTimeout_{ 1000 };

  bool operator==(const ClientLimits&) const = default;
};

/// HTTP/1.1 client that runs on the context's thread and reuses connections. A
/// connection that failed or timed out is reset and never reused, so that bytes
/// which have not arrived by then never will. No call is sent twice.
class AsyncClient
{
public:
  using OnResult = std::function<void(CallResult)>;

  AsyncClient(boost::asio::io_context& aContext, ClientLimits aLimits = {});
  AsyncClient(const AsyncClient&) = delete;
  AsyncClient& operator=(const AsyncClient&) = delete;
  ~AsyncClient();

  /// Sends a request to a numeric address. aOnResult is called exactly once, on
  /// the context's thread, unless the client is destroyed before.
  void Call(const std::string& aAddress,
            HttpRequest aRequest,
            Millis aTimeout,
            OnResult aOnResult);

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

} // namespace acaciahill
