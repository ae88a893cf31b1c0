#include "carobshift/gateway/instances/member_discovery.h"

namespace carobshift {

void MemberDiscovery::OnMembers(std::size_t count, MonotonicTime now) {
  if (!started_at_)
    started_at_ = now;
  settled_ = settled_ || IsSettled(now);
  if (count <= max_count_)
    return;
  max_count_ = count;
  last_growth_ = now;
}

bool MemberDiscovery::IsSettled(MonotonicTime now) const {
  if (settled_)
    return true;
  if (!started_at_)
    return false;
  const bool quiet = max_count_ > 1 && now - last_growth_ >= kQuietTime;
  return quiet || now - *started_at_ >= kMaxTime;
}

}  // namespace carobshift
