#include "carobshift/gateway/address_choice.h"

namespace carobshift {

std::vector<NetAddress> ChooseAddresses(const std::vector<MemberInfo>& serving,
                                        const ZoneName& zone) {
  std::vector<NetAddress> all;
  std::vector<NetAddress> in_zone;
  for (const MemberInfo& member : serving) {
    all.push_back(member.http_address());
    if (member.zone == zone)
      in_zone.push_back(member.http_address());
  }
  std::vector<NetAddress>& chosen =
      in_zone.size() < kMinAddressesInZone ? all : in_zone;
  if (chosen.size() > kMaxAddresses)
    chosen.resize(kMaxAddresses);
  return chosen;
}

}  // namespace carobshift
