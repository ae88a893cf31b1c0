#include "carobshift/gateway/records/record_readers.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <tuple>

#include "carobshift/base/digest.h"

namespace carobshift {
namespace {

std::uint64_t RankOf(const MemberInfo& member) {
  return FastHash("log reader\n" + member.id.value());
}

// Caches the rank, so that each member is hashed once and not at each
// comparison.
struct Ranked {
  std::uint64_t rank = 0;
  const MemberInfo* member = nullptr;

  friend bool operator<(const Ranked& a, const Ranked& b) {
    return std::tie(a.rank, a.member->id) < std::tie(b.rank, b.member->id);
  }
};

}  // namespace

std::vector<MemberInfo> LogReaders(const std::vector<MemberInfo>& live) {
  if (live.size() <= kMaxSelfReaders)
    return {};
  std::vector<Ranked> ranked;
  ranked.reserve(live.size());
  for (const MemberInfo& member : live)
    ranked.push_back({RankOf(member), &member});
  std::sort(ranked.begin(), ranked.end());
  std::vector<MemberInfo> readers;
  std::vector<const MemberInfo*> others;
  std::set<ZoneName> covered_zones;
  for (const Ranked& ranked_member : ranked) {
    if (covered_zones.insert(ranked_member.member->zone).second)
      readers.push_back(*ranked_member.member);
    else
      others.push_back(ranked_member.member);
  }
  for (const MemberInfo* const member : others) {
    if (readers.size() >= kMinReaders)
      break;
    readers.push_back(*member);
  }
  return readers;
}

std::vector<MemberInfo> ReaderOrderFor(const MemberInfo& self,
                                       std::vector<MemberInfo> readers) {
  const auto distance = [&self](const MemberInfo& reader) {
    return std::tuple(reader.zone != self.zone,
                      FastHash(self.id.value() + '\n' + reader.id.value()));
  };
  std::sort(readers.begin(), readers.end(),
            [&distance](const auto& a, const auto& b) {
              return distance(a) < distance(b);
            });
  return readers;
}

}  // namespace carobshift
