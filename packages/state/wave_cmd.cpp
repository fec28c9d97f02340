#include "state/budget_func.h"
#include "state/check_func.h"
#include "state/fleet_editor_base.h"

namespace acaciahill {

namespace {

constexpr std::size_t kMaxPermitIdBytes = 256;
constexpr std::int64_t kLargestWidth = 100'000;

bool
IsOpen(const Wave& aWave)
{
  return aWave.phase_ == WavePhase::Running ||
         aWave.phase_ == WavePhase::Paused || aWave.phase_ == WavePhase::Held;
}

std::int64_t
OpenPermits(const Fleet& aFleet, const std::string& aWave)
{
  return std::count_if(
    aFleet.Permits().begin(),
    aFleet.Permits().end(),
    [&aWave](const auto& aPermit) { return aPermit.second.wave_ == aWave; });
}

Error
UnknownWaveError(const std::string& aWave)
{
  return Refuse(
    ErrorKind::UnknownWave, "there is no wave \"", Printable(aWave), "\"");
}

Error
UnknownPermitError(const std::string& aPermit)
{
  return Refuse(ErrorKind::InvalidState,
                "there is no open permit \"",
                Printable(aPermit),
                "\"");
}

// The pools that a wave covers; no pools in the command means all of them.
std::vector<std::string>
PoolsOf(const Fleet& aFleet, const StartWave& aCommand)
{
  if (!aCommand.pools_.empty()) {
    return aCommand.pools_;
  }
  std::vector<std::string> pools;
  for (const auto& [name, row] : aFleet.Table().rows_) {
    pools.push_back(name);
  }
  return pools;
}

Refusal
CheckWavePool(const Fleet& aFleet, const std::string& aPool)
{
  if (aFleet.Table().rows_.count(aPool) == 0) {
    return detail::UnknownPoolError(aPool);
  }
  for (const auto& [id, wave] : aFleet.Waves()) {
    if (IsOpen(wave) && detail::Contains(wave.pools_, aPool)) {
      return Refuse(ErrorKind::InvalidState,
                    "wave ",
                    id,
                    " over pool ",
                    aPool,
                    " is ",
                    WordOf(wave.phase_),
                    "; wait for its end or cancel it");
    }
  }
  return std::nullopt;
}

Refusal
CheckWavePools(const Fleet& aFleet, const std::vector<std::string>& aPools)
{
  if (aPools.empty()) {
    return Refuse(ErrorKind::InvalidState, "the table has no pool yet");
  }
  for (const auto& pool : aPools) {
    if (auto refusal = CheckWavePool(aFleet, pool)) {
      return refusal;
    }
    if (std::count(aPools.begin(), aPools.end(), pool) > 1) {
      return Refuse(
        ErrorKind::BadRequest, "pools names the pool ", pool, " twice");
    }
  }
  return std::nullopt;
}

// Whether a command may change the phase of a wave in this way.
bool
IsTransitionAllowed(WavePhase aOld, WavePhase aNew)
{
  switch (aNew) {
    case WavePhase::Running:
      return aOld == WavePhase::Paused || aOld == WavePhase::Held;
    case WavePhase::Paused:
      return aOld == WavePhase::Running || aOld == WavePhase::Held;
    case WavePhase::Held:
      // A wave paused by an operator stays paused until an operator resumes it.
      return aOld == WavePhase::Running;
    case WavePhase::Cancelled:
      return aOld == WavePhase::Running || aOld == WavePhase::Paused ||
             aOld == WavePhase::Held;
    case WavePhase::Completed:
      break;
  }
  return false;
}

Refusal
CheckRunning(const Wave& aWave)
{
  if (aWave.phase_ == WavePhase::Running) {
    return std::nullopt;
  }
  return Refuse(ErrorKind::InvalidState,
                "wave ",
                aWave.id_,
                " is ",
                WordOf(aWave.phase_),
                aWave.reason_.empty() ? "" : ": ",
                aWave.reason_);
}

Refusal
CheckPermitId(const Fleet& aFleet, const std::string& aPermit)
{
  if (aPermit.empty()) {
    return Refuse(ErrorKind::BadRequest, "permit must not be empty");
  }
  if (aFleet.Permits().count(aPermit) != 0) {
    return Refuse(ErrorKind::InvalidState,
                  "the permit ",
                  Printable(aPermit),
                  " is open already; each permit needs its own id");
  }
  return CheckText("permit", aPermit, kMaxPermitIdBytes);
}

Refusal
CheckWidth(const Fleet& aFleet, const Wave& aWave)
{
  const auto open = OpenPermits(aFleet, aWave.id_);
  if (aWave.width_ == 0 || open < aWave.width_) {
    return std::nullopt;
  }
  return Refuse(ErrorKind::BudgetExceeded,
                "wave ",
                aWave.id_,
                " has ",
                open,
                " VMs in work, and its width is ",
                aWave.width_);
}

Refusal
CheckPoolBudget(const Fleet& aFleet,
                const VmRecord& aVm,
                const std::vector<std::string>& aUnavailable)
{
  const auto verdict = CheckBudget(aFleet.Table().rows_.at(aVm.pool_),
                                   aFleet.Vms(),
                                   aVm.identity_.id_,
                                   aUnavailable);
  return verdict.allowed_ ? Refusal()
                          : Refuse(ErrorKind::BudgetExceeded, verdict.text_);
}

std::string
BudgetText(const Fleet& aFleet,
           const VmRecord& aVm,
           const std::vector<std::string>& aUnavailable)
{
  return CheckBudget(aFleet.Table().rows_.at(aVm.pool_),
                     aFleet.Vms(),
                     aVm.identity_.id_,
                     aUnavailable)
    .text_;
}

} // namespace

Refusal
FleetEditor::Check(const Fleet& aFleet, const StartWave& aCommand)
{
  if (auto refusal = CheckId("wave", aCommand.wave_)) {
    return refusal;
  }
  if (aFleet.Waves().count(aCommand.wave_) != 0) {
    return Refuse(ErrorKind::InvalidState,
                  "there is a wave ",
                  aCommand.wave_,
                  " already; each wave needs its own name");
  }
  if (aCommand.width_ < 0 || aCommand.width_ > kLargestWidth) {
    return Refuse(ErrorKind::OutOfRange,
                  "width ",
                  aCommand.width_,
                  " must be from 0 (no limit but the budgets) to ",
                  kLargestWidth);
  }
  return CheckWavePools(aFleet, PoolsOf(aFleet, aCommand));
}

std::string
FleetEditor::Apply(const StartWave& aCommand)
{
  Wave wave;
  wave.id_ = aCommand.wave_;
  wave.pools_ = PoolsOf(fleet_, aCommand);
  wave.width_ = aCommand.width_;
  wave.startedAtMs_ = fleet_.logicalMs_;
  for (const auto& pool : wave.pools_) {
    for (const auto& [id, vm] : fleet_.vms_) {
      if (vm.pool_ == pool) {
        wave.pendingVms_.push_back(id);
      }
    }
  }
  auto text = Concat("wave ",
                     wave.id_,
                     " started: ",
                     wave.pendingVms_.size(),
                     " VMs of ",
                     wave.pools_.size(),
                     " pools are to be rebooted",
                     wave.width_ == 0 ? "" : ", at once at most ",
                     wave.width_ == 0 ? "" : std::to_string(wave.width_));
  RecordDecision(Concat("wave:", wave.id_), text);
  for (const auto& pool : wave.pools_) {
    RecordDecision(Concat("pool:", pool), text);
  }
  fleet_.waves_.emplace(wave.id_, wave);
  CompleteWaveIfDone(wave.id_);
  return text;
}

Refusal
FleetEditor::Check(const Fleet& aFleet, const SetWavePhase& aCommand)
{
  const auto found = aFleet.Waves().find(aCommand.wave_);
  if (found == aFleet.Waves().end()) {
    return UnknownWaveError(aCommand.wave_);
  }
  if (!IsTransitionAllowed(found->second.phase_, aCommand.phase_)) {
    return Refuse(ErrorKind::InvalidState,
                  "wave ",
                  aCommand.wave_,
                  " is ",
                  WordOf(found->second.phase_),
                  " and cannot become ",
                  WordOf(aCommand.phase_));
  }
  return CheckText("reason", aCommand.reason_, detail::kMaxReasonBytes);
}

std::string
FleetEditor::Apply(const SetWavePhase& aCommand)
{
  auto& wave = fleet_.waves_.at(aCommand.wave_);
  auto text = Concat("wave ",
                     wave.id_,
                     " was ",
                     WordOf(wave.phase_),
                     " and is ",
                     WordOf(aCommand.phase_),
                     aCommand.reason_.empty() ? "" : ": ",
                     aCommand.reason_);
  RecordDecision(Concat("wave:", wave.id_), text);
  if (aCommand.phase_ == WavePhase::Cancelled) {
    RevokeUnconfirmedPermits(wave.id_);
    EndWave(wave, WavePhase::Cancelled);
    return text;
  }
  wave.phase_ = aCommand.phase_;
  wave.reason_ =
    aCommand.phase_ == WavePhase::Running ? std::string() : aCommand.reason_;
  return text;
}

Refusal
FleetEditor::Check(const Fleet& aFleet, const GrantPermit& aCommand)
{
  const auto wave = aFleet.Waves().find(aCommand.wave_);
  if (wave == aFleet.Waves().end()) {
    return UnknownWaveError(aCommand.wave_);
  }
  const auto vm = aFleet.Vms().find(aCommand.vm_);
  if (vm == aFleet.Vms().end()) {
    return detail::UnknownVmError(aCommand.vm_);
  }
  if (!detail::Contains(wave->second.pendingVms_, aCommand.vm_)) {
    return Refuse(ErrorKind::InvalidState,
                  "VM ",
                  aCommand.vm_,
                  " is not pending in wave ",
                  aCommand.wave_);
  }
  if (auto refusal =
        FirstRefusal(CheckRunning(wave->second),
                     detail::CheckCanDrain(vm->second, aCommand.unavailable_),
                     CheckPermitId(aFleet, aCommand.permit_),
                     CheckWidth(aFleet, wave->second))) {
    return refusal;
  }
  return CheckPoolBudget(aFleet, vm->second, aCommand.unavailable_);
}

std::string
FleetEditor::Apply(const GrantPermit& aCommand)
{
  auto& vm = Vm(aCommand.vm_);
  auto text = Concat("pool ",
                     vm.pool_,
                     ": draining ",
                     aCommand.vm_,
                     " for wave ",
                     aCommand.wave_,
                     "; ",
                     BudgetText(fleet_, vm, aCommand.unavailable_));
  fleet_.permits_.emplace(aCommand.permit_,
                          Permit{ aCommand.permit_,
                                  aCommand.vm_,
                                  aCommand.wave_,
                                  fleet_.logicalMs_,
                                  vm.identity_.incarnation_,
                                  false });
  vm.permit_ = aCommand.permit_;
  SetPhase(vm, VmPhase::Draining);
  RecordDecisionForAll({ Concat("vm:", aCommand.vm_),
                         Concat("pool:", vm.pool_),
                         Concat("wave:", aCommand.wave_) },
                       text);
  return text;
}

Refusal
FleetEditor::Check(const Fleet& aFleet, const ConfirmStop& aCommand)
{
  const auto found = aFleet.Permits().find(aCommand.permit_);
  if (found == aFleet.Permits().end()) {
    return UnknownPermitError(aCommand.permit_);
  }
  const auto& permit = found->second;
  const auto& vm = aFleet.Vms().at(permit.vm_);
  if (vm.epoch_ != aCommand.epoch_) {
    return detail::StaleEpochError(vm, aCommand.epoch_);
  }
  if (vm.phase_ != VmPhase::Draining) {
    return Refuse(ErrorKind::InvalidState,
                  "VM ",
                  permit.vm_,
                  " is ",
                  WordOf(vm.phase_),
                  ", not draining");
  }
  return FirstRefusal(CheckRunning(aFleet.Waves().at(permit.wave_)),
                      CheckPoolBudget(aFleet, vm, aCommand.unavailable_));
}

std::string
FleetEditor::Apply(const ConfirmStop& aCommand)
{
  auto& permit = fleet_.permits_.at(aCommand.permit_);
  auto& vm = Vm(permit.vm_);
  auto text = Concat("pool ",
                     vm.pool_,
                     ": stopping ",
                     permit.vm_,
                     " for wave ",
                     permit.wave_,
                     "; ",
                     BudgetText(fleet_, vm, aCommand.unavailable_));
  permit.confirmed_ = true;
  SetPhase(vm, VmPhase::Stopping);
  RecordDecisionForAll({ Concat("vm:", permit.vm_),
                         Concat("pool:", vm.pool_),
                         Concat("wave:", permit.wave_) },
                       text);
  return text;
}

Refusal
FleetEditor::Check(const Fleet& aFleet, const RevokePermit& aCommand)
{
  const auto found = aFleet.Permits().find(aCommand.permit_);
  if (found == aFleet.Permits().end()) {
    return UnknownPermitError(aCommand.permit_);
  }
  if (found->second.confirmed_) {
    return Refuse(ErrorKind::InvalidState,
                  "the stop of VM ",
                  found->second.vm_,
                  " was confirmed; the permit ends when the VM is back");
  }
  return CheckText("reason", aCommand.reason_, detail::kMaxReasonBytes);
}

std::string
FleetEditor::Apply(const RevokePermit& aCommand)
{
  const auto permit = fleet_.permits_.at(aCommand.permit_);
  auto& vm = Vm(permit.vm_);
  ClosePermit(permit.id_, false);
  CancelDrain(vm);
  auto text = Concat("VM ",
                     permit.vm_,
                     " stays in work in pool ",
                     vm.pool_,
                     "; its permit for wave ",
                     permit.wave_,
                     " was given back",
                     aCommand.reason_.empty() ? "" : ": ",
                     aCommand.reason_);
  RecordDecisionForAll({ Concat("vm:", permit.vm_),
                         Concat("pool:", vm.pool_),
                         Concat("wave:", permit.wave_) },
                       text);
  return text;
}

void
FleetEditor::CancelDrain(VmRecord& aVm)
{
  // A Lost VM stays Lost until it reports again.
  SetPhase(aVm, aVm.phase_ == VmPhase::Lost ? VmPhase::Lost : VmPhase::Active);
}

void
FleetEditor::RevokeUnconfirmedPermits(const std::string& aWave)
{
  std::vector<Permit> returned;
  for (const auto& [id, permit] : fleet_.permits_) {
    if (permit.wave_ == aWave && !permit.confirmed_) {
      returned.push_back(permit);
    }
  }
  for (const auto& permit : returned) {
    auto& vm = Vm(permit.vm_);
    fleet_.permits_.erase(permit.id_);
    vm.permit_.clear();
    CancelDrain(vm);
    RecordDecision(Concat("vm:", permit.vm_),
                   Concat("VM ",
                          permit.vm_,
                          " stays in work, as wave ",
                          aWave,
                          " was cancelled"));
  }
}

void
FleetEditor::ClosePermit(const std::string& aPermit, bool aIsDone)
{
  const auto permit = fleet_.permits_.at(aPermit);
  fleet_.permits_.erase(permit.id_);
  auto& vm = Vm(permit.vm_);
  vm.permit_.clear();
  auto& wave = fleet_.waves_.at(permit.wave_);
  if (aIsDone) {
    vm.maintainedAtMs_ = fleet_.logicalMs_;
    std::erase(wave.pendingVms_, permit.vm_);
    wave.doneVms_.push_back(permit.vm_);
  }
  CompleteWaveIfDone(permit.wave_);
}

void
FleetEditor::CompleteWaveIfDone(const std::string& aWave)
{
  auto& wave = fleet_.waves_.at(aWave);
  if (!IsOpen(wave) || !wave.pendingVms_.empty() ||
      OpenPermits(fleet_, aWave) != 0) {
    return;
  }
  auto text = Concat("wave ",
                     aWave,
                     " is completed: ",
                     wave.doneVms_.size(),
                     " VMs were rebooted in ",
                     (fleet_.logicalMs_ - wave.startedAtMs_) / 1000,
                     " s");
  RecordDecision(Concat("wave:", aWave), text);
  EndWave(wave, WavePhase::Completed);
}

void
FleetEditor::EndWave(Wave& aWave, WavePhase aPhase)
{
  aWave.phase_ = aPhase;
  aWave.reason_.clear();
  aWave.endedAtMs_ = fleet_.logicalMs_;
  auto& ended = fleet_.endedWaves_;
  ended.push_back(aWave.id_);
  if (ended.size() <= kEndedWaveLimit) {
    return;
  }
  // A cancelled wave is kept while stops confirmed for it are in progress.
  const auto oldest =
    std::find_if(ended.begin(), ended.end(), [this](const auto& aId) {
      return OpenPermits(fleet_, aId) == 0;
    });
  if (oldest != ended.end()) {
    fleet_.decisions_.erase(Concat("wave:", *oldest));
    fleet_.waves_.erase(*oldest);
    ended.erase(oldest);
  }
}

void
FleetEditor::RemoveFromWaves(const std::string& aVm,
                             const std::string& aNewPool)
{
  std::vector<std::string> left;
  for (auto& [id, wave] : fleet_.waves_) {
    if (IsOpen(wave) && !detail::Contains(wave.pools_, aNewPool) &&
        std::erase(wave.pendingVms_, aVm) != 0) {
      left.push_back(id);
    }
  }
  for (const auto& id : left) {
    CompleteWaveIfDone(id);
  }
}

void
FleetEditor::AddToWaves(const VmRecord& aVm, const std::string& aOldPool)
{
  const auto& id = aVm.identity_.id_;
  for (auto& [name, wave] : fleet_.waves_) {
    const bool wasMaintained =
      aVm.maintainedAtMs_ != 0 && aVm.maintainedAtMs_ >= wave.startedAtMs_;
    if (IsOpen(wave) && !wasMaintained &&
        detail::Contains(wave.pools_, aVm.pool_) &&
        !detail::Contains(wave.pools_, aOldPool)) {
      wave.pendingVms_.push_back(id);
    }
  }
}

} // namespace acaciahill
