#pragma once

#include "kernel/time_type.h"
#include "workload/scheduler_type.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace acaciahill {

/// Answers of the platform by which a VM has no part in a wave of upkeep: there
/// is no such VM, or the VM is not in the wave. A single answer is no proof, as
/// a VM that was added a moment ago may be unknown to it. This collects what
/// confirms or contradicts the answers. The leader alone holds it; after a
/// change of the leader it is collected anew.
class UpkeepDenials
{
public:
  /// Notes that the platform denied the order at that time. Returns whether the
  /// VM has no part in the wave any more: the denial was repeated, and where
  /// there is said to be no such VM, a list that was asked for after the first
  /// denial lacks the VM as well.
  bool Confirm(const BeginUpkeep& aOrder,
               VmOutcome aDenial,
               MonotonicTime aNow);

  /// Pause before the order may be sent again; 0 if it was not denied.
  Millis PauseOf(const BeginUpkeep& aOrder) const;

  /// The platform treats the VM as a part of the wave.
  void Forget(const BeginUpkeep& aOrder);

  /// Notes that the VM existed at that time: a list that was asked for then
  /// shows it, or a worker on it answered.
  void NoteExists(const std::string& aVm, MonotonicTime aAt);

  /// Notes that a list that was asked for at that time lacks the VM.
  void NoteUnlisted(const std::string& aVm, MonotonicTime aAskedAt);

  bool operator==(const UpkeepDenials&) const = default;

private:
  struct Denial
  {
    VmOutcome outcome_ = VmOutcome::NoSuchVm;
    MonotonicTime firstAt_{};
    std::uint32_t count_ = 0;
    /// A list that was asked for after the first denial lacks the VM.
    bool isUnlisted_ = false;

    bool operator==(const Denial&) const = default;
  };

  /// By VM and wave.
  std::map<std::pair<std::string, std::uint64_t>, Denial> denials_;
};

} // namespace acaciahill
