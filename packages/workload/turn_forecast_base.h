#pragma once

#include "kernel/time_type.h"
#include "workload/workload_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace acaciahill {

/// Learns a pattern of load in which pools take turns: one at a time asks for
/// far more than on its mean for some seconds, in an order that repeats. Fed
/// with each pool's demand, it tells which pool's turn comes next, when, and
/// how much it will ask for.
class TurnForecast
{
public:
  /// A turn that is expected.
  struct Turn
  {
    std::string pool_;
    MonotonicTime startsAt_{};
    std::int64_t milliCores_ = 0;

    bool operator==(const Turn&) const = default;
  };

  /// Tells how many cores a pool's arriving work asks for now.
  void Observe(const std::string& aPool,
               std::int64_t aMilliCores,
               MonotonicTime aNow);

  /// The next turn; nothing while the order is not known.
  std::optional<Turn> Next(MonotonicTime aNow) const;

  /// True once the pool has had a turn: the others come first, and its next one
  /// can be foreseen after theirs.
  bool HadTurn(const std::string& aPool) const;

  /// True while the pool's turn lasts.
  bool IsInTurn(const std::string& aPool) const;

  /// What a later leader is to know. The time is given with the logical time
  /// that it stands for.
  void Learn(LearnedLoad& aLoad,
             MonotonicTime aNow,
             std::uint64_t aLogicalMs) const;

  /// Goes on from what a former leader has learned.
  void Restore(const LearnedLoad& aLoad,
               MonotonicTime aNow,
               std::uint64_t aLogicalMs);

private:
  struct PoolTrack
  {
    double mean_ = 0;
    bool isObserved_ = false;
    bool inTurn_ = false;
    MonotonicTime turnSince_{};
    /// Mean demand of the present or the last turn.
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
  /// Starts of turns, oldest first; a few of them.
  std::vector<Start> starts_;
};

} // namespace acaciahill
