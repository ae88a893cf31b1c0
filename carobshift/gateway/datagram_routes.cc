#include "carobshift/gateway/datagram_routes.h"

#include <map>

namespace carobshift {

std::vector<MemberInfo> OthersInZone(const MemberInfo& self,
                                     const std::vector<MemberInfo>& live) {
  std::vector<MemberInfo> neighbours;
  for (const MemberInfo& member : live) {
    if (member.zone == self.zone && member.id != self.id)
      neighbours.push_back(member);
  }
  return neighbours;
}

std::vector<DatagramRoute> RoutesFor(const MemberInfo& self,
                                     const std::vector<MemberInfo>& live,
                                     std::uint64_t rotation) {
  const bool direct = live.size() <= kMaxDirectInstances;
  std::vector<DatagramRoute> routes;
  std::map<ZoneName, std::vector<const MemberInfo*>> other_zones;
  for (const MemberInfo& member : live) {
    if (member.id == self.id)
      continue;
    if (direct || member.zone == self.zone)
      routes.push_back({member.peer_address(), /*relays=*/false});
    else
      other_zones[member.zone].push_back(&member);
  }
  for (const auto& [zone, members] : other_zones) {
    const MemberInfo* const chosen =
        members[static_cast<std::size_t>(rotation % members.size())];
    routes.push_back({chosen->peer_address(), /*relays=*/true});
  }
  return routes;
}

}  // namespace carobshift
