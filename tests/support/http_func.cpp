#include "support/http_func.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <chrono>
#include <cstdio>
#include <exception>
#include <optional>
#include <sstream>

namespace acaciahill::testing {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t kMaxHeadBytes = 64UL * 1024;
constexpr std::size_t kReadBytes = 16UL * 1024;
/// A server waits this long for the next request on an open connection.
constexpr Millis kIdleTimeout{ 3600 * 1000 };
constexpr Millis kConnectTimeout{ 2000 };

Poco::Timespan
ToTimespan(Millis aTime)
{
  return Poco::Timespan(std::max<std::int64_t>(aTime.count(), 0) * 1000);
}

Millis
Until(Clock::time_point aDeadline)
{
  return std::chrono::duration_cast<Millis>(aDeadline - Clock::now());
}

std::string
Lower(std::string aText)
{
  std::transform(
    aText.begin(), aText.end(), aText.begin(), [](unsigned char aChar) {
      return static_cast<char>(std::tolower(aChar));
    });
  return aText;
}

std::string
Trim(const std::string& aText)
{
  const auto first = aText.find_first_not_of(" \t");
  if (first == std::string::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(" \t") - first + 1);
}

std::optional<std::size_t>
ParseSize(std::string_view aText, int aBase)
{
  std::size_t value = 0;
  const auto* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, value, aBase);
  if (aText.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return value;
}

std::vector<std::string>
SplitLines(const std::string& aHead)
{
  std::vector<std::string> lines;
  std::istringstream in(aHead);
  std::string line;
  while (std::getline(in, line)) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    lines.push_back(line);
  }
  return lines;
}

bool
ParseHeaders(const std::vector<std::string>& aLines, HttpHeaders& aHeaders)
{
  for (std::size_t i = 1; i < aLines.size(); ++i) {
    const auto& line = aLines[i];
    if (line.empty()) {
      continue;
    }
    const auto colon = line.find(':');
    if (colon == std::string::npos) {
      return false;
    }
    aHeaders.emplace_back(Lower(line.substr(0, colon)),
                          Trim(line.substr(colon + 1)));
  }
  return true;
}

} // namespace

std::string
HttpMessage::Header(std::string_view aName) const
{
  for (const auto& [name, value] : headers_) {
    if (name == aName) {
      return value;
    }
  }
  return {};
}

std::string_view
ReadEndName(ReadEnd aEnd)
{
  switch (aEnd) {
    case ReadEnd::Whole:
      return "whole";
    case ReadEnd::Closed:
      return "closed";
    case ReadEnd::Truncated:
      return "truncated";
    case ReadEnd::TimedOut:
      return "timed_out";
    case ReadEnd::Malformed:
      break;
  }
  return "malformed";
}

HttpConnection::HttpConnection(const Poco::Net::StreamSocket& aSocket)
  : socket_(aSocket)
{
  try {
    socket_.setNoDelay(true);
  } catch (const Poco::Exception&) {
    // The peer may have closed already; reading reports it.
  }
}

ReadEnd
HttpConnection::Fill(std::size_t aBytes, Millis aTimeout)
{
  const auto deadline = Clock::now() + aTimeout;
  std::array<char, kReadBytes> chunk{};
  while (buffer_.size() < aBytes) {
    const auto left = Until(deadline);
    try {
      if (left.count() <= 0 ||
          !socket_.poll(ToTimespan(left), Poco::Net::Socket::SELECT_READ)) {
        return ReadEnd::TimedOut;
      }
      const int got =
        socket_.receiveBytes(chunk.data(), static_cast<int>(chunk.size()));
      if (got <= 0) {
        return buffer_.empty() ? ReadEnd::Closed : ReadEnd::Truncated;
      }
      buffer_.append(chunk.data(), static_cast<std::size_t>(got));
    } catch (const Poco::Exception&) {
      return buffer_.empty() ? ReadEnd::Closed : ReadEnd::Truncated;
    }
  }
  return ReadEnd::Whole;
}

