#include "carobshift/gateway/instances/peer_choice.h"

#include <algorithm>

namespace carobshift {
namespace {

bool IsAlive(const MemberRecord& member) {
  return member.state == MemberState::kAlive;
}

bool HasConfig(const MemberRecord& member) {
  return member.config_version > ConfigVersion(0);
}

}  // namespace

std::vector<MemberInfo> SelectSyncPeers(
    const std::vector<MemberRecord>& members,
    const EntryId& self) {
  std::vector<MemberInfo> configured;
  std::vector<MemberInfo> all;
  for (const MemberRecord& member : members) {
    if (!IsAlive(member) || member.info.id == self)
      continue;
    all.push_back(member.info);
    if (HasConfig(member))
      configured.push_back(member.info);
  }
  std::vector<MemberInfo>& chosen = configured.empty() ? all : configured;
  std::sort(chosen.begin(), chosen.end(),
            [](const auto& a, const auto& b) { return a.id < b.id; });
  return chosen;
}

bool MustDelayShutdown(const std::vector<MemberRecord>& members,
                       const EntryId& self,
                       bool log_unreachable) {
  if (!log_unreachable)
    return false;
  bool others = false;
  for (const MemberRecord& member : members) {
    if (!IsAlive(member) || member.info.id == self)
      continue;
    others = true;
    if (!HasConfig(member))
      continue;
    // That member stays, or it is the one that delays its shutdown.
    if (!member.info.leaving || member.info.id < self)
      return false;
  }
  return others;
}

}  // namespace carobshift
