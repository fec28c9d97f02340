#include "state/fields_func.h"
#include "state/json_func.h"
#include "state/task_use_func.h"
#include "state/test/fleet_driver.h"

#include <catch2/catch.hpp>

#include <random>

using namespace acaciahill;

namespace {

constexpr int kSeeds = 200;
constexpr int kCommands = 400;
constexpr std::uint64_t kSnapshotEvery = 100;

// Generates commands over a few names, most of which the state would accept.
class CommandGenerator
{
public:
  explicit CommandGenerator(std::uint32_t aSeed)
    : random_(aSeed)
  {
  }

  CommandEnvelope Make(const Fleet& aFleet)
  {
    // Some commands are resends of an earlier one.
    if (!sent_.empty() && Below(15) == 0) {
      return sent_[Below(sent_.size())];
    }
    const auto elapsedMs =
      Below(500) == 0 ? kClaimRetentionMs / 2 : Below(2000);
    sent_.push_back(
      { Concat("r", sent_.size()), elapsedMs, MakeCommand(aFleet) });
    return sent_.back();
  }

  // Half of the commands concern claims and nodes; some reuse the request id of
  // another command.
  CommandEnvelope MakeWithManyClaims(const Fleet& aFleet)
  {
    auto envelope = Make(aFleet);
    if (Flip()) {
      envelope.command_ = MakeClaimCommand();
    }
    if (Below(12) == 0) {
      envelope.requestId_ = sent_[Below(sent_.size())].requestId_;
    }
    return envelope;
  }

private:
  std::size_t Below(std::size_t aLimit) { return random_() % aLimit; }
  bool Flip() { return Below(2) == 0; }
  std::string Pool() { return Concat("p", Below(4)); }
  std::string Vm() { return Concat("vm-", Below(14)); }
  std::string NewId() { return Concat("x", Below(2 + sent_.size())); }

  // Usually an existing id, otherwise any id.
  template<typename T>
  std::string Pick(const std::map<std::string, T>& aMap)
  {
    if (aMap.empty() || Below(10) == 0) {
      return NewId();
    }
    const auto step = static_cast<std::ptrdiff_t>(Below(aMap.size()));
    return std::next(aMap.begin(), step)->first;
  }

  std::string Key() { return Concat("k", Below(6)); }
  std::string Owner() { return Concat("a", Below(2)); }

  std::vector<std::string> Unavailable()
  {
    return Below(4) == 0 ? std::vector<std::string>{ Vm() }
                         : std::vector<std::string>{};
  }

  // Usually the current value, otherwise at most one off.
  std::uint64_t Near(std::uint64_t aValue)
  {
    return Below(8) == 0 ? aValue + Below(3) - 1 : aValue;
  }

  VmRecord VmOf(const Fleet& aFleet, const std::string& aId)
  {
    const auto found = aFleet.Vms().find(aId);
    return found == aFleet.Vms().end() ? VmRecord{} : found->second;
  }

  // Usually an id whose value meets the condition, otherwise any.
  template<typename T, typename Condition>
  std::string PickWhere(const std::map<std::string, T>& aMap,
                        Condition aCondition)
  {
    std::vector<std::string> matches;
    for (const auto& [id, value] : aMap) {
      if (aCondition(value)) {
        matches.push_back(id);
      }
    }
    return matches.empty() || Below(10) == 0 ? Pick(aMap)
                                             : matches[Below(matches.size())];
  }

  std::string LostVm(const Fleet& aFleet)
  {
    return PickWhere(aFleet.Vms(), [](const auto& aVm) {
      return aVm.phase_ == VmPhase::Lost;
    });
  }

  std::string MovingVm(const Fleet& aFleet)
  {
    return PickWhere(aFleet.Vms(),
                     [](const auto& aVm) { return !aVm.moveTo_.empty(); });
  }

  // Usually an active VM of the pool of a task.
  std::string VmForTask(const Fleet& aFleet, const std::string& aTask)
  {
    const auto task = aFleet.Tasks().find(aTask);
    if (task == aFleet.Tasks().end()) {
      return Vm();
    }
    const auto& pool = aFleet.Jobs().at(task->second.job_).pool_;
    return PickWhere(aFleet.Vms(), [&pool](const auto& aVm) {
      return aVm.pool_ == pool && aVm.phase_ == VmPhase::Active;
    });
  }

