#include "state/test/fleet_driver.h"

#include <catch2/catch.hpp>

using namespace acaciahill;
using test::FleetDriver;

namespace {

constexpr auto kNone = std::optional<ErrorKind>();
constexpr std::uint64_t kFingerprint = 77;

const BeginClaim kBegin{ "rota/c/k", kFingerprint, "n1", "a1" };

EndClaim
MakeEnd(ClaimEnd aEnd, const std::string& aBody = "paid")
{
  return { "rota/c/k", "a1", aEnd, 201, "text/plain", aBody, true };
}

const Claim&
ClaimOf(const FleetDriver& aDriver)
{
  return aDriver.fleet_.Claims().at("rota/c/k");
}

} // namespace

// Guards against running a claimed request twice, and against refusing a caller
// whose earlier request never ran.
TEST_CASE("a second request with a key finds the claim")
{
  struct Row
  {
    const char* name_;
    std::optional<ClaimEnd> end_;
    std::uint64_t fingerprint_;
    std::optional<ErrorKind> kind_;
  };
  const auto row = GENERATE(
    Row{ "running", {}, kFingerprint, ErrorKind::ClaimRunning },
    Row{ "running, other", {}, 1, ErrorKind::ClaimMismatch },
    Row{
      "completed", ClaimEnd::Completed, kFingerprint, ErrorKind::InvalidState },
    Row{ "completed, other", ClaimEnd::Completed, 1, ErrorKind::ClaimMismatch },
    Row{ "unknown", ClaimEnd::Unknown, kFingerprint, ErrorKind::ClaimUnknown },
    Row{ "not run", ClaimEnd::NotRun, kFingerprint, {} },
    Row{ "not run, other", ClaimEnd::NotRun, 1, {} });
  INFO(row.name_);
  FleetDriver driver;
  const auto first = driver.Apply(kBegin);
  CHECK_FALSE(first.error_);
  CHECK_FALSE(first.claim_);
  if (row.end_) {
    CHECK(driver.KindOf(MakeEnd(*row.end_)) == kNone);
  }
  const auto claims = driver.fleet_.Claims();
  const auto second =
    driver.Apply(BeginClaim{ "rota/c/k", row.fingerprint_, "n2", "a2" });
  CHECK(second.claim_.has_value() == row.kind_.has_value());
  if (row.kind_) {
    REQUIRE(second.error_);
    CHECK(second.error_->kind_ == *row.kind_);
    CHECK(second.claim_ == claims.at("rota/c/k"));
    CHECK(driver.fleet_.Claims() == claims);
  } else {
    CHECK(ClaimOf(driver).owner_ == "a2");
  }
}

TEST_CASE("only the owner ends a claim, and once")
{
  FleetDriver driver;
  driver.Apply(kBegin);
  auto foreign = MakeEnd(ClaimEnd::NotRun);
  foreign.owner_ = "a2";
  CHECK(driver.KindOf(foreign) == ErrorKind::InvalidState);
  CHECK(driver.KindOf(MakeEnd(ClaimEnd::Completed)) == kNone);
  CHECK(driver.KindOf(MakeEnd(ClaimEnd::Completed)) == kNone);
  // A later end with another outcome does not allow a second run.
  CHECK(driver.KindOf(MakeEnd(ClaimEnd::NotRun)) == kNone);
  CHECK(driver.KindOf(MakeEnd(ClaimEnd::Unknown)) == kNone);
  CHECK(ClaimOf(driver).phase_ == ClaimPhase::Completed);
  CHECK(ClaimOf(driver).answerBody_ == "paid");
  CHECK(ClaimOf(driver).answerStatus_ == 201);
}

// Guards against a claim that stays Running because its answer is too large.
TEST_CASE("an answer over the limit ends the claim without being kept")
{
  const auto size =
    GENERATE(as<std::size_t>{}, kClaimAnswerLimit, kClaimAnswerLimit + 1);
  FleetDriver driver;
  driver.Apply(kBegin);
  const std::string body(size, '\xFF');
  CHECK(driver.KindOf(MakeEnd(ClaimEnd::Completed, body)) == kNone);
  CHECK(ClaimOf(driver).phase_ == ClaimPhase::Completed);
  CHECK(ClaimOf(driver).answerKept_ == (size <= kClaimAnswerLimit));
  CHECK(ClaimOf(driver).answerBody_ ==
        (size <= kClaimAnswerLimit ? body : std::string()));
  CHECK(ClaimOf(driver).answerStatus_ == 201);
}

