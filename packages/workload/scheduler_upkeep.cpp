#include "workload/scheduler_base.h"

#include "kernel/log_func.h"
#include "workload/workload_text_func.h"

#include <algorithm>

// Maintenance waves: VMs are emptied within the absence budgets of long-running
// tasks, then taken down with at most the wave's cap of VMs down at once.

namespace acaciahill {

namespace {

// Age at which the platform's list is read again during a wave.
constexpr Millis kListInterval{ 1500 };
// A list that could not be read is asked for again after this time.
constexpr Millis kListRetry{ 500 };
// An order to the platform without an answer is sent again after this time.
constexpr Millis kUpkeepRetry{ 1500 };
// No further VM is emptied for this time after the platform has not answered an
// order; those that are emptied already are ordered again meanwhile.
constexpr Millis kUpkeepUnavailable{ 3000 };
// A VM that is up in a list asked for this long after its order has completed
// maintenance.
constexpr Millis kMinUpkeepTime{ 1000 };
// A VM that lists lack counts as down for this time after its order.
constexpr Millis kUnlistedUpkeepTime{ 5000 };
// VMs of a wave that are emptied in advance, beyond the cap.
constexpr std::size_t kMaxEvacuatedAhead = 1;
// Time from the order until the VM's worker is back; the platform takes 2 s.
constexpr std::uint64_t kUpkeepMs = 2600;
// A wave is planned to take this share of the time until it is due, so that VMs
// that take long to empty do not make it late.
constexpr std::uint64_t kPlannedWavePercent = 60;

/// Logical time in ms at which the wave is planned to be complete.
std::uint64_t
PlannedEnd(const UpkeepWave& aWave)
{
  return aWave.startedAtMs_ +
         (aWave.dueAtMs_ - aWave.startedAtMs_) * kPlannedWavePercent / 100;
}

bool
IsPastPlannedEnd(const UpkeepWave& aWave, std::uint64_t aNowMs)
{
  return PlannedEnd(aWave) <= aNowMs;
}

/// Number of VMs to take down at once: as few as complete the wave by its
/// planned end, to leave headroom in the pools.
std::size_t
MaxVmsDownAtOnce(const UpkeepWave& aWave, std::uint64_t aNowMs)
{
  const auto maxDown =
    static_cast<std::uint64_t>(std::max<std::int64_t>(1, aWave.cap_));
  if (IsPastPlannedEnd(aWave, aNowMs)) {
    return maxDown;
  }
  const auto due = PlannedEnd(aWave);
  const auto work = aWave.pendingVms_.size() * kUpkeepMs;
  return std::clamp<std::uint64_t>(
    (work + (due - aNowMs) - 1) / (due - aNowMs), 1, maxDown);
}

/// Whether an order that got no answer may still take the VM down.
bool
MayGoDown(const VmView& aVm, MonotonicTime aNow)
{
  return aVm.unclearUpkeepUntil_ && aNow < *aVm.unclearUpkeepUntil_;
}

} // namespace

void
Scheduler::RefreshVmList(Millis aMaxAge, MonotonicTime aNow)
{
  if (!vmListInFlight_ && aNow >= vmListRetryAt_ &&
      (!vmListKnown_ || aNow - vmListAt_ >= aMaxAge)) {
    vmListInFlight_ = true;
    actions_.emplace_back(ListVms{ aNow });
  }
}

void
Scheduler::AdvanceWaves(MonotonicTime aNow)
{
  upkeepCandidates_.clear();
  const bool isActive =
    std::any_of(state_.Waves().begin(),
                state_.Waves().end(),
                [](const auto& aEntry) { return !aEntry.second.completed_; });
  const bool isDown =
    std::any_of(vms_.begin(), vms_.end(), [](const auto& aEntry) {
      return aEntry.second.isDown_;
    });
  if (!isActive && !isDown) {
    return;
  }
  RefreshVmList(kListInterval, aNow);
  if (!vmListKnown_) {
    return;
  }
  std::vector<std::pair<std::uint64_t, std::vector<std::string>>> candidates;
  for (const auto& [id, wave] : state_.Waves()) {
    if (!wave.completed_) {
      const auto cap = MaxVmsDownAtOnce(wave, LogicalNow(aNow));
      candidates.emplace_back(
        id, EmptyCandidatesOf(wave, cap + kMaxEvacuatedAhead, aNow));
    }
  }
  // Workers that any wave empties now have no place for the tasks of others.
  auto usable = FindUsableWorkers(aNow);
  for (const auto& [id, vms] : candidates) {
    AdvanceWave(state_.Waves().at(id), vms, usable, aNow);
  }
}

void
Scheduler::HandleVms(const ListVms& aOrder,
                     const std::optional<std::vector<VmListing>>& aVms,
                     MonotonicTime aNow)
{
  vmListInFlight_ = false;
  if (!aVms) {
    LogWarning("cannot read the platform's list of VMs");
    vmListRetryAt_ = aNow + kListRetry;
    return;
  }
  vmListAt_ = aNow;
  vmListKnown_ = true;
  const auto isNewerThanList = [&aOrder](const VmView& aView) {
    return aView.changedAt_ && *aView.changedAt_ >= aOrder.sentAt_;
  };
  std::set<std::string> listed;
  std::size_t outdated = 0;
  for (const auto& listing : *aVms) {
    auto& view = vms_[listing.vm_];
    listed.insert(listing.vm_);
    view.isUnlisted_ = false;
    upkeepDenials_.NoteExists(listing.vm_, aOrder.sentAt_);
    if (isNewerThanList(view)) {
      ++outdated;
      continue;
    }
    view.listing_ = listing;
    // The move completes before the list is read again.
    if (listing.state_ == VmState::Moving) {
      view.listing_.state_ = VmState::Up;
      view.noMoveBefore_ = std::max(view.noMoveBefore_, aNow + kVmArrival);
    }
    if (view.isDown_ && listing.state_ == VmState::Up &&
        aOrder.sentAt_ - view.downSince_ > kMinUpkeepTime) {
      view.isDown_ = false;
    }
  }
  if (outdated > 0) {
    LogInfo("a list of VMs is older than answers to orders",
            { { "vms", listed.size() },
              { "outdated", outdated },
              { "took_ms", (aNow - aOrder.sentAt_).count() } });
  }
  NoteAbsentWorkers(aOrder, *aVms, aNow);
  SettleUnclearMoves(aOrder, *aVms, aNow);
  const auto unlisted = ExpectUnlistedVms(aOrder, listed);
  DropUnlistedVms(aOrder, listed, unlisted);
}

// A list may lack a VM that exists; see ExpectUnlistedVms.
void
Scheduler::DropUnlistedVms(const ListVms& aOrder,
                           const std::set<std::string>& aListed,
                           const std::set<std::string>& aExpected)
{
  missingVms_ = 0;
  for (auto each = vms_.begin(); each != vms_.end();) {
    auto& [vm, view] = *each;
    const bool isKept = aListed.contains(vm) || aExpected.contains(vm) ||
                        IsDownUnlisted(view, aOrder);
    if (!isKept && view.isUnlisted_) {
      each = vms_.erase(each);
      continue;
    }
    if (!isKept) {
      view.isUnlisted_ = true;
      ++missingVms_;
    }
    ++each;
  }
  if (missingVms_ > 0) {
    LogInfo("a list lacks known VMs; it is read again",
            { { "vms", missingVms_ }, { "listed", aListed.size() } });
  }
}

bool
Scheduler::IsDownUnlisted(const VmView& aView, const ListVms& aOrder)
{
  return aView.isDown_ &&
         aOrder.sentAt_ - aView.downSince_ <= kUnlistedUpkeepTime;
}

// A VM that was added while the list was read, an entry that cannot be decoded
// and one that moved between two pages are missing as well. So the platform's
// answer to the order tells whether the VM exists.
std::set<std::string>
Scheduler::ExpectUnlistedVms(const ListVms& aOrder,
                             const std::set<std::string>& aListed)
{
  std::set<std::string> unlisted;
  for (const auto& [id, wave] : state_.Waves()) {
    for (const auto& vm : wave.pendingVms_) {
      if (aListed.contains(vm)) {
        continue;
      }
      unlisted.insert(vm);
      upkeepDenials_.NoteUnlisted(vm, aOrder.sentAt_);
      auto& view = vms_[vm];
      view.listing_.vm_ = vm;
      if (!IsDownUnlisted(view, aOrder)) {
        view.isDown_ = false;
        view.listing_.state_ = VmState::Up;
      }
    }
  }
  if (!unlisted.empty()) {
    LogInfo("a list lacks VMs of a maintenance wave; they are ordered",
            { { "vms", unlisted.size() }, { "first", *unlisted.begin() } });
  }
  return unlisted;
}

std::size_t
Scheduler::CountVmsDown(const UpkeepWave& aWave, MonotonicTime aNow) const
{
  std::size_t down = 0;
  const auto count = [&](const std::string& aVm) {
    const auto view = vms_.find(aVm);
    if (view != vms_.end()) {
      const bool isListedDown = view->second.listing_.state_ == VmState::Upkeep;
      down += view->second.isDown_ || view->second.orderInFlight_ ||
              isListedDown || MayGoDown(view->second, aNow);
    }
  };
  std::for_each(aWave.pendingVms_.begin(), aWave.pendingVms_.end(), count);
  std::for_each(aWave.begunVms_.begin(), aWave.begunVms_.end(), count);
  return down;
}

// VMs that may be taken down next: those that may go down anyway, then those
// with the fewest runs.
std::vector<std::string>
Scheduler::CandidatesOf(const UpkeepWave& aWave, MonotonicTime aNow) const
{
  std::vector<std::pair<std::size_t, std::string>> ranked;
  for (const auto& vm : aWave.pendingVms_) {
    const auto view = vms_.find(vm);
    if (view == vms_.end() || view->second.listing_.state_ != VmState::Up ||
        moves_.contains(vm) || aNow < view->second.noUpkeepBefore_) {
      continue;
    }
    const auto number = FindWorkerOfVm(vm);
    const auto worker = views_.find(number);
    std::size_t cost = 0;
    if (worker != views_.end() && !MayGoDown(view->second, aNow)) {
      // A VM that is already being emptied keeps its place.
      cost = worker->second.evacuating_ ? 1 : 2 + worker->second.runs_.size();
    }
    ranked.emplace_back(cost, vm);
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<std::string> candidates;
  candidates.reserve(ranked.size());
  for (auto& [cost, vm] : ranked) {
    candidates.push_back(std::move(vm));
  }
  return candidates;
}

std::vector<std::string>
Scheduler::EmptyCandidatesOf(const UpkeepWave& aWave,
                             std::size_t aMost,
                             MonotonicTime aNow)
{
  auto candidates = CandidatesOf(aWave, aNow);
  candidates.resize(std::min(candidates.size(), aMost));
  const auto destinations = RoomOfMovingTasks();
  std::erase_if(candidates, [&](const auto& aVm) {
    const auto number = FindWorkerOfVm(aVm);
    auto* worker = FindView(number);
    if (worker == nullptr || worker->evacuating_) {
      return false;
    }
    if (IsUpkeepUnavailable(aNow) || destinations.contains(number)) {
      return true;
    }
    LogInfo("emptying a VM for maintenance",
            { { "vm", aVm },
              { "wave", aWave.id_ },
              { "runs", worker->runs_.size() } });
    worker->evacuating_ = true;
    return false;
  });
  upkeepCandidates_.insert(candidates.begin(), candidates.end());
  return candidates;
}

bool
Scheduler::IsBeingEmptied(const WorkerView& aView)
{
  return std::all_of(
    aView.runs_.begin(), aView.runs_.end(), [](const auto& aEntry) {
      return aEntry.second.stopRequested_;
    });
}

bool
Scheduler::CanBeEmptiedAtOnce(const WorkerView& aView) const
{
  const auto mayStop = [&](const auto& aEntry) {
    const TaskKey& task = aEntry.first;
    const RunView& run = aEntry.second;
    const auto here = std::count_if(
      aView.runs_.begin(), aView.runs_.end(), [&task](const auto& aOther) {
        return IsSameStep(aOther.first, task) && !aOther.second.stopRequested_;
      });
    return run.stopRequested_ ||
           (run.isLongRunning_ && run.phase_ == RunPhase::Running &&
            run.isBound_ &&
            CountUnavailablePeers(task) + here <= AbsenceBudgetOf(task));
  };
  return std::all_of(aView.runs_.begin(), aView.runs_.end(), mayStop);
}

void
Scheduler::EvictLongRunning(std::uint32_t aWorker,
                            UsableByPool& aUsable,
                            bool aNeedsNoPlace)
{
  for (auto& [task, run] : views_.at(aWorker).runs_) {
    // A run that is not bound could begin again on the worker's next
    // incarnation, beside the one on another worker.
    if (!run.isLongRunning_ || run.stopRequested_ || !run.isBound_ ||
        run.phase_ != RunPhase::Running || !IsEvictionWithinBudget(task)) {
      continue;
    }
    run.destination_ = FindDestination(task, aWorker, aUsable);
    if (run.destination_ == 0 && !aNeedsNoPlace) {
      continue;
    }
    const auto* destination = state_.FindWorker(run.destination_);
    LogInfo("moving a task off a VM before maintenance",
            { { "task", TaskText(task) },
              { "run", run.run_ },
              { "vm", state_.FindWorker(aWorker)->vm_ },
              { "to_vm", destination == nullptr ? "" : destination->vm_ },
              { "away", CountUnavailablePeers(task) } });
    RequestStop(aWorker, run, true);
  }
}

void
Scheduler::AdvanceWave(const UpkeepWave& aWave,
                       const std::vector<std::string>& aCandidates,
                       UsableByPool& aUsable,
                       MonotonicTime aNow)
{
  const auto cap = MaxVmsDownAtOnce(aWave, LogicalNow(aNow));
  // A wave past its planned end also takes down VMs whose tasks have no place
  // on another worker; only the absence budgets limit it then.
  const bool isLate = IsPastPlannedEnd(aWave, LogicalNow(aNow));
  auto down = CountVmsDown(aWave, aNow);
  for (const auto& vm : aCandidates) {
    auto& view = vms_.at(vm);
    const auto number = FindWorkerOfVm(vm);
    const auto* worker = FindView(number);
    const bool hasPlace = MayGoDown(view, aNow);
    const bool mayOrder = !view.orderInFlight_ && !view.isDown_ &&
                          (hasPlace || down < cap) &&
                          aNow - view.orderedAt_ >= kUpkeepRetry;
    if (worker != nullptr) {
      const bool needsNoPlace = isLate && mayOrder &&
                                !IsUpkeepUnavailable(aNow) &&
                                CanBeEmptiedAtOnce(*worker);
      EvictLongRunning(number, aUsable, needsNoPlace);
    }
    if (!mayOrder || (worker != nullptr && !IsBeingEmptied(*worker))) {
      continue;
    }
    // A VM whose last tasks are being stopped takes its place in the cap.
    down += hasPlace ? 0 : 1;
    const bool isEmpty = worker == nullptr || HoldsNoRuns(number);
    if (!isEmpty || !vmCalls_.TakeForUpkeep(aNow)) {
      continue;
    }
    view.orderInFlight_ = true;
    view.orderedAt_ = aNow;
    actions_.emplace_back(BeginUpkeep{ vm, aWave.id_, term_, number });
  }
}

void
Scheduler::HandleUpkeep(const BeginUpkeep& aOrder,
                        VmOutcome aOutcome,
                        MonotonicTime aNow)
{
  const auto found = vms_.find(aOrder.vm_);
  if (found == vms_.end()) {
    return;
  }
  auto& view = found->second;
  view.orderInFlight_ = false;
  upkeepUnansweredAt_ =
    aOutcome == VmOutcome::NoAnswer ? std::optional(aNow) : std::nullopt;
  LogInfo("VM maintenance order answered",
          { { "wave", aOrder.wave_ },
            { "vm", aOrder.vm_ },
            { "outcome", static_cast<int>(aOutcome) } });
  switch (aOutcome) {
    case VmOutcome::Begun:
      upkeepDenials_.Forget(aOrder);
      view.unclearUpkeepUntil_.reset();
      view.isDown_ = true;
      view.downSince_ = aNow;
      view.changedAt_ = aNow;
      view.listing_.state_ = VmState::Upkeep;
      Decide(WaveVmBegun{ aOrder.wave_, aOrder.vm_ }, aNow);
      // All runs of that worker have ended. The answer may be about an earlier
      // order, after which the VM is back with a worker that has runs.
      EndIncarnation(aOrder.worker_, "upkeep", aNow);
      return;
    case VmOutcome::NotInWave:
    case VmOutcome::NoSuchVm:
      HandleUpkeepDenial(aOrder, aOutcome, view, aNow);
      return;
    case VmOutcome::Fenced:
      DoubtAuthority("platform, maintenance of " + aOrder.vm_, aNow);
      return;
    case VmOutcome::NoAnswer:
      // The VM may still go down. It counts as down until it is listed as up,
      // and is ordered again then.
      view.isDown_ = true;
      view.downSince_ = aNow;
      view.changedAt_ = aNow;
      view.unclearUpkeepUntil_ = aNow + settings_.maxOrderDelay_;
      return;
    case VmOutcome::NotNow:
      vmCalls_.NoteRefusal(aNow);
      return;
    case VmOutcome::Busy:
      upkeepDenials_.NoteExists(aOrder.vm_, aNow);
      // Others of the wave are taken down first.
      view.noUpkeepBefore_ = aNow + kUpkeepRetry;
      return;
  }
}

void
Scheduler::HandleUpkeepDenial(const BeginUpkeep& aOrder,
                              VmOutcome aDenial,
                              VmView& aView,
                              MonotonicTime aNow)
{
  const auto number = FindWorkerOfVm(aOrder.vm_);
  const auto* worker = FindView(number);
  if (worker != nullptr && worker->confirmed_) {
    upkeepDenials_.NoteExists(aOrder.vm_, worker->lastContactAt_);
  }
  if (upkeepDenials_.Confirm(aOrder, aDenial, aNow)) {
    LogInfo("a VM has no part in a maintenance wave",
            { { "wave", aOrder.wave_ },
              { "vm", aOrder.vm_ },
              { "outcome", static_cast<int>(aDenial) } });
    Decide(WaveVmBegun{ aOrder.wave_, aOrder.vm_ }, aNow);
    return;
  }
  // Its worker has room for tasks until the order is sent again.
  if (worker != nullptr && worker->evacuating_) {
    EndEvacuation(number, "its upkeep was denied", aNow);
  }
  aView.noUpkeepBefore_ =
    std::max(aView.noUpkeepBefore_, aNow + upkeepDenials_.PauseOf(aOrder));
}

bool
Scheduler::IsUpkeepUnavailable(MonotonicTime aNow) const
{
  return upkeepUnansweredAt_ &&
         aNow - *upkeepUnansweredAt_ < kUpkeepUnavailable;
}

} // namespace acaciahill
