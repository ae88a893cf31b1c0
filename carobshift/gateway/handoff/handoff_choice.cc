#include "carobshift/gateway/handoff/handoff_choice.h"

#include <algorithm>
#include <tuple>

namespace carobshift {
namespace {

constexpr int kHalfBits = 32;

}  // namespace

std::vector<HandoffCandidate> HandoffCandidates(
    const std::vector<MemberInfo>& members,
    const HandoffQuery& query,
    const ZoneRegions& regions,
    const ReachabilityView& reachability,
    MonotonicTime now) {
  std::vector<HandoffCandidate> candidates;
  for (const MemberInfo& member : members) {
    if (member.id == query.self || member.leaving)
      continue;
    if (!regions.Allows(query.allowed_regions, member.zone) ||
        !reachability.PeerReaches(member.id, query.service, now))
      continue;
    candidates.push_back({.member = member});
  }
  return candidates;
}

std::optional<MemberInfo> ChooseHandoffPeer(
    const std::vector<HandoffCandidate>& candidates,
    const ZoneName& own_zone,
    std::uint64_t hash) {
  std::vector<const HandoffCandidate*> usable;
  for (const HandoffCandidate& candidate : candidates) {
    if (!candidate.avoided)
      usable.push_back(&candidate);
  }
  if (usable.empty()) {
    for (const HandoffCandidate& candidate : candidates)
      usable.push_back(&candidate);
  }
  if (usable.empty())
    return std::nullopt;
  const std::size_t first = (hash >> kHalfBits) % usable.size();
  if (usable.size() == 1)
    return usable[first]->member;
  // Another one than the first.
  const std::uint64_t low = hash & 0xffffffff;
  const std::size_t second =
      (first + 1 + low % (usable.size() - 1)) % usable.size();
  const auto rank = [&own_zone](const HandoffCandidate& candidate) {
    return std::tuple(candidate.outstanding, candidate.member.zone != own_zone);
  };
  return rank(*usable[second]) < rank(*usable[first]) ? usable[second]->member
                                                      : usable[first]->member;
}

}  // namespace carobshift
