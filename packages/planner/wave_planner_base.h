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

/// Times of the wave planner.
struct WaveLimits
{
  /// A command is not proposed again within this time.
  Millis retryAfter_{ 3000 };
  /// Interval at which a reboot is asked for again.
  Millis rebootRetryInterval_{ 5000 };
  /// Time for which a cause must last before a running wave is held.
  Millis holdAfter_{ 5000 };
  /// Time for which the headroom must be back before a held wave resumes.
  Millis resumeAfter_{ 10000 };
  /// Time after the first step, or after a gap between steps, in which missing
  /// evidence revokes and holds nothing, as it may not have been collected yet.
  Millis settleTime_{ 10000 };
  std::size_t grantsPerStep_ = 16;

  bool operator==(const WaveLimits&) const = default;
};

/// Runs maintenance waves: grants permits by the headroom there is now, follows
/// the drains, confirms the stops, asks for the reboots, and holds and resumes
/// waves by itself. Not thread-safe.
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

  /// How long a wave has had, or has not had, a reason to be held.
  struct HoldTimers
  {
    std::optional<MonotonicTime> blockedSince_;
    std::optional<MonotonicTime> freeSince_;
  };

  /// What one step works with.
  struct StepContext
  {
    const PlannerView& view_;
    MonotonicTime now_;
    /// With everything that is out.
    std::map<std::string, PoolCapacity> capacities_{};
    /// Without what waves have taken out themselves.
    std::map<std::string, PoolCapacity> unplannedCapacities_{};
    /// VMs under work of a wave, and where: one zone for each pool and one rack
    /// for each zone at a time.
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
  /// VMs that still wait for their permit, the oldest maintained first.
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
  /// Why the wave cannot go on; empty when it can.
  std::string HoldReason(const StepContext& aStep,
                         const Wave& aWave,
                         const std::vector<const VmRecord*>& aWaiting) const;
  std::string HeadroomReason(
    const StepContext& aStep,
    const std::vector<const VmRecord*>& aWaiting) const;
  /// Why a VM in work does not get on, when the operator has to act; empty
  /// otherwise.
  std::string StuckReason(const StepContext& aStep, const Wave& aWave) const;
  bool IsDrainOverdue(const PoolRow& aRow,
                      const VmRecord& aVm,
                      MonotonicTime aNow) const;
  /// True while the wave has drains that will end in a stop; stops are
  /// confirmed only in a running wave.
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
  /// Grants of a former leader may be on their way until then.
  MonotonicTime earliestGrantAt_{};
  std::map<std::string, PendingGrant> pendingGrants_;
  std::map<std::string, HoldTimers> holdTimers_;
};

} // namespace acaciahill
