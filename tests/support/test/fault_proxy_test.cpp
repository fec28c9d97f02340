#include "support/fault_proxy.h"
#include "support/http_func.h"
#include "support/process_harness.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <thread>

using namespace acaciahill;
using namespace acaciahill::testing;
using namespace std::chrono_literals;

namespace {

constexpr Millis kTimeout{ 3000 };
constexpr Millis kShort{ 300 };

/// A server behind a proxy, and the number of requests that reached it.
struct Rig
{
  std::atomic<int> served_{ 0 };
  HttpServer server_{ "127.0.0.1:0",
                      [this](HttpConnection& aConnection, const HttpMessage&) {
                        ++served_;
                        return aConnection.Send(
                          FormatAnswer(200, {}, std::string(1000, 'x')));
                      } };
  FaultProxy proxy_{ "127.0.0.1:0", server_.Address() };

  HttpOutcome Call(Millis aTimeout = kTimeout)
  {
    return HttpCall(proxy_.Address(), { "GET", "/", {}, "" }, aTimeout);
  }
};

} // namespace

// Guards against a fault that lets through what it should stop, or that stays.
TEST_CASE("faults of a proxy act and end")
{
  struct Row
  {
    const char* name_;
    ProxyFaults faults_;
    ReadEnd end_;
    int served_;
  };
  DirectionFaults drop;
  drop.drop_ = true;
  DirectionFaults freeze;
  freeze.freeze_ = true;
  DirectionFaults truncate;
  truncate.truncateAfter_ = 500;
  const auto row = GENERATE_COPY(
    Row{ "none", {}, ReadEnd::Whole, 1 },
    Row{ "cut", { true, {}, {} }, ReadEnd::Closed, 0 },
    Row{ "drop up", { false, drop, {} }, ReadEnd::TimedOut, 0 },
    Row{ "drop down", { false, {}, drop }, ReadEnd::TimedOut, 1 },
    Row{ "freeze up", { false, freeze, {} }, ReadEnd::TimedOut, 0 },
    Row{ "truncate down", { false, {}, truncate }, ReadEnd::Truncated, 1 });
  INFO(row.name_);
  Rig rig;
  rig.proxy_.Set(row.faults_);
  CHECK(rig.Call(kShort).end_ == row.end_);
  CHECK(rig.served_ == row.served_);
  rig.proxy_.Heal();
  CHECK(rig.Call().Answered());
}

// Guards against a proxy whose delay is not seen by its users.
TEST_CASE("a proxy delays one direction")
{
  Rig rig;
  ProxyFaults faults;
  faults.up_.delay_ = 200ms;
  rig.proxy_.Set(faults);
  const auto before = MonotonicNs();
  REQUIRE(rig.Call().Answered());
  CHECK(MonotonicNs() - before >= 200ULL * 1000 * 1000);
}

// Guards against a freeze of open connections that ends or hits new ones.
TEST_CASE("a proxy freezes only connections opened before")
{
  Rig rig;
  Poco::Net::StreamSocket socket{ Poco::Net::SocketAddress(
    rig.proxy_.Address()) };
  HttpConnection connection(socket);
  HttpMessage answer;
  REQUIRE(connection.Send("GET / HTTP/1.1\r\n\r\n"));
  REQUIRE(connection.ReadAnswer(answer, kTimeout, false) == ReadEnd::Whole);
  rig.proxy_.FreezeOpen();
  rig.proxy_.Heal();
  REQUIRE(connection.Send("GET / HTTP/1.1\r\n\r\n"));
  CHECK(connection.ReadAnswer(answer, kShort, false) == ReadEnd::TimedOut);
  CHECK(rig.Call().Answered());

  rig.proxy_.ResetAll();
  CHECK(connection.ReadAnswer(answer, kTimeout, false) == ReadEnd::Closed);
}

// Guards against a held direction that loses or reorders what it held.
TEST_CASE("a frozen direction goes on when the freeze ends")
{
  Rig rig;
  ProxyFaults faults;
  faults.down_.freeze_ = true;
  rig.proxy_.Set(faults);
  HttpOutcome outcome;
  std::jthread caller([&] { outcome = rig.Call(); });
  REQUIRE(WaitUntil(kTimeout, [&] { return rig.served_ == 1; }));
  rig.proxy_.Heal();
  caller.join();
  REQUIRE(outcome.Answered());
  CHECK(outcome.answer_.body_ == std::string(1000, 'x'));
}
