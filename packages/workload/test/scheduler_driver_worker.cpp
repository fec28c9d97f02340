#include "workload/test/scheduler_driver.h"

#include "workload/workload_text_func.h"

#include <algorithm>

// The fake workers of the driver, and checks of the rules at each start.

namespace acaciahill::test {

namespace {

constexpr Millis kReportInterval{ 1500 };
constexpr Millis kRunTime{ 500 };
constexpr Millis kSlowRestartTime{ 2000 };
constexpr Millis kGangTimeout{ 3000 };

} // namespace

void
SchedulerDriver::StepWorkers()
{
  for (auto& [id, worker] : workers_) {
    if (const auto until = unavailableUntil_.find(id);
        until != unavailableUntil_.end() && until->second <= now_) {
      unavailableUntil_.erase(until);
      const bool hasRestarted = !worker.up_;
      worker.isPartitioned_ = false;
      worker.inUpkeep_ = false;
      worker.up_ = pools_.at(id) != detail::kOffPool;
      if (!worker.up_) {
        continue;
      }
      if (hasRestarted && faults_.slowRestartPermille_ > 0 &&
          OccursWith(faults_.slowRestartPermille_)) {
        worker.answersFrom_ = now_ + kSlowRestartTime;
      }
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
      } else if (run.endsAt_ <= now_ &&
                 (!run.isLongRunning_ || run.isStopping_)) {
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
        const bool isBroken =
          fails &&
          ((failingMembers_ == FailingMembers::First && task != first) ||
           (failingMembers_ == FailingMembers::InTurn &&
            task.index_ != run.run_ % members.size()));
        run.endsAt_ = isBroken ? MonotonicTime::max() : now_ + kRunTime;
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
  if (aEnd == RunEnd::Failed) {
    failedRuns_[aTask].insert(run);
  }
  aWorker.ended_.push_back({ aWorker.nextEnd_++, aTask, run, aEnd, {} });
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
  ExtendLease(aWorker, aOrder.target_.leaseEndMs_);
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
  if (milliCores > detail::kWorkerMilliCores ||
      memory > detail::kWorkerMemoryMb) {
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
  if (found == aWorker.runs_.end() || found->second.run_ > aOrder.run_ ||
      found->second.isStopping_) {
    return answer;
  }
  if (maxStopMs_ == 0) {
    EndRun(aWorker, aOrder.task_, RunEnd::Stopped);
  } else {
    found->second.isStopping_ = true;
    found->second.end_ = RunEnd::Stopped;
    found->second.endsAt_ = now_ + Millis(RandomBelow(maxStopMs_));
  }
  return answer;
}

} // namespace acaciahill::test
