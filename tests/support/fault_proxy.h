#pragma once

#include "kernel/time_type.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace acaciahill::testing {

/// Faults of one direction through a proxy.
struct DirectionFaults
{
  /// Bytes are dropped and their connection says nothing, as when a network
  /// loses everything one way. Connections that lost bytes are reset when this
  /// ends, since their streams can no longer be continued.
  bool drop_ = false;
  /// Bytes are held back until this ends.
  bool freeze_ = false;
  Millis delay_{ 0 };
  /// Bytes that each connection may still pass before it is closed; negative
  /// for no limit.
  std::int64_t truncateAfter_ = -1;

  bool operator==(const DirectionFaults&) const = default;
};

/// All switches of a proxy.
struct ProxyFaults
{
  /// Open connections are reset and new ones too.
  bool cut_ = false;
  /// From the connecting side to the server behind the proxy.
  DirectionFaults up_;
  DirectionFaults down_;

  bool operator==(const ProxyFaults&) const = default;
};

/// A TCP proxy in front of one address, with faults that tests switch.
class FaultProxy
{
public:
  /// Listens at once; port 0 takes a free port.
  FaultProxy(const std::string& aListen, std::string aUpstream);
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;
  ~FaultProxy();

  std::string Address() const;

  void Set(const ProxyFaults& aFaults);
  ProxyFaults Faults() const;
  /// Cuts the link, or heals it.
  void Cut(bool aCut);
  /// Resets all open connections; new ones work.
  void ResetAll();
  /// Makes all open connections silent for good, without closing them; new
  /// ones work.
  void FreezeOpen();
  /// Ends all faults but FreezeOpen().
  void Heal();

  /// Takes {"cut": bool, "up": {"drop", "freeze", "delay_ms",
  /// "truncate_after"}, "down": {...}, "reset": true, "freeze_open": true,
  /// "heal": true}; members that are absent stay as they are.
  void Control(const nlohmann::json& aSwitches);

  /// Connections accepted so far, and bytes passed in both directions.
  std::uint64_t Accepted() const { return accepted_; }
  std::uint64_t Bytes() const { return bytes_; }

private:
  struct Link;
  struct PumpState;

  void Accept();
  void Pump(const std::shared_ptr<Link>& aLink, bool aUp);
  static bool WaitReadable(Link& aLink, bool aUp, PumpState& aState);
  static void ReadSome(Link& aLink,
                       bool aUp,
                       const DirectionFaults& aFaults,
                       PumpState& aState);
  /// False when the connection failed or was truncated.
  bool SendDue(Link& aLink,
               bool aUp,
               const DirectionFaults& aFaults,
               PumpState& aState);
  void Start(const Poco::Net::StreamSocket& aClient);
  void EndPump(const std::shared_ptr<Link>& aLink);
  void ResetLinks(bool aOnlyLossy);

  std::string upstream_;
  Poco::Net::ServerSocket socket_;
  std::atomic<bool> stopping_{ false };
  std::atomic<std::uint64_t> accepted_{ 0 };
  std::atomic<std::uint64_t> bytes_{ 0 };
  mutable std::mutex mutex_;
  std::condition_variable ended_;
  ProxyFaults faults_;
  std::list<std::shared_ptr<Link>> links_;
  std::thread acceptor_;
};

} // namespace acaciahill::testing
