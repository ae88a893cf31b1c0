// Which instances a datagram for everybody is sent to, and who of them passes
// it on.
//
//   for (const DatagramRoute& route : RoutesFor(self, live, turn)) Send(route);
//   for (const MemberInfo& member : ZoneOf(self, live)) PassOn(member);
//
// Load pattern: ninety instances in four availability zones, each of which
// tells the others several times a second what its engines hold. Sent to
// everybody one by one, three of four copies cross zones, and bytes between
// zones are what such a deployment pays most for. So beyond kMostDirect
// instances one copy goes to each other zone, where an instance passes it on to
// its neighbours.
//
// The instance that passes on is another one each time: if one is dead or slow,
// each piece of news is lost for its zone once in two dozen times, and news are
// told twice.

#ifndef CAROBSHIFT_GATEWAY_DATAGRAM_ROUTES_H_
#define CAROBSHIFT_GATEWAY_DATAGRAM_ROUTES_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "carobshift/membership/member.h"

namespace carobshift {

// Up to as many instances send to each other directly.
inline constexpr std::size_t kMostDirect = 12;

struct DatagramRoute {
  NetAddress to;
  // The receiver sends it to the others of its zone.
  bool passes_on = false;
};

// `turn` rises with each datagram of the sender.
[[nodiscard]] std::vector<DatagramRoute> RoutesFor(
    const MemberInfo& self,
    const std::vector<MemberInfo>& live,
    std::uint64_t turn);

// The others of the own zone.
[[nodiscard]] std::vector<MemberInfo> ZoneOf(
    const MemberInfo& self,
    const std::vector<MemberInfo>& live);

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_DATAGRAM_ROUTES_H_
