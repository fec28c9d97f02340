#include "workload/scheduler_base.h"

#include "kernel/log_func.h"
#include "workload/lease_time_func.h"
#include "workload/worker_lists_func.h"
#include "workload/workload_text_func.h"

#include <algorithm>

// Workers that are back under their ids. The next incarnation may carry out any
// order to the former one until it has seen its own, higher fence: it has the
// same id and address, and has seen no fence.

namespace acaciahill {

namespace {

// Time from the assignment of a run to the last order with a lease that is sent
// to its worker before the worker counts as silent.
constexpr Millis kMaxSendTime{ 2000 };
// Answers overtake each other by this time at most, else they prove nothing.
constexpr Millis kMaxOvertaking{ 1000 };
// Time after which the platform is asked for the VM of a silent worker with
// runs that a later incarnation may have.
constexpr Millis kMinSilenceToAsk{ 1000 };
// Time for which lists show a VM as up without a worker until none is expected
// to return there.
constexpr Millis kMinVacancy{ 1000 };
// Minimum time between two events that tell later leaders of bound runs.
constexpr Millis kBoundNoteInterval{ 2000 };

} // namespace

void
Scheduler::Supersede(std::uint32_t aFormer, std::uint32_t aNew)
{
  auto& former = views_.at(aFormer);
  former.isSuperseded_ = true;
  former.missedRenewals_ = std::max(former.missedRenewals_, 1);
  superseded_[aNew] = aFormer;
}

// Numbers increase with each incarnation, so that each entry of an id
// supersedes the one before it.
void
Scheduler::RestoreSuperseded()
{
  std::map<std::string, std::uint32_t> lastById;
  for (const auto& [number, worker] : state_.Workers()) {
    const auto [last, isFirst] = lastById.try_emplace(worker.id_, number);
    if (!isFirst) {
      Supersede(last->second, number);
      last->second = number;
    }
  }
}

bool
Scheduler::HoldsNoRuns(std::uint32_t aWorker) const
{
  return views_.at(aWorker).runs_.empty() && !superseded_.contains(aWorker);
}

void
Scheduler::EndIncarnation(std::uint32_t aWorker,
                          std::string_view aReason,
                          MonotonicTime aNow)
{
  auto* view = FindView(aWorker);
  if (view == nullptr) {
    return;
  }
  std::vector<std::tuple<TaskKey, std::uint32_t, std::string>> ended;
  for (const auto& [task, run] : view->runs_) {
    if (run.isBound_) {
      ended.emplace_back(task, run.run_, run.checkpoint_);
    }
  }
  for (const auto& [task, run, checkpoint] : ended) {
    CloseRun(aWorker, task, run, RunEnd::Lost, checkpoint, aNow);
  }
  placementDue_ = true;
  if (HoldsNoRuns(aWorker)) {
    DropWorker(aWorker, aReason, aNow);
    return;
  }
  if (!view->isSuperseded_) {
    LogInfo("worker ended; its next incarnation may carry out its orders",
            { { "worker", state_.FindWorker(aWorker)->id_ },
              { "number", aWorker },
              { "reason", aReason },
              { "runs", view->runs_.size() } });
  }
  view->isSuperseded_ = true;
  view->missedRenewals_ = std::max(view->missedRenewals_, 1);
}

void
Scheduler::TakeOverRuns(std::uint32_t aWorker,
                        const WorkerLists& aLists,
                        MonotonicTime aNow)
{
  for (auto each = superseded_.find(aWorker); each != superseded_.end();
       each = superseded_.find(each->second)) {
    const auto former = each->second;
    LogNextIncarnation(former, aLists);
    std::vector<std::pair<TaskKey, bool>> adopted;
    for (const auto& [task, run] : views_.at(former).runs_) {
      const bool isShown = detail::ShowsRunning(aLists, task, run.run_) ||
                           detail::ShowsEnded(aLists, task, run.run_);
      const bool mayStartLate = LastStartArrival(run) > aNow &&
                                !IsOver(state_.FindJob(task.job_)->phase_);
      if (isShown || (mayStartLate && detail::IsComplete(aLists))) {
        adopted.emplace_back(task, isShown);
      }
    }
    for (const auto& [task, isShown] : adopted) {
      AdoptRun(former, aWorker, task, isShown, aNow);
    }
  }
  if (const auto former = superseded_.find(aWorker);
      former != superseded_.end() && detail::IsComplete(aLists)) {
    const auto number = former->second;
    superseded_.erase(former);
    DropWorker(number, "restarted", aNow);
  }
}

void
Scheduler::AdoptRun(std::uint32_t aFormer,
                    std::uint32_t aWorker,
                    const TaskKey& aTask,
                    bool aIsShown,
                    MonotonicTime aNow)
{
  auto& former = views_.at(aFormer);
  auto& view = views_.at(aWorker);
  const auto& worker = *state_.FindWorker(aWorker);
  const auto& before = former.runs_.at(aTask);
  RunView run;
  run.run_ = before.run_;
  run.phase_ = aIsShown ? RunPhase::Running : RunPhase::Denied;
  // The lists that deny a run also let its start be repeated.
  run.since_ = aIsShown ? before.since_ : MonotonicTime{};
  run.assignedAt_ = before.assignedAt_;
  run.firstOrderAt_ = before.firstOrderAt_;
  run.need_ = before.need_;
  run.isLongRunning_ = before.isLongRunning_;
  run.usesSpareCores_ = before.usesSpareCores_;
  run.targetMs_ = before.targetMs_;
  run.checkpoint_ = before.checkpoint_;
  run.stopRequested_ = before.stopRequested_;
  run.isEviction_ = before.isEviction_;
  run.destination_ = before.stopRequested_ ? before.destination_ : 0;
  run.staleStopFence_ = before.staleStopFence_;
  run.startFence_ = FenceOf(worker);
  // An order that the lists show was the last one.
  run.strayStartUntil_ =
    aIsShown ? before.strayStartUntil_ : LastStartArrival(before);
  if (aIsShown) {
    BindRun(run, aNow);
  }
  former.used_ = Difference(former.used_, ReservedBy(run));
  former.runs_.erase(aTask);
  view.used_ = Sum(view.used_, ReservedBy(run));
  auto& adopted = view.runs_.insert_or_assign(aTask, run).first->second;
  unsettledWorkers_.insert(aWorker);
  Decide(RunAdopted{ aTask, run.run_, aWorker }, aNow);

  const auto& step = StepOf(*state_.FindJob(aTask.job_), aTask.step_);
  const auto& labels = worker.labels_;
  const bool isFit =
    worker.pool_ == state_.FindWorker(aFormer)->pool_ &&
    (step.label_.empty() ||
     std::find(labels.begin(), labels.end(), step.label_) != labels.end());
  if (!isFit || adopted.stopRequested_) {
    RequestStop(aWorker, adopted, isFit && adopted.isEviction_);
  }
}

void
Scheduler::LogNextIncarnation(std::uint32_t aFormer,
                              const WorkerLists& aLists) const
{
  const auto& view = views_.at(aFormer);
  std::size_t running = 0;
  std::size_t ended = 0;
  for (const auto& [task, run] : view.runs_) {
    running += detail::ShowsRunning(aLists, task, run.run_) ? 1 : 0;
    ended += detail::ShowsEnded(aLists, task, run.run_) ? 1 : 0;
  }
  LogInfo("the next incarnation of a worker answers",
          { { "worker", state_.FindWorker(aFormer)->id_ },
            { "former", aFormer },
            { "runs", view.runs_.size() },
            { "unbound", CountUnboundRuns(view) },
            { "runs_on_next", running },
            { "ended_on_next", ended } });
}

bool
Scheduler::MayHoldFormerLease(const WorkerEntry& aWorker,
                              MonotonicTime aNow) const
{
  const auto lateUntil = settings_.maxOrderDelay_ + LongestLease();
  return aWorker.returnedAtMs_ > 0 &&
         LogicalNow(aNow) < aWorker.returnedAtMs_ +
                              static_cast<std::uint64_t>(lateUntil.count());
}

Millis
Scheduler::LongestLease() const
{
  return detail::TimeUntilExpired(settings_.maxLease_);
}

void
Scheduler::BindRun(RunView& aRun, MonotonicTime aNow)
{
  aRun.isBound_ =
    aRun.isBound_ || !aRun.strayStartUntil_ || aNow >= *aRun.strayStartUntil_;
}

void
Scheduler::BindListedRuns(std::uint32_t aWorker,
                          const WorkerLists& aLists,
                          MonotonicTime aNow)
{
  for (const auto& running : aLists.running_) {
    if (auto* run = FindRun(aWorker, running.task_, running.run_)) {
      BindRun(*run, aNow);
    }
  }
}

bool
Scheduler::IsOwnClock(const WorkerView& aView,
                      const OrderAnswer& aAnswer,
                      MonotonicTime aNow)
{
  // A later clock begins anew: near 0 it is behind the time since then, and at
  // any other value it does not continue this one.
  const auto since = detail::TimeUntilExpired(aNow - aView.provenAt_);
  const auto ahead = aAnswer.clockMs_.value_or(0) - aView.provenClockMs_;
  return aAnswer.clockMs_ && *aAnswer.clockMs_ > since.count() &&
         ahead >= -kMaxOvertaking.count() && ahead <= since.count();
}

MonotonicTime
Scheduler::UnboundRunsEndBy(const WorkerView& aView) const
{
  return std::max(aView.leaseExpiresAt_,
                  aView.leaseSentAt_ + settings_.maxOrderDelay_ +
                    LongestLease());
}

// A run that is not bound may be on any later incarnation for as long as its
// orders may arrive, and a VM may be listed as down until the worker there has
// reported itself: only a list from after that time tells.
bool
Scheduler::HasCertainlyEnded(const WorkerView& aView,
                             const RunView& aRun,
                             MonotonicTime aNow) const
{
  if (aView.hasNoSuccessor_) {
    return true;
  }
  const auto absentAt = aView.absentAt_.value_or(MonotonicTime{});
  if (aRun.isBound_) {
    return aNow >= aView.leaseExpiresAt_ || absentAt > aView.lastContactAt_;
  }
  const bool isAnswered = aRun.phase_ == RunPhase::Running;
  const auto arrival = isAnswered ? aRun.since_ + settings_.maxOrderDelay_
                                  : LastStartArrival(aRun);
  return aNow >= UnboundRunsEndBy(aView) ||
         (aNow >= aView.leaseExpiresAt_ && aView.absentAt_ &&
          aRun.phase_ != RunPhase::Sent && absentAt >= arrival);
}

bool
Scheduler::AwaitsAbsence(MonotonicTime aNow) const
{
  return std::any_of(views_.begin(), views_.end(), [&](const auto& aEntry) {
    const auto& view = aEntry.second;
    const auto silentFor = aNow - view.lastContactAt_;
    return view.missedRenewals_ > 0 && !view.runs_.empty() &&
           (silentFor >= settings_.lease_ ||
            (silentFor >= kMinSilenceToAsk && CountUnboundRuns(view) > 0));
  });
}

// An entry that is missing or does not name the worker proves nothing: a list
// may lack VMs that exist, and entries that cannot be decoded.
void
Scheduler::NoteAbsentWorkers(const ListVms& aOrder,
                             const std::vector<VmListing>& aListed,
                             MonotonicTime aNow)
{
  std::map<std::string_view, const VmListing*> byVm;
  for (const auto& listing : aListed) {
    byVm.emplace(listing.vm_, &listing);
  }
  for (auto& [number, view] : views_) {
    if (view.missedRenewals_ == 0) {
      view.absentAt_.reset();
      view.silentListing_.reset();
      view.vacantSince_.reset();
      continue;
    }
    const auto& worker = *state_.FindWorker(number);
    const auto found = byVm.find(worker.vm_);
    if (worker.vm_.empty() || found == byVm.end()) {
      continue;
    }
    const auto& listing = *found->second;
    const bool isVacant = listing.workerId_ && listing.workerId_->empty();
    const bool isOther =
      listing.workerId_ && !isVacant && *listing.workerId_ != worker.id_;
    const bool isAbsent = listing.state_ != VmState::Up || isOther;
    const auto& last = view.silentListing_;
    if (!last || listing.state_ != last->state_ ||
        listing.workerId_ != last->workerId_) {
      LogInfo("the list of VMs shows a silent worker",
              { { "worker", worker.id_ },
                { "vm", worker.vm_ },
                { "absent", isAbsent },
                { "state", static_cast<int>(listing.state_) },
                { "listed_worker", listing.workerId_.value_or("") },
                { "silent_ms", (aNow - view.lastContactAt_).count() },
                { "unbound", CountUnboundRuns(view) } });
    }
    view.silentListing_ = listing;
    if (isAbsent) {
      view.absentAt_ = std::max(view.absentAt_, std::optional(aOrder.sentAt_));
    }
    if (aOrder.sentAt_ > view.lastContactAt_) {
      NoteVmOfSilentWorker(view, listing, worker.id_, aOrder.sentAt_);
    }
  }
}

// A VM whose worker is to return under its id is not listed as up before. One
// list may be read between the start of the process and its report.
void
Scheduler::NoteVmOfSilentWorker(WorkerView& aView,
                                const VmListing& aListing,
                                const std::string& aWorkerId,
                                MonotonicTime aListedAt)
{
  if (aView.vacantSince_ && *aView.vacantSince_ <= aView.lastContactAt_) {
    aView.vacantSince_.reset();
  }
  if (aListing.state_ != VmState::Up || !aListing.workerId_ ||
      *aListing.workerId_ == aWorkerId) {
    aView.vacantSince_.reset();
  } else if (!aListing.workerId_->empty()) {
    aView.hasNoSuccessor_ = true;
  } else {
    aView.vacantSince_ = aView.vacantSince_.value_or(aListedAt);
    aView.hasNoSuccessor_ |= aListedAt - *aView.vacantSince_ >= kMinVacancy;
  }
}

// A report alone is no proof: it may be a late one of an earlier worker.
void
Scheduler::NoteReplacedWorkers(std::uint32_t aWorker)
{
  const auto& worker = *state_.FindWorker(aWorker);
  if (worker.vm_.empty()) {
    return;
  }
  for (auto& [number, view] : views_) {
    const auto& other = *state_.FindWorker(number);
    if (other.vm_ == worker.vm_ && other.id_ != worker.id_ &&
        view.missedRenewals_ > 0 && number < aWorker &&
        other.processStartMs_ < worker.processStartMs_) {
      view.hasNoSuccessor_ = true;
      LogInfo("another worker has the VM of a silent one",
              { { "worker", other.id_ },
                { "vm", other.vm_ },
                { "by", worker.id_ },
                { "runs", view.runs_.size() },
                { "unbound", CountUnboundRuns(view) } });
    }
  }
}

bool
Scheduler::WasBound(const TaskEntry& aTask, MonotonicTime aNow) const
{
  const auto* worker = state_.FindWorker(aTask.worker_);
  const auto unboundFor =
    kMaxSendTime + settings_.maxOrderDelay_ + LongestLease();
  return aTask.assignedAtMs_ <= worker->boundUntilMs_ ||
         LogicalNow(aNow) >
           aTask.assignedAtMs_ + static_cast<std::uint64_t>(unboundFor.count());
}

// Ends of runs carry the same, so that this matters for workers without any.
void
Scheduler::NoteBoundRuns(std::uint32_t aWorker,
                         const RenewLease& aOrder,
                         MonotonicTime aNow)
{
  auto& view = views_.at(aWorker);
  const auto& worker = *state_.FindWorker(aWorker);
  if (aNow - view.boundNotedAt_ < kBoundNoteInterval) {
    return;
  }
  const auto until = BoundUntil(view, aOrder);
  const bool isNew =
    std::any_of(view.runs_.begin(), view.runs_.end(), [&](const auto& aEntry) {
      const auto& run = aEntry.second;
      if (!run.isBound_ || !run.assignedAt_) {
        return false;
      }
      const auto assignedAtMs = LogicalNow(*run.assignedAt_);
      return assignedAtMs > worker.boundUntilMs_ && assignedAtMs <= until;
    });
  if (isNew) {
    view.boundNotedAt_ = aNow;
    Decide(EndsNoted{ aWorker, worker.notedEnds_, until }, aNow);
  }
}

std::uint64_t
Scheduler::BoundUntil(const WorkerView& aView, const RenewLease& aOrder) const
{
  auto until = aOrder.sentAt_;
  for (const auto& [task, run] : aView.runs_) {
    if (!run.isBound_) {
      until = std::min(until, run.assignedAt_.value_or(MonotonicTime{}));
    }
  }
  return until <= startedAt_ ? 0 : LogicalNow(until) - 1;
}

} // namespace acaciahill
