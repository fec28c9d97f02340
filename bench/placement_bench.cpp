// Places jobs on fake VMs with the placement planner and two baselines:
//   bench_placement SEED FOLDER [SECONDS]
// Appends to FOLDER/placement.csv. All policies of a case meet the same jobs.
#include "bench_func.h"

#include "planner/placement_planner_base.h"

#include <cmath>
#include <iostream>
#include <random>

using namespace acaciahill;
using namespace acaciahill::bench;

namespace {

constexpr Millis kStep{ 250 };
constexpr double kStepSeconds = 0.25;
constexpr int kVms = 20;
constexpr int kVmsPerRack = 4;
constexpr int kZones = 3;
constexpr double kCores = 16;
constexpr double kMemoryMb = 32768;
constexpr std::int64_t kSlots = 8;
constexpr Millis kAnnounceTime{ 2000 };
/// Usage is reported this long after it was measured.
constexpr Millis kUsageLag{ 4000 };
/// A checkpoint takes this long; the work done until then is kept.
constexpr Millis kCheckpointTime{ 2000 };
constexpr Millis kFailTime{ 5000 };
constexpr double kThrottledShare = 0.25;
/// Fills 70% of the cores and of the memory on average.
constexpr double kTasksPerSecond = 0.93;
constexpr Millis kUrgentEvery{ 20000 };
constexpr std::uint64_t kLongLeaseMs = 24ULL * 3600 * 1000;
constexpr int kFailingVms = 2;

enum class Rule
{
  Planner,
  /// Fixed order of VMs, declared sizes.
  Static,
  /// The VM with the lowest reported use, no declared sizes.
  Reactive
};

struct Case
{
  std::string name_;
  /// Real size over declared size; each job takes one of them.
  std::vector<double> factors_;
  bool failingVms_ = false;
};

/// What a job's tasks really are.
struct RealJob
{
  double cores_ = 1;
  double memoryMb_ = 1024;
  double seconds_ = 60;
  bool urgent_ = false;
  MonotonicTime submittedAt_{};
};

struct FakeTask
{
  std::string job_;
  std::uint64_t lease_ = 0;
  std::string state_ = "running";
  TaskPhase order_ = TaskPhase::Placed;
  MonotonicTime startedAt_{};
  std::optional<MonotonicTime> stopsAt_;
};

struct FakeVm
{
  bool fails_ = false;
  Millis phase_{ 0 };
  std::map<std::string, FakeTask> tasks_;
  std::vector<TaskReport> reports_;
  MonotonicTime reportsMadeAt_{};
  /// Use by time, for reports that lag.
  std::map<MonotonicTime, double> cores_;
};

struct Figures
{
  double submitted_ = 0;
  double completed_ = 0;
  double killed_ = 0;
  double failedOnVms_ = 0;
  double checkpoints_ = 0;
  double overloadVmSeconds_ = 0;
  double idleCoreSeconds_ = 0;
  std::vector<double> stretch_;
  std::vector<double> urgentStart_;
};

class PlacementRun
{
public:
  PlacementRun(Rule aRule, const Case& aCase, std::uint64_t aSeed)
    : rule_(aRule)
    , case_(aCase)
    , random_(aSeed)
  {
    MakeFleet();
  }

  Figures Run(std::int64_t aSeconds)
  {
    const auto steps = aSeconds * 1000 / kStep.count();
    for (std::int64_t step = 0; step < steps; ++step) {
      now_ += kStep;
      Submit();
      for (auto& [id, vm] : vms_) {
        if (now_.time_since_epoch() % kAnnounceTime == vm.phase_ ||
            HasNewUrgent(id)) {
          Announce(id, vm);
        }
        Work(vm);
      }
      Decide();
    }
    return figures_;
  }

private:
  void MakeFleet();
  CommandResult Apply(const Command& aCommand);
  void Submit();
  void SubmitJob(std::int64_t aTasks, bool aUrgent);
  bool HasNewUrgent(const std::string& aVm) const;
  void Announce(const std::string& aId, FakeVm& aVm);
  void TakeOrders(const std::string& aId, FakeVm& aVm);
  void Work(FakeVm& aVm);
  void KillForMemory(FakeVm& aVm);
  void Decide();
  PlannerView View() const;
  void TakeReports();
  void PlaceByRule();
  std::string FirstFit(const JobRecord& aJob) const;
  std::string LeastUsed(const JobRecord& aJob) const;

