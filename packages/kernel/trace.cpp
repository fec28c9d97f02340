#include "kernel/trace_base.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <random>

namespace acaciahill {

namespace {

constexpr std::size_t kTraceIdDigits = 32;
constexpr std::size_t kSpanIdDigits = 16;
// Version 00: "00-" trace id "-" span id "-" flags.
constexpr std::size_t kTraceparentSize = 55;

bool
IsLowerHex(std::string_view aText)
{
  return std::all_of(aText.begin(), aText.end(), [](char aChar) {
    return (aChar >= '0' && aChar <= '9') || (aChar >= 'a' && aChar <= 'f');
  });
}

bool
IsAllZero(std::string_view aText)
{
  return aText.find_first_not_of('0') == std::string_view::npos;
}

std::string
RandomHex(std::size_t aDigits)
{
  static constexpr std::array kDigits = { '0', '1', '2', '3', '4', '5',
                                          '6', '7', '8', '9', 'a', 'b',
                                          'c', 'd', 'e', 'f' };
  thread_local std::mt19937_64 random{ std::random_device{}() };
  std::string text;
  while (text.size() < aDigits) {
    std::uint64_t bits = random();
    for (int i = 0; i < 16 && text.size() < aDigits; ++i, bits >>= 4U) {
      text += kDigits[bits & 15U];
    }
  }
  return text;
}

} // namespace

std::optional<TraceContext>
ParseTraceparent(std::string_view aHeader)
{
  if (aHeader.size() < kTraceparentSize || aHeader[2] != '-' ||
      aHeader[35] != '-' || aHeader[52] != '-') {
    return std::nullopt;
  }
  const auto traceId = aHeader.substr(3, kTraceIdDigits);
  const auto spanId = aHeader.substr(36, kSpanIdDigits);
  if (!IsLowerHex(traceId) || !IsLowerHex(spanId) || IsAllZero(traceId) ||
      IsAllZero(spanId)) {
    return std::nullopt;
  }
  return TraceContext{ std::string(traceId), std::string(spanId) };
}

std::string
FormatTraceparent(const TraceContext& aContext)
{
  return "00-" + aContext.traceId_ + "-" + aContext.spanId_ + "-01";
}

TraceContext
MakeChildContext(const std::optional<TraceContext>& aParent)
{
  return { aParent ? aParent->traceId_ : RandomHex(kTraceIdDigits),
           RandomHex(kSpanIdDigits) };
}

std::string
SpanToJsonLine(const Span& aSpan, std::string_view aNode)
{
  auto attributes = nlohmann::json::object();
  for (const auto& [key, value] : aSpan.attributes_) {
    attributes[key] = value;
  }
  const nlohmann::json line = {
    { "name", aSpan.name_ },
    { "traceId", aSpan.context_.traceId_ },
    { "spanId", aSpan.context_.spanId_ },
    { "parentSpanId", aSpan.parentSpanId_ },
    { "service.node", aNode },
    { "monotonicStartMs", aSpan.start_.time_since_epoch().count() },
    { "durationUs", aSpan.durationUs_ },
    { "status", aSpan.ok_ ? "OK" : "ERROR" },
    { "attributes", attributes },
  };
  return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace acaciahill
