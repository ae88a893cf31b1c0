// Which endpoints are slow or stalled, judged by their own answers against
// their peers'.
//
//   EndpointHealthTracker tracker(options);
//   tracker.OnFirstToken(endpoint, observed, expected, kind, now);
//   tracker.OnStall(endpoint, kind, now);
//   EndpointHealth health = tracker.HealthOf(endpoint, now);
//   if (choice.reason == RouteReason::kProbe)
//     tracker.OnProbeSent(endpoint, now);
//
// Load pattern: one endpoint answers ten times slower than the others, or
// accepts requests and never answers, while its load reports look good, as it
// finishes little and so gets little. Without this a fixed share of callers
// (one in twelve) waits ten times as long, and least-loaded routing can send
// even more to it.
//
// How: each answer gives the ratio of observed to expected time, which takes
// the prompt's size and the queue out. An endpoint whose mean ratio is over
// `eject_ratio` times the median of all, on `least_samples` answers in a row of
// such, is ejected; when all are slow the median moves with them and none is.
// A request without progress for the service's progress timeout ejects at
// once. At most half of the endpoints are ejected at a time. An ejected one
// gets one probing request per `probe_interval`, doubled for each that fails,
// and comes back after `probes_to_return` good ones in a row.
//
// Figures: noise of first tokens under load is within a factor of two in the
// load driver, so three separates; three answers take less than a second at 5
// requests a second an endpoint. One probe a second costs one caller a second
// at most.
//
// Thread-compatible. State: one record per endpoint until Retain drops it.

#ifndef CAROBSHIFT_ROUTING_ENDPOINT_HEALTH_H_
#define CAROBSHIFT_ROUTING_ENDPOINT_HEALTH_H_

#include <unordered_map>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"
#include "carobshift/routing/routing_input.h"

namespace carobshift {

struct EndpointHealthOptions {
  double eject_ratio = 3;
  double return_ratio = 2;
  int least_samples = 3;
  double sample_weight = 0.3;
  Milliseconds probe_interval{1000};
  Milliseconds max_probe_interval{16000};
  int probes_to_return = 2;
  // Of the endpoints known.
  double max_ejected_share = 0.5;
  // False only for the baselines of the load driver.
  bool enabled = true;
};

// Answers to requests that were sent before the ejection say nothing about the
// endpoint's recovery, so only probes count for it.
enum class SampleKind { kOrdinary, kProbe };

class EndpointHealthTracker {
 public:
  explicit EndpointHealthTracker(const EndpointHealthOptions& options);

  // Drops the records of all others.
  void Retain(const std::vector<EndpointId>& endpoints);

  // `expected` is the RoutingChoice's expected time at slowdown 1.
  void OnFirstToken(const EndpointId& endpoint,
                    Microseconds observed,
                    Microseconds expected,
                    SampleKind kind,
                    MonotonicTime now);

  // An attempt there failed or made no progress within its timeout.
  void OnStall(const EndpointId& endpoint, SampleKind kind, MonotonicTime now);

  // A request was sent there as a probe; no other is due until the interval
  // has passed.
  void OnProbeSent(const EndpointId& endpoint, MonotonicTime now);

  [[nodiscard]] EndpointHealth HealthOf(const EndpointId& endpoint,
                                        MonotonicTime now) const;

  // How much slower than the median of its peers, at least 1.
  [[nodiscard]] double SlowdownOf(const EndpointId& endpoint) const;

 private:
  struct Record {
    double ratio = 1;
    int samples = 0;
    int slow_in_a_row = 0;
    bool ejected = false;
    int good_probes = 0;
    Milliseconds probe_interval{0};
    MonotonicTime next_probe{};
  };

  void Eject(Record* record, MonotonicTime now);
  void OnProbeAnswer(Record* record, double ratio, MonotonicTime now);
  void OnProbeFailure(Record* record, MonotonicTime now) const;
  [[nodiscard]] double MedianRatio();

  EndpointHealthOptions options_;
  std::unordered_map<EndpointId, Record> records_;
  std::size_t ejected_ = 0;
  // Kept for the answers in between, as it moves slowly.
  double median_ = 1;
  int answers_since_median_ = 0;
  std::vector<double> scratch_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_ROUTING_ENDPOINT_HEALTH_H_
