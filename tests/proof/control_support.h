#pragma once

#include "support/cluster_fixture.h"
#include "support/history.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace acaciahill::testing {

/// The design target: a change is in force everywhere within 4 s.
inline constexpr Millis kInForceLimit{ 4000 };
inline constexpr Millis kStartLimit{ 20000 };
/// An election with the timings used here, and a busy machine.
inline constexpr Millis kChangeLimit{ 10000 };
inline constexpr std::uint64_t kNsPerMs = 1000UL * 1000;

/// Timing for failures whose waits are not what is tested: elections of 400 to
/// 800 ms.
inline std::vector<std::pair<std::string, std::string>>
FastTiming()
{
  return { { "timing", "heartbeat_ms = 100" },
           { "timing", "election_min_ms = 400" },
           { "timing", "election_max_ms = 800" } };
}

/// An operator's change of the weight of pool "rota", as its sender saw it.
struct CellChange
{
  std::string requestId_;
  std::uint64_t base_ = 0;
  std::string value_;
  /// "accepted", an error kind, or "lost" without a definite answer.
  std::string outcome_ = "lost";
  /// The table version that the answer named.
  std::uint64_t version_ = 0;
  std::uint64_t index_ = 0;
  std::uint64_t atNs_ = 0;
  /// Sendings, the first included.
  int sendings_ = 0;
};

inline bool
IsDefinite(const CellChange& aChange)
{
  return aChange.outcome_ == "accepted" ||
         aChange.outcome_ == "version_conflict";
}

/// Sends a change once and takes over the answer.
inline void
SendChange(Cluster& aCluster,
           const std::string& aNode,
           CellChange& aChange,
           Millis aTimeout)
{
  ++aChange.sendings_;
  const nlohmann::json body{ { "request_id", aChange.requestId_ },
                             { "type", "set_cell" },
                             { "pool", "rota" },
                             { "column", "weight" },
                             { "value", aChange.value_ },
                             { "if_version", aChange.base_ } };
  const auto outcome = HttpCall(aCluster.Node(aNode).admin_,
                                { "POST",
                                  "/v1/commands",
                                  { { "Content-Type", "application/json" } },
                                  body.dump() },
                                aTimeout);
  aChange.outcome_ = "lost";
  if (!outcome.Answered()) {
    return;
  }
  const auto answer =
    nlohmann::json::parse(outcome.answer_.body_, nullptr, false);
  if (!answer.is_object()) {
    return;
  }
  aChange.outcome_ = answer.value("error",
                                  std::string(outcome.answer_.status_ == 200
                                                ? "accepted"
                                                : "without an error kind"));
  aChange.version_ = answer.value("table_version", std::uint64_t{ 0 });
  aChange.index_ = answer.value("index", std::uint64_t{ 0 });
  aChange.atNs_ = MonotonicNs();
}

/// Of the changes based on one version at most one is accepted, it makes the
/// next version, and the others are told of a newer version than theirs.
inline Violations
CheckOneWinner(const std::vector<CellChange>& aChanges)
{
  Violations found;
  std::map<std::uint64_t, std::string> winners;
  for (const auto& change : aChanges) {
    const auto name =
      change.requestId_ + " based on version " + std::to_string(change.base_);
    if (change.outcome_ == "accepted") {
      const auto [first, isNew] =
        winners.try_emplace(change.base_, change.requestId_);
      if (!isNew) {
        found.push_back(
          { "one winner", name + " won and so did " + first->second });
      }
      if (change.version_ != change.base_ + 1) {
        found.push_back(
          { "one winner",
            name + " made version " + std::to_string(change.version_) });
      }
    } else if (change.outcome_ == "version_conflict" &&
               change.version_ <= change.base_) {
      found.push_back(
        { "one winner",
          name + " lost against version " + std::to_string(change.version_) });
    }
  }
  return found;
}

/// What one look at a node's table gave.
struct TableLook
{
  TableSeen seen_;
  std::string node_;
  std::string weight_;
  bool stale_ = false;
};

/// Every version that was seen holds the value of the change that made it.
inline Violations
CheckValues(const std::vector<TableLook>& aLooks,
            const std::vector<CellChange>& aChanges)
{
  std::map<std::uint64_t, std::string> values;
  for (const auto& change : aChanges) {
    if (change.outcome_ == "accepted") {
      values[change.version_] = change.value_;
    }
  }
  Violations found;
  for (const auto& look : aLooks) {
    const auto value = values.find(look.seen_.version_);
    if (value != values.end() && value->second != look.weight_) {
      found.push_back({ "table",
                        look.seen_.observer_ + " has " + look.weight_ +
                          " at version " + std::to_string(value->first) +
                          ", but " + value->second + " was accepted" });
    }
  }
  return found;
}

