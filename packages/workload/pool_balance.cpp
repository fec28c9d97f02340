#include "workload/pool_balance_func.h"

#include <algorithm>

namespace acaciahill {

namespace {

// Share of a worker's cores that tasks of mixed sizes fill, in percent.
constexpr std::int64_t kFillPercent = 90;
// Workers beyond the demand: the next jobs of a quiet queue start at once.
constexpr std::size_t kHeadroomWorkers = 1;
// A pool keeps this many, so that the loss of one leaves others.
constexpr std::size_t kLeastWorkers = 3;
// A VM is switched off after its pool has had too many for this time. Two moves
// cost about as much as a VM in a pool for two seconds.
constexpr Millis kIdleBeforeOff{ 800 };

std::size_t
LackOf(const PoolDemand& aPool)
{
  const auto wanted = WantedWorkers(aPool);
  return wanted > aPool.supply_ ? wanted - aPool.supply_ : 0;
}

std::size_t
ExcessOf(const PoolDemand& aPool)
{
  const auto wanted = WantedWorkers(aPool);
  const auto excess = aPool.supply_ > wanted ? aPool.supply_ - wanted : 0;
  return std::min(excess, aPool.idleVms_.size());
}

std::string
TakeIdle(PoolDemand& aPool)
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
WantedWorkers(const PoolDemand& aLoad)
{
  if (aLoad.workerMilliCores_ <= 0) {
    return 0;
  }
  const auto usable = aLoad.workerMilliCores_ * kFillPercent / 100;
  const auto busy =
    static_cast<std::size_t>((aLoad.demandMilliCores_ + usable - 1) / usable);
  return std::max({ kLeastWorkers,
                    aLoad.pinnedWorkers_,
                    aLoad.spreadWorkers_,
                    busy + kHeadroomWorkers });
}

std::vector<VmMove>
PlanMoves(std::vector<PoolDemand> aPools,
          std::vector<std::string> aSpareVms,
          const std::string& aSparePool)
{
  std::vector<VmMove> moves;
  std::sort(
    aPools.begin(), aPools.end(), [](const auto& aOne, const auto& aTwo) {
      return LackOf(aOne) > LackOf(aTwo);
    });
  for (auto& pool : aPools) {
    auto lack = LackOf(pool);
    for (auto& giver : aPools) {
      while (lack > 0 && &giver != &pool && ExcessOf(giver) > 0) {
        moves.push_back({ TakeIdle(giver), pool.pool_ });
        ++pool.supply_;
        --lack;
      }
    }
    while (lack > 0 && !aSpareVms.empty()) {
      moves.push_back({ std::move(aSpareVms.back()), pool.pool_ });
      aSpareVms.pop_back();
      ++pool.supply_;
      --lack;
    }
  }
  if (aSparePool.empty()) {
    return moves;
  }
  for (auto& pool : aPools) {
    while (!pool.keepsWorkers_ && pool.surplusFor_ >= kIdleBeforeOff &&
           ExcessOf(pool) > 0) {
      moves.push_back({ TakeIdle(pool), aSparePool });
    }
  }
  return moves;
}

} // namespace acaciahill
