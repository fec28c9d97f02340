#pragma once

#include "http/http_message_type.h"
#include "kernel/time_type.h"

#include <cstdint>
#include <functional>
#include <string>
#include <variant>

namespace acaciahill {

/// Why a call got no whole answer.
enum class CallFailure : std::uint8_t
{
  NotSent,    ///< No byte of the request left: no connection could be made.
  AnswerLost, ///< The connection ended before the answer was whole.
  Timeout,    ///< No whole answer in time; the connection is closed.
};

/// The answer of a call, or why there is none. After AnswerLost and Timeout the
/// request may have been carried out, or may be later.
using CallResult = std::variant<HttpAnswer, CallFailure>;

/// Times of the connections that a listener accepts.
struct ListenerTiming
{
  /// An idle connection is closed after this time.
  Millis idle_{ 15000 };
  /// A request whose bytes stop arriving for this time is given up.
  Millis read_{ 5000 };

  bool operator==(const ListenerTiming&) const = default;
};

} // namespace acaciahill
