// Chooses the endpoint for a request: one with the lowest expected time to
// first token, and among those within a tolerance the one that rendezvous
// hashing assigns to the session.
//
//   const auto choice = ChoosePlacement(candidates, session, options);
//   if (choice.index) Send(candidates[*choice.index]);
//
// Load pattern: some hundred sessions return after seconds to minutes, each
// with thousands of shared tokens. Prefilling them again would take most of an
// engine's time: between the decode steps of 30 other requests it prefills
// about 70 tokens a millisecond, so that a long document that it doesn't hold
// occupies it for 1/5 of a second. With placement by least load, each return
// prefills its whole prompt again. With placement by session alone, engines
// that happen to get many sessions build up a queue of seconds while others
// have none.
//
// Each candidate has a cost in tokens to prefill before the first token of the
// answer: those of other requests that wait there, and those of the prompt that
// are neither cached there nor can be fetched. Memory beyond the engine's limit
// adds to the cost, as a request would have to wait until it is freed. Among
// candidates within `tolerance` of the cheapest, rendezvous hashing of the
// session decides, with the same result in each process without communication.
// A session that no engine holds thus gets one engine, and an endpoint that
// leaves moves only its own sessions.
//
// `tolerance` is about the number of tokens that an engine prefills in 20 ms.
// Callers don't notice a smaller difference; with a much larger tolerance
// sessions would queue at their engine.

#ifndef CAROBSHIFT_GATEWAY_PLACEMENT_PLACEMENT_H_
#define CAROBSHIFT_GATEWAY_PLACEMENT_PLACEMENT_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace carobshift {

struct PlacementOptions {
  double tolerance = 1500;
};

struct PlacementCandidate {
  // Hash of the endpoint's id.
  std::uint64_t hash = 0;
  // Expected cost until the first token, in tokens to prefill; lower is better.
  double cost = 0;
  // Usable as a last choice: the endpoint loads weights, failed recently, or
  // was tried already.
  bool avoided = false;
};

struct PlacementChoice {
  // nullopt if there is no candidate.
  std::optional<std::size_t> index;
  // Whether only avoided candidates were left.
  bool avoided = false;
};

// `session` is the hash of the prompt prefix that the request shares with
// others of its session; requests that share none pass a random one and so
// spread evenly.
[[nodiscard]] PlacementChoice ChoosePlacement(
    const std::vector<PlacementCandidate>& candidates,
    std::uint64_t session,
    const PlacementOptions& options);

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_PLACEMENT_PLACEMENT_H_
