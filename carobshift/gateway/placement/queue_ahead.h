// The queue before a request at an endpoint, split into prefill and memory.
//
//   const QueueAhead ahead{4000, /*free_memory=*/9000, /*need=*/12'000};
//   const double cost = ahead.Total();  // 4000 + 4 * 3000

#ifndef CAROBSHIFT_GATEWAY_PLACEMENT_QUEUE_AHEAD_H_
#define CAROBSHIFT_GATEWAY_PLACEMENT_QUEUE_AHEAD_H_

#include <algorithm>
#include <limits>

namespace carobshift {

// In tokens to prefill; memory in tokens.
struct QueueAhead {
  // Cost of a token beyond an engine's memory, in tokens to prefill: the
  // request waits until as many tokens are freed.
  static constexpr double kOverMemoryCost = 4;

  // Prefill of other requests, and the cost of waiting for a free slot.
  double prefill_cost = 0;
  // Negative if more was placed than there is memory.
  double free_memory = std::numeric_limits<double>::infinity();
  // Memory that the request would add.
  double need = 0;

  [[nodiscard]] double Total() const {
    return prefill_cost + kOverMemoryCost * std::max(0.0, need - free_memory);
  }
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_PLACEMENT_QUEUE_AHEAD_H_
