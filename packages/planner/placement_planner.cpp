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

constexpr std::size_t kServedShare = 16;
constexpr Millis kForgetInterval{ 10000 };

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
  Round round{ aView, aNow, LogicalNow(aView, aNow) };
  AddWaiting(round);
  TakeReports(round);
  if (HasWork(round)) {
    AddVms(round);
    AddHeld(round);
    Place(round, true);
    round.tries_ = 0;
    Place(round, false);
    ResumeThrottled(round);
  }
  ServeTasks(round);
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
  if (!forgotAt_ || aNow - *forgotAt_ >= kForgetInterval) {
    forgotAt_ = aNow;
    ForgetEnded(aView);
  }
}

void
PlacementPlanner::ForgetEnded(const PlannerView& aView)
{
  const auto& tasks = aView.fleet_->Tasks();
  const auto isOver = [&tasks](const auto& aItem) {
    const auto task = tasks.find(aItem.first);
    return task == tasks.end() || task->second.phase_ == TaskPhase::Completed ||
           task->second.phase_ == TaskPhase::Failed;
  };
  std::erase_if(memory_, isOver);
  std::erase_if(failures_, isOver);
  std::erase_if(takenAt_, [&aView](const auto& aItem) {
    return !aView.fleet_->Vms().contains(aItem.first);
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

bool
PlacementPlanner::MayTry(const Round& aRound, const TaskRecord& aTask) const
{
  const auto failure = failures_.find(aTask.id_);
  return !sent_.contains(aTask.id_) &&
         (failure == failures_.end() ||
          aRound.now_ >= failure->second.waitUntil_);
}

void
PlacementPlanner::AddWaiting(Round& aRound) const
{
  const auto& jobs = aRound.view_.fleet_->Jobs();
  for (const auto& [id, task] : aRound.view_.fleet_->Tasks()) {
    if (IsLeased(task.phase_)) {
      ++aRound.leased_;
      aRound.throttled_ += task.phase_ == TaskPhase::Throttled ? 1 : 0;
    } else if (task.phase_ == TaskPhase::Waiting && MayTry(aRound, task)) {
      const auto job = jobs.find(task.job_);
      if (job != jobs.end() && !job->second.cancelled_) {
        JobOf(aRound, job->second).waiting_.push_back(&task);
      }
    }
  }
}

bool
PlacementPlanner::HasWork(const Round& aRound) const
{
  return aRound.throttled_ > 0 ||
         std::any_of(
           aRound.jobs_.begin(), aRound.jobs_.end(), [this](const auto& aItem) {
             return !IsBlocked(*aItem.second.job_);
           });
}

void
PlacementPlanner::AddVms(Round& aRound) const
{
  std::map<std::string, int> zones;
  std::map<RackKey, int> racks;
  std::map<std::string_view, std::size_t> members;
  EvidenceCursor evidence(aRound.view_);
  for (const auto& [id, vm] : aRound.view_.fleet_->Vms()) {
    auto& vmRound =
      aRound.vms_.emplace_hint(aRound.vms_.end(), id, VmRound{})->second;
    aRound.vmById_.emplace(id, &vmRound);
    vmRound.vm_ = &vm;
    ++members[vm.pool_];
    vmRound.usable_ =
      AvailabilityOf(
        vm, evidence.Find(id), aRound.view_, aRound.now_, limits_) ==
      VmAvailability::Available;
    vmRound.zone_ =
      zones.try_emplace(vm.identity_.zone_, static_cast<int>(zones.size()))
        .first->second;
    vmRound.rack_ =
      racks.try_emplace(RackOf(vm), static_cast<int>(racks.size()))
        .first->second;
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
    pool.isSmall_ = members.at(name) < detail::kMaxTaskFailures;
  }
  SetUrgentRoom(aRound);
}

void
PlacementPlanner::SetUrgentRoom(Round& aRound) const
{
  for (auto& [name, pool] : aRound.pools_) {
    pool.urgentSize_ = SlotShare(pool.total_);
  }
  for (const auto& [id, job] : aRound.view_.fleet_->Jobs()) {
    const auto pool = aRound.pools_.find(job.pool_);
    if (!job.urgent_ || pool == aRound.pools_.end()) {
      continue;
    }
    // A larger size would keep whole VMs free; such tasks wait for room.
    const auto share = SlotShare(pool->second.total_);
    const auto most = Sum(share, share);
    const auto size = sizes_.Estimate(job);
    auto& kept = pool->second.urgentSize_;
    kept = { std::clamp(size.milliCores_, kept.milliCores_, most.milliCores_),
             std::clamp(size.memoryMb_, kept.memoryMb_, most.memoryMb_),
             1 };
  }
  for (auto& [name, pool] : aRound.pools_) {
    const auto share = Percent(pool.total_, placementLimits_.urgentPercent_);
    pool.urgentRoomKept_ = TimesIn(pool.urgentSize_, share);
    for (auto* vm : pool.vms_) {
      const auto limit = health_.TaskLimit(vm->vm_->identity_.id_, aRound.now_);
      vm->takesUrgent_ = limit > 1;
      if (vm->takesUrgent_) {
        pool.urgentRoom_ += TimesIn(pool.urgentSize_, vm->free_);
      }
    }
  }
}

PlacementPlanner::JobRound&
PlacementPlanner::JobOf(Round& aRound, const JobRecord& aJob) const
{
  const auto [job, isNew] = aRound.jobs_.try_emplace(aJob.id_);
  if (isNew) {
    job->second.job_ = &aJob;
    job->second.size_ = sizes_.Estimate(aJob);
  }
  return job->second;
}

void
PlacementPlanner::AddHeld(Round& aRound) const
{
  const auto& jobs = aRound.view_.fleet_->Jobs();
  // Tasks of one job follow each other in the map.
  JobRound* job = nullptr;
  for (const auto& [id, task] : aRound.view_.fleet_->Tasks()) {
    const bool isHeld = IsLeased(task.phase_);
    if (!isHeld && task.phase_ != TaskPhase::Waiting) {
      continue;
    }
    const auto sent = isHeld ? sent_.end() : sent_.find(id);
    const auto memory = memory_.find(id);
    const bool hasEnded = memory != memory_.end() &&
                          memory->second.lease_ == task.lease_ &&
                          memory->second.hasEnded_;
    if ((!isHeld && sent == sent_.end()) || (isHeld && hasEnded)) {
      continue;
    }
    if (job == nullptr || job->job_->id_ != task.job_) {
      const auto record = jobs.find(task.job_);
      if (record == jobs.end()) {
        continue;
      }
      job = &JobOf(aRound, record->second);
    }
    Occupy(aRound,
           *job,
           task,
           isHeld ? task.vm_ : sent->second.vm_,
           isHeld ? task.phase_ : TaskPhase::Placed);
  }
}

void
PlacementPlanner::Occupy(Round& aRound,
                         JobRound& aJob,
                         const TaskRecord& aTask,
                         const std::string& aVm,
                         TaskPhase aPhase) const
{
  const auto found = aRound.vmById_.find(aVm);
  if (found == aRound.vmById_.end()) {
    return;
  }
  auto& vm = *found->second;
  const auto size = SizeIn(SizeOf(aJob, aTask), aPhase);
  const auto before = vm.free_;
  vm.free_ = Less(vm.free_, size);
  if (aPhase == TaskPhase::Stopping) {
    vm.soonFree_ = Sum(vm.soonFree_, size);
  }
  ++vm.tasks_;
  ++vm.tasksOfJob_[aJob.job_];
  vm.throttled_ += aPhase == TaskPhase::Throttled ? 1 : 0;
  vm.running_.push_back(&aTask);
  if (vm.takesUrgent_) {
    auto& pool = aRound.pools_.at(vm.vm_->pool_);
    pool.urgentRoom_ +=
      TimesIn(pool.urgentSize_, vm.free_) - TimesIn(pool.urgentSize_, before);
  }
  ++aJob.byZone_[vm.zone_];
  ++aJob.byRack_[vm.rack_];
  auto& team = aRound.teams_[aJob.job_->team_];
  team = Sum(team, size);
}

TaskSize
PlacementPlanner::SizeOf(const JobRound& aJob, const TaskRecord& aTask) const
{
  auto size = aJob.size_;
  const auto memory = memory_.find(aTask.id_);
  if (memory != memory_.end() && memory->second.lease_ == aTask.lease_) {
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
    memory = TaskMemory{};
    memory.lease_ = aTask.lease_;
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
  return gate_.Propose(aIntent,
                       std::move(aCommand),
                       *aRound.view_.fleet_,
                       aRound.now_,
                       aRound.actions_);
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
PlacementPlanner::TakeReports(Round& aRound)
{
  const auto& tasks = aRound.view_.fleet_->Tasks();
  for (const auto& [vm, reports] : aRound.view_.reports_) {
    const auto madeAt = aRound.view_.reportsMadeAt_.find(vm);
    if (madeAt == aRound.view_.reportsMadeAt_.end()) {
      continue;
    }
    const auto taken = takenAt_.find(vm);
    if (taken != takenAt_.end() && taken->second == madeAt->second) {
      continue;
    }
    // What does not fit into this step is taken in the next one.
    if (aRound.updates_ >= placementLimits_.updatesPerStep_) {
      return;
    }
    takenAt_.insert_or_assign(vm, madeAt->second);
    for (const auto& report : reports) {
      const auto task = tasks.find(report.task_);
      // A report of an older lease belongs to a placement that is over.
      if (task != tasks.end() && task->second.vm_ == vm &&
          task->second.lease_ == report.lease_ &&
          IsLeased(task->second.phase_)) {
        TakeReport(aRound, task->second, report, madeAt->second);
      }
    }
  }
}

void
PlacementPlanner::TakeReport(Round& aRound,
                             const TaskRecord& aTask,
                             const TaskReport& aReport,
                             MonotonicTime aMadeAt)
{
  if (aReport.state_ == "running") {
    TakeRunning(aRound, aTask, aReport, aMadeAt);
    return;
  }
  auto& memory = MemoryOf(aTask, aRound.now_);
  memory.hasEnded_ = true;
  if (aReport.state_ == "completed") {
    if (!memory.successCounted_) {
      memory.successCounted_ = true;
      health_.AddSuccess(aTask.vm_);
    }
    Update(aRound, aTask, TaskPhase::Completed, "");
  } else if (aReport.state_ == "failed") {
    TakeFailure(aRound, aTask);
  } else {
    Update(aRound, aTask, TaskPhase::Waiting, aReport.state_);
  }
}

void
PlacementPlanner::TakeRunning(Round& aRound,
                              const TaskRecord& aTask,
                              const TaskReport& aReport,
                              MonotonicTime aMadeAt)
{
  auto& memory = MemoryOf(aTask, aRound.now_);
  memory.reportedAt_ = aMadeAt;
  if (!memory.runningSince_) {
    memory.runningSince_ = aMadeAt;
  }
  TakeSample(aRound, aTask, aReport, aMadeAt);
  if (!memory.successCounted_ &&
      aMadeAt - *memory.runningSince_ >= placementLimits_.successAfter_) {
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
      aRound.now_ - aMadeAt <= limits_.availableFor_) {
    Update(aRound, aTask, aTask.phase_, "");
  }
}

void
PlacementPlanner::TakeSample(const Round& aRound,
                             const TaskRecord& aTask,
                             const TaskReport& aReport,
                             MonotonicTime aMadeAt)
{
  auto& memory = MemoryOf(aTask, aRound.now_);
  const auto measuredAt = aMadeAt - aReport.usageAge_;
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
    auto& failure = failures_[aTask.id_];
    auto backOff = placementLimits_.firstBackOff_;
    for (std::int64_t i = 0;
         i < failure.count_ && backOff < placementLimits_.longestBackOff_;
         ++i) {
      backOff *= 2;
    }
    ++failure.count_;
    failure.waitUntil_ =
      aRound.now_ + std::min(backOff, placementLimits_.longestBackOff_);
    failure.lastVm_ = aTask.vm_;
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
  const auto madeAt = aRound.view_.reportsMadeAt_.find(aTask.vm_);
  const bool isHeard = madeAt != aRound.view_.reportsMadeAt_.end() &&
                       aRound.now_ - madeAt->second <= limits_.availableFor_;
  if (isHeard) {
    const auto taken = takenAt_.find(aTask.vm_);
    const bool isTaken =
      taken != takenAt_.end() && taken->second == madeAt->second;
    if (!isTaken || aMemory.hasEnded_ ||
        (aMemory.reportedAt_ && *aMemory.reportedAt_ == madeAt->second)) {
      return {};
    }
  }
  const auto margin =
    static_cast<std::uint64_t>(placementLimits_.leaseMargin_.count());
  if (aRound.logicalMs_ > aTask.leaseUntilMs_ + margin) {
    return "the lease on " + aTask.vm_ + " ended";
  }
  // Orders travel with the answers to announcements, so a VM that does not name
  // the task some time later neither runs nor starts it.
  if (aTask.phase_ == TaskPhase::Stopping && isHeard &&
      madeAt->second >= *aMemory.phaseSince_ + placementLimits_.goneAfter_) {
    return "stopped on " + aTask.vm_;
  }
  return {};
}

void
PlacementPlanner::ServeTasks(Round& aRound)
{
  const auto& tasks = aRound.view_.fleet_->Tasks();
  const auto count = std::min(
    tasks.size(),
    std::max(placementLimits_.servedPerStep_, tasks.size() / kServedShare));
  auto task = tasks.lower_bound(serveNext_);
  for (std::size_t i = 0; i < count; ++i, ++task) {
    if (task == tasks.end()) {
      task = tasks.begin();
    }
    if (IsLeased(task->second.phase_)) {
      ServeTask(aRound, task->second);
    }
  }
  serveNext_ = task == tasks.end() ? std::string() : task->first;
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
          memory->second.phase_ != TaskPhase::Throttled ||
          aRound.now_ - *memory->second.phaseSince_ <
            placementLimits_.throttledFor_) {
        continue;
      }
      const auto size = SizeOf(JobOfTask(aRound, *task), *task);
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
