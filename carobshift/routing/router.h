// Chooses the endpoint for a request.
//
//   const RoutingStrategy& strategy = RoutingStrategies().front();
//   RoutingChoice choice = strategy.choose(input);
//   if (!choice.found()) ...             // kNoEndpoint
//
// The endpoint with the least expected time to the first token is chosen:
//   wait at the endpoint
//   + the least of: prefill beyond the blocks it holds; import over the link
//     as loaded now, and prefill of the rest; prefill of everything.
//
// Load patterns, and what happens without this module:
// - Returning prompts: routing by load alone recomputes a dossier on whichever
//   endpoint is idle; routing by prefix alone queues it behind more work than
//   the prefill it saves. A single sum in microseconds weighs both.
// - A hot prefix: affinity sends every request with it to one endpoint while
//   the others idle. The queue is part of the sum, and an endpoint whose load
//   is more than `kLoadBound` times the mean is no candidate while others are
//   below.
// - Several entries with reports of equal age: all choose the endpoint that was
//   least loaded a moment ago and overload it. Therefore only the holders of
//   the blocks and `kSampledEndpoints` endpoints, drawn by the request's hash,
//   are compared, and this entry's work since the report is added.
// - A slow or stalled endpoint: see endpoint_health.h. Its slowdown multiplies
//   the expected time, and an ejected endpoint gets one probe at a time.
//
// Figures: two random choices reduce the longest queue from log n / log log n
// to log log n, more choices only by a constant (Mitzenmacher). Four samples
// leave three when one of them is ejected or excluded. `kLoadBound` 1.25 is the
// usual bound for consistent hashing with bounded loads: at most 25% over the
// mean.
//
// All functions are pure and thread-safe; O(endpoints) without allocation.

#ifndef CAROBSHIFT_ROUTING_ROUTER_H_
#define CAROBSHIFT_ROUTING_ROUTER_H_

#include <span>
#include <string_view>

#include "carobshift/routing/routing_input.h"

namespace carobshift {

inline constexpr std::size_t kSampledEndpoints = 4;
inline constexpr std::size_t kMaxHolders = 4;
inline constexpr double kLoadBound = 1.25;
// Round trip between availability zones. Breaks ties in favour of the entry's
// own zone.
inline constexpr Microseconds kZoneRoundTrip{3000};

using ChooseFunction = RoutingChoice (*)(const RoutingInput&);

struct RoutingStrategy {
  std::string_view name;
  ChooseFunction choose;
};

// Entries use the first strategy; the others are baselines for the load driver.
[[nodiscard]] std::span<const RoutingStrategy> RoutingStrategies();

// Returns null if there is no strategy of that name.
[[nodiscard]] const RoutingStrategy* FindRoutingStrategy(std::string_view name);

[[nodiscard]] RoutingChoice ChooseLeastExpectedTime(const RoutingInput& input);
// Uses the endpoints in rotation.
[[nodiscard]] RoutingChoice ChooseRoundRobin(const RoutingInput& input);
// Chooses the endpoint with the fewest requests in progress.
[[nodiscard]] RoutingChoice ChooseLeastLoaded(const RoutingInput& input);
// Always chooses the endpoint that the prefix hashes to.
[[nodiscard]] RoutingChoice ChoosePrefixAffinity(const RoutingInput& input);

// Returns the expected times for one endpoint, with the cheapest of reuse,
// import and recompute.
[[nodiscard]] RoutingChoice EvaluateEndpoint(const RoutingInput& input,
                                             std::size_t endpoint,
                                             Tokens cached);

// Requests in progress at an endpoint, estimated from its report and this
// entry's own counts.
[[nodiscard]] int EstimatedInProgress(const EndpointLoad& load);

}  // namespace carobshift

#endif  // CAROBSHIFT_ROUTING_ROUTER_H_
