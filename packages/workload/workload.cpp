#include "workload/workload_base.h"

#include <algorithm>

namespace acaciahill {

namespace {

// Maximum number of waves to keep; completed ones stay readable until then.
constexpr std::size_t kKeptWaves = 200;

std::uint32_t
MostFailures(const std::vector<TaskEntry>& aTasks)
{
  std::uint32_t most = 0;
  for (const auto& task : aTasks) {
    most = std::max(most, task.failures_);
  }
  return most;
}

} // namespace

bool
IsVisibleTo(const JobEntry& aJob,
            const std::string& aQueue,
            const std::string& aTenant)
{
  const auto& owner = aJob.spec_.tenant_;
  return aJob.spec_.queue_ == aQueue &&
         (owner.empty() || aTenant.empty() || owner == aTenant);
}

bool
IsOver(JobPhase aPhase)
{
  return aPhase == JobPhase::Completed || aPhase == JobPhase::Failed ||
         aPhase == JobPhase::Cancelled;
}

const StepSpec&
StepOf(const JobEntry& aJob, std::uint32_t aStep)
{
  static const StepSpec kFreed = [] {
    StepSpec step;
    step.tasks_ = 0;
    return step;
  }();
  const auto& steps = aJob.spec_.steps_;
  return aStep < steps.size() ? steps[aStep] : kFreed;
}

const std::vector<TaskEntry>&
TasksOf(const JobEntry& aJob, std::uint32_t aOccurrence, std::uint32_t aStep)
{
  static const std::vector<TaskEntry> kNone;
  const auto occurrence = aJob.occurrences_.find(aOccurrence);
  if (occurrence == aJob.occurrences_.end()) {
    return kNone;
  }
  const auto& steps = occurrence->second.steps_;
  return aStep < steps.size() ? steps[aStep] : kNone;
}

void
Workload::Apply(const WorkloadBatch& aBatch)
{
  logicalMs_ = std::max(logicalMs_, aBatch.atMs_);
  for (const auto& event : aBatch.events_) {
    std::visit([this](const auto& aOne) { ApplyEvent(aOne); }, event);
  }
}

const JobEntry*
Workload::FindJob(JobId aJob) const
{
  const auto found = jobs_.find(aJob);
  return found == jobs_.end() ? nullptr : &found->second;
}

const TaskEntry*
Workload::FindTask(const TaskKey& aTask) const
{
  const auto* job = FindJob(aTask.job_);
  if (job == nullptr) {
    return nullptr;
  }
  const auto occurrence = job->occurrences_.find(aTask.occurrence_);
  if (occurrence == job->occurrences_.end()) {
    return nullptr;
  }
  const auto& steps = occurrence->second.steps_;
  if (aTask.step_ >= steps.size() ||
      aTask.index_ >= steps[aTask.step_].size()) {
    return nullptr;
  }
  return &steps[aTask.step_][aTask.index_];
}

TaskEntry*
Workload::FindMutableTask(const TaskKey& aTask)
{
  return const_cast<TaskEntry*>(FindTask(aTask));
}

const WorkerEntry*
Workload::FindWorker(std::uint32_t aNumber) const
{
  const auto found = workers_.find(aNumber);
  return found == workers_.end() ? nullptr : &found->second;
}

// Numbers increase with each incarnation, so that the last one is found first
// from the end.
const WorkerEntry*
Workload::FindWorkerById(const std::string& aId) const
{
  const auto found =
    std::find_if(workers_.rbegin(), workers_.rend(), [&](const auto& aEntry) {
      return aEntry.second.id_ == aId;
    });
  return found == workers_.rend() ? nullptr : &found->second;
}

void
Workload::ApplyEvent(const ConfigAccepted& aEvent)
{
  if (aEvent.document_.version_ > config_.version_) {
    config_ = aEvent.document_;
  }
}

void
Workload::ApplyEvent(const JobAccepted& aEvent)
{
  const auto [added, isNew] = jobs_.try_emplace(aEvent.spec_.id_);
  if (!isNew) {
    return;
  }
  auto& job = added->second;
  job.spec_ = aEvent.spec_;
  job.acceptedAtMs_ = logicalMs_;
  if (job.spec_.repeatCount_ == 0) {
    BeginOccurrence(job, 0);
  }
}

void
Workload::BeginOccurrence(JobEntry& aJob, std::uint32_t aOccurrence)
{
  OccurrenceEntry occurrence;
  for (const auto& step : aJob.spec_.steps_) {
    occurrence.steps_.emplace_back(step.tasks_);
    occurrence.open_ += step.tasks_;
  }
  aJob.occurrences_.emplace(aOccurrence, std::move(occurrence));
  ++aJob.begunOccurrences_;
}

void
Workload::ApplyEvent(const OccurrenceBegun& aEvent)
{
  const auto found = jobs_.find(aEvent.job_);
  if (found == jobs_.end() || IsOver(found->second.phase_) ||
      aEvent.occurrence_ != found->second.begunOccurrences_) {
    return;
  }
  BeginOccurrence(found->second, aEvent.occurrence_);
}

void
Workload::ApplyEvent(const JobCancelled& aEvent)
{
  const auto found = jobs_.find(aEvent.job_);
  if (found != jobs_.end() && !IsOver(found->second.phase_)) {
    EndJob(found->second, JobPhase::Cancelled);
  }
}

void
Workload::EndJob(JobEntry& aJob, JobPhase aPhase)
{
  aJob.phase_ = aPhase;
  aJob.endedAtMs_ = logicalMs_;
  FreeIfEnded(aJob);
}

// Frees tasks, steps and payload of an ended job once all its runs are closed.
void
Workload::FreeIfEnded(JobEntry& aJob)
{
  if (!IsOver(aJob.phase_) || aJob.assigned_ > 0) {
    return;
  }
  aJob.occurrences_.clear();
  aJob.spec_.payload_.clear();
  aJob.spec_.payload_.shrink_to_fit();
  aJob.spec_.steps_.clear();
  aJob.spec_.steps_.shrink_to_fit();
}

void
Workload::ApplyEvent(const JobRemoved& aEvent)
{
  const auto found = jobs_.find(aEvent.job_);
  if (found != jobs_.end() && IsOver(found->second.phase_) &&
      found->second.assigned_ == 0) {
    jobs_.erase(found);
  }
}

void
Workload::ApplyEvent(const RunAssigned& aEvent)
{
  auto* task = FindMutableTask(aEvent.task_);
  if (task == nullptr || task->state_ != TaskState::Waiting ||
      aEvent.run_ <= task->run_) {
    return;
  }
  auto& job = jobs_.at(aEvent.task_.job_);
  if (IsOver(job.phase_)) {
    return;
  }
  const auto& [id, occurrence, step, index] = aEvent.task_;
  if (StepOf(job, step).gang_) {
    // All members begin a run with the same count, so that any number of them
    // that fails in it raises the highest one by one.
    task->failures_ = MostFailures(TasksOf(job, occurrence, step));
  }
  task->state_ = TaskState::Assigned;
  task->run_ = aEvent.run_;
  task->worker_ = aEvent.worker_;
  task->assignedAtMs_ = std::max<std::uint64_t>(1, logicalMs_);
  ++job.assigned_;
  job.phase_ = JobPhase::Running;
}

void
Workload::ApplyEvent(const RunAdopted& aEvent)
{
  auto* task = FindMutableTask(aEvent.task_);
  if (task != nullptr && task->state_ == TaskState::Assigned &&
      task->run_ == aEvent.run_) {
    if (task->worker_ == aEvent.worker_) {
      task->assignedAtMs_ = std::max<std::uint64_t>(1, logicalMs_);
    }
    task->worker_ = aEvent.worker_;
  }
}

void
Workload::ApplyEvent(const RunClosed& aEvent)
{
  auto* task = FindMutableTask(aEvent.task_);
  if (task == nullptr || aEvent.run_ != task->run_ ||
      task->state_ == TaskState::Done) {
    return;
  }
  auto& job = jobs_.at(aEvent.task_.job_);
  if (task->state_ == TaskState::Assigned) {
    --job.assigned_;
  } else if (aEvent.end_ != RunEnd::Done) {
    // The run was closed before. Only a late success still changes the state,
    // or that its failure turns out to have been the last attempt.
    if (aEvent.isLast_ && !IsOver(job.phase_)) {
      EndJob(job, JobPhase::Failed);
    }
    return;
  }
  task->state_ = TaskState::Waiting;
  if (!aEvent.checkpoint_.empty()) {
    task->checkpoint_ = aEvent.checkpoint_;
  }
  const bool lasts = StepOf(job, aEvent.task_.step_).isLongRunning_;
  if (aEvent.end_ == RunEnd::Failed) {
    ++task->failures_;
    if (aEvent.isLast_ && !IsOver(job.phase_)) {
      EndJob(job, JobPhase::Failed);
      return;
    }
  } else if (aEvent.end_ == RunEnd::Done && !lasts) {
    task->state_ = TaskState::Done;
    if (!IsOver(job.phase_)) {
      FinishTask(job, aEvent.task_);
      return;
    }
  }
  FreeIfEnded(job);
}

void
Workload::FinishTask(JobEntry& aJob, const TaskKey& aTask)
{
  const auto occurrence = aJob.occurrences_.find(aTask.occurrence_);
  if (--occurrence->second.open_ > 0) {
    return;
  }
  aJob.occurrences_.erase(occurrence);
  ++aJob.doneOccurrences_;
  if (aJob.doneOccurrences_ >= std::max(1U, aJob.spec_.repeatCount_)) {
    EndJob(aJob, JobPhase::Completed);
  }
}

void
Workload::ApplyEvent(const EndsNoted& aEvent)
{
  const auto found = workers_.find(aEvent.worker_);
  if (found != workers_.end()) {
    auto& worker = found->second;
    worker.notedEnds_ = std::max(worker.notedEnds_, aEvent.number_);
    worker.boundUntilMs_ = std::max(worker.boundUntilMs_, aEvent.boundUntilMs_);
  }
}

void
Workload::ApplyEvent(const WorkerJoined& aEvent)
{
  const auto number = aEvent.worker_.number_;
  auto worker = aEvent.worker_;
  if (const auto* known = FindWorker(number)) {
    worker.notedEnds_ = std::max(worker.notedEnds_, known->notedEnds_);
    worker.boundUntilMs_ = std::max(worker.boundUntilMs_, known->boundUntilMs_);
    worker.draining_ = worker.draining_ || known->draining_;
  }
  workers_[number] = std::move(worker);
  nextWorker_ = std::max(nextWorker_, number + 1);
}

void
Workload::ApplyEvent(const WorkerDraining& aEvent)
{
  const auto found = workers_.find(aEvent.worker_);
  if (found != workers_.end()) {
    found->second.draining_ = true;
  }
}

void
Workload::ApplyEvent(const WorkerLeft& aEvent)
{
  workers_.erase(aEvent.worker_);
}

void
Workload::ApplyEvent(const WaveStarted& aEvent)
{
  const auto [added, isNew] =
    waves_.try_emplace(aEvent.wave_.id_, aEvent.wave_);
  if (!isNew) {
    return;
  }
  added->second.completed_ = added->second.pendingVms_.empty();
  if (waves_.size() > kKeptWaves) {
    const auto ended =
      std::find_if(waves_.begin(), waves_.end(), [](const auto& aWave) {
        return aWave.second.completed_;
      });
    if (ended != waves_.end()) {
      waves_.erase(ended);
    }
  }
}

void
Workload::ApplyEvent(const LoadLearned& aEvent)
{
  learned_ = aEvent.load_;
}

void
Workload::ApplyEvent(const WaveVmBegun& aEvent)
{
  const auto found = waves_.find(aEvent.wave_);
  if (found == waves_.end()) {
    return;
  }
  auto& wave = found->second;
  const auto vm =
    std::find(wave.pendingVms_.begin(), wave.pendingVms_.end(), aEvent.vm_);
  if (vm == wave.pendingVms_.end()) {
    return;
  }
  wave.pendingVms_.erase(vm);
  wave.begunVms_.push_back(aEvent.vm_);
  wave.completed_ = wave.pendingVms_.empty();
}

} // namespace acaciahill
