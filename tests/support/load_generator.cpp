#include "support/load_generator.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <mutex>
#include <thread>

namespace acaciahill::testing {

namespace {

using nlohmann::json;

constexpr std::uint64_t kNsPerMs = 1000UL * 1000;
constexpr double kNsPerSecond = 1e9;
constexpr std::uint64_t kDelayedNs = 50 * kNsPerMs;
/// A caller waits this much longer than its deadline for the entry's answer.
constexpr Millis kAnswerMargin{ 2000 };
constexpr double kBurstFactor = 5;
constexpr double kQuietFactor = 0.05;
/// Wait before a keyed request is sent again.
constexpr Millis kResendWait{ 200 };

template<typename T>
const T&
Pick(const std::vector<T>& aItems, std::mt19937_64& aRandom)
{
  std::uniform_int_distribution<std::size_t> index(0, aItems.size() - 1);
  return aItems[index(aRandom)];
}

bool
Chance(int aPercent, std::mt19937_64& aRandom)
{
  return std::uniform_int_distribution<int>(0, 99)(aRandom) < aPercent;
}

/// Share of its mean rate that a pool gets at a time.
double
RateFactor(const LoadSettings& aSettings,
           std::size_t aPool,
           std::uint64_t aAtNs)
{
  if (aSettings.burst_.count() == 0) {
    return 1;
  }
  const auto turn =
    aAtNs / (static_cast<std::uint64_t>(aSettings.burst_.count()) * kNsPerMs);
  return turn % aSettings.pools_.size() == aPool ? kBurstFactor : kQuietFactor;
}

/// Times of a pool's requests: a Poisson process at the highest rate, thinned
/// to the rate of each moment.
std::vector<std::uint64_t>
ArrivalTimes(const LoadSettings& aSettings,
             std::size_t aPool,
             std::mt19937_64& aRandom)
{
  const double highest = aSettings.burst_.count() == 0 ? 1 : kBurstFactor;
  const double rate =
    aSettings.rate_ / static_cast<double>(aSettings.pools_.size());
  const auto end =
    static_cast<std::uint64_t>(aSettings.duration_.count()) * kNsPerMs;
  std::exponential_distribution<double> gap(rate * highest);
  std::uniform_real_distribution<double> share(0, 1);
  std::vector<std::uint64_t> times;
  double at = 0;
  while (true) {
    at += gap(aRandom) * kNsPerSecond;
    const auto atNs = static_cast<std::uint64_t>(at);
    if (atNs >= end) {
      return times;
    }
    if (share(aRandom) * highest < RateFactor(aSettings, aPool, atNs)) {
      times.push_back(atNs);
    }
  }
}

PlannedRequest
PlanOne(const LoadSettings& aSettings,
        std::size_t aPool,
        std::uint64_t aAtNs,
        std::mt19937_64& aRandom)
{
  PlannedRequest request;
  request.atNs_ = aAtNs;
  request.pool_ = aSettings.pools_[aPool];
  request.caller_ = "c" + std::to_string(std::uniform_int_distribution<int>(
                            1, aSettings.callers_)(aRandom));
  request.method_ = Chance(aSettings.postPercent_, aRandom) ? "POST" : "GET";
  const bool keyed =
    request.method_ == "POST" && Chance(aSettings.keyedPercent_, aRandom);
  if (keyed) {
    request.key_ = "key-" + std::to_string(aRandom());
  }
  if (request.method_ == "POST") {
    std::uniform_int_distribution<int> letter('a', 'z');
    request.body_.resize(aSettings.bodyBytes_);
    std::generate(request.body_.begin(), request.body_.end(), [&] {
      return static_cast<char>(letter(aRandom));
    });
  }
  const int sendings = keyed ? std::max(1, aSettings.keyedSendings_) : 1;
  for (int i = 0; i < sendings; ++i) {
    request.entries_.push_back(Pick(aSettings.entries_, aRandom));
  }
  return request;
}

/// Sets the outcome of an answer that arrived whole.
void
Classify(const HttpMessage& aAnswer, Operation& aOperation)
{
  aOperation.status_ = aAnswer.status_;
  const auto body = json::parse(aAnswer.body_, nullptr, false);
  const auto text = [&](const char* aName) {
    return body.is_object() ? body.value(aName, std::string()) : std::string();
  };
  aOperation.outcome_ = aAnswer.Header("acaciahill-outcome");
  if (aOperation.outcome_.empty()) {
    aOperation.outcome_ = "answered";
    aOperation.answerNonce_ = text("nonce");
    aOperation.answerChecksum_ = text("checksum");
  } else {
    aOperation.detail_ = text("error");
  }
}

double
Quantile(const std::vector<double>& aSorted, double aShare)
{
  if (aSorted.empty()) {
    return 0;
  }
  const auto last = static_cast<double>(aSorted.size() - 1);
  return aSorted[static_cast<std::size_t>(aShare * last)];
}

/// Carries out a plan with a fixed number of threads.
class Runner
{
public:
  Runner(const LoadSettings& aSettings, HistoryRecorder& aRecorder)
    : settings_(aSettings)
    , recorder_(aRecorder)
    , plan_(PlanLoad(aSettings))
    , startNs_(MonotonicNs())
    , run_(std::to_string(startNs_))
  {
  }

