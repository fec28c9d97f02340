#pragma once

#include "kernel/time_type.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace acaciahill::testing {

/// Header fields; the names are in lower case.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// One HTTP/1.1 request or answer that was read whole.
struct HttpMessage
{
  std::string method_;
  std::string path_;
  int status_ = 0;
  HttpHeaders headers_;
  std::string body_;

  /// The first header field of a lower-case name; empty when there is none.
  std::string Header(std::string_view aName) const;
};

/// How reading one message ended. Only Whole gives a usable message.
enum class ReadEnd : std::uint8_t
{
  Whole,
  Closed,    ///< The peer closed before the first byte.
  Truncated, ///< The peer closed within the message.
  TimedOut,
  Malformed, ///< Not HTTP/1.1, or a message without a length.
};

/// The stable name of a ReadEnd, as "whole".
std::string_view
ReadEndName(ReadEnd aEnd);

/// One TCP connection that carries HTTP messages. It does its own framing, so
/// that a test sees exactly what arrived and can send broken messages.
class HttpConnection
{
public:
  explicit HttpConnection(const Poco::Net::StreamSocket& aSocket);

  ReadEnd ReadRequest(HttpMessage& aMessage, Millis aTimeout);
  /// Reads an answer; an answer to HEAD has no body.
  ReadEnd ReadAnswer(HttpMessage& aMessage, Millis aTimeout, bool aToHead);

  /// Sends all bytes; false when the connection failed.
  bool Send(std::string_view aBytes);

  /// Reads and drops bytes until the peer closes.
  void DiscardUntilClosed();

  /// Ends the connection in both directions; threads that read it wake up.
  void Shutdown();
  /// Closes with a TCP reset.
  void Reset();

  /// Running number of the connection on its server.
  std::uint64_t Number() const { return number_; }
  void SetNumber(std::uint64_t aNumber) { number_ = aNumber; }

private:
  ReadEnd ReadHead(std::string& aHead, Millis aTimeout);
  ReadEnd ReadBody(HttpMessage& aMessage, Millis aTimeout);
  ReadEnd ReadChunks(HttpMessage& aMessage, Millis aTimeout);
  ReadEnd Fill(std::size_t aBytes, Millis aTimeout);
  ReadEnd FillLine(std::size_t& aLength, Millis aTimeout);

  Poco::Net::StreamSocket socket_;
  std::string buffer_;
  std::uint64_t number_ = 0;
};

/// An answer with Content-Length, ready to send.
std::string
FormatAnswer(int aStatus,
             const HttpHeaders& aHeaders,
             std::string_view aBody,
             bool aToHead = false);

/// An HTTP server with one thread for each connection.
class HttpServer
{
public:
  /// Answers one request; false ends the connection.
  using Handler = std::function<bool(HttpConnection&, const HttpMessage&)>;
  /// Decides whether an accepted connection is served.
  using Gate = std::function<bool()>;

  /// Listens at once; port 0 takes a free port. Throws Poco::Exception when the
  /// address cannot be bound.
  HttpServer(const std::string& aListen, Handler aHandler, Gate aGate = {});
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();

  /// The address in use as "127.0.0.1:8080".
  std::string Address() const;
  /// Number of the last accepted connection.
  std::uint64_t LastNumber() const { return lastNumber_; }
  /// Ends all open connections.
  void DropConnections();
  void Stop();

private:
  void Accept();
  void Serve(const std::shared_ptr<HttpConnection>& aConnection);

  Poco::Net::ServerSocket socket_;
  Handler handler_;
  Gate gate_;
  std::atomic<bool> stopping_{ false };
  std::atomic<std::uint64_t> lastNumber_{ 0 };
  std::mutex mutex_;
  std::condition_variable ended_;
  std::map<std::uint64_t, std::shared_ptr<HttpConnection>> open_;
  std::thread acceptor_;
};

/// A request to send. Content-Length is added.
struct HttpRequest
{
  std::string method_ = "GET";
  std::string path_ = "/";
  HttpHeaders headers_;
  std::string body_;
};

/// What one call gave.
struct HttpOutcome
{
  /// False when no byte can have reached the server.
  bool sent_ = false;
  ReadEnd end_ = ReadEnd::Closed;
  HttpMessage answer_;

  bool Answered() const { return sent_ && end_ == ReadEnd::Whole; }
};

/// A request ready to send; the server is told whether to keep the connection.
std::string
FormatRequest(const std::string& aHost,
              const HttpRequest& aRequest,
              bool aKeepAlive);

/// A caller that keeps one connection to each server while whole answers come.
/// Not thread-safe.
class HttpCaller
{
public:
  HttpOutcome Call(const std::string& aAddress,
                   const HttpRequest& aRequest,
                   Millis aTimeout);

  /// Requests sent on a connection that had carried another one before.
  std::int64_t Reused() const { return reused_; }

private:
  std::map<std::string, std::unique_ptr<HttpConnection>> kept_;
  std::int64_t reused_ = 0;
};

/// Sends one request on a connection of its own and reads the answer.
HttpOutcome
HttpCall(const std::string& aAddress,
         const HttpRequest& aRequest,
         Millis aTimeout);

/// Hash of a body as 16 hexadecimal digits (xxHash64).
std::string
BodyChecksum(std::string_view aBody);

/// Monotonic time in ns; comparable between processes of one machine.
std::uint64_t
MonotonicNs();

} // namespace acaciahill::testing
