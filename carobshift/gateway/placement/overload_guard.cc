#include "carobshift/gateway/placement/overload_guard.h"

#include <algorithm>
#include <cmath>

namespace carobshift {
namespace {

// Bounds of an engine's prefill time; a sample outside them is caused by a
// fault and not by prefill.
constexpr double kMinMillisecondsPerToken = 1.0 / 400;
constexpr double kMaxMillisecondsPerToken = 1.0 / 15;

}  // namespace

double OverloadGuard::MillisecondsPerToken(const ServiceName& service) const {
  const auto found = milliseconds_per_token_.find(service);
  return found == milliseconds_per_token_.end() ? kInitialMillisecondsPerToken
                                                : found->second;
}

void OverloadGuard::OnFirstToken(const ServiceName& service,
                                 double cost,
                                 Microseconds waited) {
  if (cost < kMinSampleCost)
    return;
  constexpr double kMicrosecondsPerMillisecond = 1000;
  const double sample = std::clamp(
      static_cast<double>(waited.count()) / kMicrosecondsPerMillisecond / cost,
      kMinMillisecondsPerToken, kMaxMillisecondsPerToken);
  double& estimate =
      milliseconds_per_token_.try_emplace(service, kInitialMillisecondsPerToken)
          .first->second;
  estimate += kSmoothingFactor * (sample - estimate);
}

Milliseconds OverloadGuard::ExpectedWait(const ServiceName& service,
                                         double ahead) const {
  return Milliseconds(std::llround(ahead * MillisecondsPerToken(service)));
}

OverloadDecision OverloadGuard::Decide(const OverloadInput& input) const {
  OverloadDecision verdict;
  const double expected = input.ahead * MillisecondsPerToken(input.service);
  verdict.expected = Milliseconds(std::llround(expected));
  if (input.latency_target.count() <= 0)
    return verdict;
  const double share =
      std::max(kMinLatencyTargetShare,
               kMaxLatencyTargetShare - kSharePerUrgencyStep * input.urgency);
  const double allowed =
      share * static_cast<double>(input.latency_target.count());
  if (expected <= allowed)
    return verdict;
  verdict.refused = true;
  constexpr std::uint64_t kSteps = 1024;
  const double jitter = static_cast<double>(input.hash % kSteps) / kSteps;
  const Milliseconds wait(std::llround((expected - allowed) * (1 + jitter)));
  verdict.retry_after = std::clamp(wait, kMinRetryAfter, kMaxRetryAfter);
  return verdict;
}

}  // namespace carobshift
