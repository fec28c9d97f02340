#pragma once

#include "kernel/os_clock_func.h"
#include "relay/http_framing_func.h"
#include "relay/relay_base.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace acaciahill::test {

/// Timeout of every wait in the tests; the test fails when it is reached.
inline constexpr Millis kLimit{ 20000 };
inline constexpr std::size_t kMaxBody = std::size_t{ 16 } * 1024 * 1024;

/// One end of a connection, with reads that time out after kLimit.
class RawConnection
{
public:
  explicit RawConnection(Poco::Net::StreamSocket aSocket)
    : socket_(std::move(aSocket))
  {
    socket_.setReceiveTimeout(Poco::Timespan(kLimit.count() * 1000));
    socket_.setSendTimeout(Poco::Timespan(kLimit.count() * 1000));
    socket_.setNoDelay(true);
  }

  explicit RawConnection(std::uint16_t aPort)
    : RawConnection(
        Poco::Net::StreamSocket(Poco::Net::SocketAddress("127.0.0.1", aPort)))
  {
  }

  void Send(const std::string& aBytes)
  {
    std::size_t sent = 0;
    while (sent < aBytes.size()) {
      sent += static_cast<std::size_t>(socket_.sendBytes(
        aBytes.data() + sent, static_cast<int>(aBytes.size() - sent)));
    }
  }

  /// False at the end of the stream, on errors and after kLimit.
  bool Receive()
  {
    try {
      std::array<char, 4096> bytes{};
      const int got =
        socket_.receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
      if (got > 0) {
        buffer_.append(bytes.data(), static_cast<std::size_t>(got));
      }
      return got > 0;
    } catch (const Poco::Exception&) {
      return false;
    }
  }

  /// The next complete answer; nullopt when the connection ends before it.
  std::optional<HttpAnswer> ReadAnswer(bool aToHead = false)
  {
    AnswerParser parser({ 65536, kMaxBody }, aToHead);
    for (;;) {
      const auto status = parser.Put(buffer_);
      if (!IsOk(status)) {
        return std::nullopt;
      }
      if (ValueOf(status) == FramingStatus::Complete) {
        return parser.TakeAnswer();
      }
      if (!Receive()) {
        return std::nullopt;
      }
    }
  }

  std::optional<HttpRequest> ReadRequest()
  {
    RequestParser parser({ 65536, kMaxBody });
    for (;;) {
      const auto status = parser.Put(buffer_);
      if (!IsOk(status)) {
        return std::nullopt;
      }
      if (ValueOf(status) == FramingStatus::Complete) {
        return parser.TakeRequest();
      }
      if (ValueOf(status) == FramingStatus::NeedMore && !Receive()) {
        return std::nullopt;
      }
    }
  }

  /// Waits until the peer has closed; false after kLimit or on more bytes.
  bool WaitForClose() { return buffer_.empty() && !Receive(); }

  /// Closes the connection with a TCP reset.
  void Reset()
  {
    socket_.setLinger(true, 0);
    socket_.close();
  }

  void Close() { socket_.close(); }
  void Shutdown()
  {
    try {
      socket_.shutdown();
    } catch (const Poco::Exception&) {
      // The connection is already closed.
    }
  }

  std::string buffer_;

private:
  Poco::Net::StreamSocket socket_;
};

/// A one-shot event: Wait returns once Open was called.
class Latch
{
public:
  void Open()
  {
    const std::lock_guard lock(mutex_);
    open_ = true;
    changed_.notify_all();
  }
  bool Wait()
  {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, kLimit, [this] { return open_; });
  }

private:
  std::mutex mutex_;
  std::condition_variable changed_;
  bool open_ = false;
};

/// Polls for a condition that another thread makes true without signalling an
/// event.
inline bool
Eventually(const std::function<bool()>& aCondition)
{
  const auto until = MonotonicNow() + kLimit;
  while (!aCondition()) {
    if (MonotonicNow() > until) {
      return false;
    }
    std::this_thread::sleep_for(Millis{ 1 });
  }
  return true;
}

/// A target whose connections are served by a function of the test.
class RawTarget
{
public:
  /// Called with each connection and its number, counted from 1.
  using Script = std::function<void(RawConnection&, int)>;

