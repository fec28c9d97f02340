#include "proof/data_support.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <chrono>
#include <iostream>
#include <random>
#include <thread>

using namespace acaciahill;
using namespace acaciahill::testing;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr int kTargets = 3;
constexpr std::uint64_t kSeed = 801;
constexpr Millis kAnswerLimit{ 5000 };
constexpr std::size_t kOverHeaderLimit = 20000;
constexpr std::size_t kOverAnnounceLimit = 300000;
constexpr std::size_t kDeep = 100000;
constexpr int kRandomStreams = 30;

enum class Port : std::uint8_t
{
  Callers,
  Announce,
  Admin,
};

/// Bytes sent to a port, and the status and error kind that must come back.
struct BadInput
{
  const char* name_;
  Port port_;
  std::string bytes_;
  int status_;
  const char* kind_;
};

std::string
Post(const std::string& aPath, const std::string& aBody)
{
  return "POST " + aPath +
         " HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
         "Content-Length: " +
         std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

std::string
Announce(const json& aChanges)
{
  json body{ { "id", "vm-1" }, { "incarnation", 1 },         { "zone", "z1" },
             { "rack", "r1" }, { "address", "127.0.0.1:9" }, { "slots", 8 } };
  body.update(aChanges);
  return Post("/v1/announce", body.dump());
}

std::string
Command(json aCommand)
{
  aCommand["request_id"] = "bad-" + std::to_string(MonotonicNs());
  return Post("/v1/commands", aCommand.dump());
}

std::vector<BadInput>
CallerInputs()
{
  const std::string get = "GET /pools/rota/x HTTP/1.1\r\nHost: x\r\n";
  const std::string post = "POST /pools/rota/x HTTP/1.1\r\nHost: x\r\n";
  const auto bad = [](const char* aName, const std::string& aBytes) {
    return BadInput{ aName, Port::Callers, aBytes, 400, "bad_request" };
  };
  return {
    { "caller: header over the limit",
      Port::Callers,
      get + "A: " + std::string(kOverHeaderLimit, 'a') + "\r\n\r\n",
      413,
      "request_too_large" },
    { "caller: body over the limit",
      Port::Callers,
      post + "Content-Length: 2000000\r\n\r\n",
      413,
      "request_too_large" },
    { "caller: unknown pool",
      Port::Callers,
      "GET /pools/none/x HTTP/1.1\r\nHost: x\r\n\r\n",
      404,
      "unknown_pool" },
    bad("caller: no HTTP", "hello\r\n\r\n"),
    bad("caller: HTTP/2 preface", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"),
    bad("caller: two framings",
        post +
          "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
          "GET /pools/rota/smuggled HTTP/1.1\r\nHost: x\r\n\r\n"),
    bad("caller: two lengths",
        post + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde"),
    bad("caller: signed length", post + "Content-Length: +4\r\n\r\nabcd"),
    bad("caller: negative length", post + "Content-Length: -1\r\n\r\n"),
    bad("caller: space before the colon",
        post + "Content-Length : 4\r\n\r\nabcd"),
    bad("caller: unknown coding",
        post + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n"),
    bad("caller: bad chunk size",
        post + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabcd\r\n0\r\n\r\n"),
    bad("caller: NUL in a header", get + std::string("A: b\0c\r\n\r\n", 10)),
    bad("caller: bad deadline", get + "Acaciahill-Deadline-Ms: soon\r\n\r\n"),
  };
}

std::vector<BadInput>
ControlInputs()
{
  const auto deep = std::string(kDeep, '[');
  const auto announce =
    [](const char* aName, const std::string& aBytes, int aStatus = 400) {
      return BadInput{ aName,
                       Port::Announce,
                       aBytes,
                       aStatus,
                       aStatus == 413 ? "request_too_large" : "bad_request" };
    };
  const auto admin = [](const char* aName,
                        const std::string& aBytes,
                        int aStatus = 400,
                        const char* aKind = "bad_request") {
    return BadInput{ aName, Port::Admin, aBytes, aStatus, aKind };
  };
  return {
    announce("announce: no JSON", Post("/v1/announce", "{\"id\"")),
    announce("announce: deep JSON", Post("/v1/announce", deep)),
    announce("announce: deep whole JSON",
             Post("/v1/announce", deep + std::string(kDeep, ']'))),
    announce("announce: too large",
             Post("/v1/announce", std::string(kOverAnnounceLimit, ' ')),
             413),
    announce("announce: chunked",
             "POST /v1/announce HTTP/1.1\r\nHost: x\r\n"
             "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
    announce("announce: no id", Announce({ { "id", "" } })),
    announce("announce: id is a number", Announce({ { "id", 7 } })),
    announce("announce: negative incarnation",
             Announce({ { "incarnation", -1 } })),
    announce("announce: name as address",
             Announce({ { "address", "localhost:1" } })),
    announce("announce: no slots", Announce({ { "slots", 0 } })),
    announce("announce: tasks are no list", Announce({ { "tasks", "all" } })),
    { "announce: older incarnation",
      Port::Announce,
      Announce({ { "incarnation", 0 } }),
      409,
      "stale_incarnation" },
    { "announce: id bound elsewhere",
      Port::Announce,
      Announce(json::object()),
      409,
      "identity_conflict" },
    admin("admin: no JSON", Post("/v1/commands", "{")),
    admin("admin: deep JSON", Post("/v1/commands", deep)),
    admin("admin: deep whole JSON",
          Post("/v1/commands", deep + std::string(kDeep, ']'))),
    admin("admin: list", Post("/v1/commands", "[]")),
    admin("admin: unknown command", Command({ { "type", "format_disk" } })),
    admin("admin: inner command", Command({ { "type", "begin_claim" } })),
    admin("admin: CSV without a header",
          Command({ { "type", "apply_table" }, { "csv", "rota;100\n" } }),
          404,
          "unknown_column"),
    admin("admin: unfinished quote in CSV",
          Command({ { "type", "apply_table" },
                    { "csv", "pool,weight\n\"rota,100\n" } })),
    admin("admin: unknown column",
          Command({ { "type", "set_cell" },
                    { "if_version", 1 },
                    { "pool", "rota" },
                    { "column", "colour" },
                    { "value", "red" } }),
          404,
          "unknown_column"),
    admin("admin: unknown pool",
          Command({ { "type", "set_cell" },
                    { "if_version", 1 },
                    { "pool", "none" },
                    { "column", "weight" },
                    { "value", "1" } }),
          404,
          "unknown_pool"),
  };
}

HttpMessage
SendBytes(const std::string& aAddress, const std::string& aBytes)
{
  Poco::Net::StreamSocket socket;
  socket.connect(Poco::Net::SocketAddress(aAddress));
  HttpConnection connection(socket);
  connection.Send(aBytes);
  HttpMessage answer;
  connection.ReadAnswer(answer, kAnswerLimit, false);
  return answer;
}

void
CheckInput(Cluster& aCluster, const BadInput& aInput)
{
  const auto& node = aCluster.Node("n1");
  const auto& address = aInput.port_ == Port::Callers    ? node.callers_
                        : aInput.port_ == Port::Announce ? node.announce_
                                                         : node.admin_;
  const auto answer = SendBytes(address, aInput.bytes_);
  INFO(aInput.name_ << ": " << answer.status_ << " " << answer.body_);
  CHECK(answer.status_ == aInput.status_);
  const auto body = json::parse(answer.body_, nullptr, false);
  REQUIRE(body.is_object());
  CHECK(body.value("error", "") == aInput.kind_);
  CHECK(node.process_->IsRunning());
}

/// Random bytes, half of them after the preface of HTTP/2.
void
SendRandom(const std::string& aAddress, std::mt19937_64& aRandom)
{
  std::uniform_int_distribution<int> byte(0, 255);
  std::string bytes(
    std::uniform_int_distribution<std::size_t>(1, 20000)(aRandom), '\0');
  for (auto& each : bytes) {
    each = static_cast<char>(byte(aRandom));
  }
  if (byte(aRandom) < 128) {
    bytes.insert(0, "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");
  }
  Poco::Net::StreamSocket socket;
  socket.connect(Poco::Net::SocketAddress(aAddress));
  HttpConnection(socket).Send(bytes);
}

} // namespace

// Guards against input that ends a process, is taken for something else or is
// refused without a clear kind, and against loss of state or service meanwhile.
TEST_CASE("malformed input is refused clearly and harms nothing")
{
  Cluster cluster({});
  StartSystem(cluster, "rota,100,3,1,1\n", kTargets, false, 5);
  const auto tableBefore = cluster.AdminGet("n1", "/v1/table");
  LoadSettings load;
  for (const auto& node : cluster.NodeIds()) {
    load.entries_.push_back(cluster.Node(node).callers_);
  }
  load.pools_ = { "rota" };
  load.duration_ = 6s;
  load.seed_ = kSeed;
  HistoryRecorder recorder;
  LoadReport report;
  std::jthread loader([&] { report = RunLoad(load, recorder); });
  for (const auto& input : CallerInputs()) {
    CheckInput(cluster, input);
  }
  for (const auto& input : ControlInputs()) {
    CheckInput(cluster, input);
  }
  std::mt19937_64 random(kSeed);
  for (int i = 0; i < kRandomStreams; ++i) {
    const auto& node = cluster.Node("n" + std::to_string(i % 3 + 1));
    for (const auto& address :
         { node.peers_, node.callers_, node.announce_, node.admin_ }) {
      SendRandom(address, random);
    }
  }
  loader.join();
  std::cout << "input: seed " << kSeed << " " << ToJson(report).dump() << '\n';
  for (const auto& id : cluster.NodeIds()) {
    INFO(id << cluster.LogTails());
    CHECK(cluster.Node(id).process_->IsRunning());
  }
  cluster.WaitReady(kStartLimit);
  CHECK(cluster.AdminGet("n1", "/v1/table") == tableBefore);
  const auto vms = cluster.AdminGet("n1", "/v1/vms");
  REQUIRE(vms.size() == kTargets);
  for (const auto& vm : vms) {
    CHECK(vm.value("address", "") == cluster.TargetAddress(vm.value("id", "")));
  }
  const auto runs = cluster.TargetRuns();
  for (const auto& run : runs) {
    CHECK(run.path_.find("smuggled") == std::string::npos);
  }
  CheckCallers(recorder.Operations(), runs);
  CHECK(report.answered_ == report.sent_);
}
