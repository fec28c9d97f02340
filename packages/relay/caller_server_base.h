#pragma once

#include "http/buffer_budget_base.h"
#include "http/http_message_type.h"
#include "kernel/error_type.h"
#include "relay/os_socket_func.h"
#include "relay/relay_type.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace acaciahill {

/// The connection on which a request arrived.
struct CallerLink
{
  int fd_ = -1;
  std::string peerIp_;

  bool operator==(const CallerLink&) const = default;
};

struct CallerReply
{
  HttpAnswer answer_;
  /// Released once the answer has been written or writing it has failed.
  std::shared_ptr<void> heldUntilWritten_;
};

/// Answers callers' requests. Called from many threads.
class CallerHandler
{
public:
  CallerHandler() = default;
  CallerHandler(const CallerHandler&) = delete;
  CallerHandler& operator=(const CallerHandler&) = delete;
  virtual ~CallerHandler() = default;

  /// Error with which to refuse a request before its body is read, or nullopt.
  virtual std::optional<Error> CheckHead(const HttpRequest& aRequest) = 0;

  /// Blocks until the request is answered.
  virtual CallerReply Handle(HttpRequest aRequest, const CallerLink& aLink) = 0;

  /// A request was refused before it reached Handle.
  virtual void OnRefused(ErrorKind aKind) = 0;
};

/// HTTP server for callers: one thread for each connection; requests on one
/// connection are served in order.
class CallerServer
{
public:
  /// Raising aStop refuses requests that are not completely read and closes
  /// idle connections; raising aAbort ends every wait.
  CallerServer(RelaySettings aSettings,
               CallerHandler& aHandler,
               BufferBudget& aBudget,
               const StickyEvent& aStop,
               const StickyEvent& aAbort);
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;
  ~CallerServer();

  Result<Done> Start();
  std::uint16_t Port() const { return port_; }

  /// Closes the listening socket.
  void StopListening();

  /// Waits until all connections have ended; false if some have not by aUntil.
  bool WaitForEnd(MonotonicTime aUntil);

  /// Waits for the threads; aAbort must have been raised.
  void Join();

private:
  class Connection;

  /// A connection over the limit that was refused; it stays open until closeAt_
  /// so that the caller can read the answer.
  struct Rejected
  {
    Poco::Net::StreamSocket socket_;
    MonotonicTime closeAt_{};
  };

  void AcceptLoop();
  void AcceptOne();
  /// Shuts the connection down that has sent nothing the longest or, when all
  /// have, the one that has been sending a request the longest; false when all
  /// have requests in work or are idle after one. Needs mutex_.
  bool ShutLongestWaiting();
  void Reject(Poco::Net::StreamSocket& aSocket);
  void DrainRejected();
  void Remove(const Connection* aConnection);

  RelaySettings settings_;
  CallerHandler& handler_;
  BufferBudget& budget_;
  const StickyEvent& stop_;
  const StickyEvent& abort_;
  StickyEvent closeListener_;
  Poco::Net::ServerSocket listener_;
  std::uint16_t port_ = 0;
  Poco::ThreadPool threads_;
  std::thread acceptor_;
  std::mutex mutex_;
  std::condition_variable ended_;
  std::map<const Connection*, std::unique_ptr<Connection>> connections_;
  std::vector<Rejected> rejected_;
};

} // namespace acaciahill
