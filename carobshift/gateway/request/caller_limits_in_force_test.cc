#include "carobshift/gateway/request/caller_limits_in_force.h"

#include <catch2/catch.hpp>

namespace carobshift {
namespace {

CallerLimits WithIdleTimeout(Milliseconds idle_timeout) {
  CallerLimits limits;
  limits.idle_timeout = idle_timeout;
  return limits;
}

constexpr MonotonicTime kStart{Seconds(100)};
constexpr Milliseconds kSpread = CallerLimitsInForce::kSpreadTime;

TEST_CASE("before and after a change of limits the larger one holds") {
  CallerLimitsInForce limits;
  limits.OnConfig(WithIdleTimeout(Milliseconds(4000)), kStart);
  CHECK(limits.At(kStart).idle_timeout == Milliseconds(4000));

  limits.OnConfig(WithIdleTimeout(Milliseconds(9000)), kStart);
  CHECK(limits.At(kStart).idle_timeout == Milliseconds(9000));

  limits.OnConfig(WithIdleTimeout(Milliseconds(2000)), kStart);
  CHECK(limits.At(kStart + kSpread / 2).idle_timeout == Milliseconds(9000));
  CHECK(limits.At(kStart + kSpread).idle_timeout == Milliseconds(2000));
}

// Guards against a limit that falls too early in a series of changes.
TEST_CASE("in a series of changes each replaced limit holds for its time") {
  CallerLimitsInForce limits;
  const Milliseconds step = kSpread / 4;
  MonotonicTime now = kStart;
  for (int i = 0; i < 20; ++i, now += step) {
    limits.OnConfig(WithIdleTimeout(Milliseconds(1000 * (20 - i))), now);
    // Four changes ago is the oldest configuration that may be in force.
    const int oldest = std::max(0, i - 3);
    CHECK(limits.At(now + step / 2).idle_timeout >=
          Milliseconds(1000 * (20 - oldest)));
  }
  CHECK(limits.At(now + kSpread).idle_timeout == Milliseconds(1000));
}

}  // namespace
}  // namespace carobshift
