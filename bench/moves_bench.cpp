// Steps the move and wave planners against fake targets under rotating bursts:
//   bench_moves SEED FOLDER [SECONDS]
// Appends to FOLDER/moves.csv. All policies of a case meet the same arrivals.
#include "bench_func.h"

#include "planner/drain_tracker_base.h"
#include "planner/move_planner_base.h"
#include "planner/wave_planner_base.h"

#include <cmath>
#include <deque>
#include <functional>
#include <iostream>
#include <random>

using namespace acaciahill;
using namespace acaciahill::bench;

namespace {

constexpr Millis kStep{ 250 };
constexpr double kStepSeconds = 0.25;
constexpr int kNodes = 8;
constexpr int kZones = 3;
constexpr int kVmsPerRack = 4;
constexpr std::int64_t kSlots = 8;
constexpr double kServiceSeconds = 0.2;
constexpr double kPerVmSecond = static_cast<double>(kSlots) / kServiceSeconds;
constexpr double kBurstShare = 1.25;
constexpr double kQuietShare = 0.25 / 20;
constexpr std::int64_t kQueueLimit = 100LL * kNodes;
/// Interval of announcements, and the one after a change of the assignment
/// (section 11 of the design).
constexpr Millis kAnnounceTime{ 2000 };
constexpr Millis kFastTime{ 500 };
constexpr Millis kFastPeriod{ 10000 };
/// Prices of the two users: one weighs buffer cost most, the other moves.
constexpr double kHighPrice = 10;
constexpr double kSecondsPerHour = 3600;
constexpr Millis kRebootTime{ 60000 };
constexpr Millis kWaveAt{ 120000 };
constexpr std::int64_t kReactiveMoves = 3;

struct Policy
{
  std::string name_;
  /// Members of the four pools and the spare pool.
  std::vector<std::int64_t> sizes_{ 10, 10, 11, 12, 8 };
  bool moves_ = false;
  bool reactive_ = false;
  std::int64_t holdPrice_ = 1;
  std::int64_t movePrice_ = 1;
};

struct Case
{
  std::int64_t burstSeconds_ = 6;
  std::int64_t deadlineMs_ = 5000;
  /// -1 for no wave; 0 leaves the width to the budgets.
  std::int64_t waveWidth_ = -1;
};

struct FakeTarget
{
  std::uint64_t incarnation_ = 1;
  std::uint64_t epoch_ = 0;
  bool draining_ = false;
  bool alive_ = true;
  /// When it hears of the epoch that it does not hold yet.
  std::optional<MonotonicTime> echoAt_;
  MonotonicTime fastUntil_{};
  MonotonicTime bootsAt_{};
  std::set<std::string> operations_;
};

struct FakePool
{
  /// Arrival time in steps and number of requests.
  std::deque<std::pair<std::int64_t, double>> queue_;
  double queued_ = 0;
  double busySlots_ = 0;
  double refusedNow_ = 0;
  double credit_ = 0;
};

struct Figures
{
  double requests_ = 0;
  double inTime_ = 0;
  double late_ = 0;
  double refused_ = 0;
  double idleVmSeconds_ = 0;
  double waveSeconds_ = -1;
};

class MoveRun
{
public:
  MoveRun(const Policy& aPolicy, const Case& aCase, std::uint64_t aSeed)
    : policy_(aPolicy)
    , case_(aCase)
    , random_(aSeed)
    , echoes_(aSeed + 1000000)
  {
    MakeFleet();
  }

  Figures Run(std::int64_t aSeconds);
  std::uint64_t Moves() const { return fleet_.MoveCount(); }

private:
  void MakeFleet();
  bool Apply(const Command& aCommand);
  void StepTargets();
  std::int64_t ServingVms(const std::string& aPool) const;
  void Serve(std::int64_t aStep);
  PlannerView View();
  void Take(const std::vector<PlannerAction>& aActions);
  std::vector<PlannerAction> React(const PlannerView& aView);
  std::vector<PlannerAction> ReactForPool(const PlannerView& aView,
                                          const PoolRow& aRow);

