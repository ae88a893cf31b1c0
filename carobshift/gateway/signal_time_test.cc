#include "carobshift/gateway/signal_time.h"

#include <catch2/catch.hpp>

#include "carobshift/gateway/shutdown_schedule.h"

namespace carobshift {
namespace {

constexpr MonotonicTime kBegin = MonotonicTime{} + Seconds(1000);
constexpr Milliseconds kGrace{8000};

// Guards against a grace period that is counted from when a late process sees
// its signal.
TEST_CASE("a signal counts from the last look without it") {
  SignalTime sent(kBegin);
  SECTION("which was before the first look") {
    CHECK(sent.Check(true, kBegin + Seconds(2)) == kBegin);
  }
  SECTION("whenever it is asked again") {
    const MonotonicTime last_without = kBegin + Milliseconds(100);
    CHECK_FALSE(sent.Check(false, last_without));
    CHECK(sent.Check(true, kBegin + Seconds(3)) == last_without);
    CHECK(sent.Check(false, kBegin + Seconds(4)) == last_without);
    CHECK(sent.Check(true, kBegin + Seconds(5)) == last_without);
  }
}

// Guards against an exit that leaves the last replies no time.
TEST_CASE("a stop that is seen after the end leaves time for last replies") {
  const ShutdownSchedule in_time(kBegin, kGrace, kBegin + Milliseconds(90));
  CHECK(in_time.exit() ==
        in_time.requests_end() + ShutdownSchedule::kLastReplyTime);
  const MonotonicTime seen = kBegin + Milliseconds(7800);
  const ShutdownSchedule late(kBegin, kGrace, seen);
  CHECK(late.requests_end() == in_time.requests_end());
  CHECK(late.exit() == seen + ShutdownSchedule::kLastReplyTime);
}

}  // namespace
}  // namespace carobshift
