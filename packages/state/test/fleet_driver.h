#pragma once

#include "state/fleet_base.h"
#include "state/text_func.h"

#include <string>
#include <utility>

namespace acaciahill::test {

/// Applies each command with a new request id and the next log index.
class FleetDriver
{
public:
  CommandResult Apply(Command aCommand, std::uint64_t aElapsedMs = 1)
  {
    ++index_;
    return fleet_.Apply(
      { Concat("r", index_), aElapsedMs, std::move(aCommand) }, index_);
  }

  /// Applies a command and returns its error's kind, or nothing.
  std::optional<ErrorKind> KindOf(Command aCommand,
                                  std::uint64_t aElapsedMs = 1)
  {
    const auto result = Apply(std::move(aCommand), aElapsedMs);
    return result.error_ ? std::optional(result.error_->kind_) : std::nullopt;
  }

  const VmRecord& Vm(const std::string& aId) const
  {
    return fleet_.Vms().at(aId);
  }

  Fleet fleet_;
  std::uint64_t index_ = 0;
};

inline PoolRow
MakeRow(const std::string& aPool,
        std::int64_t aSize,
        std::int64_t aMinAvailable = 0,
        std::int64_t aMaxUnavailable = 1)
{
  PoolRow row;
  row.pool_ = aPool;
  row.size_ = aSize;
  row.minAvailable_ = aMinAvailable;
  row.maxUnavailable_ = aMaxUnavailable;
  return row;
}

inline PoolRow
MakeSpareRow(const std::string& aPool, std::int64_t aSize)
{
  auto row = MakeRow(aPool, aSize);
  row.spare_ = true;
  return row;
}

inline VmIdentity
MakeIdentity(const std::string& aId,
             std::uint64_t aIncarnation = 1,
             const std::string& aRack = "r1")
{
  return { aId, aIncarnation, "z1", aRack, Concat("127.0.0.1:", aId),
           16,  32768,        8,    64 };
}

/// Announces vm-1 to vm-N, each in its own rack.
inline void
AnnounceMany(FleetDriver& aDriver, int aCount)
{
  for (int i = 1; i <= aCount; ++i) {
    aDriver.Apply(
      AnnounceVm{ MakeIdentity(Concat("vm-", i), 1, Concat("r", i)) });
  }
}

} // namespace acaciahill::test
