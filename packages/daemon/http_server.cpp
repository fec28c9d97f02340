#include "daemon/http_server_base.h"

#include "http/async_listener_base.h"
#include "http/context_runner_func.h"
#include "http/http_message_func.h"
#include "kernel/error_func.h"
#include "kernel/log_func.h"
#include "kernel/os_clock_func.h"

#include <Poco/Exception.h>
#include <Poco/URI.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>

#include <chrono>
#include <future>
#include <nlohmann/json.hpp>
#include <optional>
#include <thread>

namespace acaciahill {

namespace asio = boost::asio;

namespace {

constexpr std::size_t kMaxHeaderBytes = std::size_t{ 16 } * 1024;
constexpr std::int64_t kBadRequest = 400;
constexpr std::int64_t kUnavailable = 503;
constexpr std::chrono::milliseconds kStopPoll{ 10 };
constexpr std::chrono::seconds kStopLimit{ 5 };

HttpAnswer
ToAnswer(ServerAnswer aAnswer)
{
  HttpAnswer answer;
  answer.status_ = aAnswer.status_;
  answer.headers_ = { { "Content-Type", aAnswer.contentType_ } };
  for (auto& [name, value] : aAnswer.headers_) {
    answer.headers_.push_back({ name, value });
  }
  answer.body_ = std::move(aAnswer.body_);
  answer.keepAlive_ = false;
  return answer;
}

HttpAnswer
RefusalOf(std::int64_t aStatus)
{
  const auto kind = aStatus == kBadRequest    ? ErrorKind::BadRequest
                    : aStatus == kUnavailable ? ErrorKind::NodeOverloaded
                                              : ErrorKind::RequestTooLarge;
  return ToAnswer(ServerErrorOf({ kind, "" }));
}

ServerAnswer
AnswerTo(const HttpServer::Handler& aHandler,
         HttpRequest aRequest,
         std::int64_t aWaitedMs)
{
  try {
    const Poco::URI uri(aRequest.target_);
    ServerCall call;
    call.method_ = aRequest.method_;
    call.path_ = uri.getPath();
    for (const auto& [key, value] : uri.getQueryParameters()) {
      call.query_[key] = value;
    }
    if (FindHeader(aRequest.headers_, "Transfer-Encoding")) {
      return ServerErrorOf(
        { ErrorKind::BadRequest,
          "send the body with a Content-Length, not chunked" });
    }
    call.body_ = std::move(aRequest.body_);
    call.waitedMs_ = aWaitedMs;
    return aHandler(call);
  } catch (const Poco::Exception& error) {
    return ServerErrorOf({ ErrorKind::BadRequest, error.displayText() });
  } catch (const std::exception& error) {
    LogError("a request handler failed", { { "error", error.what() } });
    return ServerErrorOf({ ErrorKind::Internal, "" });
  }
}

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
  Impl(Handler aHandler,
       int aMaxThreads,
       std::int64_t aMaxBodyBytes,
       ListenerLimits aLimits)
    : handler_(std::move(aHandler))
    , maxThreads_(static_cast<std::size_t>(aMaxThreads))
    , guard_(asio::make_work_guard(context_))
    , listener_(
        context_,
        [this](HttpRequest aRequest, AsyncListener::Answer aAnswer) {
          Serve(std::move(aRequest), std::move(aAnswer));
        },
        { kMaxHeaderBytes, static_cast<std::size_t>(aMaxBodyBytes) },
        ListenerTiming{},
        aLimits,
        RefusalOf)
  {
  }

  /// Handlers block, so that they run on threads of their own. The answer is
  /// sent on the context's thread.
  void Serve(HttpRequest aRequest, AsyncListener::Answer aAnswer)
  {
    asio::post(
      *workers_,
      [this,
       request = std::move(aRequest),
       answer = std::move(aAnswer),
       readAt = MonotonicNow()]() mutable {
        const auto waited = request.waited_ + (MonotonicNow() - readAt);
        auto made = AnswerTo(handler_, std::move(request), waited.count());
        asio::post(
          context_,
          [answer = std::move(answer), made = std::move(made)]() mutable {
            answer(ToAnswer(std::move(made)));
          });
      });
  }

  /// Calls a function on the context's thread and returns what it gives.
  template<typename F>
  auto OnThread(F aFunction)
  {
    std::packaged_task<decltype(aFunction())()> task(std::move(aFunction));
    auto result = task.get_future();
    asio::post(context_, std::move(task));
    return result.get();
  }

  Handler handler_;
  std::size_t maxThreads_;
  asio::io_context context_{ 1 };
  asio::executor_work_guard<asio::io_context::executor_type> guard_;
  AsyncListener listener_;
  std::optional<asio::thread_pool> workers_;
  std::thread thread_;
};

HttpServer::HttpServer(Handler aHandler,
                       int aMaxThreads,
                       std::int64_t aMaxBodyBytes,
                       ListenerLimits aLimits)
  : impl_(std::make_unique<Impl>(std::move(aHandler),
                                 aMaxThreads,
                                 aMaxBodyBytes,
                                 aLimits))
{
}

HttpServer::~HttpServer()
{
  Stop();
}

Result<Done>
HttpServer::Start(const std::string& aAddress)
{
  auto started = impl_->listener_.Start(aAddress);
  if (!IsOk(started)) {
    return started;
  }
  impl_->workers_.emplace(impl_->maxThreads_);
  impl_->thread_ = std::thread([this] {
    RunContext(impl_->context_, [](const std::exception& aError) {
      LogError("exception in a handler", { { "error", aError.what() } });
    });
  });
  return Done{};
}

ListenerCounts
HttpServer::Counts() const
{
  return impl_->OnThread([this] { return impl_->listener_.Counts(); });
}

void
HttpServer::Stop()
{
  if (!impl_->thread_.joinable()) {
    return;
  }
  impl_->OnThread([this] { impl_->listener_.Drain(); });
  const auto limit = std::chrono::steady_clock::now() + kStopLimit;
  while (impl_->OnThread([this] { return impl_->listener_.InWork(); }) > 0 &&
         std::chrono::steady_clock::now() < limit) {
    std::this_thread::sleep_for(kStopPoll);
  }
  impl_->workers_->stop();
  impl_->workers_->join();
  impl_->context_.stop();
  impl_->thread_.join();
}

} // namespace acaciahill