  // Usually a VM that is pending in a wave.
  std::string PendingVm(const Fleet& aFleet, const std::string& aWave)
  {
    const auto wave = aFleet.Waves().find(aWave);
    if (wave == aFleet.Waves().end() || wave->second.pendingVms_.empty()) {
      return Vm();
    }
    return wave->second.pendingVms_[Below(wave->second.pendingVms_.size())];
  }

  ApplyTable MakeTable(const Fleet& aFleet)
  {
    ApplyTable command;
    for (int i = 0; i < 4; ++i) {
      if (Below(6) != 0) {
        const auto size = static_cast<std::int64_t>(Below(9));
        auto row = test::MakeRow(Concat("p", i),
                                 size,
                                 static_cast<std::int64_t>(Below(3)),
                                 static_cast<std::int64_t>(Below(4)));
        row.spare_ = i == 3 && Flip();
        command.rows_.push_back(row);
      }
    }
    command.ifVersion_ = Near(aFleet.Table().version_);
    return command;
  }

  AnnounceVm MakeAnnounce(const Fleet& aFleet)
  {
    const auto id = Vm();
    const auto vm = VmOf(aFleet, id);
    const auto incarnation = vm.identity_.incarnation_ + Below(3);
    auto identity = test::MakeIdentity(
      id, incarnation, Concat("r", Below(20) == 0 ? 9 : id.size()));
    if (Below(20) == 0) {
      identity.address_ = "127.0.0.1:99";
    }
    return { identity };
  }

  // Idempotent events. Workload jobs have ids from a small range, so that
  // events concern the same jobs.
  ChangeWorkload MakeWorkloadCommand()
  {
    const auto job = static_cast<JobId>(1 + Below(20));
    const TaskKey task{ job, 0, 0, static_cast<std::uint32_t>(Below(3)) };
    const auto run = static_cast<std::uint32_t>(1 + Below(4));
    JobSpec spec;
    spec.id_ = job;
    spec.steps_.emplace_back().tasks_ = 3;
    WorkloadBatch batch;
    batch.atMs_ = Below(100000);
    batch.events_ = { JobAccepted{ spec },
                      RunAssigned{ task, run, 1 },
                      RunClosed{ task, run, RunEnd::Failed, "c", false } };
    if (Below(4) == 0) {
      batch.events_.emplace_back(JobCancelled{ job });
    }
    return { EncodeBatch(batch) };
  }

  Command MakeCommand(const Fleet& aFleet)
  {
    if (Below(30) == 0) {
      return MakeWorkloadCommand();
    }
    switch (Below(9)) {
      case 0:
        return MakeTableCommand(aFleet);
      case 1:
      case 2:
        return MakeVmCommand(aFleet);
      case 3:
      case 4:
      case 5:
        return MakeWaveCommand(aFleet);
      case 6:
        return MakeClaimCommand();
      case 7:
        return MakeAnnounce(aFleet);
      default:
        return MakeJobCommand(aFleet);
    }
  }

  Command MakeTableCommand(const Fleet& aFleet)
  {
    if (aFleet.Table().rows_.empty() || Below(4) == 0) {
      return MakeTable(aFleet);
    }
    const auto* column = Flip() ? "min_available" : "max_unavailable";
    return SetCell{
      Pool(), column, std::to_string(Below(5)), Near(aFleet.Table().version_)
    };
  }

  Command MakeVmCommand(const Fleet& aFleet)
  {
    const auto id = Vm();
    const auto moving = MovingVm(aFleet);
    const auto lost = LostVm(aFleet);
    switch (Below(9)) {
      case 0:
      case 1:
        return BeginMove{ id, Pool(), "load", Unavailable() };
      case 2:
      case 3:
        return CompleteMove{ moving, Near(VmOf(aFleet, moving).epoch_) };
      case 4:
        return AbortMove{ moving, Near(VmOf(aFleet, moving).epoch_), "" };
      case 5:
      case 6:
        return MarkVmLost{ id, Near(VmOf(aFleet, id).identity_.incarnation_) };
      case 7:
        return RecoverVm{ lost,
                          Near(VmOf(aFleet, lost).identity_.incarnation_) };
      default:
        return RemoveVm{ lost };
    }
  }

