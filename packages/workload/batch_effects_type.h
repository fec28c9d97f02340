#pragma once

#include "workload/scheduler_type.h"

#include <cstdint>
#include <map>
#include <vector>

namespace acaciahill {

/// An assignment whose start order waits for the commit.
struct PendingStart
{
  TaskKey task_;
  std::uint32_t run_ = 0;
  std::uint32_t worker_ = 0;
};

/// Effects that wait for the commit of a batch.
struct BatchEffects
{
  std::vector<AnswerRequest> answers_;
  std::vector<PendingStart> starts_;
  /// Highest processed end number by worker.
  std::map<std::uint32_t, std::uint64_t> ends_;
};

} // namespace acaciahill
