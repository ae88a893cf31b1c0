#include "carobshift/gateway/placement/placement.h"

#include <algorithm>

#include "carobshift/base/digest.h"

namespace carobshift {
namespace {

// Avoided candidates are ordered after all others, whatever their cost.
bool IsBetter(const PlacementCandidate& a, const PlacementCandidate& b) {
  if (a.avoided != b.avoided)
    return b.avoided;
  return a.cost < b.cost;
}

}  // namespace

PlacementChoice ChoosePlacement(
    const std::vector<PlacementCandidate>& candidates,
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
    const std::uint64_t rank = CombineHashes(candidate.hash, session);
    if (!choice.index || rank > best) {
      choice.index = i;
      best = rank;
    }
  }
  return choice;
}

}  // namespace carobshift
