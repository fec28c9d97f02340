#include "workload/scheduler_base.h"

#include "kernel/log_func.h"
#include "workload/lease_time_func.h"
#include "workload/order_answer_func.h"
#include "workload/workload_text_func.h"

#include <algorithm>

// Registration and removal of workers, and what all their answers have in
// common. Leases are renewed in scheduler_lease.cpp.

namespace acaciahill {

namespace {

// Ids of ignored workers are kept up to this number to log each one once.
constexpr std::size_t kMaxIgnoredWorkers = 1000;
// Bits of a fence below the term: the worker's number, then its unclear
// orders. JSON numbers are exact up to 53 bits, which leaves 21 for the term.
constexpr std::uint64_t kWorkerBits = 20;
constexpr std::uint64_t kUnclearOrderBits = 12;

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
  view.lastContactAt_ = aNow;
  view.nextRenewalAt_ = aNow;
  view.committedEnds_ = aWorker.notedEnds_;
  // A former leader may have granted a whole lease just now.
  view.leaseSentAt_ = aNow;
  view.leaseExpiresAt_ =
    aNow + (MayHoldFormerLease(aWorker, aNow)
              ? LongestLease()
              : detail::TimeUntilExpired(settings_.lease_));
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

// A higher term, a newer incarnation under the same id and an order whose
// outcome is unclear each raise the fence, so that a worker refuses older
// orders once a newer one has arrived.
std::uint64_t
Scheduler::FenceOf(const WorkerEntry& aWorker) const
{
  return (term_ << (kWorkerBits + kUnclearOrderBits)) |
         ((aWorker.number_ & ((1U << kWorkerBits) - 1)) << kUnclearOrderBits) |
         std::min(views_.at(aWorker.number_).unclearOrders_,
                  (1U << kUnclearOrderBits) - 1);
}

OrderTarget
Scheduler::MakeTarget(std::uint32_t aWorker, MonotonicTime aNow)
{
  const auto& worker = *state_.FindWorker(aWorker);
  auto& view = views_.at(aWorker);
  OrderTarget target{
    aWorker, worker.id_, worker.address_, FenceOf(worker), 0
  };
  // The lease of a worker that does not answer is not extended, so that its
  // lease expires and its runs can be closed.
  if (!view.hasClock_ || view.missedRenewals_ > 0) {
    return target;
  }
  const auto sinceRead = aNow - view.clockAt_;
  target.leaseEndMs_ =
    view.clockMs_ + sinceRead.count() + settings_.lease_.count();
  const auto expiresAt =
    view.clockAt_ + detail::TimeUntilExpired(sinceRead + settings_.lease_);
  view.leaseExpiresAt_ = std::max(view.leaseExpiresAt_, expiresAt);
  view.leaseSentAt_ = aNow;
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
  // Another writer may report under the id of a worker.
  const bool namesOtherPool =
    known == nullptr || known->pool_ != aReport.worker_.pool_;
  const auto processStartMs = aReport.worker_.processStartMs_;
  const bool isNext = known != nullptr &&
                      (processStartMs > known->processStartMs_ ||
                       views_.at(number).nextProcessStartMs_ == processStartMs);
  if (known != nullptr && !isNext && processStartMs < known->processStartMs_) {
    // A delayed report of a former incarnation.
    Answer(aToken, RequestOutcome::Accepted);
    return;
  }
  if (isNext) {
    known = nullptr;
  }
  if (namesOtherPool && config_.version_ > 0 &&
      !config_.pools_.contains(aReport.worker_.pool_)) {
    if (ignoredWorkers_.size() < kMaxIgnoredWorkers &&
        ignoredWorkers_.insert(aReport.worker_.id_).second) {
      LogInfo("ignoring a worker of an unknown pool",
              { { "worker", aReport.worker_.id_ },
                { "pool", aReport.worker_.pool_ } });
    }
    Answer(aToken, RequestOutcome::Accepted);
    return;
  }
  auto entry = aReport.worker_;
  if (known == nullptr) {
    entry.number_ = state_.NextWorkerNumber();
    // A new leader does not know which workers were removed before it.
    const bool mayBeBack =
      baseMs_ > 0 && aNow - startedAt_ <= settings_.maxOrderDelay_;
    if (number != 0 || removedIds_.contains(entry.id_) || mayBeBack) {
      entry.returnedAtMs_ = LogicalNow(aNow);
    }
    LogInfo("worker registered",
            { { "worker", entry.id_ },
              { "number", entry.number_ },
              { "pool", entry.pool_ },
              { "address", entry.address_ },
              { "rack", entry.rack_ },
              { "draining", entry.draining_ },
              { "former", number },
              { "clock_ms", aReport.clockMs_ } });
    Decide(WorkerJoined{ entry }, aNow);
    AddView(entry, aNow);
    NotePoolOfVm(entry.vm_, entry.pool_, aNow);
    lostZones_.erase(entry.zone_);
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
    entry.boundUntilMs_ = known->boundUntilMs_;
    entry.returnedAtMs_ = known->returnedAtMs_;
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
  view.lastContactAt_ = aNow;
  if (!view.hasClock_) {
    ReadClock(view, aReport.clockMs_, aNow);
  }
  if (entry.draining_ && !view.leavesAt_) {
    view.leavesAt_ = aNow + Millis(aReport.leavesInMs_);
  }
  placementDue_ = true;
}

// A request that names no incarnation may be a delayed one of a former
// incarnation. It proves nothing about runs that are assigned now: they are
// closed by the worker's own lists, or once its lease has certainly expired.
void
Scheduler::RemoveWorker(RequestToken aToken,
                        const std::string& aId,
                        std::optional<std::uint64_t> aProcessStartMs,
                        MonotonicTime aNow)
{
  AnswerOnCommit(aToken, RequestOutcome::Accepted);
  const auto number = FindWorkerById(aId);
  const auto* known = state_.FindWorker(number);
  if (known == nullptr ||
      (aProcessStartMs && *aProcessStartMs != known->processStartMs_)) {
    return;
  }
  auto& view = views_.at(number);
  if (aProcessStartMs || (known->draining_ && HoldsNoRuns(number))) {
    EndIncarnation(number, "left", aNow);
    return;
  }
  LogInfo("a leave that names no incarnation does not close runs",
          { { "worker", aId },
            { "number", number },
            { "draining", known->draining_ },
            { "runs", view.runs_.size() },
            { "lease_left_ms", (view.leaseExpiresAt_ - aNow).count() } });
  if (known->draining_) {
    view.leaveReportedAt_ = aNow;
  }
}

void
Scheduler::DropWorker(std::uint32_t aWorker,
                      std::string_view aReason,
                      MonotonicTime aNow)
{
  const auto* worker = state_.FindWorker(aWorker);
  if (worker == nullptr) {
    return;
  }
  LogInfo("worker removed",
          { { "worker", worker->id_ },
            { "number", aWorker },
            { "reason", aReason },
            { "runs", views_.at(aWorker).runs_.size() } });
  if (const auto former = superseded_.extract(aWorker); !former.empty()) {
    DropWorker(former.mapped(), "restarted", aNow);
  }
  CloseRunsOfWorker(aWorker, RunEnd::Lost, aNow);
  std::erase_if(superseded_, [aWorker](const auto& aEntry) {
    return aEntry.second == aWorker;
  });
  removedIds_[worker->id_] = aNow;
  views_.erase(aWorker);
  Decide(WorkerLeft{ aWorker }, aNow);
  placementDue_ = true;
}

void
Scheduler::CloseRunsOfWorker(std::uint32_t aWorker,
                             RunEnd aEnd,
                             MonotonicTime aNow)
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
Scheduler::PruneUnsettledWorkers()
{
  std::erase_if(unsettledWorkers_, [this](std::uint32_t aWorker) {
    const auto* view = FindView(aWorker);
    return view == nullptr ||
           std::none_of(
             view->runs_.begin(), view->runs_.end(), [](const auto& aEntry) {
               return aEntry.second.stopRequested_ ||
                      aEntry.second.staleStopFence_ ||
                      aEntry.second.phase_ == RunPhase::Unconfirmed;
             });
  });
}

// An order of this leader with a higher fence may have arrived first: a later
// one, or one to the worker's next incarnation, which has the same address.
bool
Scheduler::IsOvertaken(const WorkerView& aView,
                       std::uint64_t aFence,
                       const WorkerEntry& aWorker) const
{
  return aView.isSuperseded_ || aFence < FenceOf(aWorker);
}

void
Scheduler::HandleUnexplainedFence(const OrderTarget& aTarget,
                                  MonotonicTime aNow)
{
  auto& view = views_.at(aTarget.worker_);
  // One worker that refuses all orders must not keep suspending this leader.
  if (!view.refusesFence_) {
    DoubtAuthority(aTarget.id_, aNow);
  }
  view.refusesFence_ = true;
  view.missedRenewals_ = std::max(view.missedRenewals_, 1);
}

bool
Scheduler::HandleCommonOutcome(const OrderTarget& aTarget,
                               const OrderAnswer& aAnswer,
                               MonotonicTime aNow)
{
  const auto number = aTarget.worker_;
  auto* view = FindView(number);
  if (view == nullptr) {
    return true;
  }
  ReadClock(*view, aAnswer.clockMs_, aNow);
  if (aAnswer.outcome_ == OrderOutcome::OtherIncarnation) {
    DropWorker(number, "another worker answers at its address", aNow);
    return true;
  }
  if (aAnswer.outcome_ == OrderOutcome::Fenced &&
      !IsOvertaken(*view, aTarget.fence_, *state_.FindWorker(number))) {
    HandleUnexplainedFence(aTarget, aNow);
  }
  if (IsFromWorker(aAnswer)) {
    view->lastContactAt_ = aNow;
  }
  return false;
}

} // namespace acaciahill
