#include "relay_test_support.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <set>

using namespace acaciahill;
using namespace acaciahill::test;

namespace {

/// "status outcome" of an answer, or "closed".
std::string
Summary(const std::optional<HttpAnswer>& aAnswer)
{
  return aAnswer ? std::to_string(aAnswer->status_) + " " + OutcomeOf(*aAnswer)
                 : "closed";
}

std::string
KindOf(const HttpAnswer& aAnswer)
{
  const auto start = aAnswer.body_.find("\"error\":\"");
  if (start == std::string::npos) {
    return {};
  }
  const auto from = start + 9;
  return aAnswer.body_.substr(from, aAnswer.body_.find('"', from) - from);
}

} // namespace

// Guards against passing on a truncated, malformed or mismatched answer as
// complete, and against reusing the connection on which it arrived.
TEST_CASE("only whole answers reach the caller")
{
  struct Row
  {
    const char* name_;
    std::string bytes_;
    /// Error kind of the relay's answer; empty when the target's is passed on.
    std::string kind_;
    std::string summary_;
    bool reused_;
  };
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"
                              "\r\n\r\n4\r\nbody\r\n";
  const auto row = GENERATE_COPY(
    Row{ "whole", Answer("body"), "", "200 -", true },
    Row{ "whole chunked", chunked + "0\r\n\r\n", "", "200 -", true },
    Row{ "chunked with a trailer",
         chunked + "0\r\nAcaciahill-Outcome: not-run\r\n\r\n",
         "",
         "200 -",
         true },
    Row{
      "after interim answers",
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n" +
        Answer("body"),
      "",
      "200 -",
      true },
    Row{ "204 without a length", "HTTP/1.1 204 No\r\n\r\n", "", "204 -", true },
    Row{ "304 with a length",
         "HTTP/1.1 304 No\r\nContent-Length: 9\r\n\r\n",
         "",
         "304 -",
         true },
    Row{ "ended by an announced close",
         "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody",
         "answer_malformed",
         "502 unknown",
         false },
    Row{ "ended by an unannounced close",
         "HTTP/1.1 200 OK\r\n\r\nbody",
         "answer_malformed",
         "502 unknown",
         false },
    Row{ "nothing", "", "answer_lost", "502 unknown", false },
    Row{ "half a head", "HTTP/1.1 200 O", "answer_lost", "502 unknown", false },
    Row{ "short body",
         "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nbody",
         "answer_lost",
         "502 unknown",
         false },
    Row{ "short chunks", chunked, "answer_lost", "502 unknown", false },
    Row{ "short chunk",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nbody",
         "answer_lost",
         "502 unknown",
         false },
    Row{ "no last chunk's end",
         chunked + "0\r\n",
         "answer_lost",
         "502 unknown",
         false },
    Row{ "wrong chunk size",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
         "answer_malformed",
         "502 unknown",
         false },
    Row{
      "not HTTP", "hello\r\n\r\n", "answer_malformed", "502 unknown", false },
    Row{ "length and chunks",
         "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: "
         "chunked\r\n\r\n0\r\n\r\n",
         "answer_malformed",
         "502 unknown",
         false },
    Row{ "two lengths",
         "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5"
         "\r\n\r\nbody",
         "answer_malformed",
         "502 unknown",
         false },
    Row{ "another coding",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nbody",
         "answer_malformed",
         "502 unknown",
         false },
    Row{ "protocol switch",
         "HTTP/1.1 101 Switching\r\n\r\n",
         "answer_malformed",
         "502 unknown",
         false },
    Row{ "of another request",
         Answer("body", "200 OK", "Acaciahill-Request-Id: other\r\n"),
         "answer_malformed",
         "502 unknown",
         false },
    Row{ "over the limit",
         Answer(std::string(70000, 'x')),
         "answer_too_large",
         "502 unknown",
         false },
    Row{ "chunks over the limit",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n11170\r\n",
         "answer_too_large",
         "502 unknown",
         false },
    Row{ "refused by the target",
         Answer("", "421 Misdirected", "Acaciahill-Outcome: not-run\r\n"),
         "target_refused",
         "503 not-run",
         true },
    Row{ "busy and not run",
         Answer("", "503 Busy", "Acaciahill-Outcome: not-run\r\n"),
         "target_refused",
         "503 not-run",
         true },
    Row{ "busy", Answer("no", "503 Busy"), "", "503 -", true },
    Row{ "misdirected", Answer("no", "421 No"), "", "421 -", true },
    Row{ "not-run with another status",
         Answer("no", "500 No", "Acaciahill-Outcome: not-run\r\n"),
         "",
         "500 -",
         true });
  // A connection is reused only after an answer that names its request.
  const bool echoes = GENERATE(true, false);
  const bool isReused = row.reused_ && echoes;
  INFO(row.name_ << (echoes ? ", echoing" : ", not echoing"));
  RawTarget target([&](RawConnection& aConnection, int aNumber) {
    // The first request gets the row's bytes, later ones a complete answer.
    bool isFirst = aNumber == 1;
    while (const auto request = aConnection.ReadRequest()) {
      const auto bytes = isFirst ? row.bytes_ : Answer("second");
      aConnection.Send(echoes ? WithRequestId(bytes, *request) : bytes);
      if (isFirst && !row.reused_) {
        return;
      }
      isFirst = false;
    }
  });
  auto settings = RelayFixture::DefaultSettings();
  settings.maxAnswerBytes_ = 60000;
  RelayFixture fixture({ target.Address() }, settings);
  const auto answer = fixture.Ask(Post("/pools/rota/x", "in"));
  REQUIRE(answer);
  CHECK(Summary(answer) == row.summary_);
  CHECK(KindOf(*answer) == row.kind_);
  if (row.summary_ == "200 -") {
    CHECK(answer->body_ == "body");
  }
  const auto next = fixture.Ask(Post("/pools/rota/x", "in"));
  REQUIRE(next);
  CHECK(next->body_ == "second");
  CHECK(target.Connections() == (isReused ? 1 : 2));
  CHECK(Eventually([&] {
    const auto loads = fixture.relay_.Loads();
    return loads.at("rota").inFlight_ == 0;
  }));
}