  Command MakeWaveCommand(const Fleet& aFleet)
  {
    switch (Below(10)) {
      case 0:
        return StartWave{ NewId(),
                          Flip() ? std::vector<std::string>{ Pool() }
                                 : std::vector<std::string>{},
                          static_cast<std::int64_t>(Below(3)) };
      case 1:
        return SetWavePhase{ Pick(aFleet.Waves()),
                             Below(4) == 0 ? static_cast<WavePhase>(Below(5))
                                           : WavePhase::Running,
                             "why" };
      case 2:
      case 3:
      case 4:
        return MakeGrant(aFleet);
      case 5:
        return RevokePermit{ Pick(aFleet.Permits()), "" };
      case 6:
        return MakeAnnounce(aFleet);
      default:
        return MakeConfirm(aFleet);
    }
  }

  Command MakeGrant(const Fleet& aFleet)
  {
    const auto wave = Pick(aFleet.Waves());
    return GrantPermit{
      wave, PendingVm(aFleet, wave), Concat("p", sent_.size()), Unavailable()
    };
  }

  Command MakeConfirm(const Fleet& aFleet)
  {
    const auto id = Pick(aFleet.Permits());
    const auto permit = aFleet.Permits().find(id);
    const auto vm = permit == aFleet.Permits().end() ? "" : permit->second.vm_;
    return ConfirmStop{ id, Near(VmOf(aFleet, vm).epoch_), Unavailable() };
  }

  Command MakeClaimCommand()
  {
    const auto node = Concat("n", Below(3));
    switch (Below(6)) {
      case 0:
        return RegisterNode{ { node, "z1", "a", "b", Flip() } };
      case 1:
        return RemoveNode{ node };
      case 2:
      case 3:
        return BeginClaim{ Key(), Below(2), node, Owner() };
      default:
        return EndClaim{ Key(), Owner(), static_cast<ClaimEnd>(Below(3)),
                         200,   "t",     "\xFF",
                         Flip() };
    }
  }

  Command MakeJobCommand(const Fleet& aFleet)
  {
    const bool isUpdate = Flip();
    const auto id = PickWhere(aFleet.Tasks(), [isUpdate](const auto& aTask) {
      return isUpdate ? detail::IsHeld(aTask)
                      : aTask.phase_ == TaskPhase::Waiting;
    });
    const auto task = aFleet.Tasks().find(id);
    const auto lease = task == aFleet.Tasks().end() ? 0 : task->second.lease_;
    if (isUpdate) {
      return UpdateTask{
        id, Near(lease),   static_cast<TaskPhase>(Below(7)), Below(3) == 0,
        "", Below(2) * 500
      };
    }
    switch (Below(6)) {
      case 0:
        return PutJob{ { NewId(),
                         Pool(),
                         Flip() ? "t1" : "t2",
                         3,
                         1000,
                         64,
                         1,
                         Flip(),
                         false } };
      case 1:
        return CancelJob{ Pick(aFleet.Jobs()) };
      case 2:
        return SetQuota{
          { "t1", static_cast<std::int64_t>(Below(4)) * 1000, 0 }
        };
      default:
        return PlaceTask{ id, VmForTask(aFleet, id), 1 + Below(9000) };
    }
  }

  std::mt19937 random_;
  std::vector<CommandEnvelope> sent_;
};

// VM counts of a pool, computed independently of the code under test.
struct PoolCount
{
  std::int64_t unavailable_ = 0;
  std::int64_t available_ = 0;
  std::int64_t worstRack_ = 0;
};

PoolCount
CountPool(const Fleet& aFleet,
          const std::string& aPool,
          const std::vector<std::string>& aUnavailable)
{
  PoolCount count;
  std::map<std::string, std::int64_t> racks;
  for (const auto& [id, vm] : aFleet.Vms()) {
    if (vm.pool_ != aPool) {
      continue;
    }
    const bool isListed =
      std::find(aUnavailable.begin(), aUnavailable.end(), id) !=
      aUnavailable.end();
    if (vm.phase_ != VmPhase::Active || isListed) {
      ++count.unavailable_;
    } else {
      ++count.available_;
      count.worstRack_ = std::max(
        count.worstRack_, ++racks[vm.identity_.zone_ + vm.identity_.rack_]);
    }
  }
  return count;
}

// Records the first violated rule, so that a run makes one assertion for each
// command instead of one for each of its millions of checks.
class Problems
{
public:
  void Expect(bool aHolds, std::string_view aRule)
  {
    if (!aHolds && first_.empty()) {
      first_ = aRule;
    }
  }

