#include "workload/pool_balance_func.h"

#include <algorithm>
#include <functional>
#include <optional>

namespace acaciahill {

namespace {

// Share of a worker's cores that tasks of mixed sizes can use.
constexpr std::int64_t kUsablePercent = 90;
// Workers beyond the demand, so that the next jobs of a quiet queue start at
// once.
constexpr std::size_t kHeadroomWorkers = 1;
// Minimum size of a pool, so that the loss of one worker leaves others.
constexpr std::size_t kMinWorkers = 3;
// A VM is switched off after its pool had a surplus for this time. Two moves
// cost about as much as a VM in a pool for two seconds.
constexpr Millis kSurplusBeforeOff{ 800 };
// Objectives allow about this much beyond the run times of a short chain.
constexpr Millis kBacklogTime{ 1000 };
// VMs that a pool gets for late work are missing where work can still be on
// time.
constexpr Millis kLateBacklogTime{ 5000 };

/// Workers that the pool needs for a demand in milli-cores, beside those for
/// long-running tasks that have no place yet.
std::size_t
WorkersFor(const PoolDemand& aPool, std::int64_t aMilliCores)
{
  const auto usable = aPool.workerMilliCores_ * kUsablePercent / 100;
  const auto needed =
    static_cast<std::size_t>((aMilliCores + usable - 1) / usable);
  return std::max({ kMinWorkers,
                    aPool.pinnedWorkers_ + aPool.strandedWorkers_,
                    needed + kHeadroomWorkers });
}

std::size_t
SurplusOf(const PoolDemand& aPool)
{
  const auto wanted = WantedWorkers(aPool);
  const auto surplus = aPool.supply_ > wanted ? aPool.supply_ - wanted : 0;
  return std::min(surplus, aPool.idleVms_.size());
}

std::string
RemoveIdleVm(PoolDemand& aPool)
{
  auto vm = std::move(aPool.idleVms_.back());
  aPool.idleVms_.pop_back();
  --aPool.supply_;
  return vm;
}

/// The pool that lacks the largest share of the workers it wants; null when
/// none lacks any.
PoolDemand*
NeediestPool(std::vector<PoolDemand>& aPools)
{
  PoolDemand* neediest = nullptr;
  double lowestShare = 1;
  for (auto& pool : aPools) {
    const auto wanted = WantedWorkers(pool);
    if (pool.supply_ >= wanted) {
      continue;
    }
    const auto share =
      static_cast<double>(pool.supply_) / static_cast<double>(wanted);
    if (share < lowestShare) {
      lowestShare = share;
      neediest = &pool;
    }
  }
  return neediest;
}

/// Takes a VM for a pool with too few workers: an idle one of the pool with the
/// largest surplus, else a switched-off one. Nothing when there is none.
std::optional<std::string>
TakeFreeVm(std::vector<PoolDemand>& aPools, std::vector<std::string>& aSpareVms)
{
  const auto donor = std::max_element(
    aPools.begin(), aPools.end(), [](const auto& aOne, const auto& aTwo) {
      return SurplusOf(aOne) < SurplusOf(aTwo);
    });
  if (donor != aPools.end() && SurplusOf(*donor) > 0) {
    return RemoveIdleVm(*donor);
  }
  if (aSpareVms.empty()) {
    return std::nullopt;
  }
  auto vm = std::move(aSpareVms.back());
  aSpareVms.pop_back();
  return vm;
}

} // namespace

std::int64_t
ExpectedMilliCores(std::int64_t aPresent,
                   std::int64_t aArriving,
                   Millis aChain,
                   Millis aAfter)
{
  if (aChain <= aAfter) {
    return aArriving;
  }
  return (aArriving * aAfter.count() + aPresent * (aChain - aAfter).count()) /
         aChain.count();
}

WaitingWork
BacklogDemand(const WaitingWork& aWork, Millis aRunTime)
{
  const auto within = [aRunTime](std::int64_t aMilliCores, Millis aTime) {
    return aMilliCores * aRunTime.count() / (aRunTime + aTime).count();
  };
  return { within(aWork.milliCores_, kBacklogTime),
           within(aWork.lateMilliCores_, kLateBacklogTime) };
}

std::size_t
WantedWorkers(const PoolDemand& aDemand)
{
  return aDemand.workerMilliCores_ <= 0
           ? 0
           : std::max(aDemand.spreadWorkers_,
                      WorkersFor(aDemand, aDemand.demandMilliCores_));
}

std::map<std::string, std::size_t>
PlanYields(const std::vector<PoolDemand>& aPools, std::size_t aSpareVms)
{
  std::size_t lacking = 0;
  std::size_t free = aSpareVms;
  std::vector<std::pair<std::size_t, const PoolDemand*>> surplus;
  for (const auto& pool : aPools) {
    if (pool.workerMilliCores_ <= 0) {
      continue;
    }
    const auto needed =
      WorkersFor(pool, pool.demandMilliCores_ - pool.lateMilliCores_);
    if (pool.supply_ < needed) {
      lacking += needed - pool.supply_;
    } else if (pool.supply_ > needed) {
      free += std::min(SurplusOf(pool), pool.supply_ - needed);
      surplus.emplace_back(pool.supply_ - needed, &pool);
    }
  }
  std::sort(surplus.begin(), surplus.end(), std::greater<>());
  std::map<std::string, std::size_t> yields;
  auto rest = lacking > free ? lacking - free : 0;
  for (const auto& [workers, pool] : surplus) {
    const auto yielded = std::min(workers, rest);
    if (yielded > 0) {
      yields.emplace(pool->pool_, yielded);
      rest -= yielded;
    }
  }
  return yields;
}

std::vector<VmMove>
PlanMoves(std::vector<PoolDemand> aPools,
          std::vector<std::string> aSpareVms,
          const std::string& aSparePool)
{
  std::vector<VmMove> moves;
  // The caller may carry out only the first moves, so those that pools in need
  // get alternate.
  while (auto* pool = NeediestPool(aPools)) {
    auto vm = TakeFreeVm(aPools, aSpareVms);
    if (!vm) {
      break;
    }
    moves.push_back({ std::move(*vm), pool->pool_ });
    ++pool->supply_;
  }
  if (aSparePool.empty()) {
    return moves;
  }
  for (auto& pool : aPools) {
    while (!pool.keepsWorkers_ && pool.surplusFor_ >= kSurplusBeforeOff &&
           SurplusOf(pool) > 0) {
      moves.push_back({ RemoveIdleVm(pool), aSparePool });
    }
  }
  return moves;
}

} // namespace acaciahill
