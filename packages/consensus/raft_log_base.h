#pragma once

#include "consensus/raft_type.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace acaciahill {

/// The part of the replicated log that a member holds in memory: the last
/// snapshot, the entries after it, a bounded number of entries that it covers,
/// and the voter sets contained in them.
class RaftLog
{
public:
  RaftLog() = default;
  /// Entries that the snapshot covers are skipped.
  RaftLog(Snapshot aSnapshot, std::vector<LogEntry> aEntries);

  /// Index before the first entry held; at most the snapshot's last index.
  std::uint64_t BaseIndex() const { return baseIndex_; }
  std::uint64_t LastIndex() const { return baseIndex_ + entries_.size(); }
  std::uint64_t LastTerm() const;
  /// Term of the entry at an index from BaseIndex() to LastIndex(); nullopt for
  /// other indices.
  std::optional<std::uint64_t> TermAt(std::uint64_t aIndex) const;
  /// First held index after BaseIndex() with the same term as aIndex.
  std::uint64_t FirstOfTerm(std::uint64_t aIndex) const;
  const Snapshot& LastSnapshot() const { return snapshot_; }

  /// Copies entries from aFrom on, at most aMaxEntries and aMaxBytes of data,
  /// but at least one entry when there is one.
  std::vector<LogEntry> Copy(std::uint64_t aFrom,
                             std::size_t aMaxEntries,
                             std::size_t aMaxBytes) const;
  /// Copies the entries from aFrom to aTo, both included.
  std::vector<LogEntry> CopyRange(std::uint64_t aFrom, std::uint64_t aTo) const;

  /// Appends the entry at LastIndex() + 1.
  void Append(LogEntry aEntry);
  /// Drops the entries from an index on.
  void TruncateFrom(std::uint64_t aIndex);
  /// Sets the snapshot to the given state at a held index, and drops entries
  /// that it covers, except for the trailing ones.
  void Compact(std::uint64_t aIndex, std::string aData);
  /// Replaces the whole log by a snapshot.
  void Reset(Snapshot aSnapshot);

  /// The last voter set in the log, and the index of its entry.
  const VoterSet& Voters() const { return voters_.back().second; }
  std::uint64_t VotersIndex() const { return voters_.back().first; }

private:
  const VoterSet& VotersAt(std::uint64_t aIndex) const;
  void DropCompacted();

  Snapshot snapshot_;
  std::uint64_t baseIndex_ = 0;
  std::uint64_t baseTerm_ = 0;
  std::deque<LogEntry> entries_;
  /// Voter sets by the index from which they take effect, ascending; the first
  /// one is that of the snapshot.
  std::vector<std::pair<std::uint64_t, VoterSet>> voters_{ {} };
};

} // namespace acaciahill
