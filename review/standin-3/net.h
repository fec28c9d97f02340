#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <set>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

// Small blocking HTTP/1.1 client and server for the stand-ins. Each connection
// has a thread.

namespace review {

using Clock = std::chrono::steady_clock;

inline std::int64_t
NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           Clock::now().time_since_epoch())
    .count();
}

inline void
SleepMs(std::int64_t aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

struct Request
{
  std::string method_;
  std::string path_;
  std::map<std::string, std::string> headers_;
  std::string body_;
};

struct Answer
{
  int status_ = 0;
  std::string body_;
  std::map<std::string, std::string> headers_;
};

inline sockaddr_in
EndpointOf(const std::string& aAddress)
{
  const auto colon = aAddress.find(':');
  sockaddr_in endpoint{};
  endpoint.sin_family = AF_INET;
  endpoint.sin_port = htons(
    static_cast<std::uint16_t>(std::stoi(aAddress.substr(colon + 1))));
  inet_pton(AF_INET, aAddress.substr(0, colon).c_str(), &endpoint.sin_addr);
  return endpoint;
}

/// Reads one message; the first line is returned apart. Nothing at the end of
/// the connection, after the deadline, or when aStop is set.
class Reader
{
public:
  Reader(int aSocket, const std::atomic<bool>* aStop)
    : socket_(aSocket)
    , stop_(aStop)
  {
  }

  bool Read(std::string& aFirstLine,
            std::map<std::string, std::string>& aHeaders,
            std::string& aBody,
            std::int64_t aDeadlineMs)
  {
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(aDeadlineMs)) {
        return false;
      }
    }
    const auto head = buffer_.substr(0, end);
    buffer_.erase(0, end + 4);
    auto at = head.find("\r\n");
    aFirstLine = head.substr(0, at);
    while (at != std::string::npos) {
      const auto next = head.find("\r\n", at + 2);
      const auto line = head.substr(
        at + 2, next == std::string::npos ? next : next - at - 2);
      if (const auto colon = line.find(':'); colon != std::string::npos) {
        std::string name;
        for (const char c : line.substr(0, colon)) {
          name += static_cast<char>(std::tolower(c));
        }
        auto value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        aHeaders[name] = value;
      }
      at = next;
    }
    const auto length = aHeaders.find("content-length");
    const std::size_t size =
      length == aHeaders.end() ? 0 : std::stoul(length->second);
    while (buffer_.size() < size) {
      if (!Fill(aDeadlineMs)) {
        return false;
      }
    }
    aBody = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return true;
  }

private:
  bool Fill(std::int64_t aDeadlineMs)
  {
    while (NowMs() < aDeadlineMs && !(stop_ && *stop_)) {
      pollfd waiting{ socket_, POLLIN, 0 };
      if (::poll(&waiting, 1, 50) <= 0) {
        continue;
      }
      char bytes[8192];
      const auto count = ::recv(socket_, bytes, sizeof bytes, 0);
      if (count <= 0) {
        return false;
      }
      buffer_.append(bytes, static_cast<std::size_t>(count));
      return true;
    }
    return false;
  }

  int socket_;
  const std::atomic<bool>* stop_;
  std::string buffer_;
};

inline bool
SendAll(int aSocket, const std::string& aBytes)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const auto count = ::send(
      aSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

/// One call on a connection of its own; nothing without a complete answer.
inline std::optional<Answer>
Call(const std::string& aAddress,
     const std::string& aMethod,
     const std::string& aPath,
     const std::string& aHost,
     const std::string& aBody,
     std::int64_t aTimeoutMs)
{
  const auto deadline = NowMs() + aTimeoutMs;
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  const auto endpoint = EndpointOf(aAddress);
  std::optional<Answer> result;
  ::connect(
    socket, reinterpret_cast<const sockaddr*>(&endpoint), sizeof endpoint);
  pollfd waiting{ socket, POLLOUT, 0 };
  int error = 0;
  socklen_t size = sizeof error;
  if (::poll(&waiting, 1, static_cast<int>(aTimeoutMs)) == 1 &&
      ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) == 0 &&
      error == 0) {
    const auto text = aMethod + " " + aPath + " HTTP/1.1\r\nHost: " + aHost +
                      "\r\nContent-Type: application/json\r\n" +
                      "X-Deadline-Ms: " + std::to_string(aTimeoutMs) +
                      "\r\nContent-Length: " + std::to_string(aBody.size()) +
                      "\r\n\r\n" + aBody;
    std::string line;
    Answer answer;
    Reader reader(socket, nullptr);
    if (SendAll(socket, text) &&
        reader.Read(line, answer.headers_, answer.body_, deadline)) {
      answer.status_ = std::stoi(line.substr(line.find(' ') + 1));
      result = answer;
    }
  }
  ::close(socket);
  return result;
}

/// Answers requests at one address until it is destroyed. A handler that
/// returns nothing leaves the request without an answer, and the connection
/// open until the peer closes it.
class Server
{
public:
  using Handler = std::function<std::optional<Answer>(const Request&)>;

  Server(std::string aAddress, Handler aHandler)
    : handler_(std::move(aHandler))
  {
    listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto endpoint = EndpointOf(aAddress);
    isOpen_ = ::bind(listener_,
                     reinterpret_cast<const sockaddr*>(&endpoint),
                     sizeof endpoint) == 0 &&
              ::listen(listener_, 256) == 0;
    thread_ = std::thread([this] { Accept(); });
  }

  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  ~Server()
  {
    stop_ = true;
    thread_.join();
    for (auto& thread : threads_) {
      thread.join();
    }
    ::close(listener_);
  }

  bool IsOpen() const { return isOpen_; }

private:
  void Accept()
  {
    while (!stop_) {
      pollfd waiting{ listener_, POLLIN, 0 };
      if (::poll(&waiting, 1, 50) != 1) {
        continue;
      }
      const int socket = ::accept(listener_, nullptr, nullptr);
      if (socket >= 0) {
        const int on = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        threads_.emplace_back([this, socket] { Serve(socket); });
      }
    }
  }

  void Serve(int aSocket)
  {
    Reader reader(aSocket, &stop_);
    constexpr std::int64_t kIdleMs = 600000;
    std::string line;
    while (!stop_) {
      Request request;
      if (!reader.Read(
            line, request.headers_, request.body_, NowMs() + kIdleMs)) {
        break;
      }
      const auto space = line.find(' ');
      request.method_ = line.substr(0, space);
      request.path_ =
        line.substr(space + 1, line.find(' ', space + 1) - space - 1);
      const auto answer = handler_(request);
      if (!answer) {
        // Keeps the connection open without an answer.
        continue;
      }
      if (!SendAll(aSocket,
                   "HTTP/1.1 " + std::to_string(answer->status_) +
                     " X\r\nContent-Type: application/json\r\n"
                     "Content-Length: " +
                     std::to_string(answer->body_.size()) + "\r\n\r\n" +
                     answer->body_)) {
        break;
      }
    }
    ::close(aSocket);
  }

  Handler handler_;
  int listener_ = -1;
  bool isOpen_ = false;
  std::atomic<bool> stop_{ false };
  std::thread thread_;
  std::vector<std::thread> threads_;
};

} // namespace review
