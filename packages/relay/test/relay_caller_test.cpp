#include "relay_test_support.h"

#include <catch2/catch.hpp>

#include <atomic>

using namespace acaciahill;
using namespace acaciahill::test;

namespace {

/// A target that counts requests and answers none until go_ is opened.
class HeldTarget
{
public:
  HeldTarget()
    : target_([this](RawConnection& aConnection, int) {
      while (aConnection.ReadRequest()) {
        ++arrived_;
        go_.Wait();
        aConnection.Send(Answer("held"));
      }
    })
  {
  }
  ~HeldTarget() { go_.Open(); }

  bool WaitForRequests(int aCount)
  {
    return Eventually([&] { return arrived_ >= aCount; });
  }

  std::atomic<int> arrived_{ 0 };
  Latch go_;
  RawTarget target_;
};

} // namespace

// Guards against request smuggling: a request that two HTTP parsers could frame
// differently is refused, and nothing after it on the connection is served.
TEST_CASE("requests of doubtful framing are refused and end the connection")
{
  const std::string line = "POST /pools/rota/x HTTP/1.1\r\nHost: h\r\n";
  const std::string hidden = "GET /pools/rota/hidden HTTP/1.1\r\n\r\n";
  const auto bytes = GENERATE_COPY(
    line + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    line + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n",
    line + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody",
    line + "Content-Length: 4, 5\r\n\r\nbody",
    line + "Content-Length: -1\r\n\r\n",
    line + "Content-Length: +4\r\n\r\nbody",
    line + "Content-Length : 4\r\n\r\nbody",
    line + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    line + "Transfer-Encoding: xchunked\r\n\r\n",
    line + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n"
           "0\r\n\r\n",
    line + "X: a\r\n b\r\nContent-Length: 0\r\n\r\n",
    line + "X: a\nContent-Length: 4\r\n\r\nbody",
    line + "X: a\rb\r\nContent-Length: 0\r\n\r\n",
    line + std::string("X: a\0b\r\n", 8) + "Content-Length: 0\r\n\r\n",
    line + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
    line + "Transfer-Encoding: chunked\r\n\r\n1\r\naXX0\r\n\r\n",
    line + "Host: other\r\nContent-Length: 0\r\n\r\n",
    line + "Expect: magic\r\nContent-Length: 0\r\n\r\n",
    line + "Acaciahill-Caller: a\r\nAcaciahill-Caller: b\r\n\r\n",
    line + "Acaciahill-Deadline-Ms: soon\r\n\r\n",
    line + "Acaciahill-Deadline-Ms: 0\r\n\r\n",
    line + "Idempotency-Key: a\r\nIdempotency-Key: b\r\n\r\n",
    std::string("TRACE /pools/rota/x HTTP/1.1\r\n\r\n"),
    std::string("CONNECT h:1 HTTP/1.1\r\n\r\n"),
    std::string("get /pools/rota/x HTTP/1.1\r\n\r\n"),
    std::string("GET http://h/pools/rota/x HTTP/1.1\r\n\r\n"),
    std::string("GET /pools/rota/x#y HTTP/1.1\r\n\r\n"),
    std::string("GET /pools/rota/x HTTP/2.0\r\n\r\n"),
    std::string("GET  /pools/rota/x HTTP/1.1\r\n\r\n"),
    std::string("\x16\x03\x01\r\n\r\n"));
  INFO(bytes);
  RawTarget target(Always(Answer("no")));
  RelayFixture fixture({ target.Address() });
  auto connection = fixture.Connect();
  connection.Send(bytes + hidden);
  const auto answer = connection.ReadAnswer();
  REQUIRE(answer);
  CHECK(answer->status_ == 400);
  CHECK(OutcomeOf(*answer) == "refused");
  CHECK(connection.WaitForClose());
  CHECK(target.Connections() == 0);
}

