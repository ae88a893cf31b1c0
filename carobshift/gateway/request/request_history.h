// Counts the requests of the last window and returns lower bounds of how many
// arrived in the last part of it.
//
//   RequestHistory history(window);
//   history.Add(now);
//   double requests = history.In(window, now);
//
// Time is divided into kSlots slots a window. A bound counts only the slots
// that lie inside its time: it is at most one slot of requests below the exact
// number, and never above it.
//
// Thread-compatible. Of constant size.

#ifndef CAROBSHIFT_GATEWAY_REQUEST_REQUEST_HISTORY_H_
#define CAROBSHIFT_GATEWAY_REQUEST_REQUEST_HISTORY_H_

#include <array>
#include <cstdint>

#include "carobshift/base/units.h"

namespace carobshift {

class RequestHistory {
 public:
  static constexpr int kSlots = 20;

  // `window` is at least kSlots microseconds.
  explicit RequestHistory(Milliseconds window)
      : slot_time_(Microseconds(window) / kSlots) {}

  void Add(MonotonicTime now);
  // Returns the number of requests in the last `time`, at most a window.
  [[nodiscard]] double In(Milliseconds time, MonotonicTime now) const;

 private:
  struct Slot {
    std::int64_t step = -1;
    double requests = 0;
  };

  [[nodiscard]] std::int64_t StepAt(MonotonicTime time) const;

  Microseconds slot_time_;
  std::array<Slot, kSlots> slots_{};
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_REQUEST_REQUEST_HISTORY_H_
