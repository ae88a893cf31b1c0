#include "carobshift/gateway/records/list_backoff.h"

#include <algorithm>

namespace carobshift {

void ListBackoff::OnList(std::uint64_t hash, MonotonicTime now) {
  constexpr std::uint64_t kSteps = 1024;
  const bool recent = last_ && now - *last_ < kResetTime;
  delay_ = recent ? std::clamp(2 * delay_, kMinDelay, kMaxDelay) : kMinDelay;
  last_ = now;
  // Half of the delay to one and a half times the delay.
  const auto step = static_cast<std::int64_t>(hash % kSteps);
  next_ = now + delay_ / 2 + delay_ * step / kSteps;
}

}  // namespace carobshift
