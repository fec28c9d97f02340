#include "hostile/hostile_support.h"

using namespace acaciahill;
using namespace acaciahill::testing;

namespace {

// Time for a node to read what a crowd has sent. No check depends on it.
constexpr std::chrono::milliseconds kHoldTime{ 1500 };
constexpr std::size_t kHeadBytes{ 15360 };
constexpr const char* kJobPath = "/q/0000000000000001";

std::string
HeadOfShortFields(const std::string& aPath)
{
  return "POST " + aPath + " HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n" +
         ShortFields(kHeadBytes) + "\r\n";
}

std::string
TrailersOfShortFields()
{
  return ChunkedHead() + "2\r\nok\r\n0\r\n" + ShortFields(kHeadBytes) + "\r\n";
}

} // namespace

// Guards against clients within every limit that make a process hold many times
// what they send: a field of four bytes took more than a hundred.
TEST_CASE("memory of a node stays bounded while clients hold requests")
{
  struct Row
  {
    const char* name_;
    const char* door_;
    std::size_t clients_;
    std::string text_;
    std::size_t maxMegabytes_;
  };
  const auto head = HeadOfShortFields(kJobPath);
  const std::string unfinishedHead =
    "POST /q/0000000000000001 HTTP/1.1\r\nHost: h\r\n" +
    ShortFields(kHeadBytes);
  const std::string unfinishedTrailers =
    ChunkedHead() + "2\r\nok\r\n0\r\n" + ShortFields(kHeadBytes);
  const std::vector<Row> rows{
    { "heads without end of short fields", "callers", 256, unfinishedHead, 32 },
    { "trailers without end of short fields",
      "callers",
      256,
      unfinishedTrailers,
      32 },
    { "short header fields", "callers", 256, head, 32 },
    { "short header fields to an entry node's internal interface",
      "entry_internal",
      256,
      head,
      32 },
    { "short header fields to the readiness page", "readiness", 256, head, 32 },
    { "short header fields to the metrics page", "metrics", 256, head, 32 },
    { "short header fields to the control interface",
      "control",
      512,
      head,
      128 },
    { "short header fields to a control node's internal interface",
      "control_internal",
      512,
      head,
      128 },
  };
  for (const auto& row : rows) {
    DYNAMIC_SECTION(row.name_)
    {
      NodePair nodes;
      auto& node = nodes.NodeOf(row.door_);
      {
        const HoldingCrowd crowd(
          nodes.Door(row.door_), row.clients_, row.text_);
        std::this_thread::sleep_for(kHoldTime);
        CHECK(OpenDescriptors(node.Pid()) <= row.clients_ + kOwnDescriptors);
        CHECK(nodes.SubmitJob());
      }
      CHECK(nodes.AllRun());
      CheckPeak(row.name_, node.Pid(), row.maxMegabytes_);
      CHECK(nodes.SubmitJob());
    }
  }
}

// Guards against requests that are held for a leader which answers nothing:
// with all fields of their headers and trailers they must fit into an entry
// node.
TEST_CASE("memory of an entry node stays bounded while the leader hangs")
{
  struct Row
  {
    const char* name_;
    std::string text_;
  };
  const std::vector<Row> rows{
    { "short header fields, leader hangs", HeadOfShortFields(kJobPath) + "ok" },
    { "short trailer fields, leader hangs", TrailersOfShortFields() },
  };
  constexpr std::size_t kClients = 256;
  for (const auto& row : rows) {
    DYNAMIC_SECTION(row.name_)
    {
      NodePair nodes;
      nodes.Control().Freeze();
      {
        const HoldingCrowd crowd(nodes.Door("callers"), kClients, row.text_);
        std::this_thread::sleep_for(kHoldTime);
        // Each request that is passed on takes a connection to the leader.
        CHECK(OpenDescriptors(nodes.Entry().Pid()) <=
              2 * kClients + kOwnDescriptors);
      }
      nodes.Control().Thaw();
      CHECK(nodes.AllRun());
      CheckPeak(row.name_, nodes.Entry().Pid(), 32);
      CHECK(WaitUntil(kStartTimeout, [&nodes] { return nodes.SubmitJob(); }));
    }
  }
}

// Guards against trailers that are counted only for the first request of a
// connection.
TEST_CASE("memory of a node stays bounded with trailers behind pipelined "
          "requests")
{
  const Flood requests{ "",
                        ChunkedHead() + "2\r\nok\r\n0\r\n" + ShortFields(8192) +
                          "\r\n",
                        4 * kMegabyte };
  NodePair nodes;
  constexpr std::size_t kClients = 8;
  {
    std::vector<std::unique_ptr<FloodClient>> crowd;
    for (std::size_t i = 0; i < kClients; ++i) {
      crowd.push_back(
        std::make_unique<FloodClient>(nodes.Door("callers"), requests));
    }
    for (const auto& client : crowd) {
      client->Join();
    }
    CHECK(nodes.SubmitJob());
    CHECK(OpenDescriptors(nodes.Entry().Pid()) <=
          2 * kClients + kOwnDescriptors);
  }
  CHECK(nodes.AllRun());
  CheckPeak(
    "trailers behind pipelined requests, entry node", nodes.Entry().Pid(), 32);
  CheckPeak("trailers behind pipelined requests, control node",
            nodes.Control().Pid(),
            128);
  CHECK(nodes.SubmitJob());
}
