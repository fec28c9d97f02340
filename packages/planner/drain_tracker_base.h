#pragma once

#include "planner/planner_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace acaciahill {

/// Tracks the drains of all VMs and detects which are complete (section 5 of
/// the design page). All times start when this object first sees an event, so a
/// new leader waits the full time again. Not thread-safe.
class DrainTracker
{
public:
  explicit DrainTracker(PlannerLimits aLimits);

  /// Updates all drains. Must be called in each step before the queries below.
  void Observe(const PlannerView& aView, MonotonicTime aNow);

  /// True if the VM's current drain is complete.
  bool IsComplete(const std::string& aVm) const;

  /// Time since the VM's current drain was first seen; 0 if it does not drain.
  Millis DrainAge(const std::string& aVm, MonotonicTime aNow) const;

private:
  struct Drain
  {
    std::uint64_t epoch_ = 0;
    MonotonicTime firstSeen_{};
    /// Log index applied when the drain was first seen. The drain's own entry
    /// is at or below it.
    std::uint64_t drainIndex_ = 0;
    std::optional<MonotonicTime> acknowledgedAt_;
    /// Since when every node has applied the drain and has no request in
    /// flight.
    std::optional<MonotonicTime> sendersDoneAt_;
    /// Longest time between two steps since the acknowledgement was seen.
    Millis maxStepGap_{ 0 };
    bool complete_ = false;
  };

  void Update(Drain& aDrain,
              const VmRecord& aVm,
              const PlannerView& aView,
              MonotonicTime aNow) const;
  bool HaveSendersFinished(const Drain& aDrain,
                           const VmRecord& aVm,
                           const PlannerView& aView,
                           MonotonicTime aNow) const;

  PlannerLimits limits_;
  std::optional<MonotonicTime> lastStep_;
  std::map<std::string, Drain> drains_;
};

} // namespace acaciahill
