#include "carobshift/gateway/shutdown_schedule.h"

#include <catch2/catch.hpp>

namespace carobshift {
namespace {

const MonotonicTime kBegan{Milliseconds(100'000)};
constexpr Milliseconds kGrace{8000};
constexpr Milliseconds kTick{1};

TEST_CASE("the times of a stop follow each other within the grace period") {
  const ShutdownSchedule shutdown(kBegan, kGrace);
  CHECK(shutdown.began() < shutdown.listeners_close());
  CHECK(shutdown.listeners_close() < shutdown.requests_end());
  CHECK(shutdown.requests_end() < shutdown.exit());
  CHECK(shutdown.exit() < kBegan + kGrace);
}

// Guards against requests that start although the stop would cut them.
TEST_CASE("a request may start if it has ended before the stop ends requests") {
  const ShutdownSchedule shutdown(kBegan, kGrace);
  const MonotonicTime end = shutdown.requests_end();
  CHECK(shutdown.MayStart(kBegan));
  CHECK(shutdown.MayStart(end));
  CHECK_FALSE(shutdown.MayStart(end + kTick));
}

}  // namespace
}  // namespace carobshift
