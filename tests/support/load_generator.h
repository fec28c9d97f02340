#pragma once

#include "support/history.h"
#include "support/http_func.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace acaciahill::testing {

/// An open-loop load: requests start at times that a seed fixes, whether or not
/// earlier ones were answered.
struct LoadSettings
{
  /// Callers' ports; each request goes to one of them at random.
  std::vector<std::string> entries_;
  std::vector<std::string> pools_;
  int callers_ = 4;
  /// Requests per second over all pools, on average.
  double rate_ = 50;
  Millis duration_{ 5000 };
  std::uint64_t seed_ = 1;
  /// Share of POST requests, and of those the share with an Idempotency-Key, in
  /// percent. The others are GET.
  int postPercent_ = 30;
  int keyedPercent_ = 50;
  /// Sendings of a keyed request that was not answered, each through an entry
  /// chosen anew and with the same key.
  int keyedSendings_ = 3;
  Millis deadline_{ 3000 };
  std::size_t bodyBytes_ = 100;
  /// When it is not 0, the pools take turns of this length: the pool whose turn
  /// it is gets five times its mean rate, the others a twentieth.
  Millis burst_{ 0 };
  /// Requests in flight at most; more start late, which the report counts.
  int threads_ = 128;
  /// Each thread keeps its connections to the entries for further requests.
  bool keepAlive_ = false;
};

/// Sendings by outcome, and the latency of answered ones from their planned
/// start, in ms.
struct LoadReport
{
  std::int64_t sent_ = 0;
  std::int64_t answered_ = 0;
  std::int64_t refused_ = 0;
  std::int64_t unknown_ = 0;
  /// Answered after their deadline.
  std::int64_t late_ = 0;
  /// Started over 50 ms after their time, as all threads were in use.
  std::int64_t delayed_ = 0;
  /// Sent on a connection that had carried another request.
  std::int64_t reused_ = 0;
  double p50Ms_ = 0;
  double p90Ms_ = 0;
  double p99Ms_ = 0;
  double maxMs_ = 0;

  bool operator==(const LoadReport&) const = default;
};

nlohmann::json
ToJson(const LoadReport& aReport);

/// A request of the plan.
struct PlannedRequest
{
  std::uint64_t atNs_ = 0;
  std::string caller_;
  std::string pool_;
  std::string method_;
  std::string key_;
  std::string body_;
  /// Entries for the first sending and its resends.
  std::vector<std::string> entries_;

  bool operator==(const PlannedRequest&) const = default;
};

/// The requests of a load in the order of their times, which count from 0. The
/// same settings give the same plan.
std::vector<PlannedRequest>
PlanLoad(const LoadSettings& aSettings);

/// Sends one request through an entry and returns what its caller saw. Without
/// a caller that keeps connections, it opens one.
Operation
SendPlanned(const PlannedRequest& aRequest,
            const std::string& aEntry,
            const std::string& aNonce,
            Millis aDeadline,
            HttpCaller* aCaller = nullptr);

/// Carries out a load and records each sending.
LoadReport
RunLoad(const LoadSettings& aSettings, HistoryRecorder& aRecorder);

} // namespace acaciahill::testing
