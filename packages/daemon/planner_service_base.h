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

/// Runs the planners on the leader, proposes what they decide and asks the
/// platform for reboots.
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
  void RunPlatform();
  /// Returns the processor time of the step.
  std::chrono::microseconds StepOnce(Planners& aPlanners);
  void FillView(PlannerView& aView, MonotonicTime aNow);
  void CarryOut(const std::vector<PlannerAction>& aActions);
  Result<Done> AskPlatform(const AskReboot& aAsk) const;

  const DaemonSettings settings_;
  const ServiceRegistry& registry_;
  Metrics& metrics_;
  ReplicaService* replica_ = nullptr;
  DirectoryService* directory_ = nullptr;

  std::atomic<bool> stopping_{ false };
  std::map<std::string, std::int64_t> refusedBefore_;
  std::mutex askMutex_;
  std::condition_variable askReady_;
  std::deque<AskReboot> asks_;
  std::vector<std::thread> threads_;
};

} // namespace acaciahill
