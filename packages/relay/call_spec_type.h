#pragma once

#include "http/http_message_type.h"
#include "kernel/error_type.h"
#include "kernel/time_type.h"

#include <cstdint>
#include <string>

namespace acaciahill {

/// Routing parameters of a caller's request.
struct CallSpec
{
  std::string pool_;
  /// Path and query for the target; begins with "/".
  std::string path_;
  std::string caller_;
  /// 0 when the caller named none.
  Millis deadline_{ 0 };
  bool urgent_ = false;
  bool repeatable_ = false;
  /// Empty without an Idempotency-Key.
  std::string key_;

  bool operator==(const CallSpec&) const = default;
};

/// Reads a request's path and headers. A deadline over the limit is
/// reduced to it.
/// Errors: BadRequest, UnknownPool when the path does not begin with
/// "/pools/{pool}".
Result<CallSpec>
ReadCallSpec(const HttpRequest& aRequest,
             const std::string& aPeerIp,
             Millis aMaxDeadline);

/// The key of a claim: the pool, the caller and its Idempotency-Key.
std::string
ClaimKeyOf(const CallSpec& aSpec);

/// Hash of method, path and body; detects a key reused for another request.
std::uint64_t
FingerprintOf(const HttpRequest& aRequest);

} // namespace acaciahill
