#include "carobshift/gateway/request/caller_limits_in_force.h"

#include <algorithm>
#include <utility>

namespace carobshift {
namespace {

CallerLimits LargerOf(const CallerLimits& a, const CallerLimits& b) {
  return {.head_bytes = std::max(a.head_bytes, b.head_bytes),
          .body_bytes = std::max(a.body_bytes, b.body_bytes),
          .head_timeout = std::max(a.head_timeout, b.head_timeout),
          .idle_timeout = std::max(a.idle_timeout, b.idle_timeout)};
}

}  // namespace

void CallerLimitsInForce::OnConfig(const CallerLimits& declared,
                                   MonotonicTime now) {
  std::erase_if(replaced_, [now](const Replaced& old) {
    return now - old.at >= kSpreadTime;
  });
  const CallerLimits before = std::exchange(newest_, declared);
  // No caller acts by the defaults.
  if (std::exchange(known_, true) && before != declared)
    replaced_.push_back({before, now});
}

CallerLimits CallerLimitsInForce::At(MonotonicTime now) const {
  CallerLimits limits = newest_;
  for (const Replaced& old : replaced_) {
    if (now - old.at < kSpreadTime)
      limits = LargerOf(limits, old.limits);
  }
  return limits;
}

}  // namespace carobshift
