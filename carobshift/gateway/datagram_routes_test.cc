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

// How often each member gets a datagram of `self`.
std::map<std::string, int> Received(const std::vector<MemberInfo>& members,
                                    const MemberInfo& self,
                                    std::uint64_t turn) {
  std::map<std::string, int> received;
  for (const DatagramRoute& route : RoutesFor(self, members, turn)) {
    ++received[route.to.host];
    if (!route.passes_on)
      continue;
    for (const MemberInfo& member : members) {
      if (member.host != route.to.host)
        continue;
      for (const MemberInfo& neighbour : ZoneOf(member, members))
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
    CHECK_FALSE(route.passes_on);
}

TEST_CASE("of many instances each gets a datagram once, and one copy crosses") {
  // Ninety instances tell each other what engines hold. With a copy for each of
  // them three of four would cross zones, which is paid for by the byte.
  const auto members = Members(4, 22);
  for (std::uint64_t turn = 0; turn < 30; ++turn) {
    const auto received = Received(members, members[5], turn);
    CHECK(received.size() == members.size() - 1);
    for (const auto& [host, times] : received)
      CHECK(times == 1);
    std::size_t crossing = 0;
    for (const DatagramRoute& route : RoutesFor(members[5], members, turn))
      crossing += route.passes_on ? 1 : 0;
    CHECK(crossing == 3);
  }
}

TEST_CASE("it is another instance that passes on each time") {
  // The one that passes on has died, and gossip doesn't tell yet. Were it asked
  // each time, its zone would hear nothing for seconds.
  const auto members = Members(4, 22);
  std::set<std::string> hosts;
  for (std::uint64_t turn = 0; turn < 22; ++turn) {
    for (const DatagramRoute& route : RoutesFor(members[5], members, turn)) {
      if (route.passes_on)
        hosts.insert(route.to.host);
    }
  }
  CHECK(hosts.size() == 66);
}

}  // namespace
}  // namespace carobshift
