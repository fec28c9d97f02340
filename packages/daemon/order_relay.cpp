#include "daemon/order_relay_base.h"

#include "kernel/error_func.h"
#include "kernel/log_func.h"
#include "kernel/os_clock_func.h"

#include <algorithm>
#include <utility>

namespace acaciahill {

namespace {

// Added to the time for an order for its way over the agent.
constexpr Millis kRelayMargin{ 100 };
// An agent gives orders that reach it within this time. It is less than the
// leader waits for any answer.
constexpr Millis kOnTheWay{ 300 };
// An agent answers each call within 0.2 s.
constexpr Millis kCallTimeout{ 450 };
// An agent that did not answer, or refused, is not used for this time.
constexpr Millis kRest{ 2000 };
// A worker that no agent reached is called directly for this time.
constexpr Millis kDirectTime{ 15000 };
constexpr Millis kWatchInterval{ 50 };
constexpr std::int64_t kOk = 200;

} // namespace

OrderRelay::OrderRelay(boost::asio::io_context& aContext,
                       AsyncClient& aClient,
                       std::string aNode,
                       std::string aZone,
                       std::string aInternalPort,
                       Metrics& aMetrics)
  : client_(aClient)
  , timer_(aContext)
  , node_(std::move(aNode))
  , zone_(std::move(aZone))
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
  Watch();
}

void
OrderRelay::End()
{
  timer_.cancel();
  generation_.reset();
  agents_.clear();
  open_.clear();
  direct_.clear();
}

void
OrderRelay::SetAgents(const std::vector<AgentNode>& aAgents)
{
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
    if (agent.openCalls_ == 0 && MonotonicNow() >= agent.restsUntil_) {
      // Its answer tells that it is there, and its clock.
      Send(each.node_, agent);
    }
  }
}

std::map<std::string, OrderRelay::Agent>::iterator
OrderRelay::AgentFor(std::uint32_t aWorker, const std::string& aZone)
{
  const auto now = MonotonicNow();
  if (const auto found = direct_.find(aWorker); found != direct_.end()) {
    if (now < found->second) {
      return agents_.end();
    }
    direct_.erase(found);
  }
  std::vector<std::map<std::string, Agent>::iterator> near;
  std::vector<std::map<std::string, Agent>::iterator> all;
  for (auto each = agents_.begin(); each != agents_.end(); ++each) {
    const auto& agent = each->second;
    if (agent.isListed_ && agent.isKnown_ && now >= agent.restsUntil_) {
      all.push_back(each);
      if (agent.zone_ == aZone) {
        near.push_back(each);
      }
    }
  }
  // A worker beside the leader is not called by way of another zone.
  if (near.empty() && aZone == zone_) {
    return agents_.end();
  }
  const auto& from = near.empty() ? all : near;
  return from.empty() ? agents_.end() : from[aWorker % from.size()];
}

void
OrderRelay::Give(WorkerOrder aOrder,
                 const std::string& aWorkerZone,
                 OnAnswer aOnAnswer)
{
  const auto worker =
    std::visit([](const auto& aOne) { return aOne.target_.worker_; }, aOrder);
  const auto agent = AgentFor(worker, aWorkerZone);
  const bool isDirect = agent == agents_.end();
  metrics_.Count("acaciahill_orders_total",
                 { { "way", isDirect ? "direct" : "relayed" } });
  if (isDirect) {
    GiveDirectly(aOrder, std::move(aOnAnswer));
    return;
  }
  const auto id = nextId_++;
  open_.emplace(id,
                Open{ std::move(aOnAnswer),
                      agent->first,
                      worker,
                      MonotonicNow() + OrderTimeout(aOrder) + kRelayMargin });
  agent->second.queued_.push_back({ id, std::move(aOrder) });
}

void
OrderRelay::GiveDirectly(const WorkerOrder& aOrder, OnAnswer aOnAnswer)
{
  CallWorker(client_,
             aOrder,
             [current = std::weak_ptr(generation_),
              onAnswer = std::move(aOnAnswer)](const RelayedAnswer& aAnswer) {
               if (!current.expired()) {
                 onAnswer(aAnswer.answer_, aAnswer.lists_);
               }
             });
}

