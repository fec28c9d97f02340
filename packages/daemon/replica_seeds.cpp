#include "daemon/replica_service_base.h"

#include "kernel/log_func.h"
#include "kernel/os_clock_func.h"

#include <algorithm>

// The part of the replica that forms and keeps a group whose members are found
// by a few addresses: who is admitted, and in whose place.

namespace acaciahill {

namespace {

// A voter that answered nothing for this time gives up its place to a control
// node that has none. It is three times the longest election, so that a change
// of leaders costs no voter its place.
constexpr Millis kSilentVoter{ 6000 };
// A node may ask for a place for this time after it was last heard.
constexpr Millis kCandidateMaxAge{ 3000 };

} // namespace

void
ReplicaService::GrowSeededGroup(
  const std::map<std::string, UnrecognizedDisk>& aHeard)
{
  const auto now = MonotonicNow();
  const auto& voters = core_->Voters().voters_;
  const auto isVoter = [&voters](const std::string& aNode) {
    return std::any_of(voters.begin(), voters.end(), [&](const auto& aVoter) {
      return aVoter.node_ == aNode;
    });
  };
  const auto candidate =
    std::find_if(aHeard.begin(), aHeard.end(), [&](const auto& aEntry) {
      return !isVoter(aEntry.first) &&
             now - aEntry.second.heardAt_ <= kCandidateMaxAge;
    });
  if (candidate == aHeard.end()) {
    return;
  }
  const auto wanted =
    2 * static_cast<std::size_t>(settings_.seeded_->toleratedLosses_) + 1;
  if (voters.size() < wanted) {
    LogInfo("admitting a control node as a voter",
            { { "node", candidate->first },
              { "disk", candidate->second.disk_ },
              { "voters", voters.size() },
              { "wanted", wanted } });
    Enqueue(
      ChangeVoters{ { candidate->first, candidate->second.disk_ }, true });
    return;
  }
  const auto silent = core_->SilentVoters(now, kSilentVoter);
  if (!silent.empty()) {
    LogWarning("removing a silent voter, as another node can take its place",
               { { "voter", silent.front().node_ },
                 { "candidate", candidate->first },
                 { "silent_ms", kSilentVoter.count() } });
    Enqueue(ChangeVoters{ silent.front(), false });
  }
}

} // namespace acaciahill
