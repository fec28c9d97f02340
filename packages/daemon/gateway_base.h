#pragma once

#include "daemon/leader_finder_base.h"
#include "daemon/replica_reader_base.h"
#include "daemon/workload_host_base.h"
#include "http/async_client_base.h"
#include "http/async_listener_base.h"
#include "kernel/metrics_base.h"
#include "kernel/time_type.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace acaciahill {

/// Interface at which a request arrived: customers use the callers' interface,
/// workers and operators the control interface.
enum class Plane : std::uint8_t
{
  Callers,
  Control,
};

/// Callbacks by which a gateway finds the leader and reports what it observed.
struct LeaderSource
{
  /// Node id of the leader; empty while it is unknown.
  std::function<std::string()> leader_;
  /// Time since a leader was last known to be running.
  std::function<Millis()> silentFor_;
  /// Called when a node answered a request as the leader.
  std::function<void(const std::string&)> onAnswer_;
  /// Called when a call to the leader failed.
  std::function<void()> onLeaderFailure_;
  /// Node id of a control node that may answer reads; empty when none is known.
  std::function<std::string()> reader_ = [] { return std::string(); };
  /// Called when such a node did not answer.
  std::function<void(const std::string&)> onReaderFailure_ =
    [](const std::string&) {};
};

/// Timeouts of a gateway.
struct GatewayTiming
{
  /// A customer's request that reached no leader is refused after this time. An
  /// election is usually over by then, and customers wait three times as long.
  Millis unsentTimeout_{ 1000 };
  /// The same for workers and operators. They try another node after 1 s
  /// without an answer, so a later refusal would not reach them.
  Millis controlUnsentTimeout_{ 500 };
  /// When no leader was known for this time, requests are refused at once: this
  /// node is partitioned off, or no leader can be elected.
  Millis leaderlessLimit_{ 1500 };
  /// A request that may have been accepted is resent for up to this time, so
  /// that its sender learns the outcome.
  Millis sentTimeout_{ 1500 };
  /// Timeout of a call to the leader.
  Millis forwardTimeout_{ 1200 };
  /// Timeout of a read on another control node; the leader is asked after it.
  Millis readTimeout_{ 250 };

  bool operator==(const GatewayTiming&) const = default;
};

/// Forwards requests that arrive at any node to the leader's scheduler, the
/// only one that decides on them: directly while this node leads, otherwise
/// over the leader's internal interface. During an election requests wait; when
/// it takes too long they are refused with an answer that tells whether they
/// may have been accepted. A request that may have reached a leader is resent
/// until its outcome is known or its time is up; this is safe as all these
/// requests are idempotent. When another node is found to lead, requests that
/// the former leader has not answered go to the new one at once. Any control
/// node answers requests that need no decision. Used from the context's thread
/// only.
class Gateway
{
public:
  using Answer = AsyncListener::Answer;

  Gateway(boost::asio::io_context& aContext,
          AsyncClient& aClient,
          std::string aNode,
          std::string aInternalPort,
          Metrics& aMetrics,
          WorkloadHost* aHost,
          ReplicaReader* aReader,
          LeaderSource aLeader,
          GatewayTiming aTiming = {});

  /// Handles a request from a customer, worker or operator.
  void Handle(Plane aPlane, HttpRequest aRequest, Answer aAnswer);

  /// Handles a request that another node forwarded.
  void HandleForwarded(const HttpRequest& aRequest, Answer aAnswer);

private:
  struct Pending;
  using PendingPtr = std::shared_ptr<Pending>;

  /// Returns a callback that records status and duration in the metrics, and
  /// then answers.
  Answer WithMetrics(Plane aPlane, Answer aAnswer);
  /// Sends the request to the leader when one is known.
  void SendToLeader(const PendingPtr& aPending);
  /// Tries again after a pause, or refuses when the request's time is up.
  void RetryOrRefuse(const PendingPtr& aPending);
  /// Answers from this node's replica of the state, if that is sufficient.
  std::optional<HttpAnswer> AnswerLocally(Plane aPlane,
                                          const HttpRequest& aRequest);
  /// Asks a control node that need not lead; the leader if that fails.
  void Read(const PendingPtr& aPending, const std::string& aReader);
  void Forward(const PendingPtr& aPending, const std::string& aLeader);
  /// Resends the request when another leader is found before the answer to the
  /// call.
  void WatchLeader(const PendingPtr& aPending,
                   const std::string& aSentTo,
                   std::uint64_t aCall);
  void Refuse(const PendingPtr& aPending);
  /// Answers the request unless it has been answered already.
  static void Finish(const PendingPtr& aPending, HttpAnswer aAnswer);
  void PassToHost(Plane aPlane, const HttpRequest& aRequest, Answer aAnswer);

  boost::asio::io_context& context_;
  AsyncClient& client_;
  std::string node_;
  std::string internalPort_;
  Metrics& metrics_;
  WorkloadHost* host_;
  ReplicaReader* reader_;
  LeaderSource leader_;
  GatewayTiming timing_;
};

} // namespace acaciahill
