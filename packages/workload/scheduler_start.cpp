#include "workload/scheduler_base.h"

#include "kernel/log_func.h"
#include "workload/workload_text_func.h"

#include <algorithm>

// Start orders. One without an answer may be carried out later, by whichever
// incarnation of the worker is there then. Until it can no longer arrive its
// run stays assigned to that worker, so that any of its orders starts the same
// run.

namespace acaciahill {

namespace {

// Time within which an order is sent after the leader has made it.
constexpr Millis kMaxTransitTime{ 1000 };
// Time for which a worker is avoided after it refused a start because it was
// unavailable or full.
constexpr Millis kAvoidUnavailable{ 1000 };
constexpr Millis kAvoidFull{ 200 };

} // namespace

void
Scheduler::SendStart(const PendingStart& aStart, MonotonicTime aNow)
{
  auto* run = FindRun(aStart.worker_, aStart.task_, aStart.run_);
  if (run == nullptr || run->phase_ != RunPhase::CommitPending) {
    return;
  }
  const auto* worker = state_.FindWorker(aStart.worker_);
  if (run->stopRequested_ || worker->draining_ ||
      views_.at(aStart.worker_).isSuperseded_) {
    RejectRun(aStart.worker_, aStart.task_, aStart.run_, aNow);
    return;
  }
  run->phase_ = RunPhase::Sent;
  run->since_ = aNow;
  run->firstOrderAt_ = run->firstOrderAt_.value_or(aNow);
  const auto* job = state_.FindJob(aStart.task_.job_);
  auto target = MakeTarget(aStart.worker_, aNow);
  run->startFence_ = target.fence_;
  actions_.emplace_back(StartRun{ std::move(target),
                                  aStart.task_,
                                  aStart.run_,
                                  job->spec_.payload_,
                                  CheckpointOf(aStart.task_) });
}

// While the first order may arrive, the task can begin nowhere else.
bool
Scheduler::MayRepeatStart(std::uint32_t aWorker,
                          const RunView& aRun,
                          MonotonicTime aNow) const
{
  return !aRun.isBound_ && !aRun.stopRequested_ &&
         !state_.FindWorker(aWorker)->draining_ &&
         aNow >= views_.at(aWorker).avoidUntil_ &&
         aNow - aRun.repeatedSince_.value_or(aNow) < settings_.maxOrderDelay_;
}

void
Scheduler::RepeatStart(std::uint32_t aWorker,
                       const TaskKey& aTask,
                       std::uint32_t aRun,
                       MonotonicTime aNow)
{
  auto* run = FindRun(aWorker, aTask, aRun);
  if (run == nullptr) {
    return;
  }
  const auto endsBy = std::max(aNow, LastStartArrival(*run));
  LogInfo("repeating a start order that got no answer",
          { { "task", TaskText(aTask) },
            { "run", aRun },
            { "worker", state_.FindWorker(aWorker)->id_ },
            { "order_age_ms",
              run->firstOrderAt_
                ? std::to_string((aNow - *run->firstOrderAt_).count())
                : std::string() },
            { "wait_left_ms", (endsBy - aNow).count() } });
  if (run->isLongRunning_) {
    WatchTask(aTask, aNow);
  }
  run->repeatedSince_ = run->repeatedSince_.value_or(aNow);
  run->assignedAt_ = aNow;
  run->phase_ = RunPhase::CommitPending;
  run->since_ = aNow;
  const bool isGang = StepOf(*state_.FindJob(aTask.job_), aTask.step_).gang_;
  if (run->isTooOld_ && !isGang) {
    // Still on this worker, as an earlier order may start the former run on its
    // next incarnation.
    run->isTooOld_ = false;
    Decide(RunClosed{ aTask, aRun, RunEnd::Rejected, {}, false }, aNow);
    run->run_ = aRun + 1;
    Decide(RunAssigned{ aTask, run->run_, aWorker }, aNow);
  } else {
    // Later leaders have to know how old the last order can be.
    Decide(RunAdopted{ aTask, aRun, aWorker }, aNow);
  }
  nextEffects_.starts_.push_back({ aTask, run->run_, aWorker });
}

void
Scheduler::RejectRun(std::uint32_t aWorker,
                     const TaskKey& aTask,
                     std::uint32_t aRun,
                     MonotonicTime aNow)
{
  auto* run = FindRun(aWorker, aTask, aRun);
  if (run == nullptr) {
    return;
  }
  if (LastStartArrival(*run) > aNow &&
      !IsOver(state_.FindJob(aTask.job_)->phase_)) {
    run->strayStartUntil_ = LastStartArrival(*run);
    run->phase_ = RunPhase::Denied;
    run->since_ = aNow;
    if (run->isLongRunning_) {
      WatchTask(aTask, aNow);
    }
    return;
  }
  CloseRun(aWorker, aTask, aRun, RunEnd::Rejected, {}, aNow);
  placementDue_ = true;
}

void
Scheduler::HandleStart(const StartRun& aOrder,
                       const OrderAnswer& aAnswer,
                       MonotonicTime aNow)
{
  const auto worker = aOrder.target_.worker_;
  if (HandleCommonOutcome(aOrder.target_, aAnswer, aNow)) {
    return;
  }
  auto* run = FindRun(worker, aOrder.task_, aOrder.run_);
  if (run == nullptr) {
    return;
  }
  auto& view = views_.at(worker);
  switch (aAnswer.outcome_) {
    case OrderOutcome::Taken:
      if (run->phase_ == RunPhase::Sent) {
        run->phase_ = RunPhase::Running;
        run->since_ = aNow;
      }
      if (IsOwnClock(view, aAnswer, aNow)) {
        BindRun(*run, aNow);
      }
      return;
    case OrderOutcome::TooOld:
      run->isTooOld_ = true;
      [[fallthrough]];
    case OrderOutcome::Unknown:
      // The order may be carried out seconds later. A renewal under a higher
      // fence prevents that, and its lists tell whether the run has started: a
      // run in progress goes on.
      if (run->phase_ == RunPhase::Sent) {
        ++view.unclearOrders_;
        run->phase_ = RunPhase::Unconfirmed;
        run->since_ = aNow;
        unsettledWorkers_.insert(worker);
      }
      return;
    case OrderOutcome::NoRoom:
      view.avoidUntil_ = std::max(view.avoidUntil_, aNow + kAvoidFull);
      break;
    case OrderOutcome::WorkerUnavailable:
      view.avoidUntil_ = std::max(view.avoidUntil_, aNow + kAvoidUnavailable);
      break;
    default:
      break;
  }
  LogInfo("worker refused a start",
          { { "task", TaskText(aOrder.task_) },
            { "run", aOrder.run_ },
            { "worker", aOrder.target_.id_ },
            { "outcome", static_cast<int>(aAnswer.outcome_) } });
  // This order had no effect; earlier ones without an answer may have one.
  run->phase_ = RunPhase::Denied;
  RejectRun(worker, aOrder.task_, aOrder.run_, aNow);
}

MonotonicTime
Scheduler::LastStartArrival(const RunView& aRun) const
{
  if (aRun.isBound_) {
    return {};
  }
  const auto earlier = aRun.strayStartUntil_.value_or(MonotonicTime{});
  const bool isUnanswered =
    aRun.phase_ == RunPhase::Sent || aRun.phase_ == RunPhase::Unconfirmed;
  return isUnanswered
           ? std::max(earlier,
                      aRun.since_ + kMaxTransitTime + settings_.maxOrderDelay_)
           : earlier;
}

} // namespace acaciahill
