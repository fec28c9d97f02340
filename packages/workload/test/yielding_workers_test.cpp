#include "workload/yielding_workers_base.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>

using namespace acaciahill;

namespace {

/// Workers with that many milli-cores in use, numbered from 1.
class Workers
{
public:
  explicit Workers(const std::vector<std::int64_t>& aUsed)
  {
    for (const auto used : aUsed) {
      views_.emplace_back().used_ = { used, 0, 0 };
      const auto number = static_cast<std::uint32_t>(views_.size());
      usable_.push_back({ {}, number, &entry_, &views_.back() });
    }
  }

  void AddLongRunningTask(std::size_t aWorker)
  {
    views_[aWorker - 1].runs_[{ 1, 0, 0, 0 }].isLongRunning_ = true;
  }
  void Use(std::size_t aWorker, std::int64_t aMilliCores)
  {
    views_[aWorker - 1].used_ = { aMilliCores, 0, 0 };
  }

  /// The numbers of those that do not yield.
  std::vector<std::uint32_t> Remaining(YieldingWorkers& aYielding) const
  {
    auto usable = usable_;
    aYielding.RemoveFrom(usable, "p");
    std::vector<std::uint32_t> numbers;
    std::transform(usable.begin(),
                   usable.end(),
                   std::back_inserter(numbers),
                   [](const auto& aWorker) { return aWorker.number_; });
    std::sort(numbers.begin(), numbers.end());
    return numbers;
  }

private:
  WorkerEntry entry_;
  std::deque<WorkerView> views_;
  std::vector<UsableWorker> usable_;
};

using Numbers = std::vector<std::uint32_t>;

} // namespace

// Guards against workers that take turns in yielding, so that none becomes
// idle, and against emptying workers that long-running tasks keep in the pool.
TEST_CASE("the same workers yield, the emptiest first")
{
  Workers workers({ 500, 100, 300, 0 });
  workers.AddLongRunningTask(4);
  YieldingWorkers yielding;
  CHECK(workers.Remaining(yielding) == Numbers{ 1, 2, 3, 4 });
  yielding.SetCounts({ { "p", 2 } });
  CHECK(yielding.CountOf("p") == 2);
  CHECK(yielding.CountOf("other") == 0);
  CHECK(workers.Remaining(yielding) == Numbers{ 1, 4 });
  // Workers 2 and 3 yield already, though 1 has become emptier.
  workers.Use(1, 0);
  CHECK(workers.Remaining(yielding) == Numbers{ 1, 4 });
  yielding.SetCounts({ { "p", 9 } });
  CHECK(workers.Remaining(yielding).empty());
  yielding.SetCounts({});
  CHECK(workers.Remaining(yielding) == Numbers{ 1, 2, 3, 4 });
}
