#include "workload/test/scheduler_jobs.h"
#include "workload/vm_call_budget_base.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace acaciahill;
using namespace acaciahill::test;

namespace {

constexpr MonotonicTime kStart{ Millis(100000) };
constexpr Millis kStep{ 10 };
constexpr Millis kSecond{ 1000 };

using Times = std::vector<MonotonicTime>;

/// The largest number of calls within any second.
std::size_t
MostWithinSecond(Times aTimes)
{
  std::sort(aTimes.begin(), aTimes.end());
  std::size_t most = 0;
  auto first = aTimes.begin();
  for (auto last = aTimes.begin(); last != aTimes.end(); ++last) {
    while (*last - *first >= kSecond) {
      ++first;
    }
    most = std::max(most, static_cast<std::size_t>(last - first) + 1);
  }
  return most;
}

/// Takes as many calls for moves as the budget gives from aFrom to aTo.
void
TakeAllMoves(VmCallBudget& aBudget,
             MonotonicTime aFrom,
             MonotonicTime aTo,
             Times& aTimes)
{
  for (auto now = aFrom; now < aTo; now += kStep) {
    while (aBudget.TakeForMove(now)) {
      aTimes.push_back(now);
    }
  }
}

} // namespace

// Guards against calls that the platform refuses, and against a leader that
// adds its calls to those which the former one has just made.
TEST_CASE("calls stay below the platform's limit and use most of it")
{
  const auto limit = GENERATE(5.0, 64.0, 215.0, 310.0);
  INFO("limit " << limit);
  Times times;
  VmCallBudget former(limit, kStart);
  TakeAllMoves(former, kStart, kStart + Millis(10000), times);
  CHECK(static_cast<double>(times.size()) >= 0.7 * limit * 10);
  VmCallBudget later(limit, kStart + Millis(10000));
  TakeAllMoves(later, kStart + Millis(10000), kStart + Millis(20000), times);
  CHECK(static_cast<double>(MostWithinSecond(times)) <= limit);
}

// Guards against a wave that is late because a turn's moves spend every call.
TEST_CASE("upkeep gets a call at once while moves use up the rest")
{
  const auto limit = GENERATE(64.0, 215.0, 310.0);
  INFO("limit " << limit);
  VmCallBudget budget(limit, kStart);
  Times times;
  for (int second = 1; second <= 5; ++second) {
    const auto now = kStart + second * kSecond;
    TakeAllMoves(budget, now - kSecond, now, times);
    CHECK(budget.TakeForUpkeep(now));
  }
}

TEST_CASE("refused calls slow the budget down for some seconds")
{
  constexpr double kLimit = 100;
  VmCallBudget budget(kLimit, kStart);
  Times before;
  TakeAllMoves(budget, kStart, kStart + kSecond, before);
  const auto refusedAt = kStart + kSecond;
  budget.NoteRefusal(refusedAt);
  CHECK_FALSE(budget.TakeForUpkeep(refusedAt));
  Times after;
  TakeAllMoves(budget, refusedAt, refusedAt + kSecond, after);
  CHECK(after.size() < before.size() * 3 / 4);
  Times recovered;
  TakeAllMoves(
    budget, refusedAt + 4 * kSecond, refusedAt + 5 * kSecond, recovered);
  CHECK(recovered.size() >= before.size());
}

// Load: a turn of a large pool that needs some hundred VMs at once. Guards
// against a pace that was made for a small platform: the VMs arrived in steps
// of 32 each 1.5 s, and the turn was over before the pool had them; also
// against a default limit of the leader's own that does the same.
TEST_CASE("a turn gets its VMs at the rate that the platform accepts")
{
  const auto limit = GENERATE(64.0, 215.0, 310.0);
  INFO("limit " << limit);
  constexpr int kSpares = 450;
  SchedulerDriver driver(31, {});
  driver.settings_.vmCallsPerSecond_ = limit;
  driver.moveOutcome_ = VmOutcome::Begun;
  EnableVmMoves(driver);
  for (int i = 0; i < kSpares; ++i) {
    driver.spareVms_.push_back(
      { "s-" + std::to_string(i), "off", VmState::Up, "", "z" });
  }
  AddWorkers(driver, 3);
  driver.RunFor(Millis(3500));
  const auto turn = driver.Now();
  JobId job = 0;
  for (int part = 0; part < 10; ++part) {
    for (int i = 0; i < 200; ++i) {
      driver.Submit(TwoStepJob(++job));
    }
    driver.RunFor(Millis(200));
  }
  const auto& moves = driver.moveTimes_;
  const auto inTurn = std::count_if(
    moves.begin(), moves.end(), [turn](auto aTime) { return aTime >= turn; });
  CHECK(static_cast<double>(inTurn) >=
        std::min<double>(kSpares, 0.7 * limit * 2));
  CHECK(static_cast<double>(MostWithinSecond(moves)) <= limit);
}
