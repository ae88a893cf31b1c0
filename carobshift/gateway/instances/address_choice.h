// Chooses the instances whose addresses are returned to a caller.
//
//   std::vector<NetAddress> answer =
//       ChooseAddresses(serving, question, allowed_regions, regions, filter);
//
// Load pattern: some instances, or all of a zone, reach no endpoint. Each
// request that arrives there is handed over to another instance, which costs
// time and traffic between zones, so callers are told other instances. If all
// of a region are concerned, the endpoints may be the cause, and callers are
// told the same addresses as without it.

#ifndef CAROBSHIFT_GATEWAY_INSTANCES_ADDRESS_CHOICE_H_
#define CAROBSHIFT_GATEWAY_INSTANCES_ADDRESS_CHOICE_H_

#include <functional>
#include <set>
#include <string>
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

// Returns the services to which the routes of `host` send requests.
[[nodiscard]] std::set<ServiceName> ServicesOfHost(const ServingConfig& config,
                                                   const std::string& host);

// Returns whether a caller may be told an instance's address although others
// could be told instead.
using AddressFilter = std::function<bool(const MemberInfo&)>;

// Returns the HTTP addresses of the instances in `serving` that are in the
// caller's availability zone: they are nearest and cost no traffic between
// zones. If the zone has fewer than kMinAddressesInZone, returns those of the
// caller's region; if the region has none, those of the `allowed` regions. An
// empty list allows all regions; a caller whose region is unknown counts as
// being in every region. Instances that `may_be_told` rejects are left out
// unless the caller's region, or all allowed ones, would have none. Returns at
// most kMaxAddresses.
[[nodiscard]] std::vector<NetAddress> ChooseAddresses(
    const std::vector<MemberInfo>& serving,
    const AddressQuestion& question,
    const std::vector<RegionName>& allowed,
    const ZoneRegions& regions,
    const AddressFilter& may_be_told);

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_INSTANCES_ADDRESS_CHOICE_H_
