#pragma once

#include "workload/idle_run_type.h"
#include "workload/worker_view_type.h"

#include <optional>
#include <string_view>

namespace acaciahill {

/// Why the run on the worker is not known to be running; nothing when it is.
/// Never NoWorker.
std::optional<IdleRunCause>
IdleRunCauseOf(const WorkerView& aView,
               const RunView& aRun,
               MonotonicTime aNow);

/// The name of the cause, for logs.
std::string_view
CauseText(IdleRunCause aCause);

/// The cause holds now.
void
NoteCause(IdleTask& aTask, IdleRunCause aCause, MonotonicTime aNow);

} // namespace acaciahill
