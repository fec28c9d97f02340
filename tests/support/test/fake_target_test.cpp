#include "support/fake_platform.h"
#include "support/fake_target.h"
#include "support/process_harness.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <thread>

using namespace acaciahill;
using namespace acaciahill::testing;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr Millis kTimeout{ 3000 };
constexpr Millis kShort{ 300 };

/// An entry node's announce port that gives one assignment.
class AnnounceStub
{
public:
  AnnounceStub()
    : server_("127.0.0.1:0",
              [this](HttpConnection& aConnection, const HttpMessage& aRequest) {
                const std::lock_guard lock(mutex_);
                last_ = json::parse(aRequest.body_);
                ++count_;
                return aConnection.Send(FormatAnswer(200, {}, answer_.dump()));
              })
  {
  }

  std::string Address() const { return server_.Address(); }

  void Assign(const std::string& aPool,
              std::uint64_t aEpoch,
              const json& aTasks = json::array())
  {
    const std::lock_guard lock(mutex_);
    answer_ = { { "pool", aPool },
                { "epoch", aEpoch },
                { "drain", false },
                { "tasks", aTasks },
                { "next_ms", 50 } };
  }

  json Last() const
  {
    const std::lock_guard lock(mutex_);
    return last_;
  }

  int Count() const { return count_; }

private:
  mutable std::mutex mutex_;
  json answer_ = { { "pool", "rota" },
                   { "epoch", 3 },
                   { "drain", false },
                   { "next_ms", 50 } };
  json last_;
  std::atomic<int> count_{ 0 };
  HttpServer server_;
};

struct Rig
{
  AnnounceStub entry_;
  TemporaryFolder folder_;
  FakeTarget target_;

  Rig()
    : target_(MakeSettings(entry_.Address(), folder_.Path()))
  {
    REQUIRE(
      WaitUntil(kTimeout, [this] { return target_.Status()["epoch"] == 3; }));
  }

  static FakeTargetSettings MakeSettings(const std::string& aAnnounce,
                                         const std::string& aFolder)
  {
    FakeTargetSettings settings;
    settings.announce_ = { aAnnounce };
    settings.journal_ = aFolder + "/journal";
    return settings;
  }

  HttpOutcome Call(const HttpHeaders& aHeaders, Millis aTimeout = kTimeout)
  {
    return HttpCall(target_.Address(),
                    { "POST", "/pools/rota/x", aHeaders, "body" },
                    aTimeout);
  }

  /// Requests that were begun, as the journal has them.
  int Begun() const
  {
    int count = 0;
    for (const auto& line : ReadJsonLines(folder_.Path() + "/journal")) {
      count += line["event"] == "begin" ? 1 : 0;
    }
    return count;
  }
};

} // namespace

// Guards against a stand-in that answers in another form than the page's.
TEST_CASE("a fake target echoes its assignment and the request")
{
  Rig rig;
  const auto outcome =
    rig.Call({ { "X-Nonce", "abc" }, { "Acaciahill-Epoch", "3" } });
  REQUIRE(outcome.Answered());
  CHECK(outcome.answer_.status_ == 200);
  CHECK(outcome.answer_.Header("acaciahill-epoch") == "3");
  CHECK(outcome.answer_.Header("acaciahill-draining") == "no");
  CHECK(outcome.answer_.Header("acaciahill-incarnation") == "1");
  const auto body = json::parse(outcome.answer_.body_);
  CHECK(body["nonce"] == "abc");
  CHECK(body["pool"] == "rota");
  CHECK(body["checksum"] == BodyChecksum("body"));

  const auto probe = HttpCall(rig.target_.Address(),
                              { "HEAD", "/.well-known/acaciahill", {}, "" },
                              kTimeout);
  REQUIRE(probe.Answered());
  CHECK(probe.answer_.Header("acaciahill-epoch") == "3");
  CHECK(rig.Begun() == 1);
}

// Guards against a stand-in that would hide an old epoch or go back to it.
TEST_CASE("a fake target keeps the highest epoch and refuses older ones")
{
  Rig rig;
  rig.entry_.Assign("gifts", 2);
  const int count = rig.entry_.Count();
  REQUIRE(WaitUntil(kTimeout, [&] { return rig.entry_.Count() > count + 1; }));
  CHECK(rig.target_.Status()["epoch"] == 3);
  CHECK(rig.target_.Status()["pool"] == "rota");

  const auto refused = rig.Call({ { "Acaciahill-Epoch", "2" } });
  REQUIRE(refused.Answered());
  CHECK(refused.answer_.status_ == 421);
  CHECK(refused.answer_.Header("acaciahill-outcome") == "not-run");
  CHECK(rig.Begun() == 0);

  rig.target_.Control({ { "check_epoch", false } });
  CHECK(rig.Call({ { "Acaciahill-Epoch", "2" } }).answer_.status_ == 200);
}

