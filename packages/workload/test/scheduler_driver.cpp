#include "workload/test/scheduler_driver.h"

#include "kernel/log_func.h"
#include "workload/workload_text_func.h"

#include <algorithm>

namespace acaciahill::test {

namespace {

// Tests log errors only.
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
constexpr Millis kDown{ 3000 };
constexpr Millis kCut{ 9000 };
constexpr Millis kRunTime{ 500 };
constexpr Millis kGangTimeout{ 3000 };
constexpr std::int64_t kCores = 4000;
constexpr std::int64_t kMemory = 4000;

} // namespace

SchedulerDriver::SchedulerDriver(std::uint32_t aSeed, Trouble aTrouble)
  : random_(aSeed)
  , trouble_(aTrouble)
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
  // What the former leader proposed may be committed or lost.
  while (!log_.empty() && Draw(2) == 0) {
    committed_.Apply(log_.front().second.events_);
    log_.pop_front();
  }
  log_.clear();
  loggedDone_.clear();
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
  report.worker_.capacity_ = { kCores, kMemory, 0 };
  report.worker_.zone_ = zones_[aWorker.id_];
  report.worker_.vm_ = "vm-" + aWorker.id_;
  report.worker_.draining_ = aWorker.draining_;
  report.leavesInMs_ = aWorker.draining_ ? 2000 : 0;
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
SchedulerDriver::Calm()
{
  trouble_ = {};
  cutUntil_.clear();
  for (auto& [id, worker] : workers_) {
    worker.cut_ = false;
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
  while (!late_.empty() && late_.front().at_ <= now_) {
    const auto late = late_.front();
    late_.pop_front();
    std::visit(
      [this](const auto& aOrder) {
        auto& worker = workers_.at(aOrder.target_.id_);
        // Nobody could guard a life that has heard of no newer order.
        if (worker.up_ && !worker.cut_ && worker.fence_ > 0) {
          CarryOut(worker, aOrder);
        }
      },
      late.order_);
  }
  StepWorkers();
  AnswerRenewals();
  MakeTrouble();
  while (!log_.empty() && log_.front().first <= now_) {
    const auto batch = log_.front().second;
    log_.pop_front();
    committed_.Apply(batch.events_);
    scheduler_->HandleCommit(batch.batch_, now_);
    TakeActions();
  }
  if (now_.time_since_epoch().count() % Scheduler::kTick.count() == 0) {
    scheduler_->Tick(now_, 0);
  }
  TakeActions();
}

void
SchedulerDriver::MakeTrouble()
{
  if (Hits(trouble_.leaderChange_)) {
    ChangeLeader();
  }
  if (Hits(trouble_.workerCrash_)) {
    auto victim =
      std::next(workers_.begin(), Draw(static_cast<int>(workers_.size())));
    Crash(victim->first);
  }
  if (Hits(trouble_.workerCut_)) {
    auto victim =
      std::next(workers_.begin(), Draw(static_cast<int>(workers_.size())));
    victim->second.cut_ = true;
    cutUntil_[victim->first] = now_ + kCut;
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
  cutUntil_[aId] = now_ + kDown;
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
    if (const auto until = cutUntil_.find(id);
        until != cutUntil_.end() && until->second <= now_) {
      cutUntil_.erase(until);
      worker.cut_ = false;
      worker.up_ = true;
      worker.inUpkeep_ = false;
      reports_[id] += 1;
      Report(worker);
    }
    const bool isDue =
      now_.time_since_epoch().count() % kReportInterval.count() == 0;
    if (worker.up_ && !worker.cut_ && isDue) {
      Report(worker);
    }
    // Ends that were not noted before the lease lapsed do not stand.
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
SchedulerDriver::MembersOf(const TaskKey& aTask) const
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
    const bool isWhole = members.size() == MembersOf(first).size();
    const bool fails = Hits(trouble_.failedEnd_);
    for (const auto& [worker, task] : members) {
      auto& run = worker->runs_.at(task);
      if (isWhole && !run.together_) {
        run.together_ = true;
        // When one fails the others are broken.
        run.end_ = fails ? RunEnd::Failed : RunEnd::Done;
        run.endsAt_ =
          fails && task != first ? MonotonicTime::max() : now_ + kRunTime;
      } else if (!isWhole && run.together_) {
        EndRun(*worker, task, RunEnd::Broken);
      } else if (!isWhole && now_ - run.startedAt_ >= kGangTimeout) {
        ++alone_;
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
  aWorker.barred_[aTask] = std::max(aWorker.barred_[aTask], run);
  if (aEnd == RunEnd::Done) {
    const auto members = MembersOf(aTask);
    endedDone_.insert(members.begin(), members.end());
  }
  aWorker.ended_.push_back({ aWorker.nextEnd_++, aTask, run, aEnd, {} });
}

void
SchedulerDriver::TakeActions()
{
  while (true) {
    const auto actions = scheduler_->TakeActions(now_);
    if (actions.empty()) {
      return;
    }
    for (const auto& action : actions) {
      std::visit([this](const auto& aOne) { Do(aOne); }, action);
    }
  }
}

void
SchedulerDriver::Do(const LogBatch& aAction)
{
  for (const auto& event : aAction.events_.events_) {
    const auto* closed = std::get_if<RunClosed>(&event);
    if (closed != nullptr && closed->end_ == RunEnd::Done &&
        !loggedDone_.emplace(closed->task_, closed->run_).second) {
      violations_.push_back("logged as done twice: " + TaskText(closed->task_));
    }
  }
  log_.emplace_back(now_ + kCommitTime, aAction);
}

void
SchedulerDriver::Do(const AnswerRequest& aAction)
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
SchedulerDriver::Reach(const OrderTarget& aTarget)
{
  auto& worker = workers_.at(aTarget.id_);
  return worker.up_ && !worker.cut_ ? &worker : nullptr;
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
  if (notedDone_.contains(aOrder.task_)) {
    violations_.push_back("started after it was done: " + text);
  }
  const auto spec = specs_.find(aOrder.task_.job_);
  if (spec == specs_.end()) {
    violations_.push_back("nobody handed it in: " + text);
    return;
  }
  for (const auto before : spec->second.steps_[aOrder.task_.step_].after_) {
    for (std::uint32_t index = 0; index < spec->second.steps_[before].tasks_;
         ++index) {
      if (!endedDone_.contains({ aOrder.task_.job_, 0, before, index })) {
        violations_.push_back("started before its turn: " + text);
      }
    }
  }
}

OrderAnswer
SchedulerDriver::CarryOut(FakeWorker& aWorker, const StartRun& aOrder)
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
  const auto barred = aWorker.barred_.find(aOrder.task_);
  const auto present = aWorker.runs_.find(aOrder.task_);
  if (present != aWorker.runs_.end() && present->second.run_ == aOrder.run_) {
    return answer;
  }
  if (present != aWorker.runs_.end() ||
      (barred != aWorker.barred_.end() && aOrder.run_ <= barred->second)) {
    answer.outcome_ = OrderOutcome::TooOld;
    return answer;
  }
  CheckStart(aOrder, aWorker);
  const auto& step = specs_.at(aOrder.task_.job_).steps_[aOrder.task_.step_];
  FakeWorker::Run run;
  run.run_ = aOrder.run_;
  run.endsAt_ = now_ + kRunTime + Millis(Draw(500));
  run.end_ = Hits(trouble_.failedEnd_) ? RunEnd::Failed : RunEnd::Done;
  run.isLongRunning_ = step.isLongRunning_;
  run.gang_ = step.gang_;
  run.startedAt_ = now_;
  run.endsAt_ = step.gang_ ? MonotonicTime::max() : run.endsAt_;
  run.milliCores_ = step.usesSpareCores_ ? 0 : step.need_.milliCores_;
  run.memoryMb_ = step.need_.memoryMb_;
  aWorker.runs_[aOrder.task_] = run;
  firstStarts_.try_emplace(aOrder.task_, now_);
  std::int64_t cores = 0;
  std::int64_t memory = 0;
  for (const auto& [task, each] : aWorker.runs_) {
    cores += each.milliCores_;
    memory += each.memoryMb_;
  }
  if (cores > kCores || memory > kMemory) {
    violations_.push_back("over its capacity: " + aWorker.id_);
  }
  return answer;
}

OrderAnswer
SchedulerDriver::CarryOut(FakeWorker& aWorker, const StopRun& aOrder)
{
  OrderAnswer answer{ OrderOutcome::Taken, ClockOf(aWorker) };
  if (aOrder.target_.fence_ < aWorker.fence_) {
    answer.outcome_ = OrderOutcome::Fenced;
    return answer;
  }
  aWorker.fence_ = aOrder.target_.fence_;
  aWorker.barred_[aOrder.task_] =
    std::max(aWorker.barred_[aOrder.task_], aOrder.run_);
  const auto found = aWorker.runs_.find(aOrder.task_);
  if (found != aWorker.runs_.end() && found->second.run_ <= aOrder.run_) {
    EndRun(aWorker, aOrder.task_, RunEnd::Stopped);
  }
  return answer;
}

// Carries an order out now, later, or not at all, as the troubles have it.
template<typename Order>
OrderAnswer
SchedulerDriver::Deliver(const Order& aOrder)
{
  ++orders_;
  auto* worker = Reach(aOrder.target_);
  if (worker == nullptr) {
    return {};
  }
  if (Hits(trouble_.carriedOutLate_)) {
    late_.push_back({ now_ + Millis(2000 + Draw(10000)), aOrder });
    std::sort(
      late_.begin(), late_.end(), [](const auto& aOne, const auto& aTwo) {
        return aOne.at_ < aTwo.at_;
      });
    return {};
  }
  const auto answer = CarryOut(*worker, aOrder);
  return Hits(trouble_.answerLost_) ? OrderAnswer{} : answer;
}

void
SchedulerDriver::Do(const StartRun& aAction)
{
  auto answer = Deliver(aAction);
  if (losesStartAnswers_) {
    answer = {};
  }
  scheduler_->HandleStart(aAction, answer, now_);
}

void
SchedulerDriver::Do(const StopRun& aAction)
{
  scheduler_->HandleStop(aAction, Deliver(aAction), now_);
}

void
SchedulerDriver::Do(const RenewLease& aAction)
{
  ++orders_;
  renewals_.push_back(
    { term_, now_ + std::max(aAction.wait_, kStep), aAction });
}

// A renewal is answered when its wait is over or a run has ended.
void
SchedulerDriver::AnswerRenewals()
{
  std::vector<RenewLease> due;
  std::erase_if(renewals_, [&](const auto& aEntry) {
    const auto& [term, dueAt, order] = aEntry;
    const auto& ended = workers_.at(order.target_.id_).ended_;
    const bool hasNews =
      !ended.empty() && ended.back().number_ > order.notedEnds_;
    if (term == term_ && !hasNews && dueAt > now_) {
      return false;
    }
    if (term == term_) {
      due.push_back(order);
    }
    return true;
  });
  for (const auto& order : due) {
    Answer(order);
  }
}

void
SchedulerDriver::Answer(const RenewLease& aAction)
{
  auto* worker = Reach(aAction.target_);
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
          const auto members = MembersOf(aEnd.task_);
          notedDone_.insert(members.begin(), members.end());
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
  if (Hits(trouble_.answerLost_)) {
    answer = {};
    lists.reset();
  }
  scheduler_->HandleRenewal(aAction, answer, lists, now_);
}

void
SchedulerDriver::Do(const PaceRun& aAction)
{
  scheduler_->HandlePace(aAction, { OrderOutcome::Taken, {} }, now_);
}

void
SchedulerDriver::Do(const ListVms& /*aAction*/)
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
SchedulerDriver::Do(const BeginUpkeep& aAction)
{
  const auto id = aAction.vm_.substr(std::string("vm-").size());
  for (const auto& [task, run] : workers_.at(id).runs_) {
    cutOff_ += run.isLongRunning_ ? 1 : 0;
  }
  Crash(id);
  workers_.at(id).inUpkeep_ = true;
  maintained_.insert(aAction.vm_);
  std::size_t down = 0;
  for (const auto& [each, worker] : workers_) {
    down += worker.inUpkeep_ ? 1 : 0;
  }
  mostDown_ = std::max(mostDown_, down);
  scheduler_->HandleUpkeep(aAction, VmOutcome::Begun, now_);
}

void
SchedulerDriver::Do(const MoveVm& aAction)
{
  moved_.push_back(aAction.vm_);
  scheduler_->HandleMove(aAction, VmOutcome::Busy, now_);
}

} // namespace acaciahill::test
