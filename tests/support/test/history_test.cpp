#include "support/history.h"
#include "support/process_harness.h"

#include <catch2/catch.hpp>

#include <chrono>

using namespace acaciahill;
using namespace acaciahill::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kSecond = 1000UL * 1000 * 1000;

Operation
MakeOperation(const std::string& aNonce, const std::string& aOutcome)
{
  Operation operation;
  operation.caller_ = "c1";
  operation.entry_ = "n1";
  operation.pool_ = "rota";
  operation.method_ = "POST";
  operation.nonce_ = aNonce;
  operation.checksum_ = "sum-" + aNonce;
  operation.beginNs_ = kSecond;
  operation.endNs_ = 2 * kSecond;
  operation.outcome_ = aOutcome;
  if (aOutcome == "answered") {
    operation.answerNonce_ = aNonce;
    operation.answerChecksum_ = operation.checksum_;
  }
  return operation;
}

Operation
MakeKeyed(const std::string& aNonce,
          const std::string& aOutcome,
          const std::string& aKey)
{
  auto operation = MakeOperation(aNonce, aOutcome);
  operation.key_ = aKey;
  return operation;
}

ExecutedRun
MakeRun(const std::string& aNonce,
        std::uint64_t aBegin = kSecond,
        const std::string& aVm = "vm-1")
{
  ExecutedRun run;
  run.vm_ = aVm;
  run.incarnation_ = 1;
  run.nonce_ = aNonce;
  run.path_ = "/pools/rota/x";
  run.pool_ = "rota";
  run.epoch_ = 1;
  run.beginNs_ = aBegin;
  run.endNs_ = aBegin + kSecond / 10;
  return run;
}

} // namespace

// Guards against a checker that accepts another request's or a changed answer.
TEST_CASE("answers of other requests and changed answers are found")
{
  auto foreign = MakeOperation("a", "answered");
  foreign.answerNonce_ = "b";
  auto changed = MakeOperation("a", "answered");
  changed.answerChecksum_ = "other";
  auto otherKey = MakeKeyed("a", "answered", "k1");
  otherKey.answerNonce_ = "b";

  CHECK(CheckOwnAnswers({ MakeOperation("a", "answered") }).empty());
  CHECK(CheckOwnAnswers({ foreign, MakeOperation("b", "answered") }).size() ==
        1);
  CHECK(CheckOwnAnswers({ changed }).size() == 1);
  CHECK(CheckOwnAnswers({ otherKey, MakeKeyed("b", "unknown", "k2") }).size() ==
        1);
}

TEST_CASE("a replayed answer belongs to the first sending of its key")
{
  auto replayed = MakeKeyed("b", "answered", "k1");
  replayed.checksum_ = "sum-a";
  replayed.answerNonce_ = "a";
  replayed.answerChecksum_ = "sum-a";
  const auto first = MakeKeyed("a", "unknown", "k1");
  CHECK(CheckOwnAnswers({ first, replayed }).empty());
  auto otherCaller = first;
  otherCaller.caller_ = "c2";
  CHECK(CheckOwnAnswers({ otherCaller, replayed }).size() == 1);
}

TEST_CASE("a run of a refused request is found, also when it begins later")
{
  const auto outcome = GENERATE(std::string("not-run"), std::string("refused"));
  const auto operation = MakeOperation("a", outcome);
  CHECK(CheckNotRun({ operation }, { MakeRun("b") }).empty());
  CHECK(CheckNotRun({ operation }, { MakeRun("a", 9 * kSecond) }).size() == 1);
}

TEST_CASE("an answer without a run is found")
{
  const auto operation = MakeOperation("a", "answered");
  CHECK(CheckNotRun({ operation }, { MakeRun("a") }).empty());
  CHECK(CheckNotRun({ operation }, {}).size() == 1);
}