// Guards against surplus bytes after an answer being read as the answer to the
// next request on that connection.
TEST_CASE("bytes after an answer are never taken for the next answer")
{
  // The stray answer is sent with the first answer, or after the caller has got
  // that one.
  const bool isLate = GENERATE(false, true);
  const bool echoes = GENERATE(false, true);
  Latch firstIsDone;
  Latch strayIsSent;
  RawTarget target([&](RawConnection& aConnection, int aNumber) {
    while (const auto request = aConnection.ReadRequest()) {
      const auto answer = [&](const char* aBody) {
        return echoes ? WithRequestId(Answer(aBody), *request) : Answer(aBody);
      };
      if (aNumber > 1) {
        aConnection.Send(answer("own"));
        continue;
      }
      aConnection.Send(answer("own") + (isLate ? "" : answer("stray")));
      if (isLate && firstIsDone.Wait()) {
        aConnection.Send(answer("stray"));
        strayIsSent.Open();
      }
    }
  });
  RelayFixture fixture({ target.Address() });
  CHECK(fixture.Ask(Get("/pools/rota/1"))->body_ == "own");
  firstIsDone.Open();
  if (isLate && echoes) {
    REQUIRE(strayIsSent.Wait());
  }
  CHECK(fixture.Ask(Get("/pools/rota/2"))->body_ == "own");
  CHECK(fixture.Ask(Post("/pools/rota/3", "x"))->body_ == "own");
  CHECK(target.Connections() == (echoes ? 2 : 3));
}

// Guards against a second answer to the same request that arrives only once the
// next request is on its way: a target that answers twice, and whose second
// answer is delayed.
TEST_CASE("a second answer behind the next request does not become its answer")
{
  struct Row
  {
    const char* name_;
    bool firstEchoes_;
    bool secondEchoes_;
    std::string post_;
    int connections_;
  };
  const auto row =
    GENERATE(Row{ "never echoes", false, false, "200 -", 2 },
             Row{ "echoes", true, true, "502 unknown", 1 },
             Row{ "the second lacks the echo", true, false, "502 unknown", 1 });
  INFO(row.name_);
  RawTarget target([&](RawConnection& aConnection, int aNumber) {
    const auto first = aConnection.ReadRequest();
    if (!first) {
      return;
    }
    const auto answer = Answer(aNumber == 1 ? "first" : "own");
    const auto named = WithRequestId(answer, *first);
    aConnection.Send(row.firstEchoes_ ? named : answer);
    if (aConnection.ReadRequest()) {
      aConnection.Send(row.secondEchoes_ ? named : answer);
    }
    aConnection.ReadRequest();
  });
  RelayFixture fixture({ target.Address() });
  CHECK(fixture.Ask(Get("/pools/rota/1"))->body_ == "first");
  const auto second = fixture.Ask(Post("/pools/rota/2", "x"));
  CHECK(Summary(second) == row.post_);
  CHECK(second->body_ != "first");
  CHECK(target.Connections() == row.connections_);
}

