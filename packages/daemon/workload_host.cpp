#include "daemon/workload_host_base.h"

#include "kernel/error_func.h"
#include "kernel/log_func.h"
#include "kernel/os_clock_func.h"
#include "platform/platform_config_func.h"
#include "workload/workload_text_func.h"

#include <boost/asio/post.hpp>

#include <utility>

// Leadership and requests. The scheduler's actions are executed in
// workload_orders.cpp.

namespace acaciahill {

namespace {

// A group that discovers its own members finds all that are running within this
// time.
constexpr Millis kFormationTimeout{ 3000 };

std::uint64_t
WallMs()
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<Millis>(
      std::chrono::system_clock::now().time_since_epoch())
      .count());
}

} // namespace

WorkloadHost::WorkloadHost(const WorkloadSettings& aSettings,
                           ReplicaService& aReplica,
                           Metrics& aMetrics,
                           boost::asio::io_context& aContext,
                           AsyncClient& aClient)
  : settings_(aSettings)
  , replica_(aReplica)
  , metrics_(aMetrics)
  , context_(aContext)
  , client_(aClient)
  , relay_(aContext,
           aClient,
           aSettings.control_.node_,
           aSettings.internalPort_,
           aMetrics)
  , timer_(aContext)
  , runTimer_(aContext)
{
}

WorkloadHost::~WorkloadHost() = default;

void
WorkloadHost::Start()
{
  Tick();
}

void
WorkloadHost::Stop()
{
  stopped_ = true;
  timer_.cancel();
  runTimer_.cancel();
  Abandon("stopping");
}

bool
WorkloadHost::IsActive() const
{
  if (!scheduler_) {
    return false;
  }
  const auto control = replica_.Control();
  return control.isLeader_ && control.term_ == term_ &&
         control.age_ <= settings_.control_.raft_.electionMin_;
}

void
WorkloadHost::Tick()
{
  if (stopped_) {
    return;
  }
  // The timer is started again after an exception as well.
  try {
    FollowLeadership();
    metrics_.Set("acaciahill_scheduler_active", {}, IsActive() ? 1 : 0);
    if (scheduler_) {
      ReportLoad();
      const LeaderMeter::Scope scope(meter_, LeaderWork::Decisions);
      scheduler_->Tick(MonotonicNow(), WallMs());
      Run();
    }
  } catch (const std::exception& error) {
    HandleException(error);
  }
  tickDueAt_ = MonotonicNow() + Scheduler::kTick;
  timer_.expires_after(Scheduler::kTick);
  timer_.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      Tick();
    }
  });
}

void
WorkloadHost::FollowLeadership()
{
  const auto control = replica_.Control();
  if (scheduler_ && (!control.isLeader_ || control.term_ != term_)) {
    Abandon("this node no longer leads");
  }
  if (scheduler_ || !control.isLeader_) {
    return;
  }
  // A second scheduler in one term would start with fences that its workers
  // have seen exceeded, and could not tell its orders from those of the first.
  if (control.term_ == endedTerm_) {
    replica_.Resign(endedTerm_);
  } else if (barrierTerm_ != control.term_ && CanTakeOver(control)) {
    ProposeBarrier(control.term_);
  }
}

// Entries that are committed while the group is still forming survive the loss
// of fewer voters than configured. Nothing is lost by waiting as long as there
// is no configuration.
bool
WorkloadHost::CanTakeOver(const ControlStatus& aControl)
{
  const auto now = MonotonicNow();
  if (leaderTerm_ != aControl.term_) {
    leaderTerm_ = aControl.term_;
    leaderSince_ = now;
  }
  return aControl.voters_.size() >= aControl.wantedVoters_ ||
         now - leaderSince_ >= kFormationTimeout ||
         replica_.Read([](const Fleet& aFleet) {
           return aFleet.GetWorkload().Config().version_ > 0;
         });
}

// The barrier is an empty batch of this node's own term. Once it is committed,
// all entries that former leaders logged, and may have acted on, are applied.
void
WorkloadHost::ProposeBarrier(std::uint64_t aTerm)
{
  barrierTerm_ = aTerm;
  replica_.ProposeAsync(
    ChangeWorkload{ EncodeBatch({}) },
    [this, aTerm](const CommandResult& aResult) {
      const bool isCommitted = !aResult.error_;
      boost::asio::post(context_, [this, aTerm, isCommitted] {
        if (stopped_ || barrierTerm_ != aTerm) {
          return;
        }
        barrierTerm_ = 0;
        const auto control = replica_.Control();
        if (isCommitted && control.isLeader_ && control.term_ == aTerm) {
          Activate(aTerm);
        }
      });
    });
}