  const std::string& First() const { return first_; }

private:
  std::string first_;
};

void
CheckBudgetHolds(Problems& aProblems,
                 const Fleet& aFleet,
                 const std::string& aVm,
                 const std::vector<std::string>& aUnavailable)
{
  const auto& pool = aFleet.Vms().at(aVm).pool_;
  const auto& row = aFleet.Table().rows_.at(pool);
  const auto count = CountPool(aFleet, pool, aUnavailable);
  aProblems.Expect(count.unavailable_ <= row.maxUnavailable_,
                   "count.unavailable_ <= row.maxUnavailable_");
  aProblems.Expect(count.available_ - count.worstRack_ >= row.minAvailable_,
                   "count.available_ - count.worstRack_ >= row.minAvailable_");
}

// Checks the budget after a command that takes a VM out of service.
void
CheckGrant(Problems& aProblems, const Fleet& aFleet, const Command& aCommand)
{
  if (const auto* move = std::get_if<BeginMove>(&aCommand)) {
    CheckBudgetHolds(aProblems, aFleet, move->vm_, move->unavailable_);
  } else if (const auto* grant = std::get_if<GrantPermit>(&aCommand)) {
    CheckBudgetHolds(aProblems, aFleet, grant->vm_, grant->unavailable_);
  } else if (const auto* stop = std::get_if<ConfirmStop>(&aCommand)) {
    const auto& vm = aFleet.Permits().at(stop->permit_).vm_;
    CheckBudgetHolds(aProblems, aFleet, vm, stop->unavailable_);
  }
}

// Checks the invariants of a single VM.
void
CheckVm(Problems& aProblems, const Fleet& aFleet, const VmRecord& aVm)
{
  aProblems.Expect(aFleet.Table().rows_.count(aVm.pool_) == 1,
                   "aFleet.Table().rows_.count(aVm.pool_) == 1");
  aProblems.Expect(aVm.permit_.empty() || aVm.moveTo_.empty(),
                   "aVm.permit_.empty() || aVm.moveTo_.empty()");
  const auto permit = aFleet.Permits().find(aVm.permit_);
  aProblems.Expect(aVm.permit_.empty() == (permit == aFleet.Permits().end()),
                   "aVm.permit_.empty() == (permit == aFleet.Permits().end())");
  const bool isConfirmed =
    permit != aFleet.Permits().end() && permit->second.confirmed_;
  switch (aVm.phase_) {
    case VmPhase::Active:
      aProblems.Expect(aVm.permit_.empty() && aVm.moveTo_.empty(),
                       "aVm.permit_.empty() && aVm.moveTo_.empty()");
      break;
    case VmPhase::Draining:
      aProblems.Expect(
        !aVm.moveTo_.empty() || (!aVm.permit_.empty() && !isConfirmed),
        "!aVm.moveTo_.empty() || (!aVm.permit_.empty() && !isConfirmed)");
      break;
    case VmPhase::Stopping:
      aProblems.Expect(isConfirmed, "isConfirmed");
      break;
    case VmPhase::Lost:
      break;
  }
}

void
CheckWaves(Problems& aProblems, const Fleet& aFleet)
{
  std::set<std::string> covered;
  for (const auto& [id, wave] : aFleet.Waves()) {
    if (wave.phase_ == WavePhase::Completed ||
        wave.phase_ == WavePhase::Cancelled) {
      continue;
    }
    // Each open wave has work left, and no pool has two of them.
    aProblems.Expect(!(wave.pendingVms_.empty()),
                     "!(wave.pendingVms_.empty())");
    for (const auto& pool : wave.pools_) {
      aProblems.Expect(covered.insert(pool).second,
                       "covered.insert(pool).second");
    }
    for (const auto& vm : wave.pendingVms_) {
      aProblems.Expect(aFleet.Vms().count(vm) == 1,
                       "aFleet.Vms().count(vm) == 1");
      aProblems.Expect(
        std::count(wave.pendingVms_.begin(), wave.pendingVms_.end(), vm) == 1,
        "std::count(wave.pendingVms_.begin(), wave.pendingVms_.end(), vm) == "
        "1");
    }
  }
  for (const auto& [id, permit] : aFleet.Permits()) {
    aProblems.Expect(aFleet.Vms().at(permit.vm_).permit_ == id,
                     "aFleet.Vms().at(permit.vm_).permit_ == id");
    aProblems.Expect(aFleet.Waves().count(permit.wave_) == 1,
                     "aFleet.Waves().count(permit.wave_) == 1");
  }
}

void
CheckTasks(Problems& aProblems, const Fleet& aFleet)
{
  std::map<std::string, std::int64_t> open;
  std::map<std::string, std::int64_t> held;
  for (const auto& [id, task] : aFleet.Tasks()) {
    const auto& job = aFleet.Jobs().at(task.job_);
    const bool isHeld = detail::IsHeld(task);
    aProblems.Expect(task.vm_.empty() != isHeld, "task.vm_.empty() != isHeld");
    aProblems.Expect(!isHeld || aFleet.Vms().at(task.vm_).pool_ == job.pool_,
                     "!isHeld || aFleet.Vms().at(task.vm_).pool_ == job.pool_");
    aProblems.Expect(!job.cancelled_ || task.phase_ != TaskPhase::Waiting,
                     "!job.cancelled_ || task.phase_ != TaskPhase::Waiting");
    open[job.id_] += detail::IsUnfinished(task) ? 1 : 0;
    held[job.team_] += isHeld ? job.milliCores_ : 0;
  }
  for (const auto& [id, count] : open) {
    aProblems.Expect(aFleet.OpenTasks(id) == count,
                     "aFleet.OpenTasks(id) == count");
  }
  for (const auto& [team, milliCores] : held) {
    aProblems.Expect(aFleet.UseOf(team).milliCores_ == milliCores,
                     "aFleet.UseOf(team).milliCores_ == milliCores");
  }
}

// Checks the invariants of a state and of the step from the state before it.
void
CheckStep(Problems& aProblems, const Fleet& aBefore, const Fleet& aAfter)
{
  aProblems.Expect(aAfter.Table().version_ >= aBefore.Table().version_,
                   "aAfter.Table().version_ >= aBefore.Table().version_");
  aProblems.Expect(aAfter.LogicalMs() >= aBefore.LogicalMs(),
                   "aAfter.LogicalMs() >= aBefore.LogicalMs()");
  for (const auto& [id, vm] : aAfter.Vms()) {
    CheckVm(aProblems, aAfter, vm);
    const auto old = aBefore.Vms().find(id);
    if (old != aBefore.Vms().end() && old->second.number_ == vm.number_) {
      const bool isChanged =
        old->second.pool_ != vm.pool_ || old->second.phase_ != vm.phase_;
      aProblems.Expect(vm.epoch_ >= old->second.epoch_ + (isChanged ? 1 : 0),
                       "vm.epoch_ >= old->second.epoch_ + (isChanged ? 1 : 0)");
      aProblems.Expect(
        vm.identity_.incarnation_ >= old->second.identity_.incarnation_,
        "vm.identity_.incarnation_ >= old->second.identity_.incarnation_");
    }
  }
  CheckWaves(aProblems, aAfter);
  CheckTasks(aProblems, aAfter);
}

void
CheckUnchanged(Problems& aProblems, const Fleet& aBefore, const Fleet& aAfter)
{
  aProblems.Expect(aAfter.Table() == aBefore.Table(),
                   "aAfter.Table() == aBefore.Table()");
  aProblems.Expect(aAfter.Vms() == aBefore.Vms(),
                   "aAfter.Vms() == aBefore.Vms()");
  aProblems.Expect(aAfter.Permits() == aBefore.Permits(),
                   "aAfter.Permits() == aBefore.Permits()");
  aProblems.Expect(aAfter.Waves() == aBefore.Waves(),
                   "aAfter.Waves() == aBefore.Waves()");
  aProblems.Expect(aAfter.Nodes() == aBefore.Nodes(),
                   "aAfter.Nodes() == aBefore.Nodes()");
  aProblems.Expect(aAfter.Jobs() == aBefore.Jobs(),
                   "aAfter.Jobs() == aBefore.Jobs()");
  aProblems.Expect(aAfter.Tasks() == aBefore.Tasks(),
                   "aAfter.Tasks() == aBefore.Tasks()");
  aProblems.Expect(aAfter.Quotas() == aBefore.Quotas(),
                   "aAfter.Quotas() == aBefore.Quotas()");
  aProblems.Expect(aAfter.MoveCount() == aBefore.MoveCount(),
                   "aAfter.MoveCount() == aBefore.MoveCount()");
  // Claims may only expire.
  for (const auto& [key, claim] : aAfter.Claims()) {
    aProblems.Expect(aBefore.Claims().at(key) == claim,
                     "aBefore.Claims().at(key) == claim");
  }
}

} // namespace

