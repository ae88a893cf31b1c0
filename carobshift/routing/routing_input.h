// Input and result of a routing decision, as plain values.
//
//   RoutingInput input{.request = request, .endpoints = loads};
//   RoutingChoice choice = ChooseLeastExpectedTime(input);
//
// Endpoints are identified by their index in `endpoints`, so that a decision
// over 360 of them compares no strings.

#ifndef CAROBSHIFT_ROUTING_ROUTING_INPUT_H_
#define CAROBSHIFT_ROUTING_ROUTING_INPUT_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"

namespace carobshift {

// Whether an endpoint may receive ordinary work; see endpoint_health.h.
enum class EndpointHealth {
  kHealthy,
  // Slow or stalled: receives only probes.
  kEjected,
  // Ejected, and the next probe request is due.
  kProbeDue
};

struct EndpointLoad {
  EndpointId id;
  ZoneName zone;
  // From the last load report.
  int reported_running = 0;
  int reported_queued = 0;
  Tokens reported_queued_prefill = 0;
  // This entry's requests in progress, and the uncached prefill tokens of those
  // that have no first token yet.
  int own_in_progress = 0;
  Tokens own_pending_prefill = 0;
  // The same at the time of the report. The reported values minus these are the
  // work of the other entries.
  int own_at_report = 0;
  Tokens own_prefill_at_report = 0;
  // Number of requests that the endpoint takes without additional queueing
  // (EntryShare).
  double limit = 16;
  // Measured prefill tokens a second, and how many times slower than its peers
  // the endpoint currently answers (1 = as fast).
  double prefill_rate = 8000;
  double slowdown = 1;
  EndpointHealth health = EndpointHealth::kHealthy;
  // Usual time until one of its running requests ends and frees a slot.
  Microseconds slot_time{100000};
};

// Number of prompt tokens whose blocks an endpoint holds, according to the
// directory.
struct CacheHit {
  std::size_t endpoint = 0;
  Tokens cached = 0;
};

// A sealed export that any endpoint of the service can import.
struct ImportOption {
  Tokens tokens = 0;
  Bytes bytes = 0;
  // Transfer time over the link at its present load, including the wait for
  // bandwidth budget.
  Microseconds link_time{0};
};

struct RoutingRequest {
  Tokens prompt_tokens = 0;
  // Hash of the request id; seeds the sampling of candidates.
  std::uint64_t request_hash = 0;
  // Hash of the prompt's first blocks; for the affinity baseline.
  std::uint64_t prefix_hash = 0;
  // The zone of this entry.
  ZoneName zone;
  // Indices of endpoints on which an earlier attempt has failed.
  std::vector<std::size_t> excluded;
};

struct RoutingInput {
  RoutingRequest request;
  std::span<const EndpointLoad> endpoints;
  std::span<const CacheHit> hits;
  std::span<const ImportOption> imports;
  // Incremented for each decision; for round robin.
  std::uint64_t turn = 0;
};

enum class RouteReason {
  kNone,  // No endpoint can take the request.
  kLeastExpectedTime,
  kProbe,
  kRoundRobin,
  kLeastLoaded,
  kPrefixAffinity,
};

struct RoutingChoice {
  RouteReason reason = RouteReason::kNone;
  std::size_t endpoint = 0;
  // Tokens reused from the endpoint's cache or the import; the rest is
  // computed.
  Tokens cached = 0;
  // Index into `imports`, if an import is the cheapest option.
  std::optional<std::size_t> import;
  Tokens prefill = 0;
  // Components of the expected time, for `explain` and for endpoint health.
  Microseconds expected_wait{0};
  Microseconds expected_first_token{0};
  // Expected time without the wait, on an idle endpoint of usual speed.
  Microseconds unloaded_first_token{0};

  [[nodiscard]] bool found() const { return reason != RouteReason::kNone; }
};

}  // namespace carobshift

#endif  // CAROBSHIFT_ROUTING_ROUTING_INPUT_H_
