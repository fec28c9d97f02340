#include "relay/relay_impl_base.h"

#include "kernel/error_func.h"
#include "kernel/os_clock_func.h"

#include <random>

namespace acaciahill {

namespace {

constexpr Millis kTickInterval{ 20 };
constexpr Millis kMaintenanceInterval{ 500 };
// Longest time that Stop waits for callers to close their connections after
// every request has been answered.
constexpr Millis kCloseGrace{ 1000 };
constexpr std::string_view kProbePath = "/.well-known/acaciahill";

MonotonicTime
DeadlineAfter(MonotonicTime aNow, Millis aTimeout)
{
  return aNow + std::max(aTimeout, Millis{ 0 });
}

std::uint64_t
RandomSeed()
{
  std::random_device device;
  return (std::uint64_t{ device() } << 32U) | device();
}

} // namespace

Relay::Impl::Impl(RelaySettings aSettings,
                  ClaimGate& aClaims,
                  TargetEchoSink& aEchoes,
                  TraceSink& aTraces,
                  Metrics& aMetrics)
  : settings_(std::move(aSettings))
  , claims_(aClaims)
  , echoes_(aEchoes)
  , traces_(aTraces)
  , metrics_(aMetrics)
  , budget_(settings_.maxBufferedBytes_)
  , requestIdPrefix_(settings_.node_ + "-" +
                     MakeChildContext(std::nullopt).spanId_ + "-")
  , router_([this] {
    RouterSettings router;
    router.zone_ = settings_.zone_;
    router.seed_ = RandomSeed();
    return router;
  }())
  , targets_(
      [this] {
        TargetClientSettings client;
        client.limits_ = { static_cast<std::size_t>(settings_.maxHeaderBytes_),
                           static_cast<std::size_t>(
                             settings_.maxAnswerBytes_) };
        client.connectTimeout_ = settings_.connectTimeout_;
        return client;
      }(),
      abort_)
  , server_(settings_, *this, budget_, stop_, abort_)
{
}

void
Relay::Impl::Apply(const RouterInput& aInput)
{
  const std::lock_guard lock(mutex_);
  for (auto& action : router_.Step(aInput, MonotonicNow())) {
    const auto id =
      std::visit([](const auto& aAction) { return aAction.id_; }, action);
    const auto waiter = waiters_.find(id);
    if (waiter != waiters_.end()) {
      waiter->second->actions_.push_back(std::move(action));
      waiter->second->changed_.notify_all();
    }
  }
  if (router_.Waiting() > 0) {
    tickerChanged_.notify_all();
  }
}

void
Relay::Impl::RunTicker()
{
  auto nextMaintenance = MonotonicNow();
  std::unique_lock lock(mutex_);
  while (!stopped_) {
    const bool hasWaiting = router_.Waiting() > 0;
    lock.unlock();
    if (hasWaiting) {
      Apply(RouterTick{});
    }
    if (MonotonicNow() >= nextMaintenance) {
      RunMaintenance();
      nextMaintenance = MonotonicNow() + kMaintenanceInterval;
    }
    lock.lock();
    if (router_.Waiting() > 0) {
      // Arrivals do not end this wait, or a busy node would tick at each one.
      tickerChanged_.wait_for(lock, kTickInterval, [this] { return stopped_; });
    } else {
      const auto left = nextMaintenance - MonotonicNow();
      tickerChanged_.wait_for(
        lock, left, [this] { return stopped_ || router_.Waiting() > 0; });
    }
  }
}

void
Relay::Impl::RunMaintenance()
{
  targets_.CloseOldIdle(MonotonicNow());
  std::map<std::string, RouterPoolLoad> loads;
  {
    const std::lock_guard lock(mutex_);
    loads = router_.Loads();
  }
  for (const auto& [pool, load] : loads) {
    metrics_.Set("acaciahill_relay_in_flight",
                 { { "pool", pool } },
                 static_cast<double>(load.inFlight_));
    metrics_.Set("acaciahill_relay_queued",
                 { { "pool", pool } },
                 static_cast<double>(load.queued_));
  }
  metrics_.Set(
    "acaciahill_relay_buffered_bytes", {}, static_cast<double>(budget_.Used()));
}

void
Relay::Impl::Stop(Millis aGrace)
{
  const auto until = DeadlineAfter(MonotonicNow(), aGrace);
  {
    const std::lock_guard lock(mutex_);
    if (stopping_) {
      return;
    }
    stopping_ = true;
  }
  // Raised before the router refuses queued requests, so that these answers
  // already close their connections.
  stop_.Raise();
  Apply(RouterStop{});
  {
    std::unique_lock lock(mutex_);
    activeRequestsChanged_.wait_for(
      lock, until - MonotonicNow(), [this] { return activeRequests_ == 0; });
  }
  server_.StopListening();
  server_.WaitForEnd(std::min(until, MonotonicNow() + kCloseGrace));
  abort_.Raise();
  server_.Join();
  {
    const std::lock_guard lock(mutex_);
    stopped_ = true;
    tickerChanged_.notify_all();
  }
  if (ticker_.joinable()) {
    ticker_.join();
  }
  targets_.CloseAllIdle();
}

Relay::Relay(RelaySettings aSettings,
             ClaimGate& aClaims,
             TargetEchoSink& aEchoes,
             TraceSink& aTraces,
             Metrics& aMetrics)
  : impl_(std::make_unique<Impl>(std::move(aSettings),
                                 aClaims,
                                 aEchoes,
                                 aTraces,
                                 aMetrics))
{
}

Relay::~Relay()
{
  impl_->Stop(Millis{ 0 });
}

Result<Done>
Relay::Start()
{
  auto started = impl_->server_.Start();
  if (IsOk(started)) {
    impl_->ticker_ = std::thread([this] { impl_->RunTicker(); });
  }
  return started;
}

std::uint16_t
Relay::Port() const
{
  return impl_->server_.Port();
}

void
Relay::SetPools(const PoolsChanged& aPools)
{
  {
    const std::lock_guard lock(impl_->mutex_);
    impl_->rows_.clear();
    for (const auto& row : aPools.rows_) {
      impl_->rows_.emplace(row.pool_, row);
    }
  }
  // Drops the series of removed pools.
  impl_->metrics_.ForgetGauges("acaciahill_relay_in_flight");
  impl_->metrics_.ForgetGauges("acaciahill_relay_queued");
  impl_->Apply(aPools);
}

void
Relay::SetTargets(const TargetsChanged& aTargets)
{
  {
    const std::lock_guard lock(impl_->sendMutex_);
    impl_->allowedTargets_.clear();
    for (const auto& target : aTargets.targets_) {
      impl_->allowedTargets_.emplace(target.vm_, target);
    }
  }
  impl_->Apply(aTargets);
}

std::map<std::string, std::uint32_t>
Relay::InFlight() const
{
  const std::lock_guard lock(impl_->mutex_);
  return impl_->router_.InFlight(MonotonicNow());
}

std::map<std::string, RelayPoolLoad>
Relay::Loads() const
{
  const std::lock_guard lock(impl_->mutex_);
  std::map<std::string, RelayPoolLoad> loads;
  for (const auto& [pool, load] : impl_->router_.Loads()) {
    const auto refused = impl_->refused_.find(pool);
    loads.emplace(
      pool,
      RelayPoolLoad{ load.inFlight_,
                     load.queued_,
                     refused == impl_->refused_.end() ? 0 : refused->second });
  }
  return loads;
}

Result<Done>
Relay::Probe(const std::string& aVm,
             const std::string& aAddress,
             Millis aTimeout,
             bool aAnnounceNow)
{
  BufferLease lease(impl_->budget_, false);
  TargetAttempt attempt;
  attempt.address_ = aAddress;
  attempt.requestId_ =
    impl_->requestIdPrefix_ + std::to_string(impl_->nextId_++);
  attempt.makeRequest_ = [&](MonotonicTime) {
    HttpRequest request{ "HEAD",
                         std::string(kProbePath),
                         { { "Host", aAddress },
                           { "Acaciahill-Request-Id", attempt.requestId_ },
                           { "Connection", "close" } },
                         {},
                         false,
                         false };
    if (aAnnounceNow) {
      request.headers_.push_back({ "Acaciahill-Announce", "now" });
    }
    return request;
  };
  attempt.isHeadRequest_ = true;
  attempt.repeatable_ = true;
  attempt.timeout_ = MonotonicNow() + aTimeout;
  attempt.writeIfAllowed_ = [](const std::function<void()>& aWrite) {
    aWrite();
    return true;
  };
  attempt.dedicatedConnection_ = true;
  const auto outcome = impl_->targets_.Send(attempt, lease);
  switch (outcome.end_) {
    case AttemptEnd::Answered:
    case AttemptEnd::TargetRefused:
      break;
    case AttemptEnd::TimedOut:
      return Error{ ErrorKind::Timeout, outcome.detail_ };
    case AttemptEnd::Malformed:
    case AttemptEnd::TooLarge:
      return Error{ ErrorKind::AnswerMalformed, outcome.detail_ };
    default:
      return Error{ ErrorKind::IoError, outcome.detail_ };
  }
  const auto echo =
    detail::ReadEcho(aVm, outcome.answer_.headers_, outcome.sentAt_);
  if (!echo) {
    return Error{ ErrorKind::AnswerMalformed,
                  "the probe's answer has no Acaciahill-Epoch" };
  }
  impl_->echoes_.OnEcho(*echo);
  return Done{};
}

void
Relay::Stop(Millis aGrace)
{
  impl_->Stop(aGrace);
}

} // namespace acaciahill
