#pragma once

#include "daemon/leader_finder_base.h"
#include "daemon/workload_host_base.h"
#include "http/async_client_base.h"
#include "http/async_listener_base.h"
#include "kernel/metrics_base.h"

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

/// Brings requests that arrive at any node to the leader's scheduler, which
/// alone decides on them: to the own one while this node leads, else over the
/// leader's internal interface. A request that found no leader is refused soon
/// and truthfully; one that may have reached a leader is sent again, as every
/// request here may arrive twice, until its outcome is known or time is up.
/// Used from the context's thread only.
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
          std::function<std::string()> aLeader,
          std::function<void()> aOnDoubt);

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
  void Forward(const PendingPtr& aPending, const std::string& aLeader);
  void GiveToHost(Plane aPlane, const HttpRequest& aRequest, Answer aAnswer);

  boost::asio::io_context& context_;
  AsyncClient& client_;
  std::string node_;
  std::string internalPort_;
  Metrics& metrics_;
  WorkloadHost* host_;
  std::function<std::string()> leader_;
  std::function<void()> onDoubt_;
};

} // namespace acaciahill
