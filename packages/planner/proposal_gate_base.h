#pragma once

#include "kernel/time_type.h"

#include <map>
#include <string>

namespace acaciahill {

/// Remembers what was proposed lately, so that a command is not proposed again
/// while its outcome cannot be visible yet. Not thread-safe.
class ProposalGate
{
public:
  /// aRetryAfter must exceed the time that a command usually takes through the
  /// log and back into the view.
  explicit ProposalGate(Millis aRetryAfter)
    : retryAfter_(aRetryAfter)
  {
  }

  /// Forgets what is older than the retry time. To be called in each step.
  void Advance(MonotonicTime aNow)
  {
    std::erase_if(sent_, [&](const auto& aItem) {
      return aNow - aItem.second >= retryAfter_;
    });
  }

  /// True, and remembered, when this intent was not passed lately.
  bool Pass(const std::string& aIntent, MonotonicTime aNow)
  {
    return sent_.try_emplace(aIntent, aNow).second;
  }

  /// True when the intent was passed lately.
  bool IsPending(const std::string& aIntent) const
  {
    return sent_.contains(aIntent);
  }

private:
  Millis retryAfter_;
  std::map<std::string, MonotonicTime> sent_;
};

} // namespace acaciahill