  const Policy& policy_;
  const Case& case_;
  std::mt19937_64 random_;
  /// Separate, so that all policies meet the same arrivals.
  std::mt19937_64 echoes_;
  Fleet fleet_;
  std::uint64_t index_ = 0;
  MonotonicTime now_{ std::chrono::seconds(1000) };
  MonotonicTime start_ = now_;
  std::map<std::string, FakeTarget> targets_;
  std::map<std::string, FakePool> pools_;
  PlannerLimits limits_;
  MovePlanner mover_{ limits_ };
  WavePlanner waves_{ limits_ };
  DrainTracker drains_{ limits_ };
  std::vector<Command> pending_;
  Figures figures_;
};

bool
MoveRun::Apply(const Command& aCommand)
{
  CommandEnvelope envelope;
  envelope.requestId_ = "r" + std::to_string(++index_);
  envelope.elapsedMs_ = 1;
  envelope.command_ = aCommand;
  return !fleet_.Apply(envelope, index_).error_;
}

void
MoveRun::MakeFleet()
{
  for (int i = 1; i <= kNodes; ++i) {
    const auto id = "n" + std::to_string(i);
    Apply(RegisterNode{ { id,
                          "z" + std::to_string(i % kZones),
                          "127.0.0.1:700" + std::to_string(i),
                          "127.0.0.1:800" + std::to_string(i),
                          false } });
  }
  std::vector<PoolRow> rows;
  for (std::size_t i = 0; i < policy_.sizes_.size(); ++i) {
    PoolRow row;
    row.pool_ =
      i + 1 == policy_.sizes_.size() ? "spare" : "p" + std::to_string(i + 1);
    row.size_ = policy_.sizes_[i];
    // Room for two VMs in work after the loss of a further rack.
    row.minAvailable_ =
      row.pool_ == "spare" ? 0 : std::max<std::int64_t>(row.size_ - 6, 0);
    row.maxUnavailable_ = row.pool_ == "spare" ? row.size_ : 2;
    row.deadlineMs_ = case_.deadlineMs_;
    row.holdPrice_ = policy_.holdPrice_;
    row.movePrice_ = policy_.movePrice_;
    rows.push_back(row);
  }
  // Without a spare pool each VM goes to the pool that lacks most.
  Apply(ApplyTable{ rows, 0 });
  std::int64_t vms = 0;
  for (const auto size : policy_.sizes_) {
    vms += size;
  }
  for (std::int64_t i = 0; i < vms; ++i) {
    const auto rack = i / kVmsPerRack;
    const auto id = "vm" + std::to_string(100 + i);
    Apply(AnnounceVm{ { id,
                        1,
                        "z" + std::to_string(rack % kZones),
                        "r" + std::to_string(rack),
                        "127.0.0.1:" + std::to_string(10000 + i),
                        16,
                        32768,
                        kSlots,
                        64 } });
    targets_[id].epoch_ = fleet_.Vms().at(id).epoch_;
  }
  rows.back().spare_ = true;
  Apply(ApplyTable{ rows, fleet_.Table().version_ });
}

void
MoveRun::StepTargets()
{
  for (auto& [id, target] : targets_) {
    if (!target.alive_) {
      if (now_ < target.bootsAt_) {
        continue;
      }
      target.alive_ = true;
      target.epoch_ = 0;
      ++target.incarnation_;
      auto identity = fleet_.Vms().at(id).identity_;
      identity.incarnation_ = target.incarnation_;
      Apply(AnnounceVm{ identity });
    }
    const auto& vm = fleet_.Vms().at(id);
    if (target.epoch_ == vm.epoch_) {
      continue;
    }
    if (!target.echoAt_) {
      const auto wait = now_ < target.fastUntil_ ? kFastTime : kAnnounceTime;
      std::uniform_int_distribution<std::int64_t> when(0, wait.count());
      target.echoAt_ = now_ + Millis(when(echoes_));
      target.fastUntil_ = now_ + kFastPeriod;
    } else if (now_ >= *target.echoAt_) {
      target.echoAt_.reset();
      target.epoch_ = vm.epoch_;
      target.draining_ = vm.phase_ != VmPhase::Active;
    }
  }
}

std::int64_t
MoveRun::ServingVms(const std::string& aPool) const
{
  std::int64_t count = 0;
  for (const auto& [id, vm] : fleet_.Vms()) {
    const auto& target = targets_.at(id);
    count += vm.pool_ == aPool && vm.phase_ == VmPhase::Active &&
                 target.alive_ && target.epoch_ == vm.epoch_
               ? 1
               : 0;
  }
  return count;
}

void
MoveRun::Serve(std::int64_t aStep)
{
  const auto second =
    static_cast<std::int64_t>(static_cast<double>(aStep) * kStepSeconds);
  const auto turn = second / case_.burstSeconds_ % 4;
  const std::vector<double> nominal{ 10, 10, 11, 12 };
  double busyVms = 0;
  for (std::size_t i = 0; i < nominal.size(); ++i) {
    const auto name = "p" + std::to_string(i + 1);
    auto& pool = pools_[name];
    const auto share =
      static_cast<std::int64_t>(i) == turn ? kBurstShare : kQuietShare;
    // The load does not depend on the policy's sizes.
    const auto mean = nominal[i] * kPerVmSecond * share * kStepSeconds;
    auto arrived =
      static_cast<double>(std::poisson_distribution<int>(mean)(random_));
    figures_.requests_ += arrived;
    const auto room =
      std::max(0.0, static_cast<double>(kQueueLimit) - pool.queued_);
    const auto capacity =
      static_cast<double>(ServingVms(name)) * kPerVmSecond * kStepSeconds;
    pool.refusedNow_ = std::max(0.0, arrived - room - capacity);
    figures_.refused_ += pool.refusedNow_;
    arrived -= pool.refusedNow_;
    if (arrived > 0) {
      pool.queue_.emplace_back(aStep, arrived);
      pool.queued_ += arrived;
    }
    auto left = capacity;
    while (!pool.queue_.empty() && left > 0) {
      auto& [came, number] = pool.queue_.front();
      const auto waited = static_cast<double>(aStep - came) * kStepSeconds;
      const bool isLate = (waited + kServiceSeconds) * 1000 >
                          static_cast<double>(case_.deadlineMs_);
      // A request past its deadline is ended without running.
      const auto taken = isLate ? number : std::min(number, left);
      (isLate ? figures_.late_ : figures_.inTime_) += taken;
      left -= isLate ? 0 : taken;
      number -= taken;
      pool.queued_ -= taken;
      if (number <= 1e-9) {
        pool.queue_.pop_front();
      }
    }
    pool.busySlots_ = capacity > 0
                        ? (capacity - left) / capacity *
                            static_cast<double>(ServingVms(name)) * kSlots
                        : 0;
    busyVms += pool.busySlots_ / kSlots;
  }
  figures_.idleVmSeconds_ +=
    (static_cast<double>(targets_.size()) - busyVms) * kStepSeconds;
}

PlannerView
MoveRun::View()
{
  PlannerView view;
  view.fleet_ = &fleet_;
  for (const auto& [id, vm] : fleet_.Vms()) {
    view.zonesInContact_.insert(vm.identity_.zone_);
    const auto& target = targets_.at(id);
    if (target.alive_) {
      view.targets_[id] = {
        vm.number_, target.incarnation_, target.epoch_, target.draining_, 0,
        now_
      };
    }
  }
  for (int i = 1; i <= kNodes; ++i) {
    auto& status = view.nodes_["n" + std::to_string(i)];
    status.node_ = "n" + std::to_string(i);
    status.appliedIndex_ = fleet_.AppliedIndex();
    status.madeAt_ = now_;
  }
  for (const auto& [name, pool] : pools_) {
    view.loads_[name] = {
      static_cast<std::int64_t>(std::lround(pool.busySlots_)),
      static_cast<std::int64_t>(std::lround(pool.queued_)),
      static_cast<std::int64_t>(std::lround(pool.refusedNow_))
    };
  }
  return view;
}

void
MoveRun::Take(const std::vector<PlannerAction>& aActions)
{
  for (const auto& action : aActions) {
    if (const auto* proposal = std::get_if<ProposeCommand>(&action)) {
      pending_.push_back(proposal->command_);
      continue;
    }
    const auto& ask = std::get<AskReboot>(action);
    auto& target = targets_.at(ask.vm_);
    if (target.operations_.insert(ask.operation_).second) {
      target.alive_ = false;
      target.bootsAt_ = now_ + kRebootTime;
    }
  }
}

/// The simplest reactive rule: a VM comes when requests queue, and goes back
/// when the pool can do without it.
std::vector<PlannerAction>
MoveRun::React(const PlannerView& aView)
{
  drains_.Observe(aView, now_);
  std::vector<PlannerAction> actions;
  for (const auto& [id, vm] : fleet_.Vms()) {
    if (!vm.moveTo_.empty() && drains_.IsComplete(id)) {
      actions.emplace_back(ProposeCommand{ CompleteMove{ id, vm.epoch_ } });
    }
  }
  for (const auto& [name, row] : fleet_.Table().rows_) {
    if (!row.spare_) {
      const auto more = ReactForPool(aView, row);
      actions.insert(actions.end(), more.begin(), more.end());
    }
  }
  return actions;
}

std::vector<PlannerAction>
MoveRun::ReactForPool(const PlannerView& aView, const PoolRow& aRow)
{
  std::int64_t members = 0;
  std::int64_t moving = 0;
  std::string spare;
  std::string own;
  for (const auto& [id, vm] : fleet_.Vms()) {
    members += vm.pool_ == aRow.pool_ && vm.moveTo_.empty() ? 1 : 0;
    moving += vm.moveTo_ == aRow.pool_ ? 1 : 0;
    const bool isFree = vm.phase_ == VmPhase::Active;
    if (isFree && vm.pool_ == "spare") {
      spare = id;
    } else if (isFree && vm.pool_ == aRow.pool_) {
      own = id;
    }
  }
  const auto& pool = pools_[aRow.pool_];
  std::vector<PlannerAction> actions;
  if (pool.queued_ > 0 && moving < kReactiveMoves && !spare.empty()) {
    actions.emplace_back(ProposeCommand{
      BeginMove{ spare,
                 aRow.pool_,
                 "queue",
                 UnavailableVms("spare", aView, now_, limits_) } });
  } else if (pool.queued_ == 0 && members > aRow.size_ && !own.empty() &&
             pool.busySlots_ <= static_cast<double>((members - 1) * kSlots)) {
    actions.emplace_back(ProposeCommand{
      BeginMove{ own,
                 "spare",
                 "idle",
                 UnavailableVms(aRow.pool_, aView, now_, limits_) } });
  }
  return actions;
}

Figures
MoveRun::Run(std::int64_t aSeconds)
{
  const auto steps =
    static_cast<std::int64_t>(static_cast<double>(aSeconds) / kStepSeconds);
  bool started = false;
  for (std::int64_t step = 0; step < steps; ++step) {
    now_ += kStep;
    StepTargets();
    const auto commands = std::move(pending_);
    pending_.clear();
    for (const auto& command : commands) {
      Apply(command);
    }
    Serve(step);
    if (case_.waveWidth_ >= 0 && !started && now_ - start_ >= kWaveAt) {
      started = Apply(StartWave{ "w1", {}, case_.waveWidth_ });
    }
    const auto view = View();
    if (policy_.moves_) {
      Take(mover_.Step(view, now_));
    } else if (policy_.reactive_) {
      Take(React(view));
    }
    if (case_.waveWidth_ >= 0) {
      Take(waves_.Step(view, now_));
      const auto wave = fleet_.Waves().find("w1");
      if (wave != fleet_.Waves().end() && figures_.waveSeconds_ < 0 &&
          wave->second.phase_ == WavePhase::Completed) {
        figures_.waveSeconds_ =
          static_cast<double>((now_ - start_ - kWaveAt).count()) / 1000;
      }
    }
  }
  return figures_;
}

std::vector<Policy>
Policies()
{
  const std::vector<std::int64_t> today{ 10, 10, 11, 12, 8 };
  return {
    { "static", today, false, false, 1, 1 },
    { "static with the spare spread",
      { 12, 12, 13, 14, 0 },
      false,
      false,
      1,
      1 },
    { "static without spare VMs", { 10, 10, 11, 12, 0 }, false, false, 1, 1 },
    { "reactive", today, false, true, 1, 1 },
    { "planner hold 1 move 10", today, true, false, 1, 10 },
    { "planner hold 1 move 1", today, true, false, 1, 1 },
    { "planner hold 10 move 1", today, true, false, 10, 1 },
    { "planner hold 1000 move 1", today, true, false, 1000, 1 },
    { "planner move 0", today, true, false, 1, 0 },
  };
}

} // namespace

