#include "daemon/http_server_base.h"

#include "kernel/error_func.h"
#include "kernel/log_func.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>

#include <chrono>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <thread>

namespace acaciahill {

namespace {

constexpr int kQueueLength = 256;
constexpr int kReadTimeoutSeconds = 5;
constexpr int kStackBytes = 256 * 1024;
constexpr std::chrono::milliseconds kStopPoll{ 10 };
constexpr std::chrono::seconds kStopLimit{ 5 };

/// Time since the last byte arrived at the kernel, in ms.
std::int64_t
WaitedMs(Poco::Net::HTTPServerRequest& aRequest)
{
  auto* request = dynamic_cast<Poco::Net::HTTPServerRequestImpl*>(&aRequest);
  if (request == nullptr) {
    return 0;
  }
  tcp_info info{};
  socklen_t size = sizeof info;
  if (::getsockopt(request->socket().impl()->sockfd(),
                   IPPROTO_TCP,
                   TCP_INFO,
                   &info,
                   &size) != 0) {
    return 0;
  }
  return info.tcpi_last_data_recv;
}

Result<std::string>
ReadBody(Poco::Net::HTTPServerRequest& aRequest, std::int64_t aMaxBytes)
{
  const bool hasLength = aRequest.hasContentLength();
  if (aRequest.getChunkedTransferEncoding()) {
    return Error{ ErrorKind::BadRequest,
                  "send the body with a Content-Length, not chunked" };
  }
  if (!hasLength) {
    return std::string();
  }
  const auto length = aRequest.getContentLength64();
  if (length < 0 || length > aMaxBytes) {
    return Error{ ErrorKind::RequestTooLarge,
                  "the body is over " + std::to_string(aMaxBytes) + " bytes" };
  }
  std::string body(static_cast<std::size_t>(length), '\0');
  aRequest.stream().read(body.data(), length);
  // POCO reports no error for a body that ends early.
  if (aRequest.stream().gcount() != length) {
    return Error{ ErrorKind::BadRequest, "the body ended early" };
  }
  return body;
}

class RequestHandler : public Poco::Net::HTTPRequestHandler
{
public:
  RequestHandler(const HttpServer::Handler& aHandler, std::int64_t aMaxBytes)
    : handler_(aHandler)
    , maxBytes_(aMaxBytes)
  {
  }

  void handleRequest(Poco::Net::HTTPServerRequest& aRequest,
                     Poco::Net::HTTPServerResponse& aResponse) override
  {
    const auto answer = AnswerTo(aRequest);
    aResponse.setStatus(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(answer.status_));
    aResponse.setContentType(answer.contentType_);
    aResponse.setKeepAlive(false);
    for (const auto& [name, value] : answer.headers_) {
      aResponse.set(name, value);
    }
    try {
      aResponse.sendBuffer(answer.body_.data(), answer.body_.size());
    } catch (const Poco::Exception&) {
      // The client has closed the connection.
    }
  }

private:
  ServerAnswer AnswerTo(Poco::Net::HTTPServerRequest& aRequest) const
  {
    try {
      const Poco::URI uri(aRequest.getURI());
      ServerCall call;
      call.method_ = aRequest.getMethod();
      call.path_ = uri.getPath();
      for (const auto& [key, value] : uri.getQueryParameters()) {
        call.query_[key] = value;
      }
      auto body = ReadBody(aRequest, maxBytes_);
      if (!IsOk(body)) {
        return ServerErrorOf(ErrorOf(body));
      }
      call.body_ = ValueOf(std::move(body));
      call.waitedMs_ = WaitedMs(aRequest);
      return handler_(call);
    } catch (const Poco::Exception& error) {
      return ServerErrorOf({ ErrorKind::BadRequest, error.displayText() });
    } catch (const std::exception& error) {
      LogError("a request handler failed", { { "error", error.what() } });
      return ServerErrorOf({ ErrorKind::Internal, "" });
    }
  }

  const HttpServer::Handler& handler_;
  std::int64_t maxBytes_;
};

class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
  HandlerFactory(const HttpServer::Handler& aHandler, std::int64_t aMaxBytes)
    : handler_(aHandler)
    , maxBytes_(aMaxBytes)
  {
  }

  Poco::Net::HTTPRequestHandler* createRequestHandler(
    const Poco::Net::HTTPServerRequest&) override
  {
    return std::make_unique<RequestHandler>(handler_, maxBytes_).release();
  }

private:
  const HttpServer::Handler& handler_;
  std::int64_t maxBytes_;
};

} // namespace

ServerAnswer
ServerErrorOf(const Error& aError)
{
  const auto& row = AnswerOf(aError.kind_);
  ServerAnswer answer;
  answer.status_ = row.httpStatus_;
  answer.headers_.emplace_back("Acaciahill-Outcome", OutcomeName(row.outcome_));
  const nlohmann::json body = {
    { "error", row.name_ },
    { "outcome", OutcomeName(row.outcome_) },
    { "detail",
      aError.detail_.empty() ? std::string(row.text_) : aError.detail_ },
  };
  answer.body_ =
    body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return answer;
}

struct HttpServer::Impl
{
  Handler handler_;
  int maxThreads_;
  std::int64_t maxBytes_;
  std::unique_ptr<Poco::ThreadPool> threads_;
  std::unique_ptr<Poco::Net::HTTPServer> server_;
};

HttpServer::HttpServer(Handler aHandler,
                       int aMaxThreads,
                       std::int64_t aMaxBodyBytes)
  : impl_(std::make_unique<Impl>(
      Impl{ std::move(aHandler), aMaxThreads, aMaxBodyBytes, {}, {} }))
{
}

HttpServer::~HttpServer()
{
  Stop();
}

Result<Done>
HttpServer::Start(const std::string& aAddress)
{
  auto params = Poco::AutoPtr(new Poco::Net::HTTPServerParams);
  params->setKeepAlive(false);
  params->setMaxThreads(impl_->maxThreads_);
  params->setMaxQueued(kQueueLength);
  params->setTimeout(Poco::Timespan(kReadTimeoutSeconds, 0));
  try {
    const Poco::Net::SocketAddress address(aAddress);
    Poco::Net::ServerSocket socket;
    socket.bind(address, true, false);
    socket.listen(kQueueLength);
    impl_->threads_ = std::make_unique<Poco::ThreadPool>(
      2, impl_->maxThreads_, 60, kStackBytes);
    impl_->server_ = std::make_unique<Poco::Net::HTTPServer>(
      new HandlerFactory(impl_->handler_, impl_->maxBytes_),
      *impl_->threads_,
      socket,
      params);
    impl_->server_->start();
  } catch (const Poco::Exception& error) {
    return Error{ ErrorKind::IoError,
                  "cannot listen on " + aAddress + ": " + error.displayText() };
  }
  return Done{};
}

void
HttpServer::Stop()
{
  if (!impl_->server_) {
    return;
  }
  impl_->server_->stop();
  // POCO's stop() returns while requests are still in progress.
  const auto limit = std::chrono::steady_clock::now() + kStopLimit;
  while (impl_->server_->currentConnections() > 0 &&
         std::chrono::steady_clock::now() < limit) {
    std::this_thread::sleep_for(kStopPoll);
  }
  impl_->server_->stopAll(true);
  impl_->threads_->joinAll();
  impl_->server_.reset();
}

} // namespace acaciahill
