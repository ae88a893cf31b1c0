#include "carobshift/gateway/instances/datagram_routes.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

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

// What a broadcast of `self` costs, relays included, by the members' hosts.
struct Broadcast {
  std::map<std::string, int> sent;
  std::map<std::string, int> received;
  int crossing = 0;
};

Broadcast Send(const std::vector<MemberInfo>& members,
               const MemberInfo& self,
               std::uint64_t rotation) {
  Broadcast broadcast;
  const auto member_at = [&members](const NetAddress& address) {
    return *std::find_if(
        members.begin(), members.end(),
        [&address](const auto& member) { return member.host == address.host; });
  };
  std::vector<std::pair<MemberInfo, DatagramRoute>> open;
  for (const DatagramRoute& route : RoutesFor(self, members, rotation))
    open.emplace_back(self, route);
  while (!open.empty()) {
    const auto [from, route] = open.back();
    open.pop_back();
    const MemberInfo to = member_at(route.to);
    ++broadcast.sent[from.host];
    ++broadcast.received[to.host];
    broadcast.crossing += from.zone != to.zone ? 1 : 0;
    for (const DatagramRoute& next :
         RelayRoutesFor(to, members, route.relay, rotation))
      open.emplace_back(to, next);
  }
  broadcast.received.erase(self.host);
  return broadcast;
}

TEST_CASE("few instances send to each other directly") {
  const auto members = Members(3, 2);
  const auto routes = RoutesFor(members[0], members, 1);
  CHECK(routes.size() == 5);
  for (const DatagramRoute& route : routes)
    CHECK(route.relay == RelayScope::kNone);
}

TEST_CASE("a broadcast to many instances sends one copy to each other zone") {
  // Guards against excess traffic between zones, which is billed by the byte.
  // Ninety instances broadcast the contents of their engines' caches; with a
  // direct copy for each instance, three of four copies would cross zones.
  const auto members = Members(4, 22);
  for (std::uint64_t rotation = 0; rotation < 30; ++rotation) {
    const Broadcast broadcast = Send(members, members[5], rotation);
    CHECK(broadcast.received.size() == members.size() - 1);
    for (const auto& [host, times] : broadcast.received)
      CHECK(times == 1);
    CHECK(broadcast.crossing == 3);
  }
}

// Guards against one instance that sends each cache event a hundred times:
// its link is full, updates are lost, and all instances list the stores anew.
TEST_CASE("in a large zone no instance sends a datagram to all others") {
  for (const int per_zone : {40, 100, 340}) {
    const auto members = Members(3, per_zone);
    for (std::uint64_t rotation = 0; rotation < 30; ++rotation) {
      const Broadcast broadcast = Send(members, members[5], rotation);
      CHECK(broadcast.received.size() == members.size() - 1);
      for (const auto& [host, times] : broadcast.received)
        CHECK(times == 1);
      for (const auto& [host, times] : broadcast.sent)
        CHECK(times <= 48);
      CHECK(broadcast.crossing == 2);
    }
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
      if (route.relay == RelayScope::kZone)
        hosts.insert(route.to.host);
    }
  }
  CHECK(hosts.size() == 66);
}

}  // namespace
}  // namespace carobshift
