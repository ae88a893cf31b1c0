#include "carobshift/gateway/record_readers.h"

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

}  // namespace

std::vector<MemberInfo> LogReaders(const std::vector<MemberInfo>& live) {
  if (live.size() <= kMostReaders)
    return {};
  std::vector<MemberInfo> ranked = live;
  std::sort(ranked.begin(), ranked.end(), [](const auto& a, const auto& b) {
    return std::tuple(RankOf(a), a.id) < std::tuple(RankOf(b), b.id);
  });
  std::vector<MemberInfo> readers;
  std::vector<MemberInfo> others;
  std::set<ZoneName> served;
  for (const MemberInfo& member : ranked) {
    const bool first_of_zone = served.insert(member.zone).second;
    (first_of_zone ? readers : others).push_back(member);
  }
  for (const MemberInfo& member : others) {
    if (readers.size() >= kLeastReaders)
      break;
    readers.push_back(member);
  }
  return readers;
}

std::vector<MemberInfo> InOrderFor(const MemberInfo& self,
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
