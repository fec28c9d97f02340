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
  Unavailable, ///< Draining, stopped, lost, or its assignment is out of date.
  Unknown,     ///< No recent evidence, or its zone is out of contact.
};

/// Looks up evidence by VM id in one pass over the map; Find() must be called
/// with ascending ids.
class EvidenceCursor
{
public:
  explicit EvidenceCursor(const PlannerView& aView)
    : next_(aView.targets_.begin())
    , end_(aView.targets_.end())
  {
  }

  /// The latest evidence of a VM, or null.
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

/// Availability of a VM by its record and its latest evidence. An active VM is
/// available only if the evidence is recent and shows the recorded incarnation
/// and epoch, as entry VMs send requests to no other.
VmAvailability
AvailabilityOf(const VmRecord& aVm,
               const PlannerView& aView,
               MonotonicTime aNow,
               const PlannerLimits& aLimits);

/// Overload for a caller that already has the evidence, which may be null.
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
/// the design page). Planned stops are added to it one VM at a time.
class PoolCapacity
{
public:
  explicit PoolCapacity(PoolRow aRow);

  /// Adds a member of the pool.
  void Add(const VmRecord& aVm, bool aAvailable);

  /// True if the pool stays within its budget without this VM as well.
  bool CanTakeOutOfService(const VmRecord& aVm) const;

  /// Counts an available member as out of service from now on.
  void TakeOutOfService(const VmRecord& aVm);

  /// Counts a member that is out of service as available again.
  void ReturnToService(const VmRecord& aVm);

  /// True if the pool is within its budget, also after the loss of its rack
  /// with the most available VMs.
  bool IsWithinBudget() const;

  const PoolRow& Row() const { return row_; }
  std::int64_t Members() const { return members_; }
  std::int64_t OutOfServiceCount() const
  {
    return static_cast<std::int64_t>(outOfService_.size());
  }
  std::int64_t Available() const { return members_ - OutOfServiceCount(); }

  /// Counts and limits of the budget, as text for the operator.
  std::string Describe() const;

private:
  std::int64_t AvailableInLargestRack() const;

  PoolRow row_;
  std::int64_t members_ = 0;
  std::set<std::string> outOfService_;
  std::map<RackKey, std::int64_t> availableByRack_;
};

/// Capacities of all pools by pool name, with no members added.
std::map<std::string, PoolCapacity>
EmptyCapacities(const PlannerView& aView);

/// Capacities of all pools by pool name, with their VMs added.
std::map<std::string, PoolCapacity>
PoolCapacities(const PlannerView& aView,
               MonotonicTime aNow,
               const PlannerLimits& aLimits);

/// The VMs of a pool that are unavailable or unknown, as BeginMove, GrantPermit
/// and ConfirmStop carry them, ordered by id. VMs with a permit or a move are
/// excluded, as the state counts them itself.
std::vector<std::string>
UnavailableVms(const std::string& aPool,
               const PlannerView& aView,
               MonotonicTime aNow,
               const PlannerLimits& aLimits);

} // namespace acaciahill
