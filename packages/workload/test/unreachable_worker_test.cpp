#include "workload/test/single_worker.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace acaciahill;
using namespace acaciahill::test;

// Load: a worker that was lost for good, or whose VM was moved, so that each
// renewal ends in the same way. Guards against workers that are never removed
// as no connection to them can be made: the leader looked at them and called
// them for the rest of its term (SHORT, issue 42).
TEST_CASE("a worker without runs is removed unless it answers")
{
  struct Row
  {
    const char* name_;
    OrderAnswer answer_;
    bool stays_;
  };
  const auto row = GENERATE(values<Row>(
    { { "no answer", { OrderOutcome::Unknown, std::nullopt }, false },
      { "no connection",
        { OrderOutcome::WorkerUnavailable, std::nullopt },
        false },
      { "not given by the agent",
        { OrderOutcome::NotGiven, std::nullopt },
        false },
      { "takes no orders for now",
        { OrderOutcome::WorkerUnavailable, 5000 },
        true },
      { "refuses the order", { OrderOutcome::Refused, 5000 }, true } }));
  INFO(row.name_);
  Scheduler scheduler({}, {}, 1, kStart);
  scheduler.UseConfig(OnePool(), kStart);
  scheduler.ReportWorker(1, ReportOf(1, 1), kStart);
  ConfirmWorker(scheduler, TakeCommitted(scheduler), 1);
  // A silent worker without runs is kept for 20 s.
  for (Millis time{ 0 }; time <= Millis(25000); time += Scheduler::kTick) {
    const auto now = kStart + time;
    scheduler.ConfirmAuthority(now);
    scheduler.Tick(now, 0);
    const auto actions = scheduler.TakeActions(now);
    if (const auto* renewal = Find<RenewLease>(actions)) {
      scheduler.HandleRenewal(*renewal, row.answer_, std::nullopt, now);
    }
  }
  CHECK((scheduler.State().FindWorkerById("w") != nullptr) == row.stays_);
}
