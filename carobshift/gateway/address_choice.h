// Chooses the instances whose addresses are returned to a caller.
//
//   std::vector<NetAddress> answer = ChooseAddresses(serving, zone);

#ifndef CAROBSHIFT_GATEWAY_ADDRESS_CHOICE_H_
#define CAROBSHIFT_GATEWAY_ADDRESS_CHOICE_H_

#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/net_address.h"
#include "carobshift/membership/member.h"

namespace carobshift {

// With fewer instances in its own zone, a caller would have no address left as
// soon as one of them is gone.
inline constexpr std::size_t kMinAddressesInZone = 2;
// Callers use no more addresses than this.
inline constexpr std::size_t kMaxAddresses = 64;

// Returns the HTTP addresses of the instances in `serving` that are in the
// caller's availability zone `zone`: they are nearest and cost no traffic
// between zones. Returns those of all instances if the zone has fewer than
// kMinAddressesInZone. Returns at most kMaxAddresses.
[[nodiscard]] std::vector<NetAddress> ChooseAddresses(
    const std::vector<MemberInfo>& serving,
    const ZoneName& zone);

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_ADDRESS_CHOICE_H_
