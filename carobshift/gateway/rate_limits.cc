#include "carobshift/gateway/rate_limits.h"

#include <cmath>

namespace carobshift {

bool RateLimits::OnAnswer(const EndpointId& endpoint,
                          const LimitStatement& statement,
                          MonotonicTime now) {
  const auto found = limits_.find(endpoint);
  if (!statement.named) {
    if (found == limits_.end() || statement.sent <= found->second.named)
      return false;
    limits_.erase(found);
    return true;
  }
  if (found == limits_.end()) {
    limits_[endpoint] = {*statement.named, now};
    return true;
  }
  Limit& limit = found->second;
  const double before = limit.rate.value();
  limit = {*statement.named, now};
  return std::abs(statement.named->value() - before) > kLeastChange * before;
}

std::optional<RequestRate> RateLimits::LimitOf(
    const EndpointId& endpoint) const {
  const auto found = limits_.find(endpoint);
  if (found == limits_.end())
    return std::nullopt;
  return found->second.rate;
}

}  // namespace carobshift
