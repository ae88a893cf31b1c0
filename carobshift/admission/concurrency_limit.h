// How many requests one endpoint should have in progress, adapted to the time
// it takes to the first token.
//
//   ConcurrencyLimit limit(options, first_token_target);
//   limit.OnFirstToken(observed, expected_unloaded, in_progress, now);
//   int slots = limit.limit();
//
// Load pattern: endpoints of one service differ in speed, and their speed
// changes with the mix of prompts, so that no declared number fits. Without an
// adapted limit the surplus waits inside the endpoint, where it is served in
// order of arrival: a hot account's backlog then delays everybody, and a
// deadline can no longer be judged on arrival.
//
// Figures: the wait inside an endpoint may use half of the declared target for
// the first token; the other half is left for the queue here and the prefill.
// Additive increase and multiplicative decrease converge to equal limits when
// several entries adapt to one endpoint. The decrease of a tenth per window
// halves a limit within seven windows (about two seconds), and the window of a
// quarter second holds several samples at 20 requests a second. Until the first
// wait inside the endpoint (a tenth of what is allowed) the limit grows by a
// quarter a window: an entry that has just started reaches 500 places within
// four seconds. At a twentieth it would take eighteen, in which its callers
// wait although the endpoints are free.
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
  // Share of the first token target that may pass inside the endpoint beyond
  // its unloaded time.
  double wait_share = 0.5;
  double decrease = 0.9;
  // Of the limit, per window, at least one request.
  double increase_share = 0.05;
  // The same until work has first waited inside the endpoint.
  double start_increase_share = 0.25;
  Microseconds window{250000};
};

class ConcurrencyLimit {
 public:
  ConcurrencyLimit(const ConcurrencyLimitOptions& options,
                   Milliseconds first_token_target);

  // `observed` from dispatch to the first token, `unloaded` the time that the
  // request's own prefill and import should take, `in_progress` all requests
  // known at the endpoint. The limit grows only while it is nearly used, since
  // an idle endpoint's speed says nothing about a higher limit.
  void OnFirstToken(Microseconds observed,
                    Microseconds unloaded,
                    double in_progress,
                    MonotonicTime now);

  // The endpoint failed or made no progress: counts like a far too late first
  // token.
  void OnFailure(MonotonicTime now);

  [[nodiscard]] double limit() const { return limit_; }

 private:
  void CloseWindow(MonotonicTime now);

  ConcurrencyLimitOptions options_;
  Microseconds allowed_wait_;
  double limit_;
  bool starting_ = true;
  MonotonicTime window_end_{};
  Microseconds wait_sum_{0};
  int samples_ = 0;
  double peak_in_progress_ = 0;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_ADMISSION_CONCURRENCY_LIMIT_H_
