#include "relay/target_client_base.h"

#include "kernel/os_clock_func.h"
#include "relay/http_framing_func.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <array>
#include <optional>

namespace acaciahill {

using Poco::Net::StreamSocket;

namespace {

// TCP_USER_TIMEOUT: how long sent bytes may stay unacknowledged.
constexpr Millis kTcpUserTimeout{ 10000 };
constexpr std::int64_t kStatusMisdirected = 421;
constexpr std::int64_t kStatusUnavailable = 503;
constexpr std::int64_t kUsPerMs = 1000;

AttemptEnd
EndOfError(ErrorKind aKind)
{
  return aKind == ErrorKind::AnswerTooLarge ? AttemptEnd::TooLarge
                                            : AttemptEnd::Malformed;
}

} // namespace

/// One request on one connection.
struct TargetClient::Exchange
{
  const TargetAttempt& attempt_;
  StreamSocket socket_;
  /// The connection has carried an earlier request.
  bool reused_ = false;
  std::string head_;
  std::size_t written_ = 0;
  bool writeFailed_ = false;
  bool callerGone_ = false;
  AnswerParser parser_;
  std::string buffer_;
  /// Set once the exchange is over.
  std::optional<AttemptEnd> end_;
  std::string detail_;
  MonotonicTime sentAt_{};

  int Fd() const { return socket_.impl()->sockfd(); }
  bool IsWritten() const
  {
    return written_ == head_.size() + attempt_.body_.size();
  }

