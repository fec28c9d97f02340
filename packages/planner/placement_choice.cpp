#include "planner/placement_planner_base.h"

#include <algorithm>
#include <tuple>

namespace acaciahill {

namespace {

// Throttled or stopped for one urgent task at most.
constexpr std::size_t kMostDisplaced = 8;

template<typename Key>
std::int64_t
CountOf(const std::map<Key, std::int64_t>& aCounts, const Key& aKey)
{
  const auto found = aCounts.find(aKey);
  return found == aCounts.end() ? 0 : found->second;
}

// A learned size may exceed every VM; such a task gets a whole VM.
TaskSize
CappedTo(const TaskSize& aSize, const VmRecord& aVm)
{
  return { std::min(aSize.milliCores_, aVm.identity_.cores_ * 1000),
           std::min(aSize.memoryMb_, aVm.identity_.memoryMb_),
           aSize.slots_ };
}

} // namespace

void
PlacementPlanner::Place(Round& aRound, bool aUrgent)
{
  auto teams = WaitingJobs(aRound, aUrgent);
  while (!teams.empty() &&
         aRound.placements_ < placementLimits_.placementsPerStep_ &&
         aRound.tries_ < placementLimits_.triesPerStep_) {
    const auto team = std::min_element(
      teams.begin(), teams.end(), [&](const auto& aLeft, const auto& aRight) {
        return ShareOf(aRound, aLeft.first) < ShareOf(aRound, aRight.first);
      });
    if (!PlaceNext(aRound, *team->second.front())) {
      team->second.pop_front();
    }
    if (team->second.empty()) {
      teams.erase(team);
    }
  }
}

std::map<std::string, std::deque<PlacementPlanner::JobRound*>>
PlacementPlanner::WaitingJobs(Round& aRound, bool aUrgent) const
{
  std::map<std::string, std::deque<JobRound*>> teams;
  for (auto& [id, job] : aRound.jobs_) {
    if (!job.waiting_.empty() && job.job_->urgent_ == aUrgent &&
        !IsBlocked(*job.job_)) {
      teams[job.job_->team_].push_back(&job);
    }
  }
  return teams;
}

double
PlacementPlanner::ShareOf(const Round& aRound, const std::string& aTeam) const
{
  const auto used = aRound.teams_.find(aTeam);
  if (used == aRound.teams_.end()) {
    return 0;
  }
  const auto& quotas = aRound.view_.fleet_->Quotas();
  const auto quota = quotas.find(aTeam);
  const auto share = [](std::int64_t aUsed,
                        std::int64_t aQuota,
                        std::int64_t aTotal) {
    // Teams without a quota share as if it were everything.
    const auto whole = std::max<std::int64_t>(aQuota > 0 ? aQuota : aTotal, 1);
    return static_cast<double>(aUsed) / static_cast<double>(whole);
  };
  const bool hasQuota = quota != quotas.end();
  return std::max(share(used->second.milliCores_,
                        hasQuota ? quota->second.milliCores_ : 0,
                        aRound.total_.milliCores_),
                  share(used->second.memoryMb_,
                        hasQuota ? quota->second.memoryMb_ : 0,
                        aRound.total_.memoryMb_));
}

void
PlacementPlanner::Block(const Round& aRound, const JobRecord& aJob)
{
  (aJob.urgent_ ? urgentBlocked_ : blocked_).Pass(aJob.id_, aRound.now_);
}

bool
PlacementPlanner::IsBlocked(const JobRecord& aJob) const
{
  return (aJob.urgent_ ? urgentBlocked_ : blocked_).IsPending(aJob.id_);
}

bool
PlacementPlanner::PlaceNext(Round& aRound, JobRound& aJob)
{
  if (aJob.next_ >= aJob.waiting_.size()) {
    return false;
  }
  const auto& task = *aJob.waiting_[aJob.next_];
  ++aJob.next_;
  ++aRound.tries_;
  auto* vm = FindVm(aRound, aJob, task);
  if (vm == nullptr && aJob.job_->urgent_) {
    const auto room = MakeRoom(aRound, aJob, task);
    if (room.isComing_) {
      return true;
    }
    vm = room.vm_;
  }
  if (vm != nullptr && ProposePlacement(aRound, aJob, task, *vm)) {
    return true;
  }
  // A task that failed somewhere has fewer VMs to choose from than the others.
  const bool hasFailed =
    !task.failedOn_.empty() || failures_.contains(task.id_);
  if (!hasFailed) {
    Block(aRound, *aJob.job_);
  }
  return hasFailed;
}

bool
PlacementPlanner::ProposePlacement(Round& aRound,
                                   JobRound& aJob,
                                   const TaskRecord& aTask,
                                   VmRound& aVm)
{
  const auto& vm = aVm.vm_->identity_.id_;
  if (!Propose(aRound,
               "place/" + aTask.id_ + "/" + std::to_string(aTask.lease_),
               PlaceTask{ aTask.id_,
                          vm,
                          static_cast<std::uint64_t>(
                            placementLimits_.shortestLease_.count()) })) {
    return false;
  }
  sent_.insert_or_assign(aTask.id_,
                         SentPlacement{ vm, aTask.lease_, aRound.now_ });
  Occupy(aRound, aJob, aTask, vm, TaskPhase::Placed);
  ++aRound.placements_;
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
PlacementPlanner::MayRunOn(const Round& aRound,
                           const PoolRound& aPool,
                           const TaskRecord& aTask,
                           const VmRound& aVm) const
{
  const auto& id = aVm.vm_->identity_.id_;
  return aVm.tasks_ < health_.TaskLimit(id, aRound.now_) &&
         (aPool.isSmall_ || !HasFailedOn(aTask, id));
}

bool
PlacementPlanner::KeepsUrgentRoom(const PoolRound& aPool,
                                  const VmRound& aVm,
                                  const TaskSize& aSize)
{
  if (!aVm.takesUrgent_) {
    return true;
  }
  const auto& size = aPool.urgentSize_;
  const auto taken =
    TimesIn(size, aVm.free_) - TimesIn(size, Subtract(aVm.free_, aSize));
  return taken == 0 || aPool.urgentRoom_ - taken >= aPool.urgentRoomKept_;
}

PlacementPlanner::VmRound*
PlacementPlanner::FindVm(Round& aRound,
                         const JobRound& aJob,
                         const TaskRecord& aTask) const
{
  const auto pool = aRound.pools_.find(aJob.job_->pool_);
  if (pool == aRound.pools_.end()) {
    return nullptr;
  }
  const auto& size = aJob.size_;
  VmRound* best = nullptr;
  std::tuple<bool, bool, std::int64_t, std::int64_t, std::int64_t, double>
    bestScore;
  for (auto* vm : pool->second.vms_) {
    const auto capped = CappedTo(size, *vm->vm_);
    if (!Fits(capped, vm->free_) ||
        !MayRunOn(aRound, pool->second, aTask, *vm) ||
        (!aJob.job_->urgent_ &&
         (vm->throttled_ > 0 || !KeepsUrgentRoom(pool->second, *vm, capped)))) {
      continue;
    }
    // Spread over zones, racks and VMs first; then the tightest fit, so that
    // large holes stay whole.
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

const PlacementPlanner::JobRound&
PlacementPlanner::JobOfTask(const Round& aRound, const TaskRecord& aTask) const
{
  return aRound.jobs_.at(aTask.job_);
}

std::vector<const TaskRecord*>
PlacementPlanner::NotUrgent(const Round& aRound, const VmRound& aVm) const
{
  std::vector<std::pair<std::int64_t, const TaskRecord*>> tasks;
  for (const auto* task : aVm.running_) {
    const auto& job = JobOfTask(aRound, *task);
    const bool canGiveWay = task->phase_ == TaskPhase::Running ||
                            task->phase_ == TaskPhase::Throttled;
    if (!job.job_->urgent_ && canGiveWay) {
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

PlacementPlanner::Room
PlacementPlanner::MakeRoom(Round& aRound,
                           const JobRound& aJob,
                           const TaskRecord& aTask)
{
  const auto pool = aRound.pools_.find(aJob.job_->pool_);
  if (pool == aRound.pools_.end()) {
    return {};
  }
  const auto& size = aJob.size_;
  std::vector<VmRound*> candidates;
  std::copy_if(pool->second.vms_.begin(),
               pool->second.vms_.end(),
               std::back_inserter(candidates),
               [&](const auto* aVm) {
                 return MayRunOn(aRound, pool->second, aTask, *aVm);
               });
  for (auto* vm : candidates) {
    if (ThrottleFor(aRound, *vm, CappedTo(size, *vm->vm_))) {
      return { vm, false };
    }
  }
  // Checkpointing takes a while; a VM on which enough is stopping already is
  // waited for.
  for (auto* vm : candidates) {
    const auto capped = CappedTo(size, *vm->vm_);
    if (Fits(capped, Sum(vm->free_, vm->soonFree_))) {
      vm->soonFree_ = Subtract(vm->soonFree_, capped);
      return { nullptr, true };
    }
  }
  return { nullptr, StopFor(aRound, candidates, size) };
}

bool
PlacementPlanner::ThrottleFor(Round& aRound,
                              VmRound& aVm,
                              const TaskSize& aSize)
{
  // Throttling gives back cores only.
  if (aSize.memoryMb_ > aVm.free_.memoryMb_ ||
      aSize.slots_ > aVm.free_.slots_) {
    return false;
  }
  std::vector<std::pair<const TaskRecord*, std::int64_t>> plan;
  auto free = aVm.free_.milliCores_;
  for (const auto* task : NotUrgent(aRound, aVm)) {
    if (free >= aSize.milliCores_ || plan.size() >= kMostDisplaced) {
      break;
    }
    if (task->phase_ == TaskPhase::Running) {
      const auto& job = JobOfTask(aRound, *task);
      const auto full = SizeOf(job, *task);
      const auto gain =
        full.milliCores_ - SizeIn(full, TaskPhase::Throttled).milliCores_;
      plan.emplace_back(task, gain);
      free += gain;
    }
  }
  if (free < aSize.milliCores_) {
    return false;
  }
  for (const auto& [task, gain] : plan) {
    if (!Update(aRound, *task, TaskPhase::Throttled, "room for urgent work")) {
      return false;
    }
    aVm.free_.milliCores_ += gain;
    ++aVm.throttled_;
  }
  return true;
}

bool
PlacementPlanner::StopFor(Round& aRound,
                          const std::vector<VmRound*>& aVms,
                          const TaskSize& aSize)
{
  VmRound* best = nullptr;
  std::vector<const TaskRecord*> bestPlan;
  for (auto* vm : aVms) {
    auto free = Sum(vm->free_, vm->soonFree_);
    const auto capped = CappedTo(aSize, *vm->vm_);
    std::vector<const TaskRecord*> plan;
    for (const auto* task : NotUrgent(aRound, *vm)) {
      if (Fits(capped, free) || plan.size() >= kMostDisplaced) {
        break;
      }
      const auto& job = JobOfTask(aRound, *task);
      free = Sum(free, SizeIn(SizeOf(job, *task), task->phase_));
      plan.push_back(task);
    }
    if (Fits(capped, free) &&
        (best == nullptr || plan.size() < bestPlan.size())) {
      best = vm;
      bestPlan = plan;
    }
  }
  for (const auto* task : bestPlan) {
    const auto& job = JobOfTask(aRound, *task);
    if (Stop(aRound, *task, "room for urgent work")) {
      best->soonFree_ =
        Sum(best->soonFree_, SizeIn(SizeOf(job, *task), task->phase_));
    }
  }
  if (best != nullptr) {
    best->soonFree_ = Subtract(best->soonFree_, CappedTo(aSize, *best->vm_));
  }
  return best != nullptr;
}

} // namespace acaciahill
