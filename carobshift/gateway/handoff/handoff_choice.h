// Chooses the instance to which a request is handed over when this instance
// reaches no endpoint of the request's service.
//
//   const auto candidates = HandoffCandidates(members, query, regions, view,
//                                             now);
//   if (const auto peer = ChooseHandoffPeer(candidates, zone, hash)) ...
//
// Load pattern: three of four instances of a zone reach no endpoint, and all
// callers of the zone keep sending to them. If the three chose the nearest or
// the first peer, the one that is left would have to serve the whole zone and
// would refuse most of it while the instances of other zones are idle. Each
// request therefore draws two candidates of all zones at random and takes the
// one with fewer requests that this instance has handed over and that aren't
// answered yet, which measures what is free there; a nearer one is preferred
// only if both have the same number.
//
// Pure, and therefore thread-safe.

#ifndef CAROBSHIFT_GATEWAY_HANDOFF_HANDOFF_CHOICE_H_
#define CAROBSHIFT_GATEWAY_HANDOFF_HANDOFF_CHOICE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"
#include "carobshift/gateway/endpoints/zone_regions.h"
#include "carobshift/gateway/handoff/reachability_view.h"
#include "carobshift/membership/member.h"

namespace carobshift {

// What a request demands of the peer that it is handed over to.
struct HandoffQuery {
  EntryId self;
  ServiceName service;
  // Empty if all regions are allowed.
  std::vector<RegionName> allowed_regions{};
};

struct HandoffCandidate {
  MemberInfo member{};
  // Requests handed over to this peer and not answered yet.
  int outstanding = 0;
  // The peer failed or refused this request, or was unreachable a moment ago.
  bool avoided = false;
};

// Returns the peers among `members`, the live instances that have a
// configuration and don't leave, that reach the service and are in an allowed
// region.
[[nodiscard]] std::vector<HandoffCandidate> HandoffCandidates(
    const std::vector<MemberInfo>& members,
    const HandoffQuery& query,
    const ZoneRegions& regions,
    const ReachabilityView& reachability,
    MonotonicTime now);

// Returns a candidate, an avoided one only if all are. `hash` differs between
// requests and between the attempts of a request.
[[nodiscard]] std::optional<MemberInfo> ChooseHandoffPeer(
    const std::vector<HandoffCandidate>& candidates,
    const ZoneName& own_zone,
    std::uint64_t hash);

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_HANDOFF_HANDOFF_CHOICE_H_
