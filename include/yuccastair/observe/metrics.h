// Counters, gauges and latency summaries, shown as Prometheus text.

#ifndef YUCCASTAIR_OBSERVE_METRICS_H_
#define YUCCASTAIR_OBSERVE_METRICS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace yuccastair::observe {

/// Label names and values, in the order in which they are shown.
using Labels = std::vector<std::pair<std::string, std::string>>;

/// The metrics of one process. Safe for use by several threads.
class Metrics {
 public:
  /// \p max_series bounds the label combinations of one metric, because
  /// organisations and routes are created by operators. Further combinations
  /// are counted under the label value "other".
  explicit Metrics(std::size_t max_series = 2000);
  ~Metrics();

  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Adds \p by to the counter \p name, which must end in "_total".
  void Count(const std::string& name, const Labels& labels, double by = 1);

  /// Adds one observation to the summary \p name, which must end in "_seconds".
  void Observe(const std::string& name,
               const Labels& labels,
               std::chrono::nanoseconds value);

  /// Calls \p read whenever the gauge \p name is shown.
  void RegisterGauge(const std::string& name, std::function<double()> read);

  /// Returns the value of a counter; 0 if it was never counted.
  double CounterValue(const std::string& name, const Labels& labels) const;

  /// Returns all metrics in the Prometheus text format.
  std::string ToPrometheusText() const;

 private:
  struct Summary;
  template <typename Series>
  using Family = std::map<std::string, std::map<std::string, Series>>;

  std::string SeriesKey(std::size_t known,
                        bool exists,
                        const Labels& labels,
                        const std::string& key) const;

  const std::size_t max_series_;
  mutable std::mutex mutex_;
  Family<double> counters_;
  Family<std::unique_ptr<Summary>> summaries_;
  std::map<std::string, std::function<double()>> gauges_;
};

}  // namespace yuccastair::observe

#endif  // YUCCASTAIR_OBSERVE_METRICS_H_
