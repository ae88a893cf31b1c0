#include "carobshift/gateway/overload_guard.h"

#include <algorithm>
#include <cmath>

namespace carobshift {
namespace {

// No engine is faster or slower than this by the factor; a sample beyond it
// comes from a fault and not from reading.
constexpr double kFastest = 1.0 / 400;
constexpr double kSlowest = 1.0 / 15;

}  // namespace

double OverloadGuard::MillisecondsPerToken(const ServiceName& service) const {
  const auto found = milliseconds_per_token_.find(service);
  return found == milliseconds_per_token_.end() ? kFirstMillisecondsPerToken
                                                : found->second;
}

void OverloadGuard::OnFirstToken(const ServiceName& service,
                                 double cost,
                                 Microseconds waited) {
  if (cost < kLeastCost)
    return;
  constexpr double kMicrosecondsPerMillisecond = 1000;
  const double sample = std::clamp(
      static_cast<double>(waited.count()) / kMicrosecondsPerMillisecond / cost,
      kFastest, kSlowest);
  double& estimate =
      milliseconds_per_token_.try_emplace(service, kFirstMillisecondsPerToken)
          .first->second;
  estimate += kGain * (sample - estimate);
}

Milliseconds OverloadGuard::ExpectedWait(const ServiceName& service,
                                         double ahead) const {
  return Milliseconds(std::llround(ahead * MillisecondsPerToken(service)));
}

OverloadVerdict OverloadGuard::Judge(const OverloadQuestion& question) const {
  OverloadVerdict verdict;
  const double expected =
      question.ahead * MillisecondsPerToken(question.service);
  verdict.expected = Milliseconds(std::llround(expected));
  if (question.latency_target.count() <= 0)
    return verdict;
  const double share =
      std::max(kLeastShare, kMostUrgentShare - kShareStep * question.urgency);
  const double allowed =
      share * static_cast<double>(question.latency_target.count());
  if (expected <= allowed)
    return verdict;
  verdict.refused = true;
  constexpr std::uint64_t kSteps = 1024;
  const double scatter = static_cast<double>(question.hash % kSteps) / kSteps;
  const Milliseconds wait(std::llround((expected - allowed) * (1 + scatter)));
  verdict.return_after = std::clamp(wait, kLeastReturn, kLongestReturn);
  return verdict;
}

}  // namespace carobshift
