// Types for time and size. Functions that make decisions take `now` as an
// argument of one of these types and don't read a clock.
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

// Time since boot. Comparable on one machine only. The clock advances while the
// machine is suspended: with a clock that stops during suspension, a lease or
// deadline would look unexpired after the resume, and two lease holders could
// give orders at the same time.
using MonotonicTime =
    std::chrono::time_point<std::chrono::steady_clock, Microseconds>;

// Calendar time. For display, and for expiry times that another process reads.
using WallTime =
    std::chrono::time_point<std::chrono::system_clock, Milliseconds>;

// Model tokens.
using Tokens = std::int64_t;
// Number of bytes on a link or in a store.
using Bytes = std::int64_t;

// Reads the clocks. Called only at the outer layers of a process.
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
