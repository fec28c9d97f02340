#include "workload/scheduler_base.h"

#include <algorithm>

// Pace of filler tasks.

namespace acaciahill {

namespace {

// Pace of filler tasks: halved when a tail latency on their worker exceeds the
// high share of its target, raised slowly when all are below the low share.
constexpr double kHighLatencyShare = 0.85;
constexpr double kLowLatencyShare = 0.6;
constexpr std::int64_t kPaceStepPercent = 10;
constexpr std::int64_t kFullPacePercent = 100;
// Gauges cover the last half second and must reflect a new pace first.
constexpr Millis kPaceInterval{ 600 };

} // namespace

void
Scheduler::HandlePace(const PaceRun& aOrder,
                      const OrderAnswer& aAnswer,
                      MonotonicTime aNow)
{
  if (HandleCommonOutcome(aOrder.target_, aAnswer, aNow)) {
    return;
  }
  auto* run = FindRun(aOrder.target_.worker_, aOrder.task_, aOrder.run_);
  if (run != nullptr && aAnswer.outcome_ != OrderOutcome::Taken) {
    // The new pace may not be in force; the next renewal decides again.
    run->pace_ = kFullPacePercent;
  }
}

void
Scheduler::PaceFillingRuns(std::uint32_t aWorker, MonotonicTime aNow)
{
  auto& view = views_.at(aWorker);
  double highestShare = 0;
  for (const auto& [task, run] : view.runs_) {
    if (run.targetMs_ > 0 && run.gauge_) {
      highestShare = std::max(highestShare,
                              static_cast<double>(*run.gauge_) /
                                static_cast<double>(run.targetMs_));
    }
  }
  if (aNow - view.paceChangedAt_ < kPaceInterval) {
    return;
  }
  for (auto& [task, run] : view.runs_) {
    if (!run.usesSpareCores_ || run.phase_ != RunPhase::Running ||
        run.stopRequested_) {
      continue;
    }
    auto pace = run.pace_;
    if (highestShare > kHighLatencyShare) {
      pace = pace > kPaceStepPercent ? pace / 2 : 0;
    } else if (highestShare < kLowLatencyShare) {
      pace = std::min(kFullPacePercent, pace + kPaceStepPercent);
    }
    if (pace != run.pace_) {
      run.pace_ = pace;
      view.paceChangedAt_ = aNow;
      actions_.emplace_back(
        PaceRun{ MakeTarget(aWorker, aNow), task, run.run_, pace });
    }
  }
}

} // namespace acaciahill
