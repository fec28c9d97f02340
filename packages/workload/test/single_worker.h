#pragma once

#include "workload/test/scheduler_jobs.h"

#include <algorithm>
#include <vector>

/// Steps of tests that exchange single messages between a scheduler and one
/// worker "w" of the pool "p", at a fixed time.
namespace acaciahill::test {

inline constexpr MonotonicTime kStart{ Millis(100000) };

/// A report of the incarnation that started at that time.
inline WorkerReport
ReportOf(std::uint64_t aProcessStartMs, std::uint64_t aSequence)
{
  WorkerReport report;
  report.worker_.id_ = "w";
  report.worker_.pool_ = "p";
  report.worker_.address_ = "10.0.0.1:80";
  report.worker_.capacity_ = { 4000, 4000, 0 };
  report.worker_.processStartMs_ = aProcessStartMs;
  report.sequence_ = aSequence;
  report.clockMs_ = 5000;
  return report;
}

/// Commits all batches and returns the other actions.
inline std::vector<SchedulerAction>
TakeCommitted(Scheduler& aScheduler)
{
  std::vector<SchedulerAction> others;
  for (auto actions = aScheduler.TakeActions(kStart); !actions.empty();
       actions = aScheduler.TakeActions(kStart)) {
    for (auto& action : actions) {
      if (const auto* batch = std::get_if<AppendBatch>(&action)) {
        aScheduler.HandleCommit(batch->batch_, kStart);
      } else {
        others.push_back(std::move(action));
      }
    }
  }
  return others;
}

/// The first action of a type; null when there is none.
template<typename Action>
const Action*
Find(const std::vector<SchedulerAction>& aActions)
{
  const auto found =
    std::find_if(aActions.begin(), aActions.end(), [](const auto& aAction) {
      return std::holds_alternative<Action>(aAction);
    });
  return found == aActions.end() ? nullptr : std::get_if<Action>(&*found);
}

/// The worker, whose clock is 5000, carries out all starts in aActions.
inline void
AnswerStarts(Scheduler& aScheduler,
             const std::vector<SchedulerAction>& aActions)
{
  for (const auto& action : aActions) {
    if (const auto* start = std::get_if<StartRun>(&action)) {
      aScheduler.HandleStart(*start, { OrderOutcome::Taken, 5000 }, kStart);
    }
  }
}

/// Answers the first renewal in aActions with empty lists of the incarnation.
inline void
ConfirmWorker(Scheduler& aScheduler,
              const std::vector<SchedulerAction>& aActions,
              std::uint64_t aProcessStartMs)
{
  const auto* renewal = Find<RenewLease>(aActions);
  REQUIRE(renewal != nullptr);
  aScheduler.HandleRenewal(*renewal,
                           { OrderOutcome::Taken, 5000 },
                           WorkerLists{ 5000, aProcessStartMs, {}, {}, 0 },
                           kStart);
}

} // namespace acaciahill::test
