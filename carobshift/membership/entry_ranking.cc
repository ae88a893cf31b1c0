#include "carobshift/membership/entry_ranking.h"

#include <algorithm>
#include <cstdint>
#include <tuple>

#include "carobshift/base/digest.h"

namespace carobshift {
namespace {

struct Score {
  bool same_zone = false;
  std::uint64_t hash = 0;
  const MemberInfo* entry = nullptr;
};

bool Better(const Score& a, const Score& b) {
  return std::tuple(a.same_zone, a.hash, b.entry->id) >
         std::tuple(b.same_zone, b.hash, a.entry->id);
}

}  // namespace

std::vector<MemberInfo> RankEntries(const RankingKey& key,
                                    const std::vector<MemberInfo>& live,
                                    std::size_t count) {
  const std::uint64_t seed =
      FastHash(key.conversation.value(), FastHash(key.account.value()));
  std::vector<Score> scores;
  scores.reserve(live.size());
  for (const MemberInfo& entry : live) {
    scores.push_back({.same_zone = entry.zone == key.zone,
                      .hash = FastHash(entry.id.value(), seed),
                      .entry = &entry});
  }
  const auto wanted =
      static_cast<std::ptrdiff_t>(std::min(count, scores.size()));
  std::partial_sort(scores.begin(), scores.begin() + wanted, scores.end(),
                    Better);
  std::vector<MemberInfo> ranked;
  ranked.reserve(static_cast<std::size_t>(wanted));
  for (auto it = scores.begin(); it != scores.begin() + wanted; ++it)
    ranked.push_back(*it->entry);
  return ranked;
}

}  // namespace carobshift
