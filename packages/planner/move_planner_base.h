#pragma once

#include "planner/availability_func.h"
#include "planner/burst_meter_base.h"
#include "planner/drain_tracker_base.h"
#include "planner/planner_type.h"
#include "planner/proposal_gate_base.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace acaciahill {

/// Time limits and counts of the move planner.
struct MoveLimits
{
  /// A command is not proposed again within this time.
  Millis retryAfter_{ 3000 };
  /// Time for which a pool must have too few or too many VMs before a move.
  Millis stabilizationTime_{ 5000 };
  /// Time after the first step, or after a gap between steps, in which no move
  /// is begun or aborted, as evidence and load may not have been collected yet.
  Millis settleTime_{ 10000 };
  /// Time for which a VM is not chosen again after its drain timed out.
  Millis avoidFor_{ 300000 };
  /// Maximum concurrent moves into a pool, and likewise out of it.
  std::int64_t movesPerPool_ = 3;

  bool operator==(const MoveLimits&) const = default;
};

/// Keeps each pool at its configured size with VMs of the spare pools, and
/// moves spare VMs to overloaded pools if their value exceeds the price of the
/// moves. Not thread-safe.
class MovePlanner
{
public:
  explicit MovePlanner(PlannerLimits aLimits, MoveLimits aMoveLimits = {});

  std::vector<PlannerAction> Step(const PlannerView& aView, MonotonicTime aNow);

private:
  /// A move that was proposed and is not visible in the fleet yet.
  struct PendingMove
  {
    std::string to_;
    std::uint64_t epoch_ = 0;
    MonotonicTime proposedAt_{};
  };

  /// State of a pool that is kept between steps.
  struct PoolHistory
  {
    BurstMeter meter_;
    /// VMs borrowed for a burst and not returned yet.
    std::int64_t borrowed_ = 0;
    std::optional<MonotonicTime> deficitSince_;
    std::optional<MonotonicTime> surplusSince_;
  };

  /// State of a pool within one step. vmCount_ excludes lost VMs and VMs that
  /// are moving out, and includes VMs that are moving in.
  struct PoolContext
  {
    const PoolRow* row_ = nullptr;
    std::int64_t vmCount_ = 0;
    std::int64_t desiredVms_ = 0;
    std::int64_t movesIn_ = 0;
    std::int64_t movesOut_ = 0;
    std::int64_t slotCount_ = 0;
    /// Available members that are neither moving nor avoided.
    std::vector<const VmRecord*> movableVms_{};
  };

  /// Number of VMs of a pool in each zone and rack once all moves are done.
  struct VmDistribution
  {
    std::map<std::string, std::int64_t> vmsByZone_;
    std::map<RackKey, std::int64_t> vmsByRack_;
  };

  struct StepContext
  {
    const PlannerView& view_;
    MonotonicTime now_;
    std::map<std::string, PoolCapacity> capacities_{};
    std::map<std::string, PoolContext> pools_{};
    std::vector<PlannerAction> actions_{};
  };

  StepContext MakeStepContext(const PlannerView& aView, MonotonicTime aNow);
  void CountMove(StepContext& aStep,
                 const VmRecord& aVm,
                 const std::string& aTo);
  void ForgetVisible(const PlannerView& aView, MonotonicTime aNow);
  void SetDesiredVms(StepContext& aStep, Millis aElapsed);
  void CompleteMoves(StepContext& aStep);
  void AbortMoves(StepContext& aStep);
  bool HasDrainTimedOut(const StepContext& aStep, const VmRecord& aVm) const;
  std::string AbortReason(const StepContext& aStep, const VmRecord& aVm) const;

  void FillDeficits(StepContext& aStep);
  void BorrowForBursts(StepContext& aStep);
  void ReturnSurplus(StepContext& aStep);

  /// Begins the best move into a pool from the first donor that can give a VM;
  /// false if there is none.
  bool BeginBestMove(StepContext& aStep,
                     const std::vector<std::string>& aDonors,
                     const std::string& aTo,
                     const std::string& aReason);
  VmDistribution DistributionOf(const StepContext& aStep,
                                const std::string& aPool) const;
  const VmRecord* BestVm(const StepContext& aStep,
                         const std::string& aFrom,
                         const std::string& aTo) const;
  std::vector<std::string> SparePools(const StepContext& aStep) const;
  /// Pools above their configured size if borrowed VMs are included, else pools
  /// with more VMs than they need.
  std::vector<std::string> PoolsWithSurplus(const StepContext& aStep,
                                            bool aIncludeBorrowed) const;

  bool Propose(StepContext& aStep,
               const std::string& aIntent,
               Command aCommand);

  PlannerLimits limits_;
  MoveLimits moveLimits_;
  DrainTracker drains_;
  ProposalGate gate_;
  ProposalGate avoidedVms_;
  std::optional<MonotonicTime> lastStep_;
  MonotonicTime settledAt_{};
  std::map<std::string, PendingMove> pendingMoves_;
  std::map<std::string, PoolHistory> poolHistory_;
};

} // namespace acaciahill
