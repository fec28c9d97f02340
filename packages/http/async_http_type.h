#pragma once

#include "http/http_message_type.h"
#include "kernel/time_type.h"

#include <cstddef>
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

/// Limits of all connections of a listener together.
struct ListenerLimits
{
  /// Open connections. A further one takes the place of the one that has been
  /// idle the longest or, when none is idle, of the one that has been sending a
  /// body the longest. It is closed when all have requests in work.
  std::size_t maxConnections_ = 3000;
  /// Bytes of requests that are being read or have no answer yet. A request
  /// beyond it is refused.
  std::size_t maxBufferedBytes_ = std::size_t{ 8 } * 1024 * 1024;

  bool operator==(const ListenerLimits&) const = default;
};

/// What a listener holds, and what it refused so far.
struct ListenerCounts
{
  std::size_t connections_ = 0;
  std::size_t bufferedBytes_ = 0;
  /// Connections that were closed for new ones, and new ones that were closed.
  std::uint64_t closedConnections_ = 0;
  /// Requests refused for want of buffers.
  std::uint64_t refusedForBuffers_ = 0;
  /// Requests refused because a part of them exceeds the limit of a message.
  std::uint64_t refusedForSize_ = 0;

  bool operator==(const ListenerCounts&) const = default;
};

} // namespace acaciahill
