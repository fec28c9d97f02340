#include "state/fleet_editor_base.h"

#include "kernel/error_func.h"
#include "kernel/log_func.h"

namespace acaciahill {

// A batch is decoded only once, in Apply, because a restarting node replays
// thousands of batches before it can serve.
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
    LogError("skipped a workload batch that cannot be decoded",
             { { "error", Describe(ErrorOf(batch)) } });
  }
  return {};
}

} // namespace acaciahill
