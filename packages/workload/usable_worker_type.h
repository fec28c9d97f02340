#pragma once

#include "workload/worker_view_type.h"
#include "workload/workload_type.h"

#include <cstdint>

namespace acaciahill {

/// A worker that can get tasks, while workers are chosen. What is looked at
/// for each of some hundred workers lies in one place.
struct UsableWorker
{
  /// Resources that are not reserved.
  TaskNeed left_;
  std::uint32_t number_ = 0;
  const WorkerEntry* entry_ = nullptr;
  const WorkerView* view_ = nullptr;
};

} // namespace acaciahill
