#include "http/async_listener_base.h"

#include "http/beast_func.h"
#include "http/buffer_budget_base.h"
#include "http/http_message_func.h"
#include "kernel/log_func.h"
#include "kernel/os_clock_func.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <deque>
#include <optional>
#include <set>
#include <utility>

namespace acaciahill {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

// Pause after accept() failed, for example for lack of file descriptors.
constexpr Millis kAcceptPause{ 100 };
constexpr std::int64_t kStatusInternalError = 500;
constexpr std::int64_t kStatusUnavailable = 503;
// The parser reports an oversized header by itself when the buffer can hold
// more than the limit.
constexpr std::size_t kBufferSlack = 1024;
// A larger read buffer is freed between two requests.
constexpr std::size_t kKeptBufferBytes = 4096;
// Minimum time between two lines in the log about refused peers.
constexpr Millis kRefusalLogInterval{ 1000 };

} // namespace

struct AsyncListener::Impl : std::enable_shared_from_this<AsyncListener::Impl>
{
  class Session;

  Impl(asio::io_context& aContext,
       Handler aHandler,
       HttpLimits aLimits,
       ListenerTiming aTiming,
       ListenerLimits aTotal,
       Refusal aRefusal)
    : context_(aContext)
    , handler_(std::move(aHandler))
    , refusal_(std::move(aRefusal))
    , limits_(aLimits)
    , timing_(aTiming)
    , total_(aTotal)
    , budget_(static_cast<std::int64_t>(aTotal.maxBufferedBytes_))
    , acceptor_(aContext)
    , acceptTimer_(aContext)
  {
  }

  void Accept();
  /// Closes the connection that has been idle the longest or, when none is
  /// idle, the one that has been sending a body the longest. False when there
  /// is neither.
  bool CloseLongestWaiting();
  void ReportRefusal(std::string_view aReason);

  asio::io_context& context_;
  Handler handler_;
  Refusal refusal_;
  HttpLimits limits_;
  ListenerTiming timing_;
  ListenerLimits total_;
  BufferBudget budget_;
  ListenerCounts counts_;
  MonotonicTime refusalLoggedAt_{};
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer acceptTimer_;
  std::set<Session*> sessions_;
  std::size_t requestsInProgress_ = 0;
  bool draining_ = false;
};

