#pragma once

#include "http/http_message_type.h"
#include "kernel/error_type.h"
#include "kernel/time_type.h"
#include "relay/buffer_budget_base.h"
#include "relay/os_socket_func.h"
#include "routing/router_type.h"

#include <Poco/Net/StreamSocket.h>

#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace acaciahill {

struct TargetClientSettings
{
  HttpLimits limits_;
  Millis connectTimeout_{ 500 };
  /// Idle time after which a connection is not used again. It is short for
  /// requests that may not be repeated, as a target may close an idle
  /// connection at the moment a request is written to it.
  Millis maxIdleAge_{ 4000 };
  Millis maxIdleAgeUnrepeatable_{ 1000 };
  std::size_t maxIdlePerTarget_ = 16;

  bool operator==(const TargetClientSettings&) const = default;
};

/// Runs the write of a request's first bytes if the target may still be used
/// at that moment, and tells whether it did.
using GuardedWrite = std::function<bool(const std::function<void()>& aWrite)>;

/// One sending of a request.
struct TargetAttempt
{
  /// Numeric address and port.
  std::string address_;
  /// Makes the request without its body, right before its first byte is
  /// written.
  std::function<HttpRequest(MonotonicTime aNow)> makeRequest_;
  /// Must outlive the call.
  std::string_view body_;
  /// An answer that names another Acaciahill-Request-Id belongs to another
  /// request.
  std::string requestId_;
  bool isHeadRequest_ = false;
  bool repeatable_ = false;
  MonotonicTime timeout_{};
  GuardedWrite writeIfAllowed_;
  /// Socket to watch for the caller's close, -1 for none, and what to do then.
  int callerFd_ = -1;
  std::function<void()> onCallerGone_;
  /// A fresh connection that is closed afterwards.
  bool dedicatedConnection_ = false;
};

struct TargetOutcome
{
  AttemptEnd end_ = AttemptEnd::NotSent;
  /// Whole for Answered and TargetRefused.
  HttpAnswer answer_;
  /// When its first byte was about to be written.
  MonotonicTime sentAt_{};
  std::string detail_;
};

/// Connections to targets. A request goes out on exactly one connection and at
/// most once for each call of Send. A connection that timed out, gave a wrong
/// answer or holds bytes after one is closed, so that a late answer can never
/// be taken for that of another request. Thread-safe.
class TargetClient
{
public:
  /// Waits of Send end when aAbort is raised.
  TargetClient(const TargetClientSettings& aSettings,
               const StickyEvent& aAbort);

  /// Sends the request and reads the answer, which takes its bytes of aLease.
  TargetOutcome Send(const TargetAttempt& aAttempt, BufferLease& aLease);

  /// Closes idle connections that are too old.
  void CloseOldIdle(MonotonicTime aNow);
  void CloseAllIdle();

private:
  struct IdleConnection
  {
    Poco::Net::StreamSocket socket_;
    MonotonicTime since_{};
  };
  struct Exchange;

  bool TakeIdle(const std::string& aAddress,
                Millis aMaxAge,
                Poco::Net::StreamSocket& aSocket);
  void CloseIdle(const std::string& aAddress);
  void KeepIdle(const std::string& aAddress,
                const Poco::Net::StreamSocket& aSocket);
  /// Errors: IoError, Timeout.
  Result<Poco::Net::StreamSocket> Connect(const std::string& aAddress,
                                          Millis aTimeout) const;
  bool WriteFirstBytes(Exchange& aExchange) const;
  void RunExchange(Exchange& aExchange, BufferLease& aLease) const;
  void WriteMore(Exchange& aExchange) const;
  void ReadMore(Exchange& aExchange, BufferLease& aLease) const;
  static void ClassifyOutcome(TargetOutcome& aOutcome,
                              const std::string& aRequestId);

  TargetClientSettings settings_;
  const StickyEvent& abort_;
  std::mutex mutex_;
  std::map<std::string, std::list<IdleConnection>> idle_;
};

} // namespace acaciahill
