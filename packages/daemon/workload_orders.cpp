#include "daemon/workload_host_base.h"

#include "kernel/error_func.h"
#include "kernel/log_func.h"
#include "kernel/os_clock_func.h"
#include "platform/platform_orders_func.h"
#include "workload/workload_text_func.h"

#include <boost/asio/post.hpp>

#include <algorithm>

// Executes the actions of the scheduler.

namespace acaciahill {

namespace {

// Interval at which the list of control nodes is read again.
constexpr Millis kAgentRefreshInterval{ 500 };
constexpr Millis kVmApiTimeout{ 1500 };
// Minimum time between two runs of the scheduler. Each run examines all workers
// and waiting steps, so inputs that arrive within this time are combined. The
// delay is small beside a start, which takes some tens of milliseconds.
constexpr Millis kRunInterval{ 10 };

} // namespace

void
WorkloadHost::Run()
{
  if (isRunScheduled_) {
    return;
  }
  const auto since = MonotonicNow() - lastRunAt_;
  if (since >= kRunInterval) {
    RunNow();
    return;
  }
  isRunScheduled_ = true;
  runTimer_.expires_after(kRunInterval - since);
  runTimer_.async_wait([this](const boost::system::error_code& aError) {
    isRunScheduled_ = false;
    if (!aError) {
      RunNow();
    }
  });
}

void
WorkloadHost::RunNow()
{
  lastRunAt_ = MonotonicNow();
  if (scheduler_) {
    RefreshAgents();
  }
  const auto control = replica_.Control();
  if (scheduler_ && control.isLeader_ && control.term_ == term_) {
    scheduler_->ConfirmAuthority(MonotonicNow() - control.age_);
  }
  const LeaderMeter::Scope scope(meter_, LeaderWork::Orders);
  while (scheduler_) {
    const auto actions = [this] {
      const LeaderMeter::Scope decisions(meter_, LeaderWork::Decisions);
      return scheduler_->TakeActions(MonotonicNow());
    }();
    if (actions.empty()) {
      relay_.Flush();
      return;
    }
    const auto generation = generation_;
    for (const auto& action : actions) {
      std::visit([this](const auto& aOne) { Execute(aOne); }, action);
      if (generation != generation_) {
        return;
      }
    }
  }
}

void
WorkloadHost::Execute(const AppendBatch& aAction)
{
  metrics_.Count("acaciahill_workload_events_total",
                 {},
                 static_cast<double>(aAction.events_.events_.size()));
  // Other nodes use the current configuration to answer reads.
  const auto& events = aAction.events_.events_;
  const bool changesConfig =
    std::any_of(events.begin(), events.end(), [](const auto& aEvent) {
      return std::holds_alternative<ConfigAccepted>(aEvent);
    });
  replica_.ProposeAsync(
    ChangeWorkload{ EncodeBatch(aAction.events_) },
    [this, generation = generation_, batch = aAction.batch_](
      const CommandResult& aResult) {
      const auto error = aResult.error_;
      boost::asio::post(context_, [this, generation, batch, error] {
        if (generation != generation_ || !scheduler_) {
          return;
        }
        if (error) {
          Abandon(Describe(*error));
          return;
        }
        const LeaderMeter::Scope scope(meter_, LeaderWork::Decisions);
        RefreshConfig();
        scheduler_->HandleCommit(batch, MonotonicNow());
        Run();
      });
    },
    changesConfig);
}

void
WorkloadHost::Execute(const AnswerRequest& aAction)
{
  auto waiting = waiting_.extract(aAction.token_);
  if (waiting.empty()) {
    LogError("the scheduler answered an unknown request",
             { { "token", aAction.token_ } });
    return;
  }
  waiting.mapped()(
    platform::EncodeOutcome(aAction.outcome_, aAction.retryAfter_));
}

void
WorkloadHost::Call(const std::string& aAddress,
                   HttpRequest aRequest,
                   Millis aTimeout,
                   std::function<void(const CallResult&)> aOnResult)
{
  client_.Call(aAddress,
               std::move(aRequest),
               aTimeout,
               [this,
                generation = generation_,
                onResult = std::move(aOnResult)](const CallResult& aResult) {
                 if (generation != generation_ || !scheduler_) {
                   return;
                 }
                 const LeaderMeter::Scope scope(meter_, LeaderWork::Answers);
                 onResult(aResult);
                 Run();
               });
}

void
WorkloadHost::SendOrder(WorkerOrder aOrder, OrderRelay::OnAnswer aOnAnswer)
{
  const auto number =
    std::visit([](const auto& aOne) { return aOne.target_.worker_; }, aOrder);
  const auto* worker = scheduler_->State().FindWorker(number);
  relay_.Send(std::move(aOrder),
              worker == nullptr ? "" : worker->zone_,
              [this, onAnswer = std::move(aOnAnswer)](const auto& aAnswer,
                                                      const auto& aLists) {
                const LeaderMeter::Scope scope(meter_, LeaderWork::Answers);
                onAnswer(aAnswer, aLists);
                Run();
              });
}

void
WorkloadHost::Execute(const StartRun& aAction)
{
  SendOrder(aAction, [this, aAction](const auto& aAnswer, const auto&) {
    scheduler_->HandleStart(aAction, aAnswer, MonotonicNow());
  });
}

void
WorkloadHost::Execute(const StopRun& aAction)
{
  SendOrder(aAction, [this, aAction](const auto& aAnswer, const auto&) {
    scheduler_->HandleStop(aAction, aAnswer, MonotonicNow());
  });
}

void
WorkloadHost::Execute(const RenewLease& aAction)
{
  SendOrder(aAction, [this, aAction](const auto& aAnswer, const auto& aLists) {
    scheduler_->HandleRenewal(aAction, aAnswer, aLists, MonotonicNow());
  });
}

void
WorkloadHost::Execute(const PaceRun& aAction)
{
  SendOrder(aAction, [this, aAction](const auto& aAnswer, const auto&) {
    scheduler_->HandlePace(aAction, aAnswer, MonotonicNow());
  });
}

// With more than about this many workers, the leader's calls to them cost more
// than its scheduling decisions; with fewer, relaying only adds latency. The
// gap between the two limits keeps the leader from switching back and forth.
void
WorkloadHost::RefreshAgents()
{
  constexpr std::size_t kMinWorkersToStartRelaying = 120;
  constexpr std::size_t kMinWorkersToKeepRelaying = 90;
  const auto now = MonotonicNow();
  if (now - agentsRefreshedAt_ < kAgentRefreshInterval) {
    return;
  }
  agentsRefreshedAt_ = now;
  const auto workers = scheduler_->Views().size();
  usesAgents_ = workers >= (usesAgents_ ? kMinWorkersToKeepRelaying
                                        : kMinWorkersToStartRelaying);
  std::vector<AgentNode> agents;
  if (usesAgents_) {
    agents = replica_.Read([](const Fleet& aFleet) {
      std::vector<AgentNode> nodes;
      for (const auto& [id, node] : aFleet.Nodes()) {
        nodes.push_back({ id, node.zone_ });
      }
      return nodes;
    });
    const auto voters = replica_.Control().voters_;
    std::erase_if(agents, [&voters](const auto& aAgent) {
      return std::none_of(
        voters.begin(), voters.end(), [&aAgent](const auto& aVoter) {
          return aVoter.node_ == aAgent.node_;
        });
    });
  }
  relay_.SetAgents(agents);
}

void
WorkloadHost::Execute(const ListVms& aAction)
{
  ReadVmPage(aAction, "", std::make_shared<std::vector<VmListing>>());
}

void
WorkloadHost::ReadVmPage(const ListVms& aAction,
                         const std::string& aToken,
                         std::shared_ptr<std::vector<VmListing>> aSoFar)
{
  Call(settings_.vmApi_,
       platform::EncodeListVms(settings_.vmApi_, aToken),
       kVmApiTimeout,
       [this, aAction, soFar = std::move(aSoFar)](const CallResult& aResult) {
         const auto page = platform::DecodeVmPage(aResult);
         if (!page) {
           scheduler_->HandleVms(aAction, std::nullopt, MonotonicNow());
           return;
         }
         if (!page->unreadVms_.empty()) {
           LogWarning("entries of the platform's list of VMs cannot be read",
                      { { "vms", page->unreadVms_.size() },
                        { "first", page->unreadVms_.front() } });
         }
         soFar->insert(soFar->end(), page->vms_.begin(), page->vms_.end());
         if (page->next_.empty()) {
           scheduler_->HandleVms(aAction, *soFar, MonotonicNow());
         } else {
           ReadVmPage(aAction, page->next_, soFar);
         }
       });
}

void
WorkloadHost::Execute(const BeginUpkeep& aAction)
{
  Call(
    settings_.vmApi_,
    platform::EncodeUpkeep(settings_.vmApi_, aAction, settings_.control_.node_),
    kVmApiTimeout,
    [this, aAction](const CallResult& aResult) {
      scheduler_->HandleUpkeep(
        aAction, platform::DecodeVmOutcome(aResult), MonotonicNow());
    });
}

void
WorkloadHost::Execute(const MoveVm& aAction)
{
  Call(
    settings_.vmApi_,
    platform::EncodeMove(settings_.vmApi_, aAction, settings_.control_.node_),
    kVmApiTimeout,
    [this, aAction](const CallResult& aResult) {
      scheduler_->HandleMove(
        aAction, platform::DecodeVmOutcome(aResult), MonotonicNow());
    });
}

} // namespace acaciahill
