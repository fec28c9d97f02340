#include "support/history.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace acaciahill::testing {

namespace {

using nlohmann::json;

constexpr std::uint64_t kNsPerMs = 1000UL * 1000;

std::uint64_t
ToNs(Millis aTime)
{
  return static_cast<std::uint64_t>(aTime.count()) * kNsPerMs;
}

/// Runs by the nonce of their request.
std::multimap<std::string, ExecutedRun>
ByNonce(const std::vector<ExecutedRun>& aRuns)
{
  std::multimap<std::string, ExecutedRun> byNonce;
  for (const auto& run : aRuns) {
    if (!run.nonce_.empty()) {
      byNonce.emplace(run.nonce_, run);
    }
  }
  return byNonce;
}

std::string
NameOf(const Operation& aOperation)
{
  return aOperation.method_ + " " + aOperation.nonce_ + " of " +
         aOperation.caller_ + " through " + aOperation.entry_;
}

std::string
NameOf(const ExecutedRun& aRun)
{
  return aRun.nonce_ + " on " + aRun.vm_ + " incarnation " +
         std::to_string(aRun.incarnation_) + " at " +
         std::to_string(aRun.beginNs_);
}

bool
Covers(const UnavailablePeriod& aPeriod, std::uint64_t aMoment)
{
  return aPeriod.fromNs_ <= aMoment &&
         (!aPeriod.untilNs_ || *aPeriod.untilNs_ > aMoment);
}

template<typename Seen>
std::vector<Seen>
InOrder(std::vector<Seen> aSeen)
{
  std::stable_sort(
    aSeen.begin(), aSeen.end(), [](const Seen& aLeft, const Seen& aRight) {
      return aLeft.atNs_ < aRight.atNs_;
    });
  return aSeen;
}

} // namespace

nlohmann::json
ToJson(const Operation& aOperation)
{
  return { { "caller", aOperation.caller_ },
           { "entry", aOperation.entry_ },
           { "pool", aOperation.pool_ },
           { "method", aOperation.method_ },
           { "key", aOperation.key_ },
           { "repeatable", aOperation.repeatable_ },
           { "nonce", aOperation.nonce_ },
           { "checksum", aOperation.checksum_ },
           { "begin_ns", aOperation.beginNs_ },
           { "end_ns", aOperation.endNs_ },
           { "outcome", aOperation.outcome_ },
           { "status", aOperation.status_ },
           { "answer_nonce", aOperation.answerNonce_ },
           { "answer_checksum", aOperation.answerChecksum_ },
           { "detail", aOperation.detail_ } };
}

Operation
OperationFromJson(const nlohmann::json& aJson)
{
  const auto text = [&](const char* aName) {
    return aJson.value(aName, std::string());
  };
  Operation operation;
  operation.caller_ = text("caller");
  operation.entry_ = text("entry");
  operation.pool_ = text("pool");
  operation.method_ = text("method");
  operation.key_ = text("key");
  operation.repeatable_ = aJson.value("repeatable", false);
  operation.nonce_ = text("nonce");
  operation.checksum_ = text("checksum");
  operation.beginNs_ = aJson.value("begin_ns", std::uint64_t{ 0 });
  operation.endNs_ = aJson.value("end_ns", std::uint64_t{ 0 });
  operation.outcome_ = text("outcome");
  operation.status_ = aJson.value("status", 0);
  operation.answerNonce_ = text("answer_nonce");
  operation.answerChecksum_ = text("answer_checksum");
  operation.detail_ = text("detail");
  return operation;
}

HistoryRecorder::HistoryRecorder(const std::string& aPath)
  : journal_(aPath)
{
}

void
HistoryRecorder::Add(const Operation& aOperation)
{
  journal_.Write(ToJson(aOperation));
  const std::lock_guard lock(mutex_);
  operations_.push_back(aOperation);
}

std::vector<Operation>
HistoryRecorder::Operations() const
{
  const std::lock_guard lock(mutex_);
  return operations_;
}

std::vector<Operation>
ReadHistory(const std::string& aPath)
{
  std::vector<Operation> operations;
  for (const auto& line : ReadJsonLines(aPath)) {
    operations.push_back(OperationFromJson(line));
  }
  return operations;
}