int
main(int aCount, char** aWords)
{
  if (aCount < 3) {
    std::cerr << "usage: bench_moves SEED FOLDER [SECONDS]\n";
    return 2;
  }
  try {
    const auto seed = std::stoull(aWords[1]);
    const std::int64_t seconds = aCount > 3 ? std::stoll(aWords[3]) : 3600;
    CsvFile file(
      std::string(aWords[2]) + "/moves.csv",
      "seed,seconds,burst_s,deadline_ms,wave_width,policy,requests,"
      "in_time,late,refused,idle_vm_s,moves,wave_s,in_time_ratio,"
      "lost_ratio,idle_ratio,cost_hold_10_move_1,cost_hold_1_move_10");
    const std::vector<Case> cases{
      { 6, 5000, -1 },   { 6, 1000, -1 }, { 30, 5000, -1 }, { 120, 5000, -1 },
      { 600, 5000, -1 }, { 6, 5000, 0 },  { 6, 5000, 1 },   { 30, 5000, 0 },
    };
    for (const auto& item : cases) {
      std::optional<Figures> base;
      for (const auto& policy : Policies()) {
        MoveRun run(policy, item, seed);
        const auto figures = run.Run(seconds);
        if (!base) {
          base = figures;
        }
        const auto lost = [](const Figures& aFigures) {
          return aFigures.late_ + aFigures.refused_;
        };
        const auto idleHours = figures.idleVmSeconds_ / kSecondsPerHour;
        const auto moves = static_cast<double>(run.Moves());
        file.Line(seed,
                  seconds,
                  item.burstSeconds_,
                  item.deadlineMs_,
                  item.waveWidth_,
                  policy.name_,
                  figures.requests_,
                  figures.inTime_,
                  figures.late_,
                  figures.refused_,
                  figures.idleVmSeconds_,
                  moves,
                  figures.waveSeconds_,
                  figures.inTime_ / base->inTime_,
                  lost(*base) > 0 ? lost(figures) / lost(*base) : 0,
                  figures.idleVmSeconds_ / base->idleVmSeconds_,
                  kHighPrice * idleHours + moves,
                  idleHours + kHighPrice * moves);
      }
    }
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 1;
  }
  return 0;
}
