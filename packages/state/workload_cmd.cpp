#include "state/fleet_editor_base.h"

namespace acaciahill {

Refusal
FleetEditor::Check(const Fleet& /*aFleet*/, const ChangeWorkload& aCommand)
{
  const auto batch = DecodeBatch(aCommand.batch_);
  if (!IsOk(batch)) {
    return ErrorOf(batch);
  }
  return std::nullopt;
}

std::string
FleetEditor::Apply(const ChangeWorkload& aCommand)
{
  // Check has read the batch already.
  fleet_.workload_.Apply(ValueOf(DecodeBatch(aCommand.batch_)));
  return {};
}

} // namespace acaciahill
