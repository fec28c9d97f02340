#include "workload/scheduler_base.h"

#include "workload/placement_obstacle_func.h"
#include "workload/workload_text_func.h"

#include <algorithm>
#include <numeric>

// Placement of waiting tasks on workers.

namespace acaciahill {

namespace {

// Share of the remaining path used for a job that has started: it counts as on
// time for longer, as the work done for it would be wasted otherwise.
constexpr double kStartedPathShare = 0.8;

/// A run of one of the tasks has been assigned before.
bool
HasStarted(const std::vector<TaskEntry>& aTasks)
{
  return std::any_of(aTasks.begin(), aTasks.end(), [](const auto& aTask) {
    return aTask.run_ > 0;
  });
}

std::int64_t
FreeMilliCores(const std::vector<UsableWorker>& aWorkers)
{
  return std::accumulate(aWorkers.begin(),
                         aWorkers.end(),
                         std::int64_t{ 0 },
                         [](std::int64_t aSum, const auto& aWorker) {
                           return aSum + aWorker.left_.milliCores_;
                         });
}

} // namespace

std::vector<double>
Scheduler::RemainingPathsMs(const JobSpec& aSpec, double aDeviations) const
{
  const auto learned = demand_.LearnedRunTime(aSpec.queue_, aDeviations);
  const auto runTime = [&](const StepSpec& aStep) {
    return learned && !aStep.isLongRunning_
             ? *learned
             : static_cast<double>(aStep.estimatedMs_);
  };
  std::vector<double> chains;
  chains.reserve(aSpec.steps_.size());
  for (const auto& step : aSpec.steps_) {
    chains.push_back(runTime(step));
  }
  // Steps are listed after their dependencies.
  for (auto step = aSpec.steps_.size(); step-- > 0;) {
    for (const auto before : aSpec.steps_[step].after_) {
      chains[before] =
        std::max(chains[before], runTime(aSpec.steps_[before]) + chains[step]);
    }
  }
  return chains;
}

std::uint64_t
Scheduler::LatestStartOf(const JobEntry& aJob,
                         const QueueSpec& aQueue,
                         std::uint32_t aStep,
                         bool aHasStarted) const
{
  const auto chains = RemainingPathsMs(aJob.spec_, 0);
  const auto longest = *std::max_element(chains.begin(), chains.end());
  const auto rest =
    aHasStarted ? chains[aStep] * kStartedPathShare
                : RemainingPathsMs(aJob.spec_, kPlanningDeviations)[aStep];
  const auto slack =
    aQueue.stretch_ * longest + static_cast<double>(aQueue.latencyMs_) - rest;
  return aJob.acceptedAtMs_ + static_cast<std::uint64_t>(std::max(0.0, slack));
}

bool
Scheduler::AreDependenciesDone(const OccurrenceEntry& aOccurrence,
                               const StepSpec& aStep) const
{
  return std::all_of(
    aStep.after_.begin(), aStep.after_.end(), [&](std::uint32_t aBefore) {
      const auto& tasks = aOccurrence.steps_[aBefore];
      return std::all_of(tasks.begin(), tasks.end(), [](const auto& aTask) {
        return aTask.state_ == TaskState::Done;
      });
    });
}

void
Scheduler::QueueStep(const JobEntry& aJob,
                     std::uint32_t aOccurrence,
                     std::uint32_t aStep)
{
  const auto queue = config_.queues_.find(aJob.spec_.queue_);
  const auto occurrence = aJob.occurrences_.find(aOccurrence);
  if (queue == config_.queues_.end() || IsOver(aJob.phase_) ||
      occurrence == aJob.occurrences_.end()) {
    return;
  }
  const auto& tasks = occurrence->second.steps_[aStep];
  const bool hasWaiting =
    std::any_of(tasks.begin(), tasks.end(), [](const auto& aTask) {
      return aTask.state_ == TaskState::Waiting;
    });
  if (!hasWaiting ||
      !AreDependenciesDone(occurrence->second, StepOf(aJob, aStep))) {
    return;
  }
  const auto& spec = StepOf(aJob, aStep);
  const bool hasStarted = !spec.after_.empty() || HasStarted(tasks);
  ready_[queue->second.pool_].insert(
    { queue->second.priority_,
      !hasStarted,
      tenantShares_.IsBeyondShare(aJob.spec_.id_),
      LatestStartOf(aJob, queue->second, aStep, hasStarted),
      ExpiryOf(aJob, queue->second, aStep),
      aJob.spec_.id_,
      aOccurrence,
      aStep,
      spec.isLongRunning_,
      NeedOf(spec) });
}

void
Scheduler::QueueJob(const JobEntry& aJob)
{
  for (const auto& [number, occurrence] : aJob.occurrences_) {
    for (std::uint32_t step = 0; step < aJob.spec_.steps_.size(); ++step) {
      QueueStep(aJob, number, step);
    }
  }
}

void
Scheduler::RequeueAll()
{
  ready_.clear();
  for (const auto& [id, job] : state_.Jobs()) {
    QueueJob(job);
  }
}

std::size_t
Scheduler::CountReadySteps() const
{
  return std::accumulate(ready_.begin(),
                         ready_.end(),
                         std::size_t{ 0 },
                         [](std::size_t aSum, const auto& aEntry) {
                           return aSum + aEntry.second.size();
                         });
}

Scheduler::UsableByPool
Scheduler::FindUsableWorkers(MonotonicTime aNow) const
{
  UsableByPool workers;
  for (const auto& [number, view] : views_) {
    const auto& worker = *state_.FindWorker(number);
    if (ObstacleOfWorker(worker, view, aNow) == PlacementObstacle::None) {
      workers[worker.pool_].push_back(
        { Difference(worker.capacity_, view.used_), number, &worker, &view });
    }
  }
  for (const auto& moving : RoomOfMovingTasks()) {
    const auto* worker = state_.FindWorker(moving.first);
    const auto pool =
      worker == nullptr ? workers.end() : workers.find(worker->pool_);
    if (pool == workers.end()) {
      continue;
    }
    const auto usable = std::find_if(
      pool->second.begin(), pool->second.end(), [&moving](const auto& aUsable) {
        return aUsable.number_ == moving.first;
      });
    if (usable != pool->second.end()) {
      usable->left_ = Difference(usable->left_, moving.second);
    }
  }
  return workers;
}

std::map<std::uint32_t, TaskNeed>
Scheduler::RoomOfMovingTasks() const
{
  std::map<std::uint32_t, TaskNeed> rooms;
  for (const auto number : unsettledWorkers_) {
    const auto view = views_.find(number);
    if (view == views_.end()) {
      continue;
    }
    for (const auto& [task, run] : view->second.runs_) {
      if ((run.stopRequested_ || run.staleStopFence_) &&
          run.destination_ != 0 && !IsOver(state_.FindJob(task.job_)->phase_)) {
        auto& room = rooms[run.destination_];
        room = Sum(room, ReservedBy(run));
      }
    }
  }
  return rooms;
}

void
Scheduler::PlaceWaitingTasks(MonotonicTime aNow)
{
  const bool hasWaiting =
    std::any_of(ready_.begin(), ready_.end(), [](const auto& aEntry) {
      return !aEntry.second.empty();
    });
  if (!hasWaiting) {
    return;
  }
  auto workers = FindUsableWorkers(aNow);
  for (auto& [pool, ready] : ready_) {
    if (!ready.empty()) {
      PlacePool(pool, workers[pool], ready, aNow);
    }
  }
}

bool
Scheduler::HasStartedTasks(const ReadyStep& aReady) const
{
  return HasStarted(
    TasksOf(*state_.FindJob(aReady.job_), aReady.occurrence_, aReady.step_));
}

void
Scheduler::PlacePool(const std::string& aPool,
                     UsableWorkers& aWorkers,
                     std::set<ReadyStep>& aReady,
                     MonotonicTime aNow)
{
  // In an overloaded pool, serving all steps in the order of their objectives
  // would make all of them late. Steps that can meet their objective are served
  // first, and among them those of started jobs.
  const auto now = LogicalNow(aNow);
  const auto isLate = [now](const ReadyStep& aStep) {
    return aStep.latestStartMs_ < now;
  };
  // Long-running tasks are few and have no completion objective: they are
  // placed before all others.
  enum class Pass : std::uint8_t
  {
    Lasting,
    OnTime,
    Late,
    Expired
  };
  const auto passOf = [&](const ReadyStep& aStep) {
    return aStep.isLongRunning_       ? Pass::Lasting
           : !isLate(aStep)           ? Pass::OnTime
           : now < aStep.expiresAtMs_ ? Pass::Late
                                      : Pass::Expired;
  };
  // A step that cannot be placed must not keep those behind it from starting:
  // it may wait for a label or a size that no worker has.
  RoomShortage shortage;
  RoomReservations reserved;
  std::int64_t reserve = 0;
  for (const auto pass :
       { Pass::Lasting, Pass::OnTime, Pass::Late, Pass::Expired }) {
    if (pass == Pass::Late) {
      yieldingWorkers_.RemoveFrom(aWorkers, aPool);
    } else if (pass == Pass::Expired && config_.hasTenants_) {
      reserve = ReserveBesideExpired(aWorkers);
    }
    for (auto step = aReady.begin(); step != aReady.end();) {
      const auto each = step++;
      if (passOf(*each) != pass || shortage.Covers(each->need_)) {
        continue;
      }
      // Results of expired jobs come too late for their senders, and they would
      // take room from jobs that arrive while they run.
      if (pass == Pass::Expired && FreeMilliCores(aWorkers) <= reserve) {
        break;
      }
      if (PlaceStep(*each, aWorkers, shortage, reserved, aNow)) {
        aReady.erase(each);
      } else if (each->isNotStarted_ && HasStartedTasks(*each)) {
        // Some of its tasks were placed: queue it again as a started step.
        const auto taken = aReady.extract(each);
        const auto& started = taken.value();
        QueueStep(
          *state_.FindJob(started.job_), started.occurrence_, started.step_);
      }
    }
    if (pass == Pass::Lasting) {
      NoteWaitingTasks(aReady, aNow);
      ReserveForLongRunning(aReady, aWorkers);
    }
  }
}

std::map<std::uint32_t, std::uint32_t>
Scheduler::CountTasksByWorker(const std::vector<TaskEntry>& aTasks) const
{
  std::map<std::uint32_t, std::uint32_t> count;
  for (const auto& task : aTasks) {
    if (task.state_ == TaskState::Assigned) {
      ++count[task.worker_];
    }
  }
  return count;
}

bool
Scheduler::PlaceStep(const ReadyStep& aReady,
                     UsableWorkers& aWorkers,
                     RoomShortage& aShortage,
                     RoomReservations& aReserved,
                     MonotonicTime aNow)
{
  const auto* job = state_.FindJob(aReady.job_);
  if (job == nullptr || IsOver(job->phase_)) {
    return true;
  }
  const auto occurrence = job->occurrences_.find(aReady.occurrence_);
  if (occurrence == job->occurrences_.end()) {
    return true;
  }
  const auto& step = StepOf(*job, aReady.step_);
  if (step.gang_) {
    return PlaceGang(aReady, aWorkers, aShortage, aNow);
  }
  const auto& tasks = occurrence->second.steps_[aReady.step_];
  auto tasksByWorker = CountTasksByWorker(tasks);
  const auto runTime = aReady.isLongRunning_ || !LooksAhead()
                         ? std::nullopt
                         : ExpectedRunTime(job->spec_.queue_);
  const auto endsAt = runTime ? aNow + *runTime : MonotonicTime::max();
  for (std::uint32_t index = 0; index < tasks.size(); ++index) {
    if (tasks[index].state_ != TaskState::Waiting) {
      continue;
    }
    if (!tenantUsage_.MayStart(job->spec_.tenant_, step.need_, 1)) {
      return false;
    }
    auto* worker =
      ChooseWorker(step, aWorkers, tasksByWorker, aReserved, endsAt);
    if (worker == nullptr) {
      if (LooksAhead() && !aReady.isLongRunning_) {
        ReserveRoom(aReady, aWorkers, aReserved, aNow);
      }
      // Without the step's limit per worker there may be room for others.
      if (step.maxPerWorker_ == 0 ||
          ChooseWorker(step, aWorkers, {}, aReserved, endsAt) == nullptr) {
        aShortage.Add(aReady.need_);
      }
      return false;
    }
    aReserved.NotePlaced(worker->number_, aReady.need_.perTask_, endsAt);
    ++tasksByWorker[worker->number_];
    Assign({ aReady.job_, aReady.occurrence_, aReady.step_, index },
           tasks[index].run_ + 1,
           *worker,
           step,
           aNow);
  }
  return true;
}

// All members of a gang start together under one run number, or none does.
bool
Scheduler::PlaceGang(const ReadyStep& aReady,
                     UsableWorkers& aWorkers,
                     RoomShortage& aShortage,
                     MonotonicTime aNow)
{
  const auto* job = state_.FindJob(aReady.job_);
  const auto& step = StepOf(*job, aReady.step_);
  const auto& tasks = TasksOf(*job, aReady.occurrence_, aReady.step_);
  std::uint32_t run = 0;
  for (const auto& task : tasks) {
    if (task.state_ != TaskState::Waiting) {
      // Members of the previous run have not ended yet.
      return false;
    }
    run = std::max(run, task.run_ + 1);
  }
  if (!tenantUsage_.MayStart(job->spec_.tenant_, step.need_, step.tasks_)) {
    return false;
  }
  const auto need = ReservedBy(step.need_, step.usesSpareCores_);
  std::vector<UsableWorker*> chosen;
  const auto releaseReserved = [&] {
    for (auto* worker : chosen) {
      worker->left_ = Sum(worker->left_, need);
    }
  };
  std::map<std::uint32_t, std::uint32_t> tasksByWorker;
  for (std::size_t member = 0; member < tasks.size(); ++member) {
    auto* worker = ChooseWorker(step, aWorkers, tasksByWorker);
    if (worker == nullptr) {
      releaseReserved();
      auto missing = aReady.need_;
      missing.together_ = static_cast<std::uint32_t>(member) + 1;
      missing.maxPerWorker_ = member == 0 ? 0 : missing.maxPerWorker_;
      aShortage.Add(std::move(missing));
      return false;
    }
    worker->left_ = Difference(worker->left_, need);
    ++tasksByWorker[worker->number_];
    chosen.push_back(worker);
  }
  releaseReserved();
  for (std::uint32_t index = 0; index < chosen.size(); ++index) {
    Assign({ aReady.job_, aReady.occurrence_, aReady.step_, index },
           run,
           *chosen[index],
           step,
           aNow);
  }
  return true;
}

} // namespace acaciahill
