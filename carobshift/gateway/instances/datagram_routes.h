// Selects the instances to which a broadcast datagram is sent, and the
// instances that relay it within their availability zone.
//
//   for (const DatagramRoute& route : RoutesFor(self, live, n)) Send(route);
//   // at a receiver of a datagram that is to be relayed:
//   for (const DatagramRoute& route : RelayRoutesFor(self, live, scope, n))
//     Send(route);
//
// Up to kMaxDirectInstances instances send to each other directly. In a larger
// deployment the sender sends one copy to each other zone, where one instance
// relays it to the rest of that zone. With ninety instances in four
// availability zones, each of which broadcasts changes of its engines' state
// several times a second, three of four direct copies would cross zones, and
// traffic between zones is the largest network cost of such a deployment.
//
// A zone with more than kMaxDirectInZone instances is divided into groups by a
// hash of the instances' ids, and one instance of each group relays to the
// others of its group. With a hundred instances in a zone, the instance that
// forwards a store's cache events would otherwise send each of them a hundred
// times, twice the capacity of a small instance's link; what is lost is listed
// again by every instance, which fills the links further.
//
// The relaying instances change with each datagram. If one relay is dead or
// slow, its zone or group misses about one datagram in two dozen; updates are
// sent twice to cover this.

#ifndef CAROBSHIFT_GATEWAY_INSTANCES_DATAGRAM_ROUTES_H_
#define CAROBSHIFT_GATEWAY_INSTANCES_DATAGRAM_ROUTES_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "carobshift/membership/member.h"

namespace carobshift {

// Up to this number, instances send to each other directly.
inline constexpr std::size_t kMaxDirectInstances = 12;
// Up to this number, the instances of a zone get their copies from one relay.
inline constexpr std::size_t kMaxDirectInZone = 32;
// Upper bound of the mean number of instances in a group.
inline constexpr std::size_t kMaxGroupSize = 16;

// The instances to which the receiver of a datagram relays it.
enum class RelayScope : std::uint8_t {
  kNone,
  // The other instances of its group.
  kGroup,
  // The other instances of its zone, through the relays of the groups if the
  // zone has any.
  kZone,
};

struct DatagramRoute {
  NetAddress to;
  RelayScope relay = RelayScope::kNone;
};

// Returns the routes for a broadcast by `self`. `rotation` increases with each
// datagram of the sender and selects the relays.
[[nodiscard]] std::vector<DatagramRoute> RoutesFor(
    const MemberInfo& self,
    const std::vector<MemberInfo>& live,
    std::uint64_t rotation);

// Returns the routes by which `self` relays a datagram that it received.
[[nodiscard]] std::vector<DatagramRoute> RelayRoutesFor(
    const MemberInfo& self,
    const std::vector<MemberInfo>& live,
    RelayScope scope,
    std::uint64_t rotation);

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_INSTANCES_DATAGRAM_ROUTES_H_
