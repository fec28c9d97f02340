#include "workload/test/scheduler_jobs.h"

#include <catch2/catch.hpp>

using namespace acaciahill;
using namespace acaciahill::test;

namespace {

using UnansweredMove = SchedulerDriver::UnansweredMove;

constexpr int kWorkers = 16;
// Of the switched-off VMs s0 and s1.
constexpr const char* kFirstMoved = "vm-s1";

/// A turn of the pool's work and its end, until some idle VM is switched off.
void
RunUntilFirstMove(SchedulerDriver& aDriver)
{
  aDriver.RunFor(Millis(2000));
  for (JobId job = 100; job < 180; ++job) {
    aDriver.Submit(OneStepJob(job));
    if (job % 4 == 3) {
      aDriver.RunFor(Millis(250));
    }
  }
  const auto until = aDriver.Now() + Millis(10000);
  while (aDriver.movedVms_.empty() && aDriver.Now() < until) {
    aDriver.RunFor(Millis(10));
  }
  REQUIRE(!aDriver.movedVms_.empty());
}

} // namespace

// Load: a long-running job needs one of two switched-off VMs; the first call to
// move it is not answered and the repeated one is refused as "busy", as the VM
// is being moved. Guards against a move that counts as not begun by that
// refusal: a second VM was moved as well (issue 60).
TEST_CASE("no second VM is moved while an unanswered move is under way")
{
  SchedulerDriver driver(3, {});
  EnableVmMoves(driver);
  driver.carriesOutMoves_ = true;
  driver.unansweredMoves_ = UnansweredMove::CarriedOut;
  AddWorkers(driver, 3);
  driver.AddSpareVm("s0");
  driver.AddSpareVm("s1");
  driver.RunFor(Millis(2500));
  driver.Submit(LongRunningJob(1, 4));
  driver.RunFor(Millis(6000));
  CHECK(CountLongRunningTasks(driver) == 4);
  const std::set<std::string> moved(driver.movedVms_.begin(),
                                    driver.movedVms_.end());
  CHECK(moved.size() == 1);
  CHECK(driver.Seen().empty());
}

// Load: idle VMs are to be switched off, but the platform drops the first calls
// and is busy for good; then a long-running job needs all VMs. Guards against
// VMs that stay empty for a move that never begins (LOST).
TEST_CASE("a VM gets tasks again when its unanswered move has not begun")
{
  SchedulerDriver driver(4, {});
  EnableVmMoves(driver);
  driver.carriesOutMoves_ = true;
  driver.unansweredMoves_ = UnansweredMove::Dropped;
  AddWorkers(driver, kWorkers);
  RunUntilFirstMove(driver);
  driver.Submit(LongRunningJob(1, kWorkers));
  driver.RunFor(Millis(6000));
  CHECK(CountLongRunningTasks(driver) == kWorkers);
  CHECK(driver.Seen().empty());
}

// Load: a long-running job needs a switched-off VM, and the first of two cannot
// be moved after a call without an answer. Guards against a VM that counts as
// arriving for ever, so that no other is moved (LOST).
TEST_CASE("another VM is moved when an unanswered move has not begun")
{
  const bool isGone = GENERATE(false, true);
  CAPTURE(isGone);
  SchedulerDriver driver(5, {});
  EnableVmMoves(driver);
  driver.carriesOutMoves_ = true;
  driver.unansweredMoves_ = UnansweredMove::Dropped;
  driver.unansweredVms_ = { kFirstMoved };
  AddWorkers(driver, 3);
  driver.AddSpareVm("s0");
  driver.AddSpareVm("s1");
  driver.RunFor(Millis(2500));
  if (isGone) {
    driver.unlistedVms_ = { kFirstMoved };
    driver.goneVms_ = { kFirstMoved };
  }
  driver.Submit(LongRunningJob(1, 4));
  driver.RunFor(Millis(6000));
  CHECK(CountLongRunningTasks(driver) == 4);
  CHECK(driver.movedVms_.front() == kFirstMoved);
  CHECK(driver.PoolOf("s0") == "p");
  CHECK(driver.Seen().empty());
}
