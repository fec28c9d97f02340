#pragma once

#include "support/journal.h"

#include "kernel/time_type.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace acaciahill::testing {

/// One request of a caller as the caller saw it. Times are monotonic ns, which
/// all processes of one machine share.
struct Operation
{
  std::string caller_;
  std::string entry_;
  std::string pool_;
  std::string method_;
  /// Idempotency-Key; empty without one.
  std::string key_;
  /// May run more than once: a repeatable method or the header that says so.
  bool repeatable_ = false;
  /// Unique for each sending, also for resends with the same key.
  std::string nonce_;
  /// Checksum of the body that was sent.
  std::string checksum_;
  std::uint64_t beginNs_ = 0;
  std::uint64_t endNs_ = 0;
  /// "answered" (a target's answer), "not-run", "unknown", "refused" (wrong
  /// input), "done" (ran earlier under the same key, answer not kept).
  std::string outcome_;
  int status_ = 0;
  /// Nonce and checksum that the answer's body names.
  std::string answerNonce_;
  std::string answerChecksum_;
  /// Error kind or what went wrong.
  std::string detail_;

  bool operator==(const Operation&) const = default;
};

nlohmann::json
ToJson(const Operation& aOperation);
Operation
OperationFromJson(const nlohmann::json& aJson);

/// Collects operations of concurrent callers and writes them as JSON lines.
class HistoryRecorder
{
public:
  /// An empty path keeps them in memory only.
  explicit HistoryRecorder(const std::string& aPath = "");

  void Add(const Operation& aOperation);
  std::vector<Operation> Operations() const;

private:
  mutable std::mutex mutex_;
  std::vector<Operation> operations_;
  Journal journal_;
};

std::vector<Operation>
ReadHistory(const std::string& aPath);

/// A request that a target began to execute; see FakeTarget's journal.
struct ExecutedRun
{
  std::string vm_;
  std::uint64_t incarnation_ = 0;
  std::string nonce_;
  std::string method_;
  std::string path_;
  std::string key_;
  std::uint64_t epoch_ = 0;
  std::string pool_;
  std::uint64_t beginNs_ = 0;
  /// Absent when the process died during the run.
  std::optional<std::uint64_t> endNs_;
  bool interrupted_ = false;

  bool operator==(const ExecutedRun&) const = default;
};

/// Reads a target's journal; a run with only a begin line is included.
std::vector<ExecutedRun>
ReadRuns(const std::string& aPath);

/// A stop that the platform carried out.
struct PlannedStop
{
  std::string vm_;
  std::string operation_;
  std::uint64_t atNs_ = 0;
  std::int64_t inFlight_ = 0;

  bool operator==(const PlannedStop&) const = default;
};

std::vector<PlannedStop>
ReadStops(const std::string& aPath);

/// A broken promise: its short name, and what was seen.
struct Violation
{
  std::string promise_;
  std::string text_;

  bool operator==(const Violation&) const = default;
};

using Violations = std::vector<Violation>;

/// One line for each violation, for a test's message.
std::string
Describe(const Violations& aViolations);

/// Promise 3: each answer is whole and belongs to the request, or, with an
/// Idempotency-Key, to an earlier sending of the same caller with that key.
Violations
CheckOwnAnswers(const std::vector<Operation>& aOperations);

/// Promise 4: what was refused as not run or as wrong input never ran, and what
/// was answered did run.
Violations
CheckNotRun(const std::vector<Operation>& aOperations,
            const std::vector<ExecutedRun>& aRuns);

/// Promise 5: each not-repeatable sending ran at most once, and so did each
/// Idempotency-Key over all its sendings.
Violations
CheckAtMostOnce(const std::vector<Operation>& aOperations,
                const std::vector<ExecutedRun>& aRuns);

/// A time in which a VM leaves: from the acceptance of the drain until it takes
/// work again (absent: until the end).
struct DrainPeriod
{
  std::string vm_;
  std::uint64_t acceptedNs_ = 0;
  std::optional<std::uint64_t> endedNs_;

  bool operator==(const DrainPeriod&) const = default;
};

/// Promise 6: no run begins on a leaving VM later than aLimit after the drain
/// was accepted.
Violations
CheckNoNewWork(const std::vector<ExecutedRun>& aRuns,
               const std::vector<DrainPeriod>& aDrains,
               Millis aLimit);

/// What an observer saw of a VM's assignment. An observer is one process from
/// start to end.
struct AssignmentSeen
{
  std::string observer_;
  std::uint64_t atNs_ = 0;
  std::string vm_;
  std::uint64_t epoch_ = 0;
  std::string pool_;

  bool operator==(const AssignmentSeen&) const = default;
};

/// The assignments under which runs were executed; the target is the observer.
std::vector<AssignmentSeen>
AssignmentsOf(const std::vector<ExecutedRun>& aRuns);

/// Promise 2: a VM has one pool in each epoch, whoever looks, no observer sees
/// its epoch go back, and no VM runs a request for another pool than its own.
/// The pool of a request is that of its operation, or in the path of the run;
/// entry nodes take it out of the path, so that runs sent through them are
/// judged only with operations. A VM without any pool has just restarted and
/// holds no assignment yet; its runs are not judged by operations.
Violations
CheckOnePool(const std::vector<AssignmentSeen>& aSeen,
             const std::vector<ExecutedRun>& aRuns,
             const std::vector<Operation>& aOperations = {});

/// What an observer saw of the table. The content is any text or hash that is
/// equal for equal tables; empty when it was not looked at.
struct TableSeen
{
  std::string observer_;
  std::uint64_t atNs_ = 0;
  std::uint64_t version_ = 0;
  std::string content_;

  bool operator==(const TableSeen&) const = default;
};

/// An accepted change: the version it made, and when its sender knew.
struct TableAccepted
{
  std::uint64_t version_ = 0;
  std::uint64_t atNs_ = 0;

  bool operator==(const TableAccepted&) const = default;
};

/// Promise 8: versions never go back for any observer, equal versions have
/// equal content, and from aLimit after its acceptance on nobody sees an older
/// version.
Violations
CheckTableVersions(const std::vector<TableSeen>& aSeen,
                   const std::vector<TableAccepted>& aAccepted,
                   Millis aLimit);

/// A time in which a VM was unavailable, planned (a stop or a move) or not.
struct UnavailablePeriod
{
  std::string vm_;
  std::string pool_;
  std::uint64_t fromNs_ = 0;
  std::optional<std::uint64_t> untilNs_;
  bool planned_ = false;

  bool operator==(const UnavailablePeriod&) const = default;
};

struct PoolBudget
{
  std::string pool_;
  std::int64_t vms_ = 0;
  std::int64_t minAvailable_ = 0;
  std::int64_t maxUnavailable_ = 0;

  bool operator==(const PoolBudget&) const = default;
};

/// Promise 1: whenever a planned period begins, the VMs of its pool that are
/// unavailable then, itself included, are within the budget. Failures alone may
/// exceed it, but no plan may add to that.
Violations
CheckBudgets(const std::vector<UnavailablePeriod>& aPeriods,
             const std::vector<PoolBudget>& aBudgets);

/// Promise 7: no planned stop interrupted a request, as counted by the VM, nor
/// does any run overlap the stop.
Violations
CheckGracefulStops(const std::vector<PlannedStop>& aStops,
                   const std::vector<ExecutedRun>& aRuns);

} // namespace acaciahill::testing
