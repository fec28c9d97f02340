#include "relay_test_support.h"

#include <catch2/catch.hpp>

using namespace acaciahill;
using namespace acaciahill::test;

// Guards against failures on the path from the caller's port over the router to
// the target and back.
TEST_CASE("a request reaches its target and the answer its caller")
{
  RawTarget target([](RawConnection& aConnection, int) {
    while (const auto request = aConnection.ReadRequest()) {
      const auto& headers = request->headers_;
      std::string seen =
        request->method_ + " " + request->target_ + " " + request->body_;
      for (const auto* name : { "Acaciahill-Epoch", "X-Own", "X-Hop", "TE" }) {
        seen += "|" + std::string(FindHeader(headers, name).value_or("-"));
      }
      for (const auto* name : { "Acaciahill-Deadline-Ms",
                                "Acaciahill-Request-Id",
                                "traceparent" }) {
        seen += FindHeader(headers, name) ? "|yes" : "|no";
      }
      aConnection.Send(Answer(seen,
                              "201 Created",
                              "Acaciahill-Epoch: 9\r\n"
                              "Acaciahill-Draining: yes\r\n"
                              "Acaciahill-Incarnation: 4\r\n"
                              "X-Back: b\r\nKeep-Alive: timeout=5\r\n"));
    }
  });
  RelayFixture fixture({ target.Address() });
  const auto answer = fixture.Ask(
    Post("/pools/rota/turns?day=1",
         "hello",
         "X-Own: o\r\nX-Hop: h\r\nConnection: X-Hop\r\nTE: trailers\r\n"
         "Acaciahill-Epoch: 1\r\n"));
  REQUIRE(answer);
  CHECK(answer->status_ == 201);
  CHECK(answer->body_ == "POST /turns?day=1 hello|7|o|-|-|yes|yes|yes");
  CHECK(FindHeader(answer->headers_, "X-Back") == "b");
  CHECK_FALSE(FindHeader(answer->headers_, "Acaciahill-Epoch"));
  CHECK_FALSE(FindHeader(answer->headers_, "Acaciahill-Draining"));
  CHECK_FALSE(FindHeader(answer->headers_, "Keep-Alive"));
  const auto echoes = fixture.echoes_.All();
  REQUIRE(echoes.size() == 1);
  CHECK(echoes[0].vm_ == "vm-1");
  CHECK(echoes[0].epoch_ == 9);
  CHECK(echoes[0].draining_);
  CHECK(echoes[0].incarnation_ == 4);
  CHECK(Eventually([&] { return fixture.relay_.InFlight().empty(); }));
}