// Guards against violated invariants after any order of commands, and against
// replicas that differ after a replay or after a snapshot.
TEST_CASE("random commands keep every rule, on 200 seeds")
{
  std::map<std::string, int> accepted;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    CommandGenerator generator(static_cast<std::uint32_t>(seed));
    Fleet fleet;
    Fleet restored;
    std::set<std::string> seen;
    std::vector<CommandEnvelope> log;
    for (std::uint64_t index = 1; index <= kCommands; ++index) {
      const auto envelope = generator.Make(fleet);
      // The second replica is one command behind and holds the previous state.
      const auto result = fleet.Apply(envelope, index);
      const bool isNew = seen.insert(envelope.requestId_).second;
      log.push_back(envelope);
      Problems problems;
      CheckStep(problems, restored, fleet);
      if (result.error_ || !isNew) {
        CheckUnchanged(problems, restored, fleet);
      } else {
        CheckGrant(problems, fleet, envelope.command_);
        ++accepted[std::string(CommandName(envelope.command_))];
      }
      problems.Expect(restored.Apply(envelope, index) == result,
                      "a restored replica gives the same result");
      if (!problems.First().empty()) {
        FAIL("index " << index << ", "
                      << CommandToJson(envelope.command_).dump() << ": "
                      << problems.First());
      }
      // Each seed takes snapshots at different indices.
      if ((index + static_cast<std::uint64_t>(seed)) % kSnapshotEvery == 0) {
        auto decoded = Fleet::DecodeSnapshot(fleet.EncodeSnapshot());
        REQUIRE(IsOk(decoded));
        REQUIRE(ValueOf(decoded) == fleet);
        restored = ValueOf(std::move(decoded));
      }
    }
    REQUIRE(restored == fleet);
    Fleet replayed;
    for (std::size_t i = 0; i < log.size(); ++i) {
      const auto envelope = DecodeEnvelope(EncodeEnvelope(log[i]));
      REQUIRE(IsOk(envelope));
      replayed.Apply(ValueOf(envelope), i + 1);
    }
    REQUIRE(replayed == fleet);
  }
  // The test would prove nothing if most commands were refused.
  for (const auto& name : detail::kCommandNames) {
    INFO(name);
    UNSCOPED_INFO("accepted " << accepted[std::string(name)]);
    CHECK(accepted[std::string(name)] >= 100);
  }
}