// Guards against waiting for, or sending, a body after HEAD; the caller would
// read it as the next answer.
TEST_CASE("HEAD passes the stated length and no body")
{
  RawTarget target(Always("HTTP/1.1 200 OK\r\nContent-Length: 1234\r\n\r\n"));
  RelayFixture fixture({ target.Address() });
  auto connection = fixture.Connect();
  for (int i = 0; i < 2; ++i) {
    connection.Send("HEAD /pools/rota HTTP/1.1\r\nHost: relay\r\n\r\n");
    const auto answer = connection.ReadAnswer(true);
    REQUIRE(answer);
    CHECK(FindHeader(answer->headers_, "Content-Length") == "1234");
  }
  CHECK(target.Connections() == 1);
}

// Guards against a lost or duplicated request when the target has closed or
// reset an idle connection.
TEST_CASE("a connection that died while idle costs nothing")
{
  const bool resets = GENERATE(false, true);
  std::atomic<int> requests{ 0 };
  Latch closed;
  RawTarget target([&](RawConnection& aConnection, int aNumber) {
    while (const auto request = aConnection.ReadRequest()) {
      ++requests;
      aConnection.Send(WithRequestId(Answer("ok"), *request));
      if (aNumber == 1) {
        if (resets) {
          aConnection.Reset();
        } else {
          aConnection.Shutdown();
        }
        closed.Open();
        return;
      }
    }
  });
  RelayFixture fixture({ target.Address() });
  CHECK(Summary(fixture.Ask(Get("/pools/rota/x"))) == "200 -");
  REQUIRE(closed.Wait());
  CHECK(Summary(fixture.Ask(Post("/pools/rota/x", "in"))) == "200 -");
  CHECK(requests == 2);
  CHECK(target.Connections() == 2);
}

// Guards against resending a request that may not be repeated after a target
// has read it.
TEST_CASE("a reset after the request was read is unknown, or sent again")
{
  std::atomic<int> posts{ 0 };
  std::atomic<int> gets{ 0 };
  RawTarget target([&](RawConnection& aConnection, int) {
    while (const auto request = aConnection.ReadRequest()) {
      auto& count = request->method_ == "POST" ? posts : gets;
      if (++count == 1 || request->method_ == "POST") {
        aConnection.Reset();
        return;
      }
      aConnection.Send(WithRequestId(Answer("ok"), *request));
    }
  });
  RelayFixture fixture({ target.Address() });
  CHECK(Summary(fixture.Ask(Post("/pools/rota/x", "in"))) == "502 unknown");
  CHECK(posts == 1);
  CHECK(Summary(fixture.Ask(Get("/pools/rota/x"))) == "200 -");
  CHECK(gets == 2);
  const auto repeatable =
    fixture.Ask(Post("/pools/rota/x", "in", "Acaciahill-Repeatable: yes\r\n"));
  CHECK(Summary(repeatable) == "502 unknown");
  CHECK(posts > 2);
}

// Guards against waiting forever on a connection whose state was lost on the
// way, and against reusing it.
TEST_CASE("a silent connection is given up and never used again")
{
  std::mutex mutex;
  std::set<int> used;
  RawTarget target([&](RawConnection& aConnection, int aNumber) {
    int requests = 0;
    while (const auto request = aConnection.ReadRequest()) {
      const std::lock_guard lock(mutex);
      if (++requests == 2) {
        used.insert(aNumber);
      }
      if (aNumber > 1 || requests == 1) {
        aConnection.Send(WithRequestId(Answer("ok"), *request));
      }
    }
  });
  RelayFixture fixture({ target.Address() });
  CHECK(Summary(fixture.Ask(Get("/pools/rota/1"))) == "200 -");
  const auto start = MonotonicNow();
  const auto answer =
    fixture.Ask(Get("/pools/rota/2", "Acaciahill-Deadline-Ms: 2000\r\n"));
  CHECK(Summary(answer) == "200 -");
  CHECK(MonotonicNow() - start < Millis{ 2000 });
  CHECK(Summary(fixture.Ask(Get("/pools/rota/3"))) == "200 -");
  CHECK(target.Connections() == 2);

  RawTarget mute([](RawConnection& aConnection, int) {
    while (aConnection.ReadRequest()) {
    }
  });
  fixture.SetTargets({ mute.Address() });
  const auto unknown =
    fixture.Ask(Post("/pools/rota/4", "in", "Acaciahill-Deadline-Ms: 300\r\n"));
  CHECK(Summary(unknown) == "504 unknown");
  CHECK(mute.Connections() == 1);
}

