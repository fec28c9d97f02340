#include "planner/placement_planner_base.h"

#include <algorithm>

namespace acaciahill {

namespace {

bool
IsLeased(TaskPhase aPhase)
{
  return aPhase == TaskPhase::Placed || aPhase == TaskPhase::Running ||
         aPhase == TaskPhase::Throttled || aPhase == TaskPhase::Stopping;
}

// Calls aTake with each report of a task under its present lease, and the time
// at which it was made.
template<typename Take>
void
ForEachReport(const PlannerView& aView, Take aTake)
{
  const auto& fleet = *aView.fleet_;
  for (const auto& [vmId, reports] : aView.reports_) {
    const auto vm = fleet.Vms().find(vmId);
    const auto heard = aView.targets_.find(vmId);
    if (vm == fleet.Vms().end() || heard == aView.targets_.end() ||
        heard->second.incarnation_ != vm->second.identity_.incarnation_) {
      continue;
    }
    for (const auto& report : reports) {
      const auto task = fleet.Tasks().find(report.task_);
      // A report of an older lease belongs to a placement that is over.
      if (task != fleet.Tasks().end() && task->second.vm_ == vmId &&
          task->second.lease_ == report.lease_ &&
          IsLeased(task->second.phase_)) {
        aTake(task->second, report, heard->second.madeAt_);
      }
    }
  }
}

} // namespace

PlacementPlanner::PlacementPlanner(PlannerLimits aLimits,
                                   PlacementLimits aPlacementLimits)
  : limits_(aLimits)
  , placementLimits_(aPlacementLimits)
  , gate_(aPlacementLimits.retryAfter_)
  , blocked_(aPlacementLimits.blockedFor_)
  , urgentBlocked_(aPlacementLimits.urgentBlockedFor_)
{
}

std::vector<PlannerAction>
PlacementPlanner::Step(const PlannerView& aView, MonotonicTime aNow)
{
  gate_.Advance(aNow);
  blocked_.Advance(aNow);
  urgentBlocked_.Advance(aNow);
  Forget(aView, aNow);
  if (aView.fleet_->Tasks().empty()) {
    return {};
  }
  auto round = BeginRound(aView, aNow);
  TakeReports(round);
  Place(round, true);
  round.tries_ = 0;
  Place(round, false);
  ServeTasks(round);
  ResumeThrottled(round);
  return std::move(round.actions_);
}

void
PlacementPlanner::Forget(const PlannerView& aView, MonotonicTime aNow)
{
  const auto& tasks = aView.fleet_->Tasks();
  std::erase_if(sent_, [&](const auto& aItem) {
    const auto task = tasks.find(aItem.first);
    return task == tasks.end() || task->second.lease_ != aItem.second.lease_ ||
           task->second.phase_ != TaskPhase::Waiting ||
           aNow - aItem.second.sentAt_ >= placementLimits_.retryAfter_;
  });
  std::erase_if(memory_, [&tasks](const auto& aItem) {
    const auto task = tasks.find(aItem.first);
    return task == tasks.end() || task->second.phase_ == TaskPhase::Completed ||
           task->second.phase_ == TaskPhase::Failed;
  });
  sizes_.Retain(aView.fleet_->Jobs());
  health_.Retain(aView.fleet_->Vms());
}

std::uint64_t
PlacementPlanner::LogicalNow(const PlannerView& aView, MonotonicTime aNow)
{
  // The logical clock stands between commands. Time since its last advance was
  // seen is added, or leases would not end while nothing else happens.
  if (!seenAt_ || aView.fleet_->LogicalMs() != seenLogicalMs_) {
    seenLogicalMs_ = aView.fleet_->LogicalMs();
    seenAt_ = aNow;
  }
  return seenLogicalMs_ + static_cast<std::uint64_t>((aNow - *seenAt_).count());
}

PlacementPlanner::Round
PlacementPlanner::BeginRound(const PlannerView& aView, MonotonicTime aNow)
{
  Round round{
    aView, aNow, LogicalNow(aView, aNow), {}, {}, {}, {}, {}, 0, {}, 0, 0, 0,
    0,     {}
  };
  AddVms(round);
  AddEnded(round);
  AddTasks(round);
  return round;
}

void
PlacementPlanner::AddVms(Round& aRound) const
{
  for (const auto& [id, vm] : aRound.view_.fleet_->Vms()) {
    auto& vmRound = aRound.vms_[id];
    vmRound.vm_ = &vm;
    vmRound.usable_ = AvailabilityOf(vm, aRound.view_, aRound.now_, limits_) ==
                      VmAvailability::Available;
    vmRound.free_ = { vm.identity_.cores_ * 1000,
                      vm.identity_.memoryMb_,
                      vm.identity_.slots_ };
    if (vmRound.usable_) {
      auto& pool = aRound.pools_[vm.pool_];
      pool.vms_.push_back(&vmRound);
      pool.total_ = Sum(pool.total_, vmRound.free_);
      aRound.total_ = Sum(aRound.total_, vmRound.free_);
    }
  }
  for (auto& [name, pool] : aRound.pools_) {
    pool.free_ = pool.total_;
  }
}

void
PlacementPlanner::AddTasks(Round& aRound) const
{
  const auto& jobs = aRound.view_.fleet_->Jobs();
  for (const auto& [id, task] : aRound.view_.fleet_->Tasks()) {
    const auto job = jobs.find(task.job_);
    if (job == jobs.end()) {
      continue;
    }
    const auto sent = sent_.find(id);
    if (sent != sent_.end()) {
      Occupy(aRound, task, job->second, sent->second.vm_, TaskPhase::Placed);
    } else if (IsLeased(task.phase_) && !aRound.ended_.contains(id)) {
      Occupy(aRound, task, job->second, task.vm_, task.phase_);
    } else if (task.phase_ == TaskPhase::Waiting && !job->second.cancelled_) {
      auto& jobRound = aRound.jobs_[task.job_];
      jobRound.job_ = &job->second;
      jobRound.waiting_.push_back(&task);
    }
  }
}

void
PlacementPlanner::Occupy(Round& aRound,
                         const TaskRecord& aTask,
                         const JobRecord& aJob,
                         const std::string& aVm,
                         TaskPhase aPhase) const
{
  const auto found = aRound.vms_.find(aVm);
  if (found == aRound.vms_.end()) {
    return;
  }
  auto& vm = found->second;
  const auto size = SizeIn(SizeOf(aJob, &aTask), aPhase);
  vm.free_ = Less(vm.free_, size);
  if (aPhase == TaskPhase::Stopping) {
    vm.soonFree_ = Sum(vm.soonFree_, size);
  }
  ++vm.tasks_;
  ++vm.tasksOfJob_[aJob.id_];
  vm.throttled_ += aPhase == TaskPhase::Throttled ? 1 : 0;
  vm.running_.push_back(&aTask);
  if (vm.usable_) {
    auto& pool = aRound.pools_.at(vm.vm_->pool_);
    pool.free_ = Less(pool.free_, size);
  }
  auto& job = aRound.jobs_[aJob.id_];
  job.job_ = &aJob;
  ++job.byZone_[vm.vm_->identity_.zone_];
  ++job.byRack_[RackOf(*vm.vm_)];
  auto& team = aRound.teams_[aJob.team_];
  team = Sum(team, size);
  ++aRound.leased_;
}

TaskSize
PlacementPlanner::SizeOf(const JobRecord& aJob, const TaskRecord* aTask) const
{
  auto size = sizes_.Estimate(aJob);
  const auto memory =
    aTask == nullptr ? memory_.end() : memory_.find(aTask->id_);
  if (memory != memory_.end() && memory->second.lease_ == aTask->lease_) {
    size.milliCores_ = std::max(size.milliCores_, memory->second.milliCores_);
    size.memoryMb_ = std::max(size.memoryMb_, memory->second.memoryMb_);
  }
  return size;
}

TaskSize
PlacementPlanner::SizeIn(TaskSize aSize, TaskPhase aPhase) const
{
  if (aPhase == TaskPhase::Throttled) {
    aSize.milliCores_ =
      aSize.milliCores_ * placementLimits_.throttledPercent_ / 100;
  }
  return aSize;
}

std::uint64_t
PlacementPlanner::LeaseMs(const Round& aRound) const
{
  // A lease is renewed at half its time.
  const auto forRate =
    2000 * aRound.leased_ / placementLimits_.renewalsPerSecond_;
  return static_cast<std::uint64_t>(
    std::max<std::int64_t>(forRate, placementLimits_.shortestLease_.count()));
}

PlacementPlanner::TaskMemory&
PlacementPlanner::MemoryOf(const TaskRecord& aTask, MonotonicTime aNow)
{
  auto& memory = memory_[aTask.id_];
  if (memory.lease_ != aTask.lease_) {
    TaskMemory fresh;
    fresh.lease_ = aTask.lease_;
    fresh.failures_ = memory.failures_;
    fresh.waitUntil_ = memory.waitUntil_;
    fresh.lastFailedOn_ = memory.lastFailedOn_;
    memory = fresh;
  }
  if (!memory.phaseSince_ || memory.phase_ != aTask.phase_) {
    memory.phase_ = aTask.phase_;
    memory.phaseSince_ = aNow;
  }
  return memory;
}

bool
PlacementPlanner::Propose(Round& aRound,
                          const std::string& aIntent,
                          Command aCommand)
{
  if (gate_.IsPending(aIntent) || aRound.view_.fleet_->Check(aCommand)) {
    return false;
  }
  gate_.Pass(aIntent, aRound.now_);
  aRound.actions_.emplace_back(ProposeCommand{ std::move(aCommand) });
  return true;
}

bool
PlacementPlanner::Update(Round& aRound,
                         const TaskRecord& aTask,
                         TaskPhase aPhase,
                         const std::string& aReason,
                         bool aFailedOnVm)
{
  if (aRound.updates_ >= placementLimits_.updatesPerStep_) {
    return false;
  }
  const bool runs =
    aPhase == TaskPhase::Running || aPhase == TaskPhase::Throttled;
  const bool proposed =
    Propose(aRound,
            "update/" + aTask.id_ + "/" + std::to_string(aTask.lease_) + "/" +
              std::to_string(static_cast<int>(aPhase)),
            UpdateTask{ aTask.id_,
                        aTask.lease_,
                        aPhase,
                        aFailedOnVm,
                        aReason,
                        runs ? LeaseMs(aRound) : 0 });
  aRound.updates_ += proposed ? 1 : 0;
  return proposed;
}

bool
PlacementPlanner::Stop(Round& aRound,
                       const TaskRecord& aTask,
                       const std::string& aReason)
{
  if (aRound.stops_ >= placementLimits_.stopsPerStep_ ||
      !Propose(
        aRound,
        "stop/" + aTask.id_ + "/" + std::to_string(aTask.lease_),
        UpdateTask{
          aTask.id_, aTask.lease_, TaskPhase::Stopping, false, aReason, 0 })) {
    return false;
  }
  ++aRound.stops_;
  return true;
}

void
PlacementPlanner::AddEnded(Round& aRound) const
{
  ForEachReport(aRound.view_,
                [&](const auto& aTask, const auto& aReport, auto) {
                  if (aReport.state_ != "running") {
                    aRound.ended_.insert(aTask.id_);
                  }
                });
}

void
PlacementPlanner::TakeReports(Round& aRound)
{
  ForEachReport(
    aRound.view_,
    [&](const auto& aTask, const auto& aReport, MonotonicTime aHeardAt) {
      TakeReport(aRound, aTask, aReport, aHeardAt);
    });
}

void
PlacementPlanner::TakeReport(Round& aRound,
                             const TaskRecord& aTask,
                             const TaskReport& aReport,
                             MonotonicTime aHeardAt)
{
  if (aReport.state_ == "running") {
    TakeRunning(aRound, aTask, aReport, aHeardAt);
  } else if (aReport.state_ == "completed") {
    auto& memory = MemoryOf(aTask, aRound.now_);
    if (!memory.successCounted_) {
      memory.successCounted_ = true;
      health_.AddSuccess(aTask.vm_);
    }
    Update(aRound, aTask, TaskPhase::Completed, "");
  } else if (aReport.state_ == "failed") {
    TakeFailure(aRound, aTask);
  } else if (aReport.state_ == "checkpointed") {
    Update(aRound, aTask, TaskPhase::Waiting, "checkpointed");
  }
}

void
PlacementPlanner::TakeRunning(Round& aRound,
                              const TaskRecord& aTask,
                              const TaskReport& aReport,
                              MonotonicTime aHeardAt)
{
  auto& memory = MemoryOf(aTask, aRound.now_);
  memory.reportedAt_ = aHeardAt;
  if (!memory.runningSince_) {
    memory.runningSince_ = aHeardAt;
  }
  TakeSample(aRound, aTask, aReport, aHeardAt);
  if (!memory.successCounted_ &&
      aHeardAt - *memory.runningSince_ >= placementLimits_.successAfter_) {
    memory.successCounted_ = true;
    health_.AddSuccess(aTask.vm_);
  }
  if (aTask.phase_ == TaskPhase::Placed) {
    Update(aRound, aTask, TaskPhase::Running, "");
    return;
  }
  // A stopping task gets no more time: its lease ends it if nothing else does.
  const bool isDue =
    aTask.leaseUntilMs_ < aRound.logicalMs_ + LeaseMs(aRound) / 2;
  if (aTask.phase_ != TaskPhase::Stopping && isDue &&
      aRound.now_ - aHeardAt <= limits_.availableFor_) {
    Update(aRound, aTask, aTask.phase_, "");
  }
}

void
PlacementPlanner::TakeSample(const Round& aRound,
                             const TaskRecord& aTask,
                             const TaskReport& aReport,
                             MonotonicTime aHeardAt)
{
  auto& memory = MemoryOf(aTask, aRound.now_);
  const auto measuredAt = aHeardAt - aReport.usageAge_;
  // Usage lags: a sample from before the task had begun its work says nothing,
  // and a throttled task shows less than it needs.
  if (aTask.phase_ == TaskPhase::Throttled ||
      measuredAt < *memory.runningSince_ + placementLimits_.warmUp_ ||
      (memory.sampledAt_ &&
       measuredAt < *memory.sampledAt_ + placementLimits_.sampleInterval_)) {
    return;
  }
  memory.sampledAt_ = measuredAt;
  memory.milliCores_ = aReport.milliCores_;
  memory.memoryMb_ = aReport.memoryMb_;
  sizes_.Learn(aTask.job_, aReport.milliCores_, aReport.memoryMb_, aRound.now_);
}

void
PlacementPlanner::TakeFailure(Round& aRound, const TaskRecord& aTask)
{
  auto& memory = MemoryOf(aTask, aRound.now_);
  if (!memory.failureCounted_) {
    memory.failureCounted_ = true;
    memory.isAtFault_ = health_.IsProven(aTask.vm_);
    health_.AddFailure(aTask.vm_, aTask.job_, aRound.now_);
    auto backOff = placementLimits_.firstBackOff_;
    for (std::int64_t i = 0;
         i < memory.failures_ && backOff < placementLimits_.longestBackOff_;
         ++i) {
      backOff *= 2;
    }
    ++memory.failures_;
    memory.waitUntil_ =
      aRound.now_ + std::min(backOff, placementLimits_.longestBackOff_);
    memory.lastFailedOn_ = aTask.vm_;
  }
  Update(aRound,
         aTask,
         TaskPhase::Waiting,
         "failed on " + aTask.vm_,
         memory.isAtFault_);
}

std::string
PlacementPlanner::StopReason(const Round& aRound, const TaskRecord& aTask) const
{
  const auto& fleet = *aRound.view_.fleet_;
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
PlacementPlanner::EndReason(const Round& aRound,
                            const TaskRecord& aTask,
                            const TaskMemory& aMemory) const
{
  const auto heard = aRound.view_.targets_.find(aTask.vm_);
  const bool isHeard =
    heard != aRound.view_.targets_.end() &&
    aRound.now_ - heard->second.madeAt_ <= limits_.availableFor_;
  const bool isReported = isHeard && aMemory.reportedAt_ &&
                          *aMemory.reportedAt_ == heard->second.madeAt_;
  const auto margin =
    static_cast<std::uint64_t>(placementLimits_.leaseMargin_.count());
  if (!isReported && aRound.logicalMs_ > aTask.leaseUntilMs_ + margin) {
    return "the lease on " + aTask.vm_ + " ended";
  }
  // Orders travel with the answers to announcements, so a VM that names the
  // task in none of its statements of this time neither runs nor starts it.
  if (aTask.phase_ == TaskPhase::Stopping && isHeard && !isReported &&
      heard->second.madeAt_ >=
        *aMemory.phaseSince_ + placementLimits_.goneAfter_) {
    return "stopped on " + aTask.vm_;
  }
  return {};
}

void
PlacementPlanner::ServeTasks(Round& aRound)
{
  for (const auto& [id, task] : aRound.view_.fleet_->Tasks()) {
    if (IsLeased(task.phase_)) {
      ServeTask(aRound, task);
    }
  }
}

void
PlacementPlanner::ServeTask(Round& aRound, const TaskRecord& aTask)
{
  const auto& memory = MemoryOf(aTask, aRound.now_);
  const auto ended = EndReason(aRound, aTask, memory);
  if (!ended.empty()) {
    Update(aRound, aTask, TaskPhase::Waiting, ended);
    return;
  }
  if (aTask.phase_ == TaskPhase::Stopping) {
    return;
  }
  const auto reason = StopReason(aRound, aTask);
  if (!reason.empty()) {
    Stop(aRound, aTask, reason);
  }
}

void
PlacementPlanner::ResumeThrottled(Round& aRound)
{
  for (auto& [id, vm] : aRound.vms_) {
    if (vm.throttled_ == 0 || !vm.usable_) {
      continue;
    }
    for (const auto* task : vm.running_) {
      const auto memory = memory_.find(task->id_);
      if (task->phase_ != TaskPhase::Throttled || memory == memory_.end() ||
          aRound.now_ - *memory->second.phaseSince_ <
            placementLimits_.throttledFor_) {
        continue;
      }
      const auto& job = aRound.view_.fleet_->Jobs().at(task->job_);
      const auto size = SizeOf(job, task);
      const auto more =
        size.milliCores_ - SizeIn(size, TaskPhase::Throttled).milliCores_;
      if (more <= vm.free_.milliCores_ &&
          Update(aRound, *task, TaskPhase::Running, "room again")) {
        vm.free_.milliCores_ -= more;
      }
    }
  }
}

} // namespace acaciahill
