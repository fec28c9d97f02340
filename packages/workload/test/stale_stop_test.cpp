#include "workload/test/scheduler_jobs.h"

#include <catch2/catch.hpp>

using namespace acaciahill;
using namespace acaciahill::test;

namespace {

constexpr Millis kReadyAfter{ 3000 };

/// Long-running tasks that are at work.
std::size_t
CountReadyTasks(SchedulerDriver& aDriver)
{
  std::size_t ready = 0;
  for (const auto& [id, worker] : aDriver.Workers()) {
    for (const auto& [task, run] : worker.runs_) {
      const bool isReady = aDriver.Now() - run.startedAt_ >= kReadyAfter;
      ready += worker.up_ && isReady ? 1 : 0;
    }
  }
  return ready;
}

UpkeepWave
WaveOf(std::uint64_t aId, const std::string& aWorker)
{
  UpkeepWave wave;
  wave.id_ = aId;
  wave.cap_ = 1;
  wave.dueAtMs_ = 60000;
  wave.pendingVms_ = { "vm-" + aWorker };
  return wave;
}

} // namespace

// Load: workers that carry out orders late, beside a wave. Guards against a
// task that is ended while too many others of its step are away (AVAIL,
// nashta-rota-large trouble-1 and scale-2): a stop without an answer was
// withdrawn and forgotten, or its leader was replaced, and another task was
// stopped before the first order was carried out, or while it took longer than
// was allowed for.
TEST_CASE("a stop that may still be carried out counts in the absence budget")
{
  struct Row
  {
    const char* name_;
    Millis delay_;
    bool changesLeader_;
    int maxStopMs_ = 200;
  };
  const auto row =
    GENERATE(Row{ "before it is withdrawn", Millis(300), false },
             Row{ "as it is withdrawn", Millis(700), false },
             Row{ "as another stop is sent", Millis(1100), false },
             Row{ "soon after", Millis(1500), false },
             Row{ "long after", Millis(3000), false },
             Row{ "as another leader begins", Millis(1000), true },
             Row{ "soon after another leader began", Millis(1300), true },
             Row{ "long after another leader began", Millis(3000), true },
             Row{ "slowly, as it is withdrawn", Millis(700), false, 900 },
             Row{ "slowly, long before", Millis(400), false, 900 },
             Row{ "slowly, before it is withdrawn", Millis(500), false, 900 },
             Row{ "slowly, as another stop is sent", Millis(1100), false, 900 },
             Row{ "slowly, as a leader begins", Millis(1000), true, 900 },
             Row{ "slowly, soon after one began", Millis(1150), true, 900 });
  INFO(row.name_);
  SchedulerDriver driver(28, {});
  driver.SetConfig(OnePool());
  AddWorkers(driver, 6);
  driver.RunFor(Millis(3500));
  driver.readyAfter_ = kReadyAfter;
  driver.maxStopMs_ = row.maxStopMs_;
  driver.Submit(LongRunningJob(1, 3));
  driver.RunFor(kReadyAfter + Millis(1500));
  REQUIRE(CountReadyTasks(driver) == 3);
  std::vector<std::string> holders;
  for (const auto& [id, worker] : driver.Workers()) {
    if (!worker.runs_.empty()) {
      holders.push_back(id);
    }
  }
  REQUIRE(holders.size() == 3);

  const auto runFor = [&](Millis aTime) {
    for (Millis time{ 0 }; time < aTime; time += Millis(10)) {
      driver.RunFor(Millis(10));
      // The budget of the step is one task.
      REQUIRE(CountReadyTasks(driver) >= 2);
    }
  };
  driver.stopDelay_ = row.delay_;
  driver.StartWave(WaveOf(9, holders[2]));
  runFor(Millis(150));
  driver.Workers().at(holders[1]).isPartitioned_ = true;
  runFor(Millis(1000));
  driver.Workers().at(holders[1]).isPartitioned_ = false;
  driver.stopDelay_.reset();
  if (row.changesLeader_) {
    driver.ChangeLeader();
  }
  // Waves are looked at in the order of their numbers.
  driver.StartWave(WaveOf(4, holders[0]));
  runFor(Millis(20000));
  CHECK(driver.maintainedVms_.size() == 2);
  CHECK(driver.interruptedLongRuns_ == 0);
  CHECK(CountReadyTasks(driver) == 3);
  CHECK(driver.Seen().empty());
}
