#include "carobshift/gateway/placement.h"

#include <xxhash.h>

#include <array>
#include <limits>

namespace carobshift {
namespace {

// Added to the fill of an avoided endpoint: it comes after all others, however
// full they are.
constexpr double kAvoidedFill = 1e6;

std::uint64_t Rank(std::uint64_t endpoint, std::uint64_t session) {
  const std::array<std::uint64_t, 2> both = {endpoint, session};
  return XXH3_64bits(both.data(), sizeof both);
}

double FillOf(const PlacementCandidate& candidate) {
  return (candidate.load + candidate.added) / candidate.room +
         (candidate.avoided ? kAvoidedFill : 0);
}

}  // namespace

std::uint64_t PlacementHash(std::string_view text) {
  return XXH3_64bits(text.data(), text.size());
}

PlacementChoice Place(const std::vector<PlacementCandidate>& candidates,
                      std::uint64_t session) {
  std::optional<std::size_t> home;
  std::optional<std::size_t> best;
  std::optional<std::size_t> least;
  std::uint64_t home_rank = 0;
  std::uint64_t best_rank = 0;
  double least_fill = std::numeric_limits<double>::max();
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const std::uint64_t rank = Rank(candidates[i].hash, session);
    const double fill = FillOf(candidates[i]);
    if (!home || rank > home_rank) {
      home = i;
      home_rank = rank;
    }
    if (fill < least_fill) {
      least = i;
      least_fill = fill;
    }
    if (fill <= 1 && (!best || rank > best_rank)) {
      best = i;
      best_rank = rank;
    }
  }
  const auto chosen = best ? best : least;
  return {chosen, chosen.has_value() && chosen == home, best.has_value()};
}

}  // namespace carobshift
