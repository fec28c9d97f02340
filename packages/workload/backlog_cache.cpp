#include "workload/backlog_cache_base.h"

namespace acaciahill {

const PoolBacklog&
BacklogCache::Get(const std::string& aPool,
                  bool aBeyondShare,
                  MonotonicTime aNow,
                  const std::function<PoolBacklog()>& aDetermine)
{
  const auto [found, isNew] =
    entries_.try_emplace({ aPool, aBeyondShare }, Entry{});
  auto& entry = found->second;
  if (isNew || aNow - entry.at_ > kMaxAge) {
    entry = { aDetermine(), aNow };
  }
  return entry.backlog_;
}

void
BacklogCache::AddWaiting(const std::string& aPool,
                         bool aBeyondShare,
                         std::int64_t aMilliCores)
{
  for (const auto isBehind : { false, true }) {
    const auto found = entries_.find({ aPool, isBehind });
    if (found != entries_.end() && (isBehind || !aBeyondShare)) {
      found->second.backlog_.waitingMilliCores_ += aMilliCores;
    }
  }
}

} // namespace acaciahill
