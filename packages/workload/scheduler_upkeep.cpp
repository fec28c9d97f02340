#include "workload/scheduler_base.h"

#include "kernel/log_func.h"
#include "workload/workload_text_func.h"

#include <algorithm>

// Waves of upkeep: VMs are emptied within the budgets of the tasks that last,
// and go down while at most as many of their wave are down as it allows.

namespace acaciahill {

namespace {

// Age at which the platform's list is read again while a wave needs it.
constexpr Millis kListInterval{ 1500 };
// An order to the platform that got no answer is sent again after this time.
constexpr Millis kUpkeepRetry{ 1500 };
// A VM in upkeep that is listed as up this long after its order is back.
constexpr Millis kLeastDown{ 1000 };
// VMs of one wave that are emptied ahead of their turn, beyond the cap.
constexpr std::size_t kEmptiedAhead = 1;
// Time from the order to the new life of a VM; the platform takes 2 s.
constexpr std::uint64_t kUpkeepMs = 2600;
// A wave is to be done in this share of its time, in percent, so that VMs which
// cannot be emptied soon do not make it late.
constexpr std::uint64_t kWaveShare = 60;

/// Logical time at which the wave is planned to be done.
std::uint64_t
PlannedEnd(const UpkeepWave& aWave)
{
  return aWave.startedAtMs_ +
         (aWave.dueAtMs_ - aWave.startedAtMs_) * kWaveShare / 100;
}

bool
ShareIsOver(const UpkeepWave& aWave, std::uint64_t aNowMs)
{
  return PlannedEnd(aWave) <= aNowMs;
}

/// VMs that go down at once: few enough to leave the pools their headroom, and
/// enough to be done in time.
std::size_t
AtOnce(const UpkeepWave& aWave, std::uint64_t aNowMs)
{
  const auto most =
    static_cast<std::uint64_t>(std::max<std::int64_t>(1, aWave.cap_));
  if (ShareIsOver(aWave, aNowMs)) {
    return most;
  }
  const auto due = PlannedEnd(aWave);
  const auto work = aWave.pendingVms_.size() * kUpkeepMs;
  return std::clamp<std::uint64_t>(
    (work + (due - aNowMs) - 1) / (due - aNowMs), 1, most);
}

} // namespace

void
Scheduler::AdvanceWaves(MonotonicTime aNow)
{
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
  if (!vmListOpen_ && (!vmListKnown_ || aNow - vmListAt_ >= kListInterval)) {
    vmListOpen_ = true;
    actions_.emplace_back(ListVms{});
  }
  if (!vmListKnown_) {
    return;
  }
  for (const auto& [id, wave] : state_.Waves()) {
    if (!wave.completed_) {
      AdvanceWave(wave, aNow);
    }
  }
}

void
Scheduler::HandleVms(const std::optional<std::vector<VmListing>>& aVms,
                     MonotonicTime aNow)
{
  vmListOpen_ = false;
  vmListAt_ = aNow;
  if (!aVms) {
    LogWarning("the platform's list of VMs cannot be read");
    return;
  }
  vmListKnown_ = true;
  std::set<std::string> listed;
  for (const auto& listing : *aVms) {
    auto& view = vms_[listing.vm_];
    view.listing_ = listing;
    // The list is not read again for some time, and the move ends before.
    if (listing.state_ == VmState::Moving) {
      view.listing_.state_ = VmState::Up;
      view.restUntil_ = std::max(view.restUntil_, aNow + kVmArrival);
    }
    listed.insert(listing.vm_);
    if (view.isDown_ && listing.state_ == VmState::Up &&
        aNow - view.downSince_ > kLeastDown) {
      view.isDown_ = false;
    }
  }
  std::erase_if(vms_, [&listed](const auto& aEntry) {
    return !listed.contains(aEntry.first);
  });
  // A VM that is gone for good needs no upkeep.
  std::vector<WaveVmBegun> gone;
  for (const auto& [id, wave] : state_.Waves()) {
    for (const auto& vm : wave.pendingVms_) {
      if (!listed.contains(vm)) {
        gone.push_back({ id, vm });
      }
    }
  }
  for (const auto& event : gone) {
    LogInfo("VM of a wave is gone",
            { { "wave", event.wave_ }, { "vm", event.vm_ } });
    Decide(event, aNow);
  }
}

std::size_t
Scheduler::CountDown(const UpkeepWave& aWave) const
{
  std::size_t down = 0;
  const auto count = [&](const std::string& aVm) {
    const auto view = vms_.find(aVm);
    if (view != vms_.end()) {
      const bool isListedDown = view->second.listing_.state_ == VmState::Upkeep;
      down += view->second.isDown_ || view->second.orderOpen_ || isListedDown;
    }
  };
  std::for_each(aWave.pendingVms_.begin(), aWave.pendingVms_.end(), count);
  std::for_each(aWave.begunVms_.begin(), aWave.begunVms_.end(), count);
  return down;
}

// VMs that may go down next: those with the least to lose first.
std::vector<std::string>
Scheduler::CandidatesOf(const UpkeepWave& aWave) const
{
  std::vector<std::pair<std::size_t, std::string>> ranked;
  for (const auto& vm : aWave.pendingVms_) {
    const auto view = vms_.find(vm);
    if (view == vms_.end() || view->second.listing_.state_ != VmState::Up ||
        moves_.contains(vm)) {
      continue;
    }
    const auto number = FindWorkerOfVm(vm);
    const auto worker = views_.find(number);
    std::size_t cost = 0;
    if (worker != views_.end()) {
      // One that is being emptied already keeps its turn.
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

void
Scheduler::AdvanceWave(const UpkeepWave& aWave, MonotonicTime aNow)
{
  const auto cap = AtOnce(aWave, LogicalNow(aNow));
  // A wave that runs late does not wait for room: the budgets alone bind then.
  const bool isLate = ShareIsOver(aWave, LogicalNow(aNow));
  const auto usable = UsableWorkers(aNow);
  auto down = CountDown(aWave);
  auto turns = cap + kEmptiedAhead;
  for (const auto& vm : CandidatesOf(aWave)) {
    if (turns-- == 0) {
      return;
    }
    auto& view = vms_.at(vm);
    const auto number = FindWorkerOfVm(vm);
    auto* worker = FindView(number);
    if (worker != nullptr) {
      worker->evacuating_ = true;
      for (auto& [task, run] : worker->runs_) {
        if (run.isLongRunning_ && !run.stopWanted_ &&
            run.phase_ == RunPhase::Running && MayTakeAway(task) &&
            (isLate || HasPlaceElsewhere(task, number, usable))) {
          LogInfo("moving a task off a VM before its upkeep",
                  { { "task", TaskText(task) },
                    { "run", run.run_ },
                    { "vm", vm },
                    { "away", AwayOf(task) } });
          run.stopWanted_ = true;
          unsettled_.insert(number);
        }
      }
    }
    const bool isEmpty = worker == nullptr || worker->runs_.empty();
    if (!isEmpty || view.orderOpen_ || view.isDown_ || down >= cap ||
        aNow - view.orderedAt_ < kUpkeepRetry) {
      continue;
    }
    ++down;
    view.orderOpen_ = true;
    view.orderedAt_ = aNow;
    actions_.emplace_back(BeginUpkeep{ vm, aWave.id_, term_ });
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
  view.orderOpen_ = false;
  LogInfo("upkeep of a VM",
          { { "wave", aOrder.wave_ },
            { "vm", aOrder.vm_ },
            { "outcome", static_cast<int>(aOutcome) } });
  switch (aOutcome) {
    case VmOutcome::Begun: {
      view.isDown_ = true;
      view.downSince_ = aNow;
      view.listing_.state_ = VmState::Upkeep;
      Decide(WaveVmBegun{ aOrder.wave_, aOrder.vm_ }, aNow);
      // Whatever ran there has ended.
      const auto number = FindWorkerOfVm(aOrder.vm_);
      if (FindView(number) != nullptr) {
        LoseWorker(number, "upkeep", aNow);
      }
      return;
    }
    case VmOutcome::NotInWave:
    case VmOutcome::NoSuchVm:
      Decide(WaveVmBegun{ aOrder.wave_, aOrder.vm_ }, aNow);
      return;
    case VmOutcome::Fenced:
      deposed_ = true;
      return;
    case VmOutcome::NoAnswer:
      // It may go down at any moment, and counts as down until it is seen up.
      view.isDown_ = true;
      view.downSince_ = aNow;
      return;
    case VmOutcome::Busy:
    case VmOutcome::NotNow:
      return;
  }
}

} // namespace acaciahill