  explicit RawTarget(Script aScript)
    : script_(std::move(aScript))
    , listener_(Poco::Net::SocketAddress("127.0.0.1", 0))
    , acceptor_([this] { Accept(); })
  {
  }

  ~RawTarget()
  {
    stopping_ = true;
    {
      // Wakes the acceptor.
      RawConnection waker(Port());
    }
    acceptor_.join();
    {
      const std::lock_guard lock(mutex_);
      for (auto& connection : connections_) {
        connection.Shutdown();
      }
    }
    for (auto& thread : threads_) {
      thread.join();
    }
  }

  std::uint16_t Port() const { return listener_.address().port(); }
  std::string Address() const { return "127.0.0.1:" + std::to_string(Port()); }
  int Connections() const { return count_; }

private:
  void Accept()
  {
    for (;;) {
      auto socket = listener_.acceptConnection();
      if (stopping_) {
        return;
      }
      const std::lock_guard lock(mutex_);
      connections_.emplace_back(std::move(socket));
      auto& connection = connections_.back();
      const int number = ++count_;
      threads_.emplace_back([this, &connection, number] {
        try {
          script_(connection, number);
        } catch (const Poco::Exception&) {
          // The relay has closed the connection.
        }
        connection.Shutdown();
      });
    }
  }

  Script script_;
  Poco::Net::ServerSocket listener_;
  std::atomic<bool> stopping_{ false };
  std::atomic<int> count_{ 0 };
  std::mutex mutex_;
  std::list<RawConnection> connections_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

/// A complete answer with Content-Length.
inline std::string
Answer(const std::string& aBody,
       const std::string& aStatus = "200 OK",
       const std::string& aHeaders = "")
{
  return "HTTP/1.1 " + aStatus +
         "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n" +
         aHeaders + "\r\n" + aBody;
}

/// The bytes of an answer, with the request's id added to its last head. Bytes
/// without a complete status line stay as they are.
inline std::string
WithRequestId(const std::string& aBytes, const HttpRequest& aRequest)
{
  const auto head = aBytes.rfind("HTTP/1.1 ");
  const auto end = head == std::string::npos ? head : aBytes.find("\r\n", head);
  if (end == std::string::npos) {
    return aBytes;
  }
  auto bytes = aBytes;
  const auto id = FindHeader(aRequest.headers_, "Acaciahill-Request-Id");
  return bytes.insert(
    end + 2, "Acaciahill-Request-Id: " + std::string(id.value_or("")) + "\r\n");
}

/// Answers every request on every connection with the same bytes, and with the
/// request's id.
inline RawTarget::Script
Always(const std::string& aBytes)
{
  return [aBytes](RawConnection& aConnection, int) {
    while (const auto request = aConnection.ReadRequest()) {
      aConnection.Send(WithRequestId(aBytes, *request));
    }
  };
}

/// Claims in memory that follow the rules of the replicated ones.
class MemoryClaims : public ClaimGate
{
public:
  ClaimReply Begin(const std::string& aKey,
                   std::uint64_t aFingerprint,
                   MonotonicTime) override
  {
    const std::lock_guard lock(mutex_);
    if (refusal_) {
      return *refusal_;
    }
    const auto found = claims_.find(aKey);
    if (found != claims_.end()) {
      return found->second;
    }
    Claim claim;
    claim.key_ = aKey;
    claim.fingerprint_ = aFingerprint;
    claim.owner_ = "owner-" + std::to_string(++owners_);
    claims_.emplace(aKey, claim);
    return ClaimGranted{ claim.owner_ };
  }

  void End(const EndClaim& aEnd) override
  {
    const std::lock_guard lock(mutex_);
    ends_.push_back(aEnd);
    if (aEnd.end_ == ClaimEnd::NotRun) {
      claims_.erase(aEnd.key_);
      return;
    }
    auto& claim = claims_.at(aEnd.key_);
    claim.phase_ = aEnd.end_ == ClaimEnd::Completed ? ClaimPhase::Completed
                                                    : ClaimPhase::Unknown;
    claim.answerStatus_ = aEnd.answerStatus_;
    claim.answerType_ = aEnd.answerType_;
    claim.answerBody_ = aEnd.answerBody_;
    claim.answerKept_ = aEnd.answerKept_;
  }