std::vector<ExecutedRun>
ReadRuns(const std::string& aPath)
{
  // A target process that was started again counts its runs from 1 again; the
  // begin time keeps them apart.
  std::map<std::tuple<std::uint64_t, std::uint64_t>, std::size_t> positions;
  std::vector<ExecutedRun> runs;
  for (const auto& line : ReadJsonLines(aPath)) {
    ExecutedRun run;
    run.vm_ = line.value("id", std::string());
    run.incarnation_ = line.value("incarnation", std::uint64_t{ 0 });
    run.nonce_ = line.value("nonce", std::string());
    run.method_ = line.value("method", std::string());
    run.path_ = line.value("path", std::string());
    run.key_ = line.value("key", std::string());
    run.epoch_ = line.value("epoch", std::uint64_t{ 0 });
    run.pool_ = line.value("pool", std::string());
    run.beginNs_ = line.value("begin_ns", std::uint64_t{ 0 });
    if (line.contains("end_ns")) {
      run.endNs_ = line["end_ns"].get<std::uint64_t>();
    }
    run.interrupted_ = line.value("interrupted", false);
    const auto key =
      std::make_tuple(line.value("run", std::uint64_t{ 0 }), run.beginNs_);
    const auto [position, isNew] = positions.emplace(key, runs.size());
    if (isNew) {
      runs.push_back(run);
    } else {
      runs[position->second] = run;
    }
  }
  return runs;
}

std::vector<PlannedStop>
ReadStops(const std::string& aPath)
{
  std::vector<PlannedStop> stops;
  for (const auto& line : ReadJsonLines(aPath)) {
    if (line.value("stopped", false)) {
      stops.push_back({ line.value("vm", std::string()),
                        line.value("operation", std::string()),
                        line.value("at_ns", std::uint64_t{ 0 }),
                        line.value("in_flight", std::int64_t{ 0 }) });
    }
  }
  return stops;
}

std::string
Describe(const Violations& aViolations)
{
  std::string text;
  for (const auto& violation : aViolations) {
    text += violation.promise_ + ": " + violation.text_ + "\n";
  }
  return text;
}

Violations
CheckOwnAnswers(const std::vector<Operation>& aOperations)
{
  using KeyOfCaller = std::pair<std::string, std::string>;
  std::map<KeyOfCaller, std::map<std::string, Operation>> sendings;
  for (const auto& operation : aOperations) {
    if (!operation.key_.empty()) {
      sendings[{ operation.caller_, operation.key_ }].emplace(operation.nonce_,
                                                              operation);
    }
  }
  Violations found;
  for (const auto& operation : aOperations) {
    if (operation.outcome_ != "answered") {
      continue;
    }
    auto checksum = operation.checksum_;
    bool isOwn = operation.answerNonce_ == operation.nonce_;
    if (!isOwn && !operation.key_.empty()) {
      const auto& same = sendings[{ operation.caller_, operation.key_ }];
      const auto earlier = same.find(operation.answerNonce_);
      isOwn =
        earlier != same.end() && earlier->second.beginNs_ <= operation.endNs_;
      checksum = isOwn ? earlier->second.checksum_ : checksum;
    }
    if (!isOwn) {
      found.push_back(
        { "own answer",
          NameOf(operation) + " got the answer of " + operation.answerNonce_ });
    } else if (operation.answerChecksum_ != checksum) {
      found.push_back({ "own answer",
                        NameOf(operation) + " got checksum " +
                          operation.answerChecksum_ + " instead of " +
                          checksum });
    }
  }
  return found;
}

Violations
CheckNotRun(const std::vector<Operation>& aOperations,
            const std::vector<ExecutedRun>& aRuns)
{
  const auto runs = ByNonce(aRuns);
  Violations found;
  for (const auto& operation : aOperations) {
    const bool mustNotRun =
      operation.outcome_ == "not-run" || operation.outcome_ == "refused";
    const auto run = runs.find(operation.nonce_);
    if (mustNotRun && run != runs.end()) {
      found.push_back({ "not run",
                        NameOf(operation) + " was refused (" +
                          operation.detail_ + ") and ran as " +
                          NameOf(run->second) });
    }
    if (operation.outcome_ == "answered" &&
        runs.count(operation.answerNonce_) == 0) {
      found.push_back(
        { "not run", NameOf(operation) + " was answered and never ran" });
    }
  }
  return found;
}

