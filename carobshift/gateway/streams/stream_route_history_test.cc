#include "carobshift/gateway/streams/stream_route_history.h"

#include <catch2/catch.hpp>

namespace carobshift {
namespace {

const MonotonicTime kStart{Seconds(100)};
constexpr Milliseconds kLag = StreamRouteHistory::kMaxConfigLag;

ServingConfig ConfigWith(Milliseconds timeout) {
  ServingConfig config;
  Route route;
  route.streaming = true;
  route.timeout = timeout;
  config.routes.push_back(route);
  return config;
}

// Guards against a stream that outlives what is remembered of its version,
// since a new configuration has a shorter timeout.
TEST_CASE("a shorter timeout counts once the longer streams are over") {
  StreamRouteHistory history(/*first_start=*/true);
  history.OnConfig(ConfigWith(Seconds(20)), kStart);
  CHECK(history.LongestStream(kStart) == Seconds(40));
  const MonotonicTime shortened = kStart + Seconds(60);
  history.OnConfig(ConfigWith(Seconds(1)), shortened);
  const MonotonicTime over = shortened + kLag + Seconds(40);
  CHECK(history.LongestStream(over - Milliseconds(1)) == Seconds(40));
  CHECK(history.LongestStream(over) == Seconds(2));
}

// Guards against the same if the new configuration has no streams at all.
TEST_CASE("streams outlast the routes under which they began") {
  StreamRouteHistory history(/*first_start=*/true);
  CHECK(history.LongestStream(kStart) == Milliseconds(0));
  history.OnConfig(ConfigWith(Seconds(20)), kStart);
  history.OnConfig(ServingConfig(), kStart);
  history.OnConfig(ConfigWith(Seconds(1)), kStart + Seconds(3));
  CHECK(history.LongestStream(kStart + Seconds(3)) == Seconds(40));
  CHECK(history.LongestStream(kStart + Seconds(60)) == Seconds(2));
}

TEST_CASE("a longer timeout counts at once") {
  StreamRouteHistory history(/*first_start=*/true);
  history.OnConfig(ConfigWith(Seconds(1)), kStart);
  history.OnConfig(ConfigWith(Seconds(20)), kStart);
  CHECK(history.LongestStream(kStart) == Seconds(40));
}

// Guards against an instance that takes the first timeout that it sees for the
// one under which older streams began.
TEST_CASE("an instance that starts again assumes long streams") {
  StreamRouteHistory history(/*first_start=*/false);
  history.OnConfig(ConfigWith(Seconds(1)), kStart);
  const MonotonicTime over = kStart + StreamRouteHistory::kLongestUnknown;
  CHECK(history.LongestStream(over - Milliseconds(1)) ==
        StreamRouteHistory::kLongestUnknown);
  CHECK(history.LongestStream(over) == Seconds(2));
}

}  // namespace
}  // namespace carobshift