  LoadReport Run()
  {
    std::vector<std::thread> threads;
    const auto count =
      std::min<std::size_t>(static_cast<std::size_t>(settings_.threads_),
                            std::max<std::size_t>(plan_.size(), 1));
    threads.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
      threads.emplace_back([this] { Work(); });
    }
    for (auto& thread : threads) {
      thread.join();
    }
    std::sort(latencies_.begin(), latencies_.end());
    report_.p50Ms_ = Quantile(latencies_, 0.5);
    report_.p90Ms_ = Quantile(latencies_, 0.9);
    report_.p99Ms_ = Quantile(latencies_, 0.99);
    report_.maxMs_ = Quantile(latencies_, 1);
    return report_;
  }

private:
  void Work()
  {
    HttpCaller caller;
    while (true) {
      const auto number = next_++;
      if (number >= plan_.size()) {
        break;
      }
      Carry(plan_[number], number, caller);
    }
    const std::lock_guard lock(mutex_);
    report_.reused_ += caller.Reused();
  }

  void Carry(PlannedRequest aRequest, std::size_t aNumber, HttpCaller& aCaller)
  {
    const auto dueNs = startNs_ + aRequest.atNs_;
    const auto now = MonotonicNs();
    if (now < dueNs) {
      std::this_thread::sleep_for(std::chrono::nanoseconds(dueNs - now));
    } else if (now > dueNs + kDelayedNs) {
      const std::lock_guard lock(mutex_);
      ++report_.delayed_;
    }
    if (!aRequest.key_.empty()) {
      aRequest.key_ += "-" + run_;
    }
    for (std::size_t i = 0; i < aRequest.entries_.size(); ++i) {
      const auto nonce =
        run_ + "-" + std::to_string(aNumber) + "-" + std::to_string(i);
      const auto operation =
        SendPlanned(aRequest,
                    aRequest.entries_[i],
                    nonce,
                    settings_.deadline_,
                    settings_.keepAlive_ ? &aCaller : nullptr);
      recorder_.Add(operation);
      Count(operation, i == 0 ? dueNs : operation.beginNs_);
      if (operation.outcome_ != "not-run" && operation.outcome_ != "unknown") {
        return;
      }
      std::this_thread::sleep_for(kResendWait);
    }
  }

