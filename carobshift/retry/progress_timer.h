// Detects an attempt that makes no progress.
//
//   ProgressTimer timer(spec.progress_timeout, expected_first_token, now);
//   timer.OnProgress(now);               // on each token
//   if (timer.IsStalled(now)) ...        // give the attempt up
//
// An open connection can go silent permanently while new ones work, because a
// device between the two ends has lost its state. The caller would see a stream
// that stops in the middle and never ends. A limit on the whole answer detects
// this too late, since long answers take minutes; a limit on the gap between
// tokens detects it in time. The connection must then be closed, not reused.
//
// Thread-compatible.

#ifndef CAROBSHIFT_RETRY_PROGRESS_TIMER_H_
#define CAROBSHIFT_RETRY_PROGRESS_TIMER_H_

#include "carobshift/base/units.h"

namespace carobshift {

class ProgressTimer {
 public:
  // `first_wait` is added before the first progress. It covers the queue and
  // the prefill at the endpoint, during which silence doesn't indicate a fault.
  ProgressTimer(Milliseconds timeout,
                Microseconds first_wait,
                MonotonicTime now)
      : timeout_(timeout), stalls_at_(now + first_wait + timeout) {}

  void OnProgress(MonotonicTime now) { stalls_at_ = now + timeout_; }

  [[nodiscard]] bool IsStalled(MonotonicTime now) const {
    return now >= stalls_at_;
  }
  [[nodiscard]] MonotonicTime stalls_at() const { return stalls_at_; }

 private:
  Milliseconds timeout_;
  MonotonicTime stalls_at_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_RETRY_PROGRESS_TIMER_H_