// Guards against memory and threads used by requests without a size limit or
// for pools that do not exist.
TEST_CASE("oversized requests and unknown paths are refused")
{
  struct Row
  {
    std::string bytes_;
    std::int64_t status_;
  };
  const std::string post = "POST /pools/rota/x HTTP/1.1\r\n";
  const auto row = GENERATE_COPY(
    Row{ Get("/pools/rota/x", "X: " + std::string(20000, 'x') + "\r\n"), 413 },
    Row{ "GET /pools/rota/" + std::string(20000, 'x'), 413 },
    Row{ post + "Content-Length: 1001\r\n\r\n", 413 },
    Row{ post + "Content-Length: 1001\r\nExpect: 100-continue\r\n\r\n", 413 },
    Row{ post + "Transfer-Encoding: chunked\r\n\r\n3e9\r\n", 413 },
    Row{ post + "Content-Length: 99999999999999999999\r\n\r\n", 400 },
    Row{ Get("/"), 404 },
    Row{ Get("/pools/"), 404 },
    Row{ Get("/pools/no%20pe/x"), 404 },
    Row{ Get("/pools/other/x"), 404 });
  INFO(row.bytes_.substr(0, 80));
  RawTarget target(Always(Answer("no")));
  auto settings = RelayFixture::DefaultSettings();
  settings.maxRequestBytes_ = 1000;
  RelayFixture fixture({ target.Address() }, settings);
  const auto answer = fixture.Ask(row.bytes_);
  REQUIRE(answer);
  CHECK(answer->status_ == row.status_);
  CHECK(target.Connections() == 0);
}

// Guards against answers out of order, and against losing the bytes of a
// pipelined request.
TEST_CASE("requests on one connection are answered in their order")
{
  RawTarget target([](RawConnection& aConnection, int) {
    while (const auto request = aConnection.ReadRequest()) {
      aConnection.Send(Answer(request->target_ + request->body_));
    }
  });
  RelayFixture fixture({ target.Address() });
  auto connection = fixture.Connect();
  connection.Send(
    Get("/pools/rota/1") + Post("/pools/rota/2", "body") +
    "POST /pools/rota/3 HTTP/1.1\r\nTransfer-Encoding: "
    "chunked\r\n\r\n2\r\nbo\r\n2;x=y\r\ndy\r\n0\r\nX-T: t\r\n\r\n" +
    Get("/pools/rota?q=4", "Connection: close\r\n") + Get("/pools/rota/never"));
  for (const auto* expected : { "/1", "/2body", "/3body", "/?q=4" }) {
    const auto answer = connection.ReadAnswer();
    REQUIRE(answer);
    CHECK(answer->body_ == expected);
  }
  CHECK(connection.WaitForClose());
}

TEST_CASE("a caller that asks first is told to send its body")
{
  RawTarget target([](RawConnection& aConnection, int) {
    while (const auto request = aConnection.ReadRequest()) {
      aConnection.Send(Answer(
        request->body_ + (FindHeader(request->headers_, "Expect") ? "!" : "")));
    }
  });
  RelayFixture fixture({ target.Address() });
  auto connection = fixture.Connect();
  connection.Send("PUT /pools/rota/x HTTP/1.1\r\nContent-Length: 4\r\nExpect: "
                  "100-continue\r\n\r\n");
  const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
  while (connection.buffer_.size() < interim.size() && connection.Receive()) {
  }
  REQUIRE(connection.buffer_ == interim);
  connection.buffer_.clear();
  connection.Send("body");
  CHECK(connection.ReadAnswer()->body_ == "body");

  // This one is refused before the body is sent.
  connection.Send("PUT /pools/none/x HTTP/1.1\r\nContent-Length: 4\r\nExpect: "
                  "100-continue\r\n\r\n");
  CHECK(connection.ReadAnswer()->status_ == 404);
  CHECK(connection.WaitForClose());
}

// Guards against slow senders that occupy threads, and against forwarding an
// incomplete request.
TEST_CASE("a request that is not whole goes nowhere")
{
  RawTarget target(Always(Answer("ok")));
  auto settings = RelayFixture::DefaultSettings();
  settings.readTimeout_ = Millis{ 300 };
  RelayFixture fixture({ target.Address() }, settings);
  const std::string part =
    "POST /pools/rota/x HTTP/1.1\r\nContent-Length: 10\r\n\r\nbody";
  auto stalled = fixture.Connect();
  stalled.Send(part);
  const auto answer = stalled.ReadAnswer();
  REQUIRE(answer);
  CHECK(answer->status_ == 400);
  CHECK(stalled.WaitForClose());

  auto leaving = fixture.Connect();
  leaving.Send(part);
  leaving.Shutdown();
  CHECK(leaving.WaitForClose());
  CHECK(target.Connections() == 0);

  auto slow = fixture.Connect();
  for (const char byte : Get("/pools/rota/x")) {
    slow.Send(std::string(1, byte));
  }
  CHECK(slow.ReadAnswer()->body_ == "ok");
}