Violations
CheckAtMostOnce(const std::vector<Operation>& aOperations,
                const std::vector<ExecutedRun>& aRuns)
{
  const auto runs = ByNonce(aRuns);
  using KeyOfCaller = std::tuple<std::string, std::string, std::string>;
  std::map<KeyOfCaller, std::size_t> byKey;
  Violations found;
  for (const auto& operation : aOperations) {
    const auto count = runs.count(operation.nonce_);
    if (count > 1 && !operation.repeatable_) {
      found.push_back(
        { "at most once",
          NameOf(operation) + " ran " + std::to_string(count) + " times" });
    }
    if (!operation.key_.empty()) {
      byKey[{ operation.pool_, operation.caller_, operation.key_ }] += count;
    }
  }
  for (const auto& [key, count] : byKey) {
    if (count > 1) {
      found.push_back({ "at most once",
                        "Idempotency-Key " + std::get<2>(key) + " of " +
                          std::get<1>(key) + " ran " + std::to_string(count) +
                          " times" });
    }
  }
  return found;
}

Violations
CheckNoNewWork(const std::vector<ExecutedRun>& aRuns,
               const std::vector<DrainPeriod>& aDrains,
               Millis aLimit)
{
  Violations found;
  for (const auto& drain : aDrains) {
    const auto latest = drain.acceptedNs_ + ToNs(aLimit);
    for (const auto& run : aRuns) {
      if (run.vm_ == drain.vm_ && run.beginNs_ > latest &&
          (!drain.endedNs_ || run.beginNs_ < *drain.endedNs_)) {
        found.push_back(
          { "no new work",
            NameOf(run) + " began " +
              std::to_string((run.beginNs_ - drain.acceptedNs_) / kNsPerMs) +
              " ms after the drain was accepted" });
      }
    }
  }
  return found;
}

std::vector<AssignmentSeen>
AssignmentsOf(const std::vector<ExecutedRun>& aRuns)
{
  std::vector<AssignmentSeen> seen;
  seen.reserve(aRuns.size());
  for (const auto& run : aRuns) {
    seen.push_back({ run.vm_ + "#" + std::to_string(run.incarnation_),
                     run.beginNs_,
                     run.vm_,
                     run.epoch_,
                     run.pool_ });
  }
  return seen;
}

Violations
CheckOnePool(const std::vector<AssignmentSeen>& aSeen,
             const std::vector<ExecutedRun>& aRuns,
             const std::vector<Operation>& aOperations)
{
  Violations found;
  std::map<std::string, std::string> asked;
  for (const auto& operation : aOperations) {
    asked.emplace(operation.nonce_, operation.pool_);
  }
  std::map<std::pair<std::string, std::uint64_t>, AssignmentSeen> pools;
  std::map<std::pair<std::string, std::string>, std::uint64_t> epochs;
  for (const auto& seen : InOrder(aSeen)) {
    const auto [first, isNew] =
      pools.try_emplace({ seen.vm_, seen.epoch_ }, seen);
    if (!isNew && first->second.pool_ != seen.pool_) {
      found.push_back({ "one pool",
                        seen.vm_ + " epoch " + std::to_string(seen.epoch_) +
                          " is in " + first->second.pool_ + " for " +
                          first->second.observer_ + " and in " + seen.pool_ +
                          " for " + seen.observer_ });
    }
    auto& last = epochs[{ seen.observer_, seen.vm_ }];
    if (seen.epoch_ < last) {
      found.push_back({ "one pool",
                        seen.observer_ + " saw " + seen.vm_ +
                          " go back from epoch " + std::to_string(last) +
                          " to " + std::to_string(seen.epoch_) });
    }
    last = std::max(last, seen.epoch_);
  }
  const std::string prefix = "/pools/";
  for (const auto& run : aRuns) {
    const auto check = [&](const std::string& aPool) {
      if (aPool != run.pool_) {
        found.push_back({ "one pool",
                          NameOf(run) + " for pool " + aPool +
                            " ran while the VM was in " + run.pool_ });
      }
    };
    const auto operation = asked.find(run.nonce_);
    if (operation != asked.end() && !run.pool_.empty()) {
      check(operation->second);
    }
    // The path names the pool when the entry node passes it on as it came.
    if (run.path_.rfind(prefix, 0) == 0) {
      const auto rest = run.path_.substr(prefix.size());
      check(rest.substr(0, rest.find_first_of("/?")));
    }
  }
  return found;
}

