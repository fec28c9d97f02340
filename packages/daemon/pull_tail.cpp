#include "daemon/pull_tail_base.h"

#include <algorithm>
#include <utility>

namespace acaciahill {

PullTail::PullTail(std::size_t aMaxEntries, std::size_t aMaxBytes)
  : maxEntries_(aMaxEntries)
  , maxBytes_(aMaxBytes)
{
}

void
PullTail::Add(const LogEntry& aEntry)
{
  Append({ aEntry, aEntry.index_, aEntry.index_, {}, aEntry.data_.size() });
}

void
PullTail::AddClaim(const LogEntry& aEntry, std::uint64_t aLogicalMs)
{
  Append(
    { aEntry, aEntry.index_, aEntry.index_, aLogicalMs, aEntry.data_.size() });
}

void
PullTail::AddRun(const ClaimRun& aRun)
{
  Append({ aRun, aRun.firstIndex_, aRun.lastIndex_, aRun.logicalMs_, 0 });
}

void
PullTail::Clear()
{
  items_.clear();
  bytes_ = 0;
}

void
PullTail::Append(Item aItem)
{
  bytes_ += aItem.bytes_;
  items_.push_back(std::move(aItem));
  while (items_.size() > maxEntries_ || bytes_ > maxBytes_) {
    bytes_ -= items_.front().bytes_;
    items_.pop_front();
  }
}

std::optional<std::vector<PulledEntry>>
PullTail::After(std::uint64_t aIndex,
                bool aWithoutClaims,
                std::size_t aLimit) const
{
  const auto first =
    std::upper_bound(items_.begin(),
                     items_.end(),
                     aIndex,
                     [](std::uint64_t aBefore, const Item& aItem) {
                       return aBefore < aItem.lastIndex_;
                     });
  if (items_.empty() ||
      (first != items_.end() && first->firstIndex_ > aIndex + 1)) {
    return std::nullopt;
  }
  std::vector<PulledEntry> entries;
  for (auto item = first; item != items_.end(); ++item) {
    const bool isRun = std::holds_alternative<ClaimRun>(item->entry_);
    if (isRun && !aWithoutClaims) {
      return std::nullopt;
    }
    const bool isReplaced = aWithoutClaims && item->claimLogicalMs_.has_value();
    auto* run = isReplaced && !entries.empty()
                  ? std::get_if<ClaimRun>(&entries.back())
                  : nullptr;
    if (run != nullptr) {
      run->lastIndex_ = item->lastIndex_;
      run->logicalMs_ = *item->claimLogicalMs_;
      continue;
    }
    if (entries.size() >= aLimit) {
      break;
    }
    if (isReplaced) {
      entries.emplace_back(ClaimRun{ std::max(item->firstIndex_, aIndex + 1),
                                     item->lastIndex_,
                                     *item->claimLogicalMs_ });
    } else {
      entries.push_back(item->entry_);
    }
  }
  return entries;
}

} // namespace acaciahill
