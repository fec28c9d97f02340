#include "consensus/raft_log_base.h"

#include "consensus/raft_base.h"

#include <algorithm>
#include <iterator>

namespace acaciahill {

namespace {

// Limits of the covered entries that are kept after compaction. A follower that
// lags by no more than these is sent entries instead of the whole snapshot.
constexpr std::size_t kTrailingEntries = 1024;
constexpr std::size_t kTrailingBytes = std::size_t{ 1024 } * 1024;

} // namespace

RaftLog::RaftLog(Snapshot aSnapshot, std::vector<LogEntry> aEntries)
{
  Reset(std::move(aSnapshot));
  for (auto& entry : aEntries) {
    if (entry.index_ == LastIndex() + 1) {
      Append(std::move(entry));
    }
  }
}

std::uint64_t
RaftLog::LastTerm() const
{
  return entries_.empty() ? baseTerm_ : entries_.back().term_;
}

std::optional<std::uint64_t>
RaftLog::TermAt(std::uint64_t aIndex) const
{
  if (aIndex == baseIndex_) {
    return baseTerm_;
  }
  if (aIndex < baseIndex_ || aIndex > LastIndex()) {
    return std::nullopt;
  }
  return entries_[aIndex - baseIndex_ - 1].term_;
}

std::uint64_t
RaftLog::FirstOfTerm(std::uint64_t aIndex) const
{
  const auto term = TermAt(aIndex).value_or(0);
  const auto first = std::partition_point(
    entries_.begin(), entries_.end(), [term](const LogEntry& aEntry) {
      return aEntry.term_ < term;
    });
  return baseIndex_ + 1 +
         static_cast<std::uint64_t>(std::distance(entries_.begin(), first));
}

std::vector<LogEntry>
RaftLog::Copy(std::uint64_t aFrom,
              std::size_t aMaxEntries,
              std::size_t aMaxBytes) const
{
  std::vector<LogEntry> copy;
  std::size_t bytes = 0;
  for (auto index = aFrom; index <= LastIndex(); ++index) {
    const auto& entry = entries_[index - baseIndex_ - 1];
    bytes += entry.data_.size();
    if (copy.size() == aMaxEntries || (!copy.empty() && bytes > aMaxBytes)) {
      break;
    }
    copy.push_back(entry);
  }
  return copy;
}

std::vector<LogEntry>
RaftLog::CopyRange(std::uint64_t aFrom, std::uint64_t aTo) const
{
  const auto begin =
    entries_.begin() + static_cast<std::ptrdiff_t>(aFrom - baseIndex_ - 1);
  return { begin, begin + static_cast<std::ptrdiff_t>(aTo + 1 - aFrom) };
}

void
RaftLog::Append(LogEntry aEntry)
{
  if (aEntry.kind_ == EntryKind::Voters) {
    auto voters = DecodeVoters(aEntry.data_);
    // A damaged entry decodes to an empty set, with which no leader could be
    // elected.
    if (!voters.voters_.empty()) {
      voters_.emplace_back(aEntry.index_, std::move(voters));
    }
  }
  entries_.push_back(std::move(aEntry));
}

void
RaftLog::TruncateFrom(std::uint64_t aIndex)
{
  entries_.erase(entries_.begin() +
                   static_cast<std::ptrdiff_t>(aIndex - baseIndex_ - 1),
                 entries_.end());
  while (voters_.size() > 1 && voters_.back().first >= aIndex) {
    voters_.pop_back();
  }
}

void
RaftLog::Compact(std::uint64_t aIndex, std::string aData)
{
  snapshot_ = {
    aIndex, TermAt(aIndex).value_or(0), VotersAt(aIndex), std::move(aData)
  };
  while (voters_.size() > 1 && voters_[1].first <= aIndex) {
    voters_.erase(voters_.begin());
  }
  DropCompacted();
}

void
RaftLog::Reset(Snapshot aSnapshot)
{
  snapshot_ = std::move(aSnapshot);
  baseIndex_ = snapshot_.lastIndex_;
  baseTerm_ = snapshot_.lastTerm_;
  entries_.clear();
  voters_.assign(1, { snapshot_.lastIndex_, snapshot_.voters_ });
}

const VoterSet&
RaftLog::VotersAt(std::uint64_t aIndex) const
{
  const auto after =
    std::find_if(std::next(voters_.begin()),
                 voters_.end(),
                 [aIndex](const auto& aItem) { return aItem.first > aIndex; });
  return std::prev(after)->second;
}

void
RaftLog::DropCompacted()
{
  const auto covered = snapshot_.lastIndex_ - baseIndex_;
  std::uint64_t kept = 0;
  std::size_t bytes = 0;
  while (kept < std::min<std::uint64_t>(covered, kTrailingEntries)) {
    bytes += entries_[covered - kept - 1].data_.size();
    if (bytes > kTrailingBytes) {
      break;
    }
    ++kept;
  }
  const auto dropped = covered - kept;
  if (dropped > 0) {
    baseTerm_ = entries_[dropped - 1].term_;
    baseIndex_ += dropped;
    entries_.erase(entries_.begin(),
                   entries_.begin() + static_cast<std::ptrdiff_t>(dropped));
  }
}

} // namespace acaciahill