  void Count(const Operation& aOperation, std::uint64_t aDueNs)
  {
    const auto tookMs =
      static_cast<double>(aOperation.endNs_ - aDueNs) / kNsPerMs;
    const std::lock_guard lock(mutex_);
    ++report_.sent_;
    if (aOperation.outcome_ == "answered" || aOperation.outcome_ == "done") {
      ++report_.answered_;
      latencies_.push_back(tookMs);
      report_.late_ +=
        tookMs > static_cast<double>(settings_.deadline_.count()) ? 1 : 0;
    } else if (aOperation.outcome_ == "unknown") {
      ++report_.unknown_;
    } else {
      ++report_.refused_;
    }
  }

  const LoadSettings& settings_;
  HistoryRecorder& recorder_;
  std::vector<PlannedRequest> plan_;
  std::uint64_t startNs_;
  std::string run_;
  std::atomic<std::size_t> next_{ 0 };
  std::mutex mutex_;
  LoadReport report_;
  std::vector<double> latencies_;
};

} // namespace

nlohmann::json
ToJson(const LoadReport& aReport)
{
  return { { "sent", aReport.sent_ },       { "answered", aReport.answered_ },
           { "refused", aReport.refused_ }, { "unknown", aReport.unknown_ },
           { "late", aReport.late_ },       { "delayed", aReport.delayed_ },
           { "reused", aReport.reused_ },   { "p50_ms", aReport.p50Ms_ },
           { "p90_ms", aReport.p90Ms_ },    { "p99_ms", aReport.p99Ms_ },
           { "max_ms", aReport.maxMs_ } };
}

std::vector<PlannedRequest>
PlanLoad(const LoadSettings& aSettings)
{
  std::mt19937_64 random(aSettings.seed_);
  std::vector<PlannedRequest> plan;
  for (std::size_t pool = 0; pool < aSettings.pools_.size(); ++pool) {
    for (const auto atNs : ArrivalTimes(aSettings, pool, random)) {
      plan.push_back(PlanOne(aSettings, pool, atNs, random));
    }
  }
  std::stable_sort(
    plan.begin(),
    plan.end(),
    [](const PlannedRequest& aLeft, const PlannedRequest& aRight) {
      return aLeft.atNs_ < aRight.atNs_;
    });
  return plan;
}

Operation
SendPlanned(const PlannedRequest& aRequest,
            const std::string& aEntry,
            const std::string& aNonce,
            Millis aDeadline,
            HttpCaller* aCaller)
{
  Operation operation;
  operation.caller_ = aRequest.caller_;
  operation.entry_ = aEntry;
  operation.pool_ = aRequest.pool_;
  operation.method_ = aRequest.method_;
  operation.key_ = aRequest.key_;
  operation.repeatable_ = aRequest.method_ != "POST";
  operation.nonce_ = aNonce;
  operation.checksum_ = BodyChecksum(aRequest.body_);

  HttpRequest request{ aRequest.method_,
                       "/pools/" + aRequest.pool_ + "/load",
                       { { "X-Nonce", aNonce },
                         { "Acaciahill-Caller", aRequest.caller_ },
                         { "Acaciahill-Deadline-Ms",
                           std::to_string(aDeadline.count()) } },
                       aRequest.body_ };
  if (!aRequest.key_.empty()) {
    request.headers_.emplace_back("Idempotency-Key", aRequest.key_);
  }
  operation.beginNs_ = MonotonicNs();
  const auto timeout = aDeadline + kAnswerMargin;
  const auto outcome = aCaller != nullptr
                         ? aCaller->Call(aEntry, request, timeout)
                         : HttpCall(aEntry, request, timeout);
  operation.endNs_ = MonotonicNs();
  if (outcome.Answered()) {
    Classify(outcome.answer_, operation);
  } else {
    operation.outcome_ = outcome.sent_ ? "unknown" : "not-run";
    operation.detail_ = std::string(ReadEndName(outcome.end_));
  }
  return operation;
}

LoadReport
RunLoad(const LoadSettings& aSettings, HistoryRecorder& aRecorder)
{
  return Runner(aSettings, aRecorder).Run();
}

} // namespace acaciahill::testing
