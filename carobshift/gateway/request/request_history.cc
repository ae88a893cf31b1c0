#include "carobshift/gateway/request/request_history.h"

namespace carobshift {

std::int64_t RequestHistory::StepAt(MonotonicTime time) const {
  return time.time_since_epoch() / slot_time_;
}

void RequestHistory::Add(MonotonicTime now) {
  const std::int64_t step = StepAt(now);
  Slot& slot = slots_[static_cast<std::size_t>(step) % slots_.size()];
  if (slot.step != step)
    slot = {step, 0};
  ++slot.requests;
}

double RequestHistory::In(Milliseconds time, MonotonicTime now) const {
  const std::int64_t last = StepAt(now);
  // The current slot is one of them, as it lies inside up to now.
  const std::int64_t first = last - time / slot_time_ + 1;
  double sum = 0;
  for (const Slot& slot : slots_) {
    if (slot.step >= first && slot.step <= last)
      sum += slot.requests;
  }
  return sum;
}

}  // namespace carobshift
