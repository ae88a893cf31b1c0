#include "carobshift/gateway/admission/wait_limits.h"

#include <catch2/catch.hpp>

namespace carobshift {
namespace {

const MonotonicTime kArrived{Seconds(100)};

Route StreamRoute(Milliseconds target, Milliseconds gap) {
  Route route;
  route.latency_target = target;
  route.gap_target = gap;
  return route;
}

// Fails if requests are held for callers who have disconnected.
TEST_CASE("no request waits longer than its caller") {
  const Route route = StreamRoute(Milliseconds(600), Milliseconds(400));
  CHECK(CallerPatience(route) == Milliseconds(3200));
  const WaitLimits limits =
      WaitLimitsOf(route, kArrived, kArrived + Seconds(12), Milliseconds(100));
  CHECK(limits.target == kArrived + Milliseconds(450));
  CHECK(limits.last_start == kArrived + Milliseconds(2950));
}

TEST_CASE("no request waits beyond its deadline") {
  const Route route = StreamRoute(Milliseconds(600), Milliseconds(400));
  const WaitLimits limits = WaitLimitsOf(
      route, kArrived, kArrived + Milliseconds(2500), Milliseconds(100));
  CHECK(limits.last_start == kArrived + Milliseconds(2250));
}

TEST_CASE("callers of every stream wait for a minimum time") {
  CHECK(CallerPatience(StreamRoute(Milliseconds(100), Milliseconds(0))) ==
        kMinCallerPatience);
  CHECK(CallerPatience(StreamRoute(Milliseconds(2000), Milliseconds(600))) ==
        Milliseconds(8000));
}

}  // namespace
}  // namespace carobshift
