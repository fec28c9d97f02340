#include "workload/test/single_worker.h"

#include <catch2/catch.hpp>

using namespace acaciahill;
using namespace acaciahill::test;

namespace {

/// A job with one step: a gang.
JobSpec
GangJob(std::uint32_t aTasks)
{
  auto spec = OneStepJob(1);
  spec.steps_[0].tasks_ = aTasks;
  spec.steps_[0].gang_ = true;
  return spec;
}

/// A scheduler whose worker runs a gang, or ran it until its lease expired.
Scheduler
GangOnOneWorker(std::uint32_t aTasks, bool aHasLapsed)
{
  Scheduler scheduler({}, {}, 1, kStart);
  scheduler.UseConfig(OnePool(), kStart);
  scheduler.ReportWorker(1, ReportOf(1, 1), kStart);
  ConfirmWorker(scheduler, TakeCommitted(scheduler), 1);
  scheduler.SubmitJob(2, GangJob(aTasks), kStart);
  const auto actions = TakeCommitted(scheduler);
  REQUIRE(scheduler.State().FindJob(1)->assigned_ == aTasks);
  AnswerStarts(scheduler, actions);
  const auto* renewal = Find<RenewLease>(actions);
  REQUIRE(renewal != nullptr);
  if (aHasLapsed) {
    scheduler.HandleRenewal(*renewal, {}, std::nullopt, kStart);
    scheduler.Tick(kStart + SchedulerSettings{}.lease_ * 2, 0);
    REQUIRE(scheduler.State().FindJob(1)->assigned_ == 0);
  }
  return scheduler;
}

} // namespace

// Guards against a job that never ends (review/5): the leases of a gang's
// workers expire, one worker is lost, and the other lists its member as done.
// The gang was then part done and part waiting, and was never placed again.
// And against a leader that crashes (review/11): with the only member of a gang
// the job is completed, and its steps are freed.
TEST_CASE("a late end of one member completes the whole gang")
{
  struct Row
  {
    const char* name_;
    std::uint32_t tasks_;
    bool hasLapsed_;
    RunEnd end_;
    JobPhase phase_;
  };
  const auto row = GENERATE(
    Row{ "done in time", 2, false, RunEnd::Done, JobPhase::Completed },
    Row{ "done, listed late", 2, true, RunEnd::Done, JobPhase::Completed },
    Row{ "failed, listed late", 2, true, RunEnd::Failed, JobPhase::Running },
    Row{
      "one task, done in time", 1, false, RunEnd::Done, JobPhase::Completed },
    Row{ "one task, listed late", 1, true, RunEnd::Done, JobPhase::Completed },
    Row{
      "one task, failed, late", 1, true, RunEnd::Failed, JobPhase::Running });
  INFO(row.name_);
  auto scheduler = GangOnOneWorker(row.tasks_, row.hasLapsed_);
  RenewLease renewal;
  renewal.target_.worker_ = scheduler.State().FindWorkerById("w")->number_;
  renewal.sentAt_ = kStart;
  const EndedRun end{ 1, { 1, 0, 0, row.tasks_ - 1 }, 1, row.end_, {} };
  scheduler.HandleRenewal(renewal,
                          { OrderOutcome::Taken, 5000 },
                          WorkerLists{ 5000, 1, {}, { end }, 0 },
                          kStart);
  CHECK(scheduler.State().FindJob(1)->phase_ == row.phase_);

  // The same list may come once more.
  scheduler.HandleRenewal(renewal,
                          { OrderOutcome::Taken, 5000 },
                          WorkerLists{ 5000, 1, {}, { end }, 0 },
                          kStart);
  CHECK(scheduler.State().FindJob(1)->phase_ == row.phase_);
  // What is not complete is placed again as a whole.
  TakeCommitted(scheduler);
  CHECK(scheduler.State().FindJob(1)->assigned_ ==
        (row.phase_ == JobPhase::Completed ? 0 : row.tasks_));
}