void
WorkloadHost::Activate(std::uint64_t aTerm)
{
  auto state =
    replica_.Read([](const Fleet& aFleet) { return aFleet.GetWorkload(); });
  LogInfo("starting the scheduler",
          { { "term", aTerm },
            { "jobs", state.Jobs().size() },
            { "workers", state.Workers().size() },
            { "config", state.Config().version_ } });
  term_ = aTerm;
  ++generation_;
  config_ = {};
  queuedJobs_.Reset();
  relay_.Begin(aTerm);
  reportedOrders_ = {};
  loadReportedAt_ = MonotonicNow();
  meter_.Reset();
  scheduler_.emplace(
    std::move(state), settings_.scheduler_, aTerm, MonotonicNow());
  RefreshConfig();
  // The first run issues many orders. The agents are contacted now and that run
  // is delayed by kRunInterval, so that the agents can relay these orders.
  agentsRefreshedAt_ = {};
  RefreshAgents();
  lastRunAt_ = MonotonicNow();
  Run();
}

void
WorkloadHost::Abandon(std::string_view aReason)
{
  if (term_ != 0) {
    endedTerm_ = std::exchange(term_, 0);
  }
  if (!scheduler_) {
    return;
  }
  LogWarning("stopping the scheduler",
             { { "term", endedTerm_ },
               { "reason", aReason },
               { "waiting_requests", waiting_.size() } });
  scheduler_.reset();
  relay_.End();
  ++generation_;
  auto waiting = std::move(waiting_);
  waiting_.clear();
  // The changes that these requests asked for may already be in the log.
  auto unclear = platform::EncodeUnclear();
  unclear.headers_.push_back({ kNotLeaderHeader, "yes" });
  for (const auto& [token, answer] : waiting) {
    answer(unclear);
  }
}

void
WorkloadHost::RefreshConfig()
{
  const auto known = config_.version_;
  const auto document = replica_.Read([known](const Fleet& aFleet) {
    const auto& config = aFleet.GetWorkload().Config();
    return config.version_ > known ? config : ConfigDocument{};
  });
  if (document.version_ <= known) {
    return;
  }
  const auto config = platform::DecodeConfig(document.text_);
  if (!IsOk(config)) {
    LogError("cannot decode the committed configuration",
             { { "version", document.version_ },
               { "error", Describe(ErrorOf(config)) } });
    return;
  }
  config_ = ValueOf(config);
  LogInfo("configuration in force",
          { { "version", config_.version_ },
            { "before", known },
            { "queues", config_.queues_.size() },
            { "pools", config_.pools_.size() },
            { "tenants", config_.tenants_.size() } });
  scheduler_->UseConfig(config_, MonotonicNow());
}

RequestToken
WorkloadHost::AddWaitingRequest(Answer aAnswer)
{
  const auto token = nextToken_++;
  waiting_.emplace(token, std::move(aAnswer));
  return token;
}

void
WorkloadHost::HandleException(const std::exception& aError)
{
  LogError("exception in the scheduler", { { "error", aError.what() } });
  Abandon("exception in the scheduler");
}

template<typename F>
void
WorkloadHost::AbandonOnException(F aFunction)
{
  try {
    aFunction();
  } catch (const std::exception& error) {
    HandleException(error);
    throw;
  }
}

void
WorkloadHost::HandleCaller(const HttpRequest& aRequest, Answer aAnswer)
{
  AbandonOnException([&] { DispatchCaller(aRequest, std::move(aAnswer)); });
}

void
WorkloadHost::HandleControl(const HttpRequest& aRequest, Answer aAnswer)
{
  AbandonOnException([&] { DispatchControl(aRequest, std::move(aAnswer)); });
}

void
WorkloadHost::DispatchCaller(const HttpRequest& aRequest, Answer aAnswer)
{
  const LeaderMeter::Scope scope(meter_, LeaderWork::Callers);
  const auto call = platform::DecodeCallerCall(aRequest, config_);
  const auto now = MonotonicNow();
  if (config_.version_ == 0) {
    aAnswer(platform::EncodeNotNow(Millis(0)));
  } else if (const auto* submit = std::get_if<platform::SubmitCall>(&call)) {
    scheduler_->SubmitJob(
      AddWaitingRequest(std::move(aAnswer)), submit->spec_, now);
  } else if (const auto* state = std::get_if<platform::StateCall>(&call)) {
    aAnswer(JobStateAnswer(*state));
  } else if (const auto* cancel = std::get_if<platform::CancelCall>(&call)) {
    scheduler_->CancelJob(AddWaitingRequest(std::move(aAnswer)),
                          cancel->job_,
                          cancel->queue_,
                          cancel->tenant_,
                          now);
  } else if (const auto* pending = std::get_if<platform::PendingCall>(&call)) {
    aAnswer(PendingCountAnswer(pending->queue_));
  } else if (std::holds_alternative<platform::UnauthorizedCall>(call)) {
    aAnswer(platform::EncodeUnauthorized());
  } else if (const auto* bad = std::get_if<platform::InvalidCall>(&call)) {
    aAnswer(platform::EncodeInvalid(bad->reason_));
  } else {
    aAnswer(platform::EncodeUnknown());
  }
  Run();
}

