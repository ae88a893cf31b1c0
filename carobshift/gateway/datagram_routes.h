// Selects the instances to which a broadcast datagram is sent, and the
// instances that relay it within their availability zone.
//
//   for (const DatagramRoute& route : RoutesFor(self, live, n)) Send(route);
//   for (const MemberInfo& member : OthersInZone(self, live)) Relay(member);
//
// Up to kMaxDirectInstances instances send to each other directly. In a larger
// deployment the sender sends one copy to each other zone, where one instance
// relays it to the rest of that zone. With ninety instances in four
// availability zones, each of which broadcasts changes of its engines' state
// several times a second, three of four direct copies would cross zones, and
// traffic between zones is the largest network cost of such a deployment.
//
// The relaying instance changes with each datagram. If one relay is dead or
// slow, its zone misses about one datagram in two dozen; updates are sent twice
// to cover this.

#ifndef CAROBSHIFT_GATEWAY_DATAGRAM_ROUTES_H_
#define CAROBSHIFT_GATEWAY_DATAGRAM_ROUTES_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "carobshift/membership/member.h"

namespace carobshift {

// Up to this number, instances send to each other directly.
inline constexpr std::size_t kMaxDirectInstances = 12;

struct DatagramRoute {
  NetAddress to;
  // The receiver relays the datagram to the other instances of its zone.
  bool relays = false;
};

// Returns the routes for a broadcast by `self`. `rotation` increases with each
// datagram of the sender and selects the relay of each zone.
[[nodiscard]] std::vector<DatagramRoute> RoutesFor(
    const MemberInfo& self,
    const std::vector<MemberInfo>& live,
    std::uint64_t rotation);

// Returns the members of `live` in the zone of `self`, without `self`.
[[nodiscard]] std::vector<MemberInfo> OthersInZone(
    const MemberInfo& self,
    const std::vector<MemberInfo>& live);

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_DATAGRAM_ROUTES_H_
