#include "workload/test/scheduler_jobs.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace acaciahill;
using namespace acaciahill::test;

namespace {

constexpr MonotonicTime kStart{ Millis(100000) };

WorkerReport
ReportOf(std::uint64_t aProcessStartMs, std::uint64_t aSequence)
{
  WorkerReport report;
  report.worker_.id_ = "w";
  report.worker_.pool_ = "p";
  report.worker_.address_ = "10.0.0.1:80";
  report.worker_.capacity_ = { 4000, 4000, 0 };
  report.worker_.processStartMs_ = aProcessStartMs;
  report.sequence_ = aSequence;
  report.clockMs_ = 5000;
  return report;
}

/// Commits all batches and returns the other actions.
std::vector<SchedulerAction>
TakeCommitted(Scheduler& aScheduler)
{
  std::vector<SchedulerAction> others;
  for (auto actions = aScheduler.TakeActions(kStart); !actions.empty();
       actions = aScheduler.TakeActions(kStart)) {
    for (auto& action : actions) {
      if (const auto* batch = std::get_if<AppendBatch>(&action)) {
        aScheduler.HandleCommit(batch->batch_, kStart);
      } else {
        others.push_back(std::move(action));
      }
    }
  }
  return others;
}

template<typename Action>
const Action*
Find(const std::vector<SchedulerAction>& aActions)
{
  const auto found =
    std::find_if(aActions.begin(), aActions.end(), [](const auto& aAction) {
      return std::holds_alternative<Action>(aAction);
    });
  return found == aActions.end() ? nullptr : std::get_if<Action>(&*found);
}

} // namespace

// Guards against a leader that takes the refusal of a restarted worker for a
// sign of another leader, and sends no more orders: the worker has seen the
// fence of its new incarnation, and an order to the former one comes after it.
TEST_CASE("a restarted worker that refuses an old order deposes nobody")
{
  Scheduler scheduler({}, {}, 1, kStart);
  scheduler.UseConfig(OnePool(), kStart);
  scheduler.ReportWorker(1, ReportOf(1, 1), kStart);
  auto actions = TakeCommitted(scheduler);
  const auto* renewal = Find<RenewLease>(actions);
  REQUIRE(renewal != nullptr);
  const OrderAnswer taken{ OrderOutcome::Taken, 5000 };
  scheduler.HandleRenewal(
    *renewal, taken, WorkerLists{ 5000, 1, {}, {}, 0 }, kStart);
  scheduler.SubmitJob(2, TwoStepJob(1), kStart);
  actions = TakeCommitted(scheduler);
  const auto* start = Find<StartRun>(actions);
  REQUIRE(start != nullptr);

  scheduler.ReportWorker(3, ReportOf(2, 2), kStart);
  TakeCommitted(scheduler);
  const OrderAnswer fenced{ OrderOutcome::Fenced, 5000 };
  scheduler.HandleStart(*start, fenced, kStart);
  CHECK_FALSE(scheduler.IsDeposed());

  // A higher fence that this leader never sent is that of another one.
  actions = TakeCommitted(scheduler);
  RenewLease own;
  own.target_.worker_ = scheduler.State().FindWorkerById("w")->number_;
  own.target_.fence_ = ~std::uint64_t{ 0 };
  scheduler.HandleRenewal(own, fenced, std::nullopt, kStart);
  CHECK(scheduler.IsDeposed());
}
