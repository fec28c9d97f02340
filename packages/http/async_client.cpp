#include "http/async_client_base.h"

#include "http/beast_func.h"
#include "kernel/os_clock_func.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>

#include <map>
#include <optional>
#include <vector>

namespace acaciahill {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

// Holds the header of an answer, and trailer fields or the size of a chunk, of
// which the parser has no limits of its own.
constexpr std::size_t kReadBufferBytes = std::size_t{ 64 } * 1024;

/// An open connection without a call.
struct IdleConnection
{
  std::unique_ptr<beast::tcp_stream> stream_;
  MonotonicTime since_;
};

} // namespace

struct AsyncClient::Impl : std::enable_shared_from_this<AsyncClient::Impl>
{
  class Exchange;

  Impl(asio::io_context& aContext, ClientLimits aLimits)
    : context_(aContext)
    , limits_(aLimits)
  {
  }

  /// The most recently used idle connection within maxIdleAge_, or null.
  std::unique_ptr<beast::tcp_stream> TakeIdle(const std::string& aAddress)
  {
    const auto found = idle_.find(aAddress);
    if (found == idle_.end()) {
      return nullptr;
    }
    auto& connections = found->second;
    const auto oldest = MonotonicNow() - limits_.maxIdleAge_;
    while (!connections.empty()) {
      auto last = std::move(connections.back());
      connections.pop_back();
      --idleCount_;
      if (last.since_ >= oldest) {
        return std::move(last.stream_);
      }
    }
    idle_.erase(found);
    return nullptr;
  }

  void KeepIdle(const std::string& aAddress,
                std::unique_ptr<beast::tcp_stream> aStream)
  {
    if (idleCount_ >= limits_.maxIdleTotal_) {
      CloseExpiredIdle();
    }
    auto& connections = idle_[aAddress];
    if (connections.size() < limits_.maxIdlePerAddress_ &&
        idleCount_ < limits_.maxIdleTotal_) {
      connections.push_back({ std::move(aStream), MonotonicNow() });
      ++idleCount_;
    }
  }

  /// Closes connections that have been idle for longer than maxIdleAge_.
  void CloseExpiredIdle()
  {
    const auto oldest = MonotonicNow() - limits_.maxIdleAge_;
    for (auto& [address, connections] : idle_) {
      idleCount_ -=
        std::erase_if(connections, [oldest](const IdleConnection& aOne) {
          return aOne.since_ < oldest;
        });
    }
    std::erase_if(idle_,
                  [](const auto& aEntry) { return aEntry.second.empty(); });
  }

  asio::io_context& context_;
  ClientLimits limits_;
  std::map<std::string, std::vector<IdleConnection>> idle_;
  std::size_t idleCount_ = 0;
};

/// One call; kept alive by its pending asynchronous operation.
class AsyncClient::Impl::Exchange
  : public std::enable_shared_from_this<AsyncClient::Impl::Exchange>
{
public:
  Exchange(std::shared_ptr<Impl> aOwner,
           std::string aAddress,
           HttpRequest aRequest,
           Millis aTimeout,
           OnResult aOnResult)
    : owner_(std::move(aOwner))
    , address_(std::move(aAddress))
    , request_(detail::ToBeastRequest(std::move(aRequest)))
    , deadline_(std::chrono::steady_clock::now() + aTimeout)
    , onResult_(std::move(aOnResult))
  {
  }

  void Start()
  {
    stream_ = owner_->TakeIdle(address_);
    if (stream_) {
      Write();
      return;
    }
    const auto endpoint = detail::ParseEndpoint(address_);
    if (!endpoint) {
      Finish(CallFailure::NotSent);
      return;
    }
    stream_ = std::make_unique<beast::tcp_stream>(owner_->context_);
    stream_->expires_at(std::min(deadline_,
                                 std::chrono::steady_clock::now() +
                                   owner_->limits_.connectTimeout_));
    stream_->async_connect(
      *endpoint, [self = shared_from_this()](beast::error_code aError) {
        if (aError) {
          self->Finish(CallFailure::NotSent);
          return;
        }
        auto& socket = self->stream_->socket();
        beast::error_code ignored;
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        // A call that timed out must not arrive later. After an orderly close
        // the kernel would still deliver unsent bytes when a network partition
        // ends; linger 0 resets the connection and drops them.
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
        self->Write();
      });
  }

private:
  void Write()
  {
    stream_->expires_at(deadline_);
    http::async_write(
      *stream_,
      request_,
      [self = shared_from_this()](beast::error_code aError, std::size_t) {
        if (aError) {
          self->Finish(self->FailureOf(aError));
          return;
        }
        self->Read();
      });
  }

  void Read()
  {
    parser_.emplace();
    parser_->body_limit(owner_->limits_.maxAnswerBytes_);
    http::async_read(
      *stream_,
      buffer_,
      *parser_,
      [self = shared_from_this()](beast::error_code aError, std::size_t) {
        if (aError) {
          self->Finish(self->FailureOf(aError));
          return;
        }
        const bool keepAlive = self->parser_->get().keep_alive();
        auto answer = detail::ToAnswer(self->parser_->release());
        if (keepAlive && self->buffer_.size() == 0) {
          self->stream_->expires_never();
          self->owner_->KeepIdle(self->address_, std::move(self->stream_));
        }
        self->Finish(std::move(answer));
      });
  }

  CallFailure FailureOf(beast::error_code aError) const
  {
    return aError == beast::error::timeout ? CallFailure::Timeout
                                           : CallFailure::AnswerLost;
  }

  void Finish(CallResult aResult)
  {
    stream_.reset();
    auto onResult = std::move(onResult_);
    onResult(std::move(aResult));
  }

  std::shared_ptr<Impl> owner_;
  std::string address_;
  http::request<http::string_body> request_;
  std::chrono::steady_clock::time_point deadline_;
  OnResult onResult_;
  std::unique_ptr<beast::tcp_stream> stream_;
  beast::flat_buffer buffer_{ kReadBufferBytes };
  std::optional<http::response_parser<http::string_body>> parser_;
};

AsyncClient::AsyncClient(asio::io_context& aContext, ClientLimits aLimits)
  : impl_(std::make_shared<Impl>(aContext, aLimits))
{
}

AsyncClient::~AsyncClient() = default;

void
AsyncClient::Call(const std::string& aAddress,
                  HttpRequest aRequest,
                  Millis aTimeout,
                  OnResult aOnResult)
{
  // Started from the context, so that the result never arrives within Call().
  auto exchange = std::make_shared<Impl::Exchange>(
    impl_, aAddress, std::move(aRequest), aTimeout, std::move(aOnResult));
  asio::post(impl_->context_, [exchange] { exchange->Start(); });
}

} // namespace acaciahill
