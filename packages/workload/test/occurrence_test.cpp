#include "workload/test/scheduler_jobs.h"

#include <catch2/catch.hpp>

#include <limits>

using namespace acaciahill;
using namespace acaciahill::test;

namespace {

constexpr MonotonicTime kStart{ Millis(100000) };
constexpr std::uint64_t kWallMs = 1'800'000'000'000;

JobSpec
RecurringJob(std::uint32_t aTimes,
             std::uint64_t aStartMs,
             std::uint64_t aIntervalMs,
             std::uint32_t aTasks = 3)
{
  auto spec = TwoStepJob(1);
  spec.steps_[0].tasks_ = aTasks;
  spec.repeatCount_ = aTimes;
  spec.startAtMs_ = aStartMs;
  spec.intervalMs_ = aIntervalMs;
  return spec;
}

} // namespace

// Guards against a job that is overdue by any number of occurrences: beginning
// all of them at once took all memory of the leader and then, by the log, of
// every other control node.
TEST_CASE("occurrences are begun when they are due, a bounded number at once")
{
  constexpr auto kMax = std::numeric_limits<std::uint32_t>::max();
  struct Row
  {
    const char* name_;
    JobSpec spec_;
    std::uint32_t atFirst_;
    std::uint32_t afterMany_;
  };
  const std::vector<Row> rows{
    { "not due", RecurringJob(3, kWallMs + 5, 100), 0, 0 },
    { "the first of three", RecurringJob(3, kWallMs, 100), 1, 1 },
    { "two of three", RecurringJob(3, kWallMs - 100, 100), 2, 2 },
    { "all of three", RecurringJob(3, kWallMs - 900, 100), 3, 3 },
    { "no interval", RecurringJob(kMax, 0, 0), 100, 1000 },
    { "overdue for years", RecurringJob(kMax, 0, 1), 100, 1000 },
    { "an interval whose multiples overflow",
      RecurringJob(kMax, kWallMs, std::uint64_t{ 1 } << 53),
      1,
      1 },
    { "many tasks", RecurringJob(kMax, 0, 0, 40000), 2, 2 },
    { "more tasks than may be open", RecurringJob(5, 0, 0, 100000), 1, 1 },
  };
  for (const auto& row : rows) {
    INFO(row.name_);
    Scheduler scheduler({}, {}, 1, kStart);
    scheduler.UseConfig(OnePool(), kStart);
    scheduler.SubmitJob(1, row.spec_, kStart);
    scheduler.Tick(kStart, kWallMs);
    const auto* job = scheduler.State().FindJob(1);
    REQUIRE(job != nullptr);
    CHECK(job->begunOccurrences_ == row.atFirst_);
    for (int tick = 1; tick <= 20; ++tick) {
      scheduler.Tick(kStart + tick * Scheduler::kTick, kWallMs);
    }
    CHECK(job->begunOccurrences_ == row.afterMany_);
  }
}
