#include "workload/test/single_worker.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>

using namespace acaciahill;
using namespace acaciahill::test;

namespace {

constexpr Millis kLease{ 4000 };
constexpr Millis kMaxLease{ 10000 };
constexpr Millis kMaxOrderDelay{ 12000 };
// Clocks of the worker: long before and just after its restart.
constexpr std::int64_t kOldClockMs = 5000;
constexpr std::int64_t kNewClockMs = 20;
constexpr std::int64_t kOtherClockMs = 900000;

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

  /// The clock in the answer tells which incarnation has carried out the order.
  void AnswerStart(OrderOutcome aOutcome, std::int64_t aClockMs)
  {
    scheduler_->HandleStart(starts_.front(), { aOutcome, aClockMs }, now_);
    Exchange();
  }

  /// An earlier renewal is answered only now.
  void AnswerLate(const RenewLease& aRenewal,
                  std::uint64_t aProcessStartMs,
                  const std::vector<RunningTask>& aRunning)
  {
    scheduler_->HandleRenewal(
      aRenewal,
      { OrderOutcome::Taken, 5000 },
      WorkerLists{ 5000, aProcessStartMs, aRunning, {}, 0 },
      now_);
    Exchange();
  }
  RenewLease TakeRenewal(const std::string& aId)
  {
    const auto taken = TakeRenewals(aId);
    REQUIRE_FALSE(taken.empty());
    return taken.front();
  }
  void Leave(const std::string& aId, std::uint64_t aProcessStartMs)
  {
    scheduler_->RemoveWorker(nextToken_++, aId, aProcessStartMs, now_);
    Exchange();
  }
  /// Another job, which advances the logical time of the state.
  void SubmitJob(JobId aJob)
  {
    auto spec = OneStepJob(aJob);
    spec.steps_[0].tasks_ = 1;
    scheduler_->SubmitJob(nextToken_++, spec, now_);
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
  std::size_t Starts() const
  {
    return static_cast<std::size_t>(
      std::count_if(starts_.begin(), starts_.end(), [](const auto& aStart) {
        return aStart.task_.job_ == 1;
      }));
  }
  std::size_t Stops() const { return stops_; }
  std::size_t Orders() const { return starts_.size() + stops_; }
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
  test.AnswerStart(row.startOutcome_, kNewClockMs);
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
  test.AnswerStart(outcome, kNewClockMs);
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
    std::int64_t answerClockMs_;
    /// The former incarnation has listed the run, so that it ended with it.
    bool isListed_;
    bool changesLeader_;
    bool registers_;
    Millis earliest_;
    Millis latest_;
  };
  constexpr auto kTaken = OrderOutcome::Taken;
  constexpr auto kUnknown = OrderOutcome::Unknown;
  constexpr auto kUnbound = kMaxOrderDelay + kMaxLease;
  constexpr auto kLatest = kUnbound + Millis(2000);
  const auto row = GENERATE_COPY(values<Row>({
    { "listed", kTaken, kOldClockMs, true, false, false, kLease, kMaxLease },
    { "answered", kTaken, kOldClockMs, false, false, false, kLease, kMaxLease },
    { "answered by the next incarnation",
      kTaken,
      kNewClockMs,
      false,
      false,
      false,
      kUnbound,
      kLatest },
    { "answered by the next incarnation, another clock",
      kTaken,
      kOtherClockMs,
      false,
      false,
      false,
      kUnbound,
      kLatest },
    { "unanswered", kUnknown, 0, false, false, false, kUnbound, kLatest },
    { "next incarnation registers",
      kTaken,
      kNewClockMs,
      false,
      false,
      true,
      kUnbound,
      kLatest },
    { "new leader", kUnknown, 0, false, true, false, kUnbound, kLatest },
    { "new leader, next incarnation registers",
      kUnknown,
      0,
      false,
      true,
      true,
      kUnbound,
      kLatest },
  }));
  INFO(row.name_);
  ReturnedWorker test;
  test.AnswerStart(row.startOutcome_, row.answerClockMs_);
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
  while (test.Starts() == 1 && test.Now() - silentSince <= row.latest_) {
    test.LoseRenewalsOf("w");
    test.RunFor(Scheduler::kTick);
  }
  CHECK(test.Starts() == 2);
  CHECK(test.Now() - silentSince >= row.earliest_);
  CHECK(test.Now() - silentSince <= row.latest_);
}

