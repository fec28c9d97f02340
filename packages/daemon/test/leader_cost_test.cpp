#include "daemon/leader_meter_base.h"
#include "daemon/queued_job_counts_base.h"
#include "kernel/os_clock_func.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace acaciahill;
using namespace std::chrono_literals;

namespace {

constexpr auto kWork = 20ms;

/// Uses processor time on this thread.
void
Work()
{
  const auto until = ThreadCpuTime() + kWork;
  while (ThreadCpuTime() < until) {
  }
}

} // namespace

// Guards against a look at all jobs for each read of a count, which took 7 of
// 100 of a busy leader's time (SHORT, issue 42), and against counts that stay.
TEST_CASE("queued jobs are counted once within the maximum age of a count")
{
  struct Row
  {
    const char* name_;
    std::vector<Millis> reads_;
    std::size_t counts_;
    std::uint64_t last_;
  };
  const auto row = GENERATE(values<Row>(
    { { "one read", { 0ms }, 1, 1 },
      { "many at once", { 0ms, 1ms, 1ms, 199ms }, 1, 1 },
      { "the next after the maximum age", { 0ms, 200ms }, 2, 2 },
      { "the age counts from the count, not from the last read",
        { 0ms, 150ms, 250ms },
        2,
        2 },
      { "each 0.1 s for a second",
        { 0ms, 100ms, 200ms, 300ms, 400ms, 500ms, 600ms, 700ms, 800ms, 900ms },
        5,
        5 } }));
  INFO(row.name_);
  QueuedJobCounts counts;
  std::size_t counted = 0;
  std::uint64_t last = 0;
  for (const auto at : row.reads_) {
    last = counts.Of("q", MonotonicTime{ at }, [&counted] {
      ++counted;
      return QueuedJobCounts::Counts{ { "q", counted } };
    });
  }
  CHECK(counted == row.counts_);
  CHECK(last == row.last_);
  CHECK(counts.Of("other", MonotonicTime{ row.reads_.back() }, [] {
    return QueuedJobCounts::Counts{};
  }) == 0);
}

TEST_CASE("a new leader does not answer the count of a former term")
{
  QueuedJobCounts counts;
  const auto countOf = [](std::uint64_t aCount) {
    return [aCount] { return QueuedJobCounts::Counts{ { "q", aCount } }; };
  };
  CHECK(counts.Of("q", MonotonicTime{ 5ms }, countOf(3)) == 3);
  counts.Reset();
  CHECK(counts.Of("q", MonotonicTime{ 6ms }, countOf(4)) == 4);
}

// Guards against processor time that is charged to two kinds of work, or to
// the one that surrounds it.
TEST_CASE("the leader's time is charged to the innermost kind of work")
{
  LeaderMeter meter;
  meter.Reset();
  {
    const LeaderMeter::Scope callers(meter, LeaderWork::Callers);
    {
      const LeaderMeter::Scope decisions(meter, LeaderWork::Decisions);
      Work();
      Work();
    }
    Work();
  }
  Work();
  const auto times = meter.Read();
  const auto of = [&times](LeaderWork aWork) {
    return times.at(static_cast<std::size_t>(aWork));
  };
  CHECK(of(LeaderWork::Decisions) >= 2 * kWork);
  CHECK(of(LeaderWork::Decisions) < 3 * kWork);
  CHECK(of(LeaderWork::Callers) >= kWork);
  CHECK(of(LeaderWork::Callers) < 2 * kWork);
  CHECK(of(LeaderWork::Other) >= kWork);
  CHECK(of(LeaderWork::Other) < 2 * kWork);
  CHECK(of(LeaderWork::Orders) == 0us);
  meter.Reset();
  const auto after = meter.Read();
  CHECK(after.at(static_cast<std::size_t>(LeaderWork::Decisions)) == 0us);
}
