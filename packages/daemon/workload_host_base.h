#pragma once

#include "daemon/order_relay_base.h"
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

/// Header of answers of a node that does not lead, or no longer does. With
/// status 503 the request was not taken; else it may have been.
inline constexpr const char* kNotLeaderHeader = "Acaciahill-Not-Leader";

/// Runs the scheduler on the leader of the control group: gives it requests,
/// the workers' answers and the time, and carries out what it decides. A new
/// leadership begins with a new scheduler, after everything that former leaders
/// logged was applied here. Used from the context's thread only.
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

  /// True while this node leads and its scheduler decides.
  bool IsActive() const;

  /// Answers a customer's or a worker's or an operator's request. Only while
  /// IsActive().
  void HandleCaller(const HttpRequest& aRequest, Answer aAnswer);
  void HandleControl(const HttpRequest& aRequest, Answer aAnswer);

private:
  template<typename F>
  void Guarded(F aFunction);
  void TakeCaller(const HttpRequest& aRequest, Answer aAnswer);
  void TakeControl(const HttpRequest& aRequest, Answer aAnswer);
  void Tick();
  /// Measures how long what arrives waits, and reports it now and then.
  void ReportLoad();
  void FollowLeadership();
  /// Whether a leader may take requests with the group as it is.
  bool MayBegin(const ControlStatus& aControl);
  void BeginTerm(std::uint64_t aTerm);
  void Activate(std::uint64_t aTerm);
  void Abandon(std::string_view aReason);
  bool HasSlept();
  void RefreshConfig();
  /// Has the scheduler decide on what came in, at once or with what comes in
  /// shortly after.
  void Run();
  /// Carries out what the scheduler decides now.
  void RunNow();
  RequestToken Hold(Answer aAnswer);
  /// Answers once everything logged before is committed, with what the
  /// function makes of the state then.
  void AnswerAfterBarrier(Answer aAnswer,
                          std::function<HttpAnswer(const Workload&)> aMake);
  HttpAnswer StateOf(JobId aJob, const std::string& aQueue) const;
  HttpAnswer PendingOf(const std::string& aQueue) const;

  void CarryOut(const AppendBatch& aAction);
  void CarryOut(const AnswerRequest& aAction);
  void CarryOut(const StartRun& aAction);
  void CarryOut(const StopRun& aAction);
  void CarryOut(const RenewLease& aAction);
  void CarryOut(const PaceRun& aAction);
  void CarryOut(const ListVms& aAction);
  void CarryOut(const BeginUpkeep& aAction);
  void CarryOut(const MoveVm& aAction);
  /// Gives an order to a worker; the function is not called once this
  /// leadership is over.
  void GiveOrder(WorkerOrder aOrder, OrderRelay::OnAnswer aOnAnswer);
  /// Tells the relay which control nodes there are.
  void RefreshAgents();
  void ReadVmPage(const std::string& aToken,
                  std::shared_ptr<std::vector<VmListing>> aSoFar);
  /// Calls the platform; the function is not called once this
  /// leadership is over.
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
  MonotonicTime agentsAt_{};
  bool relays_ = false;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer runTimer_;
  MonotonicTime tickDueAt_{};
  Millis longestLag_{ 0 };
  MonotonicTime loadReportedAt_{};
  bool runDue_ = false;
  MonotonicTime ranAt_{};
  bool stopped_ = false;

  std::optional<Scheduler> scheduler_;
  WorkloadConfig config_;
  std::uint64_t term_ = 0;
  /// The last term in which this node led, and since when.
  std::uint64_t leadsTerm_ = 0;
  MonotonicTime leadsSince_{};
  /// Term for which a barrier is on its way; 0 without one.
  std::uint64_t beginning_ = 0;
  /// Changes with each scheduler, so that answers meant for a former one are
  /// dropped.
  std::uint64_t generation_ = 0;
  RequestToken nextToken_ = 1;
  std::map<RequestToken, Answer> waiting_;
  Millis sleepOffset_{ 0 };
};

} // namespace acaciahill
