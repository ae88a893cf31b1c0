// What the fleet's state has to say to the other entries, as gossip facts.
//
//   for (const Fact& fact : LeavingFacts(view.SeenLeaving())) publish(fact);
//   DrainFacts drains;
//   for (const Fact& fact : drains.Update(plan.drains, active, number)) ...
//
// Facts expire by themselves some seconds after the last entry that sees the
// cause has gone silent, so that the death of the lease holder can't bar an
// endpoint for ever.

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

// Published again at each round while the cause is seen; the fact table
// passes it on after each FactTable::kMinExtension. Three times that, as one
// refresh may be taken for an echo when its way was faster than the first
// one's: with twice, an entry without the list lost a fact for a moment and
// sent work to a leaving endpoint.
inline constexpr Milliseconds kFleetFactLife{15'000};
// A withdrawal lives longer than the drain that it withdraws.
inline constexpr Milliseconds kWithdrawalLife{30'000};

[[nodiscard]] std::vector<Fact> LeavingFacts(
    const std::vector<EndpointId>& leaving);

// The drains that the lease holder wants, as facts of rising versions.
// Thread-compatible; bounded by the number of drains wanted at a time.
class DrainFacts {
 public:
  // `active` are the endpoints that facts now hold to be draining; those not
  // wanted are withdrawn.
  [[nodiscard]] std::vector<Fact> Update(const std::vector<FleetDrain>& wanted,
                                         const std::set<std::string>& active,
                                         FencingNumber number);

 private:
  std::map<EndpointId, FactVersion> versions_;
  std::uint64_t counter_ = 0;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_FLEET_FLEET_FACTS_H_
