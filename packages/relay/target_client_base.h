#pragma once

#include "http/buffer_budget_base.h"
#include "http/http_message_type.h"
#include "kernel/error_type.h"
#include "kernel/time_type.h"
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
  /// Idle time after which a connection is not reused. It is shorter for
  /// requests that may not be repeated, as a target may close an idle
  /// connection while a request is written to it.
  Millis maxIdleAge_{ 4000 };
  Millis maxIdleAgeUnrepeatable_{ 1000 };
  std::size_t maxIdlePerTarget_ = 16;

  bool operator==(const TargetClientSettings&) const = default;
};

/// Calls aWrite, which writes a request's first bytes, if the target may still
/// be used at that moment; returns whether it did.
using GuardedWrite = std::function<bool(const std::function<void()>& aWrite)>;

/// One attempt to send a request.
struct TargetAttempt
{
  /// Numeric address and port.
  std::string address_;
  /// Builds the request without its body, right before its first byte is
  /// written.
  std::function<HttpRequest(MonotonicTime aNow)> makeRequest_;
  /// Must outlive the call to Send.
  std::string_view body_;
  /// An answer with another Acaciahill-Request-Id is rejected as malformed; on
  /// a reused connection also one without it.
  std::string requestId_;
  bool isHeadRequest_ = false;
  bool repeatable_ = false;
  MonotonicTime timeout_{};
  GuardedWrite writeIfAllowed_;
  /// The caller's socket, -1 for none; onCallerGone_ is called when it closes.
  int callerFd_ = -1;
  std::function<void()> onCallerGone_;
  /// Use a new connection and close it afterwards.
  bool dedicatedConnection_ = false;
};

struct TargetOutcome
{
  AttemptEnd end_ = AttemptEnd::NotSent;
  /// Complete for Answered and TargetRefused.
  HttpAnswer answer_;
  /// Taken right before the request's first byte was written.
  MonotonicTime sentAt_{};
  std::string detail_;
};

/// HTTP client with a pool of connections to targets. Each call of Send sends
/// the request at most once, on one connection. A connection is reused only
/// after an answer that echoed its Acaciahill-Request-Id: without that, a
/// second answer to the same request that arrives late could not be told from
/// the next one's. A connection that timed out, gave a malformed answer or
/// holds bytes after an answer is closed. Thread-safe.
class TargetClient
{
public:
  /// Raising aAbort ends waits in Send.
  TargetClient(const TargetClientSettings& aSettings,
               const StickyEvent& aAbort);

  /// Sends the request and reads the answer, whose bytes aLease reserves.
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
  /// Marks the outcome as malformed if its answer may be another request's, and
  /// reads the stated outcome otherwise. Returns whether the answer echoed the
  /// request id.
  static bool CheckRequestId(TargetOutcome& aOutcome,
                             const std::string& aRequestId,
                             bool aReused);
  /// Turns an answer that states that the request did not run into a refusal.
  static void ReadStatedOutcome(TargetOutcome& aOutcome);

  TargetClientSettings settings_;
  const StickyEvent& abort_;
  std::mutex mutex_;
  std::map<std::string, std::list<IdleConnection>> idle_;
};

} // namespace acaciahill
