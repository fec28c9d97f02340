#pragma once

#include "daemon/gateway_base.h"
#include "daemon/leader_finder_base.h"
#include "daemon/replica_service_base.h"
#include "daemon/workload_host_base.h"
#include "daemon/workload_settings_type.h"
#include "http/async_client_base.h"
#include "http/async_listener_base.h"
#include "kernel/metrics_base.h"
#include "kernel/service_registry_base.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace acaciahill {

/// Name under which the service is registered.
inline constexpr const char* kWorkloadServiceName = "workload";

/// Serves the network interfaces of a node in workload mode, on one thread:
/// customers on entry nodes, workers and operators on control nodes, other
/// nodes on both.
class WorkloadService : public Service
{
public:
  WorkloadService(const WorkloadSettings& aSettings,
                  const ServiceRegistry& aRegistry,
                  Metrics& aMetrics);
  ~WorkloadService() override;

  Result<Done> Start() override;
  /// Fails the readiness check first, so that the platform sends no new
  /// connections; then answers the requests in progress and stops.
  void Stop() override;

  /// Applies a changed settings file: the seeds only.
  void Reload(const WorkloadSettings& aSettings);

private:
  struct Port
  {
    /// As in the settings.
    std::string name_;
    std::string address_;
    AsyncListener::Handler handler_;
  };

  struct NamedListener
  {
    std::string name_;
    std::unique_ptr<AsyncListener> listener_;
  };

  LeaderSource MakeLeaderSource();
  std::vector<Port> MakePorts();
  /// Sets the metrics of connections and refused peers.
  void ExportListeners();
  bool IsReady() const;
  void AnswerInternal(const HttpRequest& aRequest,
                      AsyncListener::Answer aAnswer);
  std::size_t InWork() const;
  /// Runs a function on the context's thread and waits for its result.
  template<typename F>
  auto RunOnThread(F aFunction);

  const WorkloadSettings settings_;
  const ServiceRegistry& registry_;
  Metrics& metrics_;
  ReplicaService* replica_ = nullptr;

  boost::asio::io_context context_;
  std::optional<
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>>
    workGuard_;
  AsyncClient client_;
  std::optional<LeaderFinder> finder_;
  std::optional<WorkloadHost> host_;
  std::optional<ReplicaReader> reader_;
  std::optional<OrderAgent> agent_;
  std::optional<Gateway> gateway_;
  std::vector<NamedListener> listeners_;
  std::atomic<bool> stopping_{ false };
  std::thread thread_;
};

} // namespace acaciahill
