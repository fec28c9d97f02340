#pragma once

#include "kernel/time_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace acaciahill {

/// Position in a trace: W3C Trace Context ids in lower-case hexadecimal.
struct TraceContext
{
  /// 32 digits.
  std::string traceId_;
  /// 16 digits.
  std::string spanId_;

  bool operator==(const TraceContext&) const = default;
};

/// Reads a traceparent header; nothing when it is missing or malformed.
std::optional<TraceContext>
ParseTraceparent(std::string_view aHeader);

/// The traceparent header for the next hop.
std::string
FormatTraceparent(const TraceContext& aContext);

/// A context within the parent's trace, or of a new trace without a parent.
TraceContext
MakeChildContext(const std::optional<TraceContext>& aParent);

/// One finished span of one hop, in the field names of OTLP.
struct Span
{
  std::string name_;
  TraceContext context_;
  /// Empty for the first span of a trace.
  std::string parentSpanId_;
  /// Monotonic time in ms at which it began.
  MonotonicTime start_{};
  std::int64_t durationUs_ = 0;
  bool ok_ = true;
  std::vector<std::pair<std::string, std::string>> attributes_;

  bool operator==(const Span&) const = default;
};

/// Takes finished spans. Implementations are thread-safe and do not block on
/// slow disks for longer than a buffered write.
class TraceSink
{
public:
  TraceSink() = default;
  TraceSink(const TraceSink&) = delete;
  TraceSink& operator=(const TraceSink&) = delete;
  virtual ~TraceSink() = default;

  virtual void Write(const Span& aSpan) = 0;
};

/// Drops every span.
class NullTraceSink : public TraceSink
{
public:
  void Write(const Span&) override {}
};

/// A span as one JSON line in the field names of OTLP.
std::string
SpanToJsonLine(const Span& aSpan, std::string_view aNode);

} // namespace acaciahill
