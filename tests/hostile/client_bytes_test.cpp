#include "platform/standin/documents_func.h"
#include "support/http_func.h"
#include "support/process_harness.h"

#include <catch2/catch.hpp>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

using namespace acaciahill;
using namespace acaciahill::testing;

namespace {

constexpr std::size_t kMegabyte = std::size_t{ 1024 } * 1024;
// A client gives up sending when the node reads nothing for this time.
constexpr int kSendTimeoutS = 5;
constexpr Millis kStartTimeout{ 30000 };
constexpr Millis kAnswerTimeout{ 10000 };
// Descriptors of a node beside those of its clients.
constexpr std::size_t kOwnDescriptors = 64;

/// A control node and an entry node in workload mode. Their addresses differ,
/// as nodes find each other by address with one common port.
class NodePair
{
public:
  NodePair()
    : port_(std::to_string(FreePort()))
    , peers_(std::to_string(FreePort()))
  {
    const auto data = folder_.Path() + "/data";
    std::filesystem::create_directories(data);
    control_ = Start("control",
                     kControl,
                     "data_dir = " + data,
                     "control = " + Address(kControl) +
                       "\npeers = " + kControl + ":" + peers_);
    entry_ = Start("entry", kEntry, "", "callers = " + Address(kEntry));
    REQUIRE(WaitUntil(kStartTimeout, [this] { return Configure(); }));
    REQUIRE(WaitUntil(kStartTimeout, [this] { return SubmitJob(); }));
  }

  /// The address of an interface by its name.
  std::string Door(const std::string& aName) const
  {
    return aName == "callers"          ? Address(kEntry)
           : aName == "control"        ? Address(kControl)
           : aName == "entry_internal" ? std::string(kEntry) + ":" + port_
                                       : std::string(kControl) + ":" + port_;
  }

  ChildProcess& NodeOf(const std::string& aDoor)
  {
    return aDoor == "callers" || aDoor == "entry_internal" ? *entry_
                                                           : *control_;
  }

  /// Submits a job as an ordinary client; whether it was accepted.
  bool SubmitJob()
  {
    std::ostringstream id;
    id << std::hex << 0x1000000000000000ULL + ++jobs_;
    const auto outcome =
      HttpCall(Address(kEntry),
               { "POST",
                 "/q/" + id.str(),
                 { { "Host", "h" }, { "Content-Type", "application/json" } },
                 platform::standin::kSmallJob },
               kAnswerTimeout);
    return outcome.Answered() && outcome.answer_.status_ == 200;
  }

  bool AllRun() { return control_->IsRunning() && entry_->IsRunning(); }

private:
  static constexpr const char* kControl = "127.41.0.1";
  static constexpr const char* kEntry = "127.41.0.2";

  std::string Address(const char* aIp) const
  {
    return std::string(aIp) + ":" + callersPort_;
  }

  std::unique_ptr<ChildProcess> Start(const std::string& aRole,
                                      const std::string& aIp,
                                      const std::string& aNode,
                                      const std::string& aListen)
  {
    const auto path = folder_.Path() + "/" + aRole + ".ini";
    std::ofstream(path) << "[node]\nid = " << aIp
                        << "\nzone = z\nrole = " << aRole << "\n"
                        << aNode << "\n[listen]\ninternal = " << aIp << ":"
                        << port_ << "\n"
                        << aListen
                        << "\n[cluster]\nseeds = " << Address(kControl)
                        << "\nbootstrap = true\ntolerated_losses = 0\n";
    return std::make_unique<ChildProcess>(
      DaemonProgram(),
      std::vector<std::string>{ "--workload", "--config", path },
      folder_.Path() + "/" + aRole);
  }

  bool Configure()
  {
    const auto outcome = HttpCall(Address(kControl),
                                  { "PUT",
                                    "/config",
                                    { { "Content-Type", "application/json" } },
                                    platform::standin::kOneQueueConfig },
                                  kAnswerTimeout);
    return outcome.Answered() && outcome.answer_.status_ == 200;
  }

  TemporaryFolder folder_;
  std::string port_;
  std::string peers_;
  std::string callersPort_ = std::to_string(FreePort());
  std::uint64_t jobs_ = 0;
  std::unique_ptr<ChildProcess> control_;
  std::unique_ptr<ChildProcess> entry_;
};

/// Peak of the process's resident memory in bytes.
std::size_t
PeakMemory(pid_t aPid)
{
  std::ifstream status("/proc/" + std::to_string(aPid) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.rfind("VmHWM:", 0) == 0) {
      return std::stoul(line.substr(6)) * 1024;
    }
  }
  return 0;
}

std::size_t
OpenDescriptors(pid_t aPid)
{
  const std::filesystem::directory_iterator files("/proc/" +
                                                  std::to_string(aPid) + "/fd");
  return static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

/// What each client of a crowd sends: a beginning, and then one block again and
/// again.
struct Flood
{
  std::string beginning_;
  std::string block_;
  std::size_t bytes_ = 0;
};

/// Sends until all bytes are sent, the node closes or reads no more. Keeps the
/// connection open until the end of the object.
class FloodClient
{
public:
  FloodClient(const std::string& aAddress, Flood aFlood)
    : flood_(std::move(aFlood))
    , thread_([this, aAddress] { Run(aAddress); })
  {
  }
  FloodClient(const FloodClient&) = delete;
  FloodClient& operator=(const FloodClient&) = delete;
  ~FloodClient() { Join(); }

  void Join()
  {
    if (thread_.joinable()) {
      thread_.join();
    }
  }

private:
  void Run(const std::string& aAddress)
  {
    try {
      socket_.connect(Poco::Net::SocketAddress(aAddress));
      socket_.setSendTimeout(Poco::Timespan(kSendTimeoutS, 0));
      Send(flood_.beginning_);
      for (std::size_t sent = 0; sent < flood_.bytes_;
           sent += flood_.block_.size()) {
        Send(flood_.block_);
      }
    } catch (const Poco::Exception&) {
      // The node has refused the client.
    }
  }

  void Send(const std::string& aBytes)
  {
    for (std::size_t sent = 0; sent < aBytes.size();) {
      sent += static_cast<std::size_t>(socket_.sendBytes(
        aBytes.data() + sent, static_cast<int>(aBytes.size() - sent)));
    }
  }

  Flood flood_;
  Poco::Net::StreamSocket socket_;
  std::thread thread_;
};

std::string
ChunkedHead()
{
  return "POST /q/0000000000000001 HTTP/1.1\r\nHost: h\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

const std::string kLongText(16384, 'a');

} // namespace

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
      CHECK(PeakMemory(node.Pid()) <= row.maxMegabytes_ * kMegabyte);
      CHECK(mostDescriptors <= row.clients_ + kOwnDescriptors);
      CHECK(nodes.SubmitJob());
    }
  }
}
