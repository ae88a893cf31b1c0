#include "carobshift/routing/endpoint_health.h"

#include <algorithm>
#include <unordered_set>

namespace carobshift {

namespace {

// Network and scheduling delays dominate shorter expected times.
constexpr Microseconds kMinExpectedTime{10000};
// The median over n endpoints is recomputed once per n / 4 answers.
constexpr std::size_t kMedianEvery = 4;
constexpr double kLargestRatio = 100;

}  // namespace

EndpointHealthTracker::EndpointHealthTracker(
    const EndpointHealthOptions& options)
    : options_(options) {}

void EndpointHealthTracker::Retain(const std::vector<EndpointId>& endpoints) {
  const std::unordered_set<EndpointId> kept(endpoints.begin(), endpoints.end());
  std::erase_if(records_, [&](const auto& item) {
    if (kept.contains(item.first))
      return false;
    ejected_ -= item.second.ejected ? 1 : 0;
    return true;
  });
  for (const EndpointId& id : endpoints)
    records_.try_emplace(id);
}

void EndpointHealthTracker::OnFirstToken(const EndpointId& endpoint,
                                         Microseconds observed,
                                         Microseconds expected,
                                         SampleKind kind,
                                         MonotonicTime now) {
  Record& record = records_[endpoint];
  const double ratio = std::min(
      kLargestRatio,
      static_cast<double>(std::max(observed, kMinExpectedTime).count()) /
          static_cast<double>(std::max(expected, kMinExpectedTime).count()));
  record.ratio =
      record.samples == 0
          ? ratio
          : record.ratio + options_.sample_weight * (ratio - record.ratio);
  ++record.samples;
  if (record.ejected) {
    if (kind == SampleKind::kProbe)
      OnProbeAnswer(&record, ratio, now);
    return;
  }
  const double median = MedianRatio();
  const bool slow = ratio > options_.eject_ratio * median;
  record.slow_in_a_row = slow ? record.slow_in_a_row + 1 : 0;
  if (record.slow_in_a_row >= options_.min_slow_samples)
    Eject(&record, now);
}

void EndpointHealthTracker::OnStall(const EndpointId& endpoint,
                                    SampleKind kind,
                                    MonotonicTime now) {
  Record& record = records_[endpoint];
  if (!record.ejected)
    Eject(&record, now);
  else if (kind == SampleKind::kProbe)
    OnProbeFailure(&record, now);
}

void EndpointHealthTracker::OnProbeSent(const EndpointId& endpoint,
                                        MonotonicTime now) {
  Record& record = records_[endpoint];
  record.next_probe = now + record.probe_interval;
}

EndpointHealth EndpointHealthTracker::HealthOf(const EndpointId& endpoint,
                                               MonotonicTime now) const {
  const auto it = records_.find(endpoint);
  if (it == records_.end() || !it->second.ejected)
    return EndpointHealth::kHealthy;
  return now >= it->second.next_probe ? EndpointHealth::kProbeDue
                                      : EndpointHealth::kEjected;
}

double EndpointHealthTracker::SlowdownOf(const EndpointId& endpoint) const {
  const auto it = records_.find(endpoint);
  if (it == records_.end() || !options_.enabled)
    return 1;
  return std::max(1.0, it->second.ratio / median_);
}

void EndpointHealthTracker::Eject(Record* record, MonotonicTime now) {
  const auto allowed = static_cast<std::size_t>(
      options_.max_ejected_share * static_cast<double>(records_.size()));
  if (!options_.enabled || ejected_ + 1 > allowed)
    return;
  record->ejected = true;
  record->slow_in_a_row = 0;
  record->good_probes = 0;
  record->probe_interval = options_.probe_interval;
  record->next_probe = now + record->probe_interval;
  ++ejected_;
}

void EndpointHealthTracker::OnProbeAnswer(Record* record,
                                          double ratio,
                                          MonotonicTime now) {
  if (ratio > options_.return_ratio * median_) {
    OnProbeFailure(record, now);
    return;
  }
  if (++record->good_probes < options_.probes_to_return)
    return;
  record->ejected = false;
  // Answers from before the ejection say nothing about the endpoint now.
  record->ratio = ratio;
  --ejected_;
}

void EndpointHealthTracker::OnProbeFailure(Record* record,
                                           MonotonicTime now) const {
  record->good_probes = 0;
  record->probe_interval =
      std::min(2 * record->probe_interval, options_.max_probe_interval);
  record->next_probe = now + record->probe_interval;
}

double EndpointHealthTracker::MedianRatio() {
  if (++answers_since_median_ * kMedianEvery < records_.size())
    return median_;
  answers_since_median_ = 0;
  scratch_.clear();
  for (const auto& [id, record] : records_) {
    if (record.samples > 0 && !record.ejected)
      scratch_.push_back(record.ratio);
  }
  if (scratch_.empty())
    return median_;
  const auto middle =
      scratch_.begin() + static_cast<std::ptrdiff_t>(scratch_.size() / 2);
  std::nth_element(scratch_.begin(), middle, scratch_.end());
  median_ = std::max(0.1, *middle);
  return median_;
}

}  // namespace carobshift
