#pragma once

#include "kernel/time_type.h"
#include "planner/planner_type.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

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
  void RemoveExpired(MonotonicTime aNow)
  {
    std::erase_if(acquiredAt_, [&](const auto& aItem) {
      return aNow - aItem.second >= retryAfter_;
    });
  }

  /// True, and remembered, when this intent was not passed lately.
  bool TryAcquire(const std::string& aIntent, MonotonicTime aNow)
  {
    return acquiredAt_.try_emplace(aIntent, aNow).second;
  }

  /// True when the intent was passed lately.
  bool IsPending(const std::string& aIntent) const
  {
    return acquiredAt_.contains(aIntent);
  }

  /// Adds a command to the actions of a step and remembers its intent. False
  /// when the intent was passed lately or the state would refuse the command.
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

/// Forgets proposals by VM id that are visible in the fleet, since the VM's
/// epoch moved on, and those older than the retry time. The items have the
/// members epoch_ and sentAt_.
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