/// One accepted connection; kept alive by its pending asynchronous operation.
class AsyncListener::Impl::Session
  : public std::enable_shared_from_this<AsyncListener::Impl::Session>
{
public:
  Session(std::shared_ptr<Impl> aOwner, asio::ip::tcp::socket aSocket)
    : owner_(std::move(aOwner))
    , stream_(std::move(aSocket))
    , buffer_(owner_->limits_.maxHeaderBytes_ + kBufferSlack)
    , lease_(owner_->budget_, false)
  {
    owner_->sessions_.insert(this);
  }

  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  ~Session()
  {
    owner_->sessions_.erase(this);
    if (requestInProgress_) {
      --owner_->requestsInProgress_;
    }
  }

  void ReadNext()
  {
    parser_.emplace();
    parser_->header_limit(
      static_cast<std::uint32_t>(owner_->limits_.maxHeaderBytes_));
    parser_->body_limit(owner_->limits_.maxBodyBytes_);
    if (buffer_.size() == 0 && buffer_.capacity() > kKeptBufferBytes) {
      buffer_.shrink_to_fit();
    }
    lease_.Resize(buffer_.capacity());
    stream_.expires_after(owner_->timing_.idle_);
    idle_ = true;
    idleSince_ = MonotonicNow();
    http::async_read_header(
      stream_,
      buffer_,
      *parser_,
      [self = shared_from_this()](beast::error_code aError, std::size_t) {
        self->idle_ = false;
        if (aError) {
          self->Refuse(aError);
          return;
        }
        self->TakeHead();
        self->parser_->eager(true);
        self->readingSince_ = MonotonicNow();
        self->stream_.expires_after(self->owner_->timing_.read_);
        self->ReadBody();
      });
  }

  /// When the connection began to wait for a request; nothing while it does
  /// not.
  std::optional<MonotonicTime> IdleSince() const
  {
    return idle_ ? std::optional(idleSince_) : std::nullopt;
  }

  /// When the connection began to wait for the rest of a body; nothing while it
  /// does not. Its request has not reached the handler.
  std::optional<MonotonicTime> ReadingSince() const { return readingSince_; }

  void Abort()
  {
    idle_ = false;
    readingSince_.reset();
    stream_.close();
  }

  /// Closes the connection now if it is idle, otherwise after its answer.
  void CloseIfIdle()
  {
    closeAfterAnswer_ = true;
    if (idle_ && buffer_.size() == 0) {
      stream_.cancel();
    }
  }

private:
  /// Takes the header out of the parser, which then holds a copy of no field.
  /// Trailer fields stay in the parser and are dropped with it.
  void TakeHead()
  {
    auto& head = parser_->get();
    version_ = head.version();
    request_ = detail::ToRequestHead(head);
    fieldBytes_ = MemoryOfFields(request_.headers_);
    head.clear();
  }

  /// Reads the body in parts, each of which must fit, with the header, into the
  /// buffers of all connections.
  void ReadBody()
  {
    if (!lease_.Resize(buffer_.capacity() + fieldBytes_ +
                       parser_->get().body().capacity())) {
      RefuseForBuffers();
      return;
    }
    if (parser_->is_done()) {
      Handle();
      return;
    }
    http::async_read_some(
      stream_,
      buffer_,
      *parser_,
      [self = shared_from_this()](beast::error_code aError, std::size_t) {
        if (aError) {
          self->Refuse(aError);
          return;
        }
        self->ReadBody();
      });
  }

  void Handle()
  {
    stream_.expires_never();
    readingSince_.reset();
    auto request = std::exchange(request_, {});
    keepAlive_ = request.keepAlive_;
    request.body_ = std::move(parser_->get().body());
    request.waited_ = SinceLastByte();
    parser_.reset();
    requestInProgress_ = true;
    ++owner_->requestsInProgress_;
    const auto target = request.target_;
    // An exception from the handler must not end the process.
    try {
      owner_->handler_(std::move(request),
                       [self = shared_from_this()](HttpAnswer aAnswer) {
                         self->Write(std::move(aAnswer));
                       });
    } catch (const std::exception& error) {
      LogError("HTTP request handler failed",
               { { "target", target }, { "error", error.what() } });
      if (requestInProgress_ && !response_) {
        HttpAnswer answer;
        answer.status_ = kStatusInternalError;
        Write(std::move(answer));
      }
    }
  }

  void Write(HttpAnswer aAnswer)
  {
    if (!requestInProgress_) {
      LogError("HTTP request answered twice; second answer dropped");
      return;
    }
    const bool keepAlive =
      keepAlive_ && aAnswer.keepAlive_ && !closeAfterAnswer_;
    response_.emplace(detail::ToBeastResponse(std::move(aAnswer), version_));
    response_->keep_alive(keepAlive);
    stream_.expires_after(owner_->timing_.read_);
    http::async_write(stream_,
                      *response_,
                      [self = shared_from_this(),
                       keepAlive](beast::error_code aError, std::size_t) {
                        self->requestInProgress_ = false;
                        --self->owner_->requestsInProgress_;
                        self->response_.reset();
                        if (!aError && keepAlive && !self->closeAfterAnswer_) {
                          self->ReadNext();
                        } else {
                          self->Close();
                        }
                      });
  }

  /// Time since the last byte arrived at the kernel.
  Millis SinceLastByte()
  {
    tcp_info info{};
    socklen_t size = sizeof info;
    const bool isKnown = ::getsockopt(stream_.socket().native_handle(),
                                      IPPROTO_TCP,
                                      TCP_INFO,
                                      &info,
                                      &size) == 0;
    return Millis(isKnown ? info.tcpi_last_data_recv : 0);
  }

  /// Answers malformed or oversized requests; closes on other read errors.
  void Refuse(beast::error_code aError)
  {
    const bool tooLarge = aError == http::error::body_limit;
    // The buffer is full of what is neither header nor body.
    const bool headerTooLarge = aError == http::error::header_limit ||
                                aError == http::error::buffer_overflow;
    const bool malformed =
      aError.category() ==
        http::make_error_code(http::error::bad_method).category() &&
      aError != http::error::end_of_stream &&
      aError != http::error::partial_message;
    if (!malformed) {
      Close();
      return;
    }
    auto answer = Refusal(tooLarge ? 413 : (headerTooLarge ? 431 : 400));
    if (tooLarge || headerTooLarge) {
      ++owner_->counts_.refusedForSize_;
      owner_->ReportRefusal("a part of a request exceeds its limit");
    }
    AnswerAndClose(std::move(answer));
  }

  HttpAnswer Refusal(std::int64_t aStatus) const
  {
    if (owner_->refusal_) {
      return owner_->refusal_(aStatus);
    }
    HttpAnswer answer;
    answer.status_ = aStatus;
    return answer;
  }

  void RefuseForBuffers()
  {
    ++owner_->counts_.refusedForBuffers_;
    owner_->ReportRefusal("no buffer is left for a request");
    auto answer = Refusal(kStatusUnavailable);
    answer.headers_.push_back({ "Retry-After", "1" });
    AnswerAndClose(std::move(answer));
  }

  /// Answers a request that did not reach the handler, and frees what was read
  /// of it.
  void AnswerAndClose(HttpAnswer aAnswer)
  {
    readingSince_.reset();
    parser_.reset();
    request_ = {};
    buffer_.clear();
    buffer_.shrink_to_fit();
    lease_.Release();
    aAnswer.keepAlive_ = false;
    requestInProgress_ = true;
    ++owner_->requestsInProgress_;
    Write(std::move(aAnswer));
  }

  void Close()
  {
    readingSince_.reset();
    beast::error_code ignored;
    stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    stream_.close();
  }

  std::shared_ptr<Impl> owner_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  BufferLease lease_;
  MonotonicTime idleSince_{};
  std::optional<MonotonicTime> readingSince_;
  std::optional<http::request_parser<http::string_body>> parser_;
  /// The header of the request whose body is being read, and its memory.
  HttpRequest request_;
  std::size_t fieldBytes_ = 0;
  std::optional<http::response<http::string_body>> response_;
  unsigned version_ = 11;
  bool keepAlive_ = true;
  bool idle_ = false;
  bool requestInProgress_ = false;
  bool closeAfterAnswer_ = false;
};

