// ArrivalRate measures how fast the bytes of one request have arrived lately.
//
//   ArrivalRate rate(now);         // its first byte has arrived
//   rate.OnBytes(bytes_so_far, now);
//   if (rate.BytesPerSecond(now) < kMin) ...  // the request doesn't arrive
//
// The mean over the whole request would hide a caller that sends most of a
// large body at once and then nothing, or a byte now and then.
//
// Thread-compatible.

#ifndef CAROBSHIFT_NET_ARRIVAL_RATE_H_
#define CAROBSHIFT_NET_ARRIVAL_RATE_H_

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "carobshift/base/units.h"

namespace carobshift {

class ArrivalRate {
 public:
  // Bytes count for one to two windows.
  static constexpr Milliseconds kWindow{1000};

  ArrivalRate() = default;
  explicit ArrivalRate(MonotonicTime now)
      : before_{now, 0}, window_{now, 0}, latest_{now, 0} {}

  // `total` bytes have arrived since the beginning.
  void OnBytes(std::size_t total, MonotonicTime now) {
    if (now - window_.at >= kWindow) {
      before_ = window_;
      window_ = latest_;
      window_.at = now;
    }
    if (total > latest_.total)
      latest_ = {now, total};
  }

  [[nodiscard]] double BytesPerSecond(MonotonicTime now) const {
    if (now - latest_.at > kWindow)
      return 0;
    const auto time =
        std::max<MonotonicTime::duration>(now - before_.at, kWindow);
    return static_cast<double>(latest_.total - before_.total) /
           std::chrono::duration<double>(time).count();
  }

 private:
  struct Sample {
    MonotonicTime at{};
    std::size_t total = 0;
  };

  // The beginnings of the window before the present one, and of that.
  Sample before_;
  Sample window_;
  Sample latest_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_NET_ARRIVAL_RATE_H_
