#pragma once

#include "http/async_http_type.h"
#include "kernel/error_type.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace acaciahill {

/// A complete request to one of the daemon's own HTTP ports.
struct ServerCall
{
  std::string method_;
  /// Path without the query, decoded.
  std::string path_;
  std::map<std::string, std::string> query_;
  std::string body_;
  /// Time since the kernel received the last byte of the request: how long the
  /// process was too busy, or frozen, to read it.
  std::int64_t waitedMs_ = 0;
};

/// The answer to a ServerCall.
struct ServerAnswer
{
  int status_ = 200;
  std::string contentType_ = "application/json";
  std::string body_;
  std::vector<std::pair<std::string, std::string>> headers_;
};

/// An answer for an error, in the form of docs/admin-api.md.
ServerAnswer
ServerErrorOf(const Error& aError);

/// A small HTTP server for announcements and operators. It accepts only bodies
/// with a Content-Length, and one request for each connection. A request takes
/// a thread only once it is complete; connections and requests that are being
/// read have the limits of an AsyncListener.
class HttpServer
{
public:
  using Handler = std::function<ServerAnswer(const ServerCall&)>;

  HttpServer(Handler aHandler,
             int aMaxThreads,
             std::int64_t aMaxBodyBytes,
             ListenerLimits aLimits);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();

  /// Errors: IoError when the address cannot be bound.
  Result<Done> Start(const std::string& aAddress);

  /// Waits for the server's thread.
  ListenerCounts Counts() const;

  /// Stops listening and waits for the requests in progress, for 5 s at most.
  void Stop();

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace acaciahill
