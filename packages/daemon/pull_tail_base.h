#pragma once

#include "daemon/peer_type.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace acaciahill {

/// The last applied entries of a replica, kept for nodes that pull. A replica
/// without claims stores claim runs instead of claim commands, and can serve
/// only pulls without claims. Not thread-safe.
class PullTail
{
public:
  /// Keeps the newest entries up to these limits.
  PullTail(std::size_t aMaxEntries, std::size_t aMaxBytes);

  /// Adds the next entry, which must not be a claim command.
  void Add(const LogEntry& aEntry);

  /// Adds the next entry, a claim command, with the state's logical time right
  /// after it.
  void AddClaim(const LogEntry& aEntry, std::uint64_t aLogicalMs);

  /// Adds a run of claim commands that this replica does not have.
  void AddRun(const ClaimRun& aRun);

  void Clear();

  /// Returns at most aLimit entries after an index, oldest first. With
  /// aWithoutClaims, consecutive claim commands are joined to one run. Nothing
  /// when a snapshot is needed: the entries are no longer kept, or claim
  /// commands are requested but only their run is kept.
  std::optional<std::vector<PulledEntry>> After(std::uint64_t aIndex,
                                                bool aWithoutClaims,
                                                std::size_t aLimit) const;

private:
  struct Item
  {
    PulledEntry entry_;
    std::uint64_t firstIndex_ = 0;
    std::uint64_t lastIndex_ = 0;
    /// Logical time after a claim command or a run; absent for other entries.
    std::optional<std::uint64_t> claimLogicalMs_;
    std::size_t bytes_ = 0;
  };

  /// Appends an item and removes the oldest ones beyond the limits.
  void Append(Item aItem);

  std::size_t maxEntries_;
  std::size_t maxBytes_;
  std::size_t bytes_ = 0;
  std::deque<Item> items_;
};

} // namespace acaciahill
