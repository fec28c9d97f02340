#include "workload/idle_run_func.h"

namespace acaciahill {

std::optional<IdleRunCause>
IdleRunCauseOf(const WorkerView& aView, const RunView& aRun, MonotonicTime aNow)
{
  // What is known of the run itself is of no use while its worker is away.
  if (aView.isSuperseded_) {
    return IdleRunCause::WorkerReplaced;
  }
  if (aView.missedRenewals_ > 0) {
    return aRun.isBound_ || aNow < aView.leaseExpiresAt_
             ? IdleRunCause::WorkerSilent
             : IdleRunCause::MayRunOnNext;
  }
  if (!aView.confirmed_) {
    return IdleRunCause::WorkerUnconfirmed;
  }
  switch (aRun.phase_) {
    case RunPhase::CommitPending:
      return IdleRunCause::StartUncommitted;
    case RunPhase::Sent:
      return IdleRunCause::StartUnanswered;
    case RunPhase::Denied:
      return IdleRunCause::StartDenied;
    case RunPhase::Unconfirmed:
      return aRun.stopRequested_ ? IdleRunCause::StopUnconfirmed
                                 : IdleRunCause::StartUnanswered;
    case RunPhase::Running:
      break;
  }
  return aRun.stopRequested_ ? std::optional(IdleRunCause::StopUnconfirmed)
                             : std::nullopt;
}

std::string_view
CauseText(IdleRunCause aCause)
{
  switch (aCause) {
    case IdleRunCause::NoWorker:
      return "no_worker";
    case IdleRunCause::StartUncommitted:
      return "start_uncommitted";
    case IdleRunCause::StartUnanswered:
      return "start_unanswered";
    case IdleRunCause::StartDenied:
      return "start_denied";
    case IdleRunCause::WorkerSilent:
      return "worker_silent";
    case IdleRunCause::MayRunOnNext:
      return "may_run_on_next";
    case IdleRunCause::WorkerReplaced:
      return "worker_replaced";
    case IdleRunCause::WorkerUnconfirmed:
      return "worker_unconfirmed";
    case IdleRunCause::StopUnconfirmed:
      return "stop_unconfirmed";
  }
  return "unknown";
}

void
NoteCause(IdleTask& aTask, IdleRunCause aCause, MonotonicTime aNow)
{
  if (aTask.cause_ == aCause) {
    return;
  }
  if (aNow - aTask.causeSince_ >= aTask.longestTime_) {
    aTask.longestCause_ = aTask.cause_;
    aTask.longestTime_ = aNow - aTask.causeSince_;
  }
  aTask.cause_ = aCause;
  aTask.causeSince_ = aNow;
}

} // namespace acaciahill
