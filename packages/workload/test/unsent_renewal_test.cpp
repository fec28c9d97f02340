#include "workload/test/single_worker.h"

#include <catch2/catch.hpp>

using namespace acaciahill;
using namespace acaciahill::test;

namespace {

constexpr OrderAnswer kNotGiven{ OrderOutcome::NotGiven, std::nullopt };

} // namespace

// Load: a late leader, whose orders reach the agents after their deadline.
// Guards against a renewal that is sent again at once, which makes the leader
// later, and against a worker whose lease ends unnoticed (SHORT,
// nashta-rota-large).
TEST_CASE("a renewal that was not sent waits, and its worker becomes silent")
{
  Scheduler scheduler({}, {}, 1, kStart);
  scheduler.UseConfig(OnePool(), kStart);
  scheduler.ReportWorker(1, ReportOf(1, 1), kStart);
  ConfirmWorker(scheduler, TakeCommitted(scheduler), 1);
  const auto number = scheduler.State().FindWorkerById("w")->number_;
  int renewals = 0;
  for (Millis time{ 0 }; time <= Millis(1500); time += Millis(10)) {
    const auto now = kStart + time;
    scheduler.ConfirmAuthority(now);
    const auto actions = scheduler.TakeActions(now);
    if (const auto* renewal = Find<RenewLease>(actions)) {
      ++renewals;
      scheduler.HandleRenewal(*renewal, kNotGiven, std::nullopt, now);
    }
    CHECK(scheduler.Views().at(number).missedRenewals_ == 0);
  }
  CHECK(renewals > 10);
  CHECK(renewals <= 31);
  const auto later = kStart + Millis(1600);
  scheduler.ConfirmAuthority(later);
  const auto actions = scheduler.TakeActions(later);
  const auto* renewal = Find<RenewLease>(actions);
  REQUIRE(renewal != nullptr);
  scheduler.HandleRenewal(*renewal, kNotGiven, std::nullopt, later);
  CHECK(scheduler.Views().at(number).missedRenewals_ == 1);
}
