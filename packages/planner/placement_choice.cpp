#include "planner/placement_planner_base.h"

#include <algorithm>
#include <tuple>

namespace acaciahill {

namespace {

// Maximum number of tasks throttled or stopped for one urgent task.
constexpr std::size_t kMaxDisplacedTasks = 8;

template<typename Key>
std::int64_t
CountOf(const std::map<Key, std::int64_t>& aCounts, const Key& aKey)
{
  const auto found = aCounts.find(aKey);
  return found == aCounts.end() ? 0 : found->second;
}

// A measured size may exceed every VM; such a task gets a whole VM.
TaskSize
CapToVm(const TaskSize& aSize, const VmRecord& aVm)
{
  return { std::min(aSize.milliCores_, aVm.identity_.cores_ * 1000),
           std::min(aSize.memoryMb_, aVm.identity_.memoryMb_),
           aSize.slots_ };
}

} // namespace

void
PlacementPlanner::Place(StepContext& aStep, bool aUrgent)
{
  auto teams = WaitingJobs(aStep, aUrgent);
  while (!teams.empty() &&
         aStep.placements_ < placementLimits_.placementsPerStep_ &&
         aStep.tries_ < placementLimits_.triesPerStep_) {
    const auto team = std::min_element(
      teams.begin(), teams.end(), [&](const auto& aLeft, const auto& aRight) {
        return QuotaShareOf(aStep, aLeft.first) <
               QuotaShareOf(aStep, aRight.first);
      });
    if (!PlaceNext(aStep, *team->second.front())) {
      team->second.pop_front();
    }
    if (team->second.empty()) {
      teams.erase(team);
    }
  }
}

std::map<std::string, std::deque<PlacementPlanner::JobContext*>>
PlacementPlanner::WaitingJobs(StepContext& aStep, bool aUrgent) const
{
  std::map<std::string, std::deque<JobContext*>> teams;
  for (auto& [id, job] : aStep.jobs_) {
    if (!job.waiting_.empty() && job.job_->urgent_ == aUrgent &&
        !IsBlocked(*job.job_)) {
      teams[job.job_->team_].push_back(&job);
    }
  }
  return teams;
}

double
PlacementPlanner::QuotaShareOf(const StepContext& aStep,
                               const std::string& aTeam) const
{
  const auto used = aStep.teams_.find(aTeam);
  if (used == aStep.teams_.end()) {
    return 0;
  }
  const auto& quotas = aStep.view_.fleet_->Quotas();
  const auto quota = quotas.find(aTeam);
  const auto share = [](std::int64_t aUsed,
                        std::int64_t aQuota,
                        std::int64_t aTotal) {
    // A team without a quota is treated as if its quota were the total.
    const auto whole = std::max<std::int64_t>(aQuota > 0 ? aQuota : aTotal, 1);
    return static_cast<double>(aUsed) / static_cast<double>(whole);
  };
  const bool hasQuota = quota != quotas.end();
  return std::max(share(used->second.milliCores_,
                        hasQuota ? quota->second.milliCores_ : 0,
                        aStep.total_.milliCores_),
                  share(used->second.memoryMb_,
                        hasQuota ? quota->second.memoryMb_ : 0,
                        aStep.total_.memoryMb_));
}

void
PlacementPlanner::Block(const StepContext& aStep, const JobRecord& aJob)
{
  (aJob.urgent_ ? urgentBlocked_ : blocked_).TryAcquire(aJob.id_, aStep.now_);
}

bool
PlacementPlanner::IsBlocked(const JobRecord& aJob) const
{
  return (aJob.urgent_ ? urgentBlocked_ : blocked_).IsPending(aJob.id_);
}

bool
PlacementPlanner::PlaceNext(StepContext& aStep, JobContext& aJob)
{
  if (aJob.next_ >= aJob.waiting_.size()) {
    return false;
  }
  const auto& task = *aJob.waiting_[aJob.next_];
  ++aJob.next_;
  ++aStep.tries_;
  auto* vm = FindVm(aStep, aJob, task);
  if (vm == nullptr && aJob.job_->urgent_) {
    const auto room = MakeRoom(aStep, aJob, task);
    if (room.isPending_) {
      return true;
    }
    vm = room.vm_;
  }
  if (vm != nullptr && ProposePlacement(aStep, aJob, task, *vm)) {
    return true;
  }
  // A task that failed has fewer VMs to choose from than the job's other tasks,
  // so it does not block the job.
  const bool hasFailed =
    !task.failedOn_.empty() || failures_.contains(task.id_);
  if (!hasFailed) {
    Block(aStep, *aJob.job_);
  }
  return hasFailed;
}

bool
PlacementPlanner::ProposePlacement(StepContext& aStep,
                                   JobContext& aJob,
                                   const TaskRecord& aTask,
                                   VmContext& aVm)
{
  const auto& vm = aVm.vm_->identity_.id_;
  if (!Propose(aStep,
               "place/" + aTask.id_ + "/" + std::to_string(aTask.lease_),
               PlaceTask{ aTask.id_,
                          vm,
                          static_cast<std::uint64_t>(
                            placementLimits_.minLease_.count()) })) {
    return false;
  }
  pendingPlacements_.insert_or_assign(
    aTask.id_, PendingPlacement{ vm, aTask.lease_, aStep.now_ });
  Occupy(aStep, aJob, aTask, vm, TaskPhase::Placed);
  ++aStep.placements_;
  return true;
}

bool
PlacementPlanner::HasFailedOn(const TaskRecord& aTask,
                              const std::string& aVm) const
{
  const auto failure = failures_.find(aTask.id_);
  const bool failedLast =
    failure != failures_.end() && failure->second.lastVm_ == aVm;
  return failedLast ||
         std::find(aTask.failedOn_.begin(), aTask.failedOn_.end(), aVm) !=
           aTask.failedOn_.end();
}

bool
PlacementPlanner::MayRunOn(const StepContext& aStep,
                           const PoolContext& aPool,
                           const TaskRecord& aTask,
                           const VmContext& aVm) const
{
  const auto& id = aVm.vm_->identity_.id_;
  return aVm.tasks_ < health_.TaskLimit(id, aStep.now_) &&
         (aPool.allowsFailedVms_ || !HasFailedOn(aTask, id));
}

bool
PlacementPlanner::KeepsUrgentRoom(const PoolContext& aPool,
                                  const VmContext& aVm,
                                  const TaskSize& aSize)
{
  if (!aVm.countsAsUrgentRoom_) {
    return true;
  }
  const auto& size = aPool.urgentSize_;
  const auto processed = CountFitting(size, aVm.free_) -
                         CountFitting(size, Subtract(aVm.free_, aSize));
  return processed == 0 ||
         aPool.urgentRoom_ - processed >= aPool.urgentRoomKept_;
}

PlacementPlanner::VmContext*
PlacementPlanner::FindVm(StepContext& aStep,
                         const JobContext& aJob,
                         const TaskRecord& aTask) const
{
  const auto pool = aStep.pools_.find(aJob.job_->pool_);
  if (pool == aStep.pools_.end()) {
    return nullptr;
  }
  const auto& size = aJob.size_;
  VmContext* best = nullptr;
  std::tuple<bool, bool, std::int64_t, std::int64_t, std::int64_t, double>
    bestScore;
  for (auto* vm : pool->second.vms_) {
    const auto capped = CapToVm(size, *vm->vm_);
    if (!Fits(capped, vm->free_) ||
        !MayRunOn(aStep, pool->second, aTask, *vm) ||
        (!aJob.job_->urgent_ &&
         (vm->throttled_ > 0 || !KeepsUrgentRoom(pool->second, *vm, capped)))) {
      continue;
    }
    // Spreads over zones, racks and VMs first, then chooses the best fit, so
    // that large free blocks stay whole.
    const auto left = Subtract(vm->free_, capped);
    const auto& identity = vm->vm_->identity_;
    const std::tuple score{
      HasFailedOn(aTask, identity.id_),
      health_.IsSuspect(identity.id_),
      CountOf(aJob.byZone_, vm->zone_),
      CountOf(aJob.byRack_, vm->rack_),
      CountOf(vm->tasksOfJob_, aJob.job_),
      std::max(
        static_cast<double>(left.milliCores_) /
          static_cast<double>(
            std::max<std::int64_t>(identity.cores_ * 1000, 1)),
        static_cast<double>(left.memoryMb_) /
          static_cast<double>(std::max<std::int64_t>(identity.memoryMb_, 1)))
    };
    if (best == nullptr || score < bestScore) {
      best = vm;
      bestScore = score;
    }
  }
  return best;
}

const PlacementPlanner::JobContext&
PlacementPlanner::JobOfTask(const StepContext& aStep,
                            const TaskRecord& aTask) const
{
  return aStep.jobs_.at(aTask.job_);
}

std::vector<const TaskRecord*>
PlacementPlanner::PreemptibleTasks(const StepContext& aStep,
                                   const VmContext& aVm) const
{
  std::vector<std::pair<std::int64_t, const TaskRecord*>> tasks;
  for (const auto* task : aVm.running_) {
    const auto& job = JobOfTask(aStep, *task);
    const bool isPreemptible = task->phase_ == TaskPhase::Running ||
                               task->phase_ == TaskPhase::Throttled;
    if (!job.job_->urgent_ && isPreemptible) {
      tasks.emplace_back(-SizeOf(job, *task).milliCores_, task);
    }
  }
  std::sort(tasks.begin(), tasks.end(), [](auto& aLeft, auto& aRight) {
    return std::tie(aLeft.first, aLeft.second->id_) <
           std::tie(aRight.first, aRight.second->id_);
  });
  std::vector<const TaskRecord*> sorted;
  sorted.reserve(tasks.size());
  for (const auto& [size, task] : tasks) {
    sorted.push_back(task);
  }
  return sorted;
}

PlacementPlanner::RoomResult
PlacementPlanner::MakeRoom(StepContext& aStep,
                           const JobContext& aJob,
                           const TaskRecord& aTask)
{
  const auto pool = aStep.pools_.find(aJob.job_->pool_);
  if (pool == aStep.pools_.end()) {
    return {};
  }
  const auto& size = aJob.size_;
  std::vector<VmContext*> candidates;
  std::copy_if(pool->second.vms_.begin(),
               pool->second.vms_.end(),
               std::back_inserter(candidates),
               [&](const auto* aVm) {
                 return MayRunOn(aStep, pool->second, aTask, *aVm);
               });
  for (auto* vm : candidates) {
    if (ThrottleFor(aStep, *vm, CapToVm(size, *vm->vm_))) {
      return { vm, false };
    }
  }
  // Checkpoints take time, so a VM on which enough tasks are already stopping
  // is reserved before any others are stopped.
  for (auto* vm : candidates) {
    const auto capped = CapToVm(size, *vm->vm_);
    if (Fits(capped, Sum(vm->free_, vm->pendingFree_))) {
      vm->pendingFree_ = Subtract(vm->pendingFree_, capped);
      return { nullptr, true };
    }
  }
  return { nullptr, StopFor(aStep, candidates, size) };
}

bool
PlacementPlanner::ThrottleFor(StepContext& aStep,
                              VmContext& aVm,
                              const TaskSize& aSize)
{
  // Throttling frees cores only.
  if (aSize.memoryMb_ > aVm.free_.memoryMb_ ||
      aSize.slots_ > aVm.free_.slots_) {
    return false;
  }
  std::vector<std::pair<const TaskRecord*, std::int64_t>> plan;
  auto free = aVm.free_.milliCores_;
  for (const auto* task : PreemptibleTasks(aStep, aVm)) {
    if (free >= aSize.milliCores_ || plan.size() >= kMaxDisplacedTasks) {
      break;
    }
    if (task->phase_ == TaskPhase::Running) {
      const auto& job = JobOfTask(aStep, *task);
      const auto full = SizeOf(job, *task);
      const auto gain =
        full.milliCores_ - SizeInPhase(full, TaskPhase::Throttled).milliCores_;
      plan.emplace_back(task, gain);
      free += gain;
    }
  }
  if (free < aSize.milliCores_) {
    return false;
  }
  for (const auto& [task, gain] : plan) {
    if (!Update(aStep, *task, TaskPhase::Throttled, "room for urgent work")) {
      return false;
    }
    aVm.free_.milliCores_ += gain;
    ++aVm.throttled_;
  }
  return true;
}

bool
PlacementPlanner::StopFor(StepContext& aStep,
                          const std::vector<VmContext*>& aVms,
                          const TaskSize& aSize)
{
  VmContext* best = nullptr;
  std::vector<const TaskRecord*> bestPlan;
  for (auto* vm : aVms) {
    auto free = Sum(vm->free_, vm->pendingFree_);
    const auto capped = CapToVm(aSize, *vm->vm_);
    std::vector<const TaskRecord*> plan;
    for (const auto* task : PreemptibleTasks(aStep, *vm)) {
      if (Fits(capped, free) || plan.size() >= kMaxDisplacedTasks) {
        break;
      }
      const auto& job = JobOfTask(aStep, *task);
      free = Sum(free, SizeInPhase(SizeOf(job, *task), task->phase_));
      plan.push_back(task);
    }
    if (Fits(capped, free) &&
        (best == nullptr || plan.size() < bestPlan.size())) {
      best = vm;
      bestPlan = plan;
    }
  }
  for (const auto* task : bestPlan) {
    const auto& job = JobOfTask(aStep, *task);
    if (Stop(aStep, *task, "room for urgent work")) {
      best->pendingFree_ =
        Sum(best->pendingFree_, SizeInPhase(SizeOf(job, *task), task->phase_));
    }
  }
  if (best != nullptr) {
    best->pendingFree_ =
      Subtract(best->pendingFree_, CapToVm(aSize, *best->vm_));
  }
  return best != nullptr;
}

} // namespace acaciahill
