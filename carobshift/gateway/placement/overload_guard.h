// Decides which requests to refuse when prompts wait longer than their latency
// target allows.
//
//   OverloadGuard guard;
//   guard.OnFirstToken(service, cost, waited);
//   const OverloadDecision decision = guard.Decide(input);
//   if (decision.refused) Refuse(decision.retry_after);
//
// Load pattern: 1/3 of the engines is unreachable, or new weights have emptied
// all caches while engines load them in turn. For some seconds more prompt
// tokens arrive than can be prefilled. Without refusals every request queues in
// the engines. After two seconds all first tokens miss their latency target,
// those of short questions too, until the load falls again.
//
// The expected wait is the cost of the queue before a request at its best
// endpoint (placement.h) times the measured prefill time of a token. If it
// exceeds a share of the latency target, the request is refused before it runs,
// with a retry-after by which the backlog is gone. The least urgent requests
// are refused first, so that their backlog doesn't delay more urgent ones. The
// request's own size doesn't count, neither its prefill nor its memory:
// otherwise the largest prompts of a kind would be refused first and hardly
// ever be served. Where memory is short, the need of a mean prompt of the kind
// replaces the request's own, so that refused and admitted requests have the
// same sizes.
//
// The most urgent requests may wait for kMaxLatencyTargetShare of the target,
// each lower urgency for kSharePerUrgencyStep less, and none for less than
// kMinLatencyTargetShare. The rest is for the prefill of the prompt and for
// errors of the estimate. kMinRetryAfter is 1/10 of the shortest deadline of a
// streamed answer, so that the load has changed when a caller retries. Jitter
// keeps the requests refused in one burst from being retried in one burst.
//
// Thread-compatible. Holds one estimate for each service.

#ifndef CAROBSHIFT_GATEWAY_PLACEMENT_OVERLOAD_GUARD_H_
#define CAROBSHIFT_GATEWAY_PLACEMENT_OVERLOAD_GUARD_H_

#include <cstdint>
#include <map>

#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"

namespace carobshift {

struct OverloadInput {
  ServiceName service;
  // Cost of the queue before a prompt of the request's kind at the best
  // endpoint, without its own prefill, in tokens to prefill.
  double ahead = 0;
  Milliseconds latency_target{0};
  // 0 is the most urgent.
  int urgency = 0;
  // Hash of the request, the source of the jitter.
  std::uint64_t hash = 0;
};

struct OverloadDecision {
  bool refused = false;
  Milliseconds expected{0};
  Milliseconds retry_after{0};
};

class OverloadGuard {
 public:
  static constexpr double kMaxLatencyTargetShare = 0.85;
  static constexpr double kSharePerUrgencyStep = 0.2;
  static constexpr double kMinLatencyTargetShare = 0.3;
  static constexpr Milliseconds kMinRetryAfter{300};
  static constexpr Milliseconds kMaxRetryAfter{3000};
  // Initial estimate: an engine that prefills between the decode steps of about
  // 30 other requests prefills about 60 tokens a millisecond.
  static constexpr double kInitialMillisecondsPerToken = 1.0 / 60;
  // Weight of a sample in the moving average; about 50 requests determine it.
  static constexpr double kSmoothingFactor = 0.02;
  // Samples of a lower cost measure the network more than the engine.
  static constexpr double kMinSampleCost = 3000;

  // Records that a request placed at `cost` got its first token after `waited`.
  void OnFirstToken(const ServiceName& service,
                    double cost,
                    Microseconds waited);

  [[nodiscard]] OverloadDecision Decide(const OverloadInput& input) const;
  // Returns the expected wait behind a queue of the cost `ahead`.
  [[nodiscard]] Milliseconds ExpectedWait(const ServiceName& service,
                                          double ahead) const;
  [[nodiscard]] double MillisecondsPerToken(const ServiceName& service) const;

 private:
  std::map<ServiceName, double> milliseconds_per_token_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_PLACEMENT_OVERLOAD_GUARD_H_
