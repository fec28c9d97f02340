#include "workload/demand_meter_base.h"

#include <algorithm>
#include <cmath>

namespace acaciahill {

namespace {

// Window for the current arrival rate: long enough for a handful of large jobs,
// short compared with a turn (see TurnForecast) of several seconds.
constexpr Millis kRateWindow{ 700 };
// Window for the growth estimate: about a third of the rise of a turn.
constexpr Millis kGrowthWindow{ 2500 };
// With fewer arrivals, growth cannot be distinguished from chance.
constexpr std::size_t kMinGrowthArrivals = 8;
// Weight of a new run in the learned run time; the first runs have equal
// weights.
constexpr double kRunWeight = 0.02;
constexpr std::uint64_t kEqualWeightRuns = 20;
// Weight of a new job in the mean number of steps of a chain.
constexpr double kStepsWeight = 0.1;
// Runs after which their mean is more accurate than the customer's estimate,
// which is off by half to nine tenths.
constexpr std::uint64_t kMinKnownRuns = 4;

} // namespace

void
DemandMeter::CountArrival(const std::string& aQueue,
                          std::int64_t aMilliCores,
                          Millis aEstimated,
                          std::size_t aChainSteps,
                          MonotonicTime aNow)
{
  auto& queue = queues_[aQueue];
  queue.chainSteps_ +=
    (static_cast<double>(aChainSteps) - queue.chainSteps_) * kStepsWeight;
  queue.arrivals_.push_back({ aNow, aMilliCores });
  if (queue.runs_ == 0) {
    queue.runMs_ = static_cast<double>(aEstimated.count());
  }
}

bool
DemandMeter::CountRun(const std::string& aQueue, Millis aTook)
{
  auto& queue = queues_[aQueue];
  ++queue.runs_;
  const auto weight = queue.runs_ < kEqualWeightRuns
                        ? 1.0 / static_cast<double>(queue.runs_)
                        : kRunWeight;
  const auto difference = static_cast<double>(aTook.count()) - queue.runMs_;
  queue.runMs_ += difference * weight;
  queue.runVariance_ =
    (1 - weight) * (queue.runVariance_ + weight * difference * difference);
  return queue.runs_ == kMinKnownRuns;
}

std::int64_t
DemandMeter::MilliCores(const std::string& aQueue, MonotonicTime aNow)
{
  auto& queue = queues_[aQueue];
  auto& arrivals = queue.arrivals_;
  while (!arrivals.empty() && arrivals.front().at_ <= aNow - kGrowthWindow) {
    arrivals.pop_front();
  }
  std::int64_t arrived = 0;
  for (const auto& arrival : arrivals) {
    arrived += arrival.at_ > aNow - kRateWindow ? arrival.milliCores_ : 0;
  }
  return static_cast<std::int64_t>(static_cast<double>(arrived) * queue.runMs_ /
                                   static_cast<double>(kRateWindow.count()));
}

// Least-squares fit of an arrival rate that changes linearly over the window.
std::int64_t
DemandMeter::Growth(const std::string& aQueue,
                    Millis aWithin,
                    MonotonicTime aNow)
{
  constexpr double kSlopeFactor = 12;
  const auto& queue = queues_[aQueue];
  if (queue.arrivals_.size() < kMinGrowthArrivals) {
    return 0;
  }
  const auto window = static_cast<double>(kGrowthWindow.count());
  double moment = 0;
  for (const auto& arrival : queue.arrivals_) {
    const auto age = static_cast<double>((aNow - arrival.at_).count());
    moment += static_cast<double>(arrival.milliCores_) * (window / 2 - age);
  }
  const auto slope = kSlopeFactor * moment / (window * window * window);
  const auto grown =
    slope * static_cast<double>(aWithin.count()) * queue.runMs_;
  return std::max<std::int64_t>(0, static_cast<std::int64_t>(grown));
}

Millis
DemandMeter::RunTime(const std::string& aQueue) const
{
  const auto found = queues_.find(aQueue);
  return found == queues_.end()
           ? Millis(0)
           : Millis(static_cast<std::int64_t>(found->second.runMs_));
}

Millis
DemandMeter::ChainTime(const std::string& aQueue) const
{
  const auto found = queues_.find(aQueue);
  return found == queues_.end()
           ? Millis(0)
           : Millis(static_cast<std::int64_t>(found->second.runMs_ *
                                              found->second.chainSteps_));
}

std::optional<double>
DemandMeter::LearnedRunTime(const std::string& aQueue, double aDeviations) const
{
  const auto found = queues_.find(aQueue);
  if (found == queues_.end() || found->second.runs_ < kMinKnownRuns) {
    return std::nullopt;
  }
  return found->second.runMs_ +
         aDeviations * std::sqrt(found->second.runVariance_);
}

std::vector<LearnedQueue>
DemandMeter::Learned() const
{
  std::vector<LearnedQueue> learned;
  for (const auto& [name, queue] : queues_) {
    if (queue.runs_ >= kMinKnownRuns) {
      learned.push_back({ name,
                          queue.runMs_,
                          queue.runVariance_,
                          queue.runs_,
                          queue.chainSteps_ });
    }
  }
  return learned;
}

void
DemandMeter::Restore(const std::vector<LearnedQueue>& aQueues)
{
  for (const auto& learned : aQueues) {
    auto& queue = queues_[learned.queue_];
    queue.runMs_ = learned.meanRunMs_;
    queue.runVariance_ = learned.runVariance_;
    queue.runs_ = learned.runs_;
    queue.chainSteps_ = learned.chainSteps_;
  }
}

} // namespace acaciahill
