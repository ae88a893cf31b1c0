// Which endpoint gets a request, so that a session comes back to the endpoint
// that still holds its cached parts, and no endpoint gets more than it has room
// for.
//
//   const PlacementChoice choice = Place(candidates, key);
//   if (choice.index) Send(candidates[*choice.index]);
//
// Load pattern: some hundred sessions return after seconds to minutes, each
// with thousands of shared tokens; the tokens of running prompts fill most of
// the engines' memory, and now and then a quarter of the engines is gone. Sent
// to the least loaded endpoint, each return reads its whole prompt again. Sent
// by the session alone, an engine whose sessions happen to come together is
// full: the newest of them wait for seconds, or are pushed out and read again.
//
// How: rendezvous hashing orders the endpoints anew for each session, the same
// way in each process without any talk. The first one that has room gets the
// request; if none has, the one that is least over its room. An endpoint that
// leaves moves only its own sessions.

#ifndef CAROBSHIFT_GATEWAY_PLACEMENT_H_
#define CAROBSHIFT_GATEWAY_PLACEMENT_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace carobshift {

struct PlacementCandidate {
  // Hash of the endpoint's id.
  std::uint64_t hash = 0;
  // What it has, what the request would add, and what it has room for; in the
  // same unit, tokens for engines and requests for others.
  double load = 0;
  double added = 1;
  double room = 1;
  // Usable, but better not: it loads weights, failed lately, was tried already.
  bool avoided = false;
};

struct PlacementChoice {
  // Nothing if there is no candidate.
  std::optional<std::size_t> index;
  // Whether it is the session's first endpoint in the hash order.
  bool home = false;
  // Whether it has room for the request.
  bool fits = false;
};

[[nodiscard]] std::uint64_t PlacementHash(std::string_view text);

// `session` is the hash of what the request shares with its like; requests that
// share nothing take a random one and so spread evenly.
[[nodiscard]] PlacementChoice Place(
    const std::vector<PlacementCandidate>& candidates,
    std::uint64_t session);

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_PLACEMENT_H_
