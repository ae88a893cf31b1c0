#include "carobshift/gateway/placement.h"

#include <xxhash.h>

#include <array>
#include <limits>

namespace carobshift {
namespace {

std::uint64_t Rank(std::uint64_t endpoint, std::uint64_t session) {
  const std::array<std::uint64_t, 2> both = {endpoint, session};
  return XXH3_64bits(both.data(), sizeof both);
}

double LoadOf(const PlacementCandidate& candidate) {
  return candidate.load / candidate.speed;
}

double MeanLoad(const std::vector<PlacementCandidate>& candidates) {
  double sum = 0;
  int counted = 0;
  for (const PlacementCandidate& candidate : candidates) {
    if (candidate.avoided)
      continue;
    sum += LoadOf(candidate);
    ++counted;
  }
  return counted == 0 ? 0 : sum / counted;
}

}  // namespace

std::uint64_t PlacementHash(std::string_view text) {
  return XXH3_64bits(text.data(), text.size());
}

PlacementChoice Place(const std::vector<PlacementCandidate>& candidates,
                      std::uint64_t session,
                      const PlacementOptions& options) {
  const double bound =
      options.load_factor * MeanLoad(candidates) + options.load_slack;
  std::optional<std::size_t> home;
  std::optional<std::size_t> best;
  std::optional<std::size_t> least;
  std::uint64_t home_rank = 0;
  std::uint64_t best_rank = 0;
  double least_load = std::numeric_limits<double>::max();
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const PlacementCandidate& candidate = candidates[i];
    const std::uint64_t rank = Rank(candidate.hash, session);
    if (!home || rank > home_rank) {
      home = i;
      home_rank = rank;
    }
    // An avoided endpoint is better than none.
    const double load = LoadOf(candidate) + (candidate.avoided ? 1e6 : 0);
    if (load < least_load) {
      least = i;
      least_load = load;
    }
    const bool within = !candidate.avoided && load <= bound;
    if (within && (!best || rank > best_rank)) {
      best = i;
      best_rank = rank;
    }
  }
  const auto chosen = best ? best : least;
  return {chosen, chosen.has_value() && chosen == home};
}

}  // namespace carobshift
