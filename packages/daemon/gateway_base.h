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

/// Who sent a request: each kind has an interface of its own.
enum class Plane : std::uint8_t
{
  Callers,
  Control,
};

/// How a gateway knows the leader.
struct LeaderSource
{
  /// Node id of the leader; empty while it is unknown.
  std::function<std::string()> leader_;
  /// Time since a leader was last known to be there.
  std::function<Millis()> silentFor_;
  /// A node answered a request as the leader.
  std::function<void(const std::string&)> onAnswer_;
  /// A call to the leader failed.
  std::function<void()> onDoubt_;
  /// A control node that may answer reads; empty when none is known.
  std::function<std::string()> reader_ = [] { return std::string(); };
  /// Such a node did not answer.
  std::function<void(const std::string&)> onSilentReader_ =
    [](const std::string&) {};
};

/// How long a gateway waits for what.
struct GatewayTiming
{
  /// A request that reached no leader is refused after this time. An election
  /// is mostly over by then, and customers wait three times as long.
  Millis unsentPatience_{ 1000 };
  /// The same for workers and operators: they try another node after 1 s
  /// without an answer, and an answer then comes too late.
  Millis controlPatience_{ 500 };
  /// When no leader was there for this time, requests are refused at once: this
  /// node is cut off, or there is none to be elected.
  Millis leaderless_{ 1500 };
  /// A request that may have been accepted is sent again for this time, so that
  /// its sender learns the outcome.
  Millis sentPatience_{ 1500 };
  /// A call to the leader is given up after this time.
  Millis forward_{ 1200 };
  /// A read that another control node does not answer goes to the leader after
  /// this time.
  Millis read_{ 250 };

  bool operator==(const GatewayTiming&) const = default;
};

/// Brings requests that arrive at any node to the leader's scheduler, which
/// alone decides on them: to the own one while this node leads, else over the
/// leader's internal interface. Requests wait for the end of an election and
/// are refused truthfully when it takes too long; one that may have reached a
/// leader is sent again, as every request here may arrive twice, until its
/// outcome is known or time is up. When another node is found to lead, requests
/// that the former leader has not answered go to that one at once. What needs
/// no decision is answered by any control node. Used from the context's thread
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

  /// A request from outside.
  void Handle(Plane aPlane, HttpRequest aRequest, Answer aAnswer);

  /// A request that another node passed on.
  void HandleForwarded(const HttpRequest& aRequest, Answer aAnswer);

private:
  struct Pending;
  using PendingPtr = std::shared_ptr<Pending>;

  /// Counts the answer and its time in the metrics, and then gives it.
  Answer Measured(Plane aPlane, Answer aAnswer);
  void Try(const PendingPtr& aPending);
  void TryLater(const PendingPtr& aPending);
  /// Answers from this node's copy of the state, when that is enough.
  std::optional<HttpAnswer> AnswerHere(Plane aPlane,
                                       const HttpRequest& aRequest);
  /// Asks a control node that need not lead, and then the leader.
  void Read(const PendingPtr& aPending, const std::string& aReader);
  void Forward(const PendingPtr& aPending, const std::string& aLeader);
  /// Sends the request to the new leader when another one is found meanwhile.
  void WatchLeader(const PendingPtr& aPending, const std::string& aSentTo);
  void Refuse(const PendingPtr& aPending);
  /// Answers unless the request has its answer already.
  static void Finish(const PendingPtr& aPending, HttpAnswer aAnswer);
  void GiveToHost(Plane aPlane, const HttpRequest& aRequest, Answer aAnswer);

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
