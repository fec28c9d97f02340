#include "workload/test/single_worker.h"

#include <catch2/catch.hpp>

using namespace acaciahill;
using namespace acaciahill::test;

// Guards against a job that is cancelled by another customer (foreign-cancel of
// the review): customers of two queues chose the same id, and a cancel under
// one queue ended the job of the other. The same holds for two tenants.
TEST_CASE("a request for a job of another customer does not touch it")
{
  struct Row
  {
    const char* name_;
    const char* queue_;
    const char* tenant_;
    RequestOutcome cancel_;
    JobPhase phase_;
  };
  const auto row = GENERATE(
    Row{ "own", "h/q/", "a", RequestOutcome::Accepted, JobPhase::Cancelled },
    Row{ "other queue",
         "h/o/",
         "a",
         RequestOutcome::UnknownJob,
         JobPhase::Queued },
    Row{ "other tenant",
         "h/q/",
         "b",
         RequestOutcome::UnknownJob,
         JobPhase::Queued },
    Row{ "a queue that needs no key",
         "h/q/",
         "",
         RequestOutcome::Accepted,
         JobPhase::Cancelled });
  INFO(row.name_);
  Scheduler scheduler({}, {}, 1, kStart);
  auto config = OnePool();
  config.queues_["h/o/"] = config.queues_["h/q/"];
  config.queues_["h/o/"].key_ = "h/o/";
  scheduler.UseConfig(config, kStart);
  auto job = OneStepJob(1);
  job.tenant_ = "a";
  scheduler.SubmitJob(1, job, kStart);
  TakeCommitted(scheduler);
  scheduler.CancelJob(2, 1, row.queue_, row.tenant_, kStart);
  const auto actions = TakeCommitted(scheduler);
  const auto* answer = Find<AnswerRequest>(actions);
  REQUIRE(answer != nullptr);
  CHECK(answer->outcome_ == row.cancel_);
  CHECK(scheduler.State().FindJob(1)->phase_ == row.phase_);
}
