#include "workload/test/scheduler_driver.h"

#include "kernel/log_func.h"
#include "workload/workload_text_func.h"

#include <algorithm>

namespace acaciahill::test {

namespace {

// Tests log only errors.
bool
StartTestLog()
{
  static const bool kStarted =
    IsOk(StartLog({ LogLevel::Error, LogFormat::Text, "", "test" }));
  return kStarted;
}

constexpr Millis kStep{ 10 };
constexpr Millis kCommitTime{ 20 };
constexpr Millis kReportInterval{ 1500 };
constexpr Millis kCrashTime{ 3000 };
constexpr Millis kDrainTime{ 2000 };
constexpr Millis kPlannedRestartTime{ 600 };
constexpr Millis kPartitionTime{ 9000 };
constexpr Millis kRunTime{ 500 };
constexpr Millis kGangTimeout{ 3000 };
constexpr std::int64_t kCapacityMilliCores = 4000;
constexpr std::int64_t kCapacityMemoryMb = 4000;

} // namespace

SchedulerDriver::SchedulerDriver(std::uint32_t aSeed, FaultRates aFaults)
  : random_(aSeed)
  , faults_(aFaults)
{
  static_cast<void>(StartTestLog());
  ChangeLeader();
}

void
SchedulerDriver::SetConfig(const WorkloadConfig& aConfig)
{
  config_ = aConfig;
  scheduler_->UseConfig(config_, now_);
}

void
SchedulerDriver::ChangeLeader()
{
  // Uncommitted batches of the former leader may be committed or lost.
  while (!log_.empty() && RandomBelow(2) == 0) {
    committed_.Apply(log_.front().second.events_);
    log_.pop_front();
  }
  log_.clear();
  loggedDoneRuns_.clear();
  submits_.clear();
  cancels_.clear();
  scheduler_ =
    std::make_unique<Scheduler>(committed_, settings_, ++term_, now_);
  if (config_.version_ > 0) {
    scheduler_->UseConfig(config_, now_);
  }
}

void
SchedulerDriver::AddWorker(const std::string& aId, const std::string& aPool)
{
  auto& worker = workers_[aId];
  worker.id_ = aId;
  pools_[aId] = aPool;
  Report(worker);
}

void
SchedulerDriver::Report(const FakeWorker& aWorker)
{
  WorkerReport report;
  report.worker_.id_ = aWorker.id_;
  report.worker_.processStartMs_ = aWorker.processStartMs_;
  report.worker_.pool_ = pools_.at(aWorker.id_);
  report.worker_.address_ = aWorker.id_;
  report.worker_.capacity_ = { kCapacityMilliCores, kCapacityMemoryMb, 0 };
  report.worker_.zone_ = zones_[aWorker.id_];
  report.worker_.vm_ = "vm-" + aWorker.id_;
  report.worker_.draining_ = aWorker.draining_;
  report.leavesInMs_ = aWorker.draining_ ? kDrainTime.count() : 0;
  report.sequence_ = ++reports_[aWorker.id_];
  report.clockMs_ = ClockOf(aWorker);
  scheduler_->ReportWorker(nextToken_++, report, now_);
}

std::int64_t
SchedulerDriver::ClockOf(const FakeWorker& aWorker) const
{
  return now_.time_since_epoch().count() +
         static_cast<std::int64_t>(aWorker.processStartMs_);
}

void
SchedulerDriver::Submit(const JobSpec& aSpec)
{
  specs_[aSpec.id_] = aSpec;
  submits_[nextToken_] = aSpec.id_;
  scheduler_->SubmitJob(nextToken_++, aSpec, now_);
}

void
SchedulerDriver::Cancel(JobId aJob)
{
  cancels_[nextToken_] = aJob;
  scheduler_->CancelJob(nextToken_++, aJob, now_);
}

void
SchedulerDriver::StopFaults()
{
  faults_ = {};
  unavailableUntil_.clear();
  for (auto& [id, worker] : workers_) {
    worker.isPartitioned_ = false;
    worker.up_ = true;
  }
}

void
SchedulerDriver::RunFor(Millis aTime)
{
  const auto until = now_ + aTime;
  while (now_ < until) {
    Step();
  }
}

void
SchedulerDriver::Step()
{
  now_ += kStep;
  if (hasMajority_) {
    scheduler_->ConfirmAuthority(now_);
  }
  while (!delayedOrders_.empty() && delayedOrders_.front().at_ <= now_) {
    const auto delayed = delayedOrders_.front();
    delayedOrders_.pop_front();
    std::visit(
      [this](const auto& aOrder) {
        auto& worker = workers_.at(aOrder.target_.id_);
        // No scheduler can protect a new worker process without a fence from
        // old orders.
        if (worker.up_ && !worker.isPartitioned_ && worker.fence_ > 0) {
          ExecuteOrder(worker, aOrder);
        }
      },
      delayed.order_);
  }
  StepPlannedRestarts();
  StepWorkers();
  AnswerRenewals();
  InjectFaults();
  while (!log_.empty() && log_.front().first <= now_) {
    const auto batch = log_.front().second;
    log_.pop_front();
    committed_.Apply(batch.events_);
    scheduler_->HandleCommit(batch.batch_, now_);
    ExecuteActions();
  }
  if (now_.time_since_epoch().count() % Scheduler::kTick.count() == 0) {
    scheduler_->Tick(now_, 0);
  }
  ExecuteActions();
}

void
SchedulerDriver::InjectFaults()
{
  if (OccursWith(faults_.leaderChangePermille_)) {
    ChangeLeader();
  }
  if (OccursWith(faults_.workerCrashPermille_)) {
    auto victim = std::next(workers_.begin(),
                            RandomBelow(static_cast<int>(workers_.size())));
    Crash(victim->first);
  }
  if (OccursWith(faults_.workerPartitionPermille_)) {
    auto victim = std::next(workers_.begin(),
                            RandomBelow(static_cast<int>(workers_.size())));
    victim->second.isPartitioned_ = true;
    unavailableUntil_[victim->first] = now_ + kPartitionTime;
  }
  // Without such restarts the seeds keep their sequences of faults.
  if (faults_.plannedRestartPermille_ > 0 &&
      OccursWith(faults_.plannedRestartPermille_)) {
    auto& [id, worker] = *std::next(
      workers_.begin(), RandomBelow(static_cast<int>(workers_.size())));
    if (worker.up_ && !worker.isPartitioned_ && !worker.draining_) {
      Drain(id);
      worker.leavesAt_ = now_ + kDrainTime + Millis(RandomBelow(1000));
    }
  }
}

void
SchedulerDriver::StepPlannedRestarts()
{
  for (auto& [id, worker] : workers_) {
    if (!worker.leavesAt_ || *worker.leavesAt_ > now_ ||
        worker.isPartitioned_) {
      continue;
    }
    scheduler_->RemoveWorker(nextToken_++, id, std::nullopt, now_);
    delayedLeaves_.emplace(now_ + Millis(500 + RandomBelow(6000)), id);
    Crash(id);
    unavailableUntil_[id] = now_ + kPlannedRestartTime;
  }
  while (!delayedLeaves_.empty() && delayedLeaves_.begin()->first <= now_) {
    const auto id = delayedLeaves_.begin()->second;
    delayedLeaves_.erase(delayedLeaves_.begin());
    scheduler_->RemoveWorker(nextToken_++, id, std::nullopt, now_);
  }
}

void
SchedulerDriver::Crash(const std::string& aId)
{
  auto& worker = workers_.at(aId);
  const auto born = worker.processStartMs_;
  worker = {};
  worker.id_ = aId;
  worker.processStartMs_ = born + 1;
  worker.up_ = false;
  unavailableUntil_[aId] = now_ + kCrashTime;
}

void
SchedulerDriver::Drain(const std::string& aId)
{
  workers_.at(aId).draining_ = true;
  Report(workers_.at(aId));
}

void
SchedulerDriver::StartWave(const UpkeepWave& aWave)
{
  scheduler_->StartWave(nextToken_++, aWave, now_);
}

void
SchedulerDriver::StepWorkers()
{
  for (auto& [id, worker] : workers_) {
    if (const auto until = unavailableUntil_.find(id);
        until != unavailableUntil_.end() && until->second <= now_) {
      unavailableUntil_.erase(until);
      worker.isPartitioned_ = false;
      worker.up_ = true;
      worker.inUpkeep_ = false;
      reports_[id] += 1;
      Report(worker);
    }
    const bool isDue =
      now_.time_since_epoch().count() % kReportInterval.count() == 0;
    if (worker.up_ && !worker.isPartitioned_ && isDue) {
      Report(worker);
    }
    // Ends that were not acknowledged before the lease expired do not count.
    if (ClockOf(worker) >= worker.leaseEndMs_) {
      for (const auto& end : worker.ended_) {
        lapsedEnds_.emplace(id, worker.processStartMs_, end.number_);
      }
    }
    std::vector<std::pair<TaskKey, RunEnd>> ends;
    for (const auto& [task, run] : worker.runs_) {
      if (ClockOf(worker) >= worker.leaseEndMs_) {
        ends.emplace_back(task, RunEnd::Lapsed);
      } else if (run.endsAt_ <= now_ && !run.isLongRunning_) {
        ends.emplace_back(task, run.end_);
      }
    }
    for (const auto& [task, end] : ends) {
      EndRun(worker, task, end);
    }
  }
  StepGangs();
}

std::vector<TaskKey>
SchedulerDriver::GangMembers(const TaskKey& aTask) const
{
  const auto& step = specs_.at(aTask.job_).steps_[aTask.step_];
  if (!step.gang_) {
    return { aTask };
  }
  std::vector<TaskKey> members;
  for (std::uint32_t index = 0; index < step.tasks_; ++index) {
    members.push_back({ aTask.job_, aTask.occurrence_, aTask.step_, index });
  }
  return members;
}

void
SchedulerDriver::StepGangs()
{
  using Gang = std::tuple<JobId, std::uint32_t, std::uint32_t, std::uint32_t>;
  std::map<Gang, std::vector<std::pair<FakeWorker*, TaskKey>>> gangs;
  for (auto& [id, worker] : workers_) {
    for (const auto& [task, run] : worker.runs_) {
      if (run.gang_) {
        gangs[{ task.job_, task.occurrence_, task.step_, run.run_ }].push_back(
          { &worker, task });
      }
    }
  }
  for (const auto& [gang, members] : gangs) {
    const auto& first = members.front().second;
    const bool isComplete = members.size() == GangMembers(first).size();
    const bool fails = OccursWith(faults_.failedRunPermille_);
    for (const auto& [worker, task] : members) {
      auto& run = worker->runs_.at(task);
      if (isComplete && !run.isGangComplete_) {
        run.isGangComplete_ = true;
        // When one task fails, the others end as broken.
        run.end_ = fails ? RunEnd::Failed : RunEnd::Done;
        run.endsAt_ =
          fails && task != first ? MonotonicTime::max() : now_ + kRunTime;
      } else if (!isComplete && run.isGangComplete_) {
        EndRun(*worker, task, RunEnd::Broken);
      } else if (!isComplete && now_ - run.startedAt_ >= kGangTimeout) {
        ++incompleteGangEnds_;
        EndRun(*worker, task, RunEnd::Alone);
      }
    }
  }
}

void
SchedulerDriver::EndRun(FakeWorker& aWorker, const TaskKey& aTask, RunEnd aEnd)
{
  const auto run = aWorker.runs_.at(aTask).run_;
  aWorker.runs_.erase(aTask);
  aWorker.highestEndedRun_[aTask] =
    std::max(aWorker.highestEndedRun_[aTask], run);
  if (aEnd == RunEnd::Done) {
    const auto members = GangMembers(aTask);
    doneTasks_.insert(members.begin(), members.end());
  }
  aWorker.ended_.push_back({ aWorker.nextEnd_++, aTask, run, aEnd, {} });
}

void
SchedulerDriver::ExecuteActions()
{
  while (true) {
    const auto actions = scheduler_->TakeActions(now_);
    if (actions.empty()) {
      return;
    }
    for (const auto& action : actions) {
      std::visit([this](const auto& aOne) { Execute(aOne); }, action);
    }
  }
}

void
SchedulerDriver::Execute(const AppendBatch& aAction)
{
  for (const auto& event : aAction.events_.events_) {
    const auto* closed = std::get_if<RunClosed>(&event);
    if (closed != nullptr && closed->end_ == RunEnd::Done &&
        !loggedDoneRuns_.emplace(closed->task_, closed->run_).second) {
      violations_.push_back("logged as done twice: " + TaskText(closed->task_));
    }
  }
  log_.emplace_back(now_ + kCommitTime, aAction);
}

void
SchedulerDriver::Execute(const AnswerRequest& aAction)
{
  if (const auto submit = submits_.extract(aAction.token_);
      !submit.empty() && aAction.outcome_ == RequestOutcome::Accepted) {
    accepted_.insert(submit.mapped());
    if (committed_.FindJob(submit.mapped()) == nullptr) {
      violations_.push_back("accepted before the commit: " +
                            JobText(submit.mapped()));
    }
  }
}

FakeWorker*
SchedulerDriver::FindReachable(const OrderTarget& aTarget)
{
  auto& worker = workers_.at(aTarget.id_);
  return worker.up_ && !worker.isPartitioned_ ? &worker : nullptr;
}

void
SchedulerDriver::CheckStart(const StartRun& aOrder, const FakeWorker& aWorker)
{
  const auto text = TaskText(aOrder.task_) + " run " +
                    std::to_string(aOrder.run_) + " on " + aWorker.id_;
  for (const auto& [id, other] : workers_) {
    const auto found = other.runs_.find(aOrder.task_);
    if (other.up_ && found != other.runs_.end() &&
        !(id == aWorker.id_ && found->second.run_ == aOrder.run_)) {
      violations_.push_back("two runs at once: " + text + (" and " + id));
    }
  }
  if (acknowledgedDoneTasks_.contains(aOrder.task_)) {
    violations_.push_back("started after it was done: " + text);
  }
  const auto spec = specs_.find(aOrder.task_.job_);
  if (spec == specs_.end()) {
    violations_.push_back("started but never submitted: " + text);
    return;
  }
  for (const auto before : spec->second.steps_[aOrder.task_.step_].after_) {
    for (std::uint32_t index = 0; index < spec->second.steps_[before].tasks_;
         ++index) {
      if (!doneTasks_.contains({ aOrder.task_.job_, 0, before, index })) {
        violations_.push_back("started before its dependencies were done: " +
                              text);
      }
    }
  }
}

OrderAnswer
SchedulerDriver::ExecuteOrder(FakeWorker& aWorker, const StartRun& aOrder)
{
  OrderAnswer answer{ OrderOutcome::Taken, ClockOf(aWorker) };
  if (aOrder.target_.fence_ < aWorker.fence_) {
    answer.outcome_ = OrderOutcome::Fenced;
    return answer;
  }
  aWorker.fence_ = aOrder.target_.fence_;
  if (ClockOf(aWorker) >= aOrder.target_.leaseEndMs_) {
    answer.outcome_ = OrderOutcome::TooLate;
    return answer;
  }
  aWorker.leaseEndMs_ =
    std::max(aWorker.leaseEndMs_, aOrder.target_.leaseEndMs_);
  const auto endedRun = aWorker.highestEndedRun_.find(aOrder.task_);
  const auto present = aWorker.runs_.find(aOrder.task_);
  if (present != aWorker.runs_.end() && present->second.run_ == aOrder.run_) {
    return answer;
  }
  if (present != aWorker.runs_.end() ||
      (endedRun != aWorker.highestEndedRun_.end() &&
       aOrder.run_ <= endedRun->second)) {
    answer.outcome_ = OrderOutcome::TooOld;
    return answer;
  }
  CheckStart(aOrder, aWorker);
  const auto& step = specs_.at(aOrder.task_.job_).steps_[aOrder.task_.step_];
  FakeWorker::Run run;
  run.run_ = aOrder.run_;
  const auto runTime = runTimes_.find(aOrder.task_.job_);
  run.endsAt_ =
    now_ + (runTime == runTimes_.end() ? kRunTime + Millis(RandomBelow(500))
                                       : runTime->second);
  run.end_ =
    OccursWith(faults_.failedRunPermille_) ? RunEnd::Failed : RunEnd::Done;
  run.isLongRunning_ = step.isLongRunning_;
  run.gang_ = step.gang_;
  run.startedAt_ = now_;
  run.endsAt_ = step.gang_ ? MonotonicTime::max() : run.endsAt_;
  run.milliCores_ = step.usesSpareCores_ ? 0 : step.need_.milliCores_;
  run.memoryMb_ = step.need_.memoryMb_;
  aWorker.runs_[aOrder.task_] = run;
  firstStarts_.try_emplace(aOrder.task_, now_);
  std::int64_t milliCores = 0;
  std::int64_t memory = 0;
  for (const auto& [task, each] : aWorker.runs_) {
    milliCores += each.milliCores_;
    memory += each.memoryMb_;
  }
  if (milliCores > kCapacityMilliCores || memory > kCapacityMemoryMb) {
    violations_.push_back("over capacity: " + aWorker.id_);
  }
  return answer;
}

OrderAnswer
SchedulerDriver::ExecuteOrder(FakeWorker& aWorker, const StopRun& aOrder)
{
  OrderAnswer answer{ OrderOutcome::Taken, ClockOf(aWorker) };
  if (aOrder.target_.fence_ < aWorker.fence_) {
    answer.outcome_ = OrderOutcome::Fenced;
    return answer;
  }
  aWorker.fence_ = aOrder.target_.fence_;
  aWorker.highestEndedRun_[aOrder.task_] =
    std::max(aWorker.highestEndedRun_[aOrder.task_], aOrder.run_);
  const auto found = aWorker.runs_.find(aOrder.task_);
  if (found != aWorker.runs_.end() && found->second.run_ <= aOrder.run_) {
    EndRun(aWorker, aOrder.task_, RunEnd::Stopped);
  }
  return answer;
}

// Executes an order now, after a delay, or not at all, and may lose the answer.
template<typename Order>
OrderAnswer
SchedulerDriver::Deliver(const Order& aOrder)
{
  ++sentOrders_;
  auto* worker = FindReachable(aOrder.target_);
  if (worker == nullptr) {
    return {};
  }
  if (OccursWith(faults_.delayedOrderPermille_)) {
    delayedOrders_.push_back(
      { now_ + Millis(2000 + RandomBelow(10000)), aOrder });
    std::sort(
      delayedOrders_.begin(),
      delayedOrders_.end(),
      [](const auto& aOne, const auto& aTwo) { return aOne.at_ < aTwo.at_; });
    return {};
  }
  const auto answer = ExecuteOrder(*worker, aOrder);
  return OccursWith(faults_.lostAnswerPermille_) ? OrderAnswer{} : answer;
}

void
SchedulerDriver::Execute(const StartRun& aAction)
{
  auto answer = Deliver(aAction);
  if (losesStartAnswers_) {
    answer = {};
  }
  scheduler_->HandleStart(aAction, answer, now_);
}

void
SchedulerDriver::Execute(const StopRun& aAction)
{
  scheduler_->HandleStop(aAction, Deliver(aAction), now_);
}

void
SchedulerDriver::Execute(const RenewLease& aAction)
{
  ++sentOrders_;
  renewals_.push_back(
    { term_, now_ + std::max(aAction.wait_, kStep), aAction });
}

// A renewal is answered after its wait time or as soon as a run has ended.
void
SchedulerDriver::AnswerRenewals()
{
  std::vector<RenewLease> due;
  std::erase_if(renewals_, [&](const auto& aEntry) {
    const auto& [term, dueAt, order] = aEntry;
    const auto& ended = workers_.at(order.target_.id_).ended_;
    const bool hasNewEnds =
      !ended.empty() && ended.back().number_ > order.notedEnds_;
    if (term == term_ && !hasNewEnds && dueAt > now_) {
      return false;
    }
    if (term == term_) {
      due.push_back(order);
    }
    return true;
  });
  for (const auto& order : due) {
    AnswerRenewal(order);
  }
}

void
SchedulerDriver::AnswerRenewal(const RenewLease& aAction)
{
  auto* worker = FindReachable(aAction.target_);
  OrderAnswer answer;
  std::optional<WorkerLists> lists;
  if (worker != nullptr) {
    answer.clockMs_ = ClockOf(*worker);
    if (aAction.target_.fence_ < worker->fence_) {
      answer.outcome_ = OrderOutcome::Fenced;
    } else {
      worker->fence_ = aAction.target_.fence_;
      worker->leaseEndMs_ =
        std::max(worker->leaseEndMs_, aAction.target_.leaseEndMs_);
      std::erase_if(worker->ended_, [&](const EndedRun& aEnd) {
        const bool isNoted = aEnd.number_ <= aAction.notedEnds_;
        const bool stands = !lapsedEnds_.contains(
          { worker->id_, worker->processStartMs_, aEnd.number_ });
        if (isNoted && stands && aEnd.end_ == RunEnd::Done) {
          const auto members = GangMembers(aEnd.task_);
          acknowledgedDoneTasks_.insert(members.begin(), members.end());
        }
        return isNoted;
      });
      answer.outcome_ = OrderOutcome::Taken;
      lists.emplace();
      lists->clockMs_ = ClockOf(*worker);
      lists->processStartMs_ = worker->processStartMs_;
      for (const auto& [task, run] : worker->runs_) {
        lists->running_.push_back({ task, run.run_, {}, 100, std::nullopt });
      }
      lists->ended_ = worker->ended_;
    }
  }
  if (OccursWith(faults_.lostAnswerPermille_)) {
    answer = {};
    lists.reset();
  }
  scheduler_->HandleRenewal(aAction, answer, lists, now_);
}

void
SchedulerDriver::Execute(const PaceRun& aAction)
{
  scheduler_->HandlePace(aAction, { OrderOutcome::Taken, {} }, now_);
}

void
SchedulerDriver::Execute(const ListVms& /*aAction*/)
{
  std::vector<VmListing> vms;
  for (const auto& [id, worker] : workers_) {
    vms.push_back({ "vm-" + id,
                    pools_.at(id),
                    worker.inUpkeep_ ? VmState::Upkeep : VmState::Up,
                    id,
                    "z" });
  }
  vms.insert(vms.end(), spareVms_.begin(), spareVms_.end());
  scheduler_->HandleVms(vms, now_);
}

void
SchedulerDriver::Execute(const BeginUpkeep& aAction)
{
  const auto id = aAction.vm_.substr(std::string("vm-").size());
  for (const auto& [task, run] : workers_.at(id).runs_) {
    interruptedLongRuns_ += run.isLongRunning_ ? 1 : 0;
  }
  Crash(id);
  workers_.at(id).inUpkeep_ = true;
  maintainedVms_.insert(aAction.vm_);
  std::size_t down = 0;
  for (const auto& [each, worker] : workers_) {
    down += worker.inUpkeep_ ? 1 : 0;
  }
  maxVmsDown_ = std::max(maxVmsDown_, down);
  scheduler_->HandleUpkeep(aAction, VmOutcome::Begun, now_);
}

void
SchedulerDriver::Execute(const MoveVm& aAction)
{
  movedVms_.push_back(aAction.vm_);
  moveTimes_.push_back(now_);
  scheduler_->HandleMove(aAction, moveOutcome_, now_);
}

} // namespace acaciahill::test
