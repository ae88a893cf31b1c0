// Ranks requests by urgency, from the priorities that the configuration gives
// to client accounts and routes.
//
//   UrgencyRanks ranks(config);
//   fields.urgency = ranks.Of(route, account);  // 0 is the most urgent
//
// An account's priority takes precedence over the route's; among requests of
// equal precedence the route's priority decides. With the account's priority
// alone, all requests of an account are equally urgent. When memory is short,
// engines then preempt and delay short questions like long summaries.
//
// An engine accepts kLevels levels. If a configuration has more, neighboring
// ranks share a level.
//
// Thread-compatible.

#ifndef CAROBSHIFT_GATEWAY_PLACEMENT_URGENCY_RANKS_H_
#define CAROBSHIFT_GATEWAY_PLACEMENT_URGENCY_RANKS_H_

#include <utility>
#include <vector>

#include "carobshift/gateway/serving_config.h"

namespace carobshift {

class UrgencyRanks {
 public:
  static constexpr int kLevels = 10;

  UrgencyRanks() = default;
  explicit UrgencyRanks(const ServingConfig& config);

  // Returns a level from 0 (most urgent) to kLevels - 1. `account` is null for
  // a request without one. A pair of priorities that the configuration lacks
  // gets the level of the next more urgent pair.
  [[nodiscard]] int Of(const Route& route, const Account* account) const;

 private:
  // The priority that takes precedence, and the route's.
  using Priorities = std::pair<int, int>;

  [[nodiscard]] static Priorities PrioritiesOf(const Route& route,
                                               const Account* account);

  // Distinct and in ascending order.
  std::vector<Priorities> ranked_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_PLACEMENT_URGENCY_RANKS_H_
