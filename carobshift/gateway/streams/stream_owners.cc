#include "carobshift/gateway/streams/stream_owners.h"

#include <algorithm>
#include <cstdint>
#include <set>
#include <string_view>
#include <utility>

#include "carobshift/base/digest.h"

namespace carobshift {

std::vector<MemberInfo> StreamOwners(StreamKey key,
                                     const std::vector<MemberInfo>& members,
                                     std::size_t count) {
  using Ranked = std::pair<std::uint64_t, const MemberInfo*>;
  std::vector<Ranked> ranked;
  ranked.reserve(members.size());
  for (const MemberInfo& member : members) {
    ranked.emplace_back(CombineHashes(key.value(), FastHash(member.id.value())),
                        &member);
  }
  std::sort(ranked.begin(), ranked.end(), [](const auto& a, const auto& b) {
    return std::pair(a.first, a.second->id) < std::pair(b.first, b.second->id);
  });
  // Those that are the first of their zone come before all others.
  std::set<std::string_view> zones;
  std::stable_partition(ranked.begin(), ranked.end(),
                        [&zones](const auto& one) {
                          return zones.insert(one.second->zone.value()).second;
                        });
  std::vector<MemberInfo> owners;
  for (const auto& [rank, member] : ranked) {
    if (owners.size() == count)
      break;
    owners.push_back(*member);
  }
  return owners;
}

}  // namespace carobshift
