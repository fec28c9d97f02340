#include "hostile/relay_support.h"

using namespace acaciahill;
using namespace acaciahill::testing;

namespace {

constexpr std::size_t kClients = 4;
constexpr const char* kPath = "/pools/rota/x";

struct Row
{
  std::string name_;
  std::string door_;
  Flood flood_;
  std::size_t clients_ = kClients;
};

/// What each client sends to an interface that takes requests to that path.
std::vector<Row>
RowsOf(const std::string& aDoor, const std::string& aPath)
{
  constexpr std::size_t kBytes = 60 * kMegabyte;
  const auto head = ChunkedHead(aPath);
  const auto trailers = head + "2\r\nok\r\n0\r\n";
  const auto line = "POST " + aPath + " HTTP/1.1\r\n";
  return {
    { "trailer fields",
      aDoor,
      { trailers, "X-Field: " + kLongText + "\r\n", kBytes } },
    { "short trailer fields", aDoor, { trailers, ShortFields(16384), kBytes } },
    { "one trailer line",
      aDoor,
      { trailers + "X-Field: ", kLongText, kBytes } },
    { "one header line", aDoor, { line + "X-Field: ", kLongText, kBytes } },
    { "short header fields", aDoor, { line, ShortFields(16384), kBytes } },
    { "a request line", aDoor, { "POST /", kLongText, kBytes } },
    { "a chunk size", aDoor, { head, std::string(16384, '0'), kBytes } },
    { "a chunk extension", aDoor, { head + "2;name=", kLongText, kBytes } },
    { "chunks with extensions",
      aDoor,
      { head, "1;name=" + std::string(8192, 'a') + "\r\na\r\n", kBytes } },
    { "chunks", aDoor, { head, "4000\r\n" + kLongText + "\r\n", kBytes } },
  };
}

} // namespace

// Guards against clients that end a process by what they send, at the
// interfaces of a node without a workload: memory must not grow with bytes that
// no limit counted.
TEST_CASE("memory of a relaying node stays bounded whatever clients send")
{
  auto rows = RowsOf("callers", kPath);
  for (const auto& [door, path] :
       { std::pair("admin", "/v1/commands"), { "announce", "/v1/announce" } }) {
    const auto more = RowsOf(door, path);
    rows.insert(rows.end(), more.begin(), more.end());
  }
  const auto unfinished = [](const std::string& aPath, std::size_t aBytes) {
    return Flood{ "POST " + aPath + " HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                    std::to_string(aBytes + 1) + "\r\n\r\n",
                  std::string(8192, 'a'),
                  aBytes };
  };
  rows.push_back(
    { "unfinished bodies", "callers", unfinished(kPath, 1015808), 128 });
  rows.push_back(
    { "unfinished bodies", "admin", unfinished("/v1/commands", 4186112), 64 });
  rows.push_back({ "unfinished bodies",
                   "announce",
                   unfinished("/v1/announce", 253952),
                   128 });
  rows.push_back({ "HTTP/1 on the peers' port",
                   "peers",
                   { ChunkedHead() + "2\r\nok\r\n0\r\n",
                     "X-Field: " + kLongText + "\r\n",
                     60 * kMegabyte } });
  for (const auto& row : rows) {
    DYNAMIC_SECTION(row.door_ << ": " << row.name_)
    {
      RelayNode node;
      std::size_t mostDescriptors = 0;
      {
        std::vector<std::unique_ptr<FloodClient>> crowd;
        for (std::size_t i = 0; i < row.clients_; ++i) {
          crowd.push_back(
            std::make_unique<FloodClient>(node.Door(row.door_), row.flood_));
        }
        for (const auto& client : crowd) {
          client->Join();
          mostDescriptors =
            std::max(mostDescriptors, OpenDescriptors(node.Process().Pid()));
        }
        CHECK(node.IsServing());
      }
      CHECK(node.Process().IsRunning());
      CheckPeak(
        row.door_ + ": " + row.name_, node.Process().Pid(), kEntryVmMegabytes);
      CHECK(mostDescriptors <= row.clients_ + kOwnDescriptors);
      CHECK(node.IsServing());
      CHECK((row.door_ == "peers" || node.IsAnswering(row.door_)));
    }
  }
}
