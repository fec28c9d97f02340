#pragma once

#include "kernel/time_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace acaciahill {

/// An answer of the admin API that arrived whole.
struct AdminReply
{
  int status_ = 0;
  std::string body_;
  /// The header Acaciahill-Table-Version; absent in most answers.
  std::optional<std::uint64_t> tableVersion_;

  bool operator==(const AdminReply&) const = default;
};

/// What one call to one address gave.
struct AdminCallOutcome
{
  /// False when no byte can have reached the node.
  bool sent_ = false;
  /// Absent when no whole answer came; fault_ then says why.
  std::optional<AdminReply> reply_;
  std::string fault_;

  bool operator==(const AdminCallOutcome&) const = default;
};

/// An accepted change.
struct ChangeReply
{
  std::uint64_t tableVersion_ = 0;
  /// Log index of the change.
  std::uint64_t index_ = 0;
  /// What it did, in words.
  std::string text_;

  bool operator==(const ChangeReply&) const = default;
};

/// How widely a change is in force.
struct InForceReply
{
  std::int64_t on_ = 0;
  std::int64_t of_ = 0;
  std::vector<std::string> behind_;

  bool IsEverywhere() const { return of_ > 0 && on_ == of_; }
  bool operator==(const InForceReply&) const = default;
};

struct AdminClientSettings
{
  /// Admin addresses of nodes, in the order in which they are tried.
  std::vector<std::string> addresses_;
  /// How long a change is sent again, and how long --wait waits.
  Millis timeout_{ 30000 };
  /// Longest time for one call to one address.
  Millis callTimeout_{ 5000 };
  /// Id of the intent, which all resends carry.
  std::string requestId_;

  bool operator==(const AdminClientSettings&) const = default;
};

} // namespace acaciahill
