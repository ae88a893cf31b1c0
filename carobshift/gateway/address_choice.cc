#include "carobshift/gateway/address_choice.h"

namespace carobshift {

std::vector<NetAddress> ChooseAddresses(const std::vector<MemberInfo>& serving,
                                        const ZoneName& zone) {
  std::vector<NetAddress> all;
  std::vector<NetAddress> near;
  for (const MemberInfo& member : serving) {
    all.push_back(member.http_address());
    if (member.zone == zone)
      near.push_back(member.http_address());
  }
  std::vector<NetAddress>& chosen = near.size() < kLeastInZone ? all : near;
  if (chosen.size() > kMostAddresses)
    chosen.resize(kMostAddresses);
  return chosen;
}

}  // namespace carobshift