// Guards against an unbounded number of threads, and against closed connections
// that still count towards the limit.
TEST_CASE("connections have a limit")
{
  RawTarget target(Always(Answer("ok")));
  auto settings = RelayFixture::DefaultSettings();
  settings.maxConnections_ = 2;
  RelayFixture fixture({ target.Address() }, settings);
  auto one = fixture.Connect();
  one.Send(Get("/pools/rota/x"));
  CHECK(one.ReadAnswer()->status_ == 200);
  {
    auto two = fixture.Connect();
    two.Send(Get("/pools/rota/x"));
    CHECK(two.ReadAnswer()->status_ == 200);
    auto three = fixture.Connect();
    const auto refused = three.ReadAnswer();
    REQUIRE(refused);
    CHECK(refused->status_ == 503);
    CHECK(OutcomeOf(*refused) == "not-run");
    CHECK(three.WaitForClose());
  }
  // The closed connection no longer counts.
  CHECK(Eventually([&] {
    const auto answer = fixture.Ask(Get("/pools/rota/x"));
    return answer && answer->status_ == 200;
  }));
}

// Guards against unbounded memory, and against bytes of a refused request that
// stay reserved.
TEST_CASE("buffered bytes have a limit")
{
  RawTarget target(Always(Answer("ok")));
  auto settings = RelayFixture::DefaultSettings();
  settings.maxBufferedBytes_ = 100000;
  RelayFixture fixture({ target.Address() }, settings);
  for (int i = 0; i < 5; ++i) {
    const auto large =
      fixture.Ask(Post("/pools/rota/x", std::string(60000, 'x')));
    REQUIRE(large);
    CHECK(large->status_ == 503);
    CHECK(OutcomeOf(*large) == "not-run");
    const auto small =
      fixture.Ask(Post("/pools/rota/x", std::string(30000, 'x')));
    REQUIRE(small);
    CHECK(small->status_ == 200);
  }
}

// Guards against processing requests of callers that have disconnected, and
// against reporting a request that was sent as "not run".
TEST_CASE("a caller's leaving cancels what waits and settles what was sent")
{
  HeldTarget held;
  RelayFixture fixture({ held.target_.Address() });
  auto row = fixture.row_;
  row.queueLimit_ = 5;
  fixture.SetRow(row);
  TargetsChanged targets{ { { "vm-1",
                              "rota",
                              "z1",
                              held.target_.Address(),
                              7,
                              1,
                              64,
                              0,
                              MonotonicNow() + Millis{ 600000 } } } };
  fixture.relay_.SetTargets(targets);
  auto sent = fixture.Connect();
  sent.Send(Post("/pools/rota/x", "in", "Idempotency-Key: k1\r\n"));
  REQUIRE(held.WaitForRequests(1));
  auto waits = fixture.Connect();
  waits.Send(Post("/pools/rota/x", "in", "Idempotency-Key: k2\r\n"));
  REQUIRE(
    Eventually([&] { return fixture.relay_.Loads().at("rota").queued_ == 1; }));
  waits.Close();
  REQUIRE(Eventually([&] { return fixture.claims_.Ends().size() == 1; }));
  CHECK(fixture.claims_.Ends()[0].end_ == ClaimEnd::NotRun);
  sent.Close();
  CHECK(fixture.relay_.InFlight().at("vm-1") == 1);
  held.go_.Open();
  REQUIRE(Eventually([&] { return fixture.claims_.Ends().size() == 2; }));
  CHECK(fixture.claims_.Ends()[1].end_ == ClaimEnd::Completed);
  CHECK(Eventually([&] { return fixture.relay_.InFlight().empty(); }));
  CHECK(held.arrived_ == 1);
  // The answer that the caller did not read is replayed.
  const auto again =
    fixture.Ask(Post("/pools/rota/x", "in", "Idempotency-Key: k1\r\n"));
  REQUIRE(again);
  CHECK(again->body_ == "held");
  CHECK(held.arrived_ == 1);
}

