#pragma once

#include "daemon/order_agent_base.h"
#include "kernel/metrics_base.h"

#include <map>
#include <memory>
#include <string>

namespace acaciahill {

/// A control node that may give orders for the leader.
struct AgentNode
{
  std::string node_;
  std::string zone_;

  bool operator==(const AgentNode&) const = default;
};

/// Gives the leader's orders to workers. In a large deployment they go through
/// the other control nodes, many in one call, as each call costs the leader
/// more than the decision behind it; a node of the worker's zone is preferred.
/// An order that got no answer that way may have been carried out, like any
/// other, and the worker's next orders are given directly. Used from the
/// context's thread only.
class OrderRelay
{
public:
  using OnAnswer =
    std::function<void(const OrderAnswer&, const std::optional<WorkerLists>&)>;

  OrderRelay(boost::asio::io_context& aContext,
             AsyncClient& aClient,
             std::string aNode,
             std::string aZone,
             std::string aInternalPort,
             Metrics& aMetrics);
  OrderRelay(const OrderRelay&) = delete;
  OrderRelay& operator=(const OrderRelay&) = delete;
  ~OrderRelay();

  /// A new leadership. Orders of a former one are answered no more.
  void Begin(std::uint64_t aTerm);
  /// The leadership is over.
  void End();

  /// The control nodes beside this one; none while the deployment is so small
  /// that the leader gives its orders itself.
  void SetAgents(const std::vector<AgentNode>& aAgents);

  /// Gives an order. The function is called once, on the context's thread,
  /// unless the leadership ends before. Relayed orders wait for Flush.
  void Give(WorkerOrder aOrder,
            const std::string& aWorkerZone,
            OnAnswer aOnAnswer);

  /// Sends what was given since the last time.
  void Flush();

private:
  /// What is known of one agent.
  struct Agent
  {
    std::string zone_;
    std::vector<RelayedOrder> queued_;
    /// Its clock when it last answered, and when that was.
    std::int64_t clockMs_ = 0;
    MonotonicTime answeredAt_{};
    /// Not to be used before that time.
    MonotonicTime restsUntil_{};
    int openCalls_ = 0;
    bool isKnown_ = false;
    /// It is to get orders. Answers of others are still taken.
    bool isListed_ = false;
  };
  struct Open
  {
    OnAnswer onAnswer_;
    std::string agent_;
    std::uint32_t worker_ = 0;
    MonotonicTime until_{};
  };

  /// The agent for a worker; agents_.end() for a direct call.
  std::map<std::string, Agent>::iterator AgentFor(std::uint32_t aWorker,
                                                  const std::string& aZone);
  /// Ends the open orders for which the condition holds: they may have been
  /// carried out. False when the leadership ended meanwhile.
  bool FailOrders(const std::function<bool(const Open&)>& aCondition);
  void GiveDirectly(const WorkerOrder& aOrder, OnAnswer aOnAnswer);
  void Send(const std::string& aNode, Agent& aAgent);
  void TakeAnswers(const std::string& aNode, const CallResult& aResult);
  void Finish(const RelayedAnswer& aAnswer);
  void Watch();

  AsyncClient& client_;
  boost::asio::steady_timer timer_;
  const std::string node_;
  const std::string zone_;
  const std::string internalPort_;
  Metrics& metrics_;
  std::uint64_t term_ = 0;
  /// Changes with each leadership.
  std::shared_ptr<const std::uint64_t> generation_;
  std::map<std::string, Agent> agents_;
  std::map<std::uint64_t, Open> open_;
  std::uint64_t nextId_ = 1;
  /// Workers that no agent reached, and until when they are called directly.
  std::map<std::uint32_t, MonotonicTime> direct_;
};

} // namespace acaciahill
