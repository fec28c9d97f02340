#include "workload/scheduler_base.h"

#include "kernel/log_func.h"
#include "workload/workload_text_func.h"

#include <algorithm>
#include <set>

// Workers: their registration and their leases.

namespace acaciahill {

namespace {

// Wait of a renewal at the worker; it answers earlier when a run ends. A worker
// that falls silent is noticed at its end, which matters less without tasks.
constexpr Millis kRenewalWait{ 500 };
constexpr Millis kIdleRenewalWait{ 1000 };
// Pause after a renewal that told of ends, so that the next answer tells of
// several at once: a renewal costs more than an end.
constexpr Millis kRenewalPause{ 40 };
// Pauses after a renewal without an answer.
constexpr Millis kFirstRetryPause{ 10 };
constexpr Millis kLongestRetryPause{ 800 };
// A worker without runs that was silent for this time is forgotten; it
// registers again when it comes back.
constexpr Millis kForgetSilent{ 20000 };
// A worker's clock may be this much slow.
constexpr double kClockSlowness = 1.02;
// Added to the end of a lease for times rounded to milliseconds.
constexpr Millis kLeaseMargin{ 100 };
// Looks beside the open renewal, at most this often for one worker.
constexpr Millis kLookInterval{ 50 };
// Ids of ignored workers that are remembered, so that each is logged once.
constexpr std::size_t kMostIgnored = 1000;
// Bits of a fence below the term: the worker's number, and its step. Numbers in
// JSON are exact up to 53 bits, which leaves 21 for the term.
constexpr std::uint64_t kWorkerBits = 20;
constexpr std::uint64_t kStepBits = 12;

} // namespace

WorkerView*
Scheduler::FindView(std::uint32_t aWorker)
{
  const auto found = views_.find(aWorker);
  return found == views_.end() ? nullptr : &found->second;
}

void
Scheduler::AddView(const WorkerEntry& aWorker, MonotonicTime aNow)
{
  auto& view = views_[aWorker.number_];
  view.heardAt_ = aNow;
  view.nextRenewalAt_ = aNow;
  view.committedEnds_ = aWorker.notedEnds_;
  // A former leader may have given a whole lease just now.
  view.leaseOverAt_ =
    aNow + kLeaseMargin +
    Millis(static_cast<std::int64_t>(
      static_cast<double>(settings_.lease_.count()) * kClockSlowness));
}

std::uint32_t
Scheduler::FindWorkerById(const std::string& aId) const
{
  const auto* worker = state_.FindWorkerById(aId);
  return worker == nullptr ? 0 : worker->number_;
}

std::uint32_t
Scheduler::FindWorkerOfVm(const std::string& aVm) const
{
  const auto& workers = state_.Workers();
  const auto found =
    std::find_if(workers.rbegin(), workers.rend(), [&aVm](const auto& aEntry) {
      return aEntry.second.vm_ == aVm;
    });
  return found == workers.rend() ? 0 : found->first;
}

// A higher term, a later life under one id and an order without an answer each
// raise the fence, so that orders from before are refused where a newer one has
// arrived.
std::uint64_t
Scheduler::FenceOf(const WorkerEntry& aWorker) const
{
  return (term_ << (kWorkerBits + kStepBits)) |
         ((aWorker.number_ & ((1U << kWorkerBits) - 1)) << kStepBits) |
         std::min(views_.at(aWorker.number_).fenceStep_, (1U << kStepBits) - 1);
}

OrderTarget
Scheduler::MakeTarget(std::uint32_t aWorker, MonotonicTime aNow)
{
  const auto& worker = *state_.FindWorker(aWorker);
  auto& view = views_.at(aWorker);
  OrderTarget target{
    aWorker, worker.id_, worker.address_, FenceOf(worker), 0
  };
  // A worker that does not answer gets no longer lease: the time by which its
  // runs are certainly over must come.
  if (!view.hasClock_ || view.missedRenewals_ > 0) {
    return target;
  }
  const auto sinceRead = aNow - view.clockAt_;
  target.leaseEndMs_ =
    view.clockMs_ + sinceRead.count() + settings_.lease_.count();
  const auto onWorker =
    static_cast<double>((sinceRead + settings_.lease_).count());
  const auto over =
    view.clockAt_ + kLeaseMargin +
    Millis(static_cast<std::int64_t>(onWorker * kClockSlowness));
  view.leaseOverAt_ = std::max(view.leaseOverAt_, over);
  return target;
}

void
Scheduler::ReadClock(WorkerView& aView,
                     const std::optional<std::int64_t>& aClockMs,
                     MonotonicTime aNow)
{
  if (aClockMs) {
    aView.clockMs_ = *aClockMs;
    aView.clockAt_ = aNow;
    aView.hasClock_ = true;
  }
}

void
Scheduler::ReportWorker(RequestToken aToken,
                        const WorkerReport& aReport,
                        MonotonicTime aNow)
{
  const auto number = FindWorkerById(aReport.worker_.id_);
  const auto* known = state_.FindWorker(number);
  if (known != nullptr &&
      aReport.worker_.processStartMs_ < known->processStartMs_) {
    // Sent by a former life and held up on its way.
    Answer(aToken, RequestOutcome::Accepted);
    return;
  }
  if (known != nullptr &&
      aReport.worker_.processStartMs_ > known->processStartMs_) {
    known = nullptr;
  }
  if (number == 0 && config_.version_ > 0 &&
      !config_.pools_.contains(aReport.worker_.pool_)) {
    if (ignored_.size() < kMostIgnored &&
        ignored_.insert(aReport.worker_.id_).second) {
      LogInfo("ignoring a worker of a pool that is not configured",
              { { "worker", aReport.worker_.id_ },
                { "pool", aReport.worker_.pool_ } });
    }
    Answer(aToken, RequestOutcome::Accepted);
    return;
  }
  auto entry = aReport.worker_;
  if (known == nullptr) {
    entry.number_ = state_.NextWorkerNumber();
    LogInfo("worker registered",
            { { "worker", entry.id_ },
              { "number", entry.number_ },
              { "pool", entry.pool_ },
              { "address", entry.address_ },
              { "rack", entry.rack_ },
              { "draining", entry.draining_ } });
    Decide(WorkerJoined{ entry }, aNow);
    AddView(entry, aNow);
    if (number != 0) {
      Supersede(number, entry.number_);
    }
    AnswerOnCommit(aToken, RequestOutcome::Accepted);
  } else {
    auto& view = views_.at(number);
    if (aReport.sequence_ <= view.sequence_) {
      Answer(aToken, RequestOutcome::Accepted);
      return;
    }
    entry.number_ = number;
    entry.notedEnds_ = known->notedEnds_;
    entry.draining_ = entry.draining_ || known->draining_;
    if (entry.draining_ && !known->draining_) {
      LogInfo("worker is draining",
              { { "worker", entry.id_ },
                { "runs", view.runs_.size() },
                { "leaves_in_ms", aReport.leavesInMs_ } });
    }
    if (entry == *known) {
      Answer(aToken, RequestOutcome::Accepted);
    } else {
      Decide(WorkerJoined{ entry }, aNow);
      AnswerOnCommit(aToken, RequestOutcome::Accepted);
    }
  }
  auto& view = views_.at(entry.number_);
  view.sequence_ = aReport.sequence_;
  view.heardAt_ = aNow;
  if (!view.hasClock_) {
    ReadClock(view, aReport.clockMs_, aNow);
  }
  if (entry.draining_ && !view.leavesAt_) {
    view.leavesAt_ = aNow + Millis(aReport.leavesInMs_);
  }
  placementDue_ = true;
}

// An order to the former life that got no answer may still be carried out by
// the new one, until that has seen its own fence. Only then are the former runs
// closed.
void
Scheduler::Supersede(std::uint32_t aFormer, std::uint32_t aNew)
{
  auto& former = views_.at(aFormer);
  former.isSuperseded_ = true;
  former.missedRenewals_ = std::max(former.missedRenewals_, 1);
  superseded_[aNew] = aFormer;
}

void
Scheduler::RemoveWorker(RequestToken aToken,
                        const std::string& aId,
                        std::optional<std::uint64_t> aBornMs,
                        MonotonicTime aNow)
{
  const auto number = FindWorkerById(aId);
  const auto* known = state_.FindWorker(number);
  if (known != nullptr && (!aBornMs || *aBornMs == known->processStartMs_)) {
    LoseWorker(number, "left", aNow);
  }
  AnswerOnCommit(aToken, RequestOutcome::Accepted);
}

void
Scheduler::LoseWorker(std::uint32_t aWorker,
                      std::string_view aReason,
                      MonotonicTime aNow)
{
  const auto* worker = state_.FindWorker(aWorker);
  if (worker == nullptr) {
    return;
  }
  LogInfo("worker is gone",
          { { "worker", worker->id_ },
            { "number", aWorker },
            { "reason", aReason },
            { "runs", views_.at(aWorker).runs_.size() } });
  if (const auto former = superseded_.extract(aWorker); !former.empty()) {
    LoseWorker(former.mapped(), "began a new life", aNow);
  }
  LoseRuns(aWorker, RunEnd::Lost, aNow);
  views_.erase(aWorker);
  Decide(WorkerLeft{ aWorker }, aNow);
  placementDue_ = true;
}

void
Scheduler::LoseRuns(std::uint32_t aWorker, RunEnd aEnd, MonotonicTime aNow)
{
  auto& view = views_.at(aWorker);
  while (!view.runs_.empty()) {
    const auto& [task, run] = *view.runs_.begin();
    const auto key = task;
    const auto checkpoint = run.checkpoint_;
    CloseRun(aWorker, key, run.run_, aEnd, checkpoint, aNow);
  }
}

void
Scheduler::ForgetSettled()
{
  std::erase_if(unsettled_, [this](std::uint32_t aWorker) {
    const auto* view = FindView(aWorker);
    return view == nullptr ||
           std::none_of(
             view->runs_.begin(), view->runs_.end(), [](const auto& aEntry) {
               return aEntry.second.stopWanted_ ||
                      aEntry.second.phase_ == RunPhase::Unsure;
             });
  });
}

void
Scheduler::RenewDue(MonotonicTime aNow)
{
  for (auto& [number, view] : views_) {
    if (view.renewalOpen_ || view.isSuperseded_ || aNow < view.nextRenewalAt_) {
      continue;
    }
    view.renewalOpen_ = true;
    const bool waits = view.confirmed_ && view.missedRenewals_ == 0;
    actions_.emplace_back(RenewLease{ MakeTarget(number, aNow),
                                      view.committedEnds_,
                                      !waits               ? Millis(0)
                                      : view.runs_.empty() ? kIdleRenewalWait
                                                           : kRenewalWait,
                                      false,
                                      aNow });
  }
}

// The open renewal may wait for long, and its lists count only for what was
// settled before it was sent.
void
Scheduler::LookAtDoubts(MonotonicTime aNow)
{
  for (const auto number : unsettled_) {
    auto& view = views_.at(number);
    const bool hasDoubt =
      std::any_of(view.runs_.begin(), view.runs_.end(), [](const auto& aEntry) {
        const auto& run = aEntry.second;
        // The first renewal of a leader tells of the runs that it took over.
        return run.phase_ == RunPhase::Unsure &&
               (run.stoppedAt_ || (!run.stopWanted_ && run.startFence_ > 0));
      });
    if (hasDoubt && !view.lookOpen_ && view.missedRenewals_ == 0 &&
        aNow - view.lookedAt_ >= kLookInterval) {
      view.lookOpen_ = true;
      view.lookedAt_ = aNow;
      actions_.emplace_back(RenewLease{
        MakeTarget(number, aNow), view.committedEnds_, Millis(0), true, aNow });
    }
  }
}

void
Scheduler::ExpireLeases(MonotonicTime aNow)
{
  std::vector<std::uint32_t> silent;
  for (auto& [number, view] : views_) {
    if (view.missedRenewals_ > 0 && aNow >= view.leaseOverAt_ &&
        !view.runs_.empty()) {
      LogWarning("lease of a silent worker is over",
                 { { "worker", state_.FindWorker(number)->id_ },
                   { "silent_ms", (aNow - view.heardAt_).count() },
                   { "runs", view.runs_.size() } });
      LoseRuns(number, RunEnd::Lapsed, aNow);
      placementDue_ = true;
    }
    if (view.runs_.empty() && aNow - view.heardAt_ > kForgetSilent) {
      silent.push_back(number);
    }
  }
  for (const auto number : silent) {
    LoseWorker(number, "silent", aNow);
  }
}

bool
Scheduler::IsFinal(const OrderTarget& aTarget,
                   const OrderAnswer& aAnswer,
                   MonotonicTime aNow)
{
  const auto number = aTarget.worker_;
  auto* view = FindView(number);
  if (view == nullptr) {
    return true;
  }
  ReadClock(*view, aAnswer.clockMs_, aNow);
  if (aAnswer.outcome_ == OrderOutcome::OtherLife) {
    LoseWorker(number, "another worker answers at its address", aNow);
    return true;
  }
  // An own order with a higher fence may have overtaken this one.
  const bool isOvertaken = aTarget.fence_ < FenceOf(*state_.FindWorker(number));
  if (aAnswer.outcome_ == OrderOutcome::Fenced && !isOvertaken) {
    LogWarning("a worker has seen a higher fence; giving no more orders",
               { { "worker", aTarget.id_ }, { "term", term_ } });
    deposed_ = true;
    return true;
  }
  if (aAnswer.outcome_ != OrderOutcome::Unknown &&
      aAnswer.outcome_ != OrderOutcome::NotGiven) {
    view->heardAt_ = aNow;
  }
  return false;
}

void
Scheduler::HandleRenewal(const RenewLease& aOrder,
                         const OrderAnswer& aAnswer,
                         const std::optional<WorkerLists>& aLists,
                         MonotonicTime aNow)
{
  const auto number = aOrder.target_.worker_;
  auto* view = FindView(number);
  if (view == nullptr) {
    return;
  }
  (aOrder.isLook_ ? view->lookOpen_ : view->renewalOpen_) = false;
  if (IsFinal(aOrder.target_, aAnswer, aNow)) {
    return;
  }
  const bool isOvertaken = aAnswer.outcome_ == OrderOutcome::Fenced;
  const bool isNotGiven = aAnswer.outcome_ == OrderOutcome::NotGiven;
  if (!aLists && (aOrder.isLook_ || isOvertaken || isNotGiven)) {
    return;
  }
  if (!aLists) {
    const auto pause =
      kFirstRetryPause * (1 << std::min(view->missedRenewals_, 7));
    view->nextRenewalAt_ = aNow + std::min(pause, kLongestRetryPause);
    if (view->missedRenewals_++ == 0) {
      LogWarning("worker does not answer",
                 { { "worker", aOrder.target_.id_ },
                   { "runs", view->runs_.size() },
                   { "lease_left_ms", (view->leaseOverAt_ - aNow).count() } });
    }
    return;
  }
  if (aLists->processStartMs_ &&
      *aLists->processStartMs_ != state_.FindWorker(number)->processStartMs_) {
    LoseWorker(number, "began a new life", aNow);
    return;
  }
  if (view->missedRenewals_ > 0) {
    LogInfo("worker answers again",
            { { "worker", aOrder.target_.id_ },
              { "missed", view->missedRenewals_ } });
  }
  if (!view->confirmed_ || view->missedRenewals_ > 0) {
    placementDue_ = true;
  }
  if (const auto former = superseded_.extract(number); !former.empty()) {
    LoseWorker(former.mapped(), "began a new life", aNow);
  }
  view->confirmed_ = true;
  view->missedRenewals_ = 0;
  if (!aOrder.isLook_) {
    view->nextRenewalAt_ = aLists->ended_.empty() ? aNow : aNow + kRenewalPause;
  }
  TakeEnds(number, *aLists, aNow);
  TakeRunning(number, *aLists, aNow);
  CheckMissing(number, *aLists, aOrder, aNow);
  PaceFilling(number, aNow);
}

} // namespace acaciahill
