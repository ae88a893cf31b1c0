// Which instances a caller is told to use.
//
//   std::vector<NetAddress> answer = ChooseAddresses(serving, zone);

#ifndef CAROBSHIFT_GATEWAY_ADDRESS_CHOICE_H_
#define CAROBSHIFT_GATEWAY_ADDRESS_CHOICE_H_

#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/net_address.h"
#include "carobshift/membership/member.h"

namespace carobshift {

// Fewer in the caller's own zone would leave it without an address as soon as
// one of them is gone.
inline constexpr std::size_t kLeastInZone = 2;
// Callers use no more of them.
inline constexpr std::size_t kMostAddresses = 64;

// Those of the caller's availability zone, which are nearest and cost no
// traffic between zones; all of them if the zone has too few.
[[nodiscard]] std::vector<NetAddress> ChooseAddresses(
    const std::vector<MemberInfo>& serving,
    const ZoneName& zone);

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_ADDRESS_CHOICE_H_
