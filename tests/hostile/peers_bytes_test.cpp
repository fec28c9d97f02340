#include "hostile/hostile_support.h"

using namespace acaciahill;
using namespace acaciahill::testing;

namespace {

/// Memory of a control node's machine.
constexpr std::size_t kControlMegabytes = 128;
constexpr std::size_t kClients = 4;
constexpr std::size_t kFrameBytes = 16384;

/// Head of an HTTP/2 frame of the first stream, for a payload of kFrameBytes.
std::string
FrameHead(char aType)
{
  return std::string("\x00\x40\x00", 3) + aType +
         std::string("\x00\x00\x00\x00\x01", 5);
}

/// A block of header fields without end, as HTTP/2 carries it.
Flood
HeaderBlock()
{
  const std::string preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
  const std::string settings("\x00\x00\x00\x04\x00\x00\x00\x00\x00", 9);
  std::string fields;
  while (fields.size() < kFrameBytes) {
    // A literal field "a" without a value.
    fields += std::string("\x00\x01\x61\x00", 4);
  }
  return { preface + settings + FrameHead(1) + fields,
           FrameHead(9) + fields,
           60 * kMegabyte };
}

} // namespace

// Guards against bytes on the peers' port that end a control node: HTTP/1, a
// block of header fields without end, bytes of no protocol.
TEST_CASE("memory of a control node stays bounded whatever its peers' port is "
          "sent")
{
  struct Row
  {
    const char* name_;
    Flood flood_;
  };
  const std::vector<Row> rows{
    { "trailer fields to the peers' port",
      { ChunkedHead() + "2\r\nok\r\n0\r\n",
        "X-Field: " + kLongText + "\r\n",
        60 * kMegabyte } },
    { "header fields without end to the peers' port", HeaderBlock() },
    { "zeros to the peers' port",
      { "", std::string(kFrameBytes, '\0'), 60 * kMegabyte } },
  };
  for (const auto& row : rows) {
    DYNAMIC_SECTION(row.name_)
    {
      NodePair nodes;
      {
        std::vector<std::unique_ptr<FloodClient>> crowd;
        for (std::size_t i = 0; i < kClients; ++i) {
          crowd.push_back(
            std::make_unique<FloodClient>(nodes.Door("peers"), row.flood_));
        }
        for (const auto& client : crowd) {
          client->Join();
        }
        CHECK(nodes.SubmitJob());
      }
      CHECK(nodes.AllRun());
      CheckPeak(row.name_, nodes.Control().Pid(), kControlMegabytes);
      CHECK(nodes.SubmitJob());
    }
  }
}
