#include "daemon/claim_committer_base.h"

#include "daemon/random_func.h"
#include "kernel/os_clock_func.h"

#include <utility>

namespace acaciahill {

namespace {

constexpr Millis kEndTimeout{ 5000 };
constexpr Millis kEndPause{ 500 };
// Part of a request's deadline that is reserved for sending it after its claim.
constexpr Millis kSendReserve{ 50 };

} // namespace

ClaimCommitter::ClaimCommitter(std::string aNode,
                               Proposer aPropose,
                               std::function<bool()> aIsStale)
  : node_(std::move(aNode))
  , propose_(std::move(aPropose))
  , isStale_(std::move(aIsStale))
  , ownerPrefix_(node_ + "-" + RandomId() + "-")
{
}

ClaimReply
ClaimCommitter::Begin(const std::string& aKey,
                      std::uint64_t aFingerprint,
                      MonotonicTime aDeadline)
{
  const auto timeout = aDeadline - MonotonicNow() - kSendReserve;
  if (timeout <= Millis(0)) {
    return Error{ ErrorKind::DeadlineTooShort, "" };
  }
  if (isStale_()) {
    return Error{ ErrorKind::ControlUnreachable,
                  "an Idempotency-Key cannot be claimed while this node has no "
                  "contact with the control group; the request did not run" };
  }
  const auto owner = ownerPrefix_ + std::to_string(nextOwner_++);
  const BeginClaim begin{ aKey, aFingerprint, node_, owner };
  const auto result = propose_(begin, owner, timeout);
  if (!result.error_) {
    return ClaimGranted{ owner };
  }
  if (result.claim_) {
    return *result.claim_;
  }
  if (result.error_->kind_ == ErrorKind::ProposalLost) {
    // The claim may have been committed although no answer arrived. Its request
    // did not run, so the claim is released.
    AddEnd({ begin, { aKey, owner, ClaimEnd::NotRun, 0, "", "", false } });
    return Error{ ErrorKind::ControlUnreachable,
                  "the claim was not confirmed in time; the request did not "
                  "run" };
  }
  return *result.error_;
}

void
ClaimCommitter::End(const EndClaim& aEnd)
{
  AddEnd({ std::nullopt, aEnd });
}

void
ClaimCommitter::AddEnd(PendingEnd aEnd)
{
  const std::lock_guard lock(mutex_);
  ends_.push_back(std::move(aEnd));
  changed_.notify_all();
}

bool
ClaimCommitter::TryEnd(const PendingEnd& aEnd) const
{
  const auto isResolved = [](const CommandResult& aResult) {
    return !aResult.error_ ||
           (aResult.error_->kind_ != ErrorKind::ProposalLost &&
            aResult.error_->kind_ != ErrorKind::ControlUnreachable);
  };
  const auto& owner = aEnd.end_.owner_;
  if (aEnd.begin_ && !isResolved(propose_(*aEnd.begin_, owner, kEndTimeout))) {
    return false;
  }
  return isResolved(propose_(aEnd.end_, "end-" + owner, kEndTimeout));
}

void
ClaimCommitter::Run()
{
  std::unique_lock lock(mutex_);
  while (true) {
    changed_.wait(lock, [this] { return stopping_ || !ends_.empty(); });
    if (ends_.empty()) {
      return;
    }
    const auto end = ends_.front();
    lock.unlock();
    const bool isResolved = TryEnd(end);
    lock.lock();
    if (isResolved || stopping_) {
      ends_.pop_front();
    } else {
      changed_.wait_for(lock, kEndPause, [this] { return stopping_; });
    }
  }
}

void
ClaimCommitter::Stop()
{
  const std::lock_guard lock(mutex_);
  stopping_ = true;
  changed_.notify_all();
}

} // namespace acaciahill
