#include "carobshift/gateway/placement.h"

#include <xxhash.h>

#include <algorithm>
#include <array>

namespace carobshift {
namespace {

std::uint64_t Rank(std::uint64_t endpoint, std::uint64_t session) {
  const std::array<std::uint64_t, 2> both = {endpoint, session};
  return XXH3_64bits(both.data(), sizeof both);
}

// An avoided candidate comes after all others, whatever it costs.
bool IsBetter(const PlacementCandidate& a, const PlacementCandidate& b) {
  if (a.avoided != b.avoided)
    return b.avoided;
  return a.cost < b.cost;
}

}  // namespace

std::uint64_t PlacementHash(std::string_view text) {
  return XXH3_64bits(text.data(), text.size());
}

PlacementChoice Place(const std::vector<PlacementCandidate>& candidates,
                      std::uint64_t session,
                      const PlacementOptions& options) {
  const auto cheapest =
      std::min_element(candidates.begin(), candidates.end(), IsBetter);
  if (cheapest == candidates.end())
    return {};
  PlacementChoice choice;
  choice.avoided = cheapest->avoided;
  std::uint64_t best = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const PlacementCandidate& candidate = candidates[i];
    if (candidate.avoided != cheapest->avoided ||
        candidate.cost > cheapest->cost + options.tolerance)
      continue;
    const std::uint64_t rank = Rank(candidate.hash, session);
    if (!choice.index || rank > best) {
      choice.index = i;
      best = rank;
    }
  }
  return choice;
}

}  // namespace carobshift
