// Converts the fleet's state into gossip facts for the other instances.
//
//   for (const Fact& fact : LeavingFacts(view.LeavingEndpoints()))
//     publish(fact);
//   DrainFacts drains;
//   for (const Fact& fact : drains.Update(plan.drains, active, number)) ...
//
// A fact expires some seconds after the last instance that observes its cause
// has stopped publishing it. The death of the lease holder therefore cannot
// exclude an endpoint permanently.

#ifndef CAROBSHIFT_FLEET_FLEET_FACTS_H_
#define CAROBSHIFT_FLEET_FLEET_FACTS_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"
#include "carobshift/fleet/fleet_planner.h"
#include "carobshift/membership/member.h"

namespace carobshift {

// Lifetime of a fact. A fact is republished each round while its cause is
// observed, and the fact table forwards it after each FactTable::kMinExtension.
// The lifetime is three times that interval, because one refresh may be dropped
// as a duplicate when it arrives over a faster path than the first one. With
// twice the interval, an instance without the list lost a fact briefly and sent
// work to a leaving endpoint.
inline constexpr Milliseconds kFleetFactLife{15'000};
// A withdrawal outlives the drain that it withdraws.
inline constexpr Milliseconds kWithdrawalLife{30'000};

[[nodiscard]] std::vector<Fact> LeavingFacts(
    const std::vector<EndpointId>& leaving);

// Publishes the lease holder's drains as facts with increasing versions.
// Thread-compatible. State is bounded by the number of concurrent drains.
class DrainFacts {
 public:
  // Returns the facts for the `wanted` drains and withdrawals of the others.
  // `active` holds the endpoints that current facts report as draining.
  [[nodiscard]] std::vector<Fact> Update(const std::vector<FleetDrain>& wanted,
                                         const std::set<std::string>& active,
                                         FencingNumber number);

 private:
  std::map<EndpointId, FactVersion> versions_;
  std::uint64_t counter_ = 0;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_FLEET_FLEET_FACTS_H_
