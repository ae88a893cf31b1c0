#include "carobshift/gateway/instances/datagram_routes.h"

#include <bit>
#include <map>

#include "carobshift/base/digest.h"

namespace carobshift {
namespace {

using MemberList = std::vector<const MemberInfo*>;

// Returns the number of groups in a zone of `instances`; a power of two, so
// that members that count the zone differently mostly agree on it.
std::size_t GroupCount(std::size_t instances) {
  if (instances <= kMaxDirectInZone)
    return 1;
  return std::bit_ceil((instances + kMaxGroupSize - 1) / kMaxGroupSize);
}

std::uint64_t GroupOf(const MemberInfo& member, std::size_t groups) {
  return FastHash("datagram group\n" + member.id.value()) % groups;
}

MemberList InZone(const std::vector<MemberInfo>& live, const ZoneName& zone) {
  MemberList members;
  for (const MemberInfo& member : live) {
    if (member.zone == zone)
      members.push_back(&member);
  }
  return members;
}

const MemberInfo& Chosen(const MemberList& members, std::uint64_t rotation) {
  return *members[static_cast<std::size_t>(rotation % members.size())];
}

// Appends a direct route to each member but `self`.
void AddDirect(const MemberList& members,
               const MemberInfo& self,
               std::vector<DatagramRoute>& routes) {
  for (const MemberInfo* const member : members) {
    if (member->id != self.id)
      routes.push_back({member->peer_address(), RelayScope::kNone});
  }
}

// Appends the routes to the other instances of the zone of `self`.
void AddOwnZone(const MemberInfo& self,
                const std::vector<MemberInfo>& live,
                std::uint64_t rotation,
                std::vector<DatagramRoute>& routes) {
  const MemberList zone = InZone(live, self.zone);
  const std::size_t groups = GroupCount(zone.size());
  if (groups == 1) {
    AddDirect(zone, self, routes);
    return;
  }
  std::map<std::uint64_t, MemberList> by_group;
  for (const MemberInfo* const member : zone) {
    if (member->id != self.id)
      by_group[GroupOf(*member, groups)].push_back(member);
  }
  const std::uint64_t own_group = GroupOf(self, groups);
  for (const auto& [group, members] : by_group) {
    if (group == own_group) {
      AddDirect(members, self, routes);
    } else {
      routes.push_back(
          {Chosen(members, rotation).peer_address(), RelayScope::kGroup});
    }
  }
}

}  // namespace

std::vector<DatagramRoute> RoutesFor(const MemberInfo& self,
                                     const std::vector<MemberInfo>& live,
                                     std::uint64_t rotation) {
  std::vector<DatagramRoute> routes;
  if (live.size() <= kMaxDirectInstances) {
    MemberList all;
    for (const MemberInfo& member : live)
      all.push_back(&member);
    AddDirect(all, self, routes);
    return routes;
  }
  AddOwnZone(self, live, rotation, routes);
  std::map<ZoneName, MemberList> other_zones;
  for (const MemberInfo& member : live) {
    if (member.zone != self.zone)
      other_zones[member.zone].push_back(&member);
  }
  for (const auto& [zone, members] : other_zones) {
    routes.push_back(
        {Chosen(members, rotation).peer_address(), RelayScope::kZone});
  }
  return routes;
}

std::vector<DatagramRoute> RelayRoutesFor(const MemberInfo& self,
                                          const std::vector<MemberInfo>& live,
                                          RelayScope scope,
                                          std::uint64_t rotation) {
  std::vector<DatagramRoute> routes;
  if (scope == RelayScope::kZone)
    AddOwnZone(self, live, rotation, routes);
  if (scope != RelayScope::kGroup)
    return routes;
  const MemberList zone = InZone(live, self.zone);
  const std::size_t groups = GroupCount(zone.size());
  MemberList group;
  for (const MemberInfo* const member : zone) {
    if (GroupOf(*member, groups) == GroupOf(self, groups))
      group.push_back(member);
  }
  AddDirect(group, self, routes);
  return routes;
}

}  // namespace carobshift
