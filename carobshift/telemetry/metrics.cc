#include "carobshift/telemetry/metrics.h"

#include <sstream>

namespace carobshift {
namespace {

// From 0.1 ms to 100 s with ten buckets per decade: the error of a quantile is
// at most 26 percent.
constexpr double kLowestSeconds = 1e-4;
constexpr double kHighestSeconds = 100;
constexpr unsigned kBuckets = 60;

std::string LabelText(const MetricLabels& labels) {
  std::string out;
  for (const auto& [name, value] : labels) {
    if (!out.empty())
      out += ',';
    out += name;
    out += "=\"";
    for (const char c : value) {
      if (c == '"' || c == '\\')
        out += '\\';
      out += c == '\n' ? ' ' : c;
    }
    out += '"';
  }
  return out;
}

std::string Number(double value) {
  std::ostringstream out;
  out.precision(12);
  out << value;
  return out.str();
}

void PrintSample(const std::string& name,
                 const std::string& labels,
                 double value,
                 std::string& out) {
  out += name;
  if (!labels.empty())
    out += "{" + labels + "}";
  out += " " + Number(value) + "\n";
}

}  // namespace

void Metrics::Add(std::string_view name,
                  const MetricLabels& labels,
                  double amount) {
  const std::lock_guard lock(mutex_);
  values_[{std::string(name), LabelText(labels)}] += amount;
}

void Metrics::Set(std::string_view name,
                  const MetricLabels& labels,
                  double value) {
  const std::lock_guard lock(mutex_);
  values_[{std::string(name), LabelText(labels)}] = value;
}

void Metrics::Observe(std::string_view name,
                      const MetricLabels& labels,
                      Microseconds duration) {
  const double seconds = std::chrono::duration<double>(duration).count();
  const std::lock_guard lock(mutex_);
  auto it = distributions_.find({std::string(name), LabelText(labels)});
  if (it == distributions_.end()) {
    Distribution fresh{boost::histogram::make_histogram(
        Axis(kBuckets, kLowestSeconds, kHighestSeconds))};
    it = distributions_
             .emplace(SeriesKey{std::string(name), LabelText(labels)},
                      std::move(fresh))
             .first;
  }
  it->second.histogram(seconds);
  it->second.sum_seconds += seconds;
  ++it->second.count;
}

double Metrics::Value(std::string_view name, const MetricLabels& labels) const {
  const std::lock_guard lock(mutex_);
  const auto it = values_.find({std::string(name), LabelText(labels)});
  return it == values_.end() ? 0 : it->second;
}

std::string Metrics::PrometheusText() const {
  std::string out;
  const std::lock_guard lock(mutex_);
  for (const auto& [key, value] : values_)
    PrintSample(key.first, key.second, value, out);
  for (const auto& [key, distribution] : distributions_)
    PrintDistribution(key, distribution, out);
  return out;
}

void Metrics::PrintDistribution(const SeriesKey& key,
                                const Distribution& distribution,
                                std::string& out) {
  const auto& [name, labels] = key;
  const std::string prefix = labels.empty() ? "" : labels + ",";
  const auto& axis = distribution.histogram.axis(0);
  double cumulative = distribution.histogram.at(-1);
  for (int i = 0; i < axis.size(); ++i) {
    cumulative += distribution.histogram.at(i);
    PrintSample(name + "_bucket",
                prefix + "le=\"" + Number(axis.bin(i).upper()) + "\"",
                cumulative, out);
  }
  PrintSample(name + "_bucket", prefix + "le=\"+Inf\"",
              static_cast<double>(distribution.count), out);
  PrintSample(name + "_sum", labels, distribution.sum_seconds, out);
  PrintSample(name + "_count", labels, static_cast<double>(distribution.count),
              out);
}

}  // namespace carobshift
