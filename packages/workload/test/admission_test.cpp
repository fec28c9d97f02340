#include "workload/backlog_cache_base.h"
#include "workload/refused_jobs_base.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace acaciahill;

// Load: a pool whose queue asks for more than it can serve for longer than the
// objective of a job. Guards against accepting jobs that are late when they
// start, and against refusing jobs that still start in time.
TEST_CASE("a job is accepted when it can be expected to start in time")
{
  struct Row
  {
    const char* name_;
    PoolBacklog backlog_;
    NewJob job_;
    std::int64_t waitMs_;
    bool isAccepted_;
  };
  const std::vector<Row> rows{
    { "an idle pool",
      { 64000, 0, 0, Millis(600) },
      { 16000, Millis(300) },
      0,
      true },
    { "a full pool without waiting tasks",
      { 64000, 64000, 0, Millis(600) },
      { 16000, Millis(300) },
      150,
      true },
    { "tasks wait, but not for too long",
      { 64000, 64000, 16000, Millis(600) },
      { 16000, Millis(300) },
      300,
      true },
    { "too much waits",
      { 64000, 64000, 32000, Millis(600) },
      { 16000, Millis(300) },
      450,
      false },
    { "a job that is too large for the time left",
      { 64000, 0, 0, Millis(600) },
      { 128000, Millis(300) },
      600,
      false },
    { "no worker has registered yet",
      { 0, 0, 160000, Millis(600) },
      { 16000, Millis(300) },
      0,
      true },
  };
  for (const auto& row : rows) {
    INFO(row.name_);
    CHECK(ExpectedWait(row.backlog_, row.job_) == Millis(row.waitMs_));
    CHECK(ShouldAccept(row.backlog_, row.job_) == row.isAccepted_);
  }
}

// Load: senders that were refused together. Guards against their return at a
// time when they would be refused again, and against tenants beyond their share
// that return before the others.
TEST_CASE("a refused job returns when the backlog leaves it time")
{
  const NewJob job{ 0, Millis(300) };
  const PoolBacklog busy{ 64000, 64000, 128000, Millis(600) };
  CHECK(RetryDelay(busy, job, false) == Millis(900));
  CHECK(RetryDelay(busy, job, true) == Millis(1900));
  const PoolBacklog flooded{ 64000, 64000, 6400000, Millis(600) };
  CHECK(RetryDelay(flooded, job, false) == Millis(4000));
}

// Load: many jobs within a few milliseconds. Guards against a backlog that does
// not grow with the jobs that were accepted since it was determined.
TEST_CASE("accepted jobs are added to the backlog until it is determined again")
{
  BacklogCache cache;
  const MonotonicTime start{ Millis(1000) };
  int determined = 0;
  const auto determine = [&determined] {
    ++determined;
    return PoolBacklog{ 64000, 0, 1000, Millis(600) };
  };
  const auto waiting = [&](bool aBeyondShare, Millis aAfter) {
    return cache.Get("p", aBeyondShare, start + aAfter, determine)
      .waitingMilliCores_;
  };
  CHECK(waiting(false, Millis(0)) == 1000);
  CHECK(waiting(true, Millis(0)) == 1000);
  cache.AddWaiting("p", false, 500);
  cache.AddWaiting("p", true, 70);
  cache.AddWaiting("other", true, 9);
  CHECK(waiting(false, BacklogCache::kMaxAge) == 1500);
  CHECK(waiting(true, BacklogCache::kMaxAge) == 1570);
  CHECK(determined == 2);
  CHECK(waiting(false, BacklogCache::kMaxAge + Millis(1)) == 1000);
  CHECK(determined == 3);
}

// Load: senders that come back again and again. Guards against a demand that
// grows with each attempt of the same job.
TEST_CASE("a refused job is known until its sender has given up")
{
  RefusedJobs refused;
  const MonotonicTime start{ Millis(1000) };
  CHECK_FALSE(refused.IsReturning(1));
  refused.Note(1, start);
  refused.Note(1, start + Millis(1000));
  CHECK(refused.IsReturning(1));
  CHECK(refused.Count() == 2);
  refused.Prune(start + Millis(20000));
  CHECK(refused.IsReturning(1));
  refused.Prune(start + Millis(20001));
  CHECK_FALSE(refused.IsReturning(1));
}
