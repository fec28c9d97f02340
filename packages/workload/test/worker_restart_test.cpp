#include "workload/test/single_worker.h"

#include <catch2/catch.hpp>

#include <algorithm>

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
  CHECK(scheduler.UnexplainedFences() == 0);
}

namespace {

/// The state in which a worker with runs has restarted and registered, and has
/// not answered yet: both incarnations are in the log.
Workload
StateWithTwoIncarnations()
{
  Scheduler scheduler({}, {}, 1, kStart);
  scheduler.UseConfig(OnePool(), kStart);
  scheduler.ReportWorker(1, ReportOf(1, 1), kStart);
  ConfirmWorker(scheduler, TakeCommitted(scheduler), 1);
  scheduler.SubmitJob(2, TwoStepJob(1), kStart);
  TakeCommitted(scheduler);
  scheduler.ReportWorker(3, ReportOf(2, 1), kStart);
  TakeCommitted(scheduler);
  REQUIRE(scheduler.State().Workers().size() == 2);
  return scheduler.State();
}

} // namespace

// Guards against a system that refuses all work for good (review/1): a worker
// restarts and the leader is killed before the new incarnation has answered.
// The next leader renewed the leases of both, and took the refusal of the order
// to the former one for the sign of a later leader.
TEST_CASE("a new leader knows which incarnation of a worker is the former one")
{
  Scheduler scheduler(StateWithTwoIncarnations(), {}, 2, kStart);
  scheduler.UseConfig(OnePool(), kStart);
  const auto former = scheduler.State().Workers().begin()->first;
  const auto actions = TakeCommitted(scheduler);
  const auto renewals =
    std::count_if(actions.begin(), actions.end(), [former](const auto& aOne) {
      const auto* renewal = std::get_if<RenewLease>(&aOne);
      CHECK((renewal == nullptr || renewal->target_.worker_ != former));
      return renewal != nullptr;
    });
  CHECK(renewals == 1);

  // An order to the former incarnation, such as a stop, may be on its way.
  StopRun stop;
  stop.target_.worker_ = former;
  scheduler.HandleStop(stop, { OrderOutcome::Fenced, 5000 }, kStart);
  CHECK(scheduler.UnexplainedFences() == 0);

  // The runs of the former incarnation are closed and started on the new one.
  ConfirmWorker(scheduler, actions, 2);
  CHECK(scheduler.State().Workers().size() == 1);
  const auto after = TakeCommitted(scheduler);
  CHECK(Find<StartRun>(after) != nullptr);
}

// Guards against tasks that run twice (review/6): a report of another writer,
// with a pool that is not configured, under the id of a worker with runs was
// taken for a new incarnation.
TEST_CASE("a report of an unknown pool does not replace a worker")
{
  const auto processStartMs = GENERATE(values<std::uint64_t>({ 1, 2 }));
  INFO("start of the process " << processStartMs);
  Scheduler scheduler({}, {}, 1, kStart);
  scheduler.UseConfig(OnePool(), kStart);
  scheduler.ReportWorker(1, ReportOf(1, 1), kStart);
  ConfirmWorker(scheduler, TakeCommitted(scheduler), 1);
  scheduler.SubmitJob(2, TwoStepJob(1), kStart);
  AnswerStarts(scheduler, TakeCommitted(scheduler));
  const auto workers = scheduler.State().Workers();
  auto foreign = ReportOf(processStartMs, 2);
  foreign.worker_.pool_ = "unknown";
  scheduler.ReportWorker(3, foreign, kStart);
  const auto actions = TakeCommitted(scheduler);
  REQUIRE(Find<AnswerRequest>(actions) != nullptr);
  CHECK(Find<AnswerRequest>(actions)->outcome_ == RequestOutcome::Accepted);
  CHECK(scheduler.State().Workers() == workers);
  CHECK(scheduler.State().FindJob(1)->assigned_ == 3);
}
