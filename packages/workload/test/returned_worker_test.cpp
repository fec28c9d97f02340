#include "workload/test/single_worker.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace acaciahill;
using namespace acaciahill::test;

namespace {

constexpr Millis kLease{ 4000 };
constexpr Millis kMaxLease{ 10000 };
constexpr Millis kMaxOrderDelay{ 12000 };

SchedulerSettings
TestSettings()
{
  SchedulerSettings settings;
  settings.lease_ = kLease;
  settings.maxLease_ = kMaxLease;
  settings.maxOrderDelay_ = kMaxOrderDelay;
  return settings;
}

/// A worker "w" that crashes and comes back, and a worker "spare" that always
/// answers with what it was told to start.
class ReturnedWorker
{
public:
  ReturnedWorker()
    : scheduler_(
        std::make_unique<Scheduler>(Workload{}, TestSettings(), term_, now_))
  {
    scheduler_->UseConfig(OnePool(), now_);
    Report("w", 1);
    Exchange();
    AnswerRenewalsOf("w", 1, {});
    auto spec = OneStepJob(1);
    spec.steps_[0].tasks_ = 1;
    scheduler_->SubmitJob(nextToken_++, spec, now_);
    Exchange();
    REQUIRE(starts_.size() == 1);
    Report("spare", 1);
    RunFor(Scheduler::kTick);
  }

  void Report(const std::string& aId, std::uint64_t aProcessStartMs)
  {
    auto report = ReportOf(aProcessStartMs, ++reports_);
    report.worker_.id_ = aId;
    report.worker_.address_ = aId;
    scheduler_->ReportWorker(nextToken_++, report, now_);
  }

  /// Advances the time; the spare worker answers all along.
  void RunFor(Millis aTime)
  {
    for (const auto until = now_ + aTime; now_ < until;) {
      now_ += Scheduler::kTick;
      scheduler_->ConfirmAuthority(now_);
      AnswerRenewalsOfSpare();
      scheduler_->Tick(now_, 0);
      Exchange();
    }
  }

  /// The worker answers the open renewals of its number. A restarted one has
  /// another start of its process.
  void AnswerRenewalsOf(const std::string& aId,
                        std::uint64_t aProcessStartMs,
                        const std::vector<RunningTask>& aRunning,
                        const std::vector<EndedRun>& aEnded = {})
  {
    const auto renewals = TakeRenewals(aId);
    REQUIRE_FALSE(renewals.empty());
    for (const auto& renewal : renewals) {
      scheduler_->HandleRenewal(
        renewal,
        { OrderOutcome::Taken, 5000 },
        WorkerLists{ 5000, aProcessStartMs, aRunning, aEnded, 0 },
        now_);
    }
    Exchange();
  }

  void LoseRenewalsOf(const std::string& aId)
  {
    for (const auto& renewal : TakeRenewals(aId)) {
      scheduler_->HandleRenewal(renewal, {}, std::nullopt, now_);
    }
    Exchange();
  }

  void AnswerStart(OrderOutcome aOutcome)
  {
    scheduler_->HandleStart(starts_.front(), { aOutcome, 5000 }, now_);
    Exchange();
  }

  /// The next leader starts from the committed state.
  void ChangeLeader()
  {
    const auto state = scheduler_->State();
    scheduler_ =
      std::make_unique<Scheduler>(state, TestSettings(), ++term_, now_);
    scheduler_->UseConfig(OnePool(), now_);
    renewals_.clear();
    Exchange();
  }

  RunningTask FirstRun() const
  {
    return { starts_.front().task_, starts_.front().run_, {}, 50, {} };
  }
  EndedRun EndOfFirstRun(RunEnd aEnd) const
  {
    return { 1, starts_.front().task_, starts_.front().run_, aEnd, {} };
  }
  /// Number of starts of the task on any worker.
  std::size_t Starts() const { return starts_.size(); }
  std::size_t Stops() const { return stops_; }
  JobPhase Phase() const { return scheduler_->State().FindJob(1)->phase_; }
  MonotonicTime Now() const { return now_; }

private:
  std::vector<RenewLease> TakeRenewals(const std::string& aId)
  {
    std::vector<RenewLease> taken;
    std::erase_if(renewals_, [&](const auto& aRenewal) {
      const bool isOfWorker = aRenewal.target_.id_ == aId;
      if (isOfWorker) {
        taken.push_back(aRenewal);
      }
      return isOfWorker;
    });
    return taken;
  }

  void Exchange()
  {
    for (auto actions = scheduler_->TakeActions(now_); !actions.empty();
         actions = scheduler_->TakeActions(now_)) {
      for (const auto& action : actions) {
        if (const auto* batch = std::get_if<AppendBatch>(&action)) {
          scheduler_->HandleCommit(batch->batch_, now_);
        } else if (const auto* start = std::get_if<StartRun>(&action)) {
          starts_.push_back(*start);
        } else if (const auto* renewal = std::get_if<RenewLease>(&action)) {
          renewals_.push_back(*renewal);
        } else if (std::holds_alternative<StopRun>(action)) {
          ++stops_;
        }
      }
    }
  }

  /// The spare worker runs all that it was told to start.
  void AnswerRenewalsOfSpare()
  {
    WorkerLists lists{ 5000, 1, {}, {}, 0 };
    for (const auto& start : starts_) {
      if (start.target_.id_ == "spare") {
        lists.running_.push_back({ start.task_, start.run_, {}, 50, {} });
      }
    }
    for (const auto& renewal : TakeRenewals("spare")) {
      scheduler_->HandleRenewal(
        renewal, { OrderOutcome::Taken, 5000 }, lists, now_);
    }
  }

