#include "kernel/metrics_base.h"
#include "kernel/trace_base.h"

#include <catch2/catch.hpp>

using namespace acaciahill;

// Guards against accepting a malformed header, which would merge unrelated
// requests into one trace.
TEST_CASE("traceparent headers are read strictly")
{
  const std::string traceId = "4bf92f3577b34da6a3ce929d0e0e4736";
  const std::string spanId = "00f067aa0ba902b7";
  const auto parsed = ParseTraceparent("00-" + traceId + "-" + spanId + "-01");
  REQUIRE(parsed);
  CHECK(parsed->traceId_ == traceId);
  CHECK(parsed->spanId_ == spanId);

  const auto bad =
    GENERATE_COPY(std::string(),
                  "00-" + traceId + "-" + spanId,
                  "00-" + std::string(32, '0') + "-" + spanId + "-01",
                  "00-" + traceId + "-" + std::string(16, '0') + "-01",
                  "00-" + std::string(32, 'G') + "-" + spanId + "-01",
                  "00_" + traceId + "-" + spanId + "-01");
  CHECK_FALSE(ParseTraceparent(bad));
}

TEST_CASE("a child stays in its parent's trace with a span id of its own")
{
  const auto root = MakeChildContext(std::nullopt);
  const auto child = MakeChildContext(root);
  CHECK(root.traceId_.size() == 32);
  CHECK(child.traceId_ == root.traceId_);
  CHECK(child.spanId_ != root.spanId_);
  CHECK(ParseTraceparent(FormatTraceparent(child)) == child);
}

// Guards against label values that break the Prometheus text format.
TEST_CASE("metrics are printed in the Prometheus text format")
{
  Metrics metrics;
  metrics.Count("requests_total", { { "pool", "a\"b\n" } }, 2);
  metrics.Describe("requests_total", "Requests of callers.");
  metrics.Set("headroom", {}, 3);
  for (int i = 1; i <= 1000; ++i) {
    metrics.Observe("latency_seconds", { { "pool", "a" } }, i / 1000.0);
  }
  const auto text = metrics.PrometheusText();
  CHECK(text.find("requests_total{pool=\"a\\\"b\\n\"} 2\n") !=
        std::string::npos);
  CHECK(text.find("# HELP requests_total Requests of callers.\n"
                  "# TYPE requests_total counter\n") != std::string::npos);
  CHECK(text.find("headroom 3\n") != std::string::npos);
  CHECK(text.find("latency_seconds_count{pool=\"a\"} 1000\n") !=
        std::string::npos);
  CHECK(text.find("quantile=\"0.99\"") != std::string::npos);
}
