#include "hostile/relay_support.h"

using namespace acaciahill;
using namespace acaciahill::testing;

// Guards against a crowd that takes all connections or threads of an interface
// and sends a byte now and then: ordinary callers, announcements and the load
// balancer's checks were turned away or waited.
TEST_CASE("an ordinary request is answered beside clients that send slowly")
{
  struct Row
  {
    const char* name_;
    std::string text_;
    std::string slowText_;
  };
  struct Door
  {
    const char* name_;
    const char* path_;
    std::size_t clients_;
  };
  // The callers' interface takes 32 connections here.
  const std::vector<Door> doors{ { "callers", "/pools/rota/x", 32 },
                                 { "admin", "/v1/commands", 64 },
                                 { "announce", "/v1/announce", 64 } };
  for (const auto& door : doors) {
    const auto line = std::string("POST ") + door.path_ + " HTTP/1.1\r\n";
    const auto chunks = ChunkedHead(door.path_);
    const std::vector<Row> rows{
      { "nothing", "", "" },
      { "a header", line + "X-Field: ", "a" },
      { "header fields", line, "X-Field: a\r\n" },
      { "a body", line + "Host: h\r\nContent-Length: 1000\r\n\r\n", "a" },
      { "chunks", chunks, "1\r\na\r\n" },
      { "trailer fields", chunks + "2\r\nok\r\n0\r\n", "X-Field: a\r\n" },
    };
    for (const auto& row : rows) {
      DYNAMIC_SECTION(door.name_ << ": " << row.name_)
      {
        const RelayNode::Lines lines{ { "relay", "max_connections = 32" } };
        RelayNode node(lines);
        {
          const HoldingCrowd crowd(
            node.Door(door.name_), door.clients_, row.text_, row.slowText_);
          CHECK(node.IsAnswering(door.name_));
          CHECK(OpenDescriptors(node.Process().Pid()) <=
                door.clients_ + kOwnDescriptors);
        }
        CHECK(node.Process().IsRunning());
        const auto metrics = HttpCall(
          node.Door("admin"), { "GET", "/metrics", {}, "" }, kAnswerTimeout);
        CHECK(metrics.answer_.body_.find("interface=\"announce\"") !=
              std::string::npos);
        CheckPeak(std::string(door.name_) + ": " + row.name_,
                  node.Process().Pid(),
                  kEntryVmMegabytes);
        CHECK(WaitUntil(kStartTimeout, [&node] { return node.IsServing(); }));
        CHECK(WaitUntil(kStartTimeout,
                        [&] { return node.IsAnswering(door.name_); }));
      }
    }
  }
}
