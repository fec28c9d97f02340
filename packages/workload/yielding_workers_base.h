#pragma once

#include "workload/usable_worker_type.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace acaciahill {

/// Chooses which workers of a pool start no late work (see PlanYields). The
/// same ones yield as long as possible, as a worker becomes idle only once its
/// last task has ended.
class YieldingWorkers
{
public:
  /// Sets how many workers of each pool yield.
  void SetCounts(std::map<std::string, std::size_t> aCounts)
  {
    counts_ = std::move(aCounts);
  }
  std::size_t CountOf(const std::string& aPool) const;

  /// Takes those that yield out of the pool's workers: first those that yielded
  /// before, of them those without long-running tasks and with the least in
  /// use.
  void RemoveFrom(std::vector<UsableWorker>& aWorkers,
                  const std::string& aPool);

private:
  std::map<std::string, std::size_t> counts_;
  std::set<std::uint32_t> yielding_;
};

} // namespace acaciahill
