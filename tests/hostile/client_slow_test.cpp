#include "hostile/hostile_support.h"

using namespace acaciahill;
using namespace acaciahill::testing;

// Guards against a crowd that takes all connections of the callers' interface
// and sends a byte now and then: ordinary callers were turned away.
TEST_CASE("an ordinary caller is answered beside clients that send slowly")
{
  struct Row
  {
    const char* name_;
    std::string text_;
    std::string slowText_;
  };
  const auto body = ChunkedHead();
  const std::vector<Row> rows{
    { "nothing", "", "" },
    { "a header, a byte at a time",
      "POST /q/0000000000000001 HTTP/1.1\r\nX-Field: ",
      "a" },
    { "a body, a byte at a time",
      "POST /q/0000000000000001 HTTP/1.1\r\nHost: h\r\n"
      "Content-Length: 1000\r\n\r\n",
      "a" },
    { "chunks, a byte at a time", body, "1\r\na\r\n" },
    { "a chunk size, a byte at a time", body, "0" },
    { "a chunk extension, a byte at a time", body + "2;name=", "a" },
    { "trailer fields, a byte at a time",
      body + "2\r\nok\r\n0\r\n",
      "X-Field: a\r\n" },
    { "one trailer line, a byte at a time",
      body + "2\r\nok\r\n0\r\nX-Field: ",
      "a" },
  };
  constexpr std::size_t kClients = 32;
  for (const auto& row : rows) {
    DYNAMIC_SECTION(row.name_)
    {
      NodePair nodes("[limits]\nmax_connections = 32\n");
      {
        const HoldingCrowd crowd(
          nodes.Door("callers"), kClients, row.text_, row.slowText_);
        CHECK(nodes.SubmitJob());
        CHECK(OpenDescriptors(nodes.Entry().Pid()) <=
              kClients + kOwnDescriptors);
      }
      CHECK(nodes.AllRun());
      CheckPeak(row.name_, nodes.Entry().Pid(), 32);
      CHECK(nodes.SubmitJob());
    }
  }
}
