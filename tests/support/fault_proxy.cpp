#include "support/fault_proxy.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <deque>
#include <utility>

namespace acaciahill::testing {

namespace {

using Clock = std::chrono::steady_clock;
using nlohmann::json;

constexpr Millis kPoll{ 10 };
constexpr Millis kConnectTimeout{ 1000 };
constexpr Millis kSendTimeout{ 50 };
constexpr std::size_t kChunkBytes = 32UL * 1024;

Poco::Timespan
ToTimespan(Millis aTime)
{
  return Poco::Timespan(aTime.count() * 1000);
}

DirectionFaults
WithSwitches(DirectionFaults aFaults, const json& aSwitches)
{
  aFaults.drop_ = aSwitches.value("drop", aFaults.drop_);
  aFaults.freeze_ = aSwitches.value("freeze", aFaults.freeze_);
  aFaults.delay_ = Millis(aSwitches.value("delay_ms", aFaults.delay_.count()));
  aFaults.truncateAfter_ =
    aSwitches.value("truncate_after", aFaults.truncateAfter_);
  return aFaults;
}

void
ShutDown(Poco::Net::StreamSocket& aSocket)
{
  try {
    aSocket.shutdown();
  } catch (const Poco::Exception&) {
    // Already closed by the peer.
  }
}

void
SetResetOnClose(Poco::Net::StreamSocket& aSocket)
{
  try {
    aSocket.setLinger(true, 0);
  } catch (const Poco::Exception&) {
    // Already closed by the peer.
  }
}

/// Sends all bytes; false when the connection failed or the link ended.
bool
SendAll(Poco::Net::StreamSocket& aSocket,
        const std::string& aBytes,
        const std::atomic<bool>& aEnded)
{
  std::size_t sent = 0;
  while (sent < aBytes.size() && !aEnded) {
    try {
      const int count = aSocket.sendBytes(
        aBytes.data() + sent, static_cast<int>(aBytes.size() - sent));
      if (count <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(count);
    } catch (const Poco::TimeoutException&) {
      // The receiver's buffers are full; the send timeout only lets the end of
      // the link be noticed.
    } catch (const Poco::Exception&) {
      return false;
    }
  }
  return sent == aBytes.size();
}

} // namespace

/// One connection through the proxy; two pumps share it.
struct FaultProxy::Link
{
  Poco::Net::StreamSocket client_;
  Poco::Net::StreamSocket server_;
  std::atomic<bool> ended_{ false };
  /// Close with a TCP reset.
  std::atomic<bool> reset_{ false };
  std::atomic<bool> silent_{ false };
  std::atomic<bool> lossy_{ false };
  int pumps_ = 2;

