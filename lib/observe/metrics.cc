// Metrics on top of Boost.Accumulators.

#include "yuccastair/observe/metrics.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <sstream>

namespace yuccastair::observe {
namespace {

namespace acc = boost::accumulators;

using Accumulator = acc::accumulator_set<
    double,
    acc::stats<acc::tag::count,
               acc::tag::sum,
               acc::tag::extended_p_square_quantile(acc::quadratic)>>;

// The estimator interpolates between its markers, so it holds more of them than
// the quantiles that are shown.
constexpr std::array<double, 7> kMarkers = {0.25, 0.5,  0.75, 0.9,
                                            0.95, 0.99, 0.999};
constexpr std::array<double, 3> kShown = {0.5, 0.9, 0.99};

std::string Escape(const std::string& text) {
  std::string escaped;
  for (const char c : text) {
    if (c == '\\' || c == '"')
      escaped += '\\';
    if (c == '\n')
      escaped += "\\n";
    else
      escaped += c;
  }
  return escaped;
}

std::string FormatLabels(const Labels& labels) {
  std::string text;
  for (const auto& [name, value] : labels) {
    if (!text.empty())
      text += ',';
    text += name;
    text += "=\"" + Escape(value) + '"';
  }
  return text;
}

std::string InBraces(const std::string& labels, const std::string& more = "") {
  if (labels.empty() && more.empty())
    return "";
  const bool both = !labels.empty() && !more.empty();
  return '{' + labels + (both ? "," : "") + more + '}';
}

}  // namespace

struct Metrics::Summary {
  Accumulator values{acc::tag::extended_p_square_quantile::probabilities =
                         kMarkers};
};

Metrics::Metrics(std::size_t max_series) : max_series_(max_series) {}

Metrics::~Metrics() = default;

std::string Metrics::SeriesKey(std::size_t known,
                               bool exists,
                               const Labels& labels,
                               const std::string& key) const {
  if (exists || known < max_series_)
    return key;
  Labels other = labels;
  for (auto& [name, value] : other)
    value = "other";
  return FormatLabels(other);
}

void Metrics::Count(const std::string& name, const Labels& labels, double by) {
  const std::string key = FormatLabels(labels);
  std::lock_guard lock(mutex_);
  auto& family = counters_[name];
  family[SeriesKey(family.size(), family.count(key) > 0, labels, key)] += by;
}

void Metrics::Observe(const std::string& name,
                      const Labels& labels,
                      std::chrono::nanoseconds value) {
  const std::string key = FormatLabels(labels);
  std::lock_guard lock(mutex_);
  auto& family = summaries_[name];
  auto& series =
      family[SeriesKey(family.size(), family.count(key) > 0, labels, key)];
  if (!series)
    series = std::make_unique<Summary>();
  series->values(std::chrono::duration<double>(value).count());
}

void Metrics::RegisterGauge(const std::string& name,
                            std::function<double()> read) {
  std::lock_guard lock(mutex_);
  gauges_[name] = std::move(read);
}

double Metrics::CounterValue(const std::string& name,
                             const Labels& labels) const {
  std::lock_guard lock(mutex_);
  const auto family = counters_.find(name);
  if (family == counters_.end())
    return 0;
  const auto series = family->second.find(FormatLabels(labels));
  return series == family->second.end() ? 0 : series->second;
}

std::string Metrics::ToPrometheusText() const {
  std::ostringstream out;
  // Enough for byte counts up to 10^15.
  out.precision(15);
  std::lock_guard lock(mutex_);
  for (const auto& [name, family] : counters_) {
    out << "# TYPE " << name << " counter\n";
    for (const auto& [labels, value] : family)
      out << name << InBraces(labels) << ' ' << value << '\n';
  }
  for (const auto& [name, read] : gauges_)
    out << "# TYPE " << name << " gauge\n" << name << ' ' << read() << '\n';
  for (const auto& [name, family] : summaries_) {
    out << "# TYPE " << name << " summary\n";
    for (const auto& [labels, series] : family) {
      for (const double quantile : kShown) {
        std::ostringstream label;
        label << "quantile=\"" << quantile << '"';
        out << name << InBraces(labels, label.str()) << ' '
            << acc::quantile(series->values,
                             acc::quantile_probability = quantile)
            << '\n';
      }
      out << name << "_sum" << InBraces(labels) << ' '
          << acc::sum(series->values) << '\n'
          << name << "_count" << InBraces(labels) << ' '
          << acc::count(series->values) << '\n';
    }
  }
  return out.str();
}

}  // namespace yuccastair::observe
