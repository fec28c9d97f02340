#pragma once

#include "kernel/time_type.h"
#include "planner/planner_type.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace acaciahill {

/// Suppresses repetitions of an action within a retry time, so that a command
/// is not proposed again while its outcome cannot be visible yet. Intents are
/// keys that the caller chooses. Not thread-safe.
class ProposalGate
{
public:
  /// aRetryAfter must exceed the usual time until a proposed command has been
  /// applied and shows in the view.
  explicit ProposalGate(Millis aRetryAfter)
    : retryAfter_(aRetryAfter)
  {
  }

  /// Removes intents older than the retry time. Must be called in each step.
  void RemoveExpired(MonotonicTime aNow)
  {
    std::erase_if(acquiredAt_, [&](const auto& aItem) {
      return aNow - aItem.second >= retryAfter_;
    });
  }

  /// Records the intent; false if it is already pending.
  bool TryAcquire(const std::string& aIntent, MonotonicTime aNow)
  {
    return acquiredAt_.try_emplace(aIntent, aNow).second;
  }

  /// True if the intent was recorded within the retry time.
  bool IsPending(const std::string& aIntent) const
  {
    return acquiredAt_.contains(aIntent);
  }

  /// Adds a command to the actions of a step and records its intent. False if
  /// the intent is pending or the state would refuse the command.
  bool Propose(const std::string& aIntent,
               Command aCommand,
               const Fleet& aFleet,
               MonotonicTime aNow,
               std::vector<PlannerAction>& aActions)
  {
    if (IsPending(aIntent) || aFleet.Check(aCommand)) {
      return false;
    }
    TryAcquire(aIntent, aNow);
    aActions.emplace_back(ProposeCommand{ std::move(aCommand) });
    return true;
  }

private:
  Millis retryAfter_;
  std::map<std::string, MonotonicTime> acquiredAt_;
};

/// Removes proposals, keyed by VM id, that are visible in the fleet because the
/// VM's epoch has changed, and those older than the retry time. The items have
/// the members epoch_ and proposedAt_.
template<typename Proposal>
void
ForgetVisibleProposals(std::map<std::string, Proposal>& aProposals,
                       const Fleet& aFleet,
                       MonotonicTime aNow,
                       Millis aRetryAfter)
{
  std::erase_if(aProposals, [&](const auto& aItem) {
    const auto vm = aFleet.Vms().find(aItem.first);
    return vm == aFleet.Vms().end() ||
           vm->second.epoch_ != aItem.second.epoch_ ||
           aNow - aItem.second.proposedAt_ >= aRetryAfter;
  });
}

} // namespace acaciahill
