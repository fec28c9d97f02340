#pragma once

#include "kernel/error_type.h"
#include "workload/scheduler_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace acaciahill {

/// An order to a worker.
using WorkerOrder = std::variant<StartRun, StopRun, RenewLease, PaceRun>;

/// An order that another control node gives for the leader.
struct RelayedOrder
{
  /// Chosen by the leader; the answer names it.
  std::uint64_t id_ = 0;
  WorkerOrder order_;

  bool operator==(const RelayedOrder&) const = default;
};

/// Orders of one leader for one control node.
struct OrderBatch
{
  std::uint64_t term_ = 0;
  /// Time on the receiving node's clock after which it must not give them.
  std::int64_t untilMs_ = 0;
  std::vector<RelayedOrder> orders_;

  bool operator==(const OrderBatch&) const = default;
};

/// How a worker took a relayed order.
struct RelayedAnswer
{
  std::uint64_t id_ = 0;
  OrderAnswer answer_;
  /// The worker's lists, when it took a renewal.
  std::optional<WorkerLists> lists_;

  bool operator==(const RelayedAnswer&) const = default;
};

/// Answers that a control node has for the leader.
struct AnswerBatch
{
  std::uint64_t term_ = 0;
  /// The control node's clock; it runs on while the node is suspended.
  std::int64_t clockMs_ = 0;
  std::vector<RelayedAnswer> answers_;

  bool operator==(const AnswerBatch&) const = default;
};

/// The binary forms of the batches. A payload that several starts share stands
/// in it once. The time at which a renewal was sent is left out: only the
/// leader needs it.
std::string
EncodeOrders(const OrderBatch& aBatch);

std::string
EncodeAnswers(const AnswerBatch& aBatch);

/// Read these forms. Errors: BadRequest.
Result<OrderBatch>
DecodeOrders(const std::string& aBytes);

Result<AnswerBatch>
DecodeAnswers(const std::string& aBytes);

} // namespace acaciahill
