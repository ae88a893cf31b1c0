#include "carobshift/admission/drain_rate.h"

#include <algorithm>

namespace carobshift {

namespace {

constexpr Microseconds kWindow{250000};
constexpr Microseconds kMaxWindow{1000000};
constexpr int kMinStarts = 4;
constexpr double kSmoothingWeight = 0.3;
// Bounds the expected wait when the fleet serves nothing for a while.
constexpr double kMinUnitsPerSecond = 1;
constexpr Microseconds kMaxWait{3600LL * 1000000};

}  // namespace

void DrainRate::Observe(bool backlogged, MonotonicTime now) {
  const Microseconds elapsed = now - window_begin_;
  if (!backlogged_) {
    window_begin_ = now;
    window_cost_ = 0;
    window_starts_ = 0;
    backlogged_ = backlogged;
    return;
  }
  const bool enough = window_starts_ >= kMinStarts;
  if (elapsed >= kMaxWindow || (enough && elapsed >= kWindow)) {
    const double seconds = std::chrono::duration<double>(elapsed).count();
    const double sample = std::max(kMinUnitsPerSecond, window_cost_ / seconds);
    rate_ = rate_ == 0 ? sample : rate_ + kSmoothingWeight * (sample - rate_);
    window_begin_ = now;
    window_cost_ = 0;
    window_starts_ = 0;
  }
  backlogged_ = backlogged;
}

void DrainRate::OnStart(CostUnits cost) {
  window_cost_ += cost;
  ++window_starts_;
}

Microseconds DrainRate::TimeFor(CostUnits cost) const {
  if (rate_ == 0)
    return Microseconds(0);
  const double micros = cost / rate_ * 1e6;
  if (micros >= static_cast<double>(kMaxWait.count()))
    return kMaxWait;
  return Microseconds(static_cast<std::int64_t>(micros));
}

}  // namespace carobshift
