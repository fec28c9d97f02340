#include "workload/test/scheduler_jobs.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace acaciahill;
using namespace acaciahill::test;

namespace {

// A list that was asked for before an order and arrives after its answer.
constexpr Millis kListDelay{ 1200 };

} // namespace

// Load: two pools that each lack a worker for a long-running job, one after the
// other, and one switched-off VM. Guards against a VM that counts as switched
// off after it was moved, since an old list shows it so or since the answer to
// the move was lost: it was moved once more, which ends the tasks that it runs
// by then.
TEST_CASE("a moved VM is not taken for a spare one")
{
  struct Row
  {
    const char* name_;
    Millis listDelay_;
    bool losesAnswers_;
  };
  const auto row =
    GENERATE(values<Row>({ { "an older list", kListDelay, false },
                           { "no answer to the move", Millis(0), true } }));
  INFO(row.name_);
  SchedulerDriver driver(1, {});
  EnableVmMoves(driver);
  driver.SetConfig(TwoPools());
  driver.carriesOutMoves_ = true;
  driver.listDelay_ = row.listDelay_;
  driver.losesMoveAnswers_ = row.losesAnswers_;
  for (int worker = 0; worker < 3; ++worker) {
    driver.AddWorker("p" + std::to_string(worker), "p");
    driver.AddWorker("q" + std::to_string(worker), "q");
  }
  driver.AddSpareVm("s0");
  // The second list is asked for 10 s after the first one has arrived.
  driver.RunFor(Millis(11500));
  REQUIRE(driver.movedVms_.empty());
  driver.Submit(LongRunningJob(1, 4));
  driver.RunFor(Millis(3000));
  const auto moves = driver.movedVms_.size();
  REQUIRE(moves > 0);
  REQUIRE(CountLongRunningTasks(driver) == 4);
  auto other = LongRunningJob(2, 4);
  other.queue_ = "h/r/";
  driver.Submit(other);
  driver.RunFor(Millis(3000));
  CHECK(driver.movedVms_.size() == moves);
  CHECK(driver.runsEndedByMoves_ == 0);
  CHECK(driver.PoolOf("s0") == "p");
  CHECK(driver.Workers().at("s0").runs_.size() == 1);
  CHECK(driver.Seen().empty());
}

// Load: a turn of a pool, after which its idle VMs are switched off, and then a
// long-running job with one task per worker that needs some of them again. The
// turn ends at different times between two requests for the platform's list.
// Guards against VMs that an old list shows in the pool after they were
// switched off: the task waited for the next list, 10 s later (LOST, issues 42
// and 46).
TEST_CASE("a VM that was switched off during a list can be moved again")
{
  // The platform's limit for a task that runs again.
  constexpr Millis kTimeToRunAgain{ 6000 };
  constexpr std::size_t kWorkers = 16;
  for (Millis before{ 0 }; before < Millis(12000); before += Millis(400)) {
    CAPTURE(before.count());
    SchedulerDriver driver(3, {});
    EnableVmMoves(driver);
    driver.carriesOutMoves_ = true;
    driver.listDelay_ = kListDelay;
    AddWorkers(driver, kWorkers);
    driver.RunFor(Millis(2000) + before);
    for (JobId job = 100; job < 180; ++job) {
      driver.Submit(OneStepJob(job));
      if (job % 4 == 3) {
        driver.RunFor(Millis(250));
      }
    }
    driver.RunFor(Millis(6000));
    const auto isOff = [&driver](const auto& aEntry) {
      return driver.PoolOf(aEntry.first) == detail::kOffPool;
    };
    const auto& workers = driver.Workers();
    REQUIRE(std::count_if(workers.begin(), workers.end(), isOff) >= 10);
    constexpr std::uint32_t kTasks = 6;
    driver.Submit(LongRunningJob(1, kTasks));
    driver.RunFor(kTimeToRunAgain);
    CHECK(CountLongRunningTasks(driver) == kTasks);
  }
}

// Load: a VM of the spare pool comes up while the platform's list can't be
// read, and then a long-running job needs it. Guards against a failed read that
// counts as a new list: the next one came 10 s later (LOST, issues 42 and 46).
TEST_CASE("a list that could not be read is read again soon")
{
  constexpr Millis kTimeToRunAgain{ 6000 };
  SchedulerDriver driver(4, {});
  EnableVmMoves(driver);
  driver.spareVms_ = { { "s-1", "off", VmState::Down, "", "z" } };
  AddWorkers(driver, 3);
  driver.RunFor(Millis(9000));
  driver.spareVms_[0].state_ = VmState::Up;
  // The second list is due 10 s after the first one.
  driver.losesLists_ = true;
  driver.RunFor(Millis(2500));
  driver.losesLists_ = false;
  driver.Submit(LongRunningJob(1, 4));
  driver.RunFor(kTimeToRunAgain);
  CHECK(!driver.movedVms_.empty());
}

// Load: a wave with a cap of one VM. All workers are busy until shortly after
// the second request for the platform's list, whose answer is late. Guards
// against a VM that an old list shows as up after it went down for upkeep: then
// more VMs than the cap of the wave were down at once (LIMIT).
TEST_CASE("an older list does not end the upkeep of a VM")
{
  const auto delayMs = GENERATE(0, 400, 1200, 1600, 2500);
  CAPTURE(delayMs);
  constexpr int kWorkers = 4;
  // The list is asked for again 1.5 s after it has arrived.
  constexpr Millis kBeforeWave{ 300 };
  const auto secondRequest = kBeforeWave + Millis(delayMs + 1500);
  SchedulerDriver driver(2, {});
  driver.SetConfig(OnePool());
  AddWorkers(driver, kWorkers);
  driver.listDelay_ = Millis(delayMs);
  driver.RunFor(Millis(500));
  auto job = OneStepJob(1);
  job.steps_[0].tasks_ = 4 * kWorkers;
  driver.runTimes_[1] = secondRequest + Millis(100);
  driver.Submit(job);
  driver.RunFor(kBeforeWave);
  UpkeepWave wave;
  wave.id_ = 1;
  wave.cap_ = 1;
  wave.dueAtMs_ = 60000;
  for (const auto& [id, worker] : driver.Workers()) {
    wave.pendingVms_.push_back("vm-" + id);
  }
  driver.StartWave(wave);
  driver.RunFor(Millis(60000));
  CHECK(driver.maxVmsDown_ <= 1);
  CHECK(driver.maintainedVms_.size() == kWorkers);
}
