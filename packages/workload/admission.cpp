#include "workload/admission_func.h"

#include <algorithm>

namespace acaciahill {

namespace {

// Senders give up after a few attempts, so a later one would not come.
constexpr Millis kMaxRetryDelay{ 4000 };
constexpr Millis kBeyondShareDelay{ 1000 };

} // namespace

Millis
ExpectedWait(const PoolBacklog& aBacklog, const NewJob& aJob)
{
  const auto excess = aBacklog.heldMilliCores_ + aBacklog.waitingMilliCores_ +
                      aJob.milliCores_ - aBacklog.milliCores_;
  if (excess <= 0 || aBacklog.milliCores_ <= 0) {
    return Millis(0);
  }
  return Millis(excess * aBacklog.turnover_.count() / aBacklog.milliCores_);
}

bool
ShouldAccept(const PoolBacklog& aBacklog, const NewJob& aJob)
{
  return ExpectedWait(aBacklog, aJob) <= aJob.slack_;
}

Millis
RetryDelay(const PoolBacklog& aBacklog, const NewJob& aJob, bool aBeyondShare)
{
  const auto wait = ExpectedWait(aBacklog, aJob) - aJob.slack_;
  return std::clamp(wait + (aBeyondShare ? kBeyondShareDelay : Millis(0)),
                    Millis(0),
                    kMaxRetryDelay);
}

} // namespace acaciahill
