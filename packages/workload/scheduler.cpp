#include "workload/scheduler_base.h"

#include "kernel/log_func.h"
#include "workload/workload_text_func.h"

#include <algorithm>

// Requests, batches of events and time.

namespace acaciahill {

namespace {

// Two batches keep the log busy while the events of a third are collected, so
// that more events share one disk sync.
constexpr std::size_t kMaxBatchesInFlight = 2;
constexpr Millis kEndedJobsCheckInterval{ 1000 };
// Occurrences of one job that are begun at once, and that may be unfinished: a
// job may be overdue by any number of them. Their tasks are kept one by one.
constexpr std::uint32_t kMaxOccurrencesAtOnce = 100;
constexpr std::uint64_t kMaxOpenOccurrences = 1000;
constexpr std::uint64_t kMaxOpenTasks = 100000;

/// Whether an occurrence is due; a product of its number and the interval might
/// overflow.
bool
IsDue(const JobSpec& aSpec, std::uint32_t aOccurrence, std::uint64_t aWallMs)
{
  return aSpec.startAtMs_ <= aWallMs &&
         (aSpec.intervalMs_ == 0 ||
          (aWallMs - aSpec.startAtMs_) / aSpec.intervalMs_ >= aOccurrence);
}

/// Number of occurrences of the job that may be begun now.
std::uint64_t
RoomForOccurrences(const JobEntry& aJob)
{
  std::uint64_t tasks = 0;
  for (const auto& step : aJob.spec_.steps_) {
    tasks += step.tasks_;
  }
  // One occurrence is always allowed.
  const auto allowed = std::clamp<std::uint64_t>(
    kMaxOpenTasks / std::max<std::uint64_t>(1, tasks), 1, kMaxOpenOccurrences);
  const auto open = aJob.occurrences_.size();
  return allowed > open ? allowed - open : 0;
}

} // namespace

Scheduler::Scheduler(Workload aState,
                     SchedulerSettings aSettings,
                     std::uint64_t aTerm,
                     MonotonicTime aNow)
  : settings_(aSettings)
  , term_(aTerm)
  , state_(std::move(aState))
  , baseMs_(state_.LogicalMs())
  , startedAt_(aNow)
  , authorityAt_(aNow)
  , vmCalls_(
      std::min(settings_.vmCallsPerSecond_, settings_.maxVmCallsPerSecond_),
      aNow)
{
  demand_.Restore(state_.Learned().queues_);
  forecast_.Restore(state_.Learned(), aNow, baseMs_);
  for (const auto& [number, worker] : state_.Workers()) {
    AddView(worker, aNow);
  }
  RestoreSuperseded();
  for (const auto& [id, job] : state_.Jobs()) {
    TrackRecurringJob(job.spec_);
    for (const auto& [number, occurrence] : job.occurrences_) {
      for (std::uint32_t step = 0; step < occurrence.steps_.size(); ++step) {
        const auto& tasks = occurrence.steps_[step];
        for (std::uint32_t index = 0; index < tasks.size(); ++index) {
          const auto& task = tasks[index];
          auto* view = FindView(task.worker_);
          if (task.state_ != TaskState::Assigned || view == nullptr) {
            continue;
          }
          const auto& spec = StepOf(job, step);
          RunView run;
          run.run_ = task.run_;
          run.phase_ = RunPhase::Unconfirmed;
          run.since_ = aNow;
          run.need_ = spec.need_;
          run.isLongRunning_ = spec.isLongRunning_;
          run.usesSpareCores_ = spec.usesSpareCores_;
          run.targetMs_ = spec.targetMs_;
          run.isBound_ = WasBound(task, aNow);
          if (!run.isBound_) {
            // The former leader may have sent several orders.
            run.strayStartUntil_ = LastStartArrival(run);
          }
          run.stopRequested_ = IsOver(job.phase_);
          if (spec.isLongRunning_) {
            run.staleStopFence_ = 0;
          }
          unsettledWorkers_.insert(task.worker_);
          view->used_ = Sum(view->used_, ReservedBy(run));
          tenantUsage_.Add(job.spec_.tenant_, run.need_);
          view->runs_.emplace(TaskKey{ id, number, step, index }, run);
        }
      }
    }
  }
}

std::uint64_t
Scheduler::LogicalNow(MonotonicTime aNow) const
{
  return baseMs_ + static_cast<std::uint64_t>((aNow - startedAt_).count());
}

void
Scheduler::UseConfig(const WorkloadConfig& aConfig, MonotonicTime aNow)
{
  config_ = aConfig;
  queuesOfPool_.clear();
  for (const auto& [key, queue] : config_.queues_) {
    queuesOfPool_[queue.pool_].push_back(key);
  }
  tenantUsage_.SetTenants(config_.tenants_);
  tenantShares_.Restore(config_, state_);
  FailJobsWithoutAttempts(aNow);
  RequeueAll();
  placementDue_ = true;
}

void
Scheduler::Decide(WorkloadEvent aEvent, MonotonicTime aNow)
{
  state_.Apply({ LogicalNow(aNow), { aEvent } });
  events_.push_back(std::move(aEvent));
}

void
Scheduler::Answer(RequestToken aToken,
                  RequestOutcome aOutcome,
                  Millis aRetryAfter)
{
  actions_.emplace_back(AnswerRequest{ aToken, aOutcome, aRetryAfter });
}

void
Scheduler::AnswerOnCommit(RequestToken aToken, RequestOutcome aOutcome)
{
  nextEffects_.answers_.push_back({ aToken, aOutcome, Millis(0) });
}

void
Scheduler::SubmitJob(RequestToken aToken,
                     const JobSpec& aSpec,
                     MonotonicTime aNow)
{
  if (const auto* known = state_.FindJob(aSpec.id_)) {
    // A repeated request, as the first answer may have been lost. The job may
    // not be committed yet, so this answer waits for the commit as well.
    AnswerOnCommit(aToken,
                   IsVisibleTo(*known, aSpec.queue_, aSpec.tenant_)
                     ? RequestOutcome::Accepted
                     : RequestOutcome::Unclear);
    return;
  }
  if (config_.version_ == 0) {
    Answer(aToken, RequestOutcome::RefusedForNow, kTick);
    return;
  }
  const auto queue = config_.queues_.find(aSpec.queue_);
  if (queue == config_.queues_.end()) {
    Answer(aToken, RequestOutcome::UnknownQueue);
    return;
  }
  // A refused job that returns was counted before.
  if (!refusedJobs_.IsReturning(aSpec.id_)) {
    CountArrival(aSpec, aNow);
  }
  if (const auto retryAfter = RefusalOf(aSpec, queue->second, aNow)) {
    Answer(aToken, RequestOutcome::RefusedForNow, *retryAfter);
    return;
  }
  Decide(JobAccepted{ aSpec }, aNow);
  tenantShares_.CountJob(aSpec, state_.FindJob(aSpec.id_)->acceptedAtMs_);
  LogInfo("job accepted",
          { { "job", JobText(aSpec.id_) },
            { "queue", aSpec.queue_ },
            { "steps", aSpec.steps_.size() },
            { "config", config_.version_ },
            { "tenant", aSpec.tenant_ },
            { "waiting_steps", ready_[queue->second.pool_].size() } });
  AnswerOnCommit(aToken, RequestOutcome::Accepted);
  QueueJob(*state_.FindJob(aSpec.id_));
  TrackRecurringJob(aSpec);
  placementDue_ = true;
}

void
Scheduler::CancelJob(RequestToken aToken,
                     JobId aJob,
                     const std::string& aQueue,
                     const std::string& aTenant,
                     MonotonicTime aNow)
{
  const auto* job = state_.FindJob(aJob);
  if (job == nullptr || !IsVisibleTo(*job, aQueue, aTenant)) {
    Answer(aToken, RequestOutcome::UnknownJob);
    return;
  }
  if (!IsOver(job->phase_)) {
    Decide(JobCancelled{ aJob }, aNow);
    RequestStopsOfJob(aJob);
    LogInfo("job cancelled", { { "job", JobText(aJob) } });
  }
  AnswerOnCommit(aToken, RequestOutcome::Accepted);
  placementDue_ = true;
}

void
Scheduler::AcceptConfig(RequestToken aToken,
                        const ConfigDocument& aDocument,
                        MonotonicTime aNow)
{
  if (aDocument.version_ > state_.Config().version_) {
    Decide(ConfigAccepted{ aDocument }, aNow);
  }
  AnswerOnCommit(aToken, RequestOutcome::Accepted);
}

bool
Scheduler::HasSameVms(const UpkeepWave& aOne, const UpkeepWave& aOther)
{
  const auto vmsOf = [](const UpkeepWave& aWave) {
    std::set<std::string_view> vms(aWave.pendingVms_.begin(),
                                   aWave.pendingVms_.end());
    vms.insert(aWave.begunVms_.begin(), aWave.begunVms_.end());
    return vms;
  };
  return vmsOf(aOne) == vmsOf(aOther);
}

void
Scheduler::StartWave(RequestToken aToken,
                     const UpkeepWave& aWave,
                     MonotonicTime aNow)
{
  const auto known = state_.Waves().find(aWave.id_);
  if (known != state_.Waves().end() && !HasSameVms(known->second, aWave)) {
    LogWarning("refusing a maintenance wave: its number is in use",
               { { "wave", aWave.id_ },
                 { "vms", aWave.pendingVms_.size() },
                 { "known_pending", known->second.pendingVms_.size() },
                 { "known_begun", known->second.begunVms_.size() } });
    Answer(aToken, RequestOutcome::NumberInUse);
    return;
  }
  if (known == state_.Waves().end()) {
    auto wave = aWave;
    wave.startedAtMs_ = LogicalNow(aNow);
    wave.dueAtMs_ += wave.startedAtMs_;
    LogInfo("maintenance wave started",
            { { "wave", wave.id_ },
              { "vms", wave.pendingVms_.size() },
              { "cap", wave.cap_ },
              { "due_in_ms", wave.dueAtMs_ - wave.startedAtMs_ } });
    Decide(WaveStarted{ std::move(wave) }, aNow);
  }
  AnswerOnCommit(aToken, RequestOutcome::Accepted);
}

void
Scheduler::FlushBatch(MonotonicTime aNow)
{
  const bool hasEffects = !nextEffects_.answers_.empty();
  if ((events_.empty() && !hasEffects) ||
      pendingEffects_.size() >= kMaxBatchesInFlight) {
    return;
  }
  const auto batch = nextBatch_++;
  pendingEffects_.emplace(batch, std::move(nextEffects_));
  nextEffects_ = {};
  actions_.emplace_back(
    AppendBatch{ batch, { LogicalNow(aNow), std::move(events_) } });
  events_.clear();
}

void
Scheduler::HandleCommit(std::uint64_t aBatch, MonotonicTime aNow)
{
  auto found = pendingEffects_.extract(aBatch);
  if (found.empty()) {
    return;
  }
  auto& effects = found.mapped();
  for (const auto& answer : effects.answers_) {
    actions_.emplace_back(answer);
  }
  for (const auto& start : effects.starts_) {
    SendStart(start, aNow);
  }
  for (const auto& [worker, number] : effects.ends_) {
    if (auto* view = FindView(worker)) {
      view->committedEnds_ = std::max(view->committedEnds_, number);
    }
  }
}

void
Scheduler::Tick(MonotonicTime aNow, std::uint64_t aWallMs)
{
  ExpireLeases(aNow);
  BeginDueOccurrences(aWallMs, aNow);
  ForgetEndedJobs(aNow);
  // A task whose run has ended gets its place before the VM there is emptied.
  PlaceIfDue(aNow);
  // Before further tasks are moved, or the VM that one could move to is
  // emptied.
  ReplaceLostDestinations(aNow);
  // Waves first: a VM that they empty is no place for tasks of draining
  // workers.
  AdvanceWaves(aNow);
  EvacuateDrainingWorkers(aNow);
  BalancePools(aNow);
  EndEvacuations(aNow);
  SaveLearnedLoad(aNow);
  NoteIdleTasks(aNow);
  ReportWaitingTasks(aNow);
  placementDue_ = true;
}

void
Scheduler::TrackRecurringJob(const JobSpec& aSpec)
{
  if (aSpec.repeatCount_ > 0) {
    recurringJobs_.insert(aSpec.id_);
  }
}

void
Scheduler::BeginDueOccurrences(std::uint64_t aWallMs, MonotonicTime aNow)
{
  std::erase_if(recurringJobs_, [this](JobId aJob) {
    const auto* job = state_.FindJob(aJob);
    return job == nullptr || IsOver(job->phase_);
  });
  std::vector<OccurrenceBegun> due;
  for (const auto id : recurringJobs_) {
    const auto& job = *state_.FindJob(id);
    const auto begun = job.begunOccurrences_;
    const auto last =
      begun + std::min({ RoomForOccurrences(job),
                         std::uint64_t{ kMaxOccurrencesAtOnce },
                         std::uint64_t{ job.spec_.repeatCount_ - begun } });
    for (auto next = begun; next < last && IsDue(job.spec_, next, aWallMs);
         ++next) {
      due.push_back({ id, next });
    }
  }
  for (const auto& occurrence : due) {
    Decide(occurrence, aNow);
    QueueJob(*state_.FindJob(occurrence.job_));
  }
}

void
Scheduler::ForgetEndedJobs(MonotonicTime aNow)
{
  if (aNow - endedJobsForgottenAt_ < kEndedJobsCheckInterval) {
    return;
  }
  endedJobsForgottenAt_ = aNow;
  const auto logicalNow = LogicalNow(aNow);
  const auto keep = static_cast<std::uint64_t>(settings_.keepEnded_.count());
  std::vector<JobId> old;
  for (const auto& [id, job] : state_.Jobs()) {
    if (IsOver(job.phase_) && job.assigned_ == 0 &&
        job.endedAtMs_ + keep < logicalNow) {
      old.push_back(id);
    }
  }
  for (const auto id : old) {
    Decide(JobRemoved{ id }, aNow);
  }
  tenantShares_.Prune(state_);
  reservedSteps_.Prune(aNow);
  refusedJobs_.Prune(aNow);
  ForgetEndedWaits();
  // Placement does not look at steps while the pool has no room for them.
  for (auto& [pool, ready] : ready_) {
    std::erase_if(ready, [this](const auto& aStep) {
      const auto* job = state_.FindJob(aStep.job_);
      return job == nullptr || IsOver(job->phase_);
    });
  }
}

void
Scheduler::ConfirmAuthority(MonotonicTime aAt)
{
  authorityAt_ = std::max(authorityAt_, aAt);
  if (doubtedAt_ && authorityAt_ > *doubtedAt_) {
    LogInfo("a majority confirms this leader; it sends orders again",
            { { "term", term_ },
              { "suspended_ms", (authorityAt_ - *doubtedAt_).count() } });
    doubtedAt_.reset();
  }
}

// No other leader can be elected while a majority confirms this one, so that a
// higher fence alone proves nothing: it may be this leader's own.
void
Scheduler::DoubtAuthority(const std::string& aRefusedBy, MonotonicTime aNow)
{
  ++unexplainedFences_;
  doubtedAt_ = aNow;
  LogWarning("an order was refused for a higher fence; this leader sends no "
             "orders until a majority confirms it",
             { { "refused_by", aRefusedBy }, { "term", term_ } });
}

bool
Scheduler::HasAuthority(MonotonicTime aNow) const
{
  return aNow - authorityAt_ <= settings_.authority_;
}

bool
Scheduler::MayAct(MonotonicTime aNow) const
{
  // Once the authority has expired, another leader may be elected, which
  // assumes that this one granted all its leases before.
  return HasAuthority(aNow) && !doubtedAt_;
}

void
Scheduler::PlaceIfDue(MonotonicTime aNow)
{
  if (placementDue_ && MayAct(aNow)) {
    placementDue_ = false;
    PlaceWaitingTasks(aNow);
  }
}

std::vector<SchedulerAction>
Scheduler::TakeActions(MonotonicTime aNow)
{
  if (!MayAct(aNow)) {
    return {};
  }
  PlaceIfDue(aNow);
  PruneUnsettledWorkers();
  SendRequestedStops(aNow);
  RenewDueLeases(aNow);
  ProbeUnconfirmedRuns(aNow);
  FlushBatch(aNow);
  auto actions = std::move(actions_);
  actions_.clear();
  return actions;
}

} // namespace acaciahill