// Guards against a replica without claims that differs from a full one in more
// than claims, whether it skips runs of claim commands of any length, receives
// every claim command, or restores a snapshot.
TEST_CASE("replicas without claims equal whole ones but for claims, on 100 "
          "seeds")
{
  std::size_t runs = 0;
  for (int seed = 1; seed <= kSeeds / 2; ++seed) {
    INFO("seed " << seed);
    CommandGenerator generator(static_cast<std::uint32_t>(seed));
    std::mt19937 random(static_cast<std::uint32_t>(seed));
    Fleet full;
    Fleet bySkips;
    bySkips.DropClaims();
    Fleet byCommands = bySkips;
    bool isClaimRunOpen = false;
    std::uint64_t runMs = 0;
    for (std::uint64_t index = 1; index <= kCommands; ++index) {
      const auto envelope = generator.MakeWithManyClaims(full);
      const auto result = full.Apply(envelope, index);
      const auto other = byCommands.Apply(envelope, index);
      if (IsClaimCommand(envelope.command_)) {
        isClaimRunOpen = true;
        runMs = full.LogicalMs();
      } else {
        REQUIRE(other == result);
        if (isClaimRunOpen) {
          bySkips.SkipClaims(index - 1, runMs);
          isClaimRunOpen = false;
          ++runs;
        }
        REQUIRE(bySkips.Apply(envelope, index) == result);
      }
      // A pull may end at any point of a run of claim commands.
      if (isClaimRunOpen && random() % 4 == 0) {
        bySkips.SkipClaims(index, runMs);
        isClaimRunOpen = false;
        ++runs;
      }
      if (random() % 20 == 0 && !isClaimRunOpen) {
        auto expected = full;
        expected.DropClaims();
        REQUIRE(bySkips == expected);
        REQUIRE(byCommands == expected);
        auto decoded =
          Fleet::DecodeSnapshot(full.EncodeSnapshotWithoutClaims());
        REQUIRE(IsOk(decoded));
        REQUIRE(ValueOf(decoded) == expected);
        bySkips = ValueOf(std::move(decoded));
      }
    }
  }
  // The test would prove nothing with only a few runs.
  CHECK(runs >= 5000);
}