  std::vector<EndClaim> Ends()
  {
    const std::lock_guard lock(mutex_);
    return ends_;
  }

  std::optional<Error> refusal_;

private:
  std::mutex mutex_;
  std::map<std::string, Claim> claims_;
  std::vector<EndClaim> ends_;
  int owners_ = 0;
};

class MemoryEchoes : public TargetEchoSink
{
public:
  void OnEcho(const TargetEcho& aEcho) override
  {
    const std::lock_guard lock(mutex_);
    echoes_.push_back(aEcho);
  }
  std::vector<TargetEcho> All()
  {
    const std::lock_guard lock(mutex_);
    return echoes_;
  }

private:
  std::mutex mutex_;
  std::vector<TargetEcho> echoes_;
};

class MemoryTraces : public TraceSink
{
public:
  void Write(const Span& aSpan) override
  {
    if (onSpan_) {
      onSpan_(aSpan);
    }
    const std::lock_guard lock(mutex_);
    spans_.push_back(aSpan);
  }
  std::vector<Span> All()
  {
    const std::lock_guard lock(mutex_);
    return spans_;
  }

  /// Called with each span before it is stored; set before any request.
  std::function<void(const Span&)> onSpan_;

private:
  std::mutex mutex_;
  std::vector<Span> spans_;
};

/// A relay with the pool "rota" and the given targets.
class RelayFixture
{
public:
  explicit RelayFixture(const std::vector<std::string>& aAddresses,
                        RelaySettings aSettings = DefaultSettings())
    : relay_(std::move(aSettings), claims_, echoes_, traces_, metrics_)
  {
    if (!IsOk(relay_.Start())) {
      throw std::runtime_error("the relay did not start");
    }
    row_.pool_ = "rota";
    row_.deadlineMs_ = 15000;
    SetRow(row_);
    SetTargets(aAddresses);
  }

  static RelaySettings DefaultSettings()
  {
    RelaySettings settings;
    settings.zone_ = "z1";
    settings.node_ = "n1";
    return settings;
  }

  void SetRow(const PoolRow& aRow)
  {
    row_ = aRow;
    relay_.SetPools({ { row_ }, 1, 1 });
  }

  void SetTargets(const std::vector<std::string>& aAddresses,
                  Millis aValidity = Millis{ 600000 },
                  std::uint64_t aEpoch = 7)
  {
    TargetsChanged targets;
    int number = 0;
    for (const auto& address : aAddresses) {
      targets.targets_.push_back({ "vm-" + std::to_string(++number),
                                   "rota",
                                   "z1",
                                   address,
                                   aEpoch,
                                   16,
                                   64,
                                   0,
                                   MonotonicNow() + aValidity });
    }
    relay_.SetTargets(targets);
  }

  RawConnection Connect() const { return RawConnection(relay_.Port()); }

  /// Sends one request on a new connection.
  std::optional<HttpAnswer> Ask(const std::string& aRequest)
  {
    auto connection = Connect();
    connection.Send(aRequest);
    return connection.ReadAnswer(aRequest.starts_with("HEAD"));
  }

  MemoryClaims claims_;
  MemoryEchoes echoes_;
  MemoryTraces traces_;
  Metrics metrics_;
  PoolRow row_;
  Relay relay_;
};

inline std::string
Get(const std::string& aPath, const std::string& aHeaders = "")
{
  return "GET " + aPath + " HTTP/1.1\r\nHost: relay\r\n" + aHeaders + "\r\n";
}

inline std::string
Post(const std::string& aPath,
     const std::string& aBody,
     const std::string& aHeaders = "")
{
  return "POST " + aPath + " HTTP/1.1\r\nHost: relay\r\nContent-Length: " +
         std::to_string(aBody.size()) + "\r\n" + aHeaders + "\r\n" + aBody;
}

/// The Acaciahill-Outcome header; "-" when there is none.
inline std::string
OutcomeOf(const HttpAnswer& aAnswer)
{
  return std::string(
    FindHeader(aAnswer.headers_, "Acaciahill-Outcome").value_or("-"));
}

} // namespace acaciahill::test
