#include "carobshift/gateway/streams/stream_route_history.h"

#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

namespace carobshift {
namespace {

const MonotonicTime kStart{Seconds(100)};
constexpr Milliseconds kLag = StreamRouteHistory::kMaxConfigLag;

Route RouteTo(const std::string& prefix, std::vector<WeightedService> to) {
  Route route;
  route.host = "host";
  route.path_prefix = prefix;
  route.services = std::move(to);
  route.streaming = true;
  route.timeout = Seconds(10);
  return route;
}

ServingConfig ConfigOf(std::vector<Route> routes) {
  ServingConfig config;
  config.routes = std::move(routes);
  return config;
}

const ServiceName kOld("old");
const ServiceName kNew("new");

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

// Guards against a stream that is taken up at a service that didn't begin it,
// as its path leads there now.
TEST_CASE("a service to which a path moved has streams of another") {
  StreamRouteHistory history(/*first_start=*/true);
  const std::vector<Route> before =
      GENERATE(std::vector<Route>{RouteTo("/a/", {{kOld, 1}})},
               // A split that ends.
               std::vector<Route>{RouteTo("/a/", {{kOld, 1}, {kNew, 1}})},
               // A longer prefix is added, or removed.
               std::vector<Route>{RouteTo("/", {{kOld, 1}})},
               std::vector<Route>{RouteTo("/a/b/", {{kOld, 1}})});
  history.OnConfig(ConfigOf(before), kStart);
  CHECK_FALSE(history.HasMoved(kNew, kStart));
  const MonotonicTime moved = kStart + Seconds(50);
  history.OnConfig(ConfigOf({RouteTo("/a/", {{kNew, 1}})}), moved);
  const MonotonicTime over = moved + kLag + Seconds(20);
  CHECK(history.HasMoved(kNew, over - Milliseconds(1)));
  CHECK_FALSE(history.HasMoved(kNew, over));
  CHECK_FALSE(history.HasMoved(kOld, moved));
}

// Guards against refusals after configurations that move no stream.
TEST_CASE("a service has only its own streams while its paths stay") {
  StreamRouteHistory history(/*first_start=*/true);
  Route other_host = RouteTo("/a/", {{kOld, 1}});
  other_host.host = "other";
  const Route whole_host = RouteTo("/", {{kOld, 1}});
  history.OnConfig(
      ConfigOf({RouteTo("/a/", {{kNew, 1}}), whole_host, other_host}), kStart);
  Route shorter = RouteTo("/a/", {{kNew, 1}});
  shorter.timeout = Seconds(1);
  history.OnConfig(ConfigOf({shorter, RouteTo("/a/b/", {{kNew, 1}}), whole_host,
                             other_host}),
                   kStart);
  CHECK_FALSE(history.HasMoved(kNew, kStart));
  CHECK_FALSE(history.HasMoved(kOld, kStart));
}

}  // namespace
}  // namespace carobshift
