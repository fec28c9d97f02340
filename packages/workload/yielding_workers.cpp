#include "workload/yielding_workers_base.h"

#include "workload/workload_text_func.h"

#include <algorithm>
#include <tuple>

namespace acaciahill {

std::size_t
YieldingWorkers::CountOf(const std::string& aPool) const
{
  const auto found = counts_.find(aPool);
  return found == counts_.end() ? 0 : found->second;
}

void
YieldingWorkers::RemoveFrom(std::vector<UsableWorker>& aWorkers,
                            const std::string& aPool)
{
  const auto costOf = [this](const UsableWorker& aWorker) {
    return std::tuple(HasLongRunningTask(*aWorker.view_),
                      !yielding_.contains(aWorker.number_),
                      aWorker.view_->used_.milliCores_,
                      aWorker.number_);
  };
  const auto count = std::min(CountOf(aPool), aWorkers.size());
  if (count == 0 && yielding_.empty()) {
    return;
  }
  std::sort(aWorkers.begin(),
            aWorkers.end(),
            [&costOf](const auto& aOne, const auto& aTwo) {
              return costOf(aOne) < costOf(aTwo);
            });
  for (const auto& worker : aWorkers) {
    yielding_.erase(worker.number_);
  }
  const auto kept = aWorkers.begin() + static_cast<std::ptrdiff_t>(count);
  for (auto worker = aWorkers.begin(); worker != kept; ++worker) {
    yielding_.insert(worker->number_);
  }
  aWorkers.erase(aWorkers.begin(), kept);
}

} // namespace acaciahill
