#include "daemon/queued_job_counts_base.h"

namespace acaciahill {

std::uint64_t
QueuedJobCounts::Of(const std::string& aQueue,
                    MonotonicTime aNow,
                    const std::function<Counts()>& aCount)
{
  if (!countedAt_ || aNow - *countedAt_ >= kMaxAge) {
    counts_ = aCount();
    countedAt_ = aNow;
  }
  const auto found = counts_.find(aQueue);
  return found == counts_.end() ? 0 : found->second;
}

} // namespace acaciahill
