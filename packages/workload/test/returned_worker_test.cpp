#include "workload/test/returned_worker.h"

#include <catch2/catch.hpp>

using namespace acaciahill;
using namespace acaciahill::test;

namespace {

constexpr Millis kLease{ 4000 };
constexpr Millis kMaxLease{ 10000 };
constexpr Millis kMaxOrderDelay{ 12000 };
// Clocks of the worker: long before and just after its restart.
constexpr std::int64_t kOldClockMs = 5000;
constexpr std::int64_t kNewClockMs = 20;
constexpr std::int64_t kOtherClockMs = 900000;

SchedulerSettings
TestSettings()
{
  SchedulerSettings settings;
  settings.lease_ = kLease;
  settings.maxLease_ = kMaxLease;
  settings.maxOrderDelay_ = kMaxOrderDelay;
  return settings;
}

} // namespace

// Guards against a task that runs twice (TWICE, issue 57): the next incarnation
// of a worker has taken the start that was meant for the former one, and shows
// the run in its first answer.
TEST_CASE("a run that the next incarnation of its worker shows goes on")
{
  struct Row
  {
    const char* name_;
    OrderOutcome startOutcome_;
    bool changesLeader_;
  };
  const auto row = GENERATE(
    values<Row>({ { "the start was answered", OrderOutcome::Taken, false },
                  { "the start got no answer", OrderOutcome::Unknown, false },
                  { "under a new leader", OrderOutcome::Unknown, true } }));
  INFO(row.name_);
  ReturnedWorker test(TestSettings());
  test.AnswerStart(row.startOutcome_, kNewClockMs);
  test.LoseRenewalsOf("w");
  if (row.changesLeader_) {
    test.ChangeLeader();
  }
  test.Report("w", 2);
  test.RunFor(Scheduler::kTick);
  test.AnswerRenewalsOf("w", 2, { test.FirstRun() });
  test.RunFor(Millis(1000));
  CHECK(test.Starts() == 1);
  CHECK(test.Stops() == 0);

  test.AnswerRenewalsOf("w", 2, {}, { test.EndOfFirstRun(RunEnd::Done) });
  test.RunFor(Millis(1000));
  CHECK(test.Starts() == 1);
  CHECK(test.Phase() == JobPhase::Completed);
}

// Guards against the opposite: what the next incarnation denies in its first
// answer ended with the former one, and must not wait.
TEST_CASE("a run that the next incarnation denies starts again at once")
{
  const auto outcome = GENERATE(OrderOutcome::Taken, OrderOutcome::Unknown);
  ReturnedWorker test(TestSettings());
  test.AnswerStart(outcome, kNewClockMs);
  test.LoseRenewalsOf("w");
  test.Report("w", 2);
  test.RunFor(Scheduler::kTick);
  test.AnswerRenewalsOf("w", 2, {});
  CHECK(test.Starts() == 2);
}

// Guards against a task that runs twice (TWICE, issue 57): the next incarnation
// of a worker takes an order that was meant for the former one, whose deadline
// lies far ahead on its own clock, and keeps the run for the longest lease that
// it grants. Then it is cut off.
TEST_CASE("a run starts again only when no incarnation can be running it")
{
  struct Row
  {
    const char* name_;
    OrderOutcome startOutcome_;
    std::int64_t answerClockMs_;
    /// The former incarnation has listed the run, so that it ended with it.
    bool isListed_;
    bool changesLeader_;
    bool registers_;
    Millis earliest_;
    Millis latest_;
  };
  constexpr auto kTaken = OrderOutcome::Taken;
  constexpr auto kUnknown = OrderOutcome::Unknown;
  constexpr auto kUnbound = kMaxOrderDelay + kMaxLease;
  constexpr auto kLatest = kUnbound + Millis(2000);
  const auto row = GENERATE_COPY(values<Row>({
    { "listed", kTaken, kOldClockMs, true, false, false, kLease, kMaxLease },
    { "answered", kTaken, kOldClockMs, false, false, false, kLease, kMaxLease },
    { "answered by the next incarnation",
      kTaken,
      kNewClockMs,
      false,
      false,
      false,
      kUnbound,
      kLatest },
    { "answered by the next incarnation, another clock",
      kTaken,
      kOtherClockMs,
      false,
      false,
      false,
      kUnbound,
      kLatest },
    { "unanswered", kUnknown, 0, false, false, false, kUnbound, kLatest },
    { "next incarnation registers",
      kTaken,
      kNewClockMs,
      false,
      false,
      true,
      kUnbound,
      kLatest },
    { "new leader", kUnknown, 0, false, true, false, kUnbound, kLatest },
    { "new leader, next incarnation registers",
      kUnknown,
      0,
      false,
      true,
      true,
      kUnbound,
      kLatest },
  }));
  INFO(row.name_);
  ReturnedWorker test(TestSettings());
  test.AnswerStart(row.startOutcome_, row.answerClockMs_);
  if (row.isListed_) {
    test.RunFor(Scheduler::kTick);
    test.AnswerRenewalsOf("w", 1, { test.FirstRun() });
  }
  const auto silentSince = test.Now();
  test.LoseRenewalsOf("w");
  if (row.changesLeader_) {
    test.ChangeLeader();
  }
  if (row.registers_) {
    test.Report("w", 2);
  }
  while (test.Starts() == 1 && test.Now() - silentSince <= row.latest_) {
    test.LoseRenewalsOf("w");
    test.RunFor(Scheduler::kTick);
  }
  CHECK(test.Starts() == 2);
  CHECK(test.Now() - silentSince >= row.earliest_);
  CHECK(test.Now() - silentSince <= row.latest_);
}

