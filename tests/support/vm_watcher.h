#pragma once

#include "support/cluster_fixture.h"
#include "support/history.h"

#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace acaciahill::testing {

/// Time between two looks of a VmWatcher.
inline constexpr Millis kWatchInterval{ 50 };

/// Time until a loss shows in the plans that a watcher sees: a statement of a
/// target proves it available for availability_ms (5 s), the planner looks
/// every 250 ms, its decision reaches the watched node with the next heartbeat
/// (500 ms) at the latest, and the watcher looks every kWatchInterval.
inline constexpr Millis kLossDetection =
  Millis(5000 + 250 + 500) + kWatchInterval;

/// The first look that shows a VM in a state, and the look before it. Looks are
/// in the order of the log, so that a change in a later look came later.
struct VmChange
{
  std::string vm_;
  std::string pool_;
  std::uint64_t incarnation_ = 0;
  std::uint64_t beforeNs_ = 0;
  std::uint64_t seenNs_ = 0;
};

/// Phases and assignments of the VMs as one node shows them over time.
class VmWatcher
{
public:
  VmWatcher(const Cluster& aCluster, std::string aNode)
    : cluster_(aCluster)
    , node_(std::move(aNode))
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

  const std::vector<AssignmentSeen>& Seen() const { return seen_; }
  const std::vector<DrainPeriod>& Drains() const { return drains_; }
  /// The pool that the VM of each drain left.
  const std::vector<std::string>& Pools() const { return pools_; }
  /// Each incarnation of each VM.
  const std::vector<VmChange>& Incarnations() const { return incarnations_; }
  /// Each confirmed stop of a VM.
  const std::vector<VmChange>& Stops() const { return stops_; }

private:
  void Look()
  {
    const auto vms = cluster_.AdminGet(node_, "/v1/vms");
    const auto now = MonotonicNs();
    if (!vms.is_array()) {
      return;
    }
    for (const auto& vm : vms) {
      const auto id = vm.value("id", std::string());
      seen_.push_back({ node_,
                        now,
                        id,
                        vm.value("epoch", std::uint64_t{ 0 }),
                        vm.value("pool", std::string()) });
      const bool leaves = vm.value("phase", std::string()) != "active";
      const auto open = open_.find(id);
      if (leaves && open == open_.end()) {
        open_[id] = drains_.size();
        drains_.push_back({ id, now, std::nullopt });
        pools_.push_back(vm.value("pool", std::string()));
      } else if (!leaves && open != open_.end()) {
        // The VM may take work from the moment at which its phase changed,
        // which was up to one look earlier.
        drains_[open->second].endedNs_ = last_;
        open_.erase(open);
      }
      LookAtChanges(vm, now);
    }
    last_ = now;
  }

  void LookAtChanges(const nlohmann::json& aVm, std::uint64_t aNowNs)
  {
    const VmChange change{ aVm.value("id", std::string()),
                           aVm.value("pool", std::string()),
                           aVm.value("incarnation", std::uint64_t{ 0 }),
                           last_,
                           aNowNs };
    auto& incarnation = incarnationOf_[change.vm_];
    if (incarnation != change.incarnation_) {
      incarnation = change.incarnation_;
      incarnations_.push_back(change);
    }
    const bool isStopping = aVm.value("phase", std::string()) == "stopping";
    if (!isStopping) {
      stopping_.erase(change.vm_);
    } else if (stopping_.insert(change.vm_).second) {
      stops_.push_back(change);
    }
  }

  const Cluster& cluster_;
  std::string node_;
  std::vector<AssignmentSeen> seen_;
  std::vector<DrainPeriod> drains_;
  std::vector<std::string> pools_;
  std::map<std::string, std::size_t> open_;
  std::vector<VmChange> incarnations_;
  std::map<std::string, std::uint64_t> incarnationOf_;
  std::vector<VmChange> stops_;
  std::set<std::string> stopping_;
  std::uint64_t last_ = 0;
  std::jthread thread_;
};

/// Planned unavailability from the start of each drain until the VM is active
/// again.
inline std::vector<UnavailablePeriod>
PeriodsOf(const VmWatcher& aWatcher)
{
  std::vector<UnavailablePeriod> periods;
  for (std::size_t i = 0; i < aWatcher.Drains().size(); ++i) {
    const auto& drain = aWatcher.Drains()[i];
    periods.push_back({ drain.vm_,
                        aWatcher.Pools()[i],
                        drain.acceptedNs_,
                        drain.endedNs_,
                        true });
  }
  return periods;
}

/// The same, and a moment for each confirmed stop, as the budget is checked
/// again before the platform is asked.
inline std::vector<UnavailablePeriod>
PeriodsWithStops(const VmWatcher& aWatcher)
{
  auto periods = PeriodsOf(aWatcher);
  for (const auto& stop : aWatcher.Stops()) {
    periods.push_back(
      { stop.vm_, stop.pool_, stop.seenNs_, stop.seenNs_ + 1, true });
  }
  return periods;
}

/// What each node process shows of the assignments. Nodes are to be killed and
/// started again through it.
class ProcessWatchers
{
public:
  explicit ProcessWatchers(Cluster& aCluster)
    : cluster_(aCluster)
  {
    for (const auto& node : aCluster.NodeIds()) {
      Begin(node);
    }
  }

  void Kill(const std::string& aNode)
  {
    cluster_.Node(aNode).process_->Kill();
    watchers_[aNode].back()->Stop();
  }

  void Restart(const std::string& aNode)
  {
    cluster_.StartNode(aNode);
    Begin(aNode);
  }

  /// Ends the watch. A restarted process is another observer.
  std::vector<AssignmentSeen> Finish()
  {
    std::vector<AssignmentSeen> all;
    for (auto& [node, watchers] : watchers_) {
      watchers.back()->Stop();
      for (std::size_t i = 0; i < watchers.size(); ++i) {
        for (auto seen : watchers[i]->Seen()) {
          seen.observer_ += "#" + std::to_string(i + 1);
          all.push_back(std::move(seen));
        }
      }
    }
    return all;
  }

private:
  void Begin(const std::string& aNode)
  {
    watchers_[aNode].push_back(std::make_unique<VmWatcher>(cluster_, aNode));
  }

  Cluster& cluster_;
  std::map<std::string, std::vector<std::unique_ptr<VmWatcher>>> watchers_;
};

} // namespace acaciahill::testing
