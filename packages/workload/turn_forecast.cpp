#include "workload/turn_forecast_base.h"

#include <algorithm>

namespace acaciahill {

namespace {

// Weight of a new sample in the long-term mean of a pool's demand; with a
// sample each 100 ms the time constant is about 20 s.
constexpr double kMeanWeight = 0.005;
// A turn begins when the demand reaches kBeginFactor times the long-term mean
// and kMinTurnMilliCores, and ends below kEndShare of the turn's mean.
constexpr double kBeginFactor = 2.0;
constexpr double kMinTurnMilliCores = 30000;
constexpr double kEndShare = 0.4;
// Shorter peaks do not count as turns.
constexpr Millis kMinTurn{ 1500 };
// Starts that are kept: two rounds of a handful of pools.
constexpr std::size_t kKeptStarts = 16;
// A turn is no longer expected when its start is overdue by this time.
constexpr Millis kOverdue{ 1500 };

} // namespace

void
TurnForecast::Observe(const std::string& aPool,
                      std::int64_t aMilliCores,
                      MonotonicTime aNow)
{
  auto& pool = pools_[aPool];
  const auto demand = static_cast<double>(aMilliCores);
  if (!pool.isObserved_) {
    pool.isObserved_ = true;
    pool.mean_ = demand;
  }
  if (pool.inTurn_ && demand < kEndShare * pool.turnLevel_) {
    pool.inTurn_ = false;
  } else if (pool.inTurn_) {
    ++pool.turnSamples_;
    pool.turnLevel_ +=
      (demand - pool.turnLevel_) / static_cast<double>(pool.turnSamples_);
  } else if (demand >= kMinTurnMilliCores &&
             demand >= kBeginFactor * pool.mean_) {
    pool.inTurn_ = true;
    pool.turnSince_ = aNow;
    pool.turnLevel_ = demand;
    pool.turnSamples_ = 1;
  }
  // A single large job also raises the demand, but only for a short time.
  if (pool.inTurn_ && aNow - pool.turnSince_ >= kMinTurn) {
    pool.hadTurn_ = true;
    // A turn with a short pause counts once.
    if (starts_.empty() || starts_.back().pool_ != aPool) {
      starts_.push_back({ aPool, pool.turnSince_ });
      if (starts_.size() > kKeptStarts) {
        starts_.erase(starts_.begin());
      }
    }
  }
  pool.mean_ += (demand - pool.mean_) * kMeanWeight;
}

// The pool that followed the current one in the last round. In the first round
// it is the pool with the oldest turn, once every pool has had a turn.
std::optional<std::string>
TurnForecast::NextPool() const
{
  if (starts_.size() < 2) {
    return std::nullopt;
  }
  const auto& current = starts_.back().pool_;
  for (auto start = std::next(starts_.rbegin()); start != starts_.rend();
       ++start) {
    if (start->pool_ == current) {
      return std::prev(start)->pool_;
    }
  }
  const bool allSeen =
    std::all_of(pools_.begin(), pools_.end(), [](const auto& aEntry) {
      return aEntry.second.hadTurn_;
    });
  return allSeen ? std::optional(starts_.front().pool_) : std::nullopt;
}

Millis
TurnForecast::MeanInterval() const
{
  const auto count = static_cast<std::int64_t>(starts_.size()) - 1;
  return (starts_.back().at_ - starts_.front().at_) / count;
}

std::optional<TurnForecast::Turn>
TurnForecast::Next(MonotonicTime aNow) const
{
  const auto next = NextPool();
  if (!next) {
    return std::nullopt;
  }
  const auto startsAt = starts_.back().at_ + MeanInterval();
  if (aNow > startsAt + kOverdue) {
    return std::nullopt;
  }
  return Turn{ *next,
               startsAt,
               static_cast<std::int64_t>(pools_.at(*next).turnLevel_) };
}

bool
TurnForecast::HadTurn(const std::string& aPool) const
{
  const auto pool = pools_.find(aPool);
  return pool != pools_.end() && pool->second.hadTurn_;
}

bool
TurnForecast::IsInTurn(const std::string& aPool) const
{
  const auto pool = pools_.find(aPool);
  return pool != pools_.end() && pool->second.inTurn_;
}

void
TurnForecast::Learn(LearnedLoad& aLoad,
                    MonotonicTime aNow,
                    std::uint64_t aLogicalMs) const
{
  for (const auto& [name, pool] : pools_) {
    aLoad.pools_.push_back(
      { name, pool.mean_, pool.turnLevel_, pool.hadTurn_ });
  }
  for (const auto& start : starts_) {
    const auto age = static_cast<std::uint64_t>((aNow - start.at_).count());
    aLoad.turns_.push_back(
      { start.pool_, aLogicalMs > age ? aLogicalMs - age : 0 });
  }
}

void
TurnForecast::Restore(const LearnedLoad& aLoad,
                      MonotonicTime aNow,
                      std::uint64_t aLogicalMs)
{
  for (const auto& learned : aLoad.pools_) {
    auto& pool = pools_[learned.pool_];
    pool.mean_ = learned.meanMilliCores_;
    pool.isObserved_ = true;
    pool.turnLevel_ = learned.turnMilliCores_;
    pool.hadTurn_ = learned.hadTurn_;
  }
  for (const auto& turn : aLoad.turns_) {
    starts_.push_back(
      { turn.pool_, aNow - Millis(aLogicalMs - turn.startedAtMs_) });
  }
}

} // namespace acaciahill