void
AsyncListener::Impl::Accept()
{
  acceptor_.async_accept(
    [self = shared_from_this()](beast::error_code aError,
                                asio::ip::tcp::socket aSocket) {
      if (self->draining_) {
        return;
      }
      if (aError) {
        LogWarning("cannot accept a connection",
                   { { "error", aError.message() } });
        self->acceptTimer_.expires_after(kAcceptPause);
        self->acceptTimer_.async_wait([self](beast::error_code aCancelled) {
          if (!aCancelled) {
            self->Accept();
          }
        });
        return;
      }
      if (self->sessions_.size() >= self->total_.maxConnections_) {
        ++self->counts_.closedConnections_;
        self->ReportRefusal("too many connections");
        if (!self->CloseLongestWaiting()) {
          aSocket.close(aError);
          self->Accept();
          return;
        }
      }
      beast::error_code ignored;
      aSocket.set_option(asio::ip::tcp::no_delay(true), ignored);
      std::make_shared<Session>(self, std::move(aSocket))->ReadNext();
      self->Accept();
    });
}

bool
AsyncListener::Impl::CloseLongestWaiting()
{
  const auto longest = [this](auto aSince) {
    Session* found = nullptr;
    for (auto* session : sessions_) {
      const auto since = (session->*aSince)();
      if (since && (found == nullptr || *since < *(found->*aSince)())) {
        found = session;
      }
    }
    return found;
  };
  auto* session = longest(&Session::IdleSince);
  if (session == nullptr) {
    session = longest(&Session::ReadingSince);
  }
  if (session != nullptr) {
    session->Abort();
  }
  return session != nullptr;
}

void
AsyncListener::Impl::ReportRefusal(std::string_view aReason)
{
  const auto now = MonotonicNow();
  if (now - refusalLoggedAt_ < kRefusalLogInterval) {
    return;
  }
  refusalLoggedAt_ = now;
  LogWarning("refusing a peer",
             { { "reason", aReason },
               { "connections", sessions_.size() },
               { "max_connections", total_.maxConnections_ },
               { "buffered_bytes", budget_.Used() },
               { "max_buffered_bytes", total_.maxBufferedBytes_ },
               { "closed_connections", counts_.closedConnections_ },
               { "refused_for_buffers", counts_.refusedForBuffers_ },
               { "refused_for_size", counts_.refusedForSize_ } });
}

AsyncListener::AsyncListener(asio::io_context& aContext,
                             Handler aHandler,
                             HttpLimits aLimits,
                             ListenerTiming aTiming,
                             ListenerLimits aTotal,
                             Refusal aRefusal)
  : impl_(std::make_shared<Impl>(aContext,
                                 std::move(aHandler),
                                 aLimits,
                                 aTiming,
                                 aTotal,
                                 std::move(aRefusal)))
{
}

AsyncListener::~AsyncListener()
{
  Drain();
}

Result<Done>
AsyncListener::Start(const std::string& aAddress)
{
  const auto endpoint = detail::ParseEndpoint(aAddress);
  if (!endpoint) {
    return Error{ ErrorKind::BadSetting,
                  aAddress + " is not a numeric address with a port" };
  }
  beast::error_code error;
  auto& acceptor = impl_->acceptor_;
  acceptor.open(endpoint->protocol(), error);
  if (!error) {
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    acceptor.bind(*endpoint, error);
  }
  if (!error) {
    acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return Error{ ErrorKind::IoError,
                  "cannot listen on " + aAddress + ": " + error.message() };
  }
  impl_->Accept();
  return Done{};
}

void
AsyncListener::Drain()
{
  impl_->draining_ = true;
  beast::error_code ignored;
  impl_->acceptor_.close(ignored);
  impl_->acceptTimer_.cancel();
  for (auto* session : impl_->sessions_) {
    session->CloseIfIdle();
  }
}

std::size_t
AsyncListener::InWork() const
{
  return impl_->requestsInProgress_;
}

ListenerCounts
AsyncListener::Counts() const
{
  auto counts = impl_->counts_;
  counts.connections_ = impl_->sessions_.size();
  counts.bufferedBytes_ = static_cast<std::size_t>(impl_->budget_.Used());
  return counts;
}

} // namespace acaciahill
