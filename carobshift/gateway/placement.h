// Which endpoint gets a request, so that a session comes back to the endpoint
// that still holds its cached parts, and no endpoint gets far more than others.
//
//   const PlacementChoice choice = Place(candidates, key, options);
//   if (choice.index) Send(candidates[*choice.index]);
//
// Load pattern: some hundred sessions return after seconds to minutes, each
// with thousands of shared tokens; a few sessions are asked for far more often
// than others, and now and then a quarter of the endpoints is gone. Sent to the
// least loaded endpoint, each return reads its whole prompt again. Sent by the
// session alone, a popular session overloads its endpoint and waits there.
//
// How: rendezvous hashing orders the endpoints anew for each session, the same
// way in each process without any talk. The first one whose load is within the
// bound gets the request. An endpoint that leaves moves only its own sessions.
//
// Figures: `load_factor` bounds an endpoint at half more than the mean; at 1.5
// a session keeps its endpoint except under bursts. `load_slack` is the number
// of requests below which load doesn't matter: one process sees only its own
// part of the load, a few requests an endpoint, and a bound on such small
// numbers would move sessions by chance.

#ifndef CAROBSHIFT_GATEWAY_PLACEMENT_H_
#define CAROBSHIFT_GATEWAY_PLACEMENT_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "carobshift/base/ids.h"

namespace carobshift {

struct PlacementOptions {
  double load_factor = 1.5;
  double load_slack = 2;
};

struct PlacementCandidate {
  // Hash of the endpoint's id.
  std::uint64_t hash = 0;
  // Requests in progress there, as far as this process knows.
  double load = 0;
  // Relative to the other candidates; a slow endpoint counts as more loaded.
  double speed = 1;
  // Usable, but better not: it loads weights, failed lately, was tried already.
  bool avoided = false;
};

struct PlacementChoice {
  // Nothing if there is no candidate.
  std::optional<std::size_t> index;
  // Whether it is the session's first endpoint in the hash order.
  bool home = false;
};

[[nodiscard]] std::uint64_t PlacementHash(std::string_view text);

// `session` is the hash of what the request shares with its like; requests that
// share nothing take a random one and so spread evenly.
[[nodiscard]] PlacementChoice Place(
    const std::vector<PlacementCandidate>& candidates,
    std::uint64_t session,
    const PlacementOptions& options);

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_PLACEMENT_H_
