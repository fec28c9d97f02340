#pragma once

#include "kernel/time_type.h"
#include "workload/scheduler_type.h"

#include <optional>
#include <string>

namespace acaciahill {

/// The leader's view of one VM: its last listing, and changes made since.
struct VmView
{
  VmListing listing_;
  /// When the answer to an order last changed this view. Lists that were asked
  /// for before do not count.
  std::optional<MonotonicTime> changedAt_;
  /// The last list lacks the VM. The view is dropped if the next one does too.
  bool isUnlisted_ = false;
  /// The VM must not be moved before that time.
  MonotonicTime noMoveBefore_{};
  /// The VM is no candidate of a wave before that time.
  MonotonicTime noUpkeepBefore_{};
  bool orderInFlight_ = false;
  MonotonicTime orderedAt_{};
  /// Taken down for maintenance and not listed as up since.
  bool isDown_ = false;
  MonotonicTime downSince_{};
  /// An upkeep order got no answer, and the platform may carry it out until
  /// then: the VM keeps its place in the cap of its wave. Nothing once an
  /// answer shows that the upkeep has begun, which later orders don't begin
  /// again.
  std::optional<MonotonicTime> unclearUpkeepUntil_;

  bool operator==(const VmView&) const = default;
};

/// A requested move whose VM has not registered in its new pool.
struct PendingMove
{
  std::string pool_;
  MonotonicTime requestedAt_{};
  bool isInFlight_ = false;
  bool hasBegun_ = false;
  /// A call was not answered and may have been carried out: a refusal of a
  /// later one does not tell that the move has not begun.
  bool mayHaveBegun_ = false;
  /// The platform's last answer was that there is no such VM.
  bool isDenied_ = false;
  /// The VM is switched off in the spare pool, so that no worker registers.
  bool toSpare_ = false;

  bool operator==(const PendingMove&) const = default;
};

} // namespace acaciahill
