#include "http/async_client_base.h"
#include "http/async_listener_base.h"
#include "http/context_runner_func.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>

#include <catch2/catch.hpp>

#include <array>
#include <optional>
#include <stdexcept>

using namespace acaciahill;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr auto kTestTime = 3s;

HttpRequest
Get(const std::string& aTarget)
{
  return { "GET", aTarget, { { "Host", "test" } }, {}, true, false };
}

/// Accepts one connection, reads everything and never answers.
class SilentPeer
{
public:
  explicit SilentPeer(asio::io_context& aContext)
    : acceptor_(aContext, { asio::ip::make_address("127.0.0.1"), 0 })
    , socket_(aContext)
  {
    acceptor_.async_accept(socket_, [this](boost::system::error_code aError) {
      if (!aError) {
        ReadOn();
      }
    });
  }

  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

  /// The error that ended the connection; nullopt while it is open.
  std::optional<boost::system::error_code> end_;

private:
  void ReadOn()
  {
    socket_.async_read_some(
      asio::buffer(bytes_),
      [this](boost::system::error_code aError, std::size_t) {
        if (aError) {
          end_ = aError;
        } else {
          ReadOn();
        }
      });
  }

  asio::ip::tcp::acceptor acceptor_;
  asio::ip::tcp::socket socket_;
  std::array<char, 4096> bytes_{};
};

} // namespace

// Guards against a timed-out call that still arrives when a network partition
// ends: after an orderly close the kernel would deliver the unsent bytes.
TEST_CASE("a call that timed out resets its connection")
{
  asio::io_context context;
  SilentPeer peer(context);
  AsyncClient client(context);
  std::optional<CallResult> result;
  client.Call(peer.Address(), Get("/"), 200ms, [&](CallResult aResult) {
    result = std::move(aResult);
  });
  context.run_for(kTestTime);
  REQUIRE(result);
  CHECK(std::get<CallFailure>(*result) == CallFailure::Timeout);
  REQUIRE(peer.end_);
  CHECK(*peer.end_ == asio::error::connection_reset);
}

// Guards against an exception in the handler that ends the process.
TEST_CASE("a request on which the handler throws is answered, and the next too")
{
  asio::io_context context;
  std::string address;
  AsyncListener listener(
    context,
    [](const HttpRequest& aRequest, const AsyncListener::Answer& aAnswer) {
      if (aRequest.target_ == "/odd") {
        throw std::out_of_range("odd");
      }
      HttpAnswer answer;
      answer.status_ = 200;
      aAnswer(std::move(answer));
    },
    HttpLimits{ 16384, 65536 });
  {
    asio::ip::tcp::acceptor free(context,
                                 { asio::ip::make_address("127.0.0.1"), 0 });
    address = "127.0.0.1:" + std::to_string(free.local_endpoint().port());
  }
  REQUIRE(IsOk(listener.Start(address)));
  AsyncClient client(context);
  std::vector<std::int64_t> statuses;
  const auto ask = [&](const std::string& aTarget, auto aNext) {
    client.Call(
      address, Get(aTarget), 1000ms, [&, aNext](const CallResult& aResult) {
        const auto* answer = std::get_if<HttpAnswer>(&aResult);
        statuses.push_back(answer == nullptr ? 0 : answer->status_);
        aNext();
      });
  };
  ask("/odd", [&] { ask("/plain", [&] { context.stop(); }); });
  context.run_for(kTestTime);
  CHECK(statuses == std::vector<std::int64_t>{ 500, 200 });
}

// Guards against an unexpected error in a completion handler or a timer, which
// ended the whole process.
TEST_CASE("handlers run on after one has thrown")
{
  asio::io_context context;
  std::vector<std::string> errors;
  int ran = 0;
  asio::steady_timer timer(context, 1ms);
  timer.async_wait(
    [](boost::system::error_code) { throw std::out_of_range("timer"); });
  asio::post(context, [] { throw std::runtime_error("handler"); });
  asio::post(context, [&ran] { ++ran; });
  RunContext(context, [&errors](const std::exception& aError) {
    errors.emplace_back(aError.what());
  });
  CHECK(ran == 1);
  CHECK(errors == std::vector<std::string>{ "handler", "timer" });
}
