#include "carobshift/gateway/admission/wait_limits.h"

#include <algorithm>

namespace carobshift {

Milliseconds CallerPatience(const Route& route) {
  return std::max({kMinCallerPatience,
                   route.latency_target * kPatienceInTargets,
                   route.gap_target * kPatienceInGaps});
}

WaitLimits WaitLimitsOf(const Route& route,
                        MonotonicTime arrived,
                        MonotonicTime deadline,
                        Milliseconds time_to_answer) {
  const MonotonicTime end = std::min(deadline, arrived + CallerPatience(route));
  return {arrived + route.latency_target - time_to_answer - kDeliveryReserve,
          end - 2 * time_to_answer - kDeliveryReserve};
}

}  // namespace carobshift
