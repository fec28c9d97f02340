#include "workload/scheduler_base.h"

#include "kernel/log_func.h"
#include "workload/placement_obstacle_func.h"
#include "workload/workload_text_func.h"

#include <algorithm>
#include <limits>

// Jobs that would be of no use to their senders, where tenants share the pools.

namespace acaciahill {

namespace {

// A result that takes longer than this many times the objective is of no use.
constexpr double kUsefulObjectives = 3;
// VMs that arrive later than this do not help a job to start in time.
constexpr Millis kArrivalHorizon{ 300 };

} // namespace

// A job that can't be served in time is refused at once: its sender learns it
// and may come back when there is room, and the job takes no room from others.
std::optional<Millis>
Scheduler::RefusalOf(const JobSpec& aSpec,
                     const QueueSpec& aQueue,
                     MonotonicTime aNow)
{
  const auto hasNoObjective =
    aSpec.repeatCount_ > 0 ||
    std::any_of(aSpec.steps_.begin(),
                aSpec.steps_.end(),
                [](const auto& aStep) { return aStep.isLongRunning_; });
  // Estimates of senders are too far off to refuse a job for.
  if (!config_.hasTenants_ || hasNoObjective ||
      !demand_.LearnedRunTime(aSpec.queue_, 0)) {
    return std::nullopt;
  }
  const auto chains = RemainingPathsMs(aSpec, 0);
  const auto longest = *std::max_element(chains.begin(), chains.end());
  const auto planned = RemainingPathsMs(aSpec, kPlanningDeviations);
  const auto slack = aQueue.stretch_ * longest +
                     static_cast<double>(aQueue.latencyMs_) -
                     *std::max_element(planned.begin(), planned.end());
  // Long chains leave no slack by the plan; their objective still allows for
  // its fixed part.
  const auto leastSlack = static_cast<double>(aQueue.latencyMs_) / 2;
  NewJob job;
  job.slack_ = Millis(static_cast<std::int64_t>(std::max(slack, leastSlack)));
  for (const auto& step : aSpec.steps_) {
    if (step.after_.empty()) {
      job.milliCores_ += step.tasks_ * step.need_.milliCores_;
    }
  }
  const bool isBeyondShare =
    !tenantShares_.HasShareLeft(aSpec.tenant_, LogicalNow(aNow));
  const auto& backlog = backlogs_.Get(aQueue.pool_, isBeyondShare, aNow, [&] {
    return BacklogOf(aQueue.pool_, isBeyondShare, aNow);
  });
  if (ShouldAccept(backlog, job)) {
    backlogs_.AddWaiting(aQueue.pool_, isBeyondShare, job.milliCores_);
    return std::nullopt;
  }
  refusedJobs_.Note(aSpec.id_, aNow);
  const auto retryAfter = RetryDelay(backlog, job, isBeyondShare);
  LogInfo("job refused: it would be late",
          { { "job", JobText(aSpec.id_) },
            { "tenant", aSpec.tenant_ },
            { "beyond_share", isBeyondShare },
            { "expected_wait_ms", ExpectedWait(backlog, job).count() },
            { "slack_ms", job.slack_.count() },
            { "waiting_milli_cores", backlog.waitingMilliCores_ },
            { "held_milli_cores", backlog.heldMilliCores_ },
            { "milli_cores", backlog.milliCores_ },
            { "retry_after_ms", retryAfter.count() } });
  return retryAfter;
}

PoolBacklog
Scheduler::BacklogOf(const std::string& aPool,
                     bool aBeyondShare,
                     MonotonicTime aNow) const
{
  PoolBacklog backlog;
  backlog.turnover_ = RunTimeOf(aPool);
  std::int64_t workerMilliCores = 0;
  for (const auto& [number, view] : views_) {
    const auto& worker = *state_.FindWorker(number);
    if (worker.pool_ != aPool) {
      continue;
    }
    std::int64_t longRunningMilliCores = 0;
    for (const auto& [task, run] : view.runs_) {
      const auto reserved = ReservedBy(run).milliCores_;
      (run.isLongRunning_ ? longRunningMilliCores : backlog.heldMilliCores_) +=
        reserved;
    }
    workerMilliCores = std::max(workerMilliCores, worker.capacity_.milliCores_);
    if (!worker.draining_ && !view.evacuating_ && view.missedRenewals_ == 0) {
      backlog.milliCores_ +=
        worker.capacity_.milliCores_ - longRunningMilliCores;
    }
  }
  const auto arriving =
    std::count_if(moves_.begin(), moves_.end(), [&](const auto& aEntry) {
      const auto& move = aEntry.second;
      return move.pool_ == aPool &&
             move.requestedAt_ + kVmArrival <= aNow + kArrivalHorizon;
    });
  backlog.milliCores_ += arriving * workerMilliCores;
  const auto ready = ready_.find(aPool);
  if (ready == ready_.end()) {
    return backlog;
  }
  const auto now = LogicalNow(aNow);
  for (const auto& step : ready->second) {
    const bool isLate = !step.isLongRunning_ && step.latestStartMs_ < now;
    const bool isBehind =
      step.isNotStarted_ && step.isBeyondShare_ && !aBeyondShare;
    if (!isLate && !isBehind) {
      backlog.waitingMilliCores_ +=
        CountWaitingTasks(step) * step.need_.perTask_.milliCores_;
    }
  }
  return backlog;
}

std::uint64_t
Scheduler::ExpiryOf(const JobEntry& aJob,
                    const QueueSpec& aQueue,
                    std::uint32_t aStep) const
{
  const auto& spec = aJob.spec_;
  if (!config_.hasTenants_ || spec.repeatCount_ > 0 ||
      spec.steps_[aStep].isLongRunning_) {
    return std::numeric_limits<std::uint64_t>::max();
  }
  const auto chains = RemainingPathsMs(spec, 0);
  const auto longest = *std::max_element(chains.begin(), chains.end());
  const auto objective =
    aQueue.stretch_ * longest + static_cast<double>(aQueue.latencyMs_);
  const auto useful = kUsefulObjectives * objective - chains[aStep];
  return aJob.acceptedAtMs_ + static_cast<std::uint64_t>(std::max(0.0, useful));
}

std::int64_t
Scheduler::ReserveBesideExpired(const UsableWorkers& aWorkers)
{
  std::int64_t room = 0;
  for (const auto& worker : aWorkers) {
    room += RoomBesideLongRunning(*worker.view_, worker.left_).milliCores_;
  }
  return room / 2;
}

} // namespace acaciahill
