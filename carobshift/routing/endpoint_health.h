// Detects slow and stalled endpoints by comparing their answers with those of
// their peers.
//
//   EndpointHealthTracker tracker(options);
//   tracker.OnFirstToken(endpoint, observed, expected, kind, now);
//   tracker.OnStall(endpoint, kind, now);
//   EndpointHealth health = tracker.HealthOf(endpoint, now);
//   if (choice.reason == RouteReason::kProbe)
//     tracker.OnProbeSent(endpoint, now);
//
// Load pattern: one endpoint answers ten times slower than the others, or
// accepts requests and never answers. Its load reports look good, because it
// finishes little and therefore gets little work. Without detection a fixed
// share of callers (one in twelve) waits ten times as long, and least-loaded
// routing can send even more requests to it.
//
// Method: each answer gives the ratio of observed to expected time, which
// eliminates the prompt's size and the queue. An endpoint is ejected if this
// ratio exceeds `eject_ratio` times the median of all endpoints for
// `min_slow_samples` answers in a row. When all are slow, the median rises with
// them and none is ejected. A request without progress for the service's
// progress timeout ejects its endpoint at once. At most half of the endpoints
// are ejected at a time. An ejected endpoint gets one probe request per
// `probe_interval`, doubled for each probe that fails, and returns after
// `probes_to_return` successful probes in a row.
//
// Figures: in the load driver, first-token times under load vary within a
// factor of two, so a ratio of three separates slow endpoints. Three answers
// take less than a second at 5 requests a second per endpoint. One probe a
// second costs one caller a second at most.
//
// Thread-compatible. State: one record per endpoint until Retain removes it.

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
  int min_slow_samples = 3;
  double sample_weight = 0.3;
  Milliseconds probe_interval{1000};
  Milliseconds max_probe_interval{16000};
  int probes_to_return = 2;
  // Share of the known endpoints.
  double max_ejected_share = 0.5;
  // False only for the baselines of the load driver.
  bool enabled = true;
};

// Whether a sample comes from a probe. Requests that were sent before the
// ejection say nothing about the endpoint's recovery, so only probes count for
// it.
enum class SampleKind { kOrdinary, kProbe };

class EndpointHealthTracker {
 public:
  explicit EndpointHealthTracker(const EndpointHealthOptions& options);

  // Removes the records of all other endpoints.
  void Retain(const std::vector<EndpointId>& endpoints);

  // `expected` is the RoutingChoice's expected time at slowdown 1.
  void OnFirstToken(const EndpointId& endpoint,
                    Microseconds observed,
                    Microseconds expected,
                    SampleKind kind,
                    MonotonicTime now);

  // An attempt failed or made no progress within its timeout.
  void OnStall(const EndpointId& endpoint, SampleKind kind, MonotonicTime now);

  // A probe request was sent to the endpoint. The next one is due after the
  // probe interval.
  void OnProbeSent(const EndpointId& endpoint, MonotonicTime now);

  [[nodiscard]] EndpointHealth HealthOf(const EndpointId& endpoint,
                                        MonotonicTime now) const;

  // How many times slower than the median of its peers the endpoint is, at
  // least 1.
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
  // Cached between updates, because the median changes slowly.
  double median_ = 1;
  int answers_since_median_ = 0;
  std::vector<double> scratch_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_ROUTING_ENDPOINT_HEALTH_H_