Violations
CheckTableVersions(const std::vector<TableSeen>& aSeen,
                   const std::vector<TableAccepted>& aAccepted,
                   Millis aLimit)
{
  Violations found;
  std::map<std::string, std::uint64_t> versions;
  std::map<std::uint64_t, std::string> contents;
  for (const auto& seen : InOrder(aSeen)) {
    auto& last = versions[seen.observer_];
    if (seen.version_ < last) {
      found.push_back({ "table",
                        seen.observer_ + " went back from version " +
                          std::to_string(last) + " to " +
                          std::to_string(seen.version_) });
    }
    last = std::max(last, seen.version_);
    if (!seen.content_.empty()) {
      const auto [first, isNew] =
        contents.try_emplace(seen.version_, seen.content_);
      if (!isNew && first->second != seen.content_) {
        found.push_back({ "table",
                          "version " + std::to_string(seen.version_) +
                            " has two contents; one was seen by " +
                            seen.observer_ });
      }
    }
    for (const auto& accepted : aAccepted) {
      if (seen.atNs_ > accepted.atNs_ + ToNs(aLimit) &&
          seen.version_ < accepted.version_) {
        found.push_back(
          { "table",
            seen.observer_ + " was at version " +
              std::to_string(seen.version_) + " " +
              std::to_string((seen.atNs_ - accepted.atNs_) / kNsPerMs) +
              " ms after version " + std::to_string(accepted.version_) +
              " was accepted" });
      }
    }
  }
  return found;
}

Violations
CheckBudgets(const std::vector<UnavailablePeriod>& aPeriods,
             const std::vector<PoolBudget>& aBudgets)
{
  Violations found;
  for (const auto& planned : aPeriods) {
    const auto budget = std::find_if(
      aBudgets.begin(), aBudgets.end(), [&](const PoolBudget& aBudget) {
        return aBudget.pool_ == planned.pool_;
      });
    if (!planned.planned_ || budget == aBudgets.end()) {
      continue;
    }
    std::set<std::string> away;
    for (const auto& period : aPeriods) {
      if (period.pool_ == planned.pool_ && Covers(period, planned.fromNs_)) {
        away.insert(period.vm_);
      }
    }
    const auto count = static_cast<std::int64_t>(away.size());
    if (count > budget->maxUnavailable_ ||
        budget->vms_ - count < budget->minAvailable_) {
      found.push_back(
        { "budget",
          "with " + planned.vm_ + " pool " + planned.pool_ + " has " +
            std::to_string(count) + " of " + std::to_string(budget->vms_) +
            " VMs unavailable at " + std::to_string(planned.fromNs_) });
    }
  }
  return found;
}

Violations
CheckGracefulStops(const std::vector<PlannedStop>& aStops,
                   const std::vector<ExecutedRun>& aRuns)
{
  Violations found;
  for (const auto& stop : aStops) {
    if (stop.inFlight_ != 0) {
      found.push_back({ "graceful stop",
                        "operation " + stop.operation_ + " interrupted " +
                          std::to_string(stop.inFlight_) + " requests on " +
                          stop.vm_ });
    }
    for (const auto& run : aRuns) {
      const bool overlaps =
        run.beginNs_ < stop.atNs_ && (!run.endNs_ || *run.endNs_ > stop.atNs_);
      if (run.vm_ == stop.vm_ && overlaps) {
        found.push_back(
          { "graceful stop",
            NameOf(run) + " was in work at operation " + stop.operation_ });
      }
    }
  }
  return found;
}

} // namespace acaciahill::testing
