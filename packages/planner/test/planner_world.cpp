#include "planner_world.h"

#include <algorithm>

namespace acaciahill::test {

namespace {

// Time within which the leader must detect that a VM is dead: the maximum age
// of evidence and one step. The delay of pending commands is added to it.
constexpr Millis kDetectionTime = Millis{ 5000 } + kStep;
constexpr int kVmsPerRack = 4;
constexpr Millis kUsageLag{ 3000 };

} // namespace

PoolRow
MakeRow(const std::string& aPool,
        std::int64_t aSize,
        std::int64_t aMinAvailable,
        std::int64_t aMaxUnavailable,
        bool aSpare)
{
  PoolRow row;
  row.pool_ = aPool;
  row.size_ = aSize;
  row.minAvailable_ = aMinAvailable;
  row.maxUnavailable_ = aMaxUnavailable;
  row.spare_ = aSpare;
  return row;
}

World::World(std::uint64_t aSeed)
  : random_(aSeed)
{
  RestartPlanners();
  for (const auto* node : { "n1", "n2" }) {
    NodeRecord record;
    record.id_ = node;
    record.zone_ = "z0";
    record.peerAddress_ = std::string("127.0.0.1:700") + node[1];
    record.adminAddress_ = std::string("127.0.0.1:800") + node[1];
    Apply(RegisterNode{ record });
  }
}

void
World::RestartPlanners()
{
  vmWatch_ = std::make_unique<VmWatch>(limits_);
  wavePlanner_ = std::make_unique<WavePlanner>(limits_);
  movePlanner_ = std::make_unique<MovePlanner>(limits_);
  placementPlanner_ = std::make_unique<PlacementPlanner>(limits_);
}

CommandResult
World::Apply(const Command& aCommand)
{
  CommandEnvelope envelope;
  envelope.requestId_ = "r" + std::to_string(nextRequest_++);
  envelope.elapsedMs_ =
    static_cast<std::uint64_t>((now_ - lastCommandAt_).count());
  envelope.command_ = aCommand;
  lastCommandAt_ = now_;
  return fleet_.Apply(envelope, ++index_);
}

void
World::AddPool(PoolRow aRow)
{
  // New VMs join a spare pool if there is one, so no pool is a spare pool until
  // the VMs have joined the new pool.
  const bool isSpare = aRow.spare_;
  aRow.spare_ = false;
  std::vector<PoolRow> rows;
  std::vector<PoolRow> finalRows;
  for (const auto& [name, row] : fleet_.Table().rows_) {
    finalRows.push_back(row);
    rows.push_back(row);
    rows.back().spare_ = false;
  }
  rows.push_back(aRow);
  Apply(ApplyTable{ rows, fleet_.Table().version_ });
  for (std::int64_t i = 0; i < aRow.size_; ++i) {
    const auto rack = i / kVmsPerRack;
    FakeVm vm;
    vm.identity_ = { "vm" + std::to_string(100 + nextVm_),
                     1,
                     "z" + std::to_string(rack % 3),
                     "r" + std::to_string(nextRack_ + rack),
                     "127.0.0.1:" + std::to_string(10000 + nextVm_),
                     16,
                     32768,
                     8,
                     64 };
    ++nextVm_;
    Apply(AnnounceVm{ vm.identity_ });
    vms_.emplace(vm.identity_.id_, vm);
  }
  nextRack_ += static_cast<int>(aRow.size_ / kVmsPerRack + 1);
  aRow.spare_ = isSpare;
  finalRows.push_back(aRow);
  Apply(ApplyTable{ finalRows, fleet_.Table().version_ });
}

void
World::SetCell(const std::string& aPool,
               const std::string& aColumn,
               const std::string& aValue)
{
  Apply(acaciahill::SetCell{ aPool, aColumn, aValue, fleet_.Table().version_ });
}

void
World::Run(Millis aTime)
{
  for (const auto end = now_ + aTime; now_ < end;) {
    Step();
  }
}

void
World::Step()
{
  now_ += kStep;
  if (!dropsReports_) {
    StepVms();
  }
  dropsReports_ = false;
  ApplyPending();
  const auto view = View();
  std::vector<PlannerAction> actions;
  const auto take = [&actions](std::vector<PlannerAction> aActions) {
    actions.insert(actions.end(), aActions.begin(), aActions.end());
  };
  take(vmWatch_->Step(view, now_));
  take(wavePlanner_->Step(view, now_));
  take(movePlanner_->Step(view, now_));
  take(placementPlanner_->Step(view, now_));
  maxActionsPerStep_ = std::max(maxActionsPerStep_, actions.size());
  for (const auto& action : actions) {
    if (const auto* proposal = std::get_if<ProposeCommand>(&action)) {
      pending_.emplace_back(commandSteps_, proposal->command_);
    } else {
      Reboot(std::get<AskReboot>(action));
    }
  }
}

void
World::StepVms()
{
  for (auto& [id, vm] : vms_) {
    if (!vm.alive_ && vm.bootsAt_ != MonotonicTime{} && now_ >= vm.bootsAt_) {
      vm.alive_ = true;
      vm.bootsAt_ = {};
      vm.running_ = 0;
      vm.epoch_ = 0;
      vm.draining_ = false;
      ++vm.identity_.incarnation_;
      tasks_[id].clear();
    }
    if (vm.alive_) {
      RunTasks(vm);
      if (vm.draining_ && !vm.neverFinishes_ && vm.running_ > 0 &&
          random_() % 4 == 0) {
        --vm.running_;
      }
    }
    const bool isReportLost = lossySteps_ > 0 && random_() % 2 == 0;
    if (vm.alive_ && !isReportLost && !cutZones_.contains(vm.identity_.zone_)) {
      Announce(vm);
    }
  }
  lossySteps_ = std::max(lossySteps_ - 1, 0);
  CheckTasks();
}

void
World::RunTasks(FakeVm& aVm)
{
  auto& tasks = tasks_[aVm.identity_.id_];
  std::erase_if(tasks, [this](const auto& aItem) {
    return aItem.second.state_ == "running" && now_ >= aItem.second.endsAt_;
  });
  for (auto& [id, task] : tasks) {
    if (task.state_ == "running" && taskSteps_ > 0 &&
        ++task.steps_ >= taskSteps_) {
      task.state_ = "completed";
    }
  }
}

void
World::TakeOrders(FakeVm& aVm)
{
  const auto& self = aVm.identity_.id_;
  auto& tasks = tasks_[self];
  std::erase_if(tasks, [&](const auto& aItem) {
    const auto record = fleet_.Tasks().find(aItem.first);
    return record == fleet_.Tasks().end() ||
           record->second.lease_ != aItem.second.lease_ ||
           record->second.vm_ != self;
  });
  const auto logical = fleet_.LogicalMs() + static_cast<std::uint64_t>(
                                              (now_ - lastCommandAt_).count());
  for (const auto& [id, record] : fleet_.Tasks()) {
    if (record.vm_ != self || record.leaseUntilMs_ <= logical) {
      continue;
    }
    if (record.phase_ == TaskPhase::Placed && !tasks.contains(id)) {
      const bool fails = aVm.failsTasks_ || badTasks_.contains(record.job_);
      tasks[id] = { record.lease_, fails ? "failed" : "running", now_, {}, 0 };
    }
    const auto task = tasks.find(id);
    if (task == tasks.end()) {
      continue;
    }
    task->second.endsAt_ = now_ + Millis{ record.leaseUntilMs_ - logical };
    if (record.phase_ == TaskPhase::Stopping &&
        task->second.state_ == "running") {
      task->second.state_ = "checkpointed";
    }
  }
}

void
World::CheckTasks()
{
  std::map<std::string, std::string> runsOn;
  for (const auto& [vm, tasks] : tasks_) {
    for (const auto& [id, task] : tasks) {
      if (!vms_.at(vm).alive_ || task.state_ != "running") {
        continue;
      }
      const auto [other, isFirst] = runsOn.emplace(id, vm);
      if (!isFirst) {
        auto violation = "task " + id;
        violation += " runs on " + other->second;
        violation += " and " + vm;
        violations_.push_back(violation);
      }
    }
  }
}

void
World::Announce(FakeVm& aVm)
{
  const auto& id = aVm.identity_.id_;
  aVm.lastReportAt_ = now_;
  const auto record = fleet_.Vms().find(id);
  if (record == fleet_.Vms().end() ||
      record->second.identity_.incarnation_ < aVm.identity_.incarnation_) {
    Apply(AnnounceVm{ aVm.identity_ });
    return;
  }
  auto& tasks = tasks_[id];
  const auto tasksRunning =
    std::count_if(tasks.begin(), tasks.end(), [](const auto& aItem) {
      return aItem.second.state_ == "running";
    });
  evidence_[id] = { record->second.number_,
                    aVm.identity_.incarnation_,
                    aVm.epoch_,
                    aVm.draining_,
                    aVm.running_ + static_cast<std::uint32_t>(tasksRunning),
                    now_ };
  auto& reports = reports_[id];
  reports.clear();
  for (const auto& [task, state] : tasks) {
    TaskReport report{ task, state.lease_, state.state_, 0, 0, kUsageLag };
    // Usage lags behind: a new task shows none at first.
    if (now_ - state.startedAt_ > kUsageLag) {
      const auto usage = usage_.find(fleet_.Tasks().at(task).job_);
      report.milliCores_ = usage == usage_.end() ? 1000 : usage->second.first;
      report.memoryMb_ = usage == usage_.end() ? 1024 : usage->second.second;
    }
    reports.push_back(report);
  }
  // The answer to the announcement takes effect in the next report.
  TakeOrders(aVm);
  aVm.epoch_ = record->second.epoch_;
  aVm.draining_ = record->second.phase_ == VmPhase::Draining ||
                  record->second.phase_ == VmPhase::Stopping;
}

PlannerView
World::View() const
{
  PlannerView view;
  view.fleet_ = &fleet_;
  if (now_ >= noEvidenceUntil_) {
    view.targets_ = evidence_;
  }
  view.reports_ = reports_;
  for (const auto& [id, reports] : reports_) {
    view.reportsMadeAt_[id] = evidence_.at(id).madeAt_;
  }
  view.loads_ = loads_;
  for (const auto* zone : { "z0", "z1", "z2" }) {
    if (!cutZones_.contains(zone)) {
      view.zonesInContact_.insert(zone);
    }
  }
  for (const auto* node : { "n1", "n2" }) {
    if (std::string(node) == "n2" && nodeUnreachable_) {
      continue;
    }
    auto& status = view.nodes_[node];
    status.node_ = node;
    status.appliedIndex_ = fleet_.AppliedIndex();
    status.madeAt_ = now_;
  }
  return view;
}

void
World::ApplyPending()
{
  for (auto& [steps, command] : pending_) {
    if (--steps > 0) {
      continue;
    }
    const auto result = Apply(command);
    if (result.error_) {
      ++refused_;
    } else {
      CheckChange(command);
    }
  }
  std::erase_if(pending_, [](const auto& aItem) { return aItem.first <= 0; });
}

void
World::CheckChange(const Command& aCommand)
{
  const auto& vms = fleet_.Vms();
  if (const auto* grant = std::get_if<GrantPermit>(&aCommand)) {
    ++applied_["grant"];
    CheckBudget(vms.at(grant->vm_).pool_, "grant of " + grant->vm_);
  } else if (const auto* move = std::get_if<BeginMove>(&aCommand)) {
    ++applied_["begin"];
    CheckBudget(vms.at(move->vm_).pool_, "move of " + move->vm_);
  } else if (const auto* confirm = std::get_if<ConfirmStop>(&aCommand)) {
    ++applied_["confirm"];
    const auto& vm = fleet_.Permits().at(confirm->permit_).vm_;
    CheckBudget(vms.at(vm).pool_, "stop of " + vm);
  } else if (const auto* end = std::get_if<CompleteMove>(&aCommand)) {
    ++applied_["complete"];
    if (vms_.at(end->vm_).running_ > 0) {
      violations_.push_back(end->vm_ + " moved with requests running");
    }
  } else if (std::get_if<RevokePermit>(&aCommand) != nullptr) {
    ++applied_["revoke"];
  } else if (std::get_if<AbortMove>(&aCommand) != nullptr) {
    ++applied_["abort"];
  } else if (std::get_if<PlaceTask>(&aCommand) != nullptr) {
    ++applied_["place"];
  } else if (std::get_if<MarkVmLost>(&aCommand) != nullptr) {
    ++applied_["lost"];
  } else if (std::get_if<RecoverVm>(&aCommand) != nullptr) {
    ++applied_["recover"];
  }
}

void
World::CheckBudget(const std::string& aPool, const std::string& aWhat)
{
  const auto& row = fleet_.Table().rows_.at(aPool);
  std::int64_t available = 0;
  std::int64_t out = 0;
  std::map<RackKey, std::int64_t> byRack;
  for (const auto& [id, vm] : fleet_.Vms()) {
    if (vm.pool_ != aPool) {
      continue;
    }
    const auto& simulated = vms_.at(id);
    // A command proposed just before a failure may still be pending.
    const auto commandDelay = commandSteps_ * kStep;
    const auto cut = cutZones_.find(vm.identity_.zone_);
    const bool isReported =
      now_ - simulated.lastReportAt_ <= kDetectionTime + commandDelay &&
      (cut == cutZones_.end() || now_ - cut->second <= commandDelay);
    if (vm.phase_ == VmPhase::Active && isReported) {
      ++available;
      ++byRack[RackOf(vm)];
    } else {
      ++out;
    }
  }
  std::int64_t largest = 0;
  for (const auto& [rack, count] : byRack) {
    largest = std::max(largest, count);
  }
  if (out > row.maxUnavailable_ || available - largest < row.minAvailable_) {
    violations_.push_back(aWhat + " leaves pool " + aPool + " with " +
                          std::to_string(available) + " available, " +
                          std::to_string(out) + " out");
  }
}

void
World::Reboot(const AskReboot& aAsk)
{
  auto& vm = vms_.at(aAsk.vm_);
  if (cutZones_.contains(vm.identity_.zone_) ||
      !vm.operations_.insert(aAsk.operation_).second) {
    return;
  }
  ++reboots_;
  const auto permit = fleet_.Permits().find(aAsk.operation_);
  if (permit == fleet_.Permits().end() || !permit->second.confirmed_) {
    violations_.push_back("reboot of " + aAsk.vm_ +
                          " without a confirmed permit");
  }
  const auto& row = fleet_.Table().rows_.at(fleet_.Vms().at(aAsk.vm_).pool_);
  if (vm.alive_ && vm.running_ > 0 && row.drainAction_ == DrainAction::Wait) {
    violations_.push_back("reboot of " + aAsk.vm_ + " with requests running");
  }
  vm.alive_ = false;
  vm.diedAt_ = now_;
  vm.bootsAt_ = now_ + rebootTime_;
}

void
World::Kill(const std::string& aVm)
{
  auto& vm = vms_.at(aVm);
  vm.alive_ = false;
  vm.bootsAt_ = {};
  vm.diedAt_ = now_;
}

void
World::Revive(const std::string& aVm)
{
  vms_.at(aVm).bootsAt_ = now_ + kStep;
}

void
World::KillRack(const RackKey& aRack)
{
  for (auto& [id, vm] : vms_) {
    if (RackKey{ vm.identity_.zone_, vm.identity_.rack_ } == aRack) {
      Kill(id);
    }
  }
}

std::vector<std::string>
World::VmsOf(const std::string& aPool) const
{
  std::vector<std::string> vms;
  for (const auto& [id, vm] : fleet_.Vms()) {
    if (vm.pool_ == aPool) {
      vms.push_back(id);
    }
  }
  return vms;
}

std::int64_t
World::MembersOf(const std::string& aPool) const
{
  return static_cast<std::int64_t>(VmsOf(aPool).size());
}

std::int64_t
World::RunningTasks(const std::string& aJob) const
{
  std::int64_t count = 0;
  for (const auto& [vm, tasks] : tasks_) {
    for (const auto& [id, task] : tasks) {
      count += vms_.at(vm).alive_ && task.state_ == "running" &&
                   fleet_.Tasks().at(id).job_ == aJob
                 ? 1
                 : 0;
    }
  }
  return count;
}

const Wave&
World::WaveOf(const std::string& aWave) const
{
  return fleet_.Waves().at(aWave);
}

} // namespace acaciahill::test
