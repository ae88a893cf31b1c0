// What stands before a request at an endpoint, told apart by what it waits for.
//
//   const QueueAhead ahead{4000, /*free_memory=*/9000, /*need=*/12'000};
//   const double cost = ahead.Total();  // 4000 and four times 3000

#ifndef CAROBSHIFT_GATEWAY_QUEUE_AHEAD_H_
#define CAROBSHIFT_GATEWAY_QUEUE_AHEAD_H_

#include <algorithm>
#include <limits>

namespace carobshift {

// In tokens to be read, the unit of placement; memory in tokens.
struct QueueAhead {
  // A token over an engine's memory, in tokens to be read: the request waits
  // until as many are freed.
  static constexpr double kOverMemoryCost = 4;

  // Prompts of other requests, and places that must become free.
  double reading = 0;
  // Below zero where more was placed than there is.
  double free_memory = std::numeric_limits<double>::infinity();
  // Memory that the request would add.
  double need = 0;

  [[nodiscard]] double Total() const {
    return reading + kOverMemoryCost * std::max(0.0, need - free_memory);
  }
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_QUEUE_AHEAD_H_