  Poco::Net::StreamSocket& From(bool aUp) { return aUp ? client_ : server_; }
};

/// What one pump holds of its direction.
struct FaultProxy::PumpState
{
  std::deque<std::pair<Clock::time_point, std::string>> held_;
  std::int64_t passed_ = 0;
  bool closed_ = false;
};

FaultProxy::FaultProxy(const std::string& aListen, std::string aUpstream)
  : upstream_(std::move(aUpstream))
{
  socket_.bind(Poco::Net::SocketAddress(aListen), true, false);
  socket_.listen(256);
  acceptor_ = std::thread([this] { Accept(); });
}

FaultProxy::~FaultProxy()
{
  stopping_ = true;
  acceptor_.join();
  ResetLinks(false);
  std::unique_lock lock(mutex_);
  ended_.wait(lock, [this] { return links_.empty(); });
}

std::string
FaultProxy::Address() const
{
  return socket_.address().toString();
}

void
FaultProxy::Set(const ProxyFaults& aFaults)
{
  bool reset = false;
  bool resetLossy = false;
  {
    const std::lock_guard lock(mutex_);
    reset = aFaults.cut_;
    resetLossy = (faults_.up_.drop_ && !aFaults.up_.drop_) ||
                 (faults_.down_.drop_ && !aFaults.down_.drop_);
    faults_ = aFaults;
  }
  if (reset || resetLossy) {
    ResetLinks(!reset);
  }
}

ProxyFaults
FaultProxy::Faults() const
{
  const std::lock_guard lock(mutex_);
  return faults_;
}

void
FaultProxy::Cut(bool aCut)
{
  auto faults = Faults();
  faults.cut_ = aCut;
  Set(faults);
}

void
FaultProxy::ResetAll()
{
  ResetLinks(false);
}

void
FaultProxy::FreezeOpen()
{
  const std::lock_guard lock(mutex_);
  for (const auto& link : links_) {
    link->silent_ = true;
  }
}

void
FaultProxy::Heal()
{
  Set({});
}

void
FaultProxy::Control(const nlohmann::json& aSwitches)
{
  auto faults = aSwitches.value("heal", false) ? ProxyFaults{} : Faults();
  faults.cut_ = aSwitches.value("cut", faults.cut_);
  faults.up_ = WithSwitches(faults.up_, aSwitches.value("up", json::object()));
  faults.down_ =
    WithSwitches(faults.down_, aSwitches.value("down", json::object()));
  Set(faults);
  if (aSwitches.value("reset", false)) {
    ResetAll();
  }
  if (aSwitches.value("freeze_open", false)) {
    FreezeOpen();
  }
}

void
FaultProxy::ResetLinks(bool aOnlyLossy)
{
  const std::lock_guard lock(mutex_);
  for (const auto& link : links_) {
    if (!aOnlyLossy || link->lossy_) {
      link->reset_ = true;
      link->ended_ = true;
    }
  }
}

void
FaultProxy::Accept()
{
  while (!stopping_) {
    try {
      if (!socket_.poll(ToTimespan(kPoll), Poco::Net::Socket::SELECT_READ)) {
        continue;
      }
      auto client = socket_.acceptConnection();
      if (Faults().cut_) {
        SetResetOnClose(client);
        client.close();
        continue;
      }
      ++accepted_;
      // The connection to the server may take long; others are accepted
      // meanwhile.
      Start(client);
    } catch (const Poco::Exception&) {
      // A connection that failed while it was accepted concerns only its peer.
    }
  }
}

void
FaultProxy::Start(const Poco::Net::StreamSocket& aClient)
{
  auto link = std::make_shared<Link>();
  link->client_ = aClient;
  {
    const std::lock_guard lock(mutex_);
    links_.push_back(link);
  }
  std::thread([this, link] {
    try {
      link->server_.connect(Poco::Net::SocketAddress(upstream_),
                            ToTimespan(kConnectTimeout));
      link->client_.setNoDelay(true);
      link->server_.setNoDelay(true);
      link->client_.setSendTimeout(ToTimespan(kSendTimeout));
      link->server_.setSendTimeout(ToTimespan(kSendTimeout));
    } catch (const Poco::Exception&) {
      link->reset_ = true;
      link->ended_ = true;
    }
    std::thread([this, link] { Pump(link, true); }).detach();
    Pump(link, false);
  }).detach();
}

void
FaultProxy::Pump(const std::shared_ptr<Link>& aLink, bool aUp)
{
  PumpState state;
  while (!aLink->ended_) {
    const bool readable = WaitReadable(*aLink, aUp, state);
    // Taken after the wait: a fault that was switched on during it concerns
    // the bytes that ended it.
    const auto faults = Faults();
    const auto& mine = aUp ? faults.up_ : faults.down_;
    // A frozen direction reads nothing, so that its sender fills its buffers
    // as with a peer that has gone silent.
    if (aLink->silent_ || mine.freeze_) {
      std::this_thread::sleep_for(kPoll);
      continue;
    }
    if (readable) {
      ReadSome(*aLink, aUp, mine, state);
    }
    if (!SendDue(*aLink, aUp, mine, state)) {
      aLink->ended_ = true;
    }
    // A direction that drops everything also drops the end of the stream.
    if (state.closed_ && state.held_.empty() && !mine.drop_) {
      break;
    }
  }
  EndPump(aLink);
}

bool
FaultProxy::WaitReadable(Link& aLink, bool aUp, PumpState& aState)
{
  const auto wait = aState.held_.empty() ? kPoll : Millis(1);
  if (aState.closed_) {
    std::this_thread::sleep_for(wait);
    return false;
  }
  try {
    return aLink.From(aUp).poll(ToTimespan(wait),
                                Poco::Net::Socket::SELECT_READ);
  } catch (const Poco::Exception&) {
    aState.closed_ = true;
    return false;
  }
}

void
FaultProxy::ReadSome(Link& aLink,
                     bool aUp,
                     const DirectionFaults& aFaults,
                     PumpState& aState)
{
  std::array<char, kChunkBytes> chunk{};
  try {
    const int got = aLink.From(aUp).receiveBytes(
      chunk.data(), static_cast<int>(chunk.size()));
    if (got <= 0) {
      aState.closed_ = true;
    } else if (aFaults.drop_) {
      aLink.lossy_ = true;
    } else {
      aState.held_.emplace_back(
        Clock::now() + aFaults.delay_,
        std::string(chunk.data(), static_cast<std::size_t>(got)));
    }
  } catch (const Poco::Exception&) {
    aState.closed_ = true;
  }
  if (aState.closed_ && aFaults.drop_) {
    aLink.lossy_ = true;
  }
}

bool
FaultProxy::SendDue(Link& aLink,
                    bool aUp,
                    const DirectionFaults& aFaults,
                    PumpState& aState)
{
  while (!aState.held_.empty() && aState.held_.front().first <= Clock::now()) {
    auto bytes = std::move(aState.held_.front().second);
    aState.held_.pop_front();
    const auto left = aFaults.truncateAfter_ - aState.passed_;
    const bool truncate = aFaults.truncateAfter_ >= 0 &&
                          static_cast<std::int64_t>(bytes.size()) > left;
    if (truncate) {
      bytes.resize(static_cast<std::size_t>(std::max<std::int64_t>(left, 0)));
    }
    aState.passed_ += static_cast<std::int64_t>(bytes.size());
    bytes_ += bytes.size();
    if (!SendAll(aLink.From(!aUp), bytes, aLink.ended_) || truncate) {
      return false;
    }
  }
  return true;
}

void
FaultProxy::EndPump(const std::shared_ptr<Link>& aLink)
{
  const std::lock_guard lock(mutex_);
  aLink->ended_ = true;
  if (--aLink->pumps_ > 0) {
    return;
  }
  for (auto* socket : { &aLink->client_, &aLink->server_ }) {
    if (aLink->reset_) {
      SetResetOnClose(*socket);
    } else {
      ShutDown(*socket);
    }
    socket->close();
  }
  links_.remove(aLink);
  ended_.notify_all();
}

} // namespace acaciahill::testing