TEST_CASE("a claim without a key is refused")
{
  FleetDriver driver;
  CHECK(driver.KindOf(BeginClaim{ "", 1, "n1", "a1" }) ==
        ErrorKind::BadRequest);
  CHECK(driver.KindOf(BeginClaim{ std::string(2000, 'k'), 1, "n1", "a1" }) ==
        ErrorKind::BadRequest);
}

TEST_CASE("claims expire by logical time in the order of their beginning")
{
  FleetDriver driver;
  driver.Apply(kBegin, 0);
  driver.Apply(BeginClaim{ "later", 1, "n1", "a2" }, 1000);
  driver.Apply(RemoveVm{ "none" }, kClaimRetentionMs - 1001);
  CHECK(driver.fleet_.Claims().size() == 2);
  driver.Apply(RemoveVm{ "none" }, 1);
  CHECK(driver.fleet_.Claims().size() == 1);
  CHECK(driver.fleet_.Claims().count("later") == 1);
  CHECK(driver.KindOf(kBegin, 0) == kNone);
  driver.Apply(RemoveVm{ "none" }, 1000);
  CHECK(driver.fleet_.Claims().count("later") == 0);
  CHECK(driver.fleet_.Claims().size() == 1);
  // EndClaim after the expiry is not an error and does not restore the claim.
  auto late = MakeEnd(ClaimEnd::Completed);
  late.key_ = "later";
  late.owner_ = "a2";
  CHECK(driver.KindOf(late) == kNone);
  CHECK(driver.fleet_.Claims().size() == 1);
}

// Guards against a released claim whose old expiry entry removes a new claim
// with the same key.
TEST_CASE("a claim begun again lives its whole time")
{
  FleetDriver driver;
  driver.Apply(kBegin, 0);
  driver.Apply(MakeEnd(ClaimEnd::NotRun), 0);
  driver.Apply(kBegin, 5000);
  driver.Apply(RemoveVm{ "none" }, kClaimRetentionMs - 1);
  CHECK(driver.fleet_.Claims().size() == 1);
  driver.Apply(RemoveVm{ "none" }, 1);
  CHECK(driver.fleet_.Claims().empty());
}

// Guards against unbounded growth of stored results, and against evicting
// recent ones.
TEST_CASE("the last results are kept for resends")
{
  FleetDriver driver;
  for (std::size_t i = 0; i < kResultLimit + 1; ++i) {
    driver.Apply(BeginClaim{ Concat("k", i), 1, "n1", "a1" });
  }
  const auto resend = [&driver](const std::string& aId, std::size_t aKey) {
    return driver.fleet_.Apply(
      { aId, 0, BeginClaim{ Concat("k", aKey), 1, "n1", "a1" } }, 99999);
  };
  CHECK_FALSE(resend("r2", 1).error_);
  // The oldest result was evicted; the command runs and finds its claim.
  const auto oldest = resend("r1", 0);
  REQUIRE(oldest.error_);
  CHECK(oldest.error_->kind_ == ErrorKind::ClaimRunning);
}

TEST_CASE("claims over the limit are refused")
{
  FleetDriver driver;
  for (std::size_t i = 0; i < kClaimLimit; ++i) {
    driver.Apply(BeginClaim{ Concat("k", i), 1, "n1", "a1" }, 0);
  }
  CHECK(driver.KindOf(kBegin) == ErrorKind::ClaimLimit);
  CHECK(driver.KindOf(kBegin, kClaimRetentionMs) == kNone);
}

TEST_CASE("nodes are registered, updated and removed")
{
  FleetDriver driver;
  NodeRecord node{ "n1", "z1", "127.0.0.1:1", "127.0.0.1:2", false };
  CHECK(driver.KindOf(RegisterNode{ node }) == kNone);
  CHECK(driver.KindOf(RegisterNode{ node }) == kNone);
  CHECK(driver.fleet_.DecisionsOn("node:n1").size() == 1);
  node.voter_ = true;
  CHECK(driver.KindOf(RegisterNode{ node }) == kNone);
  CHECK(driver.fleet_.Nodes().at("n1") == node);
  auto nameless = node;
  nameless.id_.clear();
  CHECK(driver.KindOf(RegisterNode{ nameless }) == ErrorKind::BadRequest);
  CHECK(driver.KindOf(RemoveNode{ "n9" }) == ErrorKind::UnknownNode);
  CHECK(driver.KindOf(RemoveNode{ "n1" }) == kNone);
  CHECK(driver.fleet_.Nodes().empty());
}

