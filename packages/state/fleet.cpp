#include "state/fleet_base.h"

#include "state/fleet_editor_base.h"

#include <algorithm>
#include <limits>

namespace acaciahill {

namespace {

constexpr std::size_t kMaxRequestIdBytes = 256;

// The existing claim because of which a BeginClaim was refused.
std::optional<Claim>
ConflictingClaim(const Fleet& aFleet, const Command& aCommand)
{
  const auto* begin = std::get_if<BeginClaim>(&aCommand);
  if (!begin) {
    return std::nullopt;
  }
  const auto found = aFleet.Claims().find(begin->key_);
  if (found == aFleet.Claims().end()) {
    return std::nullopt;
  }
  return found->second;
}

} // namespace

CommandResult
Fleet::Apply(const CommandEnvelope& aEnvelope, std::uint64_t aIndex)
{
  return FleetEditor(*this).Run(aEnvelope, aIndex);
}

std::optional<Error>
Fleet::Check(const Command& aCommand) const
{
  return std::visit(
    [this](const auto& aOne) { return FleetEditor::Check(*this, aOne); },
    aCommand);
}

void
Fleet::DropClaims()
{
  holdsClaims_ = false;
  claims_.clear();
  claimOrder_.clear();
  claimResults_ = {};
}

void
Fleet::SkipClaims(std::uint64_t aLastIndex, std::uint64_t aLogicalMs)
{
  appliedIndex_ = std::max(appliedIndex_, aLastIndex);
  logicalMs_ = std::max(logicalMs_, aLogicalMs);
}

bool
IsClaimCommand(const Command& aCommand)
{
  return std::holds_alternative<BeginClaim>(aCommand) ||
         std::holds_alternative<EndClaim>(aCommand);
}

std::vector<DecisionRecord>
Fleet::DecisionsOn(const std::string& aSubject) const
{
  const auto found = decisions_.find(aSubject);
  if (found == decisions_.end()) {
    return {};
  }
  return { found->second.begin(), found->second.end() };
}

std::int64_t
Fleet::OpenTasks(const std::string& aJob) const
{
  const auto found = taskCounts_.openByJob_.find(aJob);
  return found == taskCounts_.openByJob_.end() ? 0 : found->second;
}

const std::set<std::string>&
Fleet::TasksOn(const std::string& aVm) const
{
  static const std::set<std::string> kNoTasks;
  const auto found = taskCounts_.heldOnVm_.find(aVm);
  return found == taskCounts_.heldOnVm_.end() ? kNoTasks : found->second;
}

TeamUse
Fleet::UseOf(const std::string& aTeam) const
{
  const auto found = taskCounts_.useByTeam_.find(aTeam);
  return found == taskCounts_.useByTeam_.end() ? TeamUse{} : found->second;
}

CommandResult
FleetEditor::Run(const CommandEnvelope& aEnvelope, std::uint64_t aIndex)
{
  fleet_.appliedIndex_ = aIndex;
  // A resend advances the clock, too, although its command is not applied
  // again.
  AdvanceClock(aEnvelope.elapsedMs_);
  const bool isClaim = IsClaimCommand(aEnvelope.command_);
  // Its events are idempotent and it is never resent, so no result is stored.
  const bool isWorkload =
    std::holds_alternative<ChangeWorkload>(aEnvelope.command_);
  if (isClaim && !fleet_.holdsClaims_) {
    CommandResult skipped;
    skipped.error_ =
      Refuse(ErrorKind::NotLeader, "this replica holds no claims");
    return skipped;
  }
  if (const auto* kept = FindStoredResult(aEnvelope)) {
    return *kept;
  }
  const bool isIdUsable = !aEnvelope.requestId_.empty() &&
                          aEnvelope.requestId_.size() <= kMaxRequestIdBytes;
  CommandResult result;
  if (isIdUsable) {
    result = RunNew(aEnvelope.command_);
  } else {
    result.error_ = Refuse(ErrorKind::BadRequest,
                           "a command needs a request id of 1 to ",
                           kMaxRequestIdBytes,
                           " bytes");
  }
  result.tableVersion_ = fleet_.table_.version_;
  result.index_ = aIndex;
  if (isIdUsable && !isWorkload) {
    StoreResult(isClaim ? fleet_.claimResults_ : fleet_.results_,
                aEnvelope.requestId_,
                result);
  }
  return result;
}

CommandResult
FleetEditor::RunNew(const Command& aCommand)
{
  CommandResult result;
  result.error_ = fleet_.Check(aCommand);
  if (!result.error_) {
    result.text_ =
      std::visit([this](const auto& aOne) { return Apply(aOne); }, aCommand);
    return result;
  }
  result.claim_ = ConflictingClaim(fleet_, aCommand);
  for (const auto& subject : SubjectsOf(aCommand)) {
    RecordDecisionIfNew(subject, Concat("refused: ", result.error_->detail_));
  }
  return result;
}

void
FleetEditor::AdvanceClock(std::uint64_t aElapsedMs)
{
  const auto left =
    std::numeric_limits<std::uint64_t>::max() - fleet_.logicalMs_;
  fleet_.logicalMs_ += std::min(aElapsedMs, left);
  ExpireClaims();
}

// The first result of a resent command. Other commands must not find results of
// claim commands, which a state without claims has not seen; claim commands may
// find any result.
const CommandResult*
FleetEditor::FindStoredResult(const CommandEnvelope& aEnvelope) const
{
  const auto find = [&aEnvelope](const StoredResults& aResults) {
    const auto kept = aResults.byRequest_.find(aEnvelope.requestId_);
    return kept == aResults.byRequest_.end() ? nullptr : &kept->second;
  };
  if (IsClaimCommand(aEnvelope.command_)) {
    if (const auto* kept = find(fleet_.claimResults_)) {
      return kept;
    }
    // Version 1 snapshots store the results of claim commands in results_.
  }
  return find(fleet_.results_);
}

void
FleetEditor::StoreResult(StoredResults& aResults,
                         const std::string& aRequestId,
                         const CommandResult& aResult)
{
  aResults.byRequest_.emplace(aRequestId, aResult);
  aResults.order_.push_back(aRequestId);
  while (aResults.order_.size() > kResultLimit) {
    aResults.byRequest_.erase(aResults.order_.front());
    aResults.order_.pop_front();
  }
}

void
FleetEditor::RecordDecision(const std::string& aSubject,
                            const std::string& aText)
{
  auto& records = fleet_.decisions_[aSubject];
  records.push_back({ fleet_.logicalMs_, aSubject, aText });
  if (records.size() > kDecisionsPerSubject) {
    records.pop_front();
  }
  EvictOldestSubject();
}

void
FleetEditor::RecordDecisionIfNew(const std::string& aSubject,
                                 const std::string& aText)
{
  const auto records = fleet_.decisions_.find(aSubject);
  if (records == fleet_.decisions_.end() ||
      records->second.back().text_ != aText) {
    RecordDecision(aSubject, aText);
  }
}

void
FleetEditor::RecordDecisionForAll(std::initializer_list<std::string> aSubjects,
                                  const std::string& aText)
{
  for (const auto& subject : aSubjects) {
    RecordDecision(subject, aText);
  }
}

void
FleetEditor::EvictOldestSubject()
{
  if (fleet_.decisions_.size() <= kSubjectLimit) {
    return;
  }
  fleet_.decisions_.erase(std::min_element(
    fleet_.decisions_.begin(),
    fleet_.decisions_.end(),
    [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.back().atMs_ < aRight.second.back().atMs_;
    }));
}

std::vector<std::string>
FleetEditor::SubjectsOf(const Command& aCommand) const
{
  std::string vm;
  std::string wave;
  if (const auto* move = std::get_if<BeginMove>(&aCommand)) {
    vm = move->vm_;
  } else if (const auto* grant = std::get_if<GrantPermit>(&aCommand)) {
    vm = grant->vm_;
    wave = grant->wave_;
  } else if (const auto* stop = std::get_if<ConfirmStop>(&aCommand)) {
    const auto permit = fleet_.permits_.find(stop->permit_);
    if (permit != fleet_.permits_.end()) {
      vm = permit->second.vm_;
      wave = permit->second.wave_;
    }
  }
  // Only existing objects become subjects, so that unknown names cannot fill
  // the memory.
  std::vector<std::string> subjects;
  if (const auto known = fleet_.vms_.find(vm); known != fleet_.vms_.end()) {
    subjects.push_back(Concat("vm:", vm));
    subjects.push_back(Concat("pool:", known->second.pool_));
  }
  if (fleet_.waves_.count(wave) != 0) {
    subjects.push_back(Concat("wave:", wave));
  }
  return subjects;
}

} // namespace acaciahill
