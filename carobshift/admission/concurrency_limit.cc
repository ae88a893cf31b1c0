#include "carobshift/admission/concurrency_limit.h"

#include <algorithm>

namespace carobshift {

namespace {

// Utilization of the limit from which on it may grow. Below, the present limit
// has not been tested.
constexpr double kGrowthUtilization = 0.8;

// Utilization of the limit from which on requests are held back that an
// endpoint could take.
constexpr double kSaturatedUtilization = 0.98;
// Share of the allowed wait above which requests queue inside the endpoint.
constexpr double kQueueingThreshold = 0.1;

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(const ConcurrencyLimitOptions& options,
                                   Milliseconds first_token_target)
    : options_(options),
      allowed_wait_(static_cast<std::int64_t>(
          options.wait_share *
          static_cast<double>(Microseconds(first_token_target).count()))),
      limit_(options.initial) {}

void ConcurrencyLimit::OnFirstToken(Microseconds observed,
                                    Microseconds unloaded,
                                    double in_progress,
                                    MonotonicTime now) {
  wait_sum_ += std::max(Microseconds(0), observed - unloaded);
  ++samples_;
  peak_in_progress_ = std::max(peak_in_progress_, in_progress);
  if (now >= window_end_)
    CloseWindow(now);
}

void ConcurrencyLimit::OnFailure(MonotonicTime now) {
  wait_sum_ += 4 * allowed_wait_;
  ++samples_;
  if (now >= window_end_)
    CloseWindow(now);
}

void ConcurrencyLimit::CloseWindow(MonotonicTime now) {
  const Microseconds mean = wait_sum_ / samples_;
  slow_start_ = slow_start_ && mean < kQueueingThreshold * allowed_wait_;
  if (mean > allowed_wait_) {
    limit_ *= options_.decrease;
  } else if (peak_in_progress_ >= kGrowthUtilization * limit_) {
    const bool fast =
        slow_start_ && peak_in_progress_ >= kSaturatedUtilization * limit_;
    const double share =
        fast ? options_.start_increase_share : options_.increase_share;
    limit_ += std::max(1.0, share * limit_);
  }
  limit_ = std::clamp(limit_, options_.minimum, options_.maximum);
  window_end_ = now + options_.window;
  wait_sum_ = Microseconds(0);
  samples_ = 0;
  peak_in_progress_ = 0;
}

}  // namespace carobshift