TEST_CASE("second runs of what may run once are found")
{
  const std::vector<ExecutedRun> twice{ MakeRun("a"),
                                        MakeRun("a", 3 * kSecond, "vm-2") };
  const auto once = MakeOperation("a", "unknown");
  auto repeatable = once;
  repeatable.repeatable_ = true;
  CHECK(CheckAtMostOnce({ once }, { MakeRun("a") }).empty());
  CHECK(CheckAtMostOnce({ once }, twice).size() == 1);
  CHECK(CheckAtMostOnce({ repeatable }, twice).empty());

  // Two sendings of one key that ran once each.
  CHECK(CheckAtMostOnce(
          { MakeKeyed("a", "unknown", "k1"), MakeKeyed("b", "answered", "k1") },
          { MakeRun("a"), MakeRun("b") })
          .size() == 1);
  CHECK(CheckAtMostOnce({ MakeKeyed("a", "answered", "k1"),
                          MakeKeyed("b", "answered", "k2") },
                        { MakeRun("a"), MakeRun("b") })
          .empty());
}

TEST_CASE("new work on a leaving target is found")
{
  const DrainPeriod drain{ "vm-1", 10 * kSecond, 30 * kSecond };
  const auto check = [&](std::uint64_t aBegin, const std::string& aVm) {
    return CheckNoNewWork({ MakeRun("a", aBegin, aVm) }, { drain }, 5s).size();
  };
  CHECK(check(14 * kSecond, "vm-1") == 0);
  CHECK(check(16 * kSecond, "vm-1") == 1);
  CHECK(check(16 * kSecond, "vm-2") == 0);
  CHECK(check(31 * kSecond, "vm-1") == 0);
}

TEST_CASE("a VM in two pools is found")
{
  const AssignmentSeen first{ "n1", kSecond, "vm-1", 4, "rota" };
  CHECK(
    CheckOnePool({ first, { "n2", kSecond, "vm-1", 4, "rota" } }, {}).empty());
  CHECK(
    CheckOnePool({ first, { "n2", kSecond, "vm-1", 5, "gifts" } }, {}).empty());
  CHECK(
    CheckOnePool({ first, { "n2", kSecond, "vm-1", 4, "gifts" } }, {}).size() ==
    1);
  CHECK(CheckOnePool({ first, { "n1", 2 * kSecond, "vm-1", 3, "rota" } }, {})
          .size() == 1);
}

TEST_CASE("a run for a pool that the VM is not in is found")
{
  auto run = MakeRun("a");
  CHECK(CheckOnePool(AssignmentsOf({ run }), { run }).empty());
  run.pool_ = "gifts";
  CHECK(CheckOnePool(AssignmentsOf({ run }), { run }).size() == 1);
}

// Entry nodes take the pool out of the path, so that only the caller knows it.
TEST_CASE("a run for a pool that only the operation names is found")
{
  auto run = MakeRun("a");
  run.path_ = "/load";
  run.pool_ = "gifts";
  Operation operation;
  operation.nonce_ = run.nonce_;
  operation.pool_ = "rota";
  CHECK(CheckOnePool({}, { run }).empty());
  CHECK(CheckOnePool({}, { run }, { operation }).size() == 1);
  run.pool_ = "rota";
  CHECK(CheckOnePool({}, { run }, { operation }).empty());
  run.pool_.clear();
  CHECK(CheckOnePool({}, { run }, { operation }).empty());
}

TEST_CASE("table versions that go back, differ or come late are found")
{
  struct Row
  {
    const char* name_;
    std::vector<TableSeen> seen_;
    std::vector<TableAccepted> accepted_;
    std::size_t violations_;
  };
  const auto row = GENERATE(
    Row{ "forward", { { "n1", 1, 4, "x" }, { "n1", 2, 5, "y" } }, {}, 0 },
    Row{ "back", { { "n1", 1, 5, "" }, { "n1", 2, 4, "" } }, {}, 1 },
    Row{ "another observer is behind",
         { { "n1", 1, 5, "" }, { "n2", 2, 4, "" } },
         {},
         0 },
    Row{ "two contents", { { "n1", 1, 5, "x" }, { "n2", 2, 5, "y" } }, {}, 1 },
    Row{ "in time", { { "n1", 3 * kSecond, 4, "" } }, { { 5, 0 } }, 0 },
    Row{ "late", { { "n1", 5 * kSecond, 4, "" } }, { { 5, 0 } }, 1 });
  INFO(row.name_);
  CHECK(CheckTableVersions(row.seen_, row.accepted_, 4s).size() ==
        row.violations_);
}

