// Limits of requests a second that endpoints name in their answers, for all
// instances together.
//
//   RateLimits limits;
//   limits.OnAnswer(endpoint, {.named = rate, .sent = sent}, now);
//   const std::optional<RequestRate> limit = limits.LimitOf(endpoint);
//
// Thread-compatible. State: one entry for each endpoint that names a limit.

#ifndef CAROBSHIFT_GATEWAY_RATE_LIMITS_H_
#define CAROBSHIFT_GATEWAY_RATE_LIMITS_H_

#include <cstddef>
#include <map>
#include <optional>

#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"
#include "carobshift/gateway/caller_request.h"
#include "carobshift/gateway/endpoint_record.h"

namespace carobshift {

// What one answer of an endpoint says of its limit.
struct LimitStatement {
  // Nothing where the answer names none.
  std::optional<RequestRate> named;
  // When the request was sent. An answer that was under way before the endpoint
  // named its limit doesn't end it.
  MonotonicTime sent{};
};

class RateLimits {
 public:
  // Between two statements of one endpoint, a smaller change is none.
  static constexpr double kLeastChange = 0.1;

  // True if the endpoint's limit is new, gone, or another one.
  bool OnAnswer(const EndpointId& endpoint,
                const LimitStatement& statement,
                MonotonicTime now);
  void Forget(const EndpointId& endpoint) { limits_.erase(endpoint); }

  [[nodiscard]] std::optional<RequestRate> LimitOf(
      const EndpointId& endpoint) const;
  // Endpoints that have one.
  [[nodiscard]] std::size_t size() const { return limits_.size(); }

 private:
  struct Limit {
    RequestRate rate{};
    MonotonicTime named{};
  };
  std::map<EndpointId, Limit> limits_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_RATE_LIMITS_H_
