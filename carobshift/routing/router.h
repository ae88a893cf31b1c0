// Which endpoint gets a request.
//
//   const RoutingStrategy& ours = RoutingStrategies().front();
//   RoutingChoice choice = ours.choose(input);
//   if (!choice.found()) ...             // kNoEndpoint
//
// The choice is the least expected time to the first token:
//   wait at the endpoint
//   + the least of: prefill beyond the blocks it holds; import over the link
//     as loaded now, and prefill of the rest; prefill of everything.
//
// Load patterns, and what happens without this module:
// - Returning prompts: by load alone a dossier is computed again on whichever
//   endpoint is idle; by prefix alone it waits behind a queue longer than the
//   prefill it saves. One sum in microseconds weighs both.
// - A hot prefix: affinity sends every request with it to one endpoint, while
//   the others idle. The queue counts in the sum, and an endpoint that is
//   `kLoadBound` fuller than the mean is no candidate while others are below.
// - Several entries with reports of equal age: all choose the endpoint that
//   was least loaded a moment ago and flood it. Besides the holders only
//   `kSampled` endpoints, drawn by the request's hash, are compared, and this
//   entry's work since the report counts on top.
// - A slow or stalled endpoint: see endpoint_health.h; its slowdown stretches
//   the expectation, and an ejected one gets one probe at a time.
//
// Figures: two random choices bring the longest queue from log n / log log n
// to log log n, more choices only a constant (Mitzenmacher); four leave three
// when one of them is ejected or excluded. `kLoadBound` 1.25 is the usual
// bound for consistent hashing with bounded loads: at most 25% over the mean.
//
// All functions are pure and thread-safe; O(endpoints) without allocation.

#ifndef CAROBSHIFT_ROUTING_ROUTER_H_
#define CAROBSHIFT_ROUTING_ROUTER_H_

#include <span>
#include <string_view>

#include "carobshift/routing/routing_input.h"

namespace carobshift {

inline constexpr std::size_t kSampled = 4;
inline constexpr std::size_t kMaxHolders = 4;
inline constexpr double kLoadBound = 1.25;
// One way between availability zones twice; breaks ties for the own zone.
inline constexpr Microseconds kZoneRoundTrip{3000};

using ChooseFunction = RoutingChoice (*)(const RoutingInput&);

struct RoutingStrategy {
  std::string_view name;
  ChooseFunction choose;
};

// The first row is the one that the entries use; the others are baselines for
// the load driver.
[[nodiscard]] std::span<const RoutingStrategy> RoutingStrategies();

// Null if there is no row of that name.
[[nodiscard]] const RoutingStrategy* FindRoutingStrategy(std::string_view name);

[[nodiscard]] RoutingChoice ChooseLeastExpectedTime(const RoutingInput& input);
// Takes the endpoints in turn.
[[nodiscard]] RoutingChoice ChooseRoundRobin(const RoutingInput& input);
// The fewest requests in progress over all endpoints.
[[nodiscard]] RoutingChoice ChooseLeastLoaded(const RoutingInput& input);
// Always the endpoint that the prefix hashes to.
[[nodiscard]] RoutingChoice ChoosePrefixAffinity(const RoutingInput& input);

// The expectation for one endpoint, with the best of reuse, import and
// recompute filled in.
[[nodiscard]] RoutingChoice EvaluateEndpoint(const RoutingInput& input,
                                             std::size_t endpoint,
                                             Tokens cached);

// Requests in progress at an endpoint by the report and own counts.
[[nodiscard]] int EstimatedInProgress(const EndpointLoad& load);

}  // namespace carobshift

#endif  // CAROBSHIFT_ROUTING_ROUTER_H_
