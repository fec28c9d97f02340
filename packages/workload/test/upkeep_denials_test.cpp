#include "workload/test/scheduler_jobs.h"

#include <catch2/catch.hpp>

using namespace acaciahill;
using namespace acaciahill::test;

namespace {

constexpr MonotonicTime kFirst{ Millis(100000) };
constexpr int kWorkers = 4;

/// What the leader learns at a time after the first denial.
enum class News : std::uint8_t
{
  NoSuchVm,
  NotInWave,
  Listed,   ///< A list asked for at that time.
  Unlisted, ///< The same without the VM.
};

struct Step
{
  int afterMs_;
  News news_;
};

/// Whether the last of the denials proves that the VM has no part in the wave.
bool
IsProvedBy(const std::vector<Step>& aSteps)
{
  UpkeepDenials denials;
  const BeginUpkeep order{ "vm", 7, 1, 0 };
  bool isProved = false;
  for (const auto& step : aSteps) {
    const auto at = kFirst + Millis(step.afterMs_);
    switch (step.news_) {
      case News::NoSuchVm:
      case News::NotInWave:
        REQUIRE(!isProved);
        isProved =
          denials.Confirm(order,
                          step.news_ == News::NoSuchVm ? VmOutcome::NoSuchVm
                                                       : VmOutcome::NotInWave,
                          at);
        break;
      case News::Listed:
        denials.NoteExists("vm", at);
        break;
      case News::Unlisted:
        denials.NoteUnlisted("vm", at);
        break;
    }
  }
  return isProved;
}

UpkeepWave
WaveOverAll()
{
  UpkeepWave wave;
  wave.id_ = 1;
  wave.cap_ = 1;
  wave.dueAtMs_ = 60000;
  for (int i = 0; i < kWorkers; ++i) {
    wave.pendingVms_.push_back("vm-w" + std::to_string(i));
  }
  return wave;
}

} // namespace

// Guards against a VM that counts as gone by one answer (MIXED, issue 60).
TEST_CASE("only a repeated denial without contradiction is proof")
{
  struct Row
  {
    const char* name_;
    std::vector<Step> steps_;
    bool isProved_;
  };
  const std::vector<Row> rows{
    { "one answer", { { 0, News::NoSuchVm } }, false },
    { "one answer after a list",
      { { -100, News::Unlisted }, { 0, News::NoSuchVm } },
      false },
    { "two answers, no list since",
      { { -100, News::Unlisted },
        { 0, News::NoSuchVm },
        { 6000, News::NoSuchVm } },
      false },
    { "a list between two answers",
      { { 0, News::NoSuchVm },
        { 1000, News::Unlisted },
        { 6000, News::NoSuchVm } },
      true },
    { "soon after each other",
      { { 0, News::NoSuchVm },
        { 1000, News::Unlisted },
        { 2000, News::NoSuchVm } },
      false },
    { "listed in between",
      { { 0, News::NoSuchVm },
        { 1000, News::Unlisted },
        { 4000, News::Listed },
        { 6000, News::NoSuchVm } },
      false },
    { "listed before",
      { { -100, News::Listed },
        { 0, News::NoSuchVm },
        { 1000, News::Unlisted },
        { 6000, News::NoSuchVm } },
      true },
    { "gone after it was listed",
      { { 0, News::NoSuchVm },
        { 1000, News::Listed },
        { 2000, News::Unlisted },
        { 6500, News::NoSuchVm } },
      true },
    { "not in the wave, once", { { 0, News::NotInWave } }, false },
    { "not in the wave, again, though it is listed",
      { { 0, News::NotInWave },
        { 1000, News::Listed },
        { 6000, News::NotInWave } },
      true },
    { "known by the second answer",
      { { 0, News::NoSuchVm },
        { 1000, News::Unlisted },
        { 6000, News::NotInWave } },
      false },
  };
  for (const auto& row : rows) {
    INFO(row.name_);
    CHECK(IsProvedBy(row.steps_) == row.isProved_);
  }
}

// Load: a wave during which the platform denies a VM for some seconds, as it
// learns of the VM or of the wave after the system, with tasks on all VMs.
// Guards against a wave that is said to be completed without the VM's upkeep
// after one such answer (MIXED, issue 60).
TEST_CASE("a VM that is denied for a moment still has its upkeep")
{
  struct Row
  {
    const char* name_;
    VmOutcome denial_;
    bool isListed_;
  };
  const auto row = GENERATE(values<Row>(
    { { "no such VM, though listed", VmOutcome::NoSuchVm, true },
      { "no such VM, not listed either", VmOutcome::NoSuchVm, false },
      { "not in the wave", VmOutcome::NotInWave, true } }));
  INFO(row.name_);
  const auto deniedForMs = GENERATE(100, 1000, 3000, 4500);
  CAPTURE(deniedForMs);
  SchedulerDriver driver(5, {});
  driver.SetConfig(OnePool());
  AddWorkers(driver, kWorkers);
  driver.RunFor(Millis(500));
  driver.Submit(LongRunningJob(1, 2));
  driver.RunFor(Millis(2000));
  if (!row.isListed_) {
    driver.unlistedVms_ = { "vm-w0" };
  }
  driver.deniedVms_["vm-w0"] = { row.denial_, Millis(deniedForMs), {} };
  driver.StartWave(WaveOverAll());
  driver.RunFor(Millis(40000));
  CHECK(driver.Committed().Waves().at(1).completed_);
  CHECK(driver.maintainedVms_.size() == kWorkers);
  CHECK(driver.maxVmsDown_ == 1);
  CHECK(driver.interruptedLongRuns_ == 0);
  CHECK(driver.Seen().empty());
}

// Load: a wave of which the platform denies one VM for good, though it is up
// and at work. Guards against a wave that is said to be completed without it,
// against orders without end, and against a VM that gets no tasks meanwhile.
TEST_CASE("a listed VM that is denied for good keeps its wave running")
{
  SchedulerDriver driver(6, {});
  driver.SetConfig(OnePool());
  AddWorkers(driver, kWorkers);
  driver.RunFor(Millis(500));
  driver.deniedVms_["vm-w0"] = { VmOutcome::NoSuchVm, Millis(600000), {} };
  driver.StartWave(WaveOverAll());
  driver.RunFor(Millis(60000));
  const auto& wave = driver.Committed().Waves().at(1);
  CHECK(!wave.completed_);
  CHECK(wave.pendingVms_ == std::vector<std::string>{ "vm-w0" });
  CHECK(driver.maintainedVms_.size() == kWorkers - 1);
  CHECK(driver.upkeepOrders_ < 20);
  driver.Submit(LongRunningJob(1, kWorkers));
  driver.RunFor(Millis(6000));
  CHECK(CountLongRunningTasks(driver) == kWorkers);
  CHECK(driver.Seen().empty());
}
