#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace acaciahill {

/// Labels of one time series, such as { { "pool", "rota" } }.
using MetricLabels = std::vector<std::pair<std::string, std::string>>;

/// Counters, gauges and latency summaries of a process, printed in the text
/// format of Prometheus. Thread-safe.
class Metrics
{
public:
  Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;
  ~Metrics();

  /// Adds to a counter. The name should end in "_total".
  void Count(const std::string& aName,
             const MetricLabels& aLabels,
             double aBy = 1);

  /// Sets a gauge.
  void Set(const std::string& aName,
           const MetricLabels& aLabels,
           double aValue);

  /// Adds one observation to a summary with the quantiles 0.5, 0.9 and 0.99.
  /// Times are in seconds.
  void Observe(const std::string& aName,
               const MetricLabels& aLabels,
               double aValue);

  /// Sets the HELP text of a metric; one line.
  void Describe(const std::string& aName, const std::string& aText);

  /// Removes all gauges of a name, so that series of removed pools or VMs are
  /// no longer exported.
  void ForgetGauges(const std::string& aName);

  /// Formats all metrics in the Prometheus text format, version 0.0.4.
  std::string PrometheusText() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace acaciahill
