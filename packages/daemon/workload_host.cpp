#include "daemon/workload_host_base.h"

#include "kernel/error_func.h"
#include "kernel/log_func.h"
#include "kernel/os_clock_func.h"
#include "platform/platform_config_func.h"
#include "workload/workload_text_func.h"

#include <boost/asio/post.hpp>

#include <algorithm>

// Leadership and requests. What the scheduler decided is carried out in
// workload_orders.cpp.

namespace acaciahill {

namespace {

// A group that forms itself has found its members within this time, if they
// run.
constexpr Millis kFormationTime{ 3000 };

constexpr Millis kLoadReport{ 2000 };

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
           aSettings.control_.zone_,
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
  sleepOffset_ = SleepTime();
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
  if (!scheduler_ || scheduler_->IsDeposed()) {
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
  FollowLeadership();
  if (scheduler_) {
    ReportLoad();
    scheduler_->Tick(MonotonicNow(), WallMs());
    Run();
  }
  tickDueAt_ = MonotonicNow() + Scheduler::kTick;
  timer_.expires_after(Scheduler::kTick);
  timer_.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      Tick();
    }
  });
}

// How late ticks come tells how long all that arrives here waits for this
// thread.
void
WorkloadHost::ReportLoad()
{
  const auto now = MonotonicNow();
  const auto lag = tickDueAt_ == MonotonicTime{} ? Millis(0) : now - tickDueAt_;
  longestLag_ = std::max(longestLag_, lag);
  if (now - loadReportedAt_ < kLoadReport) {
    return;
  }
  metrics_.Set("acaciahill_leader_lag_seconds",
               {},
               std::chrono::duration<double>(longestLag_).count());
  LogInfo("load of the leader",
          { { "longest_lag_ms", longestLag_.count() },
            { "waiting_requests", waiting_.size() },
            { "workers", scheduler_->Views().size() },
            { "jobs", scheduler_->State().Jobs().size() } });
  loadReportedAt_ = now;
  longestLag_ = Millis(0);
}

// While a machine is suspended another leader may take over, and the steady
// clock does not show it.
bool
WorkloadHost::HasSlept()
{
  constexpr Millis kTolerance{ 100 };
  const auto offset = SleepTime();
  const bool slept = offset > sleepOffset_ + kTolerance;
  sleepOffset_ = offset;
  return slept;
}

void
WorkloadHost::FollowLeadership()
{
  if (HasSlept()) {
    Abandon("this machine was suspended");
    beginning_ = 0;
  }
  const auto control = replica_.Control();
  if (scheduler_ && (!control.isLeader_ || control.term_ != term_)) {
    Abandon("this node no longer leads");
  }
  if (!scheduler_ && control.isLeader_ && beginning_ != control.term_ &&
      control.term_ != term_ && MayBegin(control)) {
    BeginTerm(control.term_);
  }
}

// Nothing is lost by waiting before the first configuration. What is accepted
// by a group that is still forming bears fewer losses than it should.
bool
WorkloadHost::MayBegin(const ControlStatus& aControl)
{
  const auto now = MonotonicNow();
  if (leadsTerm_ != aControl.term_) {
    leadsTerm_ = aControl.term_;
    leadsSince_ = now;
  }
  return aControl.voters_.size() >= aControl.wantedVoters_ ||
         now - leadsSince_ >= kFormationTime ||
         replica_.Read([](const Fleet& aFleet) {
           return aFleet.GetWorkload().Config().version_ > 0;
         });
}

