#include "relay/caller_server_base.h"

#include "kernel/os_clock_func.h"
#include "relay/http_framing_func.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Runnable.h>

#include <algorithm>
#include <array>
#include <sys/socket.h>
#include <tuple>
#include <variant>

namespace acaciahill {

using Poco::Net::StreamSocket;

namespace {

constexpr int kBacklog = 256;
// Reserve for threads whose connection has ended but that the pool does not yet
// count as idle.
constexpr int kSpareThreads = 16;
constexpr int kStackBytes = 512 * 1024;
constexpr Millis kCallerTcpUserTimeout{ 30000 };
// Time for a caller to read the last answer and close. Closing earlier with
// unread bytes would reset the connection and could discard the answer.
constexpr Millis kLingerTime{ 500 };
// When the node stops, idle connections stay open this long so that a request
// already on its way gets a refusal instead of a closed connection.
constexpr Millis kStopGrace{ 100 };
constexpr Millis kAcceptPause{ 50 };
constexpr std::size_t kMaxRejected = 64;
constexpr std::string_view kNoBuffer = "no buffer is left for the request";
constexpr std::string_view kContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

/// The caller has closed its connection, or it must be closed without an
/// answer.
struct CloseWithoutAnswer
{};

using ReadOutcome = std::variant<HttpRequest, Error, CloseWithoutAnswer>;

} // namespace

class CallerServer::Connection : public Poco::Runnable
{
public:
  Connection(CallerServer& aServer, const StreamSocket& aSocket)
    : server_(aServer)
    , socket_(aSocket)
  {
  }

  void run() override
  {
    try {
      SetTcpOptions(Fd(), kCallerTcpUserTimeout);
      link_ = { Fd(), socket_.peerAddress().host().toString() };
      while (ServeOne()) {
      }
    } catch (const std::exception&) {
      // The caller sees its connection end without a complete answer.
    }
    // Closes the socket once no other thread can find the connection.
    server_.Remove(this);
  }

  /// Since when the connection has waited for bytes of a request that has not
  /// reached the handler, and whether some of it have arrived; nothing while it
  /// does not wait.
  struct Wait
  {
    bool reading_ = false;
    MonotonicTime since_{};

    bool operator==(const Wait&) const = default;
    bool operator<(const Wait& aOther) const
    {
      return std::tie(reading_, since_) <
             std::tie(aOther.reading_, aOther.since_);
    }
  };
  std::optional<Wait> Waits() const
  {
    const std::lock_guard lock(waitMutex_);
    return wait_;
  }

  /// Ends the connection's waits; its thread then closes it.
  void Shutdown()
  {
    SetWait(std::nullopt);
    shutdown(Fd(), SHUT_RDWR);
  }

private:
  void SetWait(std::optional<Wait> aWait)
  {
    const std::lock_guard lock(waitMutex_);
    wait_ = aWait;
  }

  int Fd() const { return socket_.impl()->sockfd(); }
  bool IsStopping() const { return server_.stop_.IsRaised(); }

  bool ServeOne();
  bool WaitForRequest();
  ReadOutcome ReadRequest(BufferLease& aLease);
  ReadOutcome ReadWithParser(RequestParser& aParser, BufferLease& aLease);
  /// Reads some bytes; returns an outcome if reading must end early.
  std::optional<ReadOutcome> ReadMore(BufferLease& aLease,
                                      MonotonicTime aReadUntil);
  bool Write(std::string_view aHead, std::string_view aBody);
  void Refuse(const Error& aError, bool aIsHeadRequest);
  void Linger();

