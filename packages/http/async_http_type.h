#pragma once

#include "http/http_message_type.h"
#include "kernel/time_type.h"

#include <cstdint>
#include <functional>
#include <string>
#include <variant>

namespace acaciahill {

/// Why a call got no complete answer.
enum class CallFailure : std::uint8_t
{
  NotSent,    ///< No byte of the request was sent: connecting failed.
  AnswerLost, ///< The connection ended before the answer was complete.
  Timeout,    ///< No complete answer in time; the connection is reset.
};

/// The answer of a call, or why there is none. After AnswerLost and Timeout the
/// request may have been processed, or may still be.
using CallResult = std::variant<HttpAnswer, CallFailure>;

/// Timeouts of the connections that a listener accepts.
struct ListenerTiming
{
  /// An idle connection is closed after this time.
  Millis idle_{ 15000 };
  /// Longest time for reading a request's body, and for writing an answer.
  Millis read_{ 5000 };

  bool operator==(const ListenerTiming&) const = default;
};

} // namespace acaciahill