/// Looks at every node's table all the time, one thread for each node.
class TableWatch
{
public:
  explicit TableWatch(Cluster& aCluster)
    : cluster_(aCluster)
  {
    for (const auto& node : aCluster.NodeIds()) {
      starts_[node] = 1;
      threads_.emplace_back([this, node] { Watch(node); });
    }
  }
  TableWatch(const TableWatch&) = delete;
  TableWatch& operator=(const TableWatch&) = delete;
  ~TableWatch() { Stop(); }

  void Stop()
  {
    stopping_ = true;
    for (auto& thread : threads_) {
      thread.join();
    }
    threads_.clear();
  }

  /// A fault of a node begins; what it shows until the end of the fault and
  /// kInForceLimit longer is checked for order and content only.
  void BeginFault(const std::string& aNode)
  {
    const std::lock_guard lock(mutex_);
    faults_[aNode].push_back({ MonotonicNs(), std::nullopt });
  }

  /// A fault ends. A restarted process is another observer.
  void EndFault(const std::string& aNode, bool aRestarted)
  {
    const std::lock_guard lock(mutex_);
    faults_[aNode].back().second = MonotonicNs();
    starts_[aNode] += aRestarted ? 1 : 0;
  }

  std::vector<TableLook> Looks() const
  {
    const std::lock_guard lock(mutex_);
    return looks_;
  }

  /// CheckTableVersions over all looks, its limit over those without a fault.
  Violations Check(const std::vector<CellChange>& aChanges) const
  {
    std::vector<TableAccepted> accepted;
    for (const auto& change : aChanges) {
      if (change.outcome_ == "accepted") {
        accepted.push_back({ change.version_, change.atNs_ });
      }
    }
    std::vector<TableSeen> all;
    std::vector<TableSeen> undisturbed;
    for (const auto& look : Looks()) {
      all.push_back(look.seen_);
      if (!IsDisturbed(look)) {
        undisturbed.push_back(look.seen_);
      }
    }
    auto found = CheckTableVersions(all, {}, kInForceLimit);
    const auto late = CheckTableVersions(undisturbed, accepted, kInForceLimit);
    found.insert(found.end(), late.begin(), late.end());
    return found;
  }

private:
  using Period = std::pair<std::uint64_t, std::optional<std::uint64_t>>;

  void Watch(const std::string& aNode)
  {
    while (!stopping_) {
      TableLook look;
      look.node_ = aNode;
      {
        const std::lock_guard lock(mutex_);
        look.seen_.observer_ = aNode + "#" + std::to_string(starts_[aNode]);
      }
      // The state shown is at least as new as the beginning of the look.
      look.seen_.atNs_ = MonotonicNs();
      const auto table = cluster_.AdminGet(aNode, "/v1/table");
      if (table.is_object() && !table["rows"].empty()) {
        look.seen_.version_ = table.value("version", std::uint64_t{ 0 });
        look.seen_.content_ = table["rows"].dump();
        look.weight_ = table["rows"][0]["weight"].dump();
        look.stale_ = table.value("stale", false);
        const std::lock_guard lock(mutex_);
        looks_.push_back(look);
      }
      std::this_thread::sleep_for(kPause);
    }
  }

  bool IsDisturbed(const TableLook& aLook) const
  {
    const std::lock_guard lock(mutex_);
    const auto periods = faults_.find(aLook.node_);
    return periods != faults_.end() &&
           std::any_of(periods->second.begin(),
                       periods->second.end(),
                       [&aLook](const Period& aPeriod) {
                         return aLook.seen_.atNs_ >= aPeriod.first &&
                                (!aPeriod.second ||
                                 aLook.seen_.atNs_ <=
                                   *aPeriod.second + static_cast<std::uint64_t>(
                                                       kInForceLimit.count()) *
                                                       kNsPerMs);
                       });
  }

  static constexpr Millis kPause{ 20 };

  Cluster& cluster_;
  mutable std::mutex mutex_;
  std::map<std::string, int> starts_;
  std::map<std::string, std::vector<Period>> faults_;
  std::vector<TableLook> looks_;
  std::atomic<bool> stopping_{ false };
  std::vector<std::thread> threads_;
};

