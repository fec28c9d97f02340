#pragma once

#include "daemon/peer_type.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace acaciahill {

/// The last applied entries of a replica, kept for nodes that follow by pulls.
/// A replica without claims keeps runs in place of claim commands and can give
/// out this form only. Not thread-safe.
class PullTail
{
public:
  /// Keeps at most so many entries and bytes of data, the newest ones.
  PullTail(std::size_t aMaxEntries, std::size_t aMaxBytes);

  /// Adds the next entry, which is no claim command.
  void Add(const LogEntry& aEntry);

  /// Adds the next entry, a claim command, with the state's logical time right
  /// after it.
  void AddClaim(const LogEntry& aEntry, std::uint64_t aLogicalMs);

  /// Adds claim commands that this replica does not know.
  void AddRun(const ClaimRun& aRun);

  void Clear();

  /// At most aLimit entries after an index, oldest first. With aWithoutClaims
  /// each series of claim commands is one run. Nothing when a snapshot is
  /// needed: when they are no longer kept, or are not known in this form.
  std::optional<std::vector<PulledEntry>> After(std::uint64_t aIndex,
                                                bool aWithoutClaims,
                                                std::size_t aLimit) const;

private:
  struct Item
  {
    PulledEntry entry_;
    std::uint64_t firstIndex_ = 0;
    std::uint64_t lastIndex_ = 0;
    /// Logical time after a claim command or a run; absent for others.
    std::optional<std::uint64_t> claimMs_;
    std::size_t bytes_ = 0;
  };

  void Keep(Item aItem);

  std::size_t maxEntries_;
  std::size_t maxBytes_;
  std::size_t bytes_ = 0;
  std::deque<Item> items_;
};

} // namespace acaciahill
