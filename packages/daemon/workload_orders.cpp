#include "daemon/workload_host_base.h"

#include "kernel/error_func.h"
#include "kernel/log_func.h"
#include "kernel/os_clock_func.h"
#include "platform/platform_orders_func.h"
#include "workload/workload_text_func.h"

#include <boost/asio/post.hpp>

// Carries out what the scheduler decided.

namespace acaciahill {

namespace {

// Workers answer orders within a few ms. One without an answer for this time
// may be carried out later.
constexpr Millis kOrderTimeout{ 300 };
// Added to the wait of a renewal for its way there and back.
constexpr Millis kRenewalMargin{ 400 };
constexpr Millis kVmTimeout{ 1500 };
// The scheduler looks at all workers and waiting steps for each of its
// decisions, and these look at what came in within this time together. A start
// takes some tens of milliseconds.
constexpr Millis kRunPause{ 10 };

} // namespace

void
WorkloadHost::Run()
{
  if (runDue_) {
    return;
  }
  const auto since = MonotonicNow() - ranAt_;
  if (since >= kRunPause) {
    RunNow();
    return;
  }
  runDue_ = true;
  runTimer_.expires_after(kRunPause - since);
  runTimer_.async_wait([this](const boost::system::error_code& aError) {
    runDue_ = false;
    if (!aError) {
      RunNow();
    }
  });
}

void
WorkloadHost::RunNow()
{
  ranAt_ = MonotonicNow();
  const auto control = replica_.Control();
  if (scheduler_ && control.isLeader_ && control.term_ == term_) {
    scheduler_->ConfirmAuthority(MonotonicNow() - control.age_);
  }
  while (scheduler_) {
    const auto actions = scheduler_->TakeActions(MonotonicNow());
    if (actions.empty()) {
      return;
    }
    const auto generation = generation_;
    for (const auto& action : actions) {
      std::visit([this](const auto& aOne) { CarryOut(aOne); }, action);
      if (generation != generation_) {
        return;
      }
    }
  }
}

void
WorkloadHost::CarryOut(const LogBatch& aAction)
{
  metrics_.Count("acaciahill_workload_events_total",
                 {},
                 static_cast<double>(aAction.events_.events_.size()));
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
        RefreshConfig();
        scheduler_->HandleCommit(batch, MonotonicNow());
        Run();
      });
    });
}

void
WorkloadHost::CarryOut(const AnswerRequest& aAction)
{
  auto waiting = waiting_.extract(aAction.token_);
  if (waiting.empty()) {
    LogError("the scheduler answered a request that does not wait",
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
                 onResult(aResult);
                 Run();
               });
}

void
WorkloadHost::CarryOut(const StartRun& aAction)
{
  Call(aAction.target_.address_,
       platform::EncodeOrder(aAction),
       kOrderTimeout,
       [this, aAction](const CallResult& aResult) {
         scheduler_->HandleStart(
           aAction, platform::DecodeOrderAnswer(aResult), MonotonicNow());
       });
}

void
WorkloadHost::CarryOut(const StopRun& aAction)
{
  Call(aAction.target_.address_,
       platform::EncodeOrder(aAction),
       kOrderTimeout,
       [this, aAction](const CallResult& aResult) {
         scheduler_->HandleStop(
           aAction, platform::DecodeOrderAnswer(aResult), MonotonicNow());
       });
}

void
WorkloadHost::CarryOut(const RenewLease& aAction)
{
  Call(aAction.target_.address_,
       platform::EncodeOrder(aAction),
       aAction.wait_ + kRenewalMargin,
       [this, aAction](const CallResult& aResult) {
         const auto answer = platform::DecodeRenewalAnswer(aResult);
         scheduler_->HandleRenewal(
           aAction, answer.order_, answer.lists_, MonotonicNow());
       });
}

void
WorkloadHost::CarryOut(const PaceRun& aAction)
{
  Call(aAction.target_.address_,
       platform::EncodeOrder(aAction),
       kOrderTimeout,
       [this, aAction](const CallResult& aResult) {
         scheduler_->HandlePace(
           aAction, platform::DecodeOrderAnswer(aResult), MonotonicNow());
       });
}

void
WorkloadHost::CarryOut(const ListVms& /*aAction*/)
{
  ReadVmPage("", std::make_shared<std::vector<VmListing>>());
}

void
WorkloadHost::ReadVmPage(const std::string& aToken,
                         std::shared_ptr<std::vector<VmListing>> aSoFar)
{
  Call(settings_.vmApi_,
       platform::EncodeListVms(settings_.vmApi_, aToken),
       kVmTimeout,
       [this, soFar = std::move(aSoFar)](const CallResult& aResult) {
         const auto page = platform::DecodeVmPage(aResult);
         if (!page) {
           scheduler_->HandleVms(std::nullopt, MonotonicNow());
           return;
         }
         soFar->insert(soFar->end(), page->vms_.begin(), page->vms_.end());
         if (page->next_.empty()) {
           scheduler_->HandleVms(*soFar, MonotonicNow());
         } else {
           ReadVmPage(page->next_, soFar);
         }
       });
}

void
WorkloadHost::CarryOut(const BeginUpkeep& aAction)
{
  Call(
    settings_.vmApi_,
    platform::EncodeUpkeep(settings_.vmApi_, aAction, settings_.control_.node_),
    kVmTimeout,
    [this, aAction](const CallResult& aResult) {
      scheduler_->HandleUpkeep(
        aAction, platform::DecodeVmOutcome(aResult), MonotonicNow());
    });
}

void
WorkloadHost::CarryOut(const MoveVm& aAction)
{
  Call(
    settings_.vmApi_,
    platform::EncodeMove(settings_.vmApi_, aAction, settings_.control_.node_),
    kVmTimeout,
    [this, aAction](const CallResult& aResult) {
      scheduler_->HandleMove(
        aAction, platform::DecodeVmOutcome(aResult), MonotonicNow());
    });
}

} // namespace acaciahill
