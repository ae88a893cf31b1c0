#include "carobshift/gateway/instances/address_choice.h"

#include <functional>

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

std::vector<NetAddress> ChooseAddresses(const std::vector<MemberInfo>& serving,
                                        const AddressQuestion& question,
                                        const std::vector<RegionName>& allowed,
                                        const ZoneRegions& regions) {
  std::vector<NetAddress> chosen = AddressesWhere(
      serving,
      [&](const MemberInfo& member) { return member.zone == question.zone; });
  if (chosen.size() >= kMinAddressesInZone)
    return chosen;
  const auto region = regions.RegionOf(question.zone);
  const RegionName caller_region = region.value_or(question.region);
  chosen = AddressesWhere(serving, [&](const MemberInfo& member) {
    const auto of_member = regions.RegionOf(member.zone);
    return !of_member || *of_member == caller_region;
  });
  if (!chosen.empty())
    return chosen;
  return AddressesWhere(serving, [&](const MemberInfo& member) {
    return regions.Allows(allowed, member.zone);
  });
}

}  // namespace carobshift
