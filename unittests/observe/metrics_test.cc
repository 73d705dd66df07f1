// Metrics: values add up, text is well formed, series are bounded.

#include "yuccastair/observe/metrics.h"

#include <catch2/catch.hpp>

namespace yuccastair::observe {
namespace {

using std::chrono::milliseconds;

TEST_CASE("counters add up for each combination of labels") {
  Metrics metrics;
  metrics.Count("requests_total", {{"outcome", "ok"}});
  metrics.Count("requests_total", {{"outcome", "ok"}}, 2);
  metrics.Count("requests_total", {{"outcome", "unknown"}});
  CHECK(metrics.CounterValue("requests_total", {{"outcome", "ok"}}) == 3);
  CHECK(metrics.CounterValue("requests_total", {{"outcome", "not-run"}}) == 0);
}

TEST_CASE("label values cannot break the text format") {
  Metrics metrics;
  metrics.Count("requests_total", {{"route", "a\"b\\c\nd"}});
  CHECK(metrics.ToPrometheusText() ==
        "# TYPE requests_total counter\n"
        "requests_total{route=\"a\\\"b\\\\c\\nd\"} 1\n");
}

TEST_CASE("series over the bound are counted together") {
  Metrics metrics(2);
  for (const char* name : {"a", "b", "c", "d"})
    metrics.Count("requests_total", {{"organisation", name}});
  CHECK(metrics.CounterValue("requests_total", {{"organisation", "other"}}) ==
        2);
}

TEST_CASE("a summary shows quantiles, sum and count") {
  Metrics metrics;
  for (int i = 1; i <= 1000; ++i)
    metrics.Observe("call_seconds", {}, milliseconds(i));
  const std::string text = metrics.ToPrometheusText();
  CHECK(text.find("call_seconds_count 1000\n") != std::string::npos);
  CHECK(text.find("call_seconds_sum 500.5\n") != std::string::npos);
  CHECK(text.find("call_seconds{quantile=\"0.99\"} 0.9") != std::string::npos);
}

}  // namespace
}  // namespace yuccastair::observe
