#include "kernel/log_func.h"
#include "workload/test/scheduler_driver.h"

#include <cxxopts.hpp>

#include <chrono>
#include <cstdio>
#include <ctime>
#include <string>

// Processor time of the scheduler for a load of jobs, without network and log.

using namespace acaciahill;
using acaciahill::test::SchedulerDriver;

namespace {

constexpr int kPools = 4;
constexpr Millis kWarmUp{ 2000 };

double
CpuSeconds()
{
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

JobSpec
MakeJob(JobId aId, int aTasks)
{
  JobSpec spec;
  spec.id_ = aId;
  spec.queue_ = "h/q" + std::to_string(aId % kPools) + "/";
  StepSpec first;
  first.tasks_ = static_cast<std::uint32_t>(aTasks);
  first.need_ = { 500, 100, 0 };
  first.estimatedMs_ = 500;
  auto second = first;
  second.after_ = { 0 };
  spec.steps_ = { first, second };
  return spec;
}

} // namespace

int
main(int aCount, char** aWords)
{
  cxxopts::Options options("scheduler_load",
                           "Processor time of the scheduler for a load");
  options.add_options()("workers",
                        "workers in all pools",
                        cxxopts::value<int>()->default_value("350"))(
    "jobs", "jobs a second", cxxopts::value<int>()->default_value("40"))(
    "tasks",
    "tasks a step; a job has two",
    cxxopts::value<int>()->default_value("8"))(
    "seconds", "simulated time", cxxopts::value<int>()->default_value("20"))(
    "help", "show this text");
  const auto given = options.parse(aCount, aWords);
  if (given.count("help") > 0) {
    std::puts(options.help().c_str());
    return 0;
  }
  const auto workers = given["workers"].as<int>();
  const auto jobs = given["jobs"].as<int>();
  const auto tasks = given["tasks"].as<int>();
  const auto seconds = given["seconds"].as<int>();

  SchedulerDriver driver(1, {});
  WorkloadConfig config;
  config.version_ = 1;
  for (int pool = 0; pool < kPools; ++pool) {
    const auto name = "p" + std::to_string(pool);
    const auto key = "h/q" + std::to_string(pool) + "/";
    config.pools_[name] = { name, false, false };
    config.queues_[key] = { key, name, name, 0, 3, 1.6, 600, 3000 };
  }
  driver.SetConfig(config);
  for (int worker = 0; worker < workers; ++worker) {
    driver.AddWorker("w" + std::to_string(worker),
                     "p" + std::to_string(worker % kPools));
  }
  driver.RunFor(kWarmUp);
  const auto idleFrom = CpuSeconds();
  driver.RunFor(Millis(1000) * seconds);
  const auto idle = CpuSeconds() - idleFrom;
  const auto from = CpuSeconds();
  JobId next = 1;
  for (int second = 0; second < seconds; ++second) {
    for (int job = 0; job < jobs; ++job) {
      driver.Submit(MakeJob(next++, tasks));
      driver.RunFor(Millis(1000 / jobs));
    }
  }
  const auto busy = CpuSeconds() - from;
  const auto runs = static_cast<double>(driver.firstStarts_.size());
  std::printf("%.0f starts in %d s; idle %.1f%% of a core, busy %.1f%%, "
              "%.3f ms a start (fake workers and their clock included)\n",
              runs,
              seconds,
              100 * idle / seconds,
              100 * busy / seconds,
              1000 * (busy - idle) / runs);
  return driver.Seen().empty() ? 0 : 1;
}
