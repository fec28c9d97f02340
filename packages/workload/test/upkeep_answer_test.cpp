#include "workload/test/single_worker.h"

#include <catch2/catch.hpp>

using namespace acaciahill;
using namespace acaciahill::test;

namespace {

WorkerReport
ReportOfVm(std::uint64_t aProcessStartMs)
{
  auto report = ReportOf(aProcessStartMs, 1);
  report.worker_.vm_ = "vm-w";
  return report;
}

} // namespace

// Guards against runs that are started twice: the platform also confirms an
// upkeep that an earlier order began. When the VM was back with a new worker
// before that answer arrived, the runs of the new worker were closed.
TEST_CASE("an upkeep answer closes runs of the worker it was ordered for only")
{
  const bool isRestarted = GENERATE(false, true);
  INFO("restarted " << isRestarted);
  Scheduler scheduler({}, {}, 1, kStart);
  scheduler.UseConfig(OnePool(), kStart);
  scheduler.ReportWorker(1, ReportOfVm(1), kStart);
  ConfirmWorker(scheduler, TakeCommitted(scheduler), 1);
  UpkeepWave wave;
  wave.id_ = 4;
  wave.dueAtMs_ = 20000;
  wave.pendingVms_ = { "vm-w" };
  scheduler.StartWave(2, wave, kStart);
  scheduler.HandleVms(
    ListVms{ kStart },
    std::vector<VmListing>{ { "vm-w", "p", VmState::Up, "w", "z" } },
    kStart);
  // The budget of calls to the platform fills with time.
  scheduler.Tick(kStart + Millis(500), 0);
  const auto actions = TakeCommitted(scheduler);
  const auto* order = Find<BeginUpkeep>(actions);
  REQUIRE(order != nullptr);

  if (isRestarted) {
    scheduler.ReportWorker(3, ReportOfVm(2), kStart);
    ConfirmWorker(scheduler, TakeCommitted(scheduler), 2);
    scheduler.SubmitJob(4, TwoStepJob(1), kStart);
    TakeCommitted(scheduler);
    REQUIRE(scheduler.State().FindJob(1)->assigned_ == 3);
  }
  scheduler.HandleUpkeep(*order, VmOutcome::Begun, kStart);
  CHECK(scheduler.State().Waves().at(4).completed_);
  CHECK(scheduler.State().Workers().size() == (isRestarted ? 1 : 0));
  if (isRestarted) {
    CHECK(scheduler.State().FindJob(1)->assigned_ == 3);
  }
}
