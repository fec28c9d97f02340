#pragma once

#include "kernel/time_type.h"
#include "workload/workload_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace acaciahill {

/// Predicts demand peaks of pools that take turns: one pool at a time needs far
/// more than its mean for some seconds (a turn), and the order of the pools
/// repeats. From samples of each pool's demand it predicts which pool peaks
/// next, when, and how much it will need.
class TurnForecast
{
public:
  /// A predicted turn.
  struct Turn
  {
    std::string pool_;
    MonotonicTime startsAt_{};
    std::int64_t milliCores_ = 0;

    bool operator==(const Turn&) const = default;
  };

  /// Records a sample of the milli-cores that a pool's arriving work needs.
  void Observe(const std::string& aPool,
               std::int64_t aMilliCores,
               MonotonicTime aNow);

  /// The next turn; nullopt while the order is unknown or the turn is overdue.
  std::optional<Turn> Next(MonotonicTime aNow) const;

  /// True once the pool has had a turn: its next one comes after those of the
  /// other pools and can be predicted.
  bool HadTurn(const std::string& aPool) const;

  /// True during a turn of the pool.
  bool IsInTurn(const std::string& aPool) const;

  /// Appends the state that later leaders need to aLoad. aNow and aLogicalMs
  /// are the same time on this node's clock and in logical time.
  void Learn(LearnedLoad& aLoad,
             MonotonicTime aNow,
             std::uint64_t aLogicalMs) const;

  /// Continues from the state that a former leader replicated.
  void Restore(const LearnedLoad& aLoad,
               MonotonicTime aNow,
               std::uint64_t aLogicalMs);

private:
  struct PoolTrack
  {
    /// Long-term mean of the demand, in milli-cores.
    double mean_ = 0;
    bool isObserved_ = false;
    bool inTurn_ = false;
    MonotonicTime turnSince_{};
    /// Mean demand of the current or last turn, in milli-cores.
    double turnLevel_ = 0;
    std::uint64_t turnSamples_ = 0;
    bool hadTurn_ = false;
  };

  struct Start
  {
    std::string pool_;
    MonotonicTime at_{};
  };

  std::optional<std::string> NextPool() const;
  Millis MeanInterval() const;

  std::map<std::string, PoolTrack> pools_;
  /// The last starts of turns, oldest first.
  std::vector<Start> starts_;
};

} // namespace acaciahill