// Guards against a task that runs twice (TWICE, issue 57): an order to the
// former incarnation has left a lease on the next one that is longer than the
// leader's own. It also holds what the leader starts there afterwards.
TEST_CASE("a worker that is back and falls silent may hold a long lease")
{
  const bool changesLeader = GENERATE(false, true);
  ReturnedWorker test;
  test.AnswerStart(OrderOutcome::Taken, kNewClockMs);
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

// Guards against a run that is never closed, and against tasks that are
// assigned and rejected without end: an answer of the former incarnation that
// arrives after its end made the leader take that one for a worker that
// answers.
TEST_CASE("a late answer of an ended incarnation does not revive it")
{
  struct Row
  {
    const char* name_;
    /// It leaves; else the next incarnation registers.
    bool leaves_;
    bool showsRun_;
  };
  const auto row = GENERATE(values<Row>({
    { "next incarnation registers, run shown", false, true },
    { "next incarnation registers, run not shown", false, false },
    { "left, run shown", true, true },
    { "left, run not shown", true, false },
  }));
  INFO(row.name_);
  ReturnedWorker test;
  test.AnswerStart(OrderOutcome::Taken, kNewClockMs);
  const auto late = test.TakeRenewal("w");
  if (row.leaves_) {
    test.Leave("w", 1);
  } else {
    test.Report("w", 2);
  }
  test.RunFor(Scheduler::kTick);
  std::vector<RunningTask> shown;
  if (row.showsRun_) {
    shown.push_back(test.FirstRun());
  }
  test.AnswerLate(late, 1, shown);
  test.SubmitJob(2);
  test.RunFor(kMaxOrderDelay + kMaxLease + Millis(2000));
  CHECK(test.Starts() == 2);
  CHECK(test.Orders() <= 4);
}

// Guards against a task that runs twice: an order that is no longer on its way
// may have been carried out late, and its run may be at work when the leader
// changes.
TEST_CASE("a run that was started late outlives a change of leader")
{
  ReturnedWorker test;
  test.AnswerStart(OrderOutcome::Unknown, 0);
  test.LoseRenewalsOf("w");
  const auto silentSince = test.Now();
  while (test.Now() - silentSince < kMaxOrderDelay + Millis(200)) {
    test.LoseRenewalsOf("w");
    test.RunFor(Scheduler::kTick);
  }
  test.SubmitJob(2);
  test.ChangeLeader();
  while (test.Starts() == 1 &&
         test.Now() - silentSince < 3 * (kMaxOrderDelay + kMaxLease)) {
    test.LoseRenewalsOf("w");
    test.RunFor(Scheduler::kTick);
  }
  CHECK(test.Starts() == 2);
  CHECK(test.Now() - silentSince >= kMaxOrderDelay + kMaxLease);
}

// Guards against a worker that is shut out: the time of day was set back, so
// that its new process seems to have started before the former one.
TEST_CASE("a worker whose process seems to start earlier registers")
{
  ReturnedWorker test;
  test.AnswerStart(OrderOutcome::Taken, kNewClockMs);
  test.AnswerRenewalsOf("w", 0, { test.FirstRun() });
  test.Report("w", 0);
  test.RunFor(Scheduler::kTick);
  test.AnswerRenewalsOf("w", 0, { test.FirstRun() });
  test.RunFor(Millis(1000));
  CHECK(test.Starts() == 1);
  CHECK(test.Stops() == 0);
}
