#include "hostile/relay_support.h"

using namespace acaciahill;
using namespace acaciahill::testing;

namespace {

constexpr std::size_t kCallers = 16;
constexpr const char* kFloodPath = "/flood";

/// Stands in front of a target: answers requests for kFloodPath without end and
/// passes on all others.
class FloodingTarget
{
public:
  FloodingTarget(std::string aUpstream, Flood aFlood)
    : upstream_(std::move(aUpstream))
    , flood_(std::move(aFlood))
    , server_("127.0.0.1:0",
              [this](HttpConnection& aConnection, const HttpMessage& aRequest) {
                return Handle(aConnection, aRequest);
              })
  {
  }

  std::string Address() const { return server_.Address(); }

private:
  bool Handle(HttpConnection& aConnection, const HttpMessage& aRequest)
  {
    if (aRequest.path_ == kFloodPath) {
      bool sent = aConnection.Send(flood_.beginning_);
      for (std::size_t bytes = 0; sent && bytes < flood_.bytes_;
           bytes += flood_.block_.size()) {
        sent = aConnection.Send(flood_.block_);
      }
      return false;
    }
    const auto outcome = HttpCall(upstream_,
                                  { aRequest.method_,
                                    aRequest.path_,
                                    WithoutFraming(aRequest.headers_),
                                    aRequest.body_ },
                                  kAnswerTimeout);
    return outcome.Answered() && aConnection.Send(FormatAnswer(
                                   outcome.answer_.status_,
                                   WithoutFraming(outcome.answer_.headers_),
                                   outcome.answer_.body_,
                                   aRequest.method_ == "HEAD"));
  }

  static HttpHeaders WithoutFraming(HttpHeaders aHeaders)
  {
    std::erase_if(aHeaders, [](const auto& aHeader) {
      return aHeader.first == "content-length" || aHeader.first == "connection";
    });
    return aHeaders;
  }

  std::string upstream_;
  Flood flood_;
  HttpServer server_;
};

} // namespace

// Guards against targets whose answers have no end.
TEST_CASE("memory of a relaying node stays bounded whatever targets answer")
{
  struct Row
  {
    const char* name_;
    Flood flood_;
  };
  constexpr std::size_t kBytes = 60 * kMegabyte;
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const auto chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  const auto trailers = chunked + "2\r\nok\r\n0\r\n";
  const std::vector<Row> rows{
    { "trailer fields",
      { trailers, "X-Field: " + kLongText + "\r\n", kBytes } },
    { "short trailer fields", { trailers, ShortFields(16384), kBytes } },
    { "one trailer line", { trailers + "X-Field: ", kLongText, kBytes } },
    { "one header line", { ok + "X-Field: ", kLongText, kBytes } },
    { "short header fields", { ok, ShortFields(16384), kBytes } },
    { "a status line", { "HTTP/1.1 200 ", kLongText, kBytes } },
    { "a chunk size", { chunked, std::string(16384, '0'), kBytes } },
    { "a chunk extension", { chunked + "2;name=", kLongText, kBytes } },
    { "chunks with extensions",
      { chunked, "1;name=" + std::string(8192, 'a') + "\r\na\r\n", kBytes } },
    { "chunks", { chunked, "4000\r\n" + kLongText + "\r\n", kBytes } },
    { "a body",
      { ok + "Content-Length: 8388608\r\n\r\n", kLongText, 8372224 } },
    { "interim answers",
      { "",
        "HTTP/1.1 100 Continue\r\n" + ShortFields(8192) + "\r\n",
        kBytes } },
  };
  for (const auto& row : rows) {
    DYNAMIC_SECTION(row.name_)
    {
      const auto upstream = FreeAddress();
      const FloodingTarget target(upstream, row.flood_);
      RelayNode node({},
                     { "--listen", upstream, "--advertise", target.Address() });
      std::vector<std::thread> callers;
      for (std::size_t i = 0; i < kCallers; ++i) {
        callers.emplace_back([&node] {
          node.Nodes().Request(
            "n1",
            { "GET", std::string("/pools/rota") + kFloodPath, {}, "" },
            kAnswerTimeout);
        });
      }
      for (auto& caller : callers) {
        caller.join();
      }
      CHECK(node.Process().IsRunning());
      CheckPeak(row.name_, node.Process().Pid(), kEntryVmMegabytes);
      CHECK(OpenDescriptors(node.Process().Pid()) <=
            2 * kCallers + kOwnDescriptors);
      CHECK(WaitUntil(kStartTimeout, [&node] { return node.IsServing(); }));
    }
  }
}
