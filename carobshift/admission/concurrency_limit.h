// Limits the number of requests in progress at one endpoint, adapted to the
// time to the first token.
//
//   ConcurrencyLimit limit(options, first_token_target);
//   limit.OnFirstToken(observed, expected_unloaded, in_progress, now);
//   double slots = limit.limit();
//
// Load pattern: endpoints of one service differ in speed, and their speed
// changes with the mix of prompts, so no configured number fits. Without an
// adaptive limit the surplus queues inside the endpoint and is served in order
// of arrival: a hot account's backlog then delays everyone, and deadlines can't
// be checked on arrival.
//
// Figures: the wait inside an endpoint may use half of the declared target for
// the first token; the other half is left for the queue here and the prefill.
// Additive increase and multiplicative decrease converge to equal limits when
// several entries adapt to one endpoint. A decrease of a tenth per window
// halves a limit within seven windows (about two seconds), and a window of a
// quarter second contains several samples at 20 requests a second. Until
// requests first wait inside the endpoint (for a tenth of the allowed wait),
// the limit grows by a quarter per window: an entry that has just started
// reaches 500 slots within four seconds. With a twentieth per window this would
// take eighteen seconds, in which callers wait although the endpoints are free.
//
// Thread-compatible.

#ifndef CAROBSHIFT_ADMISSION_CONCURRENCY_LIMIT_H_
#define CAROBSHIFT_ADMISSION_CONCURRENCY_LIMIT_H_

#include "carobshift/base/units.h"

namespace carobshift {

struct ConcurrencyLimitOptions {
  double initial = 16;
  double minimum = 2;
  double maximum = 256;
  // Share of the first-token target that a request may spend inside the
  // endpoint beyond its unloaded time.
  double wait_share = 0.5;
  double decrease = 0.9;
  // Increase per window as a share of the limit; at least one request.
  double increase_share = 0.05;
  // The same until requests first wait inside the endpoint.
  double start_increase_share = 0.25;
  Microseconds window{250000};
};

class ConcurrencyLimit {
 public:
  ConcurrencyLimit(const ConcurrencyLimitOptions& options,
                   Milliseconds first_token_target);

  // `observed` is the time from dispatch to the first token. `unloaded` is the
  // time that the request's own prefill and import should take. `in_progress`
  // counts all known requests at the endpoint. The limit grows only while it is
  // nearly reached, since the speed of an idle endpoint says nothing about a
  // higher limit.
  void OnFirstToken(Microseconds observed,
                    Microseconds unloaded,
                    double in_progress,
                    MonotonicTime now);

  // The endpoint failed or made no progress. Counts like a very late first
  // token.
  void OnFailure(MonotonicTime now);

  [[nodiscard]] double limit() const { return limit_; }

 private:
  void CloseWindow(MonotonicTime now);

  ConcurrencyLimitOptions options_;
  Microseconds allowed_wait_;
  double limit_;
  bool slow_start_ = true;
  MonotonicTime window_end_{};
  Microseconds wait_sum_{0};
  int samples_ = 0;
  double peak_in_progress_ = 0;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_ADMISSION_CONCURRENCY_LIMIT_H_
