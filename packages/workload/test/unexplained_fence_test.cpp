#include "workload/test/single_worker.h"

#include <catch2/catch.hpp>

#include <functional>
#include <set>

using namespace acaciahill;
using namespace acaciahill::test;

namespace {

constexpr OrderAnswer kFenced{ OrderOutcome::Fenced, 5000 };
const auto kLater = kStart + Millis(1);

/// A scheduler with the workers "w" and "v", each of which has confirmed its
/// lease once.
Scheduler
TwoWorkers()
{
  Scheduler scheduler({}, {}, 1, kStart);
  scheduler.UseConfig(OnePool(), kStart);
  auto report = ReportOf(1, 1);
  scheduler.ReportWorker(1, report, kStart);
  report.worker_.id_ = "v";
  report.worker_.vm_ = "vm-v";
  scheduler.ReportWorker(2, report, kStart);
  for (const auto& action : TakeCommitted(scheduler)) {
    if (const auto* renewal = std::get_if<RenewLease>(&action)) {
      scheduler.HandleRenewal(*renewal,
                              { OrderOutcome::Taken, 5000 },
                              WorkerLists{ 5000, 1, {}, {}, 0 },
                              kStart);
    }
  }
  TakeCommitted(scheduler);
  return scheduler;
}

/// An order to the worker "w" under a fence that explains no refusal.
template<typename Order>
Order
OrderToW(const Scheduler& aScheduler)
{
  Order order;
  order.target_.worker_ = aScheduler.State().FindWorkerById("w")->number_;
  order.target_.id_ = "w";
  order.target_.fence_ = ~std::uint64_t{ 0 };
  return order;
}

void
RefuseRenewal(Scheduler& aScheduler)
{
  aScheduler.HandleRenewal(
    OrderToW<RenewLease>(aScheduler), kFenced, std::nullopt, kStart);
}

std::set<std::string>
StartedOn(const std::vector<SchedulerAction>& aActions)
{
  std::set<std::string> workers;
  for (const auto& action : aActions) {
    if (const auto* start = std::get_if<StartRun>(&action)) {
      workers.insert(start->target_.id_);
    }
  }
  return workers;
}

} // namespace

// Guards against a leader that stops for good because of a number from outside
// (review/1): a refusal for a higher fence proves no later leader, but orders
// wait until a majority has confirmed that there is none.
TEST_CASE("a refused fence stops a leader only until a majority confirms it")
{
  struct Row
  {
    const char* name_;
    std::function<void(Scheduler&)> refuse_;
  };
  const auto row = GENERATE(
    Row{ "renewal", RefuseRenewal },
    Row{ "start",
         [](Scheduler& aScheduler) {
           aScheduler.HandleStart(
             OrderToW<StartRun>(aScheduler), kFenced, kStart);
         } },
    Row{ "stop",
         [](Scheduler& aScheduler) {
           aScheduler.HandleStop(
             OrderToW<StopRun>(aScheduler), kFenced, kStart);
         } },
    Row{ "pace",
         [](Scheduler& aScheduler) {
           aScheduler.HandlePace(
             OrderToW<PaceRun>(aScheduler), kFenced, kStart);
         } },
    Row{ "upkeep", [](Scheduler& aScheduler) {
          aScheduler.HandleVms(
            ListVms{ kStart },
            std::vector<VmListing>{ { "vm-v", "p", VmState::Up, "v", "z" } },
            kStart);
          aScheduler.HandleUpkeep(
            BeginUpkeep{ "vm-v", 1, 1, 0 }, VmOutcome::Fenced, kStart);
        } });
  INFO(row.name_);
  auto scheduler = TwoWorkers();
  row.refuse_(scheduler);
  CHECK(scheduler.UnexplainedFences() == 1);
  scheduler.SubmitJob(3, TwoStepJob(1), kStart);
  CHECK(scheduler.TakeActions(kStart).empty());
  // This majority may have answered before a later leader was elected.
  scheduler.ConfirmAuthority(kStart);
  CHECK(scheduler.TakeActions(kStart).empty());

  scheduler.ConfirmAuthority(kLater);
  const auto actions = TakeCommitted(scheduler);
  const auto* answer = Find<AnswerRequest>(actions);
  REQUIRE(answer != nullptr);
  CHECK(answer->outcome_ == RequestOutcome::Accepted);
  CHECK_FALSE(StartedOn(actions).empty());
}

// Guards against one worker with a wrong fence that takes the whole system
// down: it gets no tasks, and suspends the leader once, not at each refusal.
TEST_CASE("a worker that refuses all orders keeps no other from work")
{
  auto scheduler = TwoWorkers();
  RefuseRenewal(scheduler);
  scheduler.ConfirmAuthority(kLater);
  RefuseRenewal(scheduler);
  CHECK(scheduler.UnexplainedFences() == 1);
  scheduler.SubmitJob(3, TwoStepJob(1), kStart);
  CHECK(StartedOn(TakeCommitted(scheduler)) == std::set<std::string>{ "v" });

  // Once it accepts an order, it is used like any other.
  scheduler.HandleRenewal(OrderToW<RenewLease>(scheduler),
                          { OrderOutcome::Taken, 5000 },
                          WorkerLists{ 5000, 1, {}, {}, 0 },
                          kStart);
  scheduler.SubmitJob(4, TwoStepJob(2), kStart);
  scheduler.SubmitJob(5, TwoStepJob(3), kStart);
  CHECK(StartedOn(TakeCommitted(scheduler)).contains("w"));
}

// Guards against runs that stay assigned to a worker that accepts no orders.
TEST_CASE("runs on a worker that refuses all orders end with its lease")
{
  auto scheduler = TwoWorkers();
  scheduler.SubmitJob(3, TwoStepJob(1), kStart);
  scheduler.SubmitJob(4, TwoStepJob(2), kStart);
  const auto actions = TakeCommitted(scheduler);
  REQUIRE(StartedOn(actions).contains("w"));
  AnswerStarts(scheduler, actions);
  RefuseRenewal(scheduler);
  scheduler.ConfirmAuthority(kLater);
  const auto number = scheduler.State().FindWorkerById("w")->number_;
  CHECK_FALSE(scheduler.Views().at(number).runs_.empty());
  scheduler.Tick(kStart + SchedulerSettings{}.lease_ * 2, 0);
  CHECK(scheduler.Views().at(number).runs_.empty());
}

// Guards against a leader that stops for good, or that asks without end, when
// the platform refuses to move a VM for a fence from elsewhere.
TEST_CASE("a move that is refused for its fence is given up for a time")
{
  SchedulerDriver driver(41, {});
  driver.moveOutcome_ = VmOutcome::Fenced;
  EnableVmMoves(driver);
  driver.spareVms_ = { { "s-1", "off", VmState::Up, "", "z" } };
  AddWorkers(driver, 1);
  driver.RunFor(Millis(3500));
  for (JobId job = 1; job <= 40; ++job) {
    driver.Submit(TwoStepJob(job));
  }
  const auto before = driver.movedVms_.size();
  driver.RunFor(Millis(3000));
  CHECK(driver.Current().UnexplainedFences() > 0);
  // A refused move is not asked for again within 0.6 s.
  CHECK(driver.movedVms_.size() <= before + 6);
  driver.RunFor(Millis(60000));
  for (JobId job = 1; job <= 40; ++job) {
    CHECK(PhaseOf(driver, job) == JobPhase::Completed);
  }
}
