#include "state/fleet_editor_base.h"

namespace acaciahill {

namespace {

// A key consists of the pool, the caller and the Idempotency-Key header.
constexpr std::size_t kMaxKeyBytes = 1024;
constexpr std::size_t kMaxNameBytes = 256;

Refusal
CheckKey(const std::string& aKey)
{
  if (aKey.empty()) {
    return Refuse(ErrorKind::BadRequest, "key must not be empty");
  }
  if (aKey.size() > kMaxKeyBytes) {
    return Refuse(ErrorKind::BadRequest,
                  "key has ",
                  aKey.size(),
                  " bytes; at most ",
                  kMaxKeyBytes,
                  " are allowed");
  }
  return std::nullopt;
}

Error
ExistingClaimError(const Claim& aClaim, std::uint64_t aFingerprint)
{
  if (aClaim.fingerprint_ != aFingerprint) {
    return Refuse(ErrorKind::ClaimMismatch,
                  "this Idempotency-Key was used with another request");
  }
  switch (aClaim.phase_) {
    case ClaimPhase::Running:
      return Refuse(ErrorKind::ClaimRunning,
                    "a request with this Idempotency-Key is running at node ",
                    Printable(aClaim.node_));
    case ClaimPhase::Unknown:
      return Refuse(
        ErrorKind::ClaimUnknown,
        "a request with this Idempotency-Key may have run; it never "
        "runs again");
    case ClaimPhase::Completed:
      break;
  }
  return Refuse(ErrorKind::InvalidState,
                "a request with this Idempotency-Key ran and was answered with "
                "status ",
                aClaim.answerStatus_);
}

} // namespace

Refusal
FleetEditor::Check(const Fleet& aFleet, const BeginClaim& aCommand)
{
  if (auto refusal =
        FirstRefusal(CheckKey(aCommand.key_),
                     CheckText("node", aCommand.node_, kMaxNameBytes),
                     CheckText("owner", aCommand.owner_, kMaxNameBytes))) {
    return refusal;
  }
  const auto found = aFleet.Claims().find(aCommand.key_);
  if (found != aFleet.Claims().end()) {
    return ExistingClaimError(found->second, aCommand.fingerprint_);
  }
  if (aFleet.Claims().size() >= kClaimLimit) {
    return Refuse(ErrorKind::ClaimLimit,
                  aFleet.Claims().size(),
                  " Idempotency-Keys are held, which is the limit; each is "
                  "kept for 24 h");
  }
  return std::nullopt;
}

std::string
FleetEditor::Apply(const BeginClaim& aCommand)
{
  Claim claim;
  claim.key_ = aCommand.key_;
  claim.fingerprint_ = aCommand.fingerprint_;
  claim.node_ = aCommand.node_;
  claim.owner_ = aCommand.owner_;
  claim.expiresAtMs_ = fleet_.logicalMs_ + kClaimRetentionMs;
  fleet_.claimOrder_.emplace(claim.expiresAtMs_, claim.key_);
  fleet_.claims_.emplace(claim.key_, claim);
  return "claimed";
}

Refusal
FleetEditor::Check(const Fleet& aFleet, const EndClaim& aCommand)
{
  const auto found = aFleet.Claims().find(aCommand.key_);
  // A missing claim has expired or was released by an earlier EndClaim.
  if (found == aFleet.Claims().end() ||
      found->second.owner_ == aCommand.owner_) {
    return std::nullopt;
  }
  return Refuse(ErrorKind::InvalidState,
                "this Idempotency-Key is held by another attempt");
}

std::string
FleetEditor::Apply(const EndClaim& aCommand)
{
  const auto found = fleet_.claims_.find(aCommand.key_);
  if (found == fleet_.claims_.end()) {
    return "the claim was released before";
  }
  auto& claim = found->second;
  if (claim.phase_ != ClaimPhase::Running) {
    return "the claim had ended before";
  }
  switch (aCommand.end_) {
    case ClaimEnd::NotRun:
      fleet_.claimOrder_.erase({ claim.expiresAtMs_, claim.key_ });
      fleet_.claims_.erase(found);
      return "released; the request may run later";
    case ClaimEnd::Unknown:
      claim.phase_ = ClaimPhase::Unknown;
      return "ended as unknown; the request never runs again";
    case ClaimEnd::Completed:
      break;
  }
  claim.phase_ = ClaimPhase::Completed;
  claim.answerStatus_ = aCommand.answerStatus_;
  // The claim also ends when its answer is too large to be kept.
  if (aCommand.answerKept_ &&
      aCommand.answerBody_.size() <= kClaimAnswerLimit &&
      aCommand.answerType_.size() <= kMaxNameBytes) {
    claim.answerType_ = aCommand.answerType_;
    claim.answerBody_ = aCommand.answerBody_;
    claim.answerKept_ = true;
  }
  return "completed";
}

void
FleetEditor::ExpireClaims()
{
  while (!fleet_.claimOrder_.empty() &&
         fleet_.claimOrder_.begin()->first <= fleet_.logicalMs_) {
    fleet_.claims_.erase(fleet_.claimOrder_.begin()->second);
    fleet_.claimOrder_.erase(fleet_.claimOrder_.begin());
  }
}

} // namespace acaciahill