/// Operators that change one cell through random nodes, each based on the
/// version that the node asked shows, and that resend through another node
/// until the answer is definite.
class Operators
{
public:
  /// The name begins the request ids, which are used once in a cluster.
  Operators(Cluster& aCluster,
            int aCount,
            std::uint64_t aSeed,
            std::string aName = "o")
    : cluster_(aCluster)
    , name_(std::move(aName))
  {
    for (int i = 0; i < aCount; ++i) {
      threads_.emplace_back(
        [this, i, aSeed] { Run(i, aSeed + static_cast<std::uint64_t>(i)); });
    }
  }
  Operators(const Operators&) = delete;
  Operators& operator=(const Operators&) = delete;
  ~Operators() { Stop(); }

  /// Ends after the changes under way.
  std::vector<CellChange> Stop()
  {
    stopping_ = true;
    for (auto& thread : threads_) {
      thread.join();
    }
    threads_.clear();
    return changes_;
  }

private:
  void Run(int aOperator, std::uint64_t aSeed)
  {
    std::mt19937_64 random(aSeed);
    const auto anyNode = [&]() -> const std::string& {
      const auto& ids = cluster_.NodeIds();
      return ids[random() % ids.size()];
    };
    for (int number = 1; !stopping_; ++number) {
      const auto outcome = HttpCall(cluster_.Node(anyNode()).admin_,
                                    { "GET", "/v1/table", {}, "" },
                                    kAnswerTimeout);
      const auto table =
        outcome.Answered()
          ? nlohmann::json::parse(outcome.answer_.body_, nullptr, false)
          : nlohmann::json();
      if (!table.is_object()) {
        continue;
      }
      CellChange change;
      change.requestId_ =
        name_ + std::to_string(aOperator) + "-" + std::to_string(number);
      change.base_ = table.value("version", std::uint64_t{ 0 });
      change.value_ =
        std::to_string(aOperator * kValuesPerOperator + number + 1);
      const auto giveUpNs =
        MonotonicNs() + static_cast<std::uint64_t>(kGiveUp.count()) * kNsPerMs;
      while (!IsDefinite(change) && MonotonicNs() < giveUpNs) {
        SendChange(cluster_, anyNode(), change, kAnswerTimeout);
      }
      {
        const std::lock_guard lock(mutex_);
        changes_.push_back(change);
      }
      std::this_thread::sleep_for(kPause);
    }
  }

  /// Keeps the values apart; four operators stay below the largest weight.
  static constexpr int kValuesPerOperator = 2400;
  static constexpr Millis kPause{ 20 };
  /// An operator who gets no answer asks another node after this time.
  static constexpr Millis kAnswerTimeout{ 1000 };
  /// Longer than every fault, so that each change ends with an answer.
  static constexpr Millis kGiveUp{ 20000 };

  Cluster& cluster_;
  const std::string name_;
  std::atomic<bool> stopping_{ false };
  std::mutex mutex_;
  std::vector<CellChange> changes_;
  std::vector<std::thread> threads_;
};

/// Applies the first table through a node.
inline void
ApplyFirstTable(Cluster& aCluster, const std::string& aNode)
{
  aCluster.Require("the first table", kStartLimit, [&] {
    const auto outcome = aCluster.AdminPost(
      aNode,
      "/v1/commands",
      { { "request_id", "first" },
        { "type", "apply_table" },
        { "if_version", 0 },
        { "csv",
          "pool,weight,size,min_available,max_unavailable\nrota,1,3,1,1\n" } });
    return outcome.Answered() && outcome.answer_.status_ == 200;
  });
}

inline std::uint64_t
VersionOn(const Cluster& aCluster, const std::string& aNode)
{
  const auto table = aCluster.AdminGet(aNode, "/v1/table");
  return table.is_object() ? table.value("version", std::uint64_t{ 0 }) : 0;
}

/// Makes a change through a node and gives the version that it made.
inline std::uint64_t
RequireChange(Cluster& aCluster, const std::string& aNode, int aNumber)
{
  CellChange change;
  change.requestId_ = "change-" + std::to_string(aNumber);
  change.value_ = std::to_string(100 + aNumber);
  aCluster.Require("change " + std::to_string(aNumber), kChangeLimit, [&] {
    change.base_ = VersionOn(aCluster, aNode);
    SendChange(aCluster, aNode, change, Millis(2000));
    return change.outcome_ == "accepted";
  });
  return change.version_;
}

} // namespace acaciahill::testing
