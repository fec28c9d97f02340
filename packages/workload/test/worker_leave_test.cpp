#include "workload/test/single_worker.h"

#include <catch2/catch.hpp>

using namespace acaciahill;
using namespace acaciahill::test;

namespace {

/// A scheduler whose worker has left and is back as incarnation 2 with runs.
Scheduler
RestartedWorker(bool aDrainsAgain, bool aAnswersStarts = true)
{
  Scheduler scheduler({}, {}, 1, kStart);
  scheduler.UseConfig(OnePool(), kStart);
  auto report = ReportOf(1, 1);
  scheduler.ReportWorker(1, report, kStart);
  ConfirmWorker(scheduler, TakeCommitted(scheduler), 1);
  report.sequence_ = 2;
  report.worker_.draining_ = true;
  report.leavesInMs_ = 2000;
  scheduler.ReportWorker(2, report, kStart);
  scheduler.RemoveWorker(3, "w", std::nullopt, kStart);
  TakeCommitted(scheduler);
  REQUIRE(scheduler.State().Workers().empty());

  report = ReportOf(2, 1);
  scheduler.ReportWorker(4, report, kStart);
  ConfirmWorker(scheduler, TakeCommitted(scheduler), 2);
  scheduler.SubmitJob(5, TwoStepJob(1), kStart);
  const auto actions = TakeCommitted(scheduler);
  if (aAnswersStarts) {
    AnswerStarts(scheduler, actions);
  }
  if (aDrainsAgain) {
    report.sequence_ = 2;
    report.worker_.draining_ = true;
    report.leavesInMs_ = 2000;
    scheduler.ReportWorker(6, report, kStart);
    TakeCommitted(scheduler);
  }
  return scheduler;
}

std::size_t
CountAssigned(const Scheduler& aScheduler)
{
  return aScheduler.State().FindJob(1)->assigned_;
}

} // namespace

// Guards against runs that are started twice (review/3): a request to leave
// that was held up by a partition arrived when the worker was back under its id
// with runs, and closed them while they went on.
TEST_CASE("a delayed leave does not close runs of the next incarnation")
{
  struct Row
  {
    const char* name_;
    std::optional<std::uint64_t> processStartMs_;
    bool drainsAgain_;
    bool answersStarts_;
    std::size_t assigned_;
  };
  // A start that the worker has not answered may reach its next incarnation.
  const auto row = GENERATE(
    Row{ "no incarnation named", std::nullopt, false, true, 3 },
    Row{ "no incarnation named, draining", std::nullopt, true, true, 3 },
    Row{ "former incarnation named", 1, false, true, 3 },
    Row{ "this incarnation named", 2, false, true, 0 },
    Row{ "this incarnation named, starts unanswered", 2, false, false, 3 });
  INFO(row.name_);
  auto scheduler = RestartedWorker(row.drainsAgain_, row.answersStarts_);
  REQUIRE(CountAssigned(scheduler) == 3);
  scheduler.RemoveWorker(7, "w", row.processStartMs_, kStart);
  CHECK(CountAssigned(scheduler) == row.assigned_);
  const auto actions = TakeCommitted(scheduler);
  REQUIRE(Find<AnswerRequest>(actions) != nullptr);
  CHECK(Find<AnswerRequest>(actions)->outcome_ == RequestOutcome::Accepted);
}

// Guards against a worker that stays in the state after it has left with runs:
// they wait for the end of its lease, and then it is removed at once.
TEST_CASE("a worker that leaves with runs and stays silent is removed")
{
  auto scheduler = RestartedWorker(true);
  scheduler.RemoveWorker(7, "w", std::nullopt, kStart);
  const auto actions = TakeCommitted(scheduler);
  RenewLease renewal;
  renewal.target_.worker_ = scheduler.State().FindWorkerById("w")->number_;
  scheduler.HandleRenewal(renewal, {}, std::nullopt, kStart);
  const SchedulerSettings settings;
  const auto lease = settings.lease_ + settings.lease_ / 10;
  scheduler.Tick(kStart + settings.lease_ / 2, 0);
  CHECK(CountAssigned(scheduler) == 3);
  scheduler.Tick(kStart + lease, 0);
  CHECK(CountAssigned(scheduler) == 0);
  CHECK(scheduler.State().Workers().empty());
}

// Guards against runs that are started twice: a restarted worker that drains
// and has not answered yet has no runs itself, but it may still carry out an
// unanswered start order to its former incarnation. A leave that names no
// incarnation closed the runs of that one.
TEST_CASE("a leave does not close the runs of a superseded incarnation")
{
  const bool isTick = GENERATE(false, true);
  INFO("found by a tick " << isTick);
  Scheduler scheduler({}, {}, 1, kStart);
  scheduler.UseConfig(OnePool(), kStart);
  scheduler.ReportWorker(1, ReportOf(1, 1), kStart);
  ConfirmWorker(scheduler, TakeCommitted(scheduler), 1);
  scheduler.SubmitJob(2, TwoStepJob(1), kStart);
  TakeCommitted(scheduler);
  auto report = ReportOf(2, 1);
  report.worker_.draining_ = true;
  report.leavesInMs_ = 2000;
  scheduler.ReportWorker(3, report, kStart);
  TakeCommitted(scheduler);
  REQUIRE(CountAssigned(scheduler) == 3);
  scheduler.RemoveWorker(4, "w", std::nullopt, kStart);
  if (isTick) {
    scheduler.Tick(kStart + Scheduler::kTick, 0);
  }
  CHECK(CountAssigned(scheduler) == 3);
}
