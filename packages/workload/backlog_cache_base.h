#pragma once

#include "workload/admission_func.h"

#include <functional>
#include <map>
#include <string>
#include <utility>

namespace acaciahill {

/// Keeps the backlogs of pools for a short time: they are needed for each job
/// that is submitted, and refused ones come back.
class BacklogCache
{
public:
  /// The backlog of a pool before a job with or without a share left;
  /// determined anew when it is older than kMaxAge.
  const PoolBacklog& Get(const std::string& aPool,
                         bool aBeyondShare,
                         MonotonicTime aNow,
                         const std::function<PoolBacklog()>& aDetermine);

  /// Adds a job that was accepted since. Jobs within their share go before
  /// those beyond.
  void AddWaiting(const std::string& aPool,
                  bool aBeyondShare,
                  std::int64_t aMilliCores);

  /// Small beside the slack of any job.
  static constexpr Millis kMaxAge{ 20 };

private:
  struct Entry
  {
    PoolBacklog backlog_;
    MonotonicTime at_{};
  };

  std::map<std::pair<std::string, bool>, Entry> entries_;
};

} // namespace acaciahill
