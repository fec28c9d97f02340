#include "kernel/metrics_base.h"

// The quantile header of Boost.Accumulators uses string streams without
// including them.
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <map>
#include <mutex>

namespace acaciahill {

namespace {

namespace acc = boost::accumulators;

constexpr std::array kQuantiles = { 0.5, 0.9, 0.99 };
// With fewer observations the P-square estimator has not initialised its
// markers, and its quantiles are meaningless.
constexpr std::size_t kMinCountForQuantiles = 10;

using Summary =
  acc::accumulator_set<double,
                       acc::stats<acc::tag::count,
                                  acc::tag::sum,
                                  acc::tag::extended_p_square_quantile>>;

std::string
EscapeLabel(std::string_view aText)
{
  std::string escaped;
  for (const char c : aText) {
    if (c == '\n') {
      escaped += "\\n";
      continue;
    }
    if (c == '"' || c == '\\') {
      escaped += '\\';
    }
    escaped += c;
  }
  return escaped;
}

/// Formats the labels of a series without the closing brace, so that a quantile
/// can follow; empty without labels.
std::string
LabelText(const MetricLabels& aLabels)
{
  std::string text;
  for (const auto& [key, value] : aLabels) {
    text += text.empty() ? "{" : ",";
    text += key + "=\"" + EscapeLabel(value) + "\"";
  }
  return text;
}

std::string
WithClosingBrace(const std::string& aLabelText)
{
  return aLabelText.empty() ? "" : aLabelText + "}";
}

std::string
WithQuantile(const std::string& aLabelText, double aQuantile)
{
  std::ostringstream text;
  text << (aLabelText.empty() ? "{" : aLabelText + ",") << "quantile=\""
       << aQuantile << "\"}";
  return text.str();
}

using Series = std::map<std::string, std::map<std::string, double>>;
using HelpTexts = std::map<std::string, std::string>;

void
PrintSeries(std::ostream& aOut,
            const Series& aSeries,
            const HelpTexts& aHelpTexts,
            const char* aType)
{
  for (const auto& [name, values] : aSeries) {
    if (const auto text = aHelpTexts.find(name); text != aHelpTexts.end()) {
      aOut << "# HELP " << name << ' ' << text->second << '\n';
    }
    aOut << "# TYPE " << name << ' ' << aType << '\n';
    for (const auto& [labels, value] : values) {
      aOut << name << WithClosingBrace(labels) << ' ' << value << '\n';
    }
  }
}

} // namespace

struct Metrics::Impl
{
  mutable std::mutex mutex_;
  Series counters_;
  Series gauges_;
  HelpTexts helpTexts_;
  std::map<std::string, std::map<std::string, Summary>> summaries_;
};

Metrics::Metrics()
  : impl_(std::make_unique<Impl>())
{
}

Metrics::~Metrics() = default;

void
Metrics::Count(const std::string& aName,
               const MetricLabels& aLabels,
               double aBy)
{
  const std::lock_guard lock(impl_->mutex_);
  impl_->counters_[aName][LabelText(aLabels)] += aBy;
}

void
Metrics::Set(const std::string& aName,
             const MetricLabels& aLabels,
             double aValue)
{
  const std::lock_guard lock(impl_->mutex_);
  impl_->gauges_[aName][LabelText(aLabels)] = aValue;
}

void
Metrics::Observe(const std::string& aName,
                 const MetricLabels& aLabels,
                 double aValue)
{
  const std::lock_guard lock(impl_->mutex_);
  auto& series = impl_->summaries_[aName];
  const auto key = LabelText(aLabels);
  auto found = series.find(key);
  if (found == series.end()) {
    found = series
              .emplace(
                key, Summary(acc::extended_p_square_probabilities = kQuantiles))
              .first;
  }
  found->second(aValue);
}

void
Metrics::Describe(const std::string& aName, const std::string& aText)
{
  const std::lock_guard lock(impl_->mutex_);
  impl_->helpTexts_[aName] = aText;
}

void
Metrics::ForgetGauges(const std::string& aName)
{
  const std::lock_guard lock(impl_->mutex_);
  impl_->gauges_.erase(aName);
}

std::string
Metrics::PrometheusText() const
{
  const std::lock_guard lock(impl_->mutex_);
  std::ostringstream out;
  out.precision(12);
  PrintSeries(out, impl_->counters_, impl_->helpTexts_, "counter");
  PrintSeries(out, impl_->gauges_, impl_->helpTexts_, "gauge");
  for (const auto& [name, series] : impl_->summaries_) {
    out << "# TYPE " << name << " summary\n";
    for (const auto& [labels, summary] : series) {
      if (acc::count(summary) >= kMinCountForQuantiles) {
        for (const double quantile : kQuantiles) {
          out << name << WithQuantile(labels, quantile) << ' '
              << acc::quantile(summary, acc::quantile_probability = quantile)
              << '\n';
        }
      }
      out << name << "_sum" << WithClosingBrace(labels) << ' '
          << acc::sum(summary) << '\n';
      out << name << "_count" << WithClosingBrace(labels) << ' '
          << acc::count(summary) << '\n';
    }
  }
  return out.str();
}

} // namespace acaciahill
