#include "planner/placement_planner_base.h"

#include "state/task_use_func.h"

#include <algorithm>

namespace acaciahill {

namespace {

bool
IsLeased(TaskPhase aPhase)
{
  return aPhase == TaskPhase::Placed || aPhase == TaskPhase::Running ||
         aPhase == TaskPhase::Throttled || aPhase == TaskPhase::Stopping;
}

constexpr std::size_t kCheckedTaskDivisor = 16;
constexpr Millis kCleanupInterval{ 10000 };

} // namespace

PlacementPlanner::PlacementPlanner(PlannerLimits aLimits,
                                   PlacementLimits aPlacementLimits)
  : limits_(aLimits)
  , placementLimits_(aPlacementLimits)
  , gate_(aPlacementLimits.retryAfter_)
  , blocked_(aPlacementLimits.blockedTime_)
  , urgentBlocked_(aPlacementLimits.urgentBlockedTime_)
{
}

std::vector<PlannerAction>
PlacementPlanner::Step(const PlannerView& aView, MonotonicTime aNow)
{
  gate_.RemoveExpired(aNow);
  blocked_.RemoveExpired(aNow);
  urgentBlocked_.RemoveExpired(aNow);
  RemoveStale(aView, aNow);
  if (aView.fleet_->Tasks().empty()) {
    return {};
  }
  StepContext step{ aView, aNow, LogicalNow(aView, aNow) };
  AddWaitingTasks(step);
  ProcessReports(step);
  if (HasWork(step)) {
    AddVms(step);
    AddPlacedTasks(step);
    Place(step, true);
    step.tries_ = 0;
    Place(step, false);
    ResumeThrottled(step);
  }
  CheckTasks(step);
  return std::move(step.actions_);
}

void
PlacementPlanner::RemoveStale(const PlannerView& aView, MonotonicTime aNow)
{
  const auto& tasks = aView.fleet_->Tasks();
  std::erase_if(pendingPlacements_, [&](const auto& aItem) {
    const auto task = tasks.find(aItem.first);
    return task == tasks.end() || task->second.lease_ != aItem.second.lease_ ||
           task->second.phase_ != TaskPhase::Waiting ||
           aNow - aItem.second.proposedAt_ >= placementLimits_.retryAfter_;
  });
  if (!cleanedUpAt_ || aNow - *cleanedUpAt_ >= kCleanupInterval) {
    cleanedUpAt_ = aNow;
    RemoveEnded(aView);
  }
}

void
PlacementPlanner::RemoveEnded(const PlannerView& aView)
{
  const auto& tasks = aView.fleet_->Tasks();
  const auto isOver = [&tasks](const auto& aItem) {
    const auto task = tasks.find(aItem.first);
    return task == tasks.end() || task->second.phase_ == TaskPhase::Completed ||
           task->second.phase_ == TaskPhase::Failed;
  };
  std::erase_if(taskHistory_, isOver);
  std::erase_if(failures_, isOver);
  std::erase_if(processedReportsAt_, [&aView](const auto& aItem) {
    return !aView.fleet_->Vms().contains(aItem.first);
  });
  sizes_.Retain(aView.fleet_->Jobs());
  health_.Retain(aView.fleet_->Vms());
}

std::uint64_t
PlacementPlanner::LogicalNow(const PlannerView& aView, MonotonicTime aNow)
{
  // The logical clock advances only with commands. The time since its last
  // advance is added, or leases would not end while no commands arrive.
  if (!lastLogicalMsAt_ || aView.fleet_->LogicalMs() != lastLogicalMs_) {
    lastLogicalMs_ = aView.fleet_->LogicalMs();
    lastLogicalMsAt_ = aNow;
  }
  return lastLogicalMs_ +
         static_cast<std::uint64_t>((aNow - *lastLogicalMsAt_).count());
}

bool
PlacementPlanner::CanTryNow(const StepContext& aStep,
                            const TaskRecord& aTask) const
{
  const auto failure = failures_.find(aTask.id_);
  return !pendingPlacements_.contains(aTask.id_) &&
         (failure == failures_.end() ||
          aStep.now_ >= failure->second.waitUntil_);
}

void
PlacementPlanner::AddWaitingTasks(StepContext& aStep) const
{
  const auto& jobs = aStep.view_.fleet_->Jobs();
  for (const auto& [id, task] : aStep.view_.fleet_->Tasks()) {
    if (IsLeased(task.phase_)) {
      ++aStep.leased_;
      aStep.throttled_ += task.phase_ == TaskPhase::Throttled ? 1 : 0;
    } else if (task.phase_ == TaskPhase::Waiting && CanTryNow(aStep, task)) {
      const auto job = jobs.find(task.job_);
      if (job != jobs.end() && !job->second.cancelled_) {
        JobOf(aStep, job->second).waiting_.push_back(&task);
      }
    }
  }
}

bool
PlacementPlanner::HasWork(const StepContext& aStep) const
{
  return aStep.throttled_ > 0 ||
         std::any_of(
           aStep.jobs_.begin(), aStep.jobs_.end(), [this](const auto& aItem) {
             return !IsBlocked(*aItem.second.job_);
           });
}

void
PlacementPlanner::AddVms(StepContext& aStep) const
{
  std::map<std::string, int> zones;
  std::map<RackKey, int> racks;
  std::map<std::string_view, std::size_t> members;
  EvidenceCursor evidence(aStep.view_);
  for (const auto& [id, vm] : aStep.view_.fleet_->Vms()) {
    auto& vmContext =
      aStep.vms_.emplace_hint(aStep.vms_.end(), id, VmContext{})->second;
    aStep.vmById_.emplace(id, &vmContext);
    vmContext.vm_ = &vm;
    ++members[vm.pool_];
    vmContext.usable_ =
      AvailabilityOf(vm, evidence.Find(id), aStep.view_, aStep.now_, limits_) ==
      VmAvailability::Available;
    vmContext.zone_ =
      zones.try_emplace(vm.identity_.zone_, static_cast<int>(zones.size()))
        .first->second;
    vmContext.rack_ =
      racks.try_emplace(RackOf(vm), static_cast<int>(racks.size()))
        .first->second;
    vmContext.free_ = { vm.identity_.cores_ * 1000,
                        vm.identity_.memoryMb_,
                        vm.identity_.slots_ };
    if (vmContext.usable_) {
      auto& pool = aStep.pools_[vm.pool_];
      pool.vms_.push_back(&vmContext);
      pool.total_ = Sum(pool.total_, vmContext.free_);
      aStep.total_ = Sum(aStep.total_, vmContext.free_);
    }
  }
  for (auto& [name, pool] : aStep.pools_) {
    pool.allowsFailedVms_ = members.at(name) < detail::kMaxTaskFailures;
  }
  SetUrgentRoom(aStep);
}

void
PlacementPlanner::SetUrgentRoom(StepContext& aStep) const
{
  for (auto& [name, pool] : aStep.pools_) {
    pool.urgentSize_ = AverageSlot(pool.total_);
  }
  for (const auto& [id, job] : aStep.view_.fleet_->Jobs()) {
    const auto pool = aStep.pools_.find(job.pool_);
    if (!job.urgent_ || pool == aStep.pools_.end()) {
      continue;
    }
    // A larger size would keep whole VMs free; urgent tasks above it get no
    // reserved room.
    const auto share = AverageSlot(pool->second.total_);
    const auto most = Sum(share, share);
    const auto size = sizes_.Estimate(job);
    auto& kept = pool->second.urgentSize_;
    kept = { std::clamp(size.milliCores_, kept.milliCores_, most.milliCores_),
             std::clamp(size.memoryMb_, kept.memoryMb_, most.memoryMb_),
             1 };
  }
  for (auto& [name, pool] : aStep.pools_) {
    const auto share =
      ScaleByPercent(pool.total_, placementLimits_.urgentPercent_);
    pool.urgentRoomKept_ = CountFitting(pool.urgentSize_, share);
    for (auto* vm : pool.vms_) {
      const auto limit = health_.TaskLimit(vm->vm_->identity_.id_, aStep.now_);
      vm->countsAsUrgentRoom_ = limit > 1;
      if (vm->countsAsUrgentRoom_) {
        pool.urgentRoom_ += CountFitting(pool.urgentSize_, vm->free_);
      }
    }
  }
}

PlacementPlanner::JobContext&
PlacementPlanner::JobOf(StepContext& aStep, const JobRecord& aJob) const
{
  const auto [job, isNew] = aStep.jobs_.try_emplace(aJob.id_);
  if (isNew) {
    job->second.job_ = &aJob;
    job->second.size_ = sizes_.Estimate(aJob);
  }
  return job->second;
}

void
PlacementPlanner::AddPlacedTasks(StepContext& aStep) const
{
  const auto& jobs = aStep.view_.fleet_->Jobs();
  // Tasks of one job are adjacent in the map.
  JobContext* job = nullptr;
  for (const auto& [id, task] : aStep.view_.fleet_->Tasks()) {
    const bool isLeased = IsLeased(task.phase_);
    if (!isLeased && task.phase_ != TaskPhase::Waiting) {
      continue;
    }
    const auto pending =
      isLeased ? pendingPlacements_.end() : pendingPlacements_.find(id);
    const auto history = taskHistory_.find(id);
    const bool hasEnded = history != taskHistory_.end() &&
                          history->second.lease_ == task.lease_ &&
                          history->second.hasEnded_;
    if ((!isLeased && pending == pendingPlacements_.end()) ||
        (isLeased && hasEnded)) {
      continue;
    }
    if (job == nullptr || job->job_->id_ != task.job_) {
      const auto record = jobs.find(task.job_);
      if (record == jobs.end()) {
        continue;
      }
      job = &JobOf(aStep, record->second);
    }
    Occupy(aStep,
           *job,
           task,
           isLeased ? task.vm_ : pending->second.vm_,
           isLeased ? task.phase_ : TaskPhase::Placed);
  }
}

void
PlacementPlanner::Occupy(StepContext& aStep,
                         JobContext& aJob,
                         const TaskRecord& aTask,
                         const std::string& aVm,
                         TaskPhase aPhase) const
{
  const auto found = aStep.vmById_.find(aVm);
  if (found == aStep.vmById_.end()) {
    return;
  }
  auto& vm = *found->second;
  const auto size = SizeInPhase(SizeOf(aJob, aTask), aPhase);
  const auto before = vm.free_;
  vm.free_ = Subtract(vm.free_, size);
  if (aPhase == TaskPhase::Stopping) {
    vm.pendingFree_ = Sum(vm.pendingFree_, size);
  }
  ++vm.tasks_;
  ++vm.tasksOfJob_[aJob.job_];
  vm.throttled_ += aPhase == TaskPhase::Throttled ? 1 : 0;
  vm.running_.push_back(&aTask);
  if (vm.countsAsUrgentRoom_) {
    auto& pool = aStep.pools_.at(vm.vm_->pool_);
    pool.urgentRoom_ += CountFitting(pool.urgentSize_, vm.free_) -
                        CountFitting(pool.urgentSize_, before);
  }
  ++aJob.byZone_[vm.zone_];
  ++aJob.byRack_[vm.rack_];
  auto& team = aStep.teams_[aJob.job_->team_];
  team = Sum(team, size);
}

TaskSize
PlacementPlanner::SizeOf(const JobContext& aJob, const TaskRecord& aTask) const
{
  auto size = aJob.size_;
  const auto history = taskHistory_.find(aTask.id_);
  if (history != taskHistory_.end() && history->second.lease_ == aTask.lease_) {
    size.milliCores_ = std::max(size.milliCores_, history->second.milliCores_);
    size.memoryMb_ = std::max(size.memoryMb_, history->second.memoryMb_);
  }
  return size;
}

TaskSize
PlacementPlanner::SizeInPhase(TaskSize aSize, TaskPhase aPhase) const
{
  if (aPhase == TaskPhase::Throttled) {
    aSize.milliCores_ =
      aSize.milliCores_ * placementLimits_.throttledPercent_ / 100;
  }
  return aSize;
}

std::uint64_t
PlacementPlanner::LeaseMs(const StepContext& aStep) const
{
  // A lease is renewed when half of it is left, hence the factor 2 (2000 ms).
  const auto forRate =
    2000 * aStep.leased_ / placementLimits_.renewalsPerSecond_;
  return static_cast<std::uint64_t>(
    std::max<std::int64_t>(forRate, placementLimits_.minLease_.count()));
}

PlacementPlanner::TaskHistory&
PlacementPlanner::HistoryOf(const TaskRecord& aTask, MonotonicTime aNow)
{
  auto& history = taskHistory_[aTask.id_];
  if (history.lease_ != aTask.lease_) {
    history = TaskHistory{};
    history.lease_ = aTask.lease_;
  }
  if (!history.phaseSince_ || history.phase_ != aTask.phase_) {
    history.phase_ = aTask.phase_;
    history.phaseSince_ = aNow;
  }
  return history;
}

bool
PlacementPlanner::Propose(StepContext& aStep,
                          const std::string& aIntent,
                          Command aCommand)
{
  return gate_.Propose(aIntent,
                       std::move(aCommand),
                       *aStep.view_.fleet_,
                       aStep.now_,
                       aStep.actions_);
}

bool
PlacementPlanner::Update(StepContext& aStep,
                         const TaskRecord& aTask,
                         TaskPhase aPhase,
                         const std::string& aReason,
                         bool aFailedOnVm)
{
  if (aStep.updates_ >= placementLimits_.updatesPerStep_) {
    return false;
  }
  const bool runs =
    aPhase == TaskPhase::Running || aPhase == TaskPhase::Throttled;
  const bool proposed =
    Propose(aStep,
            "update/" + aTask.id_ + "/" + std::to_string(aTask.lease_) + "/" +
              std::to_string(static_cast<int>(aPhase)),
            UpdateTask{ aTask.id_,
                        aTask.lease_,
                        aPhase,
                        aFailedOnVm,
                        aReason,
                        runs ? LeaseMs(aStep) : 0 });
  aStep.updates_ += proposed ? 1 : 0;
  return proposed;
}

bool
PlacementPlanner::Stop(StepContext& aStep,
                       const TaskRecord& aTask,
                       const std::string& aReason)
{
  if (aStep.stops_ >= placementLimits_.stopsPerStep_ ||
      !Propose(
        aStep,
        "stop/" + aTask.id_ + "/" + std::to_string(aTask.lease_),
        UpdateTask{
          aTask.id_, aTask.lease_, TaskPhase::Stopping, false, aReason, 0 })) {
    return false;
  }
  ++aStep.stops_;
  return true;
}

void
PlacementPlanner::ProcessReports(StepContext& aStep)
{
  const auto& tasks = aStep.view_.fleet_->Tasks();
  for (const auto& [vm, reports] : aStep.view_.reports_) {
    const auto madeAt = aStep.view_.reportsMadeAt_.find(vm);
    if (madeAt == aStep.view_.reportsMadeAt_.end()) {
      continue;
    }
    const auto processed = processedReportsAt_.find(vm);
    if (processed != processedReportsAt_.end() &&
        processed->second == madeAt->second) {
      continue;
    }
    // The remaining reports are processed in the next step.
    if (aStep.updates_ >= placementLimits_.updatesPerStep_) {
      return;
    }
    processedReportsAt_.insert_or_assign(vm, madeAt->second);
    for (const auto& report : reports) {
      const auto task = tasks.find(report.task_);
      // Reports of an older lease belong to an earlier placement.
      if (task != tasks.end() && task->second.vm_ == vm &&
          task->second.lease_ == report.lease_ &&
          IsLeased(task->second.phase_)) {
        ProcessReport(aStep, task->second, report, madeAt->second);
      }
    }
  }
}

void
PlacementPlanner::ProcessReport(StepContext& aStep,
                                const TaskRecord& aTask,
                                const TaskReport& aReport,
                                MonotonicTime aMadeAt)
{
  if (aReport.state_ == "running") {
    ProcessRunning(aStep, aTask, aReport, aMadeAt);
    return;
  }
  auto& history = HistoryOf(aTask, aStep.now_);
  history.hasEnded_ = true;
  if (aReport.state_ == "completed") {
    if (!history.successCounted_) {
      history.successCounted_ = true;
      health_.AddSuccess(aTask.vm_);
    }
    Update(aStep, aTask, TaskPhase::Completed, "");
  } else if (aReport.state_ == "failed") {
    ProcessFailure(aStep, aTask);
  } else {
    Update(aStep, aTask, TaskPhase::Waiting, aReport.state_);
  }
}

void
PlacementPlanner::ProcessRunning(StepContext& aStep,
                                 const TaskRecord& aTask,
                                 const TaskReport& aReport,
                                 MonotonicTime aMadeAt)
{
  auto& history = HistoryOf(aTask, aStep.now_);
  history.reportedAt_ = aMadeAt;
  if (!history.runningSince_) {
    history.runningSince_ = aMadeAt;
  }
  ProcessUsage(aStep, aTask, aReport, aMadeAt);
  if (!history.successCounted_ &&
      aMadeAt - *history.runningSince_ >= placementLimits_.successAfter_) {
    history.successCounted_ = true;
    health_.AddSuccess(aTask.vm_);
  }
  if (aTask.phase_ == TaskPhase::Placed) {
    Update(aStep, aTask, TaskPhase::Running, "");
    return;
  }
  // The lease of a stopping task is not renewed, so that its expiry ends the
  // task if nothing else does.
  const bool isDue =
    aTask.leaseUntilMs_ < aStep.logicalMs_ + LeaseMs(aStep) / 2;
  if (aTask.phase_ != TaskPhase::Stopping && isDue &&
      aStep.now_ - aMadeAt <= limits_.availableFor_) {
    Update(aStep, aTask, aTask.phase_, "");
  }
}

void
PlacementPlanner::ProcessUsage(const StepContext& aStep,
                               const TaskRecord& aTask,
                               const TaskReport& aReport,
                               MonotonicTime aMadeAt)
{
  auto& history = HistoryOf(aTask, aStep.now_);
  const auto measuredAt = aMadeAt - aReport.usageAge_;
  // Usage lags behind: samples from the warm-up are meaningless, and a
  // throttled task uses less than it needs.
  if (aTask.phase_ == TaskPhase::Throttled ||
      measuredAt < *history.runningSince_ + placementLimits_.warmUp_ ||
      (history.sampledAt_ &&
       measuredAt < *history.sampledAt_ + placementLimits_.sampleInterval_)) {
    return;
  }
  history.sampledAt_ = measuredAt;
  history.milliCores_ = aReport.milliCores_;
  history.memoryMb_ = aReport.memoryMb_;
  sizes_.AddSample(
    aTask.job_, aReport.milliCores_, aReport.memoryMb_, aStep.now_);
}

void
PlacementPlanner::ProcessFailure(StepContext& aStep, const TaskRecord& aTask)
{
  auto& history = HistoryOf(aTask, aStep.now_);
  if (!history.failureCounted_) {
    history.failureCounted_ = true;
    history.isTaskFault_ = health_.IsProven(aTask.vm_);
    health_.AddFailure(aTask.vm_, aTask.job_, aStep.now_);
    auto& failure = failures_[aTask.id_];
    auto backOff = placementLimits_.firstBackOff_;
    for (std::int64_t i = 0;
         i < failure.count_ && backOff < placementLimits_.maxBackOff_;
         ++i) {
      backOff *= 2;
    }
    ++failure.count_;
    failure.waitUntil_ =
      aStep.now_ + std::min(backOff, placementLimits_.maxBackOff_);
    failure.lastVm_ = aTask.vm_;
  }
  Update(aStep,
         aTask,
         TaskPhase::Waiting,
         "failed on " + aTask.vm_,
         history.isTaskFault_);
}

std::string
PlacementPlanner::StopReason(const StepContext& aStep,
                             const TaskRecord& aTask) const
{
  const auto& fleet = *aStep.view_.fleet_;
  const auto job = fleet.Jobs().find(aTask.job_);
  if (job == fleet.Jobs().end() || job->second.cancelled_) {
    return "job " + aTask.job_ + " is cancelled";
  }
  const auto vm = fleet.Vms().find(aTask.vm_);
  if (vm != fleet.Vms().end() && vm->second.phase_ == VmPhase::Draining) {
    return "VM " + aTask.vm_ + " drains";
  }
  return {};
}

std::string
PlacementPlanner::EndReason(const StepContext& aStep,
                            const TaskRecord& aTask,
                            const TaskHistory& aHistory) const
{
  const auto madeAt = aStep.view_.reportsMadeAt_.find(aTask.vm_);
  const bool isReporting = madeAt != aStep.view_.reportsMadeAt_.end() &&
                           aStep.now_ - madeAt->second <= limits_.availableFor_;
  if (isReporting) {
    const auto processed = processedReportsAt_.find(aTask.vm_);
    const bool isProcessed = processed != processedReportsAt_.end() &&
                             processed->second == madeAt->second;
    if (!isProcessed || aHistory.hasEnded_ ||
        (aHistory.reportedAt_ && *aHistory.reportedAt_ == madeAt->second)) {
      return {};
    }
  }
  const auto margin =
    static_cast<std::uint64_t>(placementLimits_.leaseMargin_.count());
  if (aStep.logicalMs_ > aTask.leaseUntilMs_ + margin) {
    return "the lease on " + aTask.vm_ + " ended";
  }
  // Orders are sent with the answers to announcements, so a VM that still does
  // not report the task after this time neither runs nor will start it.
  if (aTask.phase_ == TaskPhase::Stopping && isReporting &&
      madeAt->second >=
        *aHistory.phaseSince_ + placementLimits_.unreportedEndAfter_) {
    return "stopped on " + aTask.vm_;
  }
  return {};
}

void
PlacementPlanner::CheckTasks(StepContext& aStep)
{
  const auto& tasks = aStep.view_.fleet_->Tasks();
  const auto count = std::min(tasks.size(),
                              std::max(placementLimits_.minTasksCheckedPerStep_,
                                       tasks.size() / kCheckedTaskDivisor));
  auto task = tasks.lower_bound(nextTaskToCheck_);
  for (std::size_t i = 0; i < count; ++i, ++task) {
    if (task == tasks.end()) {
      task = tasks.begin();
    }
    if (IsLeased(task->second.phase_)) {
      CheckTask(aStep, task->second);
    }
  }
  nextTaskToCheck_ = task == tasks.end() ? std::string() : task->first;
}

void
PlacementPlanner::CheckTask(StepContext& aStep, const TaskRecord& aTask)
{
  const auto& history = HistoryOf(aTask, aStep.now_);
  const auto ended = EndReason(aStep, aTask, history);
  if (!ended.empty()) {
    Update(aStep, aTask, TaskPhase::Waiting, ended);
    return;
  }
  if (aTask.phase_ == TaskPhase::Stopping) {
    return;
  }
  const auto reason = StopReason(aStep, aTask);
  if (!reason.empty()) {
    Stop(aStep, aTask, reason);
  }
}

void
PlacementPlanner::ResumeThrottled(StepContext& aStep)
{
  for (auto& [id, vm] : aStep.vms_) {
    if (vm.throttled_ == 0 || !vm.usable_) {
      continue;
    }
    for (const auto* task : vm.running_) {
      const auto history = taskHistory_.find(task->id_);
      if (task->phase_ != TaskPhase::Throttled ||
          history == taskHistory_.end() ||
          history->second.phase_ != TaskPhase::Throttled ||
          aStep.now_ - *history->second.phaseSince_ <
            placementLimits_.minThrottledTime_) {
        continue;
      }
      const auto size = SizeOf(JobOfTask(aStep, *task), *task);
      const auto more =
        size.milliCores_ - SizeInPhase(size, TaskPhase::Throttled).milliCores_;
      if (more <= vm.free_.milliCores_ &&
          Update(aStep, *task, TaskPhase::Running, "room again")) {
        vm.free_.milliCores_ -= more;
      }
    }
  }
}

} // namespace acaciahill