  const Rule rule_;
  const Case& case_;
  std::mt19937_64 random_;
  MonotonicTime now_{ std::chrono::seconds(1000) };
  Fleet fleet_;
  std::uint64_t index_ = 0;
  MonotonicTime appliedAt_ = now_;
  int jobs_ = 0;
  double credit_ = 0;
  std::map<std::string, RealJob> real_;
  /// Seconds of work done of each task, kept over checkpoints.
  std::map<std::string, double> done_;
  std::map<std::string, FakeVm> vms_;
  PlacementPlanner planner_{ PlannerLimits{} };
  Figures figures_;
};

void
PlacementRun::MakeFleet()
{
  PoolRow row;
  row.pool_ = "p";
  row.size_ = kVms;
  row.maxUnavailable_ = 2;
  Apply(ApplyTable{ { row }, 0 });
  for (int i = 0; i < kVms; ++i) {
    const auto id = "vm" + std::to_string(100 + i);
    Apply(AnnounceVm{ { id,
                        1,
                        "z" + std::to_string(i / kVmsPerRack % kZones),
                        "r" + std::to_string(i / kVmsPerRack),
                        "127.0.0.1:" + std::to_string(10000 + i),
                        static_cast<std::int64_t>(kCores),
                        static_cast<std::int64_t>(kMemoryMb),
                        kSlots,
                        64 } });
    auto& vm = vms_[id];
    vm.phase_ = kStep * (i % (kAnnounceTime / kStep));
    vm.fails_ = case_.failingVms_ && i % (kVms / kFailingVms) == 0;
  }
}

CommandResult
PlacementRun::Apply(const Command& aCommand)
{
  CommandEnvelope envelope;
  envelope.requestId_ = "r" + std::to_string(++index_);
  envelope.elapsedMs_ = static_cast<std::uint64_t>((now_ - appliedAt_).count());
  envelope.command_ = aCommand;
  appliedAt_ = now_;
  return fleet_.Apply(envelope, index_);
}

void
PlacementRun::Submit()
{
  credit_ += kTasksPerSecond * kStepSeconds;
  std::uniform_int_distribution<std::int64_t> size(4, 16);
  while (credit_ > 0) {
    const auto tasks = size(random_);
    SubmitJob(tasks, false);
    credit_ -= static_cast<double>(tasks);
  }
  if (now_.time_since_epoch() % kUrgentEvery == Millis{ 0 }) {
    SubmitJob(1, true);
  }
}

void
PlacementRun::SubmitJob(std::int64_t aTasks, bool aUrgent)
{
  std::uniform_real_distribution<double> share(0.5, 1.5);
  RealJob real;
  real.cores_ = 2 * share(random_);
  real.memoryMb_ = 4000 * share(random_);
  real.seconds_ = 120 * share(random_);
  real.urgent_ = aUrgent;
  real.submittedAt_ = now_;
  const auto pick = random_() % case_.factors_.size();
  const double factor = aUrgent ? 1 : case_.factors_[pick];
  JobRecord job;
  job.id_ = "j" + std::to_string(++jobs_);
  job.pool_ = "p";
  job.team_ = "t" + std::to_string(jobs_ % 4);
  job.tasks_ = aTasks;
  job.milliCores_ = std::min<std::int64_t>(
    16000, static_cast<std::int64_t>(std::ceil(1000 * real.cores_ / factor)));
  job.memoryMb_ = std::min<std::int64_t>(
    32768, static_cast<std::int64_t>(std::ceil(real.memoryMb_ / factor)));
  job.urgent_ = aUrgent;
  if (const auto result = Apply(PutJob{ job }); result.error_) {
    throw std::runtime_error("a job was refused");
  }
  real_[job.id_] = real;
  figures_.submitted_ += static_cast<double>(aTasks);
}

bool
PlacementRun::HasNewUrgent(const std::string& aVm) const
{
  const auto& held = fleet_.TasksOn(aVm);
  return std::any_of(held.begin(), held.end(), [&](const std::string& aTask) {
    const auto& task = fleet_.Tasks().at(aTask);
    return task.phase_ == TaskPhase::Placed && real_.at(task.job_).urgent_ &&
           !vms_.at(aVm).tasks_.contains(aTask);
  });
}

void
PlacementRun::Announce(const std::string& aId, FakeVm& aVm)
{
  TakeOrders(aId, aVm);
  aVm.reports_.clear();
  for (const auto& [id, task] : aVm.tasks_) {
    const auto& real = real_.at(task.job_);
    const bool hasUse =
      task.state_ == "running" && now_ - task.startedAt_ >= kUsageLag;
    const double share =
      task.order_ == TaskPhase::Throttled ? kThrottledShare : 1;
    aVm.reports_.push_back(
      { id,
        task.lease_,
        task.state_,
        hasUse ? static_cast<std::int64_t>(1000 * real.cores_ * share) : 0,
        hasUse ? static_cast<std::int64_t>(real.memoryMb_) : 0,
        kUsageLag });
  }
  aVm.reportsMadeAt_ = now_;
}

void
PlacementRun::TakeOrders(const std::string& aId, FakeVm& aVm)
{
  const auto& held = fleet_.TasksOn(aId);
  std::erase_if(aVm.tasks_, [&](const auto& aItem) {
    return !held.contains(aItem.first) ||
           fleet_.Tasks().at(aItem.first).lease_ != aItem.second.lease_;
  });
  for (const auto& id : held) {
    const auto& task = fleet_.Tasks().at(id);
    const auto [known, isNew] = aVm.tasks_.try_emplace(id);
    auto& fake = known->second;
    if (isNew) {
      fake.job_ = task.job_;
      fake.lease_ = task.lease_;
      fake.startedAt_ = now_;
      if (real_.at(task.job_).urgent_ && task.lease_ == 1) {
        const auto waited = now_ - real_.at(task.job_).submittedAt_;
        figures_.urgentStart_.push_back(static_cast<double>(waited.count()) /
                                        1000);
      }
    }
    fake.order_ = task.phase_;
    if (task.phase_ == TaskPhase::Stopping && !fake.stopsAt_) {
      fake.stopsAt_ = now_ + kCheckpointTime;
    }
  }
}

void
PlacementRun::Work(FakeVm& aVm)
{
  KillForMemory(aVm);
  double wanted = 0;
  for (const auto& [id, task] : aVm.tasks_) {
    if (task.state_ == "running") {
      wanted += real_.at(task.job_).cores_ *
                (task.order_ == TaskPhase::Throttled ? kThrottledShare : 1);
    }
  }
  const double speed = wanted > kCores ? kCores / wanted : 1;
  figures_.overloadVmSeconds_ += wanted > kCores ? kStepSeconds : 0;
  figures_.idleCoreSeconds_ += std::max(0.0, kCores - wanted) * kStepSeconds;
  for (auto& [id, task] : aVm.tasks_) {
    if (task.state_ != "running") {
      continue;
    }
    const auto& real = real_.at(task.job_);
    done_[id] += kStepSeconds * speed *
                 (task.order_ == TaskPhase::Throttled ? kThrottledShare : 1);
    if (aVm.fails_ && now_ - task.startedAt_ >= kFailTime) {
      task.state_ = "failed";
      ++figures_.failedOnVms_;
    } else if (done_[id] >= real.seconds_) {
      task.state_ = "completed";
      ++figures_.completed_;
      const std::chrono::duration<double> took = now_ - real.submittedAt_;
      figures_.stretch_.push_back(took.count() / real.seconds_);
    } else if (task.stopsAt_ && now_ >= *task.stopsAt_) {
      task.state_ = "checkpointed";
      ++figures_.checkpoints_;
    }
  }
}

void
PlacementRun::KillForMemory(FakeVm& aVm)
{
  while (true) {
    double used = 0;
    FakeTask* largest = nullptr;
    std::string largestId;
    for (auto& [id, task] : aVm.tasks_) {
      if (task.state_ != "running") {
        continue;
      }
      const auto memory = real_.at(task.job_).memoryMb_;
      used += memory;
      if (largest == nullptr || memory > real_.at(largest->job_).memoryMb_) {
        largest = &task;
        largestId = id;
      }
    }
    if (used <= kMemoryMb) {
      return;
    }
    largest->state_ = "failed";
    done_[largestId] = 0;
    ++figures_.killed_;
  }
}

PlannerView
PlacementRun::View() const
{
  PlannerView view;
  view.fleet_ = &fleet_;
  for (const auto& [id, vm] : fleet_.Vms()) {
    const auto& fake = vms_.at(id);
    view.zonesInContact_.insert(vm.identity_.zone_);
    view.targets_[id] = { vm.number_, 1, vm.epoch_, false, 0, now_ };
    view.reports_[id] = fake.reports_;
    view.reportsMadeAt_[id] = fake.reportsMadeAt_;
  }
  return view;
}

void
PlacementRun::Decide()
{
  if (rule_ != Rule::Planner) {
    TakeReports();
    PlaceByRule();
    return;
  }
  const auto view = View();
  for (const auto& action : planner_.Step(view, now_)) {
    Apply(std::get<ProposeCommand>(action).command_);
  }
}

/// The baselines take reports as they are: a failed task is tried again.
void
PlacementRun::TakeReports()
{
  for (const auto& [vmId, vm] : vms_) {
    for (const auto& report : vm.reports_) {
      const auto& task = fleet_.Tasks().at(report.task_);
      if (task.vm_ != vmId || task.lease_ != report.lease_ ||
          (report.state_ == "running" && task.phase_ != TaskPhase::Placed)) {
        continue;
      }
      UpdateTask update;
      update.task_ = report.task_;
      update.lease_ = report.lease_;
      update.phase_ = report.state_ == "completed" ? TaskPhase::Completed
                      : report.state_ == "running" ? TaskPhase::Running
                                                   : TaskPhase::Waiting;
      Apply(update);
    }
  }
}

void
PlacementRun::PlaceByRule()
{
  // In the order of submission, urgent tasks first.
  std::vector<std::pair<std::pair<int, int>, std::string>> waiting;
  for (const auto& [id, task] : fleet_.Tasks()) {
    if (task.phase_ == TaskPhase::Waiting) {
      const auto number = std::stoi(task.job_.substr(1));
      waiting.push_back(
        { { real_.at(task.job_).urgent_ ? 0 : 1, number }, id });
    }
  }
  std::sort(waiting.begin(), waiting.end());
  for (const auto& [order, id] : waiting) {
    const auto& job = fleet_.Jobs().at(fleet_.Tasks().at(id).job_);
    const auto vm = rule_ == Rule::Static ? FirstFit(job) : LeastUsed(job);
    if (vm.empty() || Apply(PlaceTask{ id, vm, kLongLeaseMs }).error_) {
      return;
    }
  }
}

std::string
PlacementRun::FirstFit(const JobRecord& aJob) const
{
  for (const auto& [id, vm] : fleet_.Vms()) {
    TaskSize free{ vm.identity_.cores_ * 1000,
                   vm.identity_.memoryMb_,
                   vm.identity_.slots_ };
    for (const auto& task : fleet_.TasksOn(id)) {
      const auto& job = fleet_.Jobs().at(fleet_.Tasks().at(task).job_);
      free = Subtract(free, { job.milliCores_, job.memoryMb_, job.slots_ });
    }
    if (Fits({ aJob.milliCores_, aJob.memoryMb_, aJob.slots_ }, free)) {
      return id;
    }
  }
  return {};
}

std::string
PlacementRun::LeastUsed(const JobRecord& aJob) const
{
  std::string best;
  double lowest = 0.8;
  for (const auto& [id, vm] : vms_) {
    double used = 0;
    for (const auto& report : vm.reports_) {
      used += static_cast<double>(report.milliCores_) / 1000 / kCores;
    }
    const auto slots = static_cast<std::int64_t>(fleet_.TasksOn(id).size());
    if (used < lowest && slots + aJob.slots_ <= kSlots) {
      lowest = used;
      best = id;
    }
  }
  return best;
}

} // namespace

