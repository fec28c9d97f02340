#pragma once

#include "kernel/time_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace acaciahill {

/// A W3C Trace Context: trace and span id in lower-case hexadecimal.
struct TraceContext
{
  /// 32 digits.
  std::string traceId_;
  /// 16 digits.
  std::string spanId_;

  bool operator==(const TraceContext&) const = default;
};

/// Parses a traceparent header; nothing when it is empty or malformed.
std::optional<TraceContext>
ParseTraceparent(std::string_view aHeader);

/// Formats the traceparent header for the next hop.
std::string
FormatTraceparent(const TraceContext& aContext);

/// Creates a context in the trace of the parent, or in a new trace when there
/// is no parent.
TraceContext
MakeChildContext(const std::optional<TraceContext>& aParent);

/// A finished span of one hop, named as in OTLP.
struct Span
{
  std::string name_;
  TraceContext context_;
  /// Empty for the first span of a trace.
  std::string parentSpanId_;
  /// Start on the monotonic clock, in ms.
  MonotonicTime start_{};
  std::int64_t durationUs_ = 0;
  bool ok_ = true;
  std::vector<std::pair<std::string, std::string>> attributes_;

  bool operator==(const Span&) const = default;
};

/// Records finished spans. Implementations are thread-safe and never block for
/// longer than a buffered write, also on slow disks.
class TraceSink
{
public:
  TraceSink() = default;
  TraceSink(const TraceSink&) = delete;
  TraceSink& operator=(const TraceSink&) = delete;
  virtual ~TraceSink() = default;

  virtual void Write(const Span& aSpan) = 0;
};

/// Discards all spans.
class NullTraceSink : public TraceSink
{
public:
  void Write(const Span&) override {}
};

/// Formats a span as one line of JSON with the field names of OTLP.
std::string
SpanToJsonLine(const Span& aSpan, std::string_view aNode);

} // namespace acaciahill