ReadEnd
HttpConnection::ReadHead(std::string& aHead, Millis aTimeout)
{
  const auto deadline = Clock::now() + aTimeout;
  for (;;) {
    const auto end = buffer_.find("\r\n\r\n");
    if (end != std::string::npos) {
      aHead = buffer_.substr(0, end + 2);
      buffer_.erase(0, end + 4);
      return ReadEnd::Whole;
    }
    if (buffer_.size() > kMaxHeadBytes) {
      return ReadEnd::Malformed;
    }
    const auto filled = Fill(buffer_.size() + 1, Until(deadline));
    if (filled != ReadEnd::Whole) {
      return filled;
    }
  }
}

ReadEnd
HttpConnection::FillLine(std::size_t& aLength, Millis aTimeout)
{
  const auto deadline = Clock::now() + aTimeout;
  for (;;) {
    aLength = buffer_.find("\r\n");
    if (aLength != std::string::npos) {
      return ReadEnd::Whole;
    }
    const auto filled = Fill(buffer_.size() + 1, Until(deadline));
    if (filled != ReadEnd::Whole) {
      return filled == ReadEnd::Closed ? ReadEnd::Truncated : filled;
    }
  }
}

ReadEnd
HttpConnection::ReadChunks(HttpMessage& aMessage, Millis aTimeout)
{
  const auto deadline = Clock::now() + aTimeout;
  for (;;) {
    std::size_t length = 0;
    auto filled = FillLine(length, Until(deadline));
    if (filled != ReadEnd::Whole) {
      return filled;
    }
    const auto line = buffer_.substr(0, length);
    const auto size = ParseSize(line.substr(0, line.find(';')), 16);
    if (!size) {
      return ReadEnd::Malformed;
    }
    buffer_.erase(0, length + 2);
    filled = Fill(*size + 2, Until(deadline));
    if (filled != ReadEnd::Whole) {
      return filled == ReadEnd::Closed ? ReadEnd::Truncated : filled;
    }
    aMessage.body_.append(buffer_, 0, *size);
    buffer_.erase(0, *size + 2);
    if (*size == 0) {
      return ReadEnd::Whole;
    }
  }
}

ReadEnd
HttpConnection::ReadBody(HttpMessage& aMessage, Millis aTimeout)
{
  if (Lower(aMessage.Header("transfer-encoding")) == "chunked") {
    return ReadChunks(aMessage, aTimeout);
  }
  const auto text = aMessage.Header("content-length");
  if (text.empty() && !aMessage.method_.empty()) {
    return ReadEnd::Whole;
  }
  const auto length = ParseSize(text, 10);
  if (!length) {
    return ReadEnd::Malformed;
  }
  const auto filled = Fill(*length, aTimeout);
  if (filled != ReadEnd::Whole) {
    return filled == ReadEnd::Closed ? ReadEnd::Truncated : filled;
  }
  aMessage.body_ = buffer_.substr(0, *length);
  buffer_.erase(0, *length);
  return ReadEnd::Whole;
}

ReadEnd
HttpConnection::ReadRequest(HttpMessage& aMessage, Millis aTimeout)
{
  aMessage = {};
  std::string head;
  const auto end = ReadHead(head, aTimeout);
  if (end != ReadEnd::Whole) {
    return end;
  }
  const auto lines = SplitLines(head);
  std::istringstream start(lines.empty() ? std::string() : lines.front());
  std::string version;
  start >> aMessage.method_ >> aMessage.path_ >> version;
  if (version.rfind("HTTP/1.", 0) != 0 ||
      !ParseHeaders(lines, aMessage.headers_)) {
    return ReadEnd::Malformed;
  }
  return ReadBody(aMessage, aTimeout);
}

