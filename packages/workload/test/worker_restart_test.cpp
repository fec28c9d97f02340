#include "workload/test/single_worker.h"

#include <catch2/catch.hpp>

using namespace acaciahill;
using namespace acaciahill::test;

// Guards against a leader that takes the refusal of a restarted worker for a
// sign of another leader, and sends no more orders: the worker has seen the
// fence of its new incarnation, and an order to the former one comes after it.
TEST_CASE("a restarted worker that refuses an old order deposes nobody")
{
  Scheduler scheduler({}, {}, 1, kStart);
  scheduler.UseConfig(OnePool(), kStart);
  scheduler.ReportWorker(1, ReportOf(1, 1), kStart);
  auto actions = TakeCommitted(scheduler);
  ConfirmWorker(scheduler, actions, 1);
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
