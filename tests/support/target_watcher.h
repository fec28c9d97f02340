#pragma once

#include "support/cluster_fixture.h"
#include "support/history.h"
#include "support/vm_watcher.h"

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace acaciahill::testing {

/// Assignments and drains as the VMs themselves hold them over time. Where only
/// nodes have faults, these are known at their true times.
class TargetWatcher
{
public:
  TargetWatcher(const Cluster& aCluster, std::vector<std::string> aVms)
    : cluster_(aCluster)
    , vms_(std::move(aVms))
    , thread_([this](const std::stop_token& aStop) {
      while (!aStop.stop_requested()) {
        Look();
        std::this_thread::sleep_for(kWatchInterval);
      }
    })
  {
  }

  void Stop()
  {
    thread_.request_stop();
    thread_.join();
  }

  /// Changes of pool seen so far.
  int Moves() const { return moves_; }
  bool HasDrain() const { return draining_ > 0; }
  /// The assignment of each VM at the last look.
  std::map<std::string, AssignmentSeen> Held() const
  {
    const std::lock_guard lock(mutex_);
    return held_;
  }
  /// Complete after Stop().
  const std::vector<AssignmentSeen>& Seen() const { return seen_; }
  const std::vector<DrainPeriod>& Drains() const { return drains_; }

private:
  void Look()
  {
    for (const auto& vm : vms_) {
      const auto before = MonotonicNs();
      const auto status = cluster_.TargetStatus(vm);
      const auto now = MonotonicNs();
      const AssignmentSeen seen{ vm,
                                 now,
                                 vm,
                                 status.value("epoch", std::uint64_t{ 0 }),
                                 status.value("pool", std::string()) };
      seen_.push_back(seen);
      const auto open = open_.find(vm);
      const bool isDraining = status.value("draining", false);
      if (isDraining && open == open_.end()) {
        open_[vm] = drains_.size();
        drains_.push_back({ vm, now, std::nullopt });
      } else if (!isDraining && open != open_.end()) {
        // The drain was still on at the look before, at the earliest when that
        // look began.
        drains_[open->second].endedNs_ = last_[vm];
        open_.erase(open);
      }
      last_[vm] = before;
      const std::lock_guard lock(mutex_);
      auto& held = held_[vm];
      moves_ += !held.pool_.empty() && held.pool_ != seen.pool_ ? 1 : 0;
      held = seen;
    }
    draining_ = static_cast<int>(open_.size());
  }

  const Cluster& cluster_;
  std::vector<std::string> vms_;
  mutable std::mutex mutex_;
  std::atomic<int> moves_{ 0 };
  std::atomic<int> draining_{ 0 };
  std::map<std::string, AssignmentSeen> held_;
  std::map<std::string, std::uint64_t> last_;
  std::map<std::string, std::size_t> open_;
  std::vector<AssignmentSeen> seen_;
  std::vector<DrainPeriod> drains_;
  std::jthread thread_;
};

} // namespace acaciahill::testing
