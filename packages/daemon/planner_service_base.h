#pragma once

#include "daemon/daemon_settings_type.h"
#include "daemon/directory_service_base.h"
#include "daemon/replica_service_base.h"
#include "kernel/service_registry_base.h"
#include "planner/planner_type.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace acaciahill {

/// Name under which the service is registered.
inline constexpr const char* kPlannerServiceName = "planner";

/// Runs the planners on the leader, proposes their commands and sends their
/// reboot requests to the platform.
class PlannerService : public Service
{
public:
  PlannerService(const DaemonSettings& aSettings,
                 const ServiceRegistry& aRegistry,
                 Metrics& aMetrics);
  ~PlannerService() override;

  Result<Done> Start() override;
  void Stop() override;

private:
  struct Planners;

  void RunPlanners();
  void RunRebootRequests();
  /// Runs one step of all planners. Returns its CPU time.
  std::chrono::microseconds StepOnce(Planners& aPlanners);
  /// Fills in the nodes and the load of the pools.
  void FillView(PlannerView& aView, MonotonicTime aNow);
  void ExecuteActions(const std::vector<PlannerAction>& aActions);
  Result<Done> RequestReboot(const AskReboot& aRequest) const;

  const DaemonSettings settings_;
  const ServiceRegistry& registry_;
  Metrics& metrics_;
  ReplicaService* replica_ = nullptr;
  DirectoryService* directory_ = nullptr;

  std::atomic<bool> stopping_{ false };
  /// Refused requests by pool, summed over the nodes at the previous step.
  std::map<std::string, std::int64_t> refusedBefore_;
  std::mutex rebootMutex_;
  std::condition_variable rebootReady_;
  std::deque<AskReboot> rebootRequests_;
  std::vector<std::thread> threads_;
};

} // namespace acaciahill
