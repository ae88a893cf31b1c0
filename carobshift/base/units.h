// Units of time and size. Deciding functions take `now` as an argument of
// one of these types and never read a clock.
//
//   MonotonicTime deadline = now + Milliseconds(590);

#ifndef CAROBSHIFT_BASE_UNITS_H_
#define CAROBSHIFT_BASE_UNITS_H_

#include <time.h>

#include <chrono>
#include <cstdint>

#include "carobshift/base/strong_type.h"

namespace carobshift {

using Microseconds = std::chrono::microseconds;
using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

// A reading of this machine's clock since boot. Not comparable between
// machines. It goes on while the machine is suspended: a lease or a deadline
// that was counted on a clock that stands still meanwhile would look unexpired
// after the resume, and two holders could order at once.
using MonotonicTime =
    std::chrono::time_point<std::chrono::steady_clock, Microseconds>;

// A reading of the machine's calendar clock. For display, and for expiry
// times that another process must read.
using WallTime =
    std::chrono::time_point<std::chrono::system_clock, Milliseconds>;

// Model tokens.
using Tokens = std::int64_t;
// Bytes, as counted on a link or in a store.
using Bytes = std::int64_t;

// The clocks, read only at the edge of the process.
[[nodiscard]] inline MonotonicTime MonotonicNow() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  constexpr std::int64_t kNanosecondsPerMicrosecond = 1000;
  return MonotonicTime(
      Microseconds(std::int64_t{time.tv_sec} * std::micro::den +
                   time.tv_nsec / kNanosecondsPerMicrosecond));
}
[[nodiscard]] inline WallTime WallNow() {
  return std::chrono::time_point_cast<Milliseconds>(
      std::chrono::system_clock::now());
}

}  // namespace carobshift

#endif  // CAROBSHIFT_BASE_UNITS_H_
