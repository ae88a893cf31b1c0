// What a routing decision is made from, as plain values.
//
//   RoutingInput input{.request = request, .endpoints = loads};
//   RoutingChoice choice = ChooseRoute(input);
//
// Positions in `endpoints` stand for endpoints, so that a decision over 360 of
// them compares no strings.

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

// Whether an endpoint may get ordinary work; see endpoint_health.h.
enum class EndpointHealth {
  kHealthy,
  // Slow or stalled: gets nothing but probes.
  kEjected,
  // Ejected, and the time for one probing request has come.
  kProbeDue
};

struct EndpointLoad {
  EndpointId id;
  ZoneName zone;
  // From the last load report.
  int reported_running = 0;
  int reported_queued = 0;
  Tokens reported_queued_prefill = 0;
  // This entry's requests in progress, and the uncached prefill tokens of
  // those without a first token yet.
  int own_in_progress = 0;
  Tokens own_pending_prefill = 0;
  // The same at the time of the report: reported minus these is the work of
  // the other entries.
  int own_at_report = 0;
  Tokens own_prefill_at_report = 0;
  // Requests that the endpoint takes without more waiting (EntryShare).
  double limit = 16;
  // Prefill tokens a second by measurement, and how much slower than its
  // peers it answers now (1 = like them).
  double prefill_rate = 8000;
  double slowdown = 1;
  EndpointHealth health = EndpointHealth::kHealthy;
  // Usual time until one of its running requests ends.
  Microseconds place_time{100000};
};

// Blocks of the prompt that an endpoint holds by the directory.
struct CacheHit {
  std::size_t endpoint = 0;
  Tokens cached = 0;
};

// A sealed export that any endpoint of the service can import.
struct ImportOption {
  Tokens tokens = 0;
  Bytes bytes = 0;
  // Over the link as it is loaded now; includes waiting for budget.
  Microseconds link_time{0};
};

struct RoutingRequest {
  Tokens prompt_tokens = 0;
  // Seeds the choice of candidates; of the request id.
  std::uint64_t request_hash = 0;
  // Of the prompt's first blocks; for the affinity baseline.
  std::uint64_t prefix_hash = 0;
  // The entry's.
  ZoneName zone;
  // Positions that an earlier attempt has failed at.
  std::vector<std::size_t> excluded;
};

struct RoutingInput {
  RoutingRequest request;
  std::span<const EndpointLoad> endpoints;
  std::span<const CacheHit> hits;
  std::span<const ImportOption> imports;
  // A number that counts up with each decision; for round robin.
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
  // Tokens reused on the endpoint, or by the import; the rest is computed.
  Tokens cached = 0;
  // Position in `imports`, if the import is worth it.
  std::optional<std::size_t> import;
  Tokens prefill = 0;
  // Parts of the expectation, for `explain` and for judging the endpoint.
  Microseconds expected_wait{0};
  Microseconds expected_first_token{0};
  // Without the wait: what an idle endpoint of usual speed would take.
  Microseconds unloaded_first_token{0};

  [[nodiscard]] bool found() const { return reason != RouteReason::kNone; }
};

}  // namespace carobshift

#endif  // CAROBSHIFT_ROUTING_ROUTING_INPUT_H_
