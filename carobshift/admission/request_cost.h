// The cost of a request to an endpoint, in one unit for prefill and decode.
//
//   CostUnits cost = RequestCost(prompt_tokens - cached_tokens, max_tokens);
//
// One unit is the endpoint time of one prefill token. A decode token takes
// about eight times as long: engines prefill a prompt in one compute-bound
// pass, while each decode step reads all weights for one token per request in
// the batch. The load driver's endpoints (8,000 prefill tokens a second, 16
// streams of 60 tokens a second) give 8.3.

#ifndef CAROBSHIFT_ADMISSION_REQUEST_COST_H_
#define CAROBSHIFT_ADMISSION_REQUEST_COST_H_

#include "carobshift/base/units.h"

namespace carobshift {

using CostUnits = double;

inline constexpr double kDecodeTokenCost = 8;

// Returns at least 1. Both arguments are in tokens, neither below 0.
[[nodiscard]] inline CostUnits RequestCost(Tokens uncached_prefill,
                                           Tokens expected_decode) {
  return 1 + static_cast<double>(uncached_prefill) +
         kDecodeTokenCost * static_cast<double>(expected_decode);
}

}  // namespace carobshift

#endif  // CAROBSHIFT_ADMISSION_REQUEST_COST_H_