// An empty batch of the own term comes after everything that former leaders
// have logged and may have acted on.
void
WorkloadHost::BeginTerm(std::uint64_t aTerm)
{
  beginning_ = aTerm;
  replica_.ProposeAsync(
    ChangeWorkload{ EncodeBatch({}) },
    [this, aTerm](const CommandResult& aResult) {
      const bool isCommitted = !aResult.error_;
      boost::asio::post(context_, [this, aTerm, isCommitted] {
        if (stopped_ || beginning_ != aTerm) {
          return;
        }
        beginning_ = 0;
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
  LogInfo("taking over the scheduling",
          { { "term", aTerm },
            { "jobs", state.Jobs().size() },
            { "workers", state.Workers().size() },
            { "config", state.Config().version_ } });
  term_ = aTerm;
  ++generation_;
  config_ = {};
  relay_.Begin(aTerm);
  scheduler_.emplace(
    std::move(state), settings_.scheduler_, aTerm, MonotonicNow());
  RefreshConfig();
  // The first orders are many, and wait for the agents to answer.
  agentsAt_ = {};
  RefreshAgents();
  ranAt_ = MonotonicNow();
  Run();
}

void
WorkloadHost::Abandon(std::string_view aReason)
{
  if (!scheduler_) {
    return;
  }
  LogWarning("giving up the scheduling",
             { { "term", term_ },
               { "reason", aReason },
               { "waiting_requests", waiting_.size() } });
  scheduler_.reset();
  relay_.End();
  term_ = 0;
  ++generation_;
  auto waiting = std::move(waiting_);
  waiting_.clear();
  // What they asked for may be in the log.
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
    LogError("an accepted configuration cannot be read",
             { { "version", document.version_ },
               { "error", Describe(ErrorOf(config)) } });
    return;
  }
  config_ = ValueOf(config);
  LogInfo("configuration in force",
          { { "version", config_.version_ },
            { "before", known },
            { "queues", config_.queues_.size() },
            { "pools", config_.pools_.size() } });
  scheduler_->UseConfig(config_, MonotonicNow());
}

RequestToken
WorkloadHost::Hold(Answer aAnswer)
{
  const auto token = nextToken_++;
  waiting_.emplace(token, std::move(aAnswer));
  return token;
}

// What was decided of a request on which the scheduler failed may not be in the
// log: this leadership cannot go on from it.
template<typename F>
void
WorkloadHost::Guarded(F aFunction)
{
  try {
    aFunction();
  } catch (const std::exception& error) {
    LogError("the scheduler failed on a request",
             { { "error", error.what() } });
    Abandon("the scheduler failed on a request");
    throw;
  }
}

void
WorkloadHost::HandleCaller(const HttpRequest& aRequest, Answer aAnswer)
{
  Guarded([&] { TakeCaller(aRequest, std::move(aAnswer)); });
}

void
WorkloadHost::HandleControl(const HttpRequest& aRequest, Answer aAnswer)
{
  Guarded([&] { TakeControl(aRequest, std::move(aAnswer)); });
}

void
WorkloadHost::TakeCaller(const HttpRequest& aRequest, Answer aAnswer)
{
  const auto call = platform::DecodeCallerCall(aRequest, config_);
  const auto now = MonotonicNow();
  if (config_.version_ == 0) {
    aAnswer(platform::EncodeNotNow(Millis(0)));
  } else if (const auto* submit = std::get_if<platform::SubmitCall>(&call)) {
    scheduler_->SubmitJob(Hold(std::move(aAnswer)), submit->spec_, now);
  } else if (const auto* state = std::get_if<platform::StateCall>(&call)) {
    aAnswer(StateOf(state->job_, state->queue_));
  } else if (const auto* cancel = std::get_if<platform::CancelCall>(&call)) {
    scheduler_->CancelJob(Hold(std::move(aAnswer)), cancel->job_, now);
  } else if (const auto* pending = std::get_if<platform::PendingCall>(&call)) {
    aAnswer(PendingOf(pending->queue_));
  } else if (const auto* bad = std::get_if<platform::InvalidCall>(&call)) {
    aAnswer(platform::EncodeInvalid(bad->reason_));
  } else {
    aAnswer(platform::EncodeUnknown());
  }
  Run();
}

void
WorkloadHost::TakeControl(const HttpRequest& aRequest, Answer aAnswer)
{
  auto call = platform::DecodeControlCall(aRequest);
  const auto now = MonotonicNow();
  if (auto* config = std::get_if<platform::ConfigCall>(&call)) {
    const auto decoded = platform::DecodeConfig(config->document_.text_);
    if (!IsOk(decoded)) {
      LogInfo("configuration refused",
              { { "reason", ErrorOf(decoded).detail_ } });
      aAnswer(platform::EncodeInvalid(ErrorOf(decoded).detail_));
    } else {
      config->document_.version_ = ValueOf(decoded).version_;
      scheduler_->AcceptConfig(
        Hold(std::move(aAnswer)), config->document_, now);
    }
  } else if (std::holds_alternative<platform::ConfigReadCall>(call)) {
    AnswerAfterBarrier(std::move(aAnswer), [](const Workload& aState) {
      return aState.Config().version_ == 0
               ? platform::EncodeNotNow(Millis(0))
               : platform::EncodeConfig(aState.Config());
    });
  } else if (auto* report = std::get_if<platform::ReportCall>(&call)) {
    scheduler_->ReportWorker(Hold(std::move(aAnswer)), report->report_, now);
  } else if (auto* leave = std::get_if<platform::LeaveCall>(&call)) {
    scheduler_->RemoveWorker(
      Hold(std::move(aAnswer)), leave->worker_, leave->processStartMs_, now);
  } else if (auto* wave = std::get_if<platform::WaveCall>(&call)) {
    scheduler_->StartWave(Hold(std::move(aAnswer)), wave->wave_, now);
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

// What is shown is committed: a later leader shows it as well.
HttpAnswer
WorkloadHost::StateOf(JobId aJob, const std::string& aQueue) const
{
  return replica_.Read([&](const Fleet& aFleet) {
    const auto* job = aFleet.GetWorkload().FindJob(aJob);
    return job == nullptr || job->spec_.queue_ != aQueue
             ? platform::EncodeNoJob()
             : platform::EncodeJobState(job->phase_);
  });
}

HttpAnswer
WorkloadHost::PendingOf(const std::string& aQueue) const
{
  return replica_.Read([&aQueue](const Fleet& aFleet) {
    const auto& jobs = aFleet.GetWorkload().Jobs();
    const auto count =
      std::count_if(jobs.begin(), jobs.end(), [&aQueue](const auto& aEntry) {
        return aEntry.second.phase_ == JobPhase::Queued &&
               aEntry.second.spec_.queue_ == aQueue;
      });
    return platform::EncodePending(static_cast<std::uint64_t>(count));
  });
}

} // namespace acaciahill
