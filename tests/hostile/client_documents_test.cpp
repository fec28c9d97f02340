#include "hostile/hostile_support.h"

using namespace acaciahill;
using namespace acaciahill::testing;

namespace {

// Time for a node to read what a crowd has sent. No check depends on it.
constexpr std::chrono::milliseconds kHoldTime{ 1500 };

} // namespace

// Guards against documents that a parser turns into many times their size.
TEST_CASE("memory of a control node stays bounded whatever a document holds")
{
  struct Row
  {
    const char* name_;
    const char* door_;
    std::string method_;
    std::string path_;
    std::size_t clients_;
    std::size_t bytes_;
  };
  const std::vector<Row> rows{
    { "a configuration of empty objects",
      "control",
      "PUT",
      "/config",
      1,
      4000000 },
    { "configurations of empty objects within the limit",
      "control",
      "PUT",
      "/config",
      4,
      1000000 },
    { "jobs of empty objects",
      "callers",
      "POST",
      "/q/0000000000000001",
      8,
      500000 },
    { "reports of empty objects",
      "control",
      "PUT",
      "/instances/i-1",
      8,
      500000 },
  };
  for (const auto& row : rows) {
    DYNAMIC_SECTION(row.name_)
    {
      std::string body = R"({"spec":"x","version":2,"steps":[{})";
      while (body.size() < row.bytes_) {
        body += ",{}";
      }
      body += "]}";
      const auto request = row.method_ + " " + row.path_ +
                           " HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n";
      NodePair nodes;
      {
        std::vector<std::unique_ptr<FloodClient>> crowd;
        for (std::size_t i = 0; i < row.clients_; ++i) {
          crowd.push_back(std::make_unique<FloodClient>(
            nodes.Door(row.door_), Flood{ request, body, body.size() }));
        }
        for (const auto& client : crowd) {
          client->Join();
        }
        std::this_thread::sleep_for(kHoldTime);
        CHECK(nodes.SubmitJob());
      }
      CHECK(nodes.AllRun());
      CheckPeak(row.name_, nodes.Control().Pid(), 128);
      CheckPeak(row.name_, nodes.Entry().Pid(), 32);
      CHECK(nodes.SubmitJob());
    }
  }
}
