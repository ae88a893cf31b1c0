// Spaces the reads of one holder's cache events.
//
//   ReadBackoff backoff;
//   ScheduleRead(answer ? backoff.OnAnswer(answer->size())
//                       : backoff.OnFailure(hash));
//
// Load pattern: a holder in trouble sends bytes that are no answer, as many as
// the reader bears. Asked again at once, it fills the links, and the reader
// does little else than read them; forty such holders cost callers their
// answers.
//
// After each failure the pause doubles from kFirstPause to kMaxPause; an answer
// starts it anew. A holder that couldn't be reached at all costs next to
// nothing and may be back any moment: its pause stays the same. After an answer
// the pause is long enough that a holder is read with kMaxBytesPerSecond, which
// is many times what one in order sends.
//
// Thread-compatible.

#ifndef CAROBSHIFT_GATEWAY_CACHE_READ_BACKOFF_H_
#define CAROBSHIFT_GATEWAY_CACHE_READ_BACKOFF_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "carobshift/base/units.h"

namespace carobshift {

class ReadBackoff {
 public:
  static constexpr Milliseconds kFirstPause{400};
  static constexpr Milliseconds kMaxPause{12'800};
  static constexpr std::size_t kMaxBytesPerSecond = std::size_t{512} << 10;
  // After an answer, which holds all events since the one before. With 300 ms
  // instances use a tenth less of their processors, but engines recompute a
  // quarter to a half more shared tokens (seven instances, 12 engines at full
  // load).
  static constexpr Milliseconds kReadInterval{100};

  // Return the pause until the next read.
  [[nodiscard]] Milliseconds OnAnswer(std::size_t bytes) {
    constexpr std::size_t kMillisecondsPerSecond = 1000;
    pause_ = kFirstPause;
    return std::max(kReadInterval, Milliseconds(bytes * kMillisecondsPerSecond /
                                                kMaxBytesPerSecond));
  }
  // `hash` is the source of the jitter, which keeps readers that failed
  // together from asking together. It should differ between instances, holders
  // and failures.
  [[nodiscard]] Milliseconds OnFailure(std::uint64_t hash) {
    constexpr std::uint64_t kSteps = 1024;
    const Milliseconds pause = pause_;
    pause_ = std::min(kMaxPause, 2 * pause_);
    // The pause to one and a half times the pause.
    return pause + pause * static_cast<std::int64_t>(hash % kSteps) /
                       static_cast<std::int64_t>(2 * kSteps);
  }
  [[nodiscard]] Milliseconds OnUnreachable() const { return kFirstPause; }

 private:
  Milliseconds pause_ = kFirstPause;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_CACHE_READ_BACKOFF_H_