// Guards against one failed request for each idle connection when all of them
// have lost their state at once.
TEST_CASE("one silent connection closes the idle ones to its target")
{
  std::atomic<int> first{ 0 };
  Latch bothArrived;
  RawTarget target([&](RawConnection& aConnection, int aNumber) {
    int requests = 0;
    while (const auto request = aConnection.ReadRequest()) {
      if (++requests > 1 && aNumber <= 2) {
        continue;
      }
      // The first two requests must overlap, so that they use two connections.
      if (aNumber <= 2 && ++first == 2) {
        bothArrived.Open();
      }
      bothArrived.Wait();
      aConnection.Send(WithRequestId(Answer("ok"), *request));
    }
  });
  RelayFixture fixture({ target.Address() });
  auto one = fixture.Connect();
  auto two = fixture.Connect();
  for (auto* caller : { &one, &two }) {
    caller->Send(Get("/pools/rota/x"));
  }
  for (auto* caller : { &one, &two }) {
    CHECK(Summary(caller->ReadAnswer()) == "200 -");
  }
  CHECK(target.Connections() == 2);
  const auto post =
    Post("/pools/rota/x", "in", "Acaciahill-Deadline-Ms: 300\r\n");
  CHECK(Summary(fixture.Ask(post)) == "504 unknown");
  CHECK(Summary(fixture.Ask(Post("/pools/rota/x", "in"))) == "200 -");
  CHECK(target.Connections() == 3);
}

// Guards against answers delivered to the wrong request: under load, with
// answers after the timeout, and with resets on reused connections.
TEST_CASE("every caller gets the answer to its own request")
{
  constexpr int kCallers = 12;
  constexpr int kRequests = 60;
  const bool echoes = GENERATE(true, false);
  std::atomic<int> seen{ 0 };
  const auto script = [&](RawConnection& aConnection, int) {
    while (const auto request = aConnection.ReadRequest()) {
      const auto nonce =
        std::string(FindHeader(request->headers_, "X-Nonce").value_or(""));
      const auto checksum = std::hash<std::string>{}(request->body_);
      const int count = ++seen;
      if (count % 41 == 0) {
        // Answers only after the relay has timed out.
        while (aConnection.Receive()) {
        }
        aConnection.Send(Answer("late " + nonce));
        return;
      }
      if (count % 23 == 0) {
        aConnection.Reset();
        return;
      }
      const auto answer =
        Answer(nonce + " " + std::to_string(checksum) +
               std::string(static_cast<std::size_t>(count % 7) * 3000, '.'));
      aConnection.Send(echoes ? WithRequestId(answer, *request) : answer);
    }
  };
  RawTarget one(script);
  RawTarget two(script);
  RelayFixture fixture({ one.Address(), two.Address() });
  fixture.row_.retryPercent_ = 100;
  fixture.SetRow(fixture.row_);
  std::atomic<int> wrong{ 0 };
  std::atomic<int> right{ 0 };
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&, caller] {
      auto connection = fixture.Connect();
      for (int i = 0; i < kRequests; ++i) {
        const auto nonce = std::to_string(caller) + "-" + std::to_string(i);
        const std::string body(static_cast<std::size_t>(i * 97 % 5000),
                               static_cast<char>('a' + caller));
        connection.Send(Post("/pools/rota/x",
                             body,
                             "X-Nonce: " + nonce +
                               "\r\nAcaciahill-Deadline-Ms: 1000\r\n"
                               "Acaciahill-Repeatable: yes\r\n"));
        const auto answer = connection.ReadAnswer();
        if (!answer) {
          ++wrong;
          return;
        }
        if (answer->status_ != 200) {
          continue;
        }
        const auto expected =
          nonce + " " + std::to_string(std::hash<std::string>{}(body));
        const auto own = answer->body_.substr(0, answer->body_.find('.'));
        ++(own == expected ? right : wrong);
      }
    });
  }
  for (auto& caller : callers) {
    caller.join();
  }
  CHECK(wrong == 0);
  CHECK(right > kCallers * kRequests / 2);
  CHECK(Eventually(
    [&] { return fixture.relay_.Loads().at("rota").inFlight_ == 0; }));
}

