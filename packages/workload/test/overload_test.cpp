#include "workload/test/scheduler_jobs.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace acaciahill;
using namespace acaciahill::test;

namespace {

constexpr Millis kStep{ 10 };
constexpr double kStretch = 1.6;
constexpr Millis kLatency{ 600 };

/// What became of a load.
struct Served
{
  std::size_t onTime_ = 0;
  std::size_t wideOnTime_ = 0;
  std::size_t wide_ = 0;
};

/// Jobs of one or two steps that differ in width and in run time, so that some
/// have little slack. The objective of each follows its own run times.
class Load
{
public:
  Load(std::uint32_t aSeed, int aWorkers)
    : driver_(aSeed, {})
    , random_(aSeed)
  {
    driver_.SetConfig(OnePool());
    AddWorkers(driver_, aWorkers);
    driver_.RunFor(Millis(300));
  }

  /// Submits this many jobs, one each aInterval.
  void Submit(int aJobs, Millis aInterval)
  {
    for (int i = 0; i < aJobs; ++i) {
      const auto id = static_cast<JobId>(++jobs_);
      auto spec = TwoStepJob(id);
      if (jobs_ % 5 < 2) {
        spec.steps_.pop_back();
      }
      // Every eighth job is twice as wide as the others.
      const std::uint32_t width = IsWide(id) ? 8 : 4;
      const Millis runTime(250 + static_cast<int>(random_() % 600));
      for (auto& step : spec.steps_) {
        step.tasks_ = width;
        step.estimatedMs_ = 75;
      }
      driver_.runTimes_[id] = runTime;
      const auto chain =
        runTime * static_cast<std::int64_t>(spec.steps_.size());
      dueAt_[id] = driver_.Now() + kLatency +
                   Millis(static_cast<std::int64_t>(
                     kStretch * static_cast<double>(chain.count())));
      driver_.Submit(spec);
      RunFor(aInterval);
    }
  }

  void RunFor(Millis aTime)
  {
    for (Millis ran{ 0 }; ran < aTime; ran += kStep) {
      driver_.RunFor(kStep);
      for (const auto& [id, due] : dueAt_) {
        const auto* job = driver_.Committed().FindJob(id);
        if (job != nullptr && job->phase_ == JobPhase::Completed) {
          endedAt_.emplace(id, driver_.Now());
        }
      }
    }
  }

  Served Result() const
  {
    Served served;
    for (const auto& [id, due] : dueAt_) {
      const auto end = endedAt_.find(id);
      const bool isOnTime = end != endedAt_.end() && end->second <= due;
      served.onTime_ += isOnTime ? 1 : 0;
      served.wide_ += IsWide(id) ? 1 : 0;
      served.wideOnTime_ += isOnTime && IsWide(id) ? 1 : 0;
    }
    return served;
  }

  std::size_t Ended() const { return endedAt_.size(); }
  const SchedulerDriver& Driver() const { return driver_; }

private:
  static bool IsWide(JobId aJob) { return aJob % 8 == 0; }

  SchedulerDriver driver_;
  std::mt19937 random_;
  int jobs_ = 0;
  std::map<JobId, MonotonicTime> dueAt_;
  std::map<JobId, MonotonicTime> endedAt_;
};

} // namespace

// Load: turns of a small kind of job that ask for about twice what the pool can
// serve, for longer than the objective of a job. Guards against serving each
// job only when it is about to be late, or has become so: then the pool is busy
// all the time, and nearly nothing is on time.
TEST_CASE("in a lasting overload, what the pool can serve is on time")
{
  const auto seed = GENERATE(41U, 42U, 43U);
  INFO("seed " << seed);
  constexpr int kJobs = 160;
  Load load(seed, 4);
  // 16 cores; a job takes 7.2 tasks of 0.55 s on one core each on average, so
  // that about four jobs a second can be served. Eight arrive.
  load.Submit(kJobs, Millis(125));
  load.RunFor(Millis(30000));
  const auto served = load.Result();
  CAPTURE(served.onTime_, served.wideOnTime_, served.wide_);
  CHECK(load.Ended() == kJobs);
  // Half of the jobs, minus a tenth for those at the start and end of the load.
  CHECK(served.onTime_ >= kJobs * 4 / 10);
  // Wide jobs are served at least half as often as all.
  CHECK(served.wideOnTime_ * kJobs * 2 >= served.wide_ * served.onTime_);
  CHECK(load.Driver().Seen().empty());
}

// Load: a turn that the pool can just serve.
TEST_CASE("below its capacity a pool serves nearly all jobs on time")
{
  const auto seed = GENERATE(44U, 45U);
  INFO("seed " << seed);
  constexpr int kJobs = 100;
  Load load(seed, 4);
  load.Submit(kJobs, Millis(400));
  load.RunFor(Millis(10000));
  CHECK(load.Result().onTime_ >= kJobs * 95 / 100);
}