// Guards against claims that stay Running for 24 h after their node is removed.
TEST_CASE("the running claims of a removed node become unknown")
{
  FleetDriver driver;
  driver.Apply(RegisterNode{ { "n1", "z1", "a", "b", false } });
  driver.Apply(kBegin);
  driver.Apply(BeginClaim{ "done", 1, "n1", "a2" });
  driver.Apply(
    EndClaim{ "done", "a2", ClaimEnd::Completed, 200, "", "", true });
  driver.Apply(BeginClaim{ "other", 1, "n2", "a3" });
  driver.Apply(RemoveNode{ "n1" });
  CHECK(ClaimOf(driver).phase_ == ClaimPhase::Unknown);
  CHECK(driver.fleet_.Claims().at("done").phase_ == ClaimPhase::Completed);
  CHECK(driver.fleet_.Claims().at("other").phase_ == ClaimPhase::Running);
  CHECK(driver.KindOf(kBegin) == ErrorKind::ClaimUnknown);
  // The text must not contain the number of claims, as replicas without claims
  // produce the same text.
  CHECK(driver.fleet_.DecisionsOn("node:n1").back().text_ ==
        "node n1 was removed; its running claims are unknown now, so their "
        "requests never run again");
}

namespace {

Fleet
WithoutClaims(Fleet aFleet)
{
  aFleet.DropClaims();
  return aFleet;
}

} // namespace

// Guards against a resend that a full replica applies again and a replica
// without claims does not, because results of claims evicted its first result.
TEST_CASE("results of claims never push other results out")
{
  FleetDriver driver;
  Fleet partial = WithoutClaims({});
  const CommandEnvelope table{ "table",
                               1,
                               ApplyTable{ { test::MakeRow("p", 1) }, 0 } };
  const auto first = driver.fleet_.Apply(table, ++driver.index_);
  CHECK(partial.Apply(table, driver.index_) == first);
  for (std::size_t i = 0; i < kResultLimit + 1; ++i) {
    driver.Apply(BeginClaim{ Concat("k", i), 1, "n1", "a1" });
  }
  partial.SkipClaims(driver.index_, driver.fleet_.LogicalMs());
  CHECK(driver.fleet_.Apply(table, ++driver.index_) == first);
  CHECK(partial.Apply(table, driver.index_) == first);
  CHECK(WithoutClaims(driver.fleet_) == partial);
}

// Guards against a command that is applied only on a replica without claims,
// because a claim command used its request id before.
TEST_CASE("a request id of a claim command hides no other command")
{
  FleetDriver driver;
  Fleet partial = WithoutClaims({});
  driver.fleet_.Apply({ "r", 3, kBegin }, 1);
  partial.SkipClaims(1, driver.fleet_.LogicalMs());
  const CommandEnvelope table{ "r",
                               1,
                               ApplyTable{ { test::MakeRow("p", 1) }, 0 } };
  const auto result = driver.fleet_.Apply(table, 2);
  CHECK_FALSE(result.error_);
  CHECK(partial.Apply(table, 2) == result);
  CHECK(partial == WithoutClaims(driver.fleet_));
  // The claim command still finds its own result.
  CHECK(driver.fleet_.Apply({ "r", 0, kBegin }, 3).text_ == "claimed");
}

// Guards against a state without claims that is treated as a full one.
TEST_CASE("a snapshot tells whether claims are left out")
{
  FleetDriver driver;
  driver.Apply(RegisterNode{ { "n1", "z1", "a", "b", false } });
  driver.Apply(kBegin);
  driver.Apply(MakeEnd(ClaimEnd::Completed));
  const auto full = Fleet::DecodeSnapshot(driver.fleet_.EncodeSnapshot());
  REQUIRE(IsOk(full));
  CHECK(ValueOf(full).HoldsClaims());
  CHECK(ValueOf(full) == driver.fleet_);
  const auto bytes = driver.fleet_.EncodeSnapshotWithoutClaims();
  const auto partial = Fleet::DecodeSnapshot(bytes);
  REQUIRE(IsOk(partial));
  CHECK_FALSE(ValueOf(partial).HoldsClaims());
  CHECK(ValueOf(partial).Claims().empty());
  CHECK(ValueOf(partial) == WithoutClaims(driver.fleet_));
  CHECK(bytes.find("rota/c/k") == std::string::npos);
  CHECK(bytes.find("claimed") == std::string::npos);
  // For a state without claims both encodings are the same.
  CHECK(ValueOf(partial).EncodeSnapshot() == bytes);
}

// Guards against a replica without claims that decides on a claim.
TEST_CASE("a state without claims takes no claim command")
{
  FleetDriver driver;
  driver.fleet_.DropClaims();
  const auto result = driver.Apply(kBegin, 7);
  REQUIRE(result.error_);
  CHECK(result.error_->kind_ == ErrorKind::NotLeader);
  CHECK(driver.fleet_.Claims().empty());
  CHECK(driver.fleet_.AppliedIndex() == 1);
  CHECK(driver.fleet_.LogicalMs() == 7);
}
