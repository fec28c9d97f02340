#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

/// Blocking HTTP/1.1 for the stand-ins: one thread a connection.
namespace review {

struct Request
{
  std::string method_;
  std::string path_;
  std::map<std::string, std::string> headers_;
  std::string body_;
};

struct Response
{
  /// 0: no answer is sent, and the connection is closed.
  int status_ = 200;
  std::string body_;
};

inline sockaddr_in
ToSockaddr(const std::string& aAddress)
{
  const auto colon = aAddress.find(':');
  sockaddr_in made{};
  made.sin_family = AF_INET;
  made.sin_port =
    htons(static_cast<std::uint16_t>(std::stoi(aAddress.substr(colon + 1))));
  inet_pton(AF_INET, aAddress.substr(0, colon).c_str(), &made.sin_addr);
  return made;
}

inline bool
SendAll(int aSocket, const std::string& aBytes)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const auto count =
      ::send(aSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

/// Reads one message; the start line and the headers are returned apart from
/// the body. False at the end of the connection or after a time-out.
inline bool
ReadMessage(int aSocket,
            std::string& aBuffer,
            std::string& aHead,
            std::string& aBody)
{
  char part[16384];
  const auto more = [&] {
    const auto count = ::recv(aSocket, part, sizeof part, 0);
    if (count <= 0) {
      return false;
    }
    aBuffer.append(part, static_cast<std::size_t>(count));
    return true;
  };
  std::size_t end = 0;
  while ((end = aBuffer.find("\r\n\r\n")) == std::string::npos) {
    if (!more()) {
      return false;
    }
  }
  aHead = aBuffer.substr(0, end + 2);
  aBuffer.erase(0, end + 4);
  std::size_t length = 0;
  std::string lower = aHead;
  for (auto& letter : lower) {
    letter = static_cast<char>(std::tolower(letter));
  }
  if (const auto at = lower.find("\r\ncontent-length:");
      at != std::string::npos) {
    length = std::stoul(lower.substr(at + 17));
  }
  while (aBuffer.size() < length) {
    if (!more()) {
      return false;
    }
  }
  aBody = aBuffer.substr(0, length);
  aBuffer.erase(0, length);
  return true;
}

/// Sends one request over a connection of its own. Nothing when no whole answer
/// comes in time.
inline std::optional<Response>
Call(const std::string& aAddress,
     const std::string& aMethod,
     const std::string& aPath,
     const std::string& aHost,
     const std::string& aBody,
     int aTimeoutMs)
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto address = ToSockaddr(aAddress);
  const timeval limit{ aTimeoutMs / 1000, (aTimeoutMs % 1000) * 1000 };
  ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  std::optional<Response> response;
  if (::connect(socket,
                reinterpret_cast<const sockaddr*>(&address),
                sizeof address) == 0) {
    const auto text =
      aMethod + " " + aPath + " HTTP/1.1\r\nHost: " + aHost +
      "\r\nConnection: close\r\nContent-Type: application/json\r\n"
      "Content-Length: " +
      std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
    std::string buffer;
    std::string head;
    std::string body;
    if (SendAll(socket, text) && ReadMessage(socket, buffer, head, body) &&
        head.size() > 12) {
      response = Response{ std::stoi(head.substr(9, 3)), body };
    }
  }
  ::close(socket);
  return response;
}

/// Server on one address. Close() drops the port and all connections at once,
/// as the end of a process does.
class Server
{
public:
  using Handler = std::function<Response(const Request&)>;

  Server(std::string aAddress, Handler aHandler)
    : address_(std::move(aAddress))
    , handler_(std::move(aHandler))
  {
  }
  ~Server() { Close(); }

  bool Open()
  {
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    const auto address = ToSockaddr(address_);
    if (::bind(listener_,
               reinterpret_cast<const sockaddr*>(&address),
               sizeof address) != 0 ||
        ::listen(listener_, 256) != 0) {
      return false;
    }
    acceptor_ = std::thread([this] { Accept(); });
    return true;
  }

  void Close()
  {
    if (closed_.exchange(true)) {
      return;
    }
    ::shutdown(listener_, SHUT_RDWR);
    if (acceptor_.joinable()) {
      acceptor_.join();
    }
    ::close(listener_);
    {
      const std::lock_guard lock(mutex_);
      for (const int each : open_) {
        ::shutdown(each, SHUT_RDWR);
      }
    }
    while (true) {
      {
        const std::lock_guard lock(mutex_);
        if (open_.empty()) {
          return;
        }
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
  }

private:
  void Accept()
  {
    while (!closed_) {
      const int socket = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) {
        if (closed_) {
          return;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
        continue;
      }
      const int yes = 1;
      ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
      {
        const std::lock_guard lock(mutex_);
        open_.insert(socket);
      }
      std::thread([this, socket] { Serve(socket); }).detach();
    }
  }

  void Serve(int aSocket)
  {
    std::string buffer;
    std::string head;
    Request request;
    while (!closed_ && ReadMessage(aSocket, buffer, head, request.body_)) {
      const auto first = head.find(' ');
      const auto second = head.find(' ', first + 1);
      request.method_ = head.substr(0, first);
      request.path_ = head.substr(first + 1, second - first - 1);
      request.headers_.clear();
      for (auto at = head.find("\r\n"); at != std::string::npos;) {
        const auto next = head.find("\r\n", at + 2);
        if (next == std::string::npos) {
          break;
        }
        const auto line = head.substr(at + 2, next - at - 2);
        const auto colon = line.find(": ");
        if (colon != std::string::npos) {
          request.headers_[line.substr(0, colon)] = line.substr(colon + 2);
        }
        at = next;
      }
      const auto response = handler_(request);
      if (response.status_ == 0 || closed_ ||
          !SendAll(aSocket,
                   "HTTP/1.1 " + std::to_string(response.status_) +
                     " X\r\nContent-Type: application/json\r\n"
                     "Content-Length: " +
                     std::to_string(response.body_.size()) + "\r\n\r\n" +
                     response.body_)) {
        break;
      }
    }
    const std::lock_guard lock(mutex_);
    open_.erase(aSocket);
    ::close(aSocket);
  }

  const std::string address_;
  const Handler handler_;
  int listener_ = -1;
  std::atomic<bool> closed_{ false };
  std::thread acceptor_;
  std::mutex mutex_;
  std::set<int> open_;
};

} // namespace review
