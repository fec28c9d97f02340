#pragma once

#include "daemon/leader_meter_base.h"
#include "daemon/order_relay_base.h"
#include "daemon/queued_job_counts_base.h"
#include "daemon/replica_service_base.h"
#include "daemon/workload_settings_type.h"
#include "http/async_client_base.h"
#include "http/async_listener_base.h"
#include "kernel/metrics_base.h"
#include "platform/platform_requests_func.h"
#include "workload/scheduler_base.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace acaciahill {

/// Header that a node sets on answers when it is not, or no longer, the leader.
/// With status 503 the request was not accepted; with any other status it may
/// have been.
inline constexpr const char* kNotLeaderHeader = "Acaciahill-Not-Leader";

/// Runs the scheduler on the leader of the control group: passes it requests,
/// the workers' answers and the time, and executes the actions that it returns.
/// Each leadership term starts with a new scheduler, after all log entries of
/// former leaders have been applied on this node. Used from the context's
/// thread only.
class WorkloadHost
{
public:
  using Answer = AsyncListener::Answer;

  WorkloadHost(const WorkloadSettings& aSettings,
               ReplicaService& aReplica,
               Metrics& aMetrics,
               boost::asio::io_context& aContext,
               AsyncClient& aClient);
  ~WorkloadHost();
  WorkloadHost(const WorkloadHost&) = delete;
  WorkloadHost& operator=(const WorkloadHost&) = delete;

  void Start();
  void Stop();

  /// True while this node leads and its scheduler is running.
  bool IsActive() const;

  /// Answers a request of a customer (HandleCaller) or of a worker or operator
  /// (HandleControl). May only be called while IsActive().
  void HandleCaller(const HttpRequest& aRequest, Answer aAnswer);
  void HandleControl(const HttpRequest& aRequest, Answer aAnswer);

  /// Ends the scheduler after an exception, as its state may hold changes that
  /// were not logged, and gives up the leadership; the next leader continues
  /// from the committed state.
  void HandleException(const std::exception& aError);

private:
  /// Calls the function; when it throws, gives up the leadership and rethrows.
  template<typename F>
  void AbandonOnException(F aFunction);
  void DispatchCaller(const HttpRequest& aRequest, Answer aAnswer);
  void DispatchControl(const HttpRequest& aRequest, Answer aAnswer);
  void Tick();
  /// Measures the delay of ticks and reports the longest one periodically.
  void ReportLoad();
  /// Reports the tenants whose tasks use most.
  void ReportTenants();
  void FollowLeadership();
  /// Whether the control group is complete enough, or has been waited for long
  /// enough, for this leader to accept requests.
  bool CanTakeOver(const ControlStatus& aControl);
  void ProposeBarrier(std::uint64_t aTerm);
  void Activate(std::uint64_t aTerm);
  void Abandon(std::string_view aReason);
  void RefreshConfig();
  /// Executes the scheduler's actions, at once or after a short delay that
  /// combines several inputs into one run.
  void Run();
  /// Executes the scheduler's pending actions at once.
  void RunNow();
  /// Stores the callback of a request until the scheduler answers it.
  RequestToken AddWaitingRequest(Answer aAnswer);
  /// Answers with what the function makes of the state, after all earlier log
  /// entries have been committed and applied.
  void AnswerAfterBarrier(Answer aAnswer,
                          std::function<HttpAnswer(const Workload&)> aMake);
  HttpAnswer JobStateAnswer(const platform::StateCall& aCall) const;
  HttpAnswer PendingCountAnswer(const std::string& aQueue);

  void Execute(const AppendBatch& aAction);
  void Execute(const AnswerRequest& aAction);
  void Execute(const StartRun& aAction);
  void Execute(const StopRun& aAction);
  void Execute(const RenewLease& aAction);
  void Execute(const PaceRun& aAction);
  void Execute(const ListVms& aAction);
  void Execute(const BeginUpkeep& aAction);
  void Execute(const MoveVm& aAction);
  /// Sends an order to a worker; the callback is not called after the end of
  /// this leadership.
  void SendOrder(WorkerOrder aOrder, OrderRelay::OnAnswer aOnAnswer);
  /// Updates the relay's list of control nodes that can forward orders.
  void RefreshAgents();
  void ReadVmPage(const ListVms& aAction,
                  const std::string& aToken,
                  std::shared_ptr<std::vector<VmListing>> aSoFar);
  /// Calls the platform; the callback is not called after the end of this
  /// leadership.
  void Call(const std::string& aAddress,
            HttpRequest aRequest,
            Millis aTimeout,
            std::function<void(const CallResult&)> aOnResult);

  const WorkloadSettings settings_;
  ReplicaService& replica_;
  Metrics& metrics_;
  boost::asio::io_context& context_;
  AsyncClient& client_;
  OrderRelay relay_;
  MonotonicTime agentsRefreshedAt_{};
  bool usesAgents_ = false;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer runTimer_;
  MonotonicTime tickDueAt_{};
  Millis longestLag_{ 0 };
  MonotonicTime loadReportedAt_{};
  LeaderMeter meter_;
  OrderCounts reportedOrders_;
  bool isRunScheduled_ = false;
  MonotonicTime lastRunAt_{};
  bool stopped_ = false;

  std::optional<Scheduler> scheduler_;
  WorkloadConfig config_;
  std::uint64_t term_ = 0;
  /// Term of the last scheduler that has ended on this node.
  std::uint64_t endedTerm_ = 0;
  /// The last term in which this node led, and when it was first seen to lead.
  std::uint64_t leaderTerm_ = 0;
  MonotonicTime leaderSince_{};
  /// Term whose barrier entry is not committed yet; 0 when there is none.
  std::uint64_t barrierTerm_ = 0;
  /// Incremented with each scheduler, so that callbacks of a former one are
  /// ignored.
  std::uint64_t generation_ = 0;
  QueuedJobCounts queuedJobs_;
  RequestToken nextToken_ = 1;
  std::map<RequestToken, Answer> waiting_;
};

} // namespace acaciahill
