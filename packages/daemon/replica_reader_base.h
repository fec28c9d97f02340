#pragma once

#include "daemon/replica_service_base.h"
#include "http/http_message_type.h"
#include "workload/scheduler_type.h"

#include <optional>
#include <string>

namespace acaciahill {

/// Answers requests that need no decision of the leader from a control node's
/// own replica: reads of the state of a known job, and worker reports that
/// change nothing. Used from one thread only.
class ReplicaReader
{
public:
  /// The replica is used while its last contact is at most aMaxAge old.
  ReplicaReader(const ReplicaService& aReplica, Millis aMaxAge);

  /// Answers a customer's request; nothing when only the leader can answer.
  std::optional<HttpAnswer> AnswerCaller(const HttpRequest& aRequest);

  /// Answers a worker's report; nothing when only the leader can answer.
  std::optional<HttpAnswer> AnswerControl(const HttpRequest& aRequest) const;

private:
  bool IsFresh() const;
  void RefreshConfig();

  const ReplicaService& replica_;
  Millis maxAge_;
  WorkloadConfig config_;
};

/// True when a report matches the stored worker, so that the leader would
/// change nothing for it.
bool
IsKnownReport(const Workload& aState, const WorkerReport& aReport);

} // namespace acaciahill
