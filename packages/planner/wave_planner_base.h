#pragma once

#include "planner/availability_func.h"
#include "planner/drain_tracker_base.h"
#include "planner/planner_type.h"
#include "planner/proposal_gate_base.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace acaciahill {

/// Time limits and counts of the wave planner.
struct WaveLimits
{
  /// A command is not proposed again within this time.
  Millis retryAfter_{ 3000 };
  /// Interval at which a reboot request is repeated.
  Millis rebootRetryInterval_{ 5000 };
  /// Time for which a hold reason must last before a running wave is held.
  Millis holdAfter_{ 5000 };
  /// Time for which no hold reason may exist before a held wave resumes.
  Millis resumeAfter_{ 10000 };
  /// Time after the first step, or after a gap between steps, in which no
  /// permit is revoked for lack of headroom and no wave is held or resumed, as
  /// evidence may not have been collected yet.
  Millis settleTime_{ 10000 };
  std::size_t grantsPerStep_ = 16;

  bool operator==(const WaveLimits&) const = default;
};

/// Runs maintenance waves: grants permits within the current headroom, tracks
/// the drains, confirms the stops, requests the reboots, and holds and resumes
/// waves automatically. Not thread-safe.
class WavePlanner
{
public:
  explicit WavePlanner(PlannerLimits aLimits, WaveLimits aWaveLimits = {});

  std::vector<PlannerAction> Step(const PlannerView& aView, MonotonicTime aNow);

private:
  /// A grant that was proposed and is not visible in the fleet yet.
  struct PendingGrant
  {
    std::string wave_;
    std::uint64_t epoch_ = 0;
    MonotonicTime proposedAt_{};
  };

  /// Since when a wave has had, or has not had, a reason to be held.
  struct HoldTimers
  {
    std::optional<MonotonicTime> blockedSince_;
    std::optional<MonotonicTime> freeSince_;
  };

  /// Working data of one step.
  struct StepContext
  {
    const PlannerView& view_;
    MonotonicTime now_;
    /// With all VMs that are out of service.
    std::map<std::string, PoolCapacity> capacities_{};
    /// The same, but VMs that waves have taken out of service count as
    /// available.
    std::map<std::string, PoolCapacity> unplannedCapacities_{};
    /// Zone and rack in which VMs are in maintenance (one zone per pool and one
    /// rack per zone at a time), and their number by wave.
    std::map<std::string, std::string> zoneOfPool_{};
    std::map<std::string, std::string> rackOfZone_{};
    std::map<std::string, std::int64_t> maintenanceCount_{};
    std::map<std::string, std::vector<std::string>> unavailableVms_{};
    std::vector<PlannerAction> actions_{};
    std::size_t grants_ = 0;
  };

  StepContext MakeStepContext(const PlannerView& aView, MonotonicTime aNow);
  void CountVms(StepContext& aStep) const;
  void CountInMaintenance(StepContext& aStep,
                          const VmRecord& aVm,
                          const std::string& aWave);
  void ForgetVisibleGrants(const PlannerView& aView, MonotonicTime aNow);

  void AdvancePermit(StepContext& aStep,
                     const Permit& aPermit,
                     const VmRecord& aVm);
  void ConfirmWhenDrained(StepContext& aStep,
                          const Permit& aPermit,
                          const VmRecord& aVm);
  void RevokeOverBudget(StepContext& aStep);
  void Revoke(StepContext& aStep,
              const Permit& aPermit,
              const std::string& aReason);

  void GrantNext(StepContext& aStep,
                 const Wave& aWave,
                 const std::vector<const VmRecord*>& aWaiting);
  bool MayGrant(const StepContext& aStep,
                const Wave& aWave,
                const VmRecord& aVm) const;
  /// VMs that wait for their permit, those maintained longest ago first.
  std::vector<const VmRecord*> WaitingVms(const StepContext& aStep,
                                          const Wave& aWave) const;
  bool IsReady(const StepContext& aStep, const VmRecord& aVm) const;

  void AdjustPhase(StepContext& aStep,
                   const Wave& aWave,
                   const std::vector<const VmRecord*>& aWaiting);
  void ProposePhase(StepContext& aStep,
                    const Wave& aWave,
                    WavePhase aPhase,
                    const std::string& aReason);
  /// Why the wave cannot proceed; empty if it can.
  std::string HoldReason(const StepContext& aStep,
                         const Wave& aWave,
                         const std::vector<const VmRecord*>& aWaiting) const;
  std::string HeadroomReason(
    const StepContext& aStep,
    const std::vector<const VmRecord*>& aWaiting) const;
  /// Why a VM in maintenance makes no progress, if the operator has to act;
  /// else empty.
  std::string StuckReason(const StepContext& aStep, const Wave& aWave) const;
  bool IsDrainOverdue(const PoolRow& aRow,
                      const VmRecord& aVm,
                      MonotonicTime aNow) const;
  /// True while the wave has drains that will end in a stop. Such a wave is not
  /// held, as stops are confirmed only in a running wave.
  bool HasDrainsToConfirm(const StepContext& aStep, const Wave& aWave) const;

  bool Propose(StepContext& aStep,
               const std::string& aIntent,
               Command aCommand);
  const std::vector<std::string>& UnavailableOf(StepContext& aStep,
                                                const std::string& aPool) const;

  PlannerLimits limits_;
  WaveLimits waveLimits_;
  DrainTracker drains_;
  ProposalGate gate_;
  ProposalGate rebootRequests_;
  std::optional<MonotonicTime> lastStep_;
  MonotonicTime settledAt_{};
  /// No permits are granted before this time, as grants of a former leader may
  /// not be applied yet.
  MonotonicTime earliestGrantAt_{};
  std::map<std::string, PendingGrant> pendingGrants_;
  std::map<std::string, HoldTimers> holdTimers_;
};

} // namespace acaciahill
