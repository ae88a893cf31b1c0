// Spaces the tries to start a replacement for an attempt that can't be relied
// on any more but still has its connection.
//
//   ReplacementBackoff backoff;
//   if (backoff.MayTry(now) && !StartReplacement())
//     backoff.OnFailure(now);
//
// Load pattern: an endpoint with a few hundred streams falls silent while
// nothing is left for another attempt. Each stream would ask for one in each
// tick, and take every retry that becomes free, although most of the streams
// are about to go on.
//
// After each failure the pause doubles from kFirstPause to kMaxPause, which
// leaves a silent stream several tries before its caller gives up.
//
// Thread-compatible.

#ifndef CAROBSHIFT_GATEWAY_REQUEST_REPLACEMENT_BACKOFF_H_
#define CAROBSHIFT_GATEWAY_REQUEST_REPLACEMENT_BACKOFF_H_

#include <algorithm>

#include "carobshift/base/units.h"

namespace carobshift {

class ReplacementBackoff {
 public:
  static constexpr Milliseconds kFirstPause{100};
  static constexpr Milliseconds kMaxPause{400};

  [[nodiscard]] bool MayTry(MonotonicTime now) const { return now >= next_; }
  // Call when a replacement could not start, was refused or failed.
  void OnFailure(MonotonicTime now) {
    next_ = now + pause_;
    pause_ = std::min(kMaxPause, 2 * pause_);
  }

 private:
  MonotonicTime next_{};
  Milliseconds pause_ = kFirstPause;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_REQUEST_REPLACEMENT_BACKOFF_H_