// Guards against running a request with a key twice, and against a key that
// stays claimed although its request did not run.
TEST_CASE("a request with a key runs at most once")
{
  std::atomic<int> requests{ 0 };
  RawTarget target([&](RawConnection& aConnection, int) {
    while (const auto request = aConnection.ReadRequest()) {
      ++requests;
      if (request->target_ == "/lost") {
        return;
      }
      const bool isLarge = request->target_ == "/large";
      aConnection.Send(Answer(std::string(isLarge ? 2049 : 2048, 'x'),
                              "201 Created",
                              "Content-Type: text/plain\r\n"));
    }
  });
  RelayFixture fixture({ target.Address() });
  const auto ask = [&](const std::string& aPath,
                       const std::string& aBody = "in",
                       const std::string& aCaller = "me") {
    return fixture.Ask(
      Post(aPath,
           aBody,
           "Idempotency-Key: k\r\nAcaciahill-Caller: " + aCaller + "\r\n"));
  };
  SECTION("an answer is replayed")
  {
    const auto first = ask("/pools/rota/x");
    const auto second = ask("/pools/rota/x");
    CHECK(second->status_ == 201);
    CHECK(second->body_ == first->body_);
    CHECK(FindHeader(second->headers_, "Content-Type") == "text/plain");
    CHECK(requests == 1);
    CHECK(ask("/pools/rota/x", "other")->status_ == 422);
    CHECK(ask("/pools/rota/y")->status_ == 422);
    CHECK(requests == 1);
    CHECK(ask("/pools/rota/x", "in", "you")->status_ == 201);
    CHECK(requests == 2);
  }
  SECTION("a large answer is not kept, but known")
  {
    CHECK(ask("/pools/rota/large")->body_.size() == 2049);
    const auto second = ask("/pools/rota/large");
    CHECK(second->status_ == 201);
    CHECK(second->body_.empty());
    CHECK(OutcomeOf(*second) == "done");
    CHECK(requests == 1);
  }
  SECTION("an unknown outcome stays unknown")
  {
    CHECK(OutcomeOf(*ask("/pools/rota/lost")) == "unknown");
    const auto second = ask("/pools/rota/lost");
    CHECK(second->status_ == 409);
    CHECK(OutcomeOf(*second) == "unknown");
    CHECK(requests == 1);
  }
  SECTION("what did not run may run later")
  {
    fixture.SetTargets({});
    CHECK(OutcomeOf(*ask("/pools/rota/x")) == "not-run");
    fixture.SetTargets({ target.Address() });
    CHECK(ask("/pools/rota/x")->status_ == 201);
    CHECK(requests == 1);
  }
  SECTION("without the control group nothing runs")
  {
    fixture.claims_.refusal_ = Error{ ErrorKind::ControlUnreachable, {} };
    const auto answer = ask("/pools/rota/x");
    CHECK(answer->status_ == 503);
    CHECK(OutcomeOf(*answer) == "not-run");
    CHECK(requests == 0);
  }
}

TEST_CASE("a second request with a running key is told to wait")
{
  HeldTarget held;
  RelayFixture fixture({ held.target_.Address() });
  const auto request = Post("/pools/rota/x", "in", "Idempotency-Key: k\r\n");
  auto first = fixture.Connect();
  first.Send(request);
  REQUIRE(held.WaitForRequests(1));
  const auto second = fixture.Ask(request);
  REQUIRE(second);
  CHECK(second->status_ == 409);
  CHECK(OutcomeOf(*second) == "not-run");
  CHECK(FindHeader(second->headers_, "Retry-After"));
  held.go_.Open();
  CHECK(first.ReadAnswer()->body_ == "held");
  CHECK(held.arrived_ == 1);
}

