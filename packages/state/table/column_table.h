#pragma once

#include "state/fleet_type.h"

#include <array>
#include <string_view>

namespace acaciahill {

/// What the cells of a column hold.
enum class ColumnKind : std::uint8_t
{
  Name,   ///< The pool's name.
  Number, ///< A whole number in a range.
  Action, ///< A DrainAction.
  Flag,   ///< "yes" or "no".
};

/// A column of the table. The range and the default apply to numbers only.
struct ColumnInfo
{
  std::string_view name_;
  ColumnKind kind_;
  std::int64_t PoolRow::*number_;
  std::int64_t smallest_;
  std::int64_t largest_;
  std::int64_t default_;
  /// One line for the operator.
  std::string_view help_;
};

namespace detail {

// The largest pool size is well over the design target of 3,100 workers. A
// day is the longest time that a drain may wait before it needs an operator.
inline constexpr std::int64_t kLargestSize = 100'000;
inline constexpr std::int64_t kLargestCount = 100'000;
inline constexpr std::int64_t kLargestPrice = 1'000'000;
inline constexpr std::int64_t kLargestDeadlineMs = 600'000;
inline constexpr std::int64_t kLargestDrainMs = 86'400'000;

} // namespace detail

/// The columns in their order.
inline constexpr std::array kColumnTable = {
  ColumnInfo{ "pool",
              ColumnKind::Name,
              nullptr,
              0,
              0,
              0,
              "name of the pool, as in /pools/NAME/" },
  ColumnInfo{ "weight",
              ColumnKind::Number,
              &PoolRow::weight_,
              0,
              10'000,
              100,
              "share of a full entry VM, relative to the other weights" },
  ColumnInfo{ "size",
              ColumnKind::Number,
              &PoolRow::size_,
              0,
              detail::kLargestSize,
              0,
              "wanted number of VMs" },
  ColumnInfo{ "min_available",
              ColumnKind::Number,
              &PoolRow::minAvailable_,
              0,
              detail::kLargestSize,
              0,
              "VMs that must stay available, also after losing one more rack" },
  ColumnInfo{ "max_unavailable",
              ColumnKind::Number,
              &PoolRow::maxUnavailable_,
              0,
              detail::kLargestSize,
              1,
              "most VMs stopped, moved out, lost or unknown at once" },
  ColumnInfo{ "queue_limit",
              ColumnKind::Number,
              &PoolRow::queueLimit_,
              0,
              detail::kLargestCount,
              100,
              "requests that may wait on each entry VM" },
  ColumnInfo{ "deadline_ms",
              ColumnKind::Number,
              &PoolRow::deadlineMs_,
              10,
              detail::kLargestDeadlineMs,
              5'000,
              "deadline of requests that name none, in ms" },
  ColumnInfo{ "caller_limit",
              ColumnKind::Number,
              &PoolRow::callerLimit_,
              1,
              detail::kLargestCount,
              64,
              "requests in flight for each caller on each entry VM" },
  ColumnInfo{ "retry_percent",
              ColumnKind::Number,
              &PoolRow::retryPercent_,
              0,
              100,
              20,
              "retries allowed, in percent of first attempts" },
  ColumnInfo{ "drain_limit_ms",
              ColumnKind::Number,
              &PoolRow::drainLimitMs_,
              100,
              detail::kLargestDrainMs,
              60'000,
              "time after which drain_action applies to a drain, in ms" },
  ColumnInfo{ "drain_action",
              ColumnKind::Action,
              nullptr,
              0,
              0,
              0,
              "at drain_limit_ms: wait (default) or stop" },
  ColumnInfo{ "hold_price",
              ColumnKind::Number,
              &PoolRow::holdPrice_,
              0,
              detail::kLargestPrice,
              1,
              "price of one idle VM for one hour" },
  ColumnInfo{ "move_price",
              ColumnKind::Number,
              &PoolRow::movePrice_,
              0,
              detail::kLargestPrice,
              1,
              "price of one move" },
  ColumnInfo{ "spare",
              ColumnKind::Flag,
              nullptr,
              0,
              0,
              0,
              "yes for the one pool that lends its VMs to the others" },
};

} // namespace acaciahill
