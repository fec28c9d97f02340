#include "state/budget_func.h"
#include "state/check_func.h"
#include "state/fleet_editor_base.h"

#include <limits>

namespace acaciahill {

namespace {

constexpr std::size_t kMaxAddressBytes = 128;
// Over three times the design target of 3,100 workers. Targets announce
// themselves; the limit keeps a faulty one that invents ids from filling
// memory.
constexpr std::size_t kMaxVms = 10'000;
constexpr std::int64_t kLargestCapacity = 1'000'000'000;

Refusal
CheckCapacity(std::string_view aField, std::int64_t aValue)
{
  if (aValue >= 0 && aValue <= kLargestCapacity) {
    return std::nullopt;
  }
  return Refuse(ErrorKind::OutOfRange,
                aField,
                " ",
                aValue,
                " must be from 0 to ",
                kLargestCapacity);
}

Refusal
CheckIdentity(const VmIdentity& aIdentity)
{
  return FirstRefusal(
    CheckId("id", aIdentity.id_),
    CheckId("zone", aIdentity.zone_),
    // VMs without a rack count as one rack of their zone.
    aIdentity.rack_.empty() ? Refusal() : CheckId("rack", aIdentity.rack_),
    aIdentity.address_.empty()
      ? Refusal(Refuse(ErrorKind::BadRequest, "address must not be empty"))
      : CheckText("address", aIdentity.address_, kMaxAddressBytes),
    CheckCapacity("cores", aIdentity.cores_),
    CheckCapacity("memory_mb", aIdentity.memoryMb_),
    CheckCapacity("slots", aIdentity.slots_),
    CheckCapacity("connections", aIdentity.connections_));
}

bool
IsSameLocation(const VmIdentity& aLeft, const VmIdentity& aRight)
{
  return aLeft.address_ == aRight.address_ && aLeft.zone_ == aRight.zone_ &&
         aLeft.rack_ == aRight.rack_;
}

Refusal
CheckReannouncement(const VmRecord& aVm, const VmIdentity& aIdentity)
{
  const auto& known = aVm.identity_;
  if (aIdentity.incarnation_ < known.incarnation_) {
    return Refuse(ErrorKind::StaleIncarnation,
                  "VM ",
                  known.id_,
                  " is known with incarnation ",
                  known.incarnation_,
                  "; this announcement has ",
                  aIdentity.incarnation_);
  }
  // Two machines with the same id would otherwise replace each other with ever
  // newer incarnations. A Lost or Stopping VM may return at another location.
  const bool mayChangeLocation =
    aIdentity.incarnation_ > known.incarnation_ &&
    (aVm.phase_ == VmPhase::Lost || aVm.phase_ == VmPhase::Stopping);
  if (mayChangeLocation || IsSameLocation(known, aIdentity)) {
    return std::nullopt;
  }
  return Refuse(ErrorKind::IdentityConflict,
                "VM id ",
                known.id_,
                " is in use at ",
                known.address_,
                " in zone ",
                known.zone_,
                ", rack ",
                known.rack_,
                " and is ",
                WordOf(aVm.phase_),
                " there; the one that announces from ",
                Printable(aIdentity.address_),
                " needs another id");
}

// The pool of a new VM: the spare pool, else the pool with the largest shortage
// of VMs, the first by name among equals.
std::string
PoolForNewVm(const Fleet& aFleet)
{
  std::map<std::string, std::int64_t> counts;
  for (const auto& [id, vm] : aFleet.Vms()) {
    ++counts[vm.pool_];
  }
  std::string best;
  auto largestShortage = std::numeric_limits<std::int64_t>::min();
  for (const auto& [name, row] : aFleet.Table().rows_) {
    if (row.spare_) {
      return name;
    }
    const auto shortage = row.size_ - counts[name];
    if (shortage > largestShortage) {
      best = name;
      largestShortage = shortage;
    }
  }
  return best;
}

// The phase of a reachable VM, derived from its permit or move.
VmPhase
ExpectedPhase(const Fleet& aFleet, const VmRecord& aVm)
{
  const auto permit = aFleet.Permits().find(aVm.permit_);
  if (permit != aFleet.Permits().end()) {
    return permit->second.confirmed_ ? VmPhase::Stopping : VmPhase::Draining;
  }
  return aVm.moveTo_.empty() ? VmPhase::Active : VmPhase::Draining;
}

// Checks that a VM is known, has this incarnation, and is Lost as aIsLost says.
Refusal
CheckLostState(const Fleet& aFleet,
               const std::string& aVm,
               std::uint64_t aIncarnation,
               bool aIsLost)
{
  const auto found = aFleet.Vms().find(aVm);
  if (found == aFleet.Vms().end()) {
    return detail::UnknownVmError(aVm);
  }
  const auto& vm = found->second;
  if (vm.identity_.incarnation_ != aIncarnation) {
    return Refuse(ErrorKind::StaleIncarnation,
                  "VM ",
                  aVm,
                  " has incarnation ",
                  vm.identity_.incarnation_,
                  ", not ",
                  aIncarnation);
  }
  if ((vm.phase_ == VmPhase::Lost) != aIsLost) {
    return Refuse(
      ErrorKind::InvalidState, "VM ", aVm, " is ", WordOf(vm.phase_));
  }
  return std::nullopt;
}

// Checks that a VM has an open move and is at this epoch.
Refusal
CheckMove(const Fleet& aFleet, const std::string& aVm, std::uint64_t aEpoch)
{
  const auto found = aFleet.Vms().find(aVm);
  if (found == aFleet.Vms().end()) {
    return detail::UnknownVmError(aVm);
  }
  const auto& vm = found->second;
  if (vm.epoch_ != aEpoch) {
    return detail::StaleEpochError(vm, aEpoch);
  }
  if (vm.moveTo_.empty()) {
    return Refuse(ErrorKind::InvalidState,
                  "VM ",
                  aVm,
                  " is not on its way to another pool");
  }
  return std::nullopt;
}

} // namespace

Refusal
FleetEditor::Check(const Fleet& aFleet, const AnnounceVm& aCommand)
{
  const auto& identity = aCommand.identity_;
  if (auto refusal = CheckIdentity(identity)) {
    return refusal;
  }
  const auto known = aFleet.Vms().find(identity.id_);
  if (known != aFleet.Vms().end()) {
    return CheckReannouncement(known->second, identity);
  }
  if (aFleet.Table().rows_.empty()) {
    return Refuse(ErrorKind::InvalidState,
                  "the table has no pool yet, so there is none for VM ",
                  identity.id_);
  }
  if (aFleet.Vms().size() >= kMaxVms) {
    return Refuse(ErrorKind::InvalidState,
                  aFleet.Vms().size(),
                  " VMs are known, which is the limit; remove lost ones");
  }
  return std::nullopt;
}

std::string
FleetEditor::Apply(const AnnounceVm& aCommand)
{
  const auto& identity = aCommand.identity_;
  const auto known = fleet_.vms_.find(identity.id_);
  if (known == fleet_.vms_.end()) {
    return AddVm(identity);
  }
  auto& vm = known->second;
  if (identity.incarnation_ == vm.identity_.incarnation_) {
    vm.identity_ = identity;
    return Concat("VM ", identity.id_, " is known in pool ", vm.pool_);
  }
  auto text = CompleteReboot(vm, identity);
  RecordDecisionForAll(
    { Concat("vm:", identity.id_), Concat("pool:", vm.pool_) }, text);
  return text;
}

std::string
FleetEditor::AddVm(const VmIdentity& aIdentity)
{
  VmRecord vm;
  vm.identity_ = aIdentity;
  vm.number_ = fleet_.nextVmNumber_++;
  vm.pool_ = PoolForNewVm(fleet_);
  vm.phaseSinceMs_ = fleet_.logicalMs_;
  const auto& row = fleet_.table_.rows_.at(vm.pool_);
  const auto present = std::count_if(
    fleet_.vms_.begin(), fleet_.vms_.end(), [&vm](const auto& aOther) {
      return aOther.second.pool_ == vm.pool_;
    });
  fleet_.vms_.emplace(aIdentity.id_, vm);
  auto text = Concat("new VM ",
                     aIdentity.id_,
                     " joined pool ",
                     vm.pool_,
                     row.spare_ ? ", the spare pool, which has "
                                : ", which lacked most and has ",
                     present + 1,
                     " of ",
                     row.size_,
                     " VMs now");
  RecordDecisionForAll(
    { Concat("vm:", aIdentity.id_), Concat("pool:", vm.pool_) }, text);
  return text;
}

std::string
FleetEditor::CompleteReboot(VmRecord& aVm, const VmIdentity& aIdentity)
{
  aVm.identity_ = aIdentity;
  ReleaseTasks(aIdentity.id_);
  const auto permit = fleet_.permits_.find(aVm.permit_);
  if (permit == fleet_.permits_.end()) {
    SetPhase(aVm, ExpectedPhase(fleet_, aVm));
    return Concat("VM ",
                  aIdentity.id_,
                  " restarted with incarnation ",
                  aIdentity.incarnation_,
                  aVm.moveTo_.empty() ? "" : "; it is still to move to pool ",
                  aVm.moveTo_);
  }
  const bool wasPlanned = permit->second.confirmed_;
  const auto wave = permit->second.wave_;
  ClosePermit(permit->first, wasPlanned);
  SetPhase(aVm, VmPhase::Active);
  return wasPlanned ? Concat("VM ",
                             aIdentity.id_,
                             " was rebooted for wave ",
                             wave,
                             " and is back")
                    : Concat("VM ",
                             aIdentity.id_,
                             " restarted on its own before its stop for wave ",
                             wave,
                             " was confirmed; it gets its turn again");
}

void
FleetEditor::SetPhase(VmRecord& aVm, VmPhase aPhase)
{
  aVm.phase_ = aPhase;
  aVm.phaseSinceMs_ = fleet_.logicalMs_;
  ++aVm.epoch_;
}

Refusal
FleetEditor::Check(const Fleet& aFleet, const BeginMove& aCommand)
{
  const auto found = aFleet.Vms().find(aCommand.vm_);
  if (found == aFleet.Vms().end()) {
    return detail::UnknownVmError(aCommand.vm_);
  }
  const auto& vm = found->second;
  if (aFleet.Table().rows_.count(aCommand.toPool_) == 0) {
    return detail::UnknownPoolError(aCommand.toPool_);
  }
  if (vm.pool_ == aCommand.toPool_) {
    return Refuse(ErrorKind::InvalidState,
                  "VM ",
                  aCommand.vm_,
                  " is in pool ",
                  vm.pool_,
                  " already");
  }
  if (auto refusal = FirstRefusal(
        CheckText("reason", aCommand.reason_, detail::kMaxReasonBytes),
        detail::CheckCanDrain(vm, aCommand.unavailable_))) {
    return refusal;
  }
  const auto verdict = CheckBudget(aFleet.Table().rows_.at(vm.pool_),
                                   aFleet.Vms(),
                                   aCommand.vm_,
                                   aCommand.unavailable_);
  return verdict.allowed_ ? Refusal()
                          : Refuse(ErrorKind::BudgetExceeded, verdict.text_);
}

std::string
FleetEditor::Apply(const BeginMove& aCommand)
{
  auto& vm = Vm(aCommand.vm_);
  const auto verdict = CheckBudget(fleet_.table_.rows_.at(vm.pool_),
                                   fleet_.vms_,
                                   aCommand.vm_,
                                   aCommand.unavailable_);
  vm.moveTo_ = aCommand.toPool_;
  SetPhase(vm, VmPhase::Draining);
  auto text = Concat("pool ",
                     vm.pool_,
                     ": draining ",
                     aCommand.vm_,
                     " to move it to pool ",
                     vm.moveTo_,
                     "; ",
                     verdict.text_,
                     aCommand.reason_.empty() ? "" : "; reason: ",
                     aCommand.reason_);
  RecordDecisionForAll({ Concat("vm:", aCommand.vm_),
                         Concat("pool:", vm.pool_),
                         Concat("pool:", vm.moveTo_) },
                       text);
  return text;
}

Refusal
FleetEditor::Check(const Fleet& aFleet, const CompleteMove& aCommand)
{
  if (auto refusal = CheckMove(aFleet, aCommand.vm_, aCommand.epoch_)) {
    return refusal;
  }
  const auto& vm = aFleet.Vms().at(aCommand.vm_);
  if (vm.phase_ == VmPhase::Draining) {
    return std::nullopt;
  }
  return Refuse(ErrorKind::InvalidState,
                "VM ",
                aCommand.vm_,
                " is ",
                WordOf(vm.phase_),
                ", not draining");
}

std::string
FleetEditor::Apply(const CompleteMove& aCommand)
{
  auto& vm = Vm(aCommand.vm_);
  const auto oldPool = vm.pool_;
  ReleaseTasks(aCommand.vm_);
  vm.pool_ = vm.moveTo_;
  vm.moveTo_.clear();
  SetPhase(vm, VmPhase::Active);
  ++fleet_.moveCount_;
  auto text = Concat("VM ",
                     aCommand.vm_,
                     " moved from pool ",
                     oldPool,
                     " to pool ",
                     vm.pool_,
                     " at epoch ",
                     vm.epoch_);
  RecordDecisionForAll({ Concat("vm:", aCommand.vm_),
                         Concat("pool:", oldPool),
                         Concat("pool:", vm.pool_) },
                       text);
  AddToWaves(vm, oldPool);
  RemoveFromWaves(aCommand.vm_, vm.pool_);
  return text;
}

Refusal
FleetEditor::Check(const Fleet& aFleet, const AbortMove& aCommand)
{
  return FirstRefusal(
    CheckMove(aFleet, aCommand.vm_, aCommand.epoch_),
    CheckText("reason", aCommand.reason_, detail::kMaxReasonBytes));
}

std::string
FleetEditor::Apply(const AbortMove& aCommand)
{
  auto& vm = Vm(aCommand.vm_);
  const auto toPool = vm.moveTo_;
  vm.moveTo_.clear();
  CancelDrain(vm);
  auto text = Concat("VM ",
                     aCommand.vm_,
                     " stays in pool ",
                     vm.pool_,
                     "; its move to pool ",
                     toPool,
                     " was given up",
                     aCommand.reason_.empty() ? "" : ": ",
                     aCommand.reason_);
  RecordDecisionForAll({ Concat("vm:", aCommand.vm_),
                         Concat("pool:", vm.pool_),
                         Concat("pool:", toPool) },
                       text);
  return text;
}

Refusal
FleetEditor::Check(const Fleet& aFleet, const MarkVmLost& aCommand)
{
  return CheckLostState(aFleet, aCommand.vm_, aCommand.incarnation_, false);
}

std::string
FleetEditor::Apply(const MarkVmLost& aCommand)
{
  auto& vm = Vm(aCommand.vm_);
  auto text = Concat("VM ",
                     aCommand.vm_,
                     " was silent for long and counts as lost; it was ",
                     WordOf(vm.phase_),
                     " in pool ",
                     vm.pool_);
  SetPhase(vm, VmPhase::Lost);
  RecordDecisionForAll(
    { Concat("vm:", aCommand.vm_), Concat("pool:", vm.pool_) }, text);
  return text;
}

Refusal
FleetEditor::Check(const Fleet& aFleet, const RecoverVm& aCommand)
{
  return CheckLostState(aFleet, aCommand.vm_, aCommand.incarnation_, true);
}

std::string
FleetEditor::Apply(const RecoverVm& aCommand)
{
  auto& vm = Vm(aCommand.vm_);
  // An open permit or move continues, so that a VM about to be stopped gets no
  // new work.
  SetPhase(vm, ExpectedPhase(fleet_, vm));
  auto text = Concat("VM ",
                     aCommand.vm_,
                     " of pool ",
                     vm.pool_,
                     " was heard again and is ",
                     WordOf(vm.phase_));
  RecordDecisionForAll(
    { Concat("vm:", aCommand.vm_), Concat("pool:", vm.pool_) }, text);
  return text;
}

Refusal
FleetEditor::Check(const Fleet& aFleet, const RemoveVm& aCommand)
{
  const auto found = aFleet.Vms().find(aCommand.vm_);
  if (found == aFleet.Vms().end()) {
    return detail::UnknownVmError(aCommand.vm_);
  }
  if (found->second.phase_ == VmPhase::Lost) {
    return std::nullopt;
  }
  return Refuse(ErrorKind::InvalidState,
                "VM ",
                aCommand.vm_,
                " is ",
                WordOf(found->second.phase_),
                "; only a lost VM can be removed");
}

std::string
FleetEditor::Apply(const RemoveVm& aCommand)
{
  const auto pool = Vm(aCommand.vm_).pool_;
  if (const auto permit = Vm(aCommand.vm_).permit_; !permit.empty()) {
    ClosePermit(permit, false);
  }
  ReleaseTasks(aCommand.vm_);
  fleet_.vms_.erase(aCommand.vm_);
  auto text = Concat("lost VM ", aCommand.vm_, " was removed from pool ", pool);
  RecordDecisionForAll({ Concat("vm:", aCommand.vm_), Concat("pool:", pool) },
                       text);
  RemoveFromWaves(aCommand.vm_, "");
  return text;
}

} // namespace acaciahill
