#include "daemon/planner_service_base.h"

#include "kernel/error_func.h"
#include "kernel/log_func.h"
#include "kernel/os_clock_func.h"
#include "planner/move_planner_base.h"
#include "planner/placement_planner_base.h"
#include "planner/vm_watch_base.h"
#include "planner/wave_planner_base.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/URI.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace acaciahill {

namespace {

constexpr Millis kStepInterval{ 250 };
// Pause after a step as a multiple of its CPU time: a step over a large fleet
// takes longer, and the planners may use 1% of a core. kLongestPause limits the
// pause, as urgent work must start within 1.7 s.
constexpr int kPausePerStepTime = 99;
constexpr Millis kLongestPause{ 1000 };
constexpr Millis kProposeTimeout{ 3000 };
constexpr Poco::Timespan::TimeDiff kPlatformTimeoutUs = 3'000'000;
constexpr Millis kPlatformPause{ 200 };
// An availability zone counts as in contact while its latest target or node
// status is at most this many routing leases old.
constexpr int kContactLeases = 2;

} // namespace

struct PlannerService::Planners
{
  explicit Planners(const PlannerLimits& aLimits)
    : watch_(aLimits)
    , waves_(aLimits)
    , moves_(aLimits)
    , placement_(aLimits)
  {
  }

  VmWatch watch_;
  WavePlanner waves_;
  MovePlanner moves_;
  PlacementPlanner placement_;
};

PlannerService::PlannerService(const DaemonSettings& aSettings,
                               const ServiceRegistry& aRegistry,
                               Metrics& aMetrics)
  : settings_(aSettings)
  , registry_(aRegistry)
  , metrics_(aMetrics)
{
}

PlannerService::~PlannerService()
{
  Stop();
}

Result<Done>
PlannerService::Start()
{
  replica_ = &registry_.Find<ReplicaService>(kReplicaServiceName);
  directory_ = &registry_.Find<DirectoryService>(kDirectoryServiceName);
  if (settings_.voter_) {
    threads_.emplace_back([this] { RunPlanners(); });
    threads_.emplace_back([this] { RunRebootRequests(); });
  }
  return Done{};
}

void
PlannerService::Stop()
{
  if (stopping_.exchange(true)) {
    return;
  }
  rebootReady_.notify_all();
  for (auto& thread : threads_) {
    thread.join();
  }
  threads_.clear();
}

void
PlannerService::RunPlanners()
{
  const PlannerLimits limits{ settings_.availableFor_,
                              settings_.lostAfter_,
                              settings_.routingLease_,
                              Millis(1000) };
  // The planners are created anew when this node becomes leader: state from an
  // earlier term as leader is as old as the last step then.
  std::unique_ptr<Planners> planners;
  while (!stopping_) {
    auto pause = kStepInterval;
    if (!replica_->Control().isLeader_) {
      planners.reset();
    } else {
      if (!planners) {
        planners = std::make_unique<Planners>(limits);
        refusedBefore_.clear();
      }
      pause = std::clamp(std::chrono::duration_cast<Millis>(
                           StepOnce(*planners) * kPausePerStepTime),
                         kStepInterval,
                         kLongestPause);
    }
    std::this_thread::sleep_for(pause);
  }
}

std::chrono::microseconds
PlannerService::StepOnce(Planners& aPlanners)
{
  const auto now = MonotonicNow();
  const auto usedBefore = ThreadCpuTime();
  PlannerView view;
  FillView(view, now);
  const auto evidence = directory_->Targets();
  const auto tasks = directory_->Read(
    [](const Directory& aDirectory) { return aDirectory.Tasks(); });
  std::vector<PlannerAction> actions;
  replica_->Read([&](const Fleet& aFleet) {
    view.fleet_ = &aFleet;
    for (const auto& [id, vm] : aFleet.Vms()) {
      const auto reports = tasks.find(vm.number_);
      if (reports != tasks.end() &&
          reports->second.incarnation_ == vm.identity_.incarnation_) {
        view.reports_.emplace(id, reports->second.tasks_);
        view.reportsMadeAt_.emplace(id, reports->second.madeAt_);
      }
      const auto found = evidence.find(vm.number_);
      if (found == evidence.end()) {
        continue;
      }
      view.targets_.emplace(id, found->second);
      if (now - found->second.madeAt_ <=
          kContactLeases * settings_.routingLease_) {
        view.zonesInContact_.insert(vm.identity_.zone_);
      }
    }
    for (const auto& [id, status] : view.nodes_) {
      const auto node = aFleet.Nodes().find(id);
      if (node != aFleet.Nodes().end() &&
          now - status.madeAt_ <= kContactLeases * settings_.routingLease_) {
        view.zonesInContact_.insert(node->second.zone_);
      }
    }
    const auto append = [&actions](std::vector<PlannerAction> aActions) {
      std::move(aActions.begin(), aActions.end(), std::back_inserter(actions));
    };
    append(aPlanners.watch_.Step(view, now));
    append(aPlanners.waves_.Step(view, now));
    append(aPlanners.moves_.Step(view, now));
    append(aPlanners.placement_.Step(view, now));
  });
  const auto used = ThreadCpuTime() - usedBefore;
  ExecuteActions(actions);
  metrics_.Observe("acaciahill_planner_step_seconds",
                   {},
                   static_cast<double>(used.count()) / 1e6);
  return used;
}

