#pragma once

#include "platform/standin/documents_func.h"
#include "support/http_func.h"
#include "support/process_harness.h"

#include <catch2/catch.hpp>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

/// Clients that send more than any limit allows, and what a process holds of
/// it.
namespace acaciahill::testing {

inline constexpr std::size_t kMegabyte = std::size_t{ 1024 } * 1024;
/// A client gives up sending when the node reads nothing for this time.
inline constexpr int kSendTimeoutS = 5;
inline constexpr Millis kStartTimeout{ 30000 };
inline constexpr Millis kAnswerTimeout{ 10000 };
/// Descriptors of a node beside those of its clients.
inline constexpr std::size_t kOwnDescriptors = 64;

/// A control node and an entry node in workload mode. Their addresses differ,
/// as nodes find each other by address with one common port.
class NodePair
{
public:
  /// Starts both and waits until a job is accepted. The lines are added to the
  /// settings of both.
  explicit NodePair(std::string aLines = {})
    : lines_(std::move(aLines))
    , port_(std::to_string(FreePort()))
    , peers_(std::to_string(FreePort()))
  {
    const auto data = folder_.Path() + "/data";
    std::filesystem::create_directories(data);
    control_ = Start("control",
                     kControl,
                     "data_dir = " + data,
                     "control = " + Address(kControl) +
                       "\npeers = " + kControl + ":" + peers_);
    entry_ =
      Start("entry",
            kEntry,
            "",
            "callers = " + Address(kEntry) + "\nreadiness = " + kEntry + ":" +
              readiness_ + "\nmetrics = " + kEntry + ":" + metrics_);
    REQUIRE(WaitUntil(kStartTimeout, [this] { return Configure(); }));
    REQUIRE(WaitUntil(kStartTimeout, [this] { return SubmitJob(); }));
  }

  /// The address of an interface by its name.
  std::string Door(const std::string& aName) const
  {
    return aName == "callers"          ? Address(kEntry)
           : aName == "control"        ? Address(kControl)
           : aName == "entry_internal" ? std::string(kEntry) + ":" + port_
           : aName == "readiness"      ? std::string(kEntry) + ":" + readiness_
           : aName == "metrics"        ? std::string(kEntry) + ":" + metrics_
           : aName == "peers"          ? std::string(kControl) + ":" + peers_
                                       : std::string(kControl) + ":" + port_;
  }

  ChildProcess& NodeOf(const std::string& aDoor)
  {
    return aDoor == "control" || aDoor == "control_internal" || aDoor == "peers"
             ? *control_
             : *entry_;
  }

  ChildProcess& Control() { return *control_; }
  ChildProcess& Entry() { return *entry_; }

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
                        << "\nbootstrap = true\ntolerated_losses = 0\n"
                        << lines_;
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
  std::string lines_;
  std::string port_;
  std::string peers_;
  std::string callersPort_ = std::to_string(FreePort());
  std::string readiness_ = std::to_string(FreePort());
  std::string metrics_ = std::to_string(FreePort());
  std::uint64_t jobs_ = 0;
  std::unique_ptr<ChildProcess> control_;
  std::unique_ptr<ChildProcess> entry_;
};

/// Peak of the process's resident memory in bytes.
inline std::size_t
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

inline std::size_t
OpenDescriptors(pid_t aPid)
{
  const std::filesystem::directory_iterator files("/proc/" +
                                                  std::to_string(aPid) + "/fd");
  return static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

/// Checks the peak of a process's memory, and prints it for the record.
inline void
CheckPeak(const std::string& aRow, pid_t aPid, std::size_t aMaxMegabytes)
{
  const auto peak = PeakMemory(aPid);
  std::cout << aRow << ": peak " << peak / kMegabyte << " MB of "
            << aMaxMegabytes << std::endl;
  CHECK(peak <= aMaxMegabytes * kMegabyte);
}

/// What each client of a crowd sends: a beginning, and then one block again and
/// again.
struct Flood
{
  std::string beginning_;
  std::string block_;
  std::size_t bytes_ = 0;
};

/// Sends all bytes. Throws Poco::Exception when the peer closes or reads no
/// more.
inline void
SendAll(Poco::Net::StreamSocket& aSocket, const std::string& aBytes)
{
  for (std::size_t sent = 0; sent < aBytes.size();) {
    sent += static_cast<std::size_t>(aSocket.sendBytes(
      aBytes.data() + sent, static_cast<int>(aBytes.size() - sent)));
  }
}

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
      SendAll(socket_, flood_.beginning_);
      for (std::size_t sent = 0; sent < flood_.bytes_;
           sent += flood_.block_.size()) {
        SendAll(socket_, flood_.block_);
      }
    } catch (const Poco::Exception&) {
      // The node has refused the client.
    }
  }

  Flood flood_;
  Poco::Net::StreamSocket socket_;
  std::thread thread_;
};

/// Connections that send a text once, and then one byte of another text at a
/// time in turn until the end of the object. Those that the node closes are not
/// opened again.
class HoldingCrowd
{
public:
  HoldingCrowd(const std::string& aAddress,
               std::size_t aClients,
               const std::string& aText,
               std::string aSlowText = {})
    : slowText_(std::move(aSlowText))
  {
    for (std::size_t i = 0; i < aClients; ++i) {
      try {
        Poco::Net::StreamSocket socket{ Poco::Net::SocketAddress(aAddress) };
        socket.setSendTimeout(Poco::Timespan(kSendTimeoutS, 0));
        socket.setNoDelay(true);
        SendAll(socket, aText);
        sockets_.push_back(socket);
      } catch (const Poco::Exception&) {
        // The node has refused the client.
      }
    }
    thread_ = std::thread([this] { SendSlowly(); });
  }
  HoldingCrowd(const HoldingCrowd&) = delete;
  HoldingCrowd& operator=(const HoldingCrowd&) = delete;
  ~HoldingCrowd()
  {
    stopping_ = true;
    thread_.join();
  }

private:
  static constexpr std::chrono::milliseconds kByteInterval{ 50 };

  void SendSlowly()
  {
    for (std::size_t i = 0; !stopping_; ++i) {
      std::this_thread::sleep_for(kByteInterval);
      if (slowText_.empty()) {
        continue;
      }
      const std::string byte(1, slowText_[i % slowText_.size()]);
      std::erase_if(sockets_, [&byte](Poco::Net::StreamSocket& aSocket) {
        try {
          SendAll(aSocket, byte);
          return false;
        } catch (const Poco::Exception&) {
          return true;
        }
      });
    }
  }

  std::string slowText_;
  std::vector<Poco::Net::StreamSocket> sockets_;
  std::atomic<bool> stopping_{ false };
  std::thread thread_;
};

inline std::string
ChunkedHead(const std::string& aPath = "/q/0000000000000001")
{
  return "POST " + aPath +
         " HTTP/1.1\r\nHost: h\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

inline const std::string kLongText(16384, 'a');

/// Header or trailer fields of a few bytes each: what a parser holds of a field
/// is many times its text.
inline std::string
ShortFields(std::size_t aBytes)
{
  std::string fields;
  while (fields.size() < aBytes) {
    fields += "a:\r\n";
  }
  return fields;
}

} // namespace acaciahill::testing
