#pragma once

#include "support/http_func.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <queue>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace acaciahill::bench {

/// Time that a request for a path ending in "/slow" takes.
inline constexpr Millis kSlowTime{ 1500 };

struct CrowdSettings
{
  /// Announce addresses by availability zone.
  std::map<std::string, std::vector<std::string>> announce_;
  std::int64_t slots_ = 8;
  std::int64_t vmsPerRack_ = 4;
  std::uint64_t seed_ = 1;
};

/// What was said to one announce address.
struct AnnounceTotals
{
  std::uint64_t count_ = 0;
  /// HTTP bytes of requests and answers.
  std::uint64_t bytes_ = 0;
  std::uint64_t failed_ = 0;
};

/// Many targets in one process. They announce themselves each on its own
/// interval, take their assignments, run tasks as ordered, and answer requests
/// at once. One listening socket serves all of them, at a loopback address for
/// each.
class TargetCrowd
{
public:
  explicit TargetCrowd(CrowdSettings aSettings);
  TargetCrowd(const TargetCrowd&) = delete;
  TargetCrowd& operator=(const TargetCrowd&) = delete;
  ~TargetCrowd();

  /// Adds targets until there are this many.
  void GrowTo(std::size_t aCount);
  /// Address of one target's server.
  std::string Address(std::size_t aTarget) const;
  /// Targets that have an assignment.
  std::size_t Assigned() const;
  /// Tasks that run on all targets.
  std::size_t Tasks() const;
  std::map<std::string, AnnounceTotals> Totals() const;

private:
  struct Target
  {
    std::string id_;
    std::string zone_;
    std::string rack_;
    std::string address_;
    std::uint64_t epoch_ = 0;
    bool draining_ = false;
    std::string pool_;
    std::map<std::string, std::uint64_t> tasks_;
  };

  using Due = std::pair<std::uint64_t, std::size_t>;

  void Work();
  Millis AnnounceOnce(std::size_t aTarget);
  std::string Body(const Target& aTarget) const;
  bool Answer(testing::HttpConnection& aConnection,
              const testing::HttpMessage& aRequest) const;

  CrowdSettings settings_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<Target> targets_;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
  std::map<std::string, AnnounceTotals> totals_;
  std::mt19937_64 random_;
  bool stopping_ = false;
  std::string port_;
  std::unique_ptr<testing::HttpServer> server_;
  std::vector<std::thread> workers_;
};

} // namespace acaciahill::bench
