#pragma once

#include "state/fleet_base.h"
#include "state/json_func.h"
#include "state/text_func.h"

#include <algorithm>
#include <string>
#include <vector>

/// Checks shared by several commands.
namespace acaciahill::detail {

/// Maximum length of a reason given by the planner or an operator.
inline constexpr std::size_t kMaxReasonBytes = 500;

inline Error
UnknownVmError(const std::string& aVm)
{
  return Refuse(
    ErrorKind::UnknownVm, "there is no VM \"", Printable(aVm), "\"");
}

inline Error
UnknownPoolError(const std::string& aPool)
{
  return Refuse(ErrorKind::UnknownPool,
                "there is no pool \"",
                Printable(aPool),
                "\" in the table");
}

inline Error
StaleEpochError(const VmRecord& aVm, std::uint64_t aEpoch)
{
  return Refuse(ErrorKind::StaleEpoch,
                "VM ",
                aVm.identity_.id_,
                " is at epoch ",
                aVm.epoch_,
                ", not ",
                aEpoch);
}

/// True when a list contains an id.
inline bool
Contains(const std::vector<std::string>& aList, const std::string& aId)
{
  return std::find(aList.begin(), aList.end(), aId) != aList.end();
}

/// Checks that a drain of the VM may start: it is Active, without an open move
/// or permit, and not in aUnavailable.
inline Refusal
CheckCanDrain(const VmRecord& aVm, const std::vector<std::string>& aUnavailable)
{
  const auto& id = aVm.identity_.id_;
  if (!aVm.permit_.empty()) {
    return Refuse(ErrorKind::InvalidState,
                  "VM ",
                  id,
                  " has the open permit ",
                  aVm.permit_,
                  " already");
  }
  if (!aVm.moveTo_.empty()) {
    return Refuse(ErrorKind::InvalidState,
                  "VM ",
                  id,
                  " is on its way to pool ",
                  aVm.moveTo_,
                  " already");
  }
  if (aVm.phase_ != VmPhase::Active) {
    return Refuse(ErrorKind::InvalidState,
                  "VM ",
                  id,
                  " is ",
                  WordOf(aVm.phase_),
                  ", not active");
  }
  if (Contains(aUnavailable, id)) {
    return Refuse(ErrorKind::InvalidState,
                  "VM ",
                  id,
                  " is out of contact, so it cannot be drained");
  }
  return std::nullopt;
}

} // namespace acaciahill::detail