  CallerServer& server_;
  StreamSocket socket_;
  CallerLink link_;
  /// Bytes read beyond the current request.
  std::string buffer_;
  mutable std::mutex waitMutex_;
  std::optional<Wait> wait_;
  bool served_ = false;
};

bool
CallerServer::Connection::ServeOne()
{
  // A caller that was served keeps its connection until it times out.
  if (!served_) {
    SetWait(Wait{ false, MonotonicNow() });
  }
  if (!WaitForRequest()) {
    return false;
  }
  SetWait(Wait{ true, MonotonicNow() });
  BufferLease lease(server_.budget_, true);
  auto read = ReadRequest(lease);
  SetWait(std::nullopt);
  served_ = true;
  if (std::holds_alternative<CloseWithoutAnswer>(read)) {
    return false;
  }
  if (const auto* error = std::get_if<Error>(&read)) {
    // The bytes read are dropped now, so that they do not count against the
    // budget while the caller reads the answer.
    buffer_.clear();
    lease.Release();
    Refuse(*error, false);
    return false;
  }
  auto request = std::get<HttpRequest>(std::move(read));
  const bool isHeadRequest = request.method_ == "HEAD";
  const bool keepAlive = request.keepAlive_;
  auto reply = server_.handler_.Handle(std::move(request), link_);
  lease.Release();
  const bool closes = !keepAlive || IsStopping();
  const auto head = AnswerHead(reply.answer_, isHeadRequest, closes);
  if (!Write(head, isHeadRequest ? std::string_view() : reply.answer_.body_)) {
    return false;
  }
  reply = {};
  if (closes) {
    Linger();
  }
  return !closes;
}

bool
CallerServer::Connection::WaitForRequest()
{
  if (!buffer_.empty()) {
    return true;
  }
  std::array<SocketInterest, 3> waits{
    SocketInterest{ Fd(), true, false, false },
    { server_.stop_.Fd(), true, false, false },
    { server_.abort_.Fd(), true, false, false }
  };
  WaitForSockets(waits.data(), waits.size(), server_.settings_.idleTimeout_);
  if (waits[1].read_ && !waits[0].read_ && !waits[2].read_) {
    waits = { SocketInterest{ Fd(), true, false, false },
              { -1, false, false, false },
              { server_.abort_.Fd(), true, false, false } };
    WaitForSockets(waits.data(), waits.size(), kStopGrace);
  }
  return waits[0].read_ && !waits[2].read_;
}

ReadOutcome
CallerServer::Connection::ReadRequest(BufferLease& aLease)
{
  const auto& settings = server_.settings_;
  RequestParser parser({ static_cast<std::size_t>(settings.maxHeaderBytes_),
                         static_cast<std::size_t>(settings.maxRequestBytes_) });
  return ReadWithParser(parser, aLease);
}

ReadOutcome
CallerServer::Connection::ReadWithParser(RequestParser& aParser,
                                         BufferLease& aLease)
{
  const auto readUntil = MonotonicNow() + server_.settings_.readTimeout_;
  for (;;) {
    const auto status = aParser.Put(buffer_);
    if (!IsOk(status)) {
      server_.handler_.OnRefused(ErrorOf(status).kind_);
      return ErrorOf(status);
    }
    if (ValueOf(status) == FramingStatus::Complete) {
      return aParser.TakeRequest();
    }
    if (ValueOf(status) == FramingStatus::HeadDone) {
      if (!aLease.Grow(MemoryOfFields(aParser.Request().headers_))) {
        server_.handler_.OnRefused(ErrorKind::NodeOverloaded);
        return Error{ ErrorKind::NodeOverloaded, std::string(kNoBuffer) };
      }
      if (const auto error = server_.handler_.CheckHead(aParser.Request())) {
        server_.handler_.OnRefused(error->kind_);
        return *error;
      }
      if (aParser.Request().expectsContinue_ && buffer_.empty() &&
          !Write(kContinueResponse, {})) {
        return CloseWithoutAnswer{};
      }
      continue;
    }
    if (auto end = ReadMore(aLease, readUntil)) {
      return std::move(*end);
    }
  }
}

std::optional<ReadOutcome>
CallerServer::Connection::ReadMore(BufferLease& aLease,
                                   MonotonicTime aReadUntil)
{
  const auto refusal = [this](ErrorKind aKind, std::string aDetail) {
    server_.handler_.OnRefused(aKind);
    return ReadOutcome(Error{ aKind, std::move(aDetail) });
  };
  std::array<SocketInterest, 3> waits{
    SocketInterest{ Fd(), true, false, false },
    { server_.stop_.Fd(), true, false, false },
    { server_.abort_.Fd(), true, false, false }
  };
  const auto left = aReadUntil - MonotonicNow();
  WaitForSockets(
    waits.data(), waits.size(), std::min(left, server_.settings_.idleTimeout_));
  if (waits[2].read_) {
    return CloseWithoutAnswer{};
  }
  if (!waits[0].read_) {
    if (waits[1].read_) {
      return refusal(ErrorKind::NodeStopping, {});
    }
    return refusal(ErrorKind::BadRequest,
                   "the request was not read whole in time");
  }
  const auto read = ReadSome(Fd(), buffer_);
  if (read.status_ == IoStatus::End || read.status_ == IoStatus::Failed) {
    return CloseWithoutAnswer{};
  }
  if (!aLease.Grow(read.size_)) {
    return refusal(ErrorKind::NodeOverloaded, std::string(kNoBuffer));
  }
  if (MonotonicNow() >= aReadUntil) {
    return refusal(ErrorKind::BadRequest,
                   "the request was not read whole in time");
  }
  return std::nullopt;
}

bool
CallerServer::Connection::Write(std::string_view aHead, std::string_view aBody)
{
  // A caller that reads its answer slowly occupies a thread; twice the idle
  // timeout is enough for any link that makes progress.
  const auto until = MonotonicNow() + 2 * server_.settings_.idleTimeout_;
  std::size_t written = 0;
  while (written < aHead.size() + aBody.size()) {
    const auto result = WriteSome(Fd(), aHead, aBody, written);
    if (result.status_ == IoStatus::Transferred) {
      written += result.size_;
      continue;
    }
    const auto left = until - MonotonicNow();
    if (result.status_ == IoStatus::Failed || left <= Millis{ 0 }) {
      return false;
    }
    std::array<SocketInterest, 2> waits{
      SocketInterest{ Fd(), false, true, false },
      { server_.abort_.Fd(), true, false, false }
    };
    if (!WaitForSockets(waits.data(),
                        waits.size(),
                        std::min(left, server_.settings_.idleTimeout_)) ||
        waits[1].read_) {
      return false;
    }
  }
  return true;
}

void
CallerServer::Connection::Refuse(const Error& aError, bool aIsHeadRequest)
{
  const auto answer = AnswerOfError(aError, Millis{ 0 });
  if (Write(AnswerHead(answer, aIsHeadRequest, true), answer.body_)) {
    Linger();
  }
}

void
CallerServer::Connection::Linger()
{
  try {
    socket_.shutdownSend();
  } catch (const Poco::Exception&) {
    return;
  }
  const auto until = MonotonicNow() + kLingerTime;
  std::string dropped;
  for (;;) {
    const auto left = until - MonotonicNow();
    std::array<SocketInterest, 2> waits{
      SocketInterest{ Fd(), true, false, false },
      { server_.abort_.Fd(), true, false, false }
    };
    if (left <= Millis{ 0 } ||
        !WaitForSockets(waits.data(), waits.size(), left) || waits[1].read_) {
      return;
    }
    dropped.clear();
    const auto status = ReadSome(Fd(), dropped).status_;
    if (status == IoStatus::End || status == IoStatus::Failed) {
      return;
    }
  }
}

CallerServer::CallerServer(RelaySettings aSettings,
                           CallerHandler& aHandler,
                           BufferBudget& aBudget,
                           const StickyEvent& aStop,
                           const StickyEvent& aAbort)
  : settings_(std::move(aSettings))
  , handler_(aHandler)
  , budget_(aBudget)
  , stop_(aStop)
  , abort_(aAbort)
  , threads_("callers",
             2,
             static_cast<int>(settings_.maxConnections_) + kSpareThreads,
             60,
             kStackBytes)
{
}

CallerServer::~CallerServer()
{
  StopListening();
  Join();
}

Result<Done>
CallerServer::Start()
{
  try {
    listener_.bind(Poco::Net::SocketAddress(settings_.listen_), true);
    listener_.listen(kBacklog);
    listener_.setBlocking(false);
    port_ = listener_.address().port();
  } catch (const Poco::Exception& error) {
    return Error{ ErrorKind::IoError,
                  "cannot listen on " + settings_.listen_ + ": " +
                    error.displayText() };
  }
  acceptor_ = std::thread([this] { AcceptLoop(); });
  return Done{};
}

void
CallerServer::StopListening()
{
  closeListener_.Raise();
  if (acceptor_.joinable()) {
    acceptor_.join();
    listener_.close();
  }
}

bool
CallerServer::WaitForEnd(MonotonicTime aUntil)
{
  std::unique_lock lock(mutex_);
  return ended_.wait_for(
    lock, aUntil - MonotonicNow(), [this] { return connections_.empty(); });
}

void
CallerServer::Join()
{
  threads_.joinAll();
}

void
CallerServer::AcceptLoop()
{
  for (;;) {
    std::array<SocketInterest, 2> waits{
      SocketInterest{ listener_.impl()->sockfd(), true, false, false },
      { closeListener_.Fd(), true, false, false }
    };
    WaitForSockets(waits.data(),
                   waits.size(),
                   rejected_.empty() ? Millis{ 60000 } : kAcceptPause);
    if (waits[1].read_) {
      // Callers in the backlog have connected; each is accepted to be answered
      // that the node is stopping.
      for (int i = 0; i < kBacklog && IsReadable(listener_.impl()->sockfd());
           ++i) {
        AcceptOne();
      }
      rejected_.clear();
      return;
    }
    if (waits[0].read_) {
      AcceptOne();
    }
    DrainRejected();
  }
}

void
CallerServer::AcceptOne()
{
  try {
    auto socket = listener_.acceptConnection();
    std::unique_lock lock(mutex_);
    const auto isFull = [this](std::int64_t aSpare) {
      return static_cast<std::int64_t>(connections_.size()) >=
             settings_.maxConnections_ + aSpare;
    };
    // The threads of connections that were shut down end a little later.
    if (isFull(0) && (isFull(kSpareThreads) || !ShutLongestWaiting())) {
      lock.unlock();
      Reject(socket);
      return;
    }
    auto connection = std::make_unique<Connection>(*this, socket);
    auto* const started = connection.get();
    connections_.emplace(started, std::move(connection));
    try {
      threads_.start(*started);
    } catch (const Poco::Exception&) {
      connections_.erase(started);
      lock.unlock();
      Reject(socket);
    }
  } catch (const Poco::Exception&) {
    // The caller has disconnected, or no file descriptor is free; the pause
    // keeps the loop from spinning on a socket that stays readable.
    SocketInterest closing{ closeListener_.Fd(), true, false, false };
    WaitForSockets(&closing, 1, kAcceptPause);
  }
}

bool
CallerServer::ShutLongestWaiting()
{
  Connection* longest = nullptr;
  std::optional<Connection::Wait> longestWait;
  for (const auto& [key, connection] : connections_) {
    const auto wait = connection->Waits();
    if (wait && (!longestWait || *wait < *longestWait)) {
      longest = connection.get();
      longestWait = wait;
    }
  }
  if (longest == nullptr) {
    return false;
  }
  handler_.OnRefused(ErrorKind::NodeOverloaded);
  longest->Shutdown();
  return true;
}

void
CallerServer::Reject(StreamSocket& aSocket)
{
  handler_.OnRefused(ErrorKind::NodeOverloaded);
  const auto answer =
    AnswerOfError({ ErrorKind::NodeOverloaded, {} }, Millis{ 0 });
  WriteSome(
    aSocket.impl()->sockfd(), AnswerHead(answer, false, true), answer.body_, 0);
  try {
    aSocket.shutdownSend();
  } catch (const Poco::Exception&) {
    return;
  }
  if (rejected_.size() >= kMaxRejected) {
    rejected_.erase(rejected_.begin());
  }
  rejected_.push_back({ aSocket, MonotonicNow() + kLingerTime });
}

void
CallerServer::DrainRejected()
{
  const auto now = MonotonicNow();
  std::erase_if(rejected_, [now](const Rejected& aRejected) {
    std::string dropped;
    const auto status =
      ReadSome(aRejected.socket_.impl()->sockfd(), dropped).status_;
    return now >= aRejected.closeAt_ || status == IoStatus::End ||
           status == IoStatus::Failed;
  });
}

void
CallerServer::Remove(const Connection* aConnection)
{
  // Declared before the lock, so that the connection is destroyed after it is
  // released.
  std::unique_ptr<Connection> removed;
  const std::lock_guard lock(mutex_);
  const auto found = connections_.find(aConnection);
  removed = std::move(found->second);
  connections_.erase(found);
  ended_.notify_all();
}

} // namespace acaciahill
