#include "state/check_func.h"
#include "state/fleet_editor_base.h"
#include "state/task_use_func.h"

namespace acaciahill {

namespace {

constexpr std::int64_t kLargestTaskCount = 10'000;
// Tasks of all jobs. A node has 128 MB for all its state.
constexpr std::size_t kMaxTasks = 100'000;
constexpr std::int64_t kLargestMilliCores = 1'000'000;
constexpr std::int64_t kLargestMemoryMb = 100'000'000;
constexpr std::int64_t kLargestSlots = 10'000;
constexpr std::int64_t kLargestQuota = 1'000'000'000'000;
constexpr std::uint64_t kLongestLeaseMs = 24ULL * 3600 * 1000;
constexpr std::int64_t kMilliCoresPerCore = 1000;

// Checks a number of a command against its range.
Refusal
CheckRange(std::string_view aField,
           std::int64_t aValue,
           std::int64_t aSmallest,
           std::int64_t aLargest)
{
  if (aValue >= aSmallest && aValue <= aLargest) {
    return std::nullopt;
  }
  return Refuse(ErrorKind::OutOfRange,
                aField,
                " ",
                aValue,
                " must be from ",
                aSmallest,
                " to ",
                aLargest);
}

Refusal
CheckJob(const JobRecord& aJob)
{
  return FirstRefusal(
    CheckId("job.id", aJob.id_),
    CheckId("job.team", aJob.team_),
    CheckRange("job.tasks", aJob.tasks_, 1, kLargestTaskCount),
    CheckRange("job.milli_cores", aJob.milliCores_, 0, kLargestMilliCores),
    CheckRange("job.memory_mb", aJob.memoryMb_, 0, kLargestMemoryMb),
    CheckRange("job.slots", aJob.slots_, 0, kLargestSlots),
    aJob.cancelled_
      ? Refusal(Refuse(ErrorKind::BadRequest, "a new job cannot be cancelled"))
      : Refusal());
}

bool
FitsOn(const JobRecord& aJob, const VmIdentity& aVm)
{
  return aJob.milliCores_ <= aVm.cores_ * kMilliCoresPerCore &&
         aJob.memoryMb_ <= aVm.memoryMb_ && aJob.slots_ <= aVm.slots_;
}

std::string
SizeText(const JobRecord& aJob)
{
  return Concat(aJob.milliCores_,
                " milli-cores, ",
                aJob.memoryMb_,
                " MB and ",
                aJob.slots_,
                " slots");
}

// Checks that some VM of the job's pool, if it were idle, could hold one of its
// tasks. A pool without VMs is accepted, as it may get some later.
Refusal
CheckFitsSomewhere(const Fleet& aFleet, const JobRecord& aJob)
{
  VmIdentity largest;
  bool isEmpty = true;
  for (const auto& [id, vm] : aFleet.Vms()) {
    if (vm.pool_ != aJob.pool_) {
      continue;
    }
    if (FitsOn(aJob, vm.identity_)) {
      return std::nullopt;
    }
    isEmpty = false;
    largest.cores_ = std::max(largest.cores_, vm.identity_.cores_);
    largest.memoryMb_ = std::max(largest.memoryMb_, vm.identity_.memoryMb_);
    largest.slots_ = std::max(largest.slots_, vm.identity_.slots_);
  }
  if (isEmpty) {
    return std::nullopt;
  }
  return Refuse(ErrorKind::NeverFits,
                "a task of job ",
                aJob.id_,
                " needs ",
                SizeText(aJob),
                ", and no VM of pool ",
                aJob.pool_,
                " has all of these; the largest have ",
                largest.cores_ * kMilliCoresPerCore,
                " milli-cores, ",
                largest.memoryMb_,
                " MB or ",
                largest.slots_,
                " slots");
}

// True when a pool has fewer VMs than kMaxTaskFailures. Only there a task may
// return to a VM on which it failed, as it would otherwise wait forever.
bool
IsSmallPool(const Fleet& aFleet, const std::string& aPool)
{
  const auto vms = std::count_if(
    aFleet.Vms().begin(), aFleet.Vms().end(), [&aPool](const auto& aItem) {
      return aItem.second.pool_ == aPool;
    });
  return static_cast<std::size_t>(vms) < detail::kMaxTaskFailures;
}

Error
UnknownJobError(std::string_view aWhat, const std::string& aId)
{
  return Refuse(
    ErrorKind::UnknownJob, "there is no ", aWhat, " \"", Printable(aId), "\"");
}

Refusal
CheckOneQuota(const JobRecord& aJob,
              std::string_view aWhat,
              std::int64_t aHeld,
              std::int64_t aAsked,
              std::int64_t aLimit)
{
  if (aLimit == 0 || aHeld + aAsked <= aLimit) {
    return std::nullopt;
  }
  return Refuse(ErrorKind::QuotaExceeded,
                "team ",
                aJob.team_,
                " holds ",
                aHeld,
                " ",
                aWhat,
                " and asks for ",
                aAsked,
                " more; its quota is ",
                aLimit);
}

Refusal
CheckQuota(const Fleet& aFleet, const JobRecord& aJob)
{
  const auto quota = aFleet.Quotas().find(aJob.team_);
  if (quota == aFleet.Quotas().end()) {
    return std::nullopt;
  }
  const auto use = aFleet.UseOf(aJob.team_);
  return FirstRefusal(
    CheckOneQuota(aJob,
                  "milli-cores",
                  use.milliCores_,
                  aJob.milliCores_,
                  quota->second.milliCores_),
    CheckOneQuota(
      aJob, "MB", use.memoryMb_, aJob.memoryMb_, quota->second.memoryMb_));
}

Refusal
CheckPlacement(const Fleet& aFleet,
               const TaskRecord& aTask,
               const JobRecord& aJob,
               const VmRecord& aVm)
{
  const auto& id = aVm.identity_.id_;
  if (aVm.pool_ != aJob.pool_) {
    return Refuse(ErrorKind::InvalidState,
                  "VM ",
                  id,
                  " is in pool ",
                  aVm.pool_,
                  ", and the job belongs to pool ",
                  aJob.pool_);
  }
  if (aVm.phase_ != VmPhase::Active) {
    return Refuse(ErrorKind::InvalidState,
                  "VM ",
                  id,
                  " is ",
                  WordOf(aVm.phase_),
                  ", not active");
  }
  if (detail::Contains(aTask.failedOn_, id) &&
      !IsSmallPool(aFleet, aJob.pool_)) {
    return Refuse(ErrorKind::InvalidState,
                  "task ",
                  aTask.id_,
                  " failed on VM ",
                  id,
                  " before");
  }
  if (!FitsOn(aJob, aVm.identity_)) {
    return Refuse(ErrorKind::NeverFits,
                  "task ",
                  aTask.id_,
                  " needs ",
                  SizeText(aJob),
                  ", which VM ",
                  id,
                  " does not have");
  }
  return std::nullopt;
}

Refusal
CheckLeaseDuration(std::uint64_t aLeaseMs)
{
  if (aLeaseMs <= kLongestLeaseMs) {
    return std::nullopt;
  }
  return Refuse(ErrorKind::OutOfRange,
                "lease_ms ",
                aLeaseMs,
                " must be at most ",
                kLongestLeaseMs);
}

Refusal
CheckTaskLease(const TaskRecord& aTask, std::uint64_t aLease)
{
  if (aLease != aTask.lease_) {
    return Refuse(ErrorKind::StaleEpoch,
                  "task ",
                  aTask.id_,
                  " is under lease ",
                  aTask.lease_,
                  ", not ",
                  aLease);
  }
  if (!detail::IsHeld(aTask)) {
    return Refuse(ErrorKind::InvalidState,
                  "task ",
                  aTask.id_,
                  " is ",
                  WordOf(aTask.phase_),
                  ", so no VM holds it");
  }
  return std::nullopt;
}

} // namespace

Refusal
FleetEditor::Check(const Fleet& aFleet, const PutJob& aCommand)
{
  const auto& job = aCommand.job_;
  if (auto refusal = CheckJob(job)) {
    return refusal;
  }
  if (aFleet.Table().rows_.count(job.pool_) == 0) {
    return detail::UnknownPoolError(job.pool_);
  }
  if (aFleet.Jobs().count(job.id_) != 0) {
    return Refuse(ErrorKind::InvalidState,
                  "there is a job ",
                  job.id_,
                  " already; each job needs its own id");
  }
  const auto tasks =
    aFleet.Tasks().size() + static_cast<std::size_t>(job.tasks_);
  if (tasks > kMaxTasks) {
    return Refuse(ErrorKind::OutOfRange,
                  "there would be ",
                  tasks,
                  " tasks; at most ",
                  kMaxTasks,
                  " are kept");
  }
  return CheckFitsSomewhere(aFleet, job);
}

std::string
FleetEditor::Apply(const PutJob& aCommand)
{
  const auto& job = aCommand.job_;
  fleet_.jobs_.emplace(job.id_, job);
  for (std::int64_t i = 0; i < job.tasks_; ++i) {
    TaskRecord task;
    task.id_ = Concat(job.id_, "/", i);
    task.job_ = job.id_;
    task.phaseSinceMs_ = fleet_.logicalMs_;
    CountTask(task, job, 1);
    fleet_.tasks_.emplace(task.id_, task);
  }
  auto text = Concat("job ",
                     job.id_,
                     " of team ",
                     job.team_,
                     " waits in pool ",
                     job.pool_,
                     " with ",
                     job.tasks_,
                     job.urgent_ ? " urgent" : "",
                     " tasks of ",
                     SizeText(job));
  RecordDecision(Concat("job:", job.id_), text);
  return text;
}

Refusal
FleetEditor::Check(const Fleet& aFleet, const CancelJob& aCommand)
{
  if (aFleet.Jobs().count(aCommand.job_) == 0) {
    return UnknownJobError("job", aCommand.job_);
  }
  return std::nullopt;
}

std::string
FleetEditor::Apply(const CancelJob& aCommand)
{
  auto& job = fleet_.jobs_.at(aCommand.job_);
  if (job.cancelled_ || fleet_.OpenTasks(job.id_) == 0) {
    return Concat(
      "job ", job.id_, job.cancelled_ ? " was cancelled" : " ended", " before");
  }
  job.cancelled_ = true;
  std::size_t waiting = 0;
  std::size_t held = 0;
  for (std::int64_t i = 0; i < job.tasks_; ++i) {
    auto& task = fleet_.tasks_.at(Concat(job.id_, "/", i));
    if (task.phase_ == TaskPhase::Waiting) {
      SetTaskPhase(task, TaskPhase::Completed);
      ++waiting;
    } else if (detail::IsHeld(task)) {
      SetTaskPhase(task, TaskPhase::Stopping);
      ++held;
    }
  }
  auto text = Concat("job ",
                     job.id_,
                     " was cancelled: ",
                     waiting,
                     " waiting tasks ended, ",
                     held,
                     " placed ones are told to stop");
  RecordDecision(Concat("job:", job.id_), text);
  EndJobIfFinished(aCommand.job_);
  return text;
}

Refusal
FleetEditor::Check(const Fleet&, const SetQuota& aCommand)
{
  const auto& quota = aCommand.quota_;
  return FirstRefusal(
    CheckId("quota.team", quota.team_),
    CheckRange("quota.milli_cores", quota.milliCores_, 0, kLargestQuota),
    CheckRange("quota.memory_mb", quota.memoryMb_, 0, kLargestQuota));
}

std::string
FleetEditor::Apply(const SetQuota& aCommand)
{
  const auto& quota = aCommand.quota_;
  fleet_.quotas_.insert_or_assign(quota.team_, quota);
  return Concat("team ",
                quota.team_,
                " may hold ",
                quota.milliCores_,
                " milli-cores and ",
                quota.memoryMb_,
                " MB at once (0 is no limit)");
}

Refusal
FleetEditor::Check(const Fleet& aFleet, const PlaceTask& aCommand)
{
  const auto found = aFleet.Tasks().find(aCommand.task_);
  if (found == aFleet.Tasks().end()) {
    return UnknownJobError("task", aCommand.task_);
  }
  const auto& task = found->second;
  if (task.phase_ != TaskPhase::Waiting) {
    return Refuse(ErrorKind::InvalidState,
                  "task ",
                  task.id_,
                  " is ",
                  WordOf(task.phase_),
                  ", not waiting");
  }
  const auto vm = aFleet.Vms().find(aCommand.vm_);
  if (vm == aFleet.Vms().end()) {
    return detail::UnknownVmError(aCommand.vm_);
  }
  if (aCommand.leaseMs_ == 0) {
    return Refuse(ErrorKind::OutOfRange, "lease_ms must not be 0");
  }
  const auto& job = aFleet.Jobs().at(task.job_);
  return FirstRefusal(CheckLeaseDuration(aCommand.leaseMs_),
                      CheckPlacement(aFleet, task, job, vm->second),
                      CheckQuota(aFleet, job));
}

std::string
FleetEditor::Apply(const PlaceTask& aCommand)
{
  auto& task = fleet_.tasks_.at(aCommand.task_);
  task.vm_ = aCommand.vm_;
  ++task.lease_;
  task.leaseUntilMs_ = fleet_.logicalMs_ + aCommand.leaseMs_;
  SetTaskPhase(task, TaskPhase::Placed);
  auto text = Concat("task ",
                     task.id_,
                     " is placed on VM ",
                     task.vm_,
                     " under lease ",
                     task.lease_,
                     " for ",
                     aCommand.leaseMs_,
                     " ms");
  RecordDecision(Concat("job:", task.job_), text);
  return text;
}

Refusal
FleetEditor::Check(const Fleet& aFleet, const UpdateTask& aCommand)
{
  const auto found = aFleet.Tasks().find(aCommand.task_);
  if (found == aFleet.Tasks().end()) {
    return UnknownJobError("task", aCommand.task_);
  }
  if (aCommand.phase_ == TaskPhase::Placed) {
    return Refuse(ErrorKind::BadRequest,
                  "phase placed is set by place_task, not by update_task");
  }
  return FirstRefusal(
    CheckTaskLease(found->second, aCommand.lease_),
    CheckLeaseDuration(aCommand.leaseMs_),
    CheckText("reason", aCommand.reason_, detail::kMaxReasonBytes));
}

std::string
FleetEditor::Apply(const UpdateTask& aCommand)
{
  auto& task = fleet_.tasks_.at(aCommand.task_);
  const auto vm = task.vm_;
  const auto before = task.phase_;
  auto phase = aCommand.phase_;
  if (aCommand.failedOnVm_) {
    task.failedOn_.push_back(vm);
    phase = task.failedOn_.size() >= detail::kMaxTaskFailures
              ? TaskPhase::Failed
              : TaskPhase::Waiting;
  }
  if (aCommand.leaseMs_ != 0) {
    task.leaseUntilMs_ = fleet_.logicalMs_ + aCommand.leaseMs_;
  }
  SetTaskPhase(task, phase);
  if (task.phase_ == before) {
    return Concat("task ", task.id_, " is ", WordOf(task.phase_), " as before");
  }
  auto text = Concat("task ",
                     task.id_,
                     aCommand.failedOnVm_ ? " failed on VM " : " on VM ",
                     vm,
                     aCommand.failedOnVm_ ? Concat(" (",
                                                   task.failedOn_.size(),
                                                   " of ",
                                                   detail::kMaxTaskFailures,
                                                   " times)")
                                          : std::string(),
                     " and is ",
                     WordOf(task.phase_),
                     aCommand.reason_.empty() ? "" : ": ",
                     aCommand.reason_);
  RecordDecision(Concat("job:", task.job_), text);
  if (task.phase_ == TaskPhase::Failed) {
    RecordDecision(Concat("vm:", vm), text);
  }
  EndJobIfFinished(std::string(task.job_));
  return text;
}

void
FleetEditor::SetTaskPhase(TaskRecord& aTask, TaskPhase aPhase)
{
  const auto& job = fleet_.jobs_.at(aTask.job_);
  // A task of a cancelled job is neither placed again nor resumed.
  if (job.cancelled_ && aPhase == TaskPhase::Waiting) {
    aPhase = TaskPhase::Completed;
  } else if (job.cancelled_ &&
             (aPhase == TaskPhase::Running || aPhase == TaskPhase::Throttled)) {
    aPhase = TaskPhase::Stopping;
  }
  CountTask(aTask, job, -1);
  if (aPhase != aTask.phase_) {
    aTask.phase_ = aPhase;
    aTask.phaseSinceMs_ = fleet_.logicalMs_;
  }
  if (!detail::IsHeld(aTask)) {
    aTask.vm_.clear();
    aTask.leaseUntilMs_ = 0;
  }
  CountTask(aTask, job, 1);
}

void
FleetEditor::CountTask(const TaskRecord& aTask,
                       const JobRecord& aJob,
                       std::int64_t aSign)
{
  detail::CountTask(aTask, aJob, aSign, fleet_.taskCounts_);
}

void
FleetEditor::ReleaseTasks(const std::string& aVm)
{
  std::set<std::string> jobs;
  // Copied, as SetTaskPhase changes the index.
  const auto held = fleet_.TasksOn(aVm);
  for (const auto& id : held) {
    auto& task = fleet_.tasks_.at(id);
    SetTaskPhase(task, TaskPhase::Waiting);
    jobs.insert(task.job_);
  }
  for (const auto& job : jobs) {
    RecordDecision(
      Concat("job:", job),
      Concat("VM ", aVm, " left or restarted; its tasks no longer run"));
    EndJobIfFinished(job);
  }
}

void
FleetEditor::EndJobIfFinished(const std::string& aJob)
{
  if (fleet_.OpenTasks(aJob) != 0) {
    return;
  }
  RecordDecision(Concat("job:", aJob), Concat("job ", aJob, " has ended"));
  fleet_.endedJobs_.push_back(aJob);
  if (fleet_.endedJobs_.size() <= kEndedJobLimit) {
    return;
  }
  const auto oldest = fleet_.endedJobs_.front();
  const auto tasks = fleet_.jobs_.at(oldest).tasks_;
  for (std::int64_t i = 0; i < tasks; ++i) {
    fleet_.tasks_.erase(Concat(oldest, "/", i));
  }
  fleet_.jobs_.erase(oldest);
  fleet_.decisions_.erase(Concat("job:", oldest));
  fleet_.endedJobs_.pop_front();
}

} // namespace acaciahill
