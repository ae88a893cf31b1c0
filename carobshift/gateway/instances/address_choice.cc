#include "carobshift/gateway/instances/address_choice.h"

#include <algorithm>
#include <array>
#include <iterator>

namespace carobshift {
namespace {

std::vector<NetAddress> AddressesWhere(
    const std::vector<MemberInfo>& serving,
    const std::function<bool(const MemberInfo&)>& included) {
  std::vector<NetAddress> addresses;
  for (const MemberInfo& member : serving) {
    if (addresses.size() < kMaxAddresses && included(member))
      addresses.push_back(member.http_address());
  }
  return addresses;
}

// Returns the addresses in the caller's zone or else in its region.
std::vector<NetAddress> AddressesNear(const std::vector<MemberInfo>& members,
                                      const AddressQuestion& question,
                                      const ZoneRegions& regions) {
  std::vector<NetAddress> chosen = AddressesWhere(
      members,
      [&](const MemberInfo& member) { return member.zone == question.zone; });
  if (chosen.size() >= kMinAddressesInZone)
    return chosen;
  const auto region = regions.RegionOf(question.zone);
  const RegionName caller_region = region.value_or(question.region);
  return AddressesWhere(members, [&](const MemberInfo& member) {
    const auto of_member = regions.RegionOf(member.zone);
    return !of_member || *of_member == caller_region;
  });
}

}  // namespace

std::vector<RegionName> RegionsOfHost(const ServingConfig& config,
                                      const std::string& host) {
  std::vector<RegionName> regions;
  for (const Route& route : config.routes) {
    if (route.host == host && !route.allowed_regions.empty())
      regions = CommonRegions(regions, route.allowed_regions);
  }
  return regions;
}

std::set<ServiceName> ServicesOfHost(const ServingConfig& config,
                                     const std::string& host) {
  std::set<ServiceName> services;
  for (const Route& route : config.routes) {
    if (route.host != host)
      continue;
    for (const WeightedService& service : route.services)
      services.insert(service.service);
  }
  return services;
}

std::vector<NetAddress> ChooseAddresses(const std::vector<MemberInfo>& serving,
                                        const AddressQuestion& question,
                                        const std::vector<RegionName>& allowed,
                                        const ZoneRegions& regions,
                                        const AddressFilter& may_be_told) {
  std::vector<MemberInfo> preferred;
  std::copy_if(serving.begin(), serving.end(), std::back_inserter(preferred),
               may_be_told);
  using MemberList = std::vector<MemberInfo>;
  const std::array<const MemberList*, 2> candidates{&preferred, &serving};
  for (const MemberList* const members : candidates) {
    std::vector<NetAddress> near = AddressesNear(*members, question, regions);
    if (!near.empty())
      return near;
  }
  for (const MemberList* const members : candidates) {
    std::vector<NetAddress> chosen =
        AddressesWhere(*members, [&](const MemberInfo& member) {
          return regions.Allows(allowed, member.zone);
        });
    if (!chosen.empty())
      return chosen;
  }
  return {};
}

}  // namespace carobshift
