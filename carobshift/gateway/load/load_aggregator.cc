#include "carobshift/gateway/load/load_aggregator.h"

#include <iterator>

#include "carobshift/base/digest.h"

namespace carobshift {

const MemberInfo* FindLoadAggregator(std::uint64_t endpoint,
                                     const std::vector<MemberInfo>& live) {
  const MemberInfo* aggregator = nullptr;
  std::uint64_t best = 0;
  for (const MemberInfo& member : live) {
    const std::uint64_t rank =
        CombineHashes(endpoint, FastHash(member.id.value()));
    if (aggregator != nullptr && rank <= best)
      continue;
    aggregator = &member;
    best = rank;
  }
  return aggregator;
}

void LoadAggregator::OnUpdate(const LoadUpdate& update, MonotonicTime now) {
  SenderLoad& sender_load = sender_loads_[update.endpoint][update.sender];
  if (sender_load.sequence >= update.sequence)
    return;
  sender_load = {update.sequence, update.load, now};
}

EndpointLoad LoadAggregator::Others(std::uint64_t endpoint,
                                    Incarnation requester,
                                    MonotonicTime now) const {
  EndpointLoad sum;
  const auto found = sender_loads_.find(endpoint);
  if (found == sender_loads_.end())
    return sum;
  for (const auto& [sender, sender_load] : found->second) {
    if (sender == requester || now - sender_load.at >= kMaxAge)
      continue;
    sum += sender_load.load;
  }
  return sum;
}

void LoadAggregator::Expire(MonotonicTime now) {
  for (auto endpoint_loads = sender_loads_.begin();
       endpoint_loads != sender_loads_.end();) {
    std::erase_if(endpoint_loads->second, [now](const auto& entry) {
      return now - entry.second.at >= kMaxAge;
    });
    endpoint_loads = endpoint_loads->second.empty()
                         ? sender_loads_.erase(endpoint_loads)
                         : std::next(endpoint_loads);
  }
}

}  // namespace carobshift