void
PlannerService::FillView(PlannerView& aView, MonotonicTime aNow)
{
  aView.nodes_ = directory_->Nodes();
  std::map<std::string, std::int64_t> refused;
  for (const auto& [node, status] : aView.nodes_) {
    if (aNow - status.madeAt_ > settings_.routingLease_) {
      continue;
    }
    for (const auto& [pool, load] : status.loads_) {
      aView.loads_[pool].inFlight_ += load.inFlight_;
      aView.loads_[pool].queued_ += load.queued_;
      refused[pool] += static_cast<std::int64_t>(load.refused_);
    }
  }
  for (const auto& [pool, count] : refused) {
    const auto before = refusedBefore_.find(pool);
    if (before != refusedBefore_.end()) {
      // A restarted node counts from 0 again, so the sum may decrease.
      aView.loads_[pool].refused_ =
        std::max<std::int64_t>(0, count - before->second);
    }
  }
  refusedBefore_ = refused;
}

void
PlannerService::ExecuteActions(const std::vector<PlannerAction>& aActions)
{
  std::vector<Command> commands;
  for (const auto& action : aActions) {
    if (const auto* propose = std::get_if<ProposeCommand>(&action)) {
      commands.push_back(propose->command_);
    } else if (const auto* reboot = std::get_if<AskReboot>(&action)) {
      const std::lock_guard lock(rebootMutex_);
      const bool isQueued =
        std::find(rebootRequests_.begin(), rebootRequests_.end(), *reboot) !=
        rebootRequests_.end();
      if (!isQueued) {
        rebootRequests_.push_back(*reboot);
        rebootReady_.notify_one();
      }
    }
  }
  for (const auto& result : replica_->ProposeHere(commands, kProposeTimeout)) {
    if (result.error_) {
      LogInfo("a planner command failed",
              { { "error", Describe(*result.error_) } });
    }
  }
}

void
PlannerService::RunRebootRequests()
{
  while (true) {
    AskReboot reboot;
    {
      std::unique_lock lock(rebootMutex_);
      rebootReady_.wait(
        lock, [this] { return stopping_ || !rebootRequests_.empty(); });
      if (stopping_) {
        return;
      }
      reboot = rebootRequests_.front();
      rebootRequests_.pop_front();
    }
    const auto requested = RequestReboot(reboot);
    if (IsOk(requested)) {
      LogInfo("requested a reboot from the platform",
              { { "vm", reboot.vm_ }, { "operation", reboot.operation_ } });
    } else {
      LogWarning(
        "the reboot request to the platform failed; it will be repeated",
        { { "vm", reboot.vm_ },
          { "operation", reboot.operation_ },
          { "error", Describe(ErrorOf(requested)) } });
      std::this_thread::sleep_for(kPlatformPause);
    }
  }
}

Result<Done>
PlannerService::RequestReboot(const AskReboot& aRequest) const
{
  if (settings_.platformUrl_.empty()) {
    return Error{ ErrorKind::BadSetting,
                  "platform.url is not set, so no VM can be rebooted" };
  }
  try {
    const Poco::URI uri(settings_.platformUrl_);
    std::string vm;
    Poco::URI::encode(aRequest.vm_, "/?#", vm);
    Poco::Net::HTTPClientSession session(uri.getHost(), uri.getPort());
    session.setTimeout(Poco::Timespan(kPlatformTimeoutUs));
    Poco::Net::HTTPRequest request(
      "POST", "/v1/vms/" + vm + "/reboot", "HTTP/1.1");
    const auto body =
      nlohmann::json{ { "operation", aRequest.operation_ } }.dump();
    request.setContentType("application/json");
    request.setContentLength(static_cast<std::streamsize>(body.size()));
    session.sendRequest(request) << body;
    Poco::Net::HTTPResponse response;
    session.receiveResponse(response);
    const int status = response.getStatus();
    if (status < 200 || status >= 300) {
      return Error{ ErrorKind::InvalidState,
                    "the platform answered " + std::to_string(status) };
    }
  } catch (const Poco::Exception& error) {
    return Error{ ErrorKind::IoError, error.displayText() };
  }
  return Done{};
}

} // namespace acaciahill
