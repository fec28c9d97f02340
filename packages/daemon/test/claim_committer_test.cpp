#include "daemon/claim_committer_base.h"

#include "kernel/os_clock_func.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <optional>
#include <thread>

using namespace acaciahill;
using namespace std::chrono_literals;

namespace {

/// A control group that commits at once, except for the first command: its
/// sender gets ProposalLost, and it is applied later or never.
class DelayingGroup
{
public:
  CommandResult Propose(const Command& aCommand, const std::string& aRequestId)
  {
    const CommandEnvelope envelope{ aRequestId, 0, aCommand };
    ++proposed_;
    if (proposed_ == 1) {
      delayed_ = envelope;
      CommandResult lost;
      lost.error_ = Error{ ErrorKind::ProposalLost, "" };
      return lost;
    }
    return fleet_.Apply(envelope, ++index_);
  }

  void ApplyDelayed() { fleet_.Apply(*delayed_, ++index_); }

  Fleet fleet_;
  int proposed_ = 0;

private:
  std::optional<CommandEnvelope> delayed_;
  std::uint64_t index_ = 0;
};

} // namespace

// Guards against a claim that stays in state running for 24 h although its
// request never ran. This happens when the begin is committed after the end, or
// when no end follows it.
TEST_CASE("a begin that arrives after its end leaves no claim")
{
  DelayingGroup group;
  ClaimCommitter claims(
    "n1",
    [&](const Command& aCommand, const std::string& aId, Millis) {
      return group.Propose(aCommand, aId);
    },
    [] { return false; });
  const auto begin = [&] {
    return claims.Begin("key", 1, MonotonicNow() + 10s);
  };
  const auto lost = begin();
  REQUIRE(std::holds_alternative<Error>(lost));
  CHECK(std::get<Error>(lost).kind_ == ErrorKind::ControlUnreachable);
  const bool isEarly = GENERATE(true, false);
  if (isEarly) {
    group.ApplyDelayed();
  }
  claims.Stop();
  claims.Run();
  if (!isEarly) {
    group.ApplyDelayed();
  }
  CHECK(group.fleet_.Claims().empty());
  // As the request did not run, a resend must be granted the claim.
  CHECK(std::holds_alternative<ClaimGranted>(begin()));
}
