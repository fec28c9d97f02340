#pragma once

#include "kernel/time_type.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace acaciahill {

/// Numbers of jobs of which no task has started, by queue. Counting looks at
/// all jobs, thousands of them, so that a count is answered for some time
/// before the jobs are looked at again.
class QueuedJobCounts
{
public:
  using Counts = std::map<std::string, std::uint64_t>;

  /// Time for which a count is answered; customers are promised 2 s.
  static constexpr Millis kMaxAge{ 200 };

  /// The number of queued jobs of the queue. Calls aCount when the last count
  /// is too old.
  std::uint64_t Of(const std::string& aQueue,
                   MonotonicTime aNow,
                   const std::function<Counts()>& aCount);

  /// Forgets the last count.
  void Reset() { countedAt_.reset(); }

private:
  Counts counts_;
  std::optional<MonotonicTime> countedAt_;
};

} // namespace acaciahill