  void End(AttemptEnd aEnd, std::string aDetail)
  {
    end_ = aEnd;
    detail_ = std::move(aDetail);
  }
};

TargetClient::TargetClient(const TargetClientSettings& aSettings,
                           const StickyEvent& aAbort)
  : settings_(aSettings)
  , abort_(aAbort)
{
}

TargetOutcome
TargetClient::Send(const TargetAttempt& aAttempt, BufferLease& aLease)
{
  const auto idleAge = aAttempt.repeatable_ ? settings_.maxIdleAge_
                                            : settings_.maxIdleAgeUnrepeatable_;
  for (;;) {
    StreamSocket socket;
    const bool reused = !aAttempt.dedicatedConnection_ &&
                        TakeIdle(aAttempt.address_, idleAge, socket);
    if (!reused) {
      auto connected =
        Connect(aAttempt.address_, aAttempt.timeout_ - MonotonicNow());
      if (!IsOk(connected)) {
        return { AttemptEnd::NotSent, {}, {}, ErrorOf(connected).detail_ };
      }
      socket = ValueOf(connected);
    }
    Exchange exchange{
      aAttempt, socket,
      reused,   {},
      0,        false,
      false,    AnswerParser(settings_.limits_, aAttempt.isHeadRequest_),
      {},       {},
      {},       {}
    };
    if (!WriteFirstBytes(exchange)) {
      if (exchange.end_ == AttemptEnd::NotSent && reused) {
        // No byte was sent, so the request can go out on another connection.
        continue;
      }
      if (exchange.end_ == AttemptEnd::Expired && reused) {
        KeepIdle(aAttempt.address_, socket);
      }
      return { *exchange.end_, {}, {}, exchange.detail_ };
    }
    RunExchange(exchange, aLease);
    TargetOutcome outcome{
      *exchange.end_, {}, exchange.sentAt_, exchange.detail_
    };
    if (outcome.end_ == AttemptEnd::TimedOut) {
      // If this connection lost its state on the way (in a firewall, say), the
      // idle ones to the same target may have lost theirs too.
      CloseIdle(aAttempt.address_);
    }
    if (outcome.end_ == AttemptEnd::Answered) {
      outcome.answer_ = exchange.parser_.TakeAnswer();
      const bool isOwn = CheckRequestId(outcome, aAttempt.requestId_, reused);
      if (isOwn && outcome.answer_.keepAlive_ && exchange.IsWritten() &&
          exchange.buffer_.empty() && !aAttempt.dedicatedConnection_) {
        KeepIdle(aAttempt.address_, socket);
      }
    }
    return outcome;
  }
}

bool
TargetClient::CheckRequestId(TargetOutcome& aOutcome,
                             const std::string& aRequestId,
                             bool aReused)
{
  constexpr std::string_view kHeader = "Acaciahill-Request-Id";
  const auto& headers = aOutcome.answer_.headers_;
  const auto echoedId = FindHeader(headers, kHeader);
  const bool isOther =
    echoedId && (*echoedId != aRequestId || CountHeader(headers, kHeader) > 1);
  const bool isUnproved = !echoedId && aReused;
  if (isOther || isUnproved) {
    aOutcome.end_ = AttemptEnd::Malformed;
    aOutcome.detail_ = isOther
                         ? "the answer names another request"
                         : "the answer on a reused connection names no request";
    return false;
  }
  ReadStatedOutcome(aOutcome);
  return echoedId.has_value();
}

void
TargetClient::ReadStatedOutcome(TargetOutcome& aOutcome)
{
  const auto& answer = aOutcome.answer_;
  const bool mayRefuse = answer.status_ == kStatusMisdirected ||
                         answer.status_ == kStatusUnavailable;
  const auto statedOutcome = FindHeader(answer.headers_, "Acaciahill-Outcome");
  if (mayRefuse && statedOutcome && *statedOutcome == "not-run") {
    aOutcome.end_ = AttemptEnd::TargetRefused;
  }
}

Result<StreamSocket>
TargetClient::Connect(const std::string& aAddress, Millis aTimeout) const
{
  const auto limit = std::min(aTimeout, settings_.connectTimeout_);
  if (limit <= Millis{ 0 }) {
    return Error{ ErrorKind::Timeout, "no time is left to connect" };
  }
  try {
    StreamSocket socket;
    socket.connect(Poco::Net::SocketAddress(aAddress),
                   Poco::Timespan(limit.count() * kUsPerMs));
    SetTcpOptions(socket.impl()->sockfd(), kTcpUserTimeout);
    return socket;
  } catch (const Poco::TimeoutException&) {
    return Error{ ErrorKind::Timeout, "connecting took too long" };
  } catch (const Poco::Exception& error) {
    return Error{ ErrorKind::IoError, error.displayText() };
  }
}

bool
TargetClient::WriteFirstBytes(Exchange& aExchange) const
{
  const auto& attempt = aExchange.attempt_;
  for (;;) {
    IoResult result;
    aExchange.sentAt_ = MonotonicNow();
    aExchange.head_ = RequestHead(attempt.makeRequest_(aExchange.sentAt_),
                                  attempt.body_.size());
    const bool allowed = attempt.writeIfAllowed_([&] {
      result = WriteSome(aExchange.Fd(), aExchange.head_, attempt.body_, 0);
    });
    if (!allowed) {
      aExchange.End(AttemptEnd::Expired, "the target may not be used any more");
      return false;
    }
    if (result.status_ == IoStatus::Transferred && result.size_ > 0) {
      aExchange.written_ = result.size_;
      return true;
    }
    const auto left = attempt.timeout_ - MonotonicNow();
    if (result.status_ == IoStatus::Failed || left <= Millis{ 0 }) {
      aExchange.End(AttemptEnd::NotSent, "no byte could be written");
      return false;
    }
    std::array<SocketInterest, 2> waits{ SocketInterest{
                                           aExchange.Fd(), false, true, false },
                                         { abort_.Fd(), true, false, false } };
    WaitForSockets(waits.data(), waits.size(), left);
    if (waits[1].read_) {
      aExchange.End(AttemptEnd::NotSent, "the node stops");
      return false;
    }
  }
}

void
TargetClient::RunExchange(Exchange& aExchange, BufferLease& aLease) const
{
  const auto& attempt = aExchange.attempt_;
  while (!aExchange.end_) {
    const auto left = attempt.timeout_ - MonotonicNow();
    if (left <= Millis{ 0 }) {
      aExchange.End(AttemptEnd::TimedOut, "no whole answer in time");
      return;
    }
    const bool watchesCaller = attempt.callerFd_ >= 0 && !aExchange.callerGone_;
    const bool writes = !aExchange.IsWritten() && !aExchange.writeFailed_;
    std::array<SocketInterest, 3> waits{
      SocketInterest{ aExchange.Fd(), true, writes, false },
      { abort_.Fd(), true, false, false },
      { watchesCaller ? attempt.callerFd_ : -1, false, false, true }
    };
    if (!WaitForSockets(waits.data(), waits.size(), left)) {
      continue;
    }
    if (waits[1].read_) {
      aExchange.End(AttemptEnd::Lost, "the node stops");
      return;
    }
    if (waits[2].hangup_) {
      aExchange.callerGone_ = true;
      attempt.onCallerGone_();
    }
    if (waits[0].read_) {
      ReadMore(aExchange, aLease);
    }
    if (waits[0].write_ && !aExchange.end_) {
      WriteMore(aExchange);
    }
  }
}

void
TargetClient::WriteMore(Exchange& aExchange) const
{
  const auto result = WriteSome(aExchange.Fd(),
                                aExchange.head_,
                                aExchange.attempt_.body_,
                                aExchange.written_);
  if (result.status_ == IoStatus::Transferred) {
    aExchange.written_ += result.size_;
  } else if (result.status_ == IoStatus::Failed) {
    // The target may have answered before it closed; reading goes on.
    aExchange.writeFailed_ = true;
  }
}

void
TargetClient::ReadMore(Exchange& aExchange, BufferLease& aLease) const
{
  const auto read = ReadSome(aExchange.Fd(), aExchange.buffer_);
  if (read.status_ == IoStatus::WouldBlock) {
    return;
  }
  if (read.status_ == IoStatus::Failed) {
    aExchange.End(AttemptEnd::Lost, "the connection failed");
    return;
  }
  if (read.status_ == IoStatus::End) {
    aExchange.End(AttemptEnd::Lost, "the connection ended within the answer");
    return;
  }
  if (!aLease.Grow(read.size_)) {
    aExchange.End(AttemptEnd::TooLarge, "no buffer is left for the answer");
    return;
  }
  const auto status = aExchange.parser_.Put(aExchange.buffer_);
  if (!IsOk(status)) {
    const auto& error = ErrorOf(status);
    aExchange.End(EndOfError(error.kind_), error.detail_);
  } else if (ValueOf(status) == FramingStatus::Complete) {
    aExchange.End(AttemptEnd::Answered, {});
  }
}

bool
TargetClient::TakeIdle(const std::string& aAddress,
                       Millis aMaxAge,
                       StreamSocket& aSocket)
{
  const auto now = MonotonicNow();
  const std::lock_guard lock(mutex_);
  const auto found = idle_.find(aAddress);
  if (found == idle_.end()) {
    return false;
  }
  auto& connections = found->second;
  while (!connections.empty()) {
    const auto newest = connections.back();
    if (now - newest.since_ > aMaxAge) {
      // The others are even older. Closing one for each new connection keeps
      // the target's connections at the number of concurrent requests.
      connections.pop_front();
      return false;
    }
    connections.pop_back();
    // Readable means closed by the target, or bytes that belong to no request.
    if (!IsReadable(newest.socket_.impl()->sockfd())) {
      aSocket = newest.socket_;
      return true;
    }
  }
  return false;
}

void
TargetClient::KeepIdle(const std::string& aAddress, const StreamSocket& aSocket)
{
  const std::lock_guard lock(mutex_);
  auto& connections = idle_[aAddress];
  connections.push_back({ aSocket, MonotonicNow() });
  if (connections.size() > settings_.maxIdlePerTarget_) {
    connections.pop_front();
  }
}

void
TargetClient::CloseIdle(const std::string& aAddress)
{
  const std::lock_guard lock(mutex_);
  idle_.erase(aAddress);
}

void
TargetClient::CloseOldIdle(MonotonicTime aNow)
{
  const std::lock_guard lock(mutex_);
  for (auto& [address, connections] : idle_) {
    connections.remove_if([aNow, this](const IdleConnection& aConnection) {
      return aNow - aConnection.since_ > settings_.maxIdleAge_ ||
             IsReadable(aConnection.socket_.impl()->sockfd());
    });
  }
  std::erase_if(idle_, [](const auto& aItem) { return aItem.second.empty(); });
}

void
TargetClient::CloseAllIdle()
{
  const std::lock_guard lock(mutex_);
  idle_.clear();
}

} // namespace acaciahill
