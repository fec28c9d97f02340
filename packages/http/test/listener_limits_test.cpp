#include "http/async_client_base.h"
#include "http/async_listener_base.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <array>
#include <optional>

using namespace acaciahill;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr std::size_t kMaxHeader = 1024;
constexpr std::size_t kMaxBody = 4096;
constexpr auto kTestTime = 5s;

std::string
FreeLoopbackAddress(asio::io_context& aContext)
{
  asio::ip::tcp::acceptor free(aContext,
                               { asio::ip::make_address("127.0.0.1"), 0 });
  return "127.0.0.1:" + std::to_string(free.local_endpoint().port());
}

/// A connection that sends bytes and collects what comes back.
class RawClient
{
public:
  RawClient(asio::io_context& aContext, const std::string& aAddress)
    : socket_(aContext)
  {
    const auto colon = aAddress.rfind(':');
    socket_.connect(
      { asio::ip::make_address(aAddress.substr(0, colon)),
        static_cast<std::uint16_t>(std::stoi(aAddress.substr(colon + 1))) });
    Read();
  }

  void Send(std::string aBytes)
  {
    sent_ = std::move(aBytes);
    asio::async_write(socket_,
                      asio::buffer(sent_),
                      [](boost::system::error_code, std::size_t) {});
  }

  void Close() { socket_.close(); }

  /// The status of the first answer; 0 when there is none.
  int Status() const
  {
    return received_.size() < 12 ? 0 : std::stoi(received_.substr(9, 3));
  }

  bool isClosed_ = false;

private:
  void Read()
  {
    socket_.async_read_some(
      asio::buffer(bytes_),
      [this](boost::system::error_code aError, std::size_t aSize) {
        received_.append(bytes_.data(), aSize);
        if (aError) {
          isClosed_ = true;
        } else {
          Read();
        }
      });
  }

  asio::ip::tcp::socket socket_;
  std::array<char, 4096> bytes_{};
  std::string received_;
  std::string sent_;
};

void
AnswerOk(const HttpRequest&, const AsyncListener::Answer& aAnswer)
{
  HttpAnswer answer;
  answer.status_ = 200;
  aAnswer(std::move(answer));
}

/// Runs the context until the condition holds. False at the end of the time.
template<typename F>
bool
RunUntil(asio::io_context& aContext, F aCondition)
{
  const auto until = std::chrono::steady_clock::now() + kTestTime;
  while (!aCondition() && std::chrono::steady_clock::now() < until) {
    aContext.run_for(5ms);
    aContext.restart();
  }
  return aCondition();
}

std::string
Chunked(const std::string& aRest)
{
  return "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" +
         aRest;
}

std::string
WithBody(std::size_t aBytes)
{
  return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(aBytes) + "\r\n\r\n" + std::string(aBytes, 'b');
}

} // namespace

// Guards against parts of a request that no limit counts, and against refusing
// requests that are within the limits.
TEST_CASE("each part of a request has a limit")
{
  struct Row
  {
    const char* name_;
    std::string bytes_;
    int status_;
  };
  const std::string tooLong(2 * kMaxHeader, 'a');
  const std::vector<Row> rows{
    { "the largest body", WithBody(kMaxBody), 200 },
    { "a body beyond the limit", WithBody(kMaxBody + 1), 413 },
    { "a chunked body", Chunked("2\r\nok\r\n0\r\n\r\n"), 200 },
    { "a chunked body with a trailer",
      Chunked("2\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n"),
      200 },
    { "a chunk with an extension", Chunked("2;a=b\r\nok\r\n0\r\n\r\n"), 200 },
    { "a long header", "GET / HTTP/1.1\r\nX: " + tooLong, 431 },
    { "a long trailer", Chunked("2\r\nok\r\n0\r\nX: " + tooLong), 431 },
    { "many trailers",
      Chunked("2\r\nok\r\n0\r\n" +
              [] {
                std::string fields;
                while (fields.size() < 2 * kMaxHeader) {
                  fields += "X: y\r\n";
                }
                return fields;
              }()),
      431 },
    { "a long chunk size", Chunked(std::string(2 * kMaxHeader, '0')), 431 },
    { "a long extension", Chunked("2;a=" + tooLong), 431 },
  };
  for (const auto& row : rows) {
    INFO(row.name_);
    asio::io_context context;
    const auto address = FreeLoopbackAddress(context);
    AsyncListener listener(context, AnswerOk, { kMaxHeader, kMaxBody });
    REQUIRE(IsOk(listener.Start(address)));
    RawClient client(context, address);
    client.Send(row.bytes_);
    CHECK(RunUntil(context, [&] { return client.Status() != 0; }));
    CHECK(client.Status() == row.status_);
    if (row.status_ != 200) {
      CHECK(RunUntil(context, [&] { return client.isClosed_; }));
      CHECK(listener.Counts().refusedForSize_ == 1);
    }
    CHECK(listener.Counts().bufferedBytes_ <= 2 * (kMaxHeader + kMaxBody));
  }
}

