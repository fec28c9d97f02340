#pragma once

#include "daemon/replica_service_base.h"
#include "http/http_message_type.h"
#include "workload/scheduler_type.h"

#include <optional>
#include <string>

namespace acaciahill {

/// Answers from a control node's own copy of the state what needs no decision:
/// the state of a job that is known, and the report of a worker that says
/// nothing new. The leader need not be asked then. Used from one thread only.
class ReplicaReader
{
public:
  /// The copy is used while it is at most that old.
  ReplicaReader(const ReplicaService& aReplica, Millis aFreshFor);

  /// Answers a customer's request; nothing when the leader has to.
  std::optional<HttpAnswer> AnswerCaller(const HttpRequest& aRequest);

  /// Answers a worker's report; nothing when the leader has to.
  std::optional<HttpAnswer> AnswerControl(const HttpRequest& aRequest) const;

private:
  bool IsFresh() const;
  void RefreshConfig();

  const ReplicaService& replica_;
  Millis freshFor_;
  WorkloadConfig config_;
};

/// The report says nothing that the state does not hold: a leader would change
/// nothing for it.
bool
IsKnownReport(const Workload& aState, const WorkerReport& aReport);

} // namespace acaciahill
