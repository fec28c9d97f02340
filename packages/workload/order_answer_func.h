#pragma once

#include "workload/scheduler_type.h"

namespace acaciahill {

/// Whether the answer came from the worker itself. An order that could not be
/// sent is certainly not carried out, but shows nothing of the worker; a worker
/// that takes no orders for now tells its clock.
inline bool
IsFromWorker(const OrderAnswer& aAnswer)
{
  return aAnswer.outcome_ != OrderOutcome::Unknown &&
         aAnswer.outcome_ != OrderOutcome::NotGiven &&
         (aAnswer.outcome_ != OrderOutcome::WorkerUnavailable ||
          aAnswer.clockMs_.has_value());
}

} // namespace acaciahill
