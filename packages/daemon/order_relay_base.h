#pragma once

#include "daemon/order_agent_base.h"
#include "kernel/metrics_base.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace acaciahill {

/// A control node that can relay the leader's orders to workers.
struct AgentNode
{
  std::string node_;
  std::string zone_;

  bool operator==(const AgentNode&) const = default;
};

/// Numbers of orders since the beginning of a leadership.
struct OrderCounts
{
  std::uint64_t direct_ = 0;
  std::uint64_t relayed_ = 0;
  /// Relayed orders that the leader gave up without an answer.
  std::uint64_t timedOut_ = 0;
  /// Relayed orders whose agent failed.
  std::uint64_t agentFailed_ = 0;
  /// Relayed orders that reached their agent after their deadline.
  std::uint64_t notGiven_ = 0;

  bool operator==(const OrderCounts&) const = default;
};

/// Sends the leader's orders to workers. In a large deployment the orders go
/// through the other control nodes (agents), many in one call, as each call
/// costs the leader more than the scheduling decision behind it; an agent in
/// the worker's zone is preferred. A relayed order without an answer may have
/// been executed, as with a direct call. What an agent reports about a worker
/// decides on that worker's next route; whether an agent works is decided by
/// the calls to it alone. Used from the context's thread only.
class OrderRelay
{
public:
  using OnAnswer =
    std::function<void(const OrderAnswer&, const std::optional<WorkerLists>&)>;

  OrderRelay(boost::asio::io_context& aContext,
             AsyncClient& aClient,
             std::string aNode,
             std::string aInternalPort,
             Metrics& aMetrics);
  OrderRelay(const OrderRelay&) = delete;
  OrderRelay& operator=(const OrderRelay&) = delete;
  ~OrderRelay();

  /// Starts a leadership term. Callbacks of orders of former terms are not
  /// called any more.
  void Begin(std::uint64_t aTerm);
  /// Ends the leadership and drops all open orders.
  void End();

  /// Sets the control nodes to use as agents; this node is skipped. The list is
  /// empty in a small deployment, where the leader calls all workers itself.
  void SetAgents(const std::vector<AgentNode>& aAgents);

  /// Sends an order. The callback is called once, on the context's thread,
  /// unless the leadership ends first. Relayed orders are queued until Flush.
  void Send(WorkerOrder aOrder,
            const std::string& aWorkerZone,
            OnAnswer aOnAnswer);

  /// Sends the queued orders, one call for each agent.
  void Flush();

  const OrderCounts& Counts() const { return counts_; }

private:
  /// The state of one agent.
  struct Agent
  {
    std::string zone_;
    std::vector<RelayedOrder> queued_;
    /// The agent's clock less this node's, as far as an answer has shown: an
    /// answer is read late, so that a larger difference is closer to the truth.
    std::optional<std::int64_t> clockAheadMs_;
    MonotonicTime clockReadAt_{};
    /// The agent gets no orders before this time.
    MonotonicTime backoffUntil_{};
    int openCalls_ = 0;
    bool isResponding_ = false;
    /// The agent is in the list of SetAgents. Only listed agents get orders;
    /// answers of the others are still accepted.
    bool isListed_ = false;
  };
  struct OpenOrder
  {
    OnAnswer onAnswer_;
    std::string agent_;
    std::uint32_t worker_ = 0;
    MonotonicTime deadline_{};
  };
  using Agents = std::map<std::string, Agent>;
  /// Times at which a worker could not be reached, by agent; an empty name
  /// stands for direct calls.
  using FailedRoutes = std::map<std::string, MonotonicTime>;

  /// Chooses the agent for a worker; agents_.end() means a direct call.
  Agents::iterator AgentFor(std::uint32_t aWorker, const std::string& aZone);
  /// Notes whether a worker was reached by a route.
  void NoteRoute(std::uint32_t aWorker,
                 const std::string& aAgent,
                 const OrderAnswer& aAnswer);
  /// Completes the open orders that match the condition with an unknown
  /// outcome. Returns false when a callback ended the leadership.
  bool FailOrders(const std::function<bool(const OpenOrder&)>& aCondition,
                  std::uint64_t& aCount);
  void SendDirectly(const WorkerOrder& aOrder,
                    std::uint32_t aWorker,
                    OnAnswer aOnAnswer);
  void SendBatch(const std::string& aNode, Agent& aAgent);
  void HandleAnswers(const std::string& aNode, const CallResult& aResult);
  static void ReadClock(Agent& aAgent, std::int64_t aClockMs);
  void CompleteOrder(const RelayedAnswer& aAnswer);
  void WatchTimeouts();
  /// Notes how late a handler of this thread runs.
  void NoteLateness(Millis aLateness);
  /// The timeout with what this thread's own lateness adds to it: a request
  /// waits for the thread before it is sent, and its answer before it is read.
  Millis WithLateness(Millis aTimeout) const;
  /// Time on the agent's clock after which it must not send a batch of now.
  std::int64_t DeadlineFor(const Agent& aAgent) const;

  AsyncClient& client_;
  boost::asio::steady_timer timer_;
  const std::string node_;
  const std::string internalPort_;
  Metrics& metrics_;
  std::uint64_t term_ = 0;
  /// Replaced with each leadership, so that callbacks of former ones expire.
  std::shared_ptr<const std::uint64_t> generation_;
  Agents agents_;
  std::map<std::uint64_t, OpenOrder> openOrders_;
  std::uint64_t nextId_ = 1;
  std::map<std::uint32_t, FailedRoutes> failedRoutes_;
  OrderCounts counts_;
  /// The longest recent delay of this thread, and when it was seen.
  Millis lateness_{ 0 };
  MonotonicTime latenessAt_{};
};

} // namespace acaciahill
