#include "hostile/relay_support.h"

using namespace acaciahill;
using namespace acaciahill::testing;

namespace {

// Time for a node to read what a crowd has sent. No check depends on it.
constexpr std::chrono::milliseconds kHoldTime{ 1500 };
constexpr std::size_t kHeadBytes{ 15360 };

std::string
HeadOfShortFields(const std::string& aMore)
{
  return "POST /pools/rota/x HTTP/1.1\r\nHost: h\r\n" + aMore +
         ShortFields(kHeadBytes) + "\r\n";
}

} // namespace

// Guards against clients within every limit that make a relaying node hold many
// times what they send: a field of four bytes took more than a hundred.
TEST_CASE("memory of a relaying node stays bounded while clients hold requests")
{
  struct Row
  {
    const char* name_;
    std::string text_;
    bool targetHangs_;
  };
  const auto body = std::string("Content-Length: 2\r\n");
  const std::vector<Row> rows{
    { "short header fields, body unfinished", HeadOfShortFields(body), false },
    { "short header fields, targets hang",
      HeadOfShortFields(body) + "ok",
      true },
    { "short trailer fields, targets hang",
      ChunkedHead("/pools/rota/x") + "2\r\nok\r\n0\r\n" +
        ShortFields(kHeadBytes) + "\r\n",
      true },
  };
  // As many as the node takes by default.
  constexpr std::size_t kClients = 512;
  for (const auto& row : rows) {
    DYNAMIC_SECTION(row.name_)
    {
      RelayNode node;
      if (row.targetHangs_) {
        node.Nodes().ControlTarget("vm-1", { { "delay_ms", 5000 } });
      }
      {
        const HoldingCrowd crowd(node.Door("callers"), kClients, row.text_);
        std::this_thread::sleep_for(kHoldTime);
        CHECK(OpenDescriptors(node.Process().Pid()) <=
              2 * kClients + kOwnDescriptors);
      }
      node.Nodes().ControlTarget("vm-1", { { "delay_ms", 0 } });
      CHECK(node.Process().IsRunning());
      CheckPeak(row.name_, node.Process().Pid(), kEntryVmMegabytes);
      CHECK(WaitUntil(kStartTimeout, [&node] { return node.IsServing(); }));
    }
  }
}
