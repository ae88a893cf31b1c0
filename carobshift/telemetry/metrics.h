// Metrics holds counters, gauges and latency histograms, and prints them in the
// Prometheus text format.
//
//   metrics.Add("carobshift_requests_total", {{"service", "assistant"}}, 1);
//   metrics.Observe("carobshift_first_token_seconds", labels, Milliseconds(3));
//   std::string page = metrics.PrometheusText();
//
// Thread-safe: one mutex, held for one update. Names and label values come from
// the declaration and the result code table, so the size of the declaration
// bounds the number of series.

#ifndef CAROBSHIFT_TELEMETRY_METRICS_H_
#define CAROBSHIFT_TELEMETRY_METRICS_H_

#include <boost/histogram.hpp>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "carobshift/base/units.h"

namespace carobshift {

using MetricLabels = std::vector<std::pair<std::string_view, std::string_view>>;

class Metrics {
 public:
  void Add(std::string_view name, const MetricLabels& labels, double amount);
  // Sets a gauge.
  void Set(std::string_view name, const MetricLabels& labels, double value);
  // Adds one observation to a histogram; printed in seconds.
  void Observe(std::string_view name,
               const MetricLabels& labels,
               Microseconds duration);

  // Returns the value of a counter or gauge; 0 if it was never set.
  [[nodiscard]] double Value(std::string_view name,
                             const MetricLabels& labels) const;

  [[nodiscard]] std::string PrometheusText() const;

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Histogram =
      decltype(boost::histogram::make_histogram(std::declval<Axis>()));
  struct Distribution {
    Histogram histogram;
    double sum_seconds = 0;
    std::uint64_t count = 0;
  };
  using SeriesKey = std::pair<std::string, std::string>;

  static void PrintDistribution(const SeriesKey& key,
                                const Distribution& distribution,
                                std::string& out);

  mutable std::mutex mutex_;
  std::map<SeriesKey, double> values_;
  std::map<SeriesKey, Distribution> distributions_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_TELEMETRY_METRICS_H_