void
WorkloadHost::DispatchControl(const HttpRequest& aRequest, Answer aAnswer)
{
  const LeaderMeter::Scope scope(meter_, LeaderWork::Control);
  auto call = platform::DecodeControlCall(aRequest);
  const auto now = MonotonicNow();
  if (auto* config = std::get_if<platform::ConfigCall>(&call)) {
    const auto decoded = platform::DecodeConfig(config->document_.text_);
    if (!IsOk(decoded)) {
      LogInfo("rejected an invalid configuration",
              { { "reason", ErrorOf(decoded).detail_ } });
      aAnswer(platform::EncodeInvalid(ErrorOf(decoded).detail_));
    } else {
      config->document_.version_ = ValueOf(decoded).version_;
      scheduler_->AcceptConfig(
        AddWaitingRequest(std::move(aAnswer)), config->document_, now);
    }
  } else if (std::holds_alternative<platform::ConfigReadCall>(call)) {
    AnswerAfterBarrier(std::move(aAnswer), [](const Workload& aState) {
      return aState.Config().version_ == 0
               ? platform::EncodeNotNow(Millis(0))
               : platform::EncodeConfig(aState.Config());
    });
  } else if (auto* report = std::get_if<platform::ReportCall>(&call)) {
    scheduler_->ReportWorker(
      AddWaitingRequest(std::move(aAnswer)), report->report_, now);
  } else if (auto* leave = std::get_if<platform::LeaveCall>(&call)) {
    scheduler_->RemoveWorker(AddWaitingRequest(std::move(aAnswer)),
                             leave->worker_,
                             leave->processStartMs_,
                             now);
  } else if (auto* wave = std::get_if<platform::WaveCall>(&call)) {
    scheduler_->StartWave(
      AddWaitingRequest(std::move(aAnswer)), wave->wave_, now);
  } else if (auto* asked = std::get_if<platform::WaveStateCall>(&call)) {
    AnswerAfterBarrier(
      std::move(aAnswer), [id = asked->wave_](const Workload& aState) {
        const auto found = aState.Waves().find(id);
        return found == aState.Waves().end()
                 ? platform::EncodeUnknown()
                 : platform::EncodeWaveState(found->second.completed_);
      });
  } else if (const auto* bad = std::get_if<platform::InvalidCall>(&call)) {
    aAnswer(platform::EncodeInvalid(bad->reason_));
  } else {
    aAnswer(platform::EncodeUnknown());
  }
  Run();
}

void
WorkloadHost::AnswerAfterBarrier(
  Answer aAnswer,
  std::function<HttpAnswer(const Workload&)> aMake)
{
  replica_.ProposeAsync(
    ChangeWorkload{ EncodeBatch({}) },
    [this, answer = std::move(aAnswer), make = std::move(aMake)](
      const CommandResult& aResult) {
      auto made = aResult.error_ ? platform::EncodeNotNow(Millis(0))
                                 : replica_.Read([&make](const Fleet& aFleet) {
                                     return make(aFleet.GetWorkload());
                                   });
      boost::asio::post(context_,
                        [answer, made = std::move(made)] { answer(made); });
    });
}

// Reads only the committed state, which later leaders report as well.
HttpAnswer
WorkloadHost::JobStateAnswer(const platform::StateCall& aCall) const
{
  return replica_.Read([&](const Fleet& aFleet) {
    const auto* job = aFleet.GetWorkload().FindJob(aCall.job_);
    return job != nullptr && IsVisibleTo(*job, aCall.queue_, aCall.tenant_)
             ? platform::EncodeJobState(job->phase_)
             : platform::EncodeNoJob();
  });
}

HttpAnswer
WorkloadHost::PendingCountAnswer(const std::string& aQueue)
{
  return platform::EncodePending(queuedJobs_.Of(aQueue, MonotonicNow(), [this] {
    return replica_.Read([](const Fleet& aFleet) {
      QueuedJobCounts::Counts counts;
      for (const auto& [id, job] : aFleet.GetWorkload().Jobs()) {
        if (job.phase_ == JobPhase::Queued) {
          ++counts[job.spec_.queue_];
        }
      }
      return counts;
    });
  }));
}

} // namespace acaciahill
