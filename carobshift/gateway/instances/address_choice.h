// Chooses the instances whose addresses are returned to a caller.
//
//   std::vector<NetAddress> answer =
//       ChooseAddresses(serving, question, allowed_regions, regions);

#ifndef CAROBSHIFT_GATEWAY_INSTANCES_ADDRESS_CHOICE_H_
#define CAROBSHIFT_GATEWAY_INSTANCES_ADDRESS_CHOICE_H_

#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/net_address.h"
#include "carobshift/gateway/dialect.h"
#include "carobshift/gateway/endpoints/zone_regions.h"
#include "carobshift/gateway/serving_config.h"
#include "carobshift/membership/member.h"

namespace carobshift {

// With fewer instances in its own zone, a caller would have no address left as
// soon as one of them is gone.
inline constexpr std::size_t kMinAddressesInZone = 2;
// Callers use no more addresses than this.
inline constexpr std::size_t kMaxAddresses = 64;

// Returns the regions that every route of `host` allows which is bound to
// regions; empty if none is bound.
[[nodiscard]] std::vector<RegionName> RegionsOfHost(const ServingConfig& config,
                                                    const std::string& host);

// Returns the HTTP addresses of the instances in `serving` that are in the
// caller's availability zone: they are nearest and cost no traffic between
// zones. If the zone has fewer than kMinAddressesInZone, returns those of the
// caller's region; if the region has none, those of the `allowed` regions. An
// empty list allows all regions; a caller whose region is unknown counts as
// being in every region. Returns at most kMaxAddresses.
[[nodiscard]] std::vector<NetAddress> ChooseAddresses(
    const std::vector<MemberInfo>& serving,
    const AddressQuestion& question,
    const std::vector<RegionName>& allowed,
    const ZoneRegions& regions);

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_INSTANCES_ADDRESS_CHOICE_H_
