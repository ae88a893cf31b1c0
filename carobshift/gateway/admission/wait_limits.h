// Computes how long a request may wait before it is sent to an endpoint.
//
//   const WaitLimits limits = WaitLimitsOf(route, arrived, deadline, answer);
//   request.target = limits.target;
//   request.last_start = limits.last_start;
//
// A caller of a stream disconnects when no event arrives for a while, so a
// request that waits until its deadline is mostly sent for nobody.
//
// Thread-safe.

#ifndef CAROBSHIFT_GATEWAY_ADMISSION_WAIT_LIMITS_H_
#define CAROBSHIFT_GATEWAY_ADMISSION_WAIT_LIMITS_H_

#include "carobshift/base/units.h"
#include "carobshift/gateway/serving_config.h"

namespace carobshift {

// By the platform's data sheets, callers leave a stream after the longest of
// kMinCallerPatience, kPatienceInTargets latency targets and kPatienceInGaps
// gap targets without an event.
inline constexpr Milliseconds kMinCallerPatience{2000};
inline constexpr int kPatienceInTargets = 4;
inline constexpr int kPatienceInGaps = 8;
// Time for the way to the endpoint and back to the caller.
inline constexpr Milliseconds kDeliveryReserve{50};

struct WaitLimits {
  // Latest start for an answer within the latency target.
  MonotonicTime target{};
  // Latest start for an answer that still finds its caller.
  MonotonicTime last_start{};
};

// Returns how long a caller of the route waits for the first event.
[[nodiscard]] Milliseconds CallerPatience(const Route& route);

// `time_to_answer` is the expected time from the start to the first event. The
// latest start leaves twice as much, since it is an estimate.
[[nodiscard]] WaitLimits WaitLimitsOf(const Route& route,
                                      MonotonicTime arrived,
                                      MonotonicTime deadline,
                                      Milliseconds time_to_answer);

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_ADMISSION_WAIT_LIMITS_H_
