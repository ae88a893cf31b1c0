#include "carobshift/gateway/streams/stream_route_history.h"

#include <algorithm>
#include <utility>

#include "carobshift/gateway/streams/stream_continuation.h"

namespace carobshift {

void StreamRouteHistory::OnConfig(const ServingConfig& config,
                                  MonotonicTime now) {
  std::erase_if(past_, [now](const PastLimit& past) {
    return now >= past.ends + past.longest;
  });
  const bool first = !std::exchange(has_config_, true);
  if (!first)
    past_.push_back({longest_, now + kMaxConfigLag});
  else if (!first_start_)
    past_.push_back({kLongestUnknown, now});
  longest_ = carobshift::LongestStream(config);
}

Milliseconds StreamRouteHistory::LongestStream(MonotonicTime now) const {
  Milliseconds longest = longest_;
  for (const PastLimit& past : past_) {
    if (now < past.ends + past.longest)
      longest = std::max(longest, past.longest);
  }
  return longest;
}

}  // namespace carobshift
