#include "carobshift/gateway/placement/urgency_ranks.h"

#include <algorithm>

namespace carobshift {

UrgencyRanks::UrgencyRanks(const ServingConfig& config) {
  for (const Route& route : config.routes) {
    if (!route.prompts)
      continue;
    ranked_.push_back(PrioritiesOf(route, nullptr));
    for (const Account& account : config.accounts)
      ranked_.push_back(PrioritiesOf(route, &account));
  }
  std::sort(ranked_.begin(), ranked_.end());
  ranked_.erase(std::unique(ranked_.begin(), ranked_.end()), ranked_.end());
}

UrgencyRanks::Priorities UrgencyRanks::PrioritiesOf(const Route& route,
                                                    const Account* account) {
  const bool account_decides =
      account != nullptr && account->priority.has_value();
  return {account_decides ? *account->priority : route.priority,
          route.priority};
}

int UrgencyRanks::Of(const Route& route, const Account* account) const {
  if (ranked_.empty())
    return 0;
  const auto after = std::upper_bound(ranked_.begin(), ranked_.end(),
                                      PrioritiesOf(route, account));
  const auto rank = static_cast<int>(
      std::max<std::ptrdiff_t>(0, after - ranked_.begin() - 1));
  const auto ranks = static_cast<int>(ranked_.size());
  return ranks <= kLevels ? rank : rank * kLevels / ranks;
}

}  // namespace carobshift
