#include "daemon/listener_metrics_func.h"
#include "daemon/workload_service_base.h"

#include "http/context_runner_func.h"
#include "kernel/address_func.h"
#include "kernel/log_func.h"
#include "kernel/os_clock_func.h"
#include "platform/platform_requests_func.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <future>

namespace acaciahill {

namespace {

// An entry node that has not heard of a leader for this time fails the
// readiness check, so that customers are sent to other nodes.
constexpr Millis kReadinessTimeout{ 1600 };
// The platform checks readiness every second and acts on the second failure;
// new connections arrive until then.
constexpr Millis kUnreadyNotice{ 2500 };
constexpr Millis kDrainPoll{ 20 };
// Customers' requests hold a payload of up to 4,000 bytes and the steps.
constexpr std::size_t kMaxCallerBodyBytes = std::size_t{ 512 } * 1024;
// Nodes send each other batches of orders.
constexpr std::size_t kMaxInternalBodyBytes = std::size_t{ 4 } * 1024 * 1024;
constexpr std::int64_t kOk = 200;
constexpr std::int64_t kUnavailable = 503;

std::vector<std::string>
NodesOf(const std::vector<std::string>& aSeeds)
{
  std::vector<std::string> nodes;
  nodes.reserve(aSeeds.size());
  std::transform(
    aSeeds.begin(), aSeeds.end(), std::back_inserter(nodes), HostOfAddress);
  return nodes;
}

HttpAnswer
PlainAnswer(std::int64_t aStatus, std::string aBody = {})
{
  HttpAnswer answer;
  answer.status_ = aStatus;
  answer.headers_ = { { "Content-Type", "text/plain" } };
  answer.body_ = std::move(aBody);
  return answer;
}

} // namespace

WorkloadService::WorkloadService(const WorkloadSettings& aSettings,
                                 const ServiceRegistry& aRegistry,
                                 Metrics& aMetrics)
  : settings_(aSettings)
  , registry_(aRegistry)
  , metrics_(aMetrics)
  , context_(1)
  , client_(context_)
{
}

WorkloadService::~WorkloadService()
{
  Stop();
}

template<typename F>
auto
WorkloadService::RunOnThread(F aFunction)
{
  std::packaged_task<decltype(aFunction())()> task(std::move(aFunction));
  auto result = task.get_future();
  boost::asio::post(context_, std::move(task));
  return result.get();
}

Result<Done>
WorkloadService::Start()
{
  if (settings_.isControl_) {
    replica_ = &registry_.Find<ReplicaService>(kReplicaServiceName);
    host_.emplace(settings_, *replica_, metrics_, context_, client_);
    agent_.emplace(context_, client_);
    reader_.emplace(*replica_, 2 * settings_.control_.raft_.heartbeat_);
  } else {
    finder_.emplace(
      context_, client_, NodesOf(settings_.seeds_), settings_.internalPort_);
  }
  gateway_.emplace(context_,
                   client_,
                   settings_.control_.node_,
                   settings_.internalPort_,
                   metrics_,
                   host_ ? &*host_ : nullptr,
                   reader_ ? &*reader_ : nullptr,
                   MakeLeaderSource());
  for (auto& port : MakePorts()) {
    const auto maxBodyBytes = port.address_ == settings_.listenCallers_
                                ? kMaxCallerBodyBytes
                              : port.address_ == settings_.listenControl_
                                ? settings_.maxControlBodyBytes_
                                : kMaxInternalBodyBytes;
    auto listener = std::make_unique<AsyncListener>(
      context_,
      std::move(port.handler_),
      HttpLimits{ std::size_t{ 16 } * 1024, maxBodyBytes },
      ListenerTiming{},
      settings_.listenerLimits_);
    if (auto started = listener->Start(port.address_); !IsOk(started)) {
      return started;
    }
    listeners_.push_back({ port.name_, std::move(listener) });
  }
  workGuard_.emplace(context_.get_executor());
  if (host_) {
    host_->Start();
  }
  if (finder_) {
    finder_->Start();
  }
  thread_ = std::thread([this] {
    RunContext(context_, [this](const std::exception& aError) {
      LogError("exception in a handler", { { "error", aError.what() } });
      metrics_.Count("acaciahill_handler_exceptions_total", {});
      if (host_) {
        host_->HandleException(aError);
      }
    });
  });
  return Done{};
}

// Control nodes know the leader from their Raft replica; other nodes ask the
// control nodes.
LeaderSource
WorkloadService::MakeLeaderSource()
{
  if (replica_ != nullptr) {
    return { [this] { return replica_->Control().leader_; },
             [this, startedAt = MonotonicNow()] {
               return std::min(replica_->Control().age_,
                               MonotonicNow() - startedAt);
             },
             [](const std::string&) {},
             [] {},
             [] { return std::string(); },
             [](const std::string&) {} };
  }
  return { [this] { return finder_->Leader(); },
           [this] { return MonotonicNow() - finder_->ConfirmedAt(); },
           [this](const std::string& aLeader) { finder_->Confirm(aLeader); },
           [this] { finder_->Doubt(); },
           [this] { return finder_->NextReader(); },
           [this](const std::string& aNode) { finder_->NoteSilence(aNode); } };
}

std::vector<WorkloadService::Port>
WorkloadService::MakePorts()
{
  const auto onPlane = [this](Plane aPlane) {
    return [this, aPlane](HttpRequest aRequest, AsyncListener::Answer aAnswer) {
      gateway_->Handle(aPlane, std::move(aRequest), std::move(aAnswer));
    };
  };
  std::vector<Port> ports{
    { "callers", settings_.listenCallers_, onPlane(Plane::Callers) },
    { "control", settings_.listenControl_, onPlane(Plane::Control) },
    { "readiness",
      settings_.listenReadiness_,
      [this](const HttpRequest& aRequest,
             const AsyncListener::Answer& aAnswer) {
        const bool isOk = platform::IsReadinessCall(aRequest) && IsReady();
        aAnswer(PlainAnswer(isOk ? kOk : kUnavailable));
      } },
    { "internal",
      settings_.listenInternal_,
      [this](const HttpRequest& aRequest, AsyncListener::Answer aAnswer) {
        AnswerInternal(aRequest, std::move(aAnswer));
      } },
    { "metrics",
      settings_.listenMetrics_,
      [this](const HttpRequest&, const AsyncListener::Answer& aAnswer) {
        ExportListeners();
        metrics_.Set("acaciahill_log_dropped_lines",
                     {},
                     static_cast<double>(CountDroppedLogLines()));
        aAnswer(PlainAnswer(kOk, metrics_.PrometheusText()));
      } }
  };
  std::erase_if(ports,
                [](const Port& aPort) { return aPort.address_.empty(); });
  return ports;
}

void
WorkloadService::ExportListeners()
{
  for (const auto& [name, listener] : listeners_) {
    SetListenerMetrics(metrics_, name, listener->Counts());
  }
}

bool
WorkloadService::IsReady() const
{
  if (stopping_) {
    return false;
  }
  return !finder_ ||
         MonotonicNow() - finder_->ConfirmedAt() <= kReadinessTimeout;
}

void
WorkloadService::AnswerInternal(const HttpRequest& aRequest,
                                AsyncListener::Answer aAnswer)
{
  if (agent_ && aRequest.target_ == kOrdersPath) {
    agent_->Handle(aRequest, std::move(aAnswer));
    return;
  }
  if (aRequest.target_ != kGroupPath) {
    gateway_->HandleForwarded(aRequest, std::move(aAnswer));
    return;
  }
  GroupInfo info;
  if (replica_ != nullptr) {
    const auto control = replica_->Control();
    // The asking node contacts the leader next, so this node names itself only
    // when its scheduler is running.
    const bool leads = control.leader_ == settings_.control_.node_;
    info.leader_ = leads && !host_->IsActive() ? "" : control.leader_;
    for (const auto& voter : control.voters_) {
      info.nodes_.push_back(voter.node_);
    }
  }
  HttpAnswer answer;
  answer.status_ = kOk;
  answer.body_ = EncodeGroupInfo(info);
  aAnswer(std::move(answer));
}

std::size_t
WorkloadService::InWork() const
{
  std::size_t inWork = 0;
  for (const auto& listener : listeners_) {
    inWork += listener.listener_->InWork();
  }
  return inWork;
}

void
WorkloadService::Reload(const WorkloadSettings& aSettings)
{
  boost::asio::post(context_, [this, seeds = NodesOf(aSettings.seeds_)] {
    if (finder_) {
      finder_->SetSeeds(seeds);
    }
  });
}

void
WorkloadService::Stop()
{
  if (!thread_.joinable() || stopping_.exchange(true)) {
    return;
  }
  if (!settings_.listenCallers_.empty()) {
    std::this_thread::sleep_for(kUnreadyNotice);
  }
  RunOnThread([this] {
    for (auto& listener : listeners_) {
      listener.listener_->Drain();
    }
  });
  const auto until = MonotonicNow() + settings_.stopGrace_ - kUnreadyNotice;
  while (MonotonicNow() < until &&
         RunOnThread([this] { return InWork(); }) > 0) {
    std::this_thread::sleep_for(kDrainPoll);
  }
  RunOnThread([this] {
    if (host_) {
      host_->Stop();
    }
    if (agent_) {
      agent_->Stop();
    }
    if (finder_) {
      finder_->Stop();
    }
  });
  workGuard_.reset();
  context_.stop();
  thread_.join();
}

} // namespace acaciahill
