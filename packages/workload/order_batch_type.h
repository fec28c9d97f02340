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

/// An order that another control node sends to a worker for the leader.
struct RelayedOrder
{
  /// Chosen by the leader; the answer carries the same id.
  std::uint64_t id_ = 0;
  WorkerOrder order_;

  bool operator==(const RelayedOrder&) const = default;
};

/// Orders of one leader that one control node is to send.
struct OrderBatch
{
  std::uint64_t term_ = 0;
  /// Time on the receiving node's clock in ms after which it must not send the
  /// orders.
  std::int64_t untilMs_ = 0;
  std::vector<RelayedOrder> orders_;

  bool operator==(const OrderBatch&) const = default;
};

/// A worker's answer to a relayed order.
struct RelayedAnswer
{
  std::uint64_t id_ = 0;
  OrderAnswer answer_;
  /// The worker's lists, when it accepted a lease renewal.
  std::optional<WorkerLists> lists_;

  bool operator==(const RelayedAnswer&) const = default;
};

/// Answers of workers that a control node returns to the leader.
struct AnswerBatch
{
  std::uint64_t term_ = 0;
  /// The control node's clock in ms, which also advances while the node is
  /// suspended.
  std::int64_t clockMs_ = 0;
  std::vector<RelayedAnswer> answers_;

  bool operator==(const AnswerBatch&) const = default;
};

/// Encode a batch in a versioned binary format. A payload shared by several
/// starts is encoded once. RenewLease::sentAt_ is omitted, as only the leader
/// needs it.
std::string
EncodeOrders(const OrderBatch& aBatch);

std::string
EncodeAnswers(const AnswerBatch& aBatch);

/// Decode these formats. Errors: BadRequest.
Result<OrderBatch>
DecodeOrders(const std::string& aBytes);

Result<AnswerBatch>
DecodeAnswers(const std::string& aBytes);

} // namespace acaciahill
