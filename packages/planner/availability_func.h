#pragma once

#include "planner/planner_type.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace acaciahill {

/// Whether callers of a pool can use a VM now.
enum class VmAvailability : std::uint8_t
{
  Available,
  Unavailable, ///< It is leaving, stopped or lost, or holds another assignment.
  Unknown,     ///< It was not heard lately, or its zone is out of contact.
};

/// Looks up evidence by VM id, for ids that are asked for in ascending order.
class EvidenceCursor
{
public:
  explicit EvidenceCursor(const PlannerView& aView)
    : next_(aView.targets_.begin())
    , end_(aView.targets_.end())
  {
  }

  /// The last statement of a VM, or none.
  const TargetEvidence* Find(const std::string& aVm)
  {
    while (next_ != end_ && next_->first < aVm) {
      ++next_;
    }
    return next_ != end_ && next_->first == aVm ? &next_->second : nullptr;
  }

private:
  std::map<std::string, TargetEvidence>::const_iterator next_;
  std::map<std::string, TargetEvidence>::const_iterator end_;
};

/// Judges a VM by the state and by what was last heard of it. An active VM is
/// available only when its evidence is young enough and shows the recorded
/// incarnation and epoch, as entry VMs send to no other.
VmAvailability
AvailabilityOf(const VmRecord& aVm,
               const PlannerView& aView,
               MonotonicTime aNow,
               const PlannerLimits& aLimits);

/// The same, with the VM's evidence at hand; aEvidence may be null.
VmAvailability
AvailabilityOf(const VmRecord& aVm,
               const TargetEvidence* aEvidence,
               const PlannerView& aView,
               MonotonicTime aNow,
               const PlannerLimits& aLimits);

/// Availability zone and rack; rack names repeat between zones.
using RackKey = std::pair<std::string, std::string>;

RackKey
RackOf(const VmRecord& aVm);

/// The availability budget of one pool as the commands check it (section 5 of
/// the design page), with VMs to be taken out step by step.
class PoolCapacity
{
public:
  explicit PoolCapacity(PoolRow aRow);

  /// Counts a member of the pool.
  void Add(const VmRecord& aVm, bool aAvailable);

  /// True when the budget holds with this VM out as well.
  bool CanTakeOutOfService(const VmRecord& aVm) const;

  /// Counts an available member as out from here on.
  void TakeOutOfService(const VmRecord& aVm);

  /// Counts a member that is out as available again.
  void ReturnToService(const VmRecord& aVm);

  /// True when the budget holds as it is.
  bool IsWithinBudget() const;

  const PoolRow& Row() const { return row_; }
  std::int64_t Members() const { return members_; }
  std::int64_t OutOfServiceCount() const
  {
    return static_cast<std::int64_t>(outOfService_.size());
  }
  std::int64_t Available() const { return members_ - OutOfServiceCount(); }

  /// The numbers that decide, for the operator.
  std::string Describe() const;

private:
  std::int64_t AvailableInLargestRack() const;

  PoolRow row_;
  std::int64_t members_ = 0;
  std::set<std::string> outOfService_;
  std::map<RackKey, std::int64_t> availableByRack_;
};

/// Pools without members, by pool name.
std::map<std::string, PoolCapacity>
EmptyCapacities(const PlannerView& aView);

/// Pool capacities by pool name, with all VMs that are out.
std::map<std::string, PoolCapacity>
PoolCapacities(const PlannerView& aView,
               MonotonicTime aNow,
               const PlannerLimits& aLimits);

/// The VMs of a pool that are unavailable or unknown, as BeginMove, GrantPermit
/// and ConfirmStop carry them, ordered by id. VMs with a permit or a move are
/// left out, as the state counts them itself.
std::vector<std::string>
UnavailableVms(const std::string& aPool,
               const PlannerView& aView,
               MonotonicTime aNow,
               const PlannerLimits& aLimits);

} // namespace acaciahill
