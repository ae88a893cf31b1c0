#include "carobshift/gateway/datagram_routes.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>

namespace carobshift {
namespace {

std::vector<MemberInfo> Members(int zones, int per_zone) {
  std::vector<MemberInfo> members;
  for (int i = 0; i < zones * per_zone; ++i) {
    MemberInfo& member = members.emplace_back();
    member.id = EntryId("entry-" + std::to_string(i));
    member.zone = ZoneName("zone-" + std::to_string(i % zones));
    member.host = "10.0.0." + std::to_string(i);
    member.peer_port = 7;
  }
  return members;
}

// Returns how many copies of a datagram of `self` each member receives.
std::map<std::string, int> Received(const std::vector<MemberInfo>& members,
                                    const MemberInfo& self,
                                    std::uint64_t rotation) {
  std::map<std::string, int> received;
  for (const DatagramRoute& route : RoutesFor(self, members, rotation)) {
    ++received[route.to.host];
    if (!route.relays)
      continue;
    for (const MemberInfo& member : members) {
      if (member.host != route.to.host)
        continue;
      for (const MemberInfo& neighbour : OthersInZone(member, members))
        ++received[neighbour.host];
    }
  }
  return received;
}

TEST_CASE("few instances send to each other directly") {
  const auto members = Members(3, 2);
  const auto routes = RoutesFor(members[0], members, 1);
  CHECK(routes.size() == 5);
  for (const DatagramRoute& route : routes)
    CHECK_FALSE(route.relays);
}

TEST_CASE("a broadcast to many instances sends one copy to each other zone") {
  // Guards against excess traffic between zones, which is billed by the byte.
  // Ninety instances broadcast the contents of their engines' caches; with a
  // direct copy for each instance, three of four copies would cross zones.
  const auto members = Members(4, 22);
  for (std::uint64_t rotation = 0; rotation < 30; ++rotation) {
    const auto received = Received(members, members[5], rotation);
    CHECK(received.size() == members.size() - 1);
    for (const auto& [host, times] : received)
      CHECK(times == 1);
    std::size_t crossing = 0;
    for (const DatagramRoute& route : RoutesFor(members[5], members, rotation))
      crossing += route.relays ? 1 : 0;
    CHECK(crossing == 3);
  }
}

TEST_CASE("the relaying instance changes with each datagram") {
  // Guards against a zone that receives no datagrams for seconds. This happens
  // if one fixed instance relays for the zone and has died before gossip
  // reports it dead.
  const auto members = Members(4, 22);
  std::set<std::string> hosts;
  for (std::uint64_t rotation = 0; rotation < 22; ++rotation) {
    for (const DatagramRoute& route :
         RoutesFor(members[5], members, rotation)) {
      if (route.relays)
        hosts.insert(route.to.host);
    }
  }
  CHECK(hosts.size() == 66);
}

}  // namespace
}  // namespace carobshift