void
OrderRelay::Flush()
{
  for (auto& [node, agent] : agents_) {
    if (!agent.queued_.empty()) {
      Send(node, agent);
    }
  }
}

void
OrderRelay::Send(const std::string& aNode, Agent& aAgent)
{
  const auto now = MonotonicNow();
  OrderBatch batch;
  batch.term_ = term_;
  batch.orders_ = std::exchange(aAgent.queued_, {});
  // Some may have been given up while they waited.
  std::erase_if(batch.orders_, [this](const RelayedOrder& aOrder) {
    return !open_.contains(aOrder.id_);
  });
  // Its clock was read before its answer arrived here, so that this is early.
  batch.untilMs_ =
    aAgent.clockMs_ + (now - aAgent.answeredAt_ + kOnTheWay).count();
  HttpRequest request;
  request.method_ = "POST";
  request.target_ = kOrdersPath;
  request.headers_ = { { "Host", aNode } };
  request.body_ = EncodeOrders(batch);
  ++aAgent.openCalls_;
  client_.Call(aNode + ":" + internalPort_,
               std::move(request),
               kCallTimeout,
               [this, current = std::weak_ptr(generation_), aNode](
                 const CallResult& aResult) {
                 if (!current.expired()) {
                   TakeAnswers(aNode, aResult);
                 }
               });
}

void
OrderRelay::TakeAnswers(const std::string& aNode, const CallResult& aResult)
{
  auto& agent = agents_[aNode];
  --agent.openCalls_;
  const auto* answer = std::get_if<HttpAnswer>(&aResult);
  const auto decoded = answer != nullptr && answer->status_ == kOk
                         ? DecodeAnswers(answer->body_)
                         : Error{ ErrorKind::ControlUnreachable, "" };
  if (!IsOk(decoded)) {
    if (agent.isKnown_) {
      LogWarning("a control node does not give orders; giving them directly",
                 { { "agent", aNode },
                   { "status", answer == nullptr ? 0 : answer->status_ } });
    }
    agent.isKnown_ = false;
    agent.restsUntil_ = MonotonicNow() + kRest;
    FailOrders([&aNode](const Open& aOpen) { return aOpen.agent_ == aNode; });
    return;
  }
  const auto& batch = ValueOf(decoded);
  agent.clockMs_ = batch.clockMs_;
  agent.answeredAt_ = MonotonicNow();
  agent.isKnown_ = true;
  // One call is always open, over which the next answers come.
  if (agent.openCalls_ == 0) {
    Send(aNode, agent);
  }
  const auto current = std::weak_ptr(generation_);
  for (const auto& each : batch.answers_) {
    if (current.expired()) {
      return;
    }
    Finish(each);
  }
}

bool
OrderRelay::FailOrders(const std::function<bool(const Open&)>& aCondition)
{
  std::vector<std::uint64_t> failed;
  for (const auto& [id, open] : open_) {
    if (aCondition(open)) {
      failed.push_back(id);
    }
  }
  const auto current = std::weak_ptr(generation_);
  for (const auto id : failed) {
    Finish({ id, {}, std::nullopt });
    if (current.expired()) {
      return false;
    }
  }
  return true;
}

void
OrderRelay::Finish(const RelayedAnswer& aAnswer)
{
  const auto open = open_.extract(aAnswer.id_);
  if (open.empty()) {
    return;
  }
  const auto outcome = aAnswer.answer_.outcome_;
  if (outcome == OrderOutcome::Unknown ||
      outcome == OrderOutcome::WorkerUnavailable) {
    direct_[open.mapped().worker_] = MonotonicNow() + kDirectTime;
  }
  open.mapped().onAnswer_(aAnswer.answer_, aAnswer.lists_);
}

void
OrderRelay::Watch()
{
  timer_.expires_after(kWatchInterval);
  timer_.async_wait([this, current = std::weak_ptr(generation_)](
                      const boost::system::error_code& aError) {
    if (aError || current.expired()) {
      return;
    }
    const bool goesOn = FailOrders([now = MonotonicNow()](const Open& aOpen) {
      return aOpen.until_ <= now;
    });
    if (!goesOn) {
      return;
    }
    Watch();
  });
}

} // namespace acaciahill
