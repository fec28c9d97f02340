#pragma once

#include "kernel/metrics_base.h"
#include "kernel/time_type.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace acaciahill {

/// What the leader's thread spends processor time on.
enum class LeaderWork : std::uint8_t
{
  Other,     ///< Connections, relaying for other nodes, and the event loop.
  Decisions, ///< The scheduler: placement, pools, waves, leases.
  Orders,    ///< Encoding and sending of orders, batches and answers.
  Answers,   ///< Answers of workers and agents.
  Callers,   ///< Requests of customers.
  Control,   ///< Requests of workers and operators.
};

inline constexpr std::size_t kLeaderWorks =
  static_cast<std::size_t>(LeaderWork::Control) + 1;

/// Processor time of a thread by kind of work. Used from that thread only.
class LeaderMeter
{
public:
  using Times = std::array<std::chrono::microseconds, kLeaderWorks>;

  /// Charges the time of its life to one kind of work, without the time of
  /// scopes within it.
  class Scope
  {
  public:
    Scope(LeaderMeter& aMeter, LeaderWork aWork);
    ~Scope();
    Scope(const Scope&) = delete;
    Scope& operator=(const Scope&) = delete;

  private:
    LeaderMeter& meter_;
    LeaderWork outer_;
  };

  /// Starts a new measurement.
  void Reset();
  /// Times since the last Reset().
  Times Read();
  /// Adds times to the counter acaciahill_leader_cpu_seconds_total.
  static void Export(const Times& aTimes, Metrics& aMetrics);

private:
  void Switch(LeaderWork aWork);

  LeaderWork work_ = LeaderWork::Other;
  std::chrono::microseconds since_{};
  Times times_{};
};

} // namespace acaciahill
