#include "hostile/hostile_support.h"

using namespace acaciahill;
using namespace acaciahill::testing;

// Guards against clients that end a process by what they send: memory must not
// grow with bytes that no limit counted. In a trial four clients with 60 MB of
// trailer fields each took an entry node from 6 MB to 258 MB.
TEST_CASE("memory of a node stays bounded whatever clients send")
{
  struct Row
  {
    const char* name_;
    const char* door_;
    std::size_t clients_;
    Flood flood_;
    /// Bound on the peak of the process's memory in MB.
    std::size_t maxMegabytes_;
  };
  const Flood trailerLines{ ChunkedHead() + "2\r\nok\r\n0\r\n",
                            "X-Field: " + kLongText + "\r\n",
                            60 * kMegabyte };
  const Flood trailerLine{
    ChunkedHead() + "2\r\nok\r\n0\r\nX-Field: ", kLongText, 60 * kMegabyte
  };
  const Flood headerLine{
    "POST /q/0000000000000001 HTTP/1.1\r\nX-Field: ", kLongText, 60 * kMegabyte
  };
  const Flood chunkSize{ ChunkedHead(),
                         std::string(16384, '0'),
                         60 * kMegabyte };
  const Flood chunkExtension{
    ChunkedHead() + "2;name=", kLongText, 60 * kMegabyte
  };
  // A body of the full size but for its last byte.
  const Flood unfinishedBody{ "POST /q/0000000000000001 HTTP/1.1\r\nHost: h\r\n"
                              "Content-Length: 507905\r\n\r\n",
                              kLongText,
                              507904 };
  const Flood requests{ "",
                        "GET /q/0000000000000001 HTTP/1.1\r\nHost: h\r\n\r\n",
                        kMegabyte };
  // An entry VM has 160 MB and a control node 128 MB for everything; 32 MB is
  // the target for an entry node under such a crowd.
  const std::vector<Row> rows{
    { "trailer fields", "callers", 4, trailerLines, 32 },
    { "one trailer line", "callers", 4, trailerLine, 32 },
    { "one header line", "callers", 4, headerLine, 32 },
    { "a chunk size", "callers", 4, chunkSize, 32 },
    { "a chunk extension", "callers", 4, chunkExtension, 32 },
    { "unfinished bodies", "callers", 128, unfinishedBody, 32 },
    { "pipelined requests, answers not read", "callers", 8, requests, 32 },
    { "trailer fields to an entry node's internal interface",
      "entry_internal",
      4,
      trailerLines,
      32 },
    { "trailer fields to the control interface",
      "control",
      4,
      trailerLines,
      128 },
    { "trailer fields to a control node's internal interface",
      "control_internal",
      4,
      trailerLines,
      128 },
  };
  for (const auto& row : rows) {
    DYNAMIC_SECTION(row.name_)
    {
      NodePair nodes;
      auto& node = nodes.NodeOf(row.door_);
      std::size_t mostDescriptors = 0;
      {
        std::vector<std::unique_ptr<FloodClient>> crowd;
        for (std::size_t i = 0; i < row.clients_; ++i) {
          crowd.push_back(
            std::make_unique<FloodClient>(nodes.Door(row.door_), row.flood_));
        }
        for (const auto& client : crowd) {
          client->Join();
          mostDescriptors =
            std::max(mostDescriptors, OpenDescriptors(node.Pid()));
        }
        // Beside the crowd, whose connections are still open.
        CHECK(nodes.SubmitJob());
      }
      CHECK(nodes.AllRun());
      CheckPeak(row.name_, node.Pid(), row.maxMegabytes_);
      CHECK(mostDescriptors <= row.clients_ + kOwnDescriptors);
      CHECK(nodes.SubmitJob());
    }
  }
}
