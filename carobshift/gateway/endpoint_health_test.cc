#include "carobshift/gateway/endpoint_health.h"

#include <catch2/catch.hpp>

namespace carobshift {
namespace {

const MonotonicTime kStart{Seconds(100)};

TEST_CASE("an endpoint that fails is left out for longer each time") {
  EndpointHealthBook health;
  const EndpointId id("e1");
  MonotonicTime now = kStart;
  health.OnTrouble(id, EndpointTrouble::kNotConnected, now);
  CHECK(health.Avoided(id, now));
  CHECK(health.AvoidedFor(id, now) == EndpointHealthBook::kFirstPause);
  // Requests that were under way together fail together.
  health.OnTrouble(id, EndpointTrouble::kNotConnected, now);
  CHECK(health.AvoidedFor(id, now) == EndpointHealthBook::kFirstPause);
  now += EndpointHealthBook::kFirstPause;
  CHECK_FALSE(health.Avoided(id, now));
  // One request tries it; others wait for its outcome.
  health.OnStart(id);
  CHECK(health.Avoided(id, now));
  health.OnTrouble(id, EndpointTrouble::kNotConnected, now);
  health.OnEnd(id);
  CHECK(health.AvoidedFor(id, now) == 2 * EndpointHealthBook::kFirstPause);
  health.OnAnswer(id);
  now += EndpointHealthBook::kLongestPause;
  CHECK_FALSE(health.Avoided(id, now));
}

TEST_CASE("an address that another endpoint has taken is left at once") {
  // An endpoint has died and its address was given to another service, while
  // its entry still stands for some seconds. Every request sent there is
  // refused and sent again elsewhere; together they would use up the repeats
  // allowed.
  EndpointHealthBook health;
  const EndpointId id("e1");
  health.OnTrouble(id, EndpointTrouble::kReplaced, kStart);
  CHECK(health.AvoidedFor(id, kStart) == EndpointHealthBook::kLongestPause);
}

}  // namespace
}  // namespace carobshift
