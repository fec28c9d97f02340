#include "workload/pool_balance_func.h"

#include <algorithm>

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

std::size_t
ShortageOf(const PoolDemand& aPool)
{
  const auto wanted = WantedWorkers(aPool);
  return wanted > aPool.supply_ ? wanted - aPool.supply_ : 0;
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

std::size_t
WantedWorkers(const PoolDemand& aDemand)
{
  if (aDemand.workerMilliCores_ <= 0) {
    return 0;
  }
  const auto usable = aDemand.workerMilliCores_ * kUsablePercent / 100;
  const auto needed =
    static_cast<std::size_t>((aDemand.demandMilliCores_ + usable - 1) / usable);
  return std::max({ kMinWorkers,
                    aDemand.pinnedWorkers_,
                    aDemand.spreadWorkers_,
                    needed + kHeadroomWorkers });
}

std::vector<VmMove>
PlanMoves(std::vector<PoolDemand> aPools,
          std::vector<std::string> aSpareVms,
          const std::string& aSparePool)
{
  std::vector<VmMove> moves;
  std::sort(
    aPools.begin(), aPools.end(), [](const auto& aOne, const auto& aTwo) {
      return ShortageOf(aOne) > ShortageOf(aTwo);
    });
  for (auto& pool : aPools) {
    auto shortage = ShortageOf(pool);
    for (auto& donor : aPools) {
      while (shortage > 0 && &donor != &pool && SurplusOf(donor) > 0) {
        moves.push_back({ RemoveIdleVm(donor), pool.pool_ });
        ++pool.supply_;
        --shortage;
      }
    }
    while (shortage > 0 && !aSpareVms.empty()) {
      moves.push_back({ std::move(aSpareVms.back()), pool.pool_ });
      aSpareVms.pop_back();
      ++pool.supply_;
      --shortage;
    }
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
