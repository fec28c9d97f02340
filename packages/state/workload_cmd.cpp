#include "state/fleet_editor_base.h"

#include "kernel/error_func.h"
#include "kernel/log_func.h"

namespace acaciahill {

// A batch is read once only, in Apply: a node that restarts goes through
// thousands of them before it can serve.
Refusal
FleetEditor::Check(const Fleet& /*aFleet*/, const ChangeWorkload& /*aCommand*/)
{
  return std::nullopt;
}

std::string
FleetEditor::Apply(const ChangeWorkload& aCommand)
{
  const auto batch = DecodeBatch(aCommand.batch_);
  if (IsOk(batch)) {
    fleet_.workload_.Apply(ValueOf(batch));
  } else {
    LogError("a batch of the workload cannot be read and changes nothing",
             { { "error", Describe(ErrorOf(batch)) } });
  }
  return {};
}

} // namespace acaciahill