// Guards against faults that do something else than their names say.
TEST_CASE("the faults of a fake target")
{
  struct Row
  {
    const char* fault_;
    bool runs_;
    ReadEnd end_;
    int status_;
  };
  const auto row = GENERATE(Row{ "close_before", false, ReadEnd::Closed, 0 },
                            Row{ "close_after", true, ReadEnd::Closed, 0 },
                            Row{ "truncate", true, ReadEnd::Truncated, 200 },
                            Row{ "malformed", true, ReadEnd::Malformed, 0 },
                            Row{ "refuse", false, ReadEnd::Whole, 421 },
                            Row{ "fail", true, ReadEnd::Whole, 500 });
  INFO(row.fault_);
  Rig rig;
  rig.target_.Control({ { row.fault_, 1 } });
  const auto outcome = rig.Call({});
  CHECK(outcome.end_ == row.end_);
  CHECK(outcome.answer_.status_ == row.status_);
  CHECK(rig.Begun() == (row.runs_ ? 1 : 0));
  CHECK(rig.Call({}).answer_.status_ == 200);
}

// Guards against silence that also covers connections opened later.
TEST_CASE("open connections go silent while new ones work")
{
  Rig rig;
  Poco::Net::StreamSocket socket{ Poco::Net::SocketAddress(
    rig.target_.Address()) };
  HttpConnection connection(socket);
  const std::string request = "GET /x HTTP/1.1\r\nHost: x\r\n\r\n";
  HttpMessage answer;
  REQUIRE(connection.Send(request));
  REQUIRE(connection.ReadAnswer(answer, kTimeout, false) == ReadEnd::Whole);

  rig.target_.Control({ { "silence_open", true } });
  REQUIRE(connection.Send(request));
  CHECK(connection.ReadAnswer(answer, kShort, false) == ReadEnd::TimedOut);
  CHECK(rig.Begun() == 1);
  CHECK(rig.Call({}).answer_.status_ == 200);
}

// Guards against a reboot that keeps old state or hides what it interrupted.
TEST_CASE("the platform reboots a VM once for each operation")
{
  Rig rig;
  FakePlatformSettings settings;
  settings.vms_ = { { "vm-1", rig.target_.Address() } };
  settings.reboot_ = 200ms;
  settings.journal_ = rig.folder_.Path() + "/platform";
  FakePlatform platform(settings);
  rig.target_.Control({ { "delay_ms", 2000 } });
  HttpOutcome interrupted;
  std::jthread caller([&] { interrupted = rig.Call({}); });
  REQUIRE(
    WaitUntil(kTimeout, [&] { return rig.target_.Status()["running"] == 1; }));

  const HttpRequest reboot{
    "POST", "/v1/vms/vm-1/reboot", {}, json{ { "operation", "p1" } }.dump()
  };
  CHECK(HttpCall(platform.Address(), reboot, kTimeout).answer_.status_ == 200);
  CHECK(HttpCall(platform.Address(), reboot, kTimeout).answer_.status_ == 200);
  caller.join();
  CHECK_FALSE(interrupted.Answered());

  REQUIRE(
    WaitUntil(kTimeout, [&] { return rig.target_.Status()["epoch"] == 3; }));
  CHECK(rig.target_.Status()["incarnation"] == 2);
  CHECK(rig.entry_.Last()["incarnation"] == 2);
  const auto stops = ReadJsonLines(settings.journal_);
  REQUIRE(stops.size() == 1);
  CHECK(stops[0]["in_flight"] == 1);
  CHECK(stops[0]["stopped"] == true);
  CHECK(platform.Operations()[0]["requests"] == 2);
}

// Guards against reports that come at once, which no real worker gives.
TEST_CASE("a fake target executes tasks and reports them with a lag")
{
  const auto mode = GENERATE(std::string("ok"), std::string("fail"));
  INFO(mode);
  Rig rig;
  rig.target_.Control(
    { { "task_mode", mode }, { "task_ms", 100 }, { "task_lag_ms", 100 } });
  rig.entry_.Assign("rota",
                    3,
                    json::array({ { { "id", "j1-0" },
                                    { "lease", 1 },
                                    { "order", "run" },
                                    { "cores", 2.0 } } }));
  REQUIRE(WaitUntil(kTimeout, [&] {
    const auto last = rig.entry_.Last();
    return !last["tasks"].empty() && last["tasks"][0]["state"] == "running";
  }));
  const std::string end = mode == "ok" ? "completed" : "failed";
  CHECK(WaitUntil(
    kTimeout, [&] { return rig.entry_.Last()["tasks"][0]["state"] == end; }));
  CHECK(rig.entry_.Last()["tasks"][0]["usage"]["cores"] == 2.0);
}