TEST_CASE("a planned stop over the budget is found")
{
  const std::vector<PoolBudget> budgets{ { "rota", 4, 2, 2 } };
  const auto period = [](const std::string& aVm,
                         std::uint64_t aFrom,
                         std::uint64_t aUntil,
                         bool aPlanned) {
    return UnavailablePeriod{ aVm, "rota", aFrom, aUntil, aPlanned };
  };
  CHECK(
    CheckBudgets({ period("a", 1, 9, true), period("b", 2, 9, true) }, budgets)
      .empty());
  CHECK(CheckBudgets({ period("a", 1, 9, true),
                       period("b", 2, 9, true),
                       period("c", 3, 9, true) },
                     budgets)
          .size() == 1);
  CHECK(CheckBudgets({ period("a", 1, 9, false),
                       period("b", 2, 9, false),
                       period("c", 3, 9, true) },
                     budgets)
          .size() == 1);
  // Failures alone, and a stop after the others are back.
  CHECK(CheckBudgets({ period("a", 1, 9, false),
                       period("b", 2, 9, false),
                       period("c", 3, 9, false) },
                     budgets)
          .empty());
  CHECK(CheckBudgets({ period("a", 1, 3, true),
                       period("b", 2, 9, true),
                       period("c", 3, 9, true) },
                     budgets)
          .empty());
  CHECK(CheckBudgets({ period("a", 1, 9, true), period("b", 2, 9, true) },
                     { { "rota", 4, 3, 2 } })
          .size() == 1);
}

TEST_CASE("a stop that interrupts requests is found")
{
  const PlannedStop clean{ "vm-1", "p1", 5 * kSecond, 0 };
  auto dirty = clean;
  dirty.inFlight_ = 1;
  auto killed = MakeRun("a", 4 * kSecond);
  killed.endNs_.reset();
  CHECK(CheckGracefulStops({ clean }, { MakeRun("a", 4 * kSecond) }).empty());
  CHECK(CheckGracefulStops({ dirty }, {}).size() == 1);
  CHECK(CheckGracefulStops({ clean }, { killed }).size() == 1);
  CHECK(CheckGracefulStops({ clean }, { MakeRun("a", 4950UL * 1000 * 1000) })
          .size() == 1);
}

// Guards against losing a run that a SIGKILL ended from the record.
TEST_CASE("journals and histories are read back")
{
  TemporaryFolder folder;
  {
    Journal journal(folder.Path() + "/journal");
    const nlohmann::json begin{ { "event", "begin" },
                                { "run", 1 },
                                { "id", "vm-1" },
                                { "nonce", "a" },
                                { "begin_ns", 5 } };
    journal.Write(begin);
    auto end = begin;
    end["event"] = "end";
    end["end_ns"] = 7;
    journal.Write(end);
    auto killed = begin;
    killed["run"] = 2;
    killed["nonce"] = "b";
    journal.Write(killed);
  }
  const auto runs = ReadRuns(folder.Path() + "/journal");
  REQUIRE(runs.size() == 2);
  CHECK(runs[0].endNs_ == 7);
  CHECK_FALSE(runs[1].endNs_);

  const auto operation = MakeKeyed("a", "answered", "k1");
  HistoryRecorder(folder.Path() + "/history").Add(operation);
  CHECK(ReadHistory(folder.Path() + "/history") ==
        std::vector<Operation>{ operation });
}