// Load: more clients than there is memory for send bodies that they do not
// finish. Guards against memory that grows with the number of clients.
TEST_CASE("requests beyond the buffers of a listener are refused")
{
  constexpr std::size_t kClients = 8;
  asio::io_context context;
  const auto address = FreeLoopbackAddress(context);
  ListenerLimits limits;
  limits.maxBufferedBytes_ = 4 * kMaxBody;
  AsyncListener listener(
    context, AnswerOk, { kMaxHeader, kMaxBody }, {}, limits);
  REQUIRE(IsOk(listener.Start(address)));
  std::vector<std::unique_ptr<RawClient>> clients;
  for (std::size_t i = 0; i < kClients; ++i) {
    clients.push_back(std::make_unique<RawClient>(context, address));
    auto unfinished = WithBody(kMaxBody);
    unfinished.pop_back();
    clients.back()->Send(std::move(unfinished));
  }
  CHECK(RunUntil(context, [&] {
    return listener.Counts().refusedForBuffers_ >= kClients / 2;
  }));
  CHECK(listener.Counts().bufferedBytes_ <= limits.maxBufferedBytes_);
  for (const auto& client : clients) {
    CHECK((client->Status() == 0 || client->Status() == 503));
  }
  // The buffers are free again once the clients have left.
  for (const auto& client : clients) {
    client->Close();
  }
  CHECK(RunUntil(context, [&] { return listener.Counts().connections_ == 0; }));
  CHECK(listener.Counts().bufferedBytes_ == 0);
}

// Load: clients that connect and send nothing. Guards against connections
// without end, which leave no descriptor for others.
TEST_CASE("a new connection takes the place of the longest idle one")
{
  asio::io_context context;
  const auto address = FreeLoopbackAddress(context);
  ListenerLimits limits;
  limits.maxConnections_ = 3;
  AsyncListener listener(
    context, AnswerOk, { kMaxHeader, kMaxBody }, {}, limits);
  REQUIRE(IsOk(listener.Start(address)));
  std::vector<std::unique_ptr<RawClient>> idle;
  for (std::size_t i = 1; i <= limits.maxConnections_; ++i) {
    idle.push_back(std::make_unique<RawClient>(context, address));
    REQUIRE(
      RunUntil(context, [&] { return listener.Counts().connections_ == i; }));
  }
  RawClient ordinary(context, address);
  ordinary.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(RunUntil(context, [&] { return ordinary.Status() != 0; }));
  CHECK(ordinary.Status() == 200);
  CHECK(RunUntil(context, [&] { return idle[0]->isClosed_; }));
  CHECK_FALSE(idle[1]->isClosed_);
  CHECK_FALSE(idle[2]->isClosed_);
  CHECK(listener.Counts().connections_ <= limits.maxConnections_);
  CHECK(listener.Counts().closedConnections_ == 1);
}

// Guards against a worker or a platform whose answer has no end.
TEST_CASE("an answer with trailer fields without end is given up")
{
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor(context,
                                   { asio::ip::make_address("127.0.0.1"), 0 });
  asio::ip::tcp::socket peer(context);
  const std::string answer =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: " +
    std::string(std::size_t{ 1024 } * 1024, 'a');
  acceptor.async_accept(peer, [&](boost::system::error_code) {
    asio::async_write(peer,
                      asio::buffer(answer),
                      [](boost::system::error_code, std::size_t) {});
  });
  AsyncClient client(context);
  std::optional<CallResult> result;
  client.Call("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()),
              { "GET", "/", { { "Host", "test" } }, {}, true, false },
              kTestTime,
              [&](CallResult aResult) { result = std::move(aResult); });
  CHECK(RunUntil(context, [&] { return result.has_value(); }));
  REQUIRE(result);
  CHECK(std::get<CallFailure>(*result) == CallFailure::AnswerLost);
}