ReadEnd
HttpConnection::ReadAnswer(HttpMessage& aMessage, Millis aTimeout, bool aToHead)
{
  const auto deadline = Clock::now() + aTimeout;
  aMessage = {};
  std::string head;
  const auto end = ReadHead(head, aTimeout);
  if (end != ReadEnd::Whole) {
    return end;
  }
  const auto lines = SplitLines(head);
  std::istringstream start(lines.empty() ? std::string() : lines.front());
  std::string version;
  start >> version >> aMessage.status_;
  if (version.rfind("HTTP/1.", 0) != 0 || aMessage.status_ < 100 ||
      !ParseHeaders(lines, aMessage.headers_)) {
    return ReadEnd::Malformed;
  }
  if (aToHead || aMessage.status_ == 204 || aMessage.status_ == 304) {
    return ReadEnd::Whole;
  }
  return ReadBody(aMessage, Until(deadline));
}

bool
HttpConnection::Send(std::string_view aBytes)
{
  try {
    std::size_t sent = 0;
    while (sent < aBytes.size()) {
      const int count = socket_.sendBytes(
        aBytes.data() + sent, static_cast<int>(aBytes.size() - sent));
      if (count <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(count);
    }
    return true;
  } catch (const Poco::Exception&) {
    return false;
  }
}

void
HttpConnection::DiscardUntilClosed()
{
  buffer_.clear();
  while (Fill(1, kIdleTimeout) == ReadEnd::Whole) {
    buffer_.clear();
  }
}

void
HttpConnection::Shutdown()
{
  try {
    socket_.shutdown();
  } catch (const Poco::Exception&) {
    // Already closed by the peer.
  }
}

void
HttpConnection::Reset()
{
  try {
    socket_.setLinger(true, 0);
    socket_.close();
  } catch (const Poco::Exception&) {
    // Already closed by the peer.
  }
}

std::string
FormatAnswer(int aStatus,
             const HttpHeaders& aHeaders,
             std::string_view aBody,
             bool aToHead)
{
  std::string text = "HTTP/1.1 " + std::to_string(aStatus) + " -\r\n";
  for (const auto& [name, value] : aHeaders) {
    text += name;
    text += ": ";
    text += value;
    text += "\r\n";
  }
  text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n";
  if (!aToHead) {
    text += aBody;
  }
  return text;
}

HttpServer::HttpServer(const std::string& aListen, Handler aHandler, Gate aGate)
  : handler_(std::move(aHandler))
  , gate_(std::move(aGate))
{
  socket_.bind(Poco::Net::SocketAddress(aListen), true, false);
  socket_.listen(256);
  acceptor_ = std::thread([this] { Accept(); });
}

HttpServer::~HttpServer()
{
  Stop();
}

std::string
HttpServer::Address() const
{
  return socket_.address().toString();
}

void
HttpServer::Accept()
{
  while (!stopping_) {
    try {
      if (!socket_.poll(ToTimespan(Millis(50)),
                        Poco::Net::Socket::SELECT_READ)) {
        continue;
      }
      auto connection =
        std::make_shared<HttpConnection>(socket_.acceptConnection());
      if (gate_ && !gate_()) {
        connection->Reset();
        continue;
      }
      connection->SetNumber(++lastNumber_);
      const std::lock_guard lock(mutex_);
      open_[connection->Number()] = connection;
      std::thread([this, connection] { Serve(connection); }).detach();
    } catch (const Poco::Exception&) {
      // A connection that failed while it was accepted concerns only its peer.
    }
  }
}

void
HttpServer::Serve(const std::shared_ptr<HttpConnection>& aConnection)
{
  HttpMessage request;
  while (!stopping_ &&
         aConnection->ReadRequest(request, kIdleTimeout) == ReadEnd::Whole) {
    try {
      if (!handler_(*aConnection, request)) {
        break;
      }
    } catch (const std::exception& error) {
      aConnection->Send(FormatAnswer(500, {}, error.what()));
      break;
    }
  }
  aConnection->Shutdown();
  const std::lock_guard lock(mutex_);
  open_.erase(aConnection->Number());
  ended_.notify_all();
}

void
HttpServer::DropConnections()
{
  const std::lock_guard lock(mutex_);
  for (const auto& [number, connection] : open_) {
    connection->Shutdown();
  }
}

void
HttpServer::Stop()
{
  stopping_ = true;
  if (acceptor_.joinable()) {
    acceptor_.join();
    socket_.close();
  }
  DropConnections();
  std::unique_lock lock(mutex_);
  ended_.wait(lock, [this] { return open_.empty(); });
}

std::string
FormatRequest(const std::string& aHost,
              const HttpRequest& aRequest,
              bool aKeepAlive)
{
  std::string text = aRequest.method_ + " " + aRequest.path_ +
                     " HTTP/1.1\r\nHost: " + aHost + "\r\n";
  for (const auto& [name, value] : aRequest.headers_) {
    text += name;
    text += ": ";
    text += value;
    text += "\r\n";
  }
  if (!aRequest.body_.empty() || aRequest.method_ == "POST" ||
      aRequest.method_ == "PUT" || aRequest.method_ == "PATCH") {
    text += "Content-Length: " + std::to_string(aRequest.body_.size()) + "\r\n";
  }
  if (!aKeepAlive) {
    text += "Connection: close\r\n";
  }
  return text + "\r\n" + aRequest.body_;
}

HttpOutcome
HttpCaller::Call(const std::string& aAddress,
                 const HttpRequest& aRequest,
                 Millis aTimeout)
{
  const auto deadline = Clock::now() + aTimeout;
  HttpOutcome outcome;
  auto connection = std::move(kept_[aAddress]);
  try {
    if (connection) {
      ++reused_;
    } else {
      Poco::Net::StreamSocket socket;
      socket.connect(Poco::Net::SocketAddress(aAddress),
                     ToTimespan(std::min(aTimeout, kConnectTimeout)));
      connection = std::make_unique<HttpConnection>(socket);
    }
    outcome.sent_ = true;
    if (!connection->Send(FormatRequest(aAddress, aRequest, true))) {
      return outcome;
    }
    outcome.end_ = connection->ReadAnswer(
      outcome.answer_, Until(deadline), aRequest.method_ == "HEAD");
    if (outcome.Answered() && outcome.answer_.Header("connection") != "close") {
      kept_[aAddress] = std::move(connection);
    }
  } catch (const Poco::TimeoutException&) {
    outcome.end_ = ReadEnd::TimedOut;
  } catch (const Poco::Exception&) {
    outcome.end_ = ReadEnd::Closed;
  }
  return outcome;
}

HttpOutcome
HttpCall(const std::string& aAddress,
         const HttpRequest& aRequest,
         Millis aTimeout)
{
  const auto deadline = Clock::now() + aTimeout;
  HttpOutcome outcome;
  try {
    Poco::Net::StreamSocket socket;
    socket.connect(Poco::Net::SocketAddress(aAddress),
                   ToTimespan(std::min(aTimeout, kConnectTimeout)));
    HttpConnection connection(socket);
    outcome.sent_ = true;
    if (!connection.Send(FormatRequest(aAddress, aRequest, false))) {
      return outcome;
    }
    outcome.end_ = connection.ReadAnswer(
      outcome.answer_, Until(deadline), aRequest.method_ == "HEAD");
  } catch (const Poco::TimeoutException&) {
    outcome.end_ = ReadEnd::TimedOut;
  } catch (const Poco::Exception&) {
    outcome.end_ = ReadEnd::Closed;
  }
  return outcome;
}

std::string
BodyChecksum(std::string_view aBody)
{
  std::array<char, 17> text{};
  std::snprintf(
    text.data(),
    text.size(),
    "%016llx",
    static_cast<unsigned long long>(XXH64(aBody.data(), aBody.size(), 0)));
  return text.data();
}

std::uint64_t
MonotonicNs()
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::nanoseconds>(
      Clock::now().time_since_epoch())
      .count());
}

} // namespace acaciahill::testing
