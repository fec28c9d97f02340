#include "daemon/workload_host_base.h"

#include "consensus/log_store_base.h"
#include "support/process_harness.h"

#include <Poco/File.h>
#include <Poco/TemporaryFile.h>

#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <stdexcept>
#include <string>

using namespace acaciahill;
using namespace std::chrono_literals;

namespace {

constexpr const char* kNode = "n1";
constexpr const char* kDisk = "disk-1";
constexpr auto kLimit = 10s;

DaemonSettings
SingleVoter(const std::string& aFolder)
{
  DaemonSettings settings;
  settings.node_ = kNode;
  settings.zone_ = "z1";
  settings.cluster_ = "test";
  settings.voter_ = true;
  settings.dataDir_ = aFolder;
  settings.listenPeers_ = testing::FreeAddress();
  settings.advertisePeers_ = settings.listenPeers_;
  settings.voters_ = { { kNode, settings.listenPeers_ } };
  settings.raft_ = { 50ms, 200ms, 400ms };
  return settings;
}

/// A control node that is the only voter of its group, with the host of its
/// scheduler. Handlers run on the test's thread.
class Leader
{
public:
  Leader()
  {
    Poco::File(folder_.path()).createDirectories();
    auto opened = OpenFileLog(OsFileSystem(), folder_.path() + "/data", kDisk);
    REQUIRE(IsOk(opened));
    Snapshot first;
    first.voters_.voters_.push_back({ kNode, kDisk });
    const auto log = ValueOf(std::move(opened));
    REQUIRE(IsOk(log.store_->Save(SaveSnapshot{ first, true })));

    settings_.control_ = SingleVoter(folder_.path() + "/data");
    settings_.isControl_ = true;
    registry_.Add(kDirectoryServiceName,
                  std::make_unique<DirectoryService>(kNode, 1, 10s));
    registry_.Add(kReplicaServiceName,
                  std::make_unique<ReplicaService>(
                    settings_.control_, registry_, metrics_));
    REQUIRE(IsOk(registry_.StartAll()));
    host_.emplace(settings_, Replica(), metrics_, context_, client_);
    host_->Start();
  }

  ~Leader()
  {
    host_->Stop();
    registry_.StopAll();
  }

  ReplicaService& Replica()
  {
    return registry_.Find<ReplicaService>(kReplicaServiceName);
  }

  /// Runs handlers until the scheduler is running. False on timeout.
  bool WaitUntilActive()
  {
    const auto end = std::chrono::steady_clock::now() + kLimit;
    while (!host_->IsActive() && std::chrono::steady_clock::now() < end) {
      context_.run_for(20ms);
    }
    return host_->IsActive();
  }

  WorkloadHost& Host() { return *host_; }
  const Metrics& Counters() const { return metrics_; }

private:
  Poco::TemporaryFile folder_;
  WorkloadSettings settings_;
  Metrics metrics_;
  ServiceRegistry registry_;
  boost::asio::io_context context_;
  AsyncClient client_{ context_ };
  std::optional<WorkloadHost> host_;
};

} // namespace

// Guards against a leader that is refused by its own workers for good: after an
// exception a second scheduler of the same term began with lower fences than
// the first one had sent.
TEST_CASE("a scheduler that ended is followed by one of a higher term")
{
  Leader leader;
  REQUIRE(leader.WaitUntilActive());
  const auto term = leader.Replica().Control().term_;
  leader.Host().HandleException(std::runtime_error("test"));
  CHECK_FALSE(leader.Host().IsActive());
  REQUIRE(leader.WaitUntilActive());
  CHECK(leader.Replica().Control().term_ > term);
}