  MonotonicTime now_ = kStart;
  std::uint64_t term_ = 1;
  std::uint64_t reports_ = 0;
  RequestToken nextToken_ = 1;
  std::unique_ptr<Scheduler> scheduler_;
  std::vector<StartRun> starts_;
  std::vector<RenewLease> renewals_;
  std::size_t stops_ = 0;
};

} // namespace

// Guards against a task that runs twice (TWICE, issue 57): the next incarnation
// of a worker has taken the start that was meant for the former one, and shows
// the run in its first answer.
TEST_CASE("a run that the next incarnation of its worker shows goes on")
{
  struct Row
  {
    const char* name_;
    OrderOutcome startOutcome_;
    bool changesLeader_;
  };
  const auto row = GENERATE(
    values<Row>({ { "the start was answered", OrderOutcome::Taken, false },
                  { "the start got no answer", OrderOutcome::Unknown, false },
                  { "under a new leader", OrderOutcome::Unknown, true } }));
  INFO(row.name_);
  ReturnedWorker test;
  test.AnswerStart(row.startOutcome_);
  test.LoseRenewalsOf("w");
  if (row.changesLeader_) {
    test.ChangeLeader();
  }
  test.Report("w", 2);
  test.RunFor(Scheduler::kTick);
  test.AnswerRenewalsOf("w", 2, { test.FirstRun() });
  test.RunFor(Millis(1000));
  CHECK(test.Starts() == 1);
  CHECK(test.Stops() == 0);

  test.AnswerRenewalsOf("w", 2, {}, { test.EndOfFirstRun(RunEnd::Done) });
  test.RunFor(Millis(1000));
  CHECK(test.Starts() == 1);
  CHECK(test.Phase() == JobPhase::Completed);
}

// Guards against the opposite: what the next incarnation denies in its first
// answer ended with the former one, and must not wait.
TEST_CASE("a run that the next incarnation denies starts again at once")
{
  const auto outcome = GENERATE(OrderOutcome::Taken, OrderOutcome::Unknown);
  ReturnedWorker test;
  test.AnswerStart(outcome);
  test.LoseRenewalsOf("w");
  test.Report("w", 2);
  test.RunFor(Scheduler::kTick);
  test.AnswerRenewalsOf("w", 2, {});
  CHECK(test.Starts() == 2);
}

// Guards against a task that runs twice (TWICE, issue 57): the next incarnation
// of a worker takes an order that was meant for the former one, whose deadline
// lies far ahead on its own clock, and keeps the run for the longest lease that
// it grants. Then it is cut off.
TEST_CASE("a run starts again only when no incarnation can be running it")
{
  struct Row
  {
    const char* name_;
    OrderOutcome startOutcome_;
    /// The former incarnation has listed the run, so that it ended with it.
    bool isListed_;
    bool changesLeader_;
    bool registers_;
    Millis earliest_;
    Millis latest_;
  };
  const auto unclear = kMaxOrderDelay + kMaxLease;
  const auto row = GENERATE_COPY(values<Row>({
    { "listed", OrderOutcome::Taken, true, false, false, kLease, kMaxLease },
    { "answered", OrderOutcome::Taken, false, false, false, unclear, {} },
    { "unanswered", OrderOutcome::Unknown, false, false, false, unclear, {} },
    { "registered", OrderOutcome::Taken, false, false, true, unclear, {} },
    { "new leader", OrderOutcome::Unknown, false, true, false, unclear, {} },
    { "new leader, registered",
      OrderOutcome::Unknown,
      false,
      true,
      true,
      unclear,
      {} },
  }));
  INFO(row.name_);
  ReturnedWorker test;
  test.AnswerStart(row.startOutcome_);
  if (row.isListed_) {
    test.RunFor(Scheduler::kTick);
    test.AnswerRenewalsOf("w", 1, { test.FirstRun() });
  }
  const auto silentSince = test.Now();
  test.LoseRenewalsOf("w");
  if (row.changesLeader_) {
    test.ChangeLeader();
  }
  if (row.registers_) {
    test.Report("w", 2);
  }
  const auto latest =
    row.latest_ == Millis(0) ? unclear + Millis(2000) : row.latest_;
  while (test.Starts() == 1 && test.Now() - silentSince <= latest) {
    test.LoseRenewalsOf("w");
    test.RunFor(Scheduler::kTick);
  }
  CHECK(test.Starts() == 2);
  CHECK(test.Now() - silentSince >= row.earliest_);
  CHECK(test.Now() - silentSince <= latest);
}

// Guards against a task that runs twice (TWICE, issue 57): an order to the
// former incarnation has left a lease on the next one that is longer than the
// leader's own. It also holds what the leader starts there afterwards.
TEST_CASE("a worker that is back and falls silent may hold a long lease")
{
  const bool changesLeader = GENERATE(false, true);
  ReturnedWorker test;
  test.AnswerStart(OrderOutcome::Taken);
  test.LoseRenewalsOf("w");
  test.Report("w", 2);
  test.RunFor(Scheduler::kTick);
  const auto answeredAt = test.Now();
  test.AnswerRenewalsOf("w", 2, { test.FirstRun() });
  if (changesLeader) {
    test.ChangeLeader();
  }
  while (test.Starts() == 1 && test.Now() - answeredAt < 2 * kMaxLease) {
    test.LoseRenewalsOf("w");
    test.RunFor(Scheduler::kTick);
  }
  CHECK(test.Starts() == 2);
  CHECK(test.Now() - answeredAt >= kMaxLease);
}