// Guards against a task that runs twice (TWICE, issue 57): an order to the
// former incarnation has left a lease on the next one that is longer than the
// leader's own. It also holds what the leader starts there afterwards.
TEST_CASE("a worker that is back and falls silent may hold a long lease")
{
  const bool changesLeader = GENERATE(false, true);
  ReturnedWorker test(TestSettings());
  test.AnswerStart(OrderOutcome::Taken, kNewClockMs);
  test.LoseRenewalsOf("w");
  test.Report("w", 2);
  test.RunFor(Scheduler::kTick);
  const auto answeredAt = test.Now();
  test.AnswerRenewalsOf("w", 2, { test.FirstRun() });
  if (changesLeader) {
    test.ChangeLeader();
  }
  while (test.Starts() == 1 && test.Now() - answeredAt < 2 * kMaxLease) {
    test.LoseRenewalsOf("w");
    test.RunFor(Scheduler::kTick);
  }
  CHECK(test.Starts() == 2);
  CHECK(test.Now() - answeredAt >= kMaxLease);
}

// Guards against a run that is never closed, and against tasks that are
// assigned and rejected without end: an answer of the former incarnation that
// arrives after its end made the leader take that one for a worker that
// answers.
TEST_CASE("a late answer of an ended incarnation does not revive it")
{
  struct Row
  {
    const char* name_;
    /// It leaves; else the next incarnation registers.
    bool leaves_;
    bool showsRun_;
  };
  const auto row = GENERATE(values<Row>({
    { "next incarnation registers, run shown", false, true },
    { "next incarnation registers, run not shown", false, false },
    { "left, run shown", true, true },
    { "left, run not shown", true, false },
  }));
  INFO(row.name_);
  ReturnedWorker test(TestSettings());
  test.AnswerStart(OrderOutcome::Taken, kNewClockMs);
  const auto late = test.TakeRenewal("w");
  if (row.leaves_) {
    test.Leave("w", 1);
  } else {
    test.Report("w", 2);
  }
  test.RunFor(Scheduler::kTick);
  std::vector<RunningTask> shown;
  if (row.showsRun_) {
    shown.push_back(test.FirstRun());
  }
  test.AnswerLate(late, 1, shown);
  test.SubmitJob(2);
  test.RunFor(kMaxOrderDelay + kMaxLease + Millis(2000));
  CHECK(test.Starts() == 2);
  CHECK(test.Orders() <= 4);
}

// Guards against a task that runs twice: an order that is no longer on its way
// may have been carried out late, and its run may be at work when the leader
// changes.
TEST_CASE("a run that was started late outlives a change of leader")
{
  ReturnedWorker test(TestSettings());
  test.AnswerStart(OrderOutcome::Unknown, 0);
  test.LoseRenewalsOf("w");
  const auto silentSince = test.Now();
  while (test.Now() - silentSince < kMaxOrderDelay + Millis(200)) {
    test.LoseRenewalsOf("w");
    test.RunFor(Scheduler::kTick);
  }
  test.SubmitJob(2);
  test.ChangeLeader();
  while (test.Starts() == 1 &&
         test.Now() - silentSince < 3 * (kMaxOrderDelay + kMaxLease)) {
    test.LoseRenewalsOf("w");
    test.RunFor(Scheduler::kTick);
  }
  CHECK(test.Starts() == 2);
  CHECK(test.Now() - silentSince >= kMaxOrderDelay + kMaxLease);
}

// Guards against a worker that is shut out: the time of day was set back, so
// that its new process seems to have started before the former one.
TEST_CASE("a worker whose process seems to start earlier registers")
{
  ReturnedWorker test(TestSettings());
  test.AnswerStart(OrderOutcome::Taken, kNewClockMs);
  test.AnswerRenewalsOf("w", 0, { test.FirstRun() });
  test.Report("w", 0);
  test.RunFor(Scheduler::kTick);
  test.AnswerRenewalsOf("w", 0, { test.FirstRun() });
  test.RunFor(Millis(1000));
  CHECK(test.Starts() == 1);
  CHECK(test.Stops() == 0);
}
