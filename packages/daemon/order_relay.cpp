#include "daemon/order_relay_base.h"

#include "kernel/error_func.h"
#include "kernel/log_func.h"
#include "kernel/os_clock_func.h"
#include "workload/order_answer_func.h"

#include <algorithm>
#include <utility>

namespace acaciahill {

namespace {

// An agent relays only orders that reach it within this time, and within the
// leader's lateness up to kMaxTransitLateness more. It is shorter than the
// leader's timeout of any order, so that the agent never starts an order that
// the leader has already given up.
constexpr Millis kMaxTransitTime{ 300 };
constexpr Millis kMaxTransitLateness{ 400 };
// What an answer shows of an agent's clock is used for this time.
constexpr Millis kClockMemory{ 2000 };
// An agent answers each call within 0.2 s.
constexpr Millis kCallTimeout{ 450 };
// Added to the timeout of an order for the detour over the agent. An agent that
// does not work is noticed by its calls before.
constexpr Millis kRelayTimeoutMargin = kMaxTransitTime + kCallTimeout;
// An agent that refused a call or did not answer is not used for this time.
constexpr Millis kAgentBackoff{ 2000 };
// A route over which a worker was not reached is avoided for this time.
constexpr Millis kRouteMemory{ 15000 };
constexpr Millis kTimeoutCheckInterval{ 50 };
// A delay of this thread counts in timeouts for this time.
constexpr Millis kLatenessMemory{ 2000 };
// Longer delays, such as those of a suspended machine, count as this one.
constexpr Millis kMaxLateness{ 1000 };
constexpr std::int64_t kOk = 200;

} // namespace

OrderRelay::OrderRelay(boost::asio::io_context& aContext,
                       AsyncClient& aClient,
                       std::string aNode,
                       std::string aInternalPort,
                       Metrics& aMetrics)
  : client_(aClient)
  , timer_(aContext)
  , node_(std::move(aNode))
  , internalPort_(std::move(aInternalPort))
  , metrics_(aMetrics)
{
}

OrderRelay::~OrderRelay() = default;

void
OrderRelay::Begin(std::uint64_t aTerm)
{
  End();
  term_ = aTerm;
  generation_ = std::make_shared<const std::uint64_t>(aTerm);
  WatchTimeouts();
}

void
OrderRelay::End()
{
  timer_.cancel();
  generation_.reset();
  agents_.clear();
  openOrders_.clear();
  failedRoutes_.clear();
  counts_ = {};
  lateness_ = Millis(0);
}

void
OrderRelay::SetAgents(const std::vector<AgentNode>& aAgents)
{
  const auto now = MonotonicNow();
  for (auto& [worker, routes] : failedRoutes_) {
    std::erase_if(routes, [now](const auto& aRoute) {
      return now - aRoute.second > kRouteMemory;
    });
  }
  std::erase_if(failedRoutes_,
                [](const auto& aWorker) { return aWorker.second.empty(); });
  for (auto& [node, agent] : agents_) {
    agent.isListed_ = false;
  }
  for (const auto& each : aAgents) {
    if (each.node_ == node_) {
      continue;
    }
    auto& agent = agents_[each.node_];
    agent.zone_ = each.zone_;
    agent.isListed_ = true;
    if (agent.openCalls_ == 0 && now >= agent.backoffUntil_) {
      // The answer shows that the agent is running, and carries its clock.
      SendBatch(each.node_, agent);
    }
  }
}

// Agents of the worker's zone come first, then the others, then a direct call.
// Each worker has its own order of these, so that the agents share the load.
OrderRelay::Agents::iterator
OrderRelay::AgentFor(std::uint32_t aWorker, const std::string& aZone)
{
  const auto now = MonotonicNow();
  std::vector<Agents::iterator> near;
  std::vector<Agents::iterator> far;
  for (auto each = agents_.begin(); each != agents_.end(); ++each) {
    const auto& agent = each->second;
    if (agent.isListed_ && agent.isResponding_ && now >= agent.backoffUntil_) {
      (agent.zone_ == aZone ? near : far).push_back(each);
    }
  }
  const auto rotate = [aWorker](auto& aAgents) {
    if (!aAgents.empty()) {
      std::rotate(aAgents.begin(),
                  aAgents.begin() +
                    static_cast<std::ptrdiff_t>(aWorker % aAgents.size()),
                  aAgents.end());
    }
  };
  rotate(near);
  rotate(far);
  auto routes = std::move(near);
  routes.insert(routes.end(), far.begin(), far.end());
  routes.push_back(agents_.end());
  const auto failed = failedRoutes_.find(aWorker);
  if (failed == failedRoutes_.end()) {
    return routes.front();
  }
  const auto failedAt = [&](const Agents::iterator& aRoute) {
    const auto found =
      failed->second.find(aRoute == agents_.end() ? "" : aRoute->first);
    return found == failed->second.end() ? MonotonicTime{} : found->second;
  };
  return *std::min_element(routes.begin(),
                           routes.end(),
                           [&failedAt](const auto& aOne, const auto& aTwo) {
                             return failedAt(aOne) < failedAt(aTwo);
                           });
}

void
OrderRelay::NoteRoute(std::uint32_t aWorker,
                      const std::string& aAgent,
                      const OrderAnswer& aAnswer)
{
  if (aAnswer.outcome_ == OrderOutcome::NotGiven) {
    ++counts_.notGiven_;
    return;
  }
  if (!IsFromWorker(aAnswer)) {
    failedRoutes_[aWorker][aAgent] = MonotonicNow();
    return;
  }
  const auto failed = failedRoutes_.find(aWorker);
  if (failed != failedRoutes_.end()) {
    failed->second.erase(aAgent);
    if (failed->second.empty()) {
      failedRoutes_.erase(failed);
    }
  }
}

void
OrderRelay::Send(WorkerOrder aOrder,
                 const std::string& aWorkerZone,
                 OnAnswer aOnAnswer)
{
  const auto worker =
    std::visit([](const auto& aOne) { return aOne.target_.worker_; }, aOrder);
  const auto agent = AgentFor(worker, aWorkerZone);
  const bool isDirect = agent == agents_.end();
  ++(isDirect ? counts_.direct_ : counts_.relayed_);
  metrics_.Count("acaciahill_orders_total",
                 { { "way", isDirect ? "direct" : "relayed" } });
  if (isDirect) {
    SendDirectly(aOrder, worker, std::move(aOnAnswer));
    return;
  }
  const auto id = nextId_++;
  openOrders_.emplace(
    id,
    OpenOrder{ std::move(aOnAnswer),
               agent->first,
               worker,
               MonotonicNow() +
                 WithLateness(OrderTimeout(aOrder) + kRelayTimeoutMargin) });
  agent->second.queued_.push_back({ id, std::move(aOrder) });
}

void
OrderRelay::SendDirectly(const WorkerOrder& aOrder,
                         std::uint32_t aWorker,
                         OnAnswer aOnAnswer)
{
  CallWorker(client_,
             aOrder,
             [this,
              aWorker,
              current = std::weak_ptr(generation_),
              onAnswer = std::move(aOnAnswer)](const RelayedAnswer& aAnswer) {
               if (!current.expired()) {
                 NoteRoute(aWorker, "", aAnswer.answer_);
                 onAnswer(aAnswer.answer_, aAnswer.lists_);
               }
             });
}

void
OrderRelay::Flush()
{
  for (auto& [node, agent] : agents_) {
    if (!agent.queued_.empty()) {
      SendBatch(node, agent);
    }
  }
}

void
OrderRelay::SendBatch(const std::string& aNode, Agent& aAgent)
{
  OrderBatch batch;
  batch.term_ = term_;
  batch.orders_ = std::exchange(aAgent.queued_, {});
  // Drops orders that timed out while they were queued.
  std::erase_if(batch.orders_, [this](const RelayedOrder& aOrder) {
    return !openOrders_.contains(aOrder.id_);
  });
  batch.untilMs_ = DeadlineFor(aAgent);
  HttpRequest request;
  request.method_ = "POST";
  request.target_ = kOrdersPath;
  request.headers_ = { { "Host", aNode } };
  request.body_ = EncodeOrders(batch);
  ++aAgent.openCalls_;
  client_.Call(aNode + ":" + internalPort_,
               std::move(request),
               WithLateness(kCallTimeout),
               [this, current = std::weak_ptr(generation_), aNode](
                 const CallResult& aResult) {
                 if (!current.expired()) {
                   HandleAnswers(aNode, aResult);
                 }
               });
}

void
OrderRelay::HandleAnswers(const std::string& aNode, const CallResult& aResult)
{
  auto& agent = agents_[aNode];
  --agent.openCalls_;
  const auto* answer = std::get_if<HttpAnswer>(&aResult);
  const auto decoded = answer != nullptr && answer->status_ == kOk
                         ? DecodeAnswers(answer->body_)
                         : Error{ ErrorKind::ControlUnreachable, "" };
  if (!IsOk(decoded)) {
    if (agent.isResponding_) {
      LogWarning(
        "a control node does not relay orders; its workers go to others",
        { { "agent", aNode },
          { "status", answer == nullptr ? 0 : answer->status_ } });
    }
    agent.isResponding_ = false;
    agent.clockAheadMs_.reset();
    agent.backoffUntil_ = MonotonicNow() + kAgentBackoff;
    FailOrders(
      [&aNode](const OpenOrder& aOpen) { return aOpen.agent_ == aNode; },
      counts_.agentFailed_);
    return;
  }
  const auto& batch = ValueOf(decoded);
  ReadClock(agent, batch.clockMs_);
  agent.isResponding_ = true;
  // One call is always kept open, so that the agent can return answers at any
  // time.
  if (agent.openCalls_ == 0) {
    SendBatch(aNode, agent);
  }
  const auto current = std::weak_ptr(generation_);
  for (const auto& each : batch.answers_) {
    if (current.expired()) {
      return;
    }
    if (const auto open = openOrders_.find(each.id_);
        open != openOrders_.end()) {
      NoteRoute(open->second.worker_, aNode, each.answer_);
    }
    CompleteOrder(each);
  }
}

bool
OrderRelay::FailOrders(const std::function<bool(const OpenOrder&)>& aCondition,
                       std::uint64_t& aCount)
{
  std::vector<std::uint64_t> failed;
  for (const auto& [id, open] : openOrders_) {
    if (aCondition(open)) {
      failed.push_back(id);
    }
  }
  aCount += failed.size();
  const auto current = std::weak_ptr(generation_);
  for (const auto id : failed) {
    CompleteOrder({ id, {}, std::nullopt });
    if (current.expired()) {
      return false;
    }
  }
  return true;
}

void
OrderRelay::CompleteOrder(const RelayedAnswer& aAnswer)
{
  const auto open = openOrders_.extract(aAnswer.id_);
  if (open.empty()) {
    return;
  }
  open.mapped().onAnswer_(aAnswer.answer_, aAnswer.lists_);
}

void
OrderRelay::ReadClock(Agent& aAgent, std::int64_t aClockMs)
{
  const auto now = MonotonicNow();
  const auto ahead = aClockMs - now.time_since_epoch().count();
  if (!aAgent.clockAheadMs_ || ahead >= *aAgent.clockAheadMs_ ||
      now - aAgent.clockReadAt_ > kClockMemory) {
    aAgent.clockAheadMs_ = ahead;
    aAgent.clockReadAt_ = now;
  }
}

std::int64_t
OrderRelay::DeadlineFor(const Agent& aAgent) const
{
  if (!aAgent.clockAheadMs_) {
    return 0;
  }
  const auto transit =
    kMaxTransitTime + std::min(lateness_, kMaxTransitLateness);
  return (MonotonicNow().time_since_epoch() + transit).count() +
         *aAgent.clockAheadMs_;
}

void
OrderRelay::NoteLateness(Millis aLateness)
{
  const auto now = MonotonicNow();
  if (aLateness >= lateness_ || now - latenessAt_ > kLatenessMemory) {
    lateness_ = std::clamp(aLateness, Millis(0), kMaxLateness);
    latenessAt_ = now;
  }
}

Millis
OrderRelay::WithLateness(Millis aTimeout) const
{
  return aTimeout + 2 * lateness_;
}

void
OrderRelay::WatchTimeouts()
{
  const auto due = MonotonicNow() + kTimeoutCheckInterval;
  timer_.expires_after(kTimeoutCheckInterval);
  timer_.async_wait([this, due, current = std::weak_ptr(generation_)](
                      const boost::system::error_code& aError) {
    if (aError || current.expired()) {
      return;
    }
    const auto late = MonotonicNow() - due;
    // A pause may have begun right after the timer was set.
    NoteLateness(late > kTimeoutCheckInterval ? late + kTimeoutCheckInterval
                                              : late);
    if (late > kTimeoutCheckInterval) {
      // Answers may have waited for this thread as long.
      for (auto& [id, open] : openOrders_) {
        open.deadline_ += late;
      }
    }
    const bool stillLeads =
      FailOrders([now = MonotonicNow()](
                   const OpenOrder& aOpen) { return aOpen.deadline_ <= now; },
                 counts_.timedOut_);
    if (!stillLeads) {
      return;
    }
    WatchTimeouts();
  });
}

} // namespace acaciahill
