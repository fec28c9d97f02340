#include "workload/scheduler_base.h"

#include "kernel/log_func.h"
#include "workload/workload_text_func.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <vector>

// Renewal and expiry of the workers' leases.

namespace acaciahill {

namespace {

// Time for which a worker holds back its answer to a renewal unless a run ends.
// A silent worker is noticed only after this time, which matters less without
// tasks.
constexpr Millis kRenewalWait{ 500 };
constexpr Millis kIdleRenewalWait{ 1000 };
// Pause after a renewal that reported ended runs, so that the next answer
// reports several at once: a renewal costs more than an ended run.
constexpr Millis kRenewalPause{ 40 };
// Pauses after a renewal without an answer.
constexpr Millis kMinRetryPause{ 10 };
constexpr Millis kMaxRetryPause{ 800 };
// Pause after a renewal that its agent got too late to send.
constexpr Millis kNotGivenPause{ 50 };
// A worker that could be sent no renewal for this time counts as silent.
constexpr Millis kMaxUnsentTime{ 1500 };
// A silent worker without runs is removed after this time; it registers again
// when it comes back.
constexpr Millis kSilentWorkerRetention{ 20000 };
// Minimum time between two probes of one worker.
constexpr Millis kProbeInterval{ 50 };

} // namespace

void
Scheduler::RenewDueLeases(MonotonicTime aNow)
{
  for (auto& [number, view] : views_) {
    if (view.renewalInFlight_ || view.isSuperseded_ ||
        aNow < view.nextRenewalAt_) {
      continue;
    }
    view.renewalInFlight_ = true;
    const bool mayWait = view.confirmed_ && view.missedRenewals_ == 0;
    actions_.emplace_back(RenewLease{ MakeTarget(number, aNow),
                                      view.committedEnds_,
                                      !mayWait             ? Millis(0)
                                      : view.runs_.empty() ? kIdleRenewalWait
                                                           : kRenewalWait,
                                      false,
                                      aNow });
  }
}

// A probe, because the renewal in flight may wait long, and its lists decide
// only about runs whose order was answered before it was sent.
void
Scheduler::ProbeUnconfirmedRuns(MonotonicTime aNow)
{
  for (const auto number : unsettledWorkers_) {
    auto& view = views_.at(number);
    const bool hasUnconfirmed =
      std::any_of(view.runs_.begin(), view.runs_.end(), [](const auto& aEntry) {
        const auto& run = aEntry.second;
        // Runs of a former leader are resolved by the first renewals.
        return (run.phase_ == RunPhase::Unconfirmed &&
                (run.stopAcceptedAt_ ||
                 (!run.stopRequested_ && run.startFence_ > 0))) ||
               (run.staleStopFence_ && *run.staleStopFence_ > 0);
      });
    if (hasUnconfirmed && !view.probeInFlight_ && view.missedRenewals_ == 0 &&
        aNow - view.probeSentAt_ >= kProbeInterval) {
      view.probeInFlight_ = true;
      view.probeSentAt_ = aNow;
      actions_.emplace_back(RenewLease{
        MakeTarget(number, aNow), view.committedEnds_, Millis(0), true, aNow });
    }
  }
}

void
Scheduler::ExpireLeases(MonotonicTime aNow)
{
  std::map<std::uint32_t, std::string_view> gone;
  for (auto& [number, view] : views_) {
    if (view.missedRenewals_ > 0 && !view.runs_.empty()) {
      CloseEndedRuns(number, aNow);
    }
    if (view.leaveReportedAt_ && HoldsNoRuns(number)) {
      gone.emplace(number, "left");
    } else if (view.isSuperseded_ && HoldsNoRuns(number)) {
      gone.emplace(number, "ended");
    } else if (HoldsNoRuns(number) &&
               aNow - view.lastContactAt_ > kSilentWorkerRetention) {
      gone.emplace(number, "silent");
      const auto& zone = state_.FindWorker(number)->zone_;
      if (UnreachableZones().contains(zone)) {
        lostZones_.insert(zone);
      }
    }
  }
  for (const auto& [number, reason] : gone) {
    DropWorker(number, reason, aNow);
  }
  std::erase_if(removedIds_, [this, aNow](const auto& aEntry) {
    return aNow - aEntry.second > settings_.maxOrderDelay_;
  });
}

// A run that is not bound may be on the worker's next incarnation, which
// shortens the lease of an order to the former one to the longest that it
// grants.
void
Scheduler::CloseEndedRuns(std::uint32_t aWorker, MonotonicTime aNow)
{
  const auto& view = views_.at(aWorker);
  std::vector<std::tuple<TaskKey, std::uint32_t, std::string>> ended;
  for (const auto& [task, run] : view.runs_) {
    if (HasCertainlyEnded(view, run, aNow)) {
      ended.emplace_back(task, run.run_, run.checkpoint_);
    }
  }
  if (ended.empty()) {
    return;
  }
  const auto unboundEndBy = UnboundRunsEndBy(view);
  LogWarning(
    "runs of a silent worker have ended",
    { { "worker", state_.FindWorker(aWorker)->id_ },
      { "number", aWorker },
      { "silent_ms", (aNow - view.lastContactAt_).count() },
      { "runs", ended.size() },
      { "unbound", CountUnboundRuns(view) },
      { "unbound_wait_ms", std::max(Millis(0), unboundEndBy - aNow).count() },
      { "lease_left_ms", (view.leaseExpiresAt_ - aNow).count() },
      { "absent", view.absentAt_.has_value() },
      { "no_successor", view.hasNoSuccessor_ },
      { "superseded", view.isSuperseded_ } });
  for (const auto& [task, run, checkpoint] : ended) {
    CloseRun(aWorker, task, run, RunEnd::Lapsed, checkpoint, aNow);
  }
  placementDue_ = true;
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
  (aOrder.isProbe_ ? view->probeInFlight_ : view->renewalInFlight_) = false;
  if (HandleCommonOutcome(aOrder.target_, aAnswer, aNow)) {
    return;
  }
  const bool isOvertaken =
    aAnswer.outcome_ == OrderOutcome::Fenced && !view->refusesFence_;
  const bool isNotGiven = aAnswer.outcome_ == OrderOutcome::NotGiven &&
                          aNow - view->lastContactAt_ <= kMaxUnsentTime;
  if (!aLists && (aOrder.isProbe_ || isOvertaken || isNotGiven)) {
    if (isNotGiven && !aOrder.isProbe_) {
      view->nextRenewalAt_ = aNow + kNotGivenPause;
    }
    return;
  }
  if (!aLists) {
    const auto pause =
      kMinRetryPause * (1 << std::min(view->missedRenewals_, 7));
    view->nextRenewalAt_ = aNow + std::min(pause, kMaxRetryPause);
    if (view->missedRenewals_++ == 0) {
      LogWarning(
        "worker does not answer",
        { { "worker", aOrder.target_.id_ },
          { "runs", view->runs_.size() },
          { "lease_left_ms", (view->leaseExpiresAt_ - aNow).count() } });
    }
    return;
  }
  if (aLists->processStartMs_ &&
      *aLists->processStartMs_ != state_.FindWorker(number)->processStartMs_) {
    LogNextIncarnation(number, *aLists);
    view->nextProcessStartMs_ = aLists->processStartMs_;
    EndIncarnation(number, "restarted", aNow);
    return;
  }
  if (view->isSuperseded_) {
    // A late answer of the former incarnation shows what was carried out there.
    // It is not renewed any more, and stays silent.
    BindListedRuns(number, *aLists, aNow);
    ProcessEndedRuns(number, *aLists, aOrder, aNow);
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
  // From now on the worker refuses orders to its former incarnations.
  if (!view->confirmed_ &&
      MayHoldFormerLease(*state_.FindWorker(number), aNow)) {
    view->leaseExpiresAt_ =
      std::max(view->leaseExpiresAt_, aNow + LongestLease());
  }
  TakeOverRuns(number, *aLists, aNow);
  if (!view->confirmed_) {
    NoteReplacedWorkers(number);
  }
  view->confirmed_ = true;
  if (aLists->processStartMs_ && aOrder.sentAt_ >= view->provenAt_) {
    view->provenAt_ = aOrder.sentAt_;
    view->provenClockMs_ = aLists->clockMs_;
  }
  view->refusesFence_ = false;
  view->missedRenewals_ = 0;
  view->silentListing_.reset();
  view->vacantSince_.reset();
  view->hasNoSuccessor_ = false;
  if (view->leaveReportedAt_ && aOrder.sentAt_ >= *view->leaveReportedAt_) {
    view->leaveReportedAt_.reset();
  }
  if (!aOrder.isProbe_) {
    view->nextRenewalAt_ = aLists->ended_.empty() ? aNow : aNow + kRenewalPause;
  }
  ProcessEndedRuns(number, *aLists, aOrder, aNow);
  ProcessRunningTasks(number, *aLists, aOrder, aNow);
  CheckMissingRuns(number, *aLists, aOrder, aNow);
  NoteBoundRuns(number, aOrder, aNow);
  PaceFillingRuns(number, aNow);
}

} // namespace acaciahill