// Guards against requests to a target that was removed or whose permission to
// be used has expired.
TEST_CASE("targets that may not be used get nothing")
{
  std::atomic<int> requests{ 0 };
  RawTarget target([&](RawConnection& aConnection, int) {
    while (aConnection.ReadRequest()) {
      ++requests;
      aConnection.Send(Answer("ok"));
    }
  });
  RelayFixture fixture({ target.Address() });
  CHECK(Summary(fixture.Ask(Get("/pools/rota/x"))) == "200 -");
  fixture.SetTargets({});
  const auto removed = fixture.Ask(Get("/pools/rota/x"));
  CHECK(Summary(removed) == "503 not-run");
  CHECK(KindOf(*removed) == "no_target");
  CHECK(FindHeader(removed->headers_, "Retry-After"));
  fixture.SetTargets({ target.Address() }, Millis{ 0 });
  CHECK(KindOf(*fixture.Ask(Get("/pools/rota/x"))) == "no_target");
  CHECK(requests == 1);
  CHECK(fixture.relay_.Loads().at("rota").refused_ == 2);

  // Nothing listens on the port, so the request cannot have run.
  std::string vacant;
  {
    RawTarget gone(Always(""));
    vacant = gone.Address();
  }
  fixture.SetTargets({ vacant });
  CHECK(Summary(fixture.Ask(Post("/pools/rota/x", "in"))) == "503 not-run");
  fixture.SetTargets({ vacant, target.Address() });
  CHECK(Summary(fixture.Ask(Post("/pools/rota/x", "in"))) == "200 -");
}

// Guards against sending to a target that was removed while the process stalled
// between choosing it and writing the first byte.
TEST_CASE("a target taken away after the choice gets nothing")
{
  struct Row
  {
    const char* name_;
    bool listed_;
    Millis validity_;
    std::uint64_t epoch_;
    int requests_;
  };
  const auto row =
    GENERATE(Row{ "same", true, Millis{ 600000 }, 7, 1 },
             Row{ "removed", false, Millis{ 0 }, 7, 0 },
             Row{ "evidence too old", true, Millis{ 0 }, 7, 0 },
             // The router dispatches the request again with the new epoch.
             Row{ "other epoch", true, Millis{ 600000 }, 8, 1 });
  INFO(row.name_);
  std::mutex mutex;
  std::vector<std::string> epochs;
  RawTarget target([&](RawConnection& aConnection, int) {
    while (const auto request = aConnection.ReadRequest()) {
      const std::lock_guard lock(mutex);
      epochs.emplace_back(
        FindHeader(request->headers_, "Acaciahill-Epoch").value_or(""));
      aConnection.Send(Answer("ok"));
    }
  });
  RelayFixture fixture({ target.Address() });
  // The relay.queue span is written between choosing a target and sending.
  fixture.traces_.onSpan_ = [&](const Span& aSpan) {
    if (aSpan.name_ == "relay.queue") {
      fixture.SetTargets(row.listed_ ? std::vector{ target.Address() }
                                     : std::vector<std::string>{},
                         row.validity_,
                         row.epoch_);
    }
  };
  const auto answer = fixture.Ask(Post("/pools/rota/x", "in"));
  CHECK(Summary(answer) == (row.requests_ == 1 ? "200 -" : "503 not-run"));
  const std::lock_guard lock(mutex);
  REQUIRE(epochs.size() == static_cast<std::size_t>(row.requests_));
  if (row.requests_ == 1) {
    CHECK(epochs[0] == std::to_string(row.epoch_));
  }
}

// Guards against a probe that succeeds without an answer, or with that of a
// server that is no target.
TEST_CASE("a probe hands on what the target says of itself")
{
  struct Row
  {
    std::string bytes_;
    std::optional<ErrorKind> error_;
  };
  const auto row = GENERATE(
    Row{ Answer("", "200 OK", "Acaciahill-Epoch: 12\r\n"), std::nullopt },
    Row{ Answer("", "200 OK", "Acaciahill-Epoch: x\r\n"),
         ErrorKind::AnswerMalformed },
    Row{ Answer(""), ErrorKind::AnswerMalformed },
    Row{ "junk\r\n\r\n", ErrorKind::AnswerMalformed },
    Row{ "", ErrorKind::Timeout });
  RawTarget target(Always(row.bytes_));
  RelayFixture fixture({});
  const auto limit = row.bytes_.empty() ? Millis{ 200 } : kLimit;
  const auto result = fixture.relay_.Probe("vm-9", target.Address(), limit);
  if (row.error_) {
    REQUIRE_FALSE(IsOk(result));
    CHECK(ErrorOf(result).kind_ == *row.error_);
    CHECK(fixture.echoes_.All().empty());
  } else {
    REQUIRE(IsOk(result));
    REQUIRE(fixture.echoes_.All().size() == 1);
    CHECK(fixture.echoes_.All()[0].vm_ == "vm-9");
    CHECK(fixture.echoes_.All()[0].epoch_ == 12);
  }
}