int
main(int aCount, char** aWords)
{
  if (aCount < 3) {
    std::cerr << "usage: bench_placement SEED FOLDER [SECONDS]\n";
    return 2;
  }
  try {
    const auto seed = std::stoull(aWords[1]);
    const std::int64_t seconds = aCount > 3 ? std::stoll(aWords[3]) : 3600;
    CsvFile file(
      std::string(aWords[2]) + "/placement.csv",
      "seed,seconds,case,policy,submitted,completed,completed_ratio,"
      "memory_kills,failed_on_bad_vms,checkpoints,overload_vm_s,idle_core_s,"
      "stretch_p50,stretch_p95,urgent_starts,urgent_p50_s,urgent_max_s");
    const std::vector<Case> cases{
      { "sizes right", { 1 }, false },
      { "real 0.25 to 4 times declared", { 0.25, 0.5, 1, 2, 4 }, false },
      { "a fifth really 10 times declared", { 1, 1, 1, 1, 10 }, false },
      { "two VMs fail every task", { 1 }, true },
    };
    const std::vector<std::pair<std::string, Rule>> rules{
      { "static", Rule::Static },
      { "reactive", Rule::Reactive },
      { "planner", Rule::Planner },
    };
    for (const auto& item : cases) {
      double base = 0;
      for (const auto& [name, rule] : rules) {
        auto figures = PlacementRun(rule, item, seed).Run(seconds);
        base = base == 0 ? figures.completed_ : base;
        file.Line(seed,
                  seconds,
                  item.name_,
                  name,
                  figures.submitted_,
                  figures.completed_,
                  figures.completed_ / base,
                  figures.killed_,
                  figures.failedOnVms_,
                  figures.checkpoints_,
                  figures.overloadVmSeconds_,
                  figures.idleCoreSeconds_,
                  Quantile(figures.stretch_, 0.5),
                  Quantile(figures.stretch_, 0.95),
                  figures.urgentStart_.size(),
                  Quantile(figures.urgentStart_, 0.5),
                  Quantile(figures.urgentStart_, 1));
      }
    }
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 1;
  }
  return 0;
}