// Guards against a graceful stop that interrupts requests in flight.
TEST_CASE("a stop finishes what is in flight and refuses the rest")
{
  // One of the target's 16 slots is reserved for urgent requests.
  constexpr int kRunning = 15;
  HeldTarget held;
  RelayFixture fixture({ held.target_.Address() });
  std::vector<RawConnection> running;
  for (int i = 0; i < kRunning; ++i) {
    running.push_back(fixture.Connect());
    running.back().Send(Post("/pools/rota/x", "in"));
  }
  REQUIRE(held.WaitForRequests(kRunning));
  auto waits = fixture.Connect();
  waits.Send(Post("/pools/rota/x", "in"));
  REQUIRE(
    Eventually([&] { return fixture.relay_.Loads().at("rota").queued_ == 1; }));
  auto idle = fixture.Connect();
  auto half = fixture.Connect();
  half.Send("POST /pools/rota/x HTTP/1.1\r\nContent-Length: 4\r\n\r\n");

  std::thread stopper([&] { fixture.relay_.Stop(kLimit); });
  for (auto* refused : { &waits, &half }) {
    const auto answer = refused->ReadAnswer();
    REQUIRE(answer);
    CHECK(answer->status_ == 503);
    CHECK(OutcomeOf(*answer) == "not-run");
    CHECK(FindHeader(answer->headers_, "Connection") == "close");
    CHECK(refused->WaitForClose());
  }
  CHECK(idle.WaitForClose());
  // New connections are still answered node_stopping while the stop waits.
  const auto late = fixture.Ask(Post("/pools/rota/x", "in"));
  REQUIRE(late);
  CHECK(OutcomeOf(*late) == "not-run");
  CHECK(fixture.relay_.InFlight().at("vm-1") == kRunning);
  held.go_.Open();
  for (auto& connection : running) {
    const auto answer = connection.ReadAnswer();
    REQUIRE(answer);
    CHECK(answer->body_ == "held");
    CHECK(FindHeader(answer->headers_, "Connection") == "close");
    CHECK(connection.WaitForClose());
  }
  stopper.join();
  CHECK(held.arrived_ == kRunning);
  CHECK(fixture.relay_.InFlight().empty());
}

// Guards against a stop that hangs on a target that never answers.
TEST_CASE("a stop ends at its grace time")
{
  HeldTarget held;
  RelayFixture fixture({ held.target_.Address() });
  auto running = fixture.Connect();
  running.Send(Post("/pools/rota/x", "in", "Idempotency-Key: k\r\n"));
  REQUIRE(held.WaitForRequests(1));
  const auto start = MonotonicNow();
  fixture.relay_.Stop(Millis{ 200 });
  CHECK(MonotonicNow() - start < Millis{ 5000 });
  REQUIRE(fixture.claims_.Ends().size() == 1);
  CHECK(fixture.claims_.Ends()[0].end_ == ClaimEnd::Unknown);
}

// Guards against missing traces and metrics: each hop writes a span, and each
// pool has its metrics.
TEST_CASE("a request leaves a span for each hop and is counted")
{
  RawTarget target(Always(Answer("ok")));
  RelayFixture fixture({ target.Address() });
  const std::string traceId = "4bf92f3577b34da6a3ce929d0e0e4736";
  fixture.Ask(Get("/pools/rota/x",
                  "traceparent: 00-" + traceId + "-00f067aa0ba902b7-01\r\n"));
  const auto spans = fixture.traces_.All();
  REQUIRE(spans.size() == 3);
  for (const auto& span : spans) {
    CHECK(span.context_.traceId_ == traceId);
    CHECK(span.ok_);
  }
  CHECK(spans[0].name_ == "relay.queue");
  CHECK(spans[1].name_ == "relay.attempt");
  CHECK(spans[2].name_ == "relay.request");
  CHECK(spans[2].parentSpanId_ == "00f067aa0ba902b7");
  CHECK(spans[1].parentSpanId_ == spans[2].context_.spanId_);
  fixture.SetTargets({});
  fixture.Ask(Get("/pools/rota/x"));
  const auto text = fixture.metrics_.PrometheusText();
  for (const auto* series :
       { "acaciahill_relay_admitted_total{pool=\"rota\"} 1",
         "acaciahill_relay_answers_total{pool=\"rota\",class=\"2xx\"} 1",
         "acaciahill_relay_refused_total{pool=\"rota\",kind=\"no_target\"} 1",
         "acaciahill_relay_latency_seconds_count{pool=\"rota\"} 1" }) {
    INFO(text);
    CHECK(text.find(series) != std::string::npos);
  }
}
