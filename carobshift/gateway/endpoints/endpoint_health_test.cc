#include "carobshift/gateway/endpoints/endpoint_health.h"

#include <catch2/catch.hpp>

namespace carobshift {
namespace {

const MonotonicTime kStart{Seconds(100)};

TEST_CASE("an endpoint that fails is left out for longer each time") {
  EndpointHealthTable health;
  const EndpointId id("e1");
  MonotonicTime now = kStart;
  health.OnFailure(id, EndpointFailure::kNotConnected, now);
  CHECK(health.IsAvoided(id, now));
  CHECK(health.RemainingPause(id, now) == EndpointHealthTable::kInitialPause);
  // Requests that were in progress at the same time fail together.
  health.OnFailure(id, EndpointFailure::kNotConnected, now);
  CHECK(health.RemainingPause(id, now) == EndpointHealthTable::kInitialPause);
  now += EndpointHealthTable::kInitialPause;
  CHECK_FALSE(health.IsAvoided(id, now));
  // One request probes the endpoint; others wait for its outcome.
  health.OnStart(id);
  CHECK(health.IsAvoided(id, now));
  health.OnFailure(id, EndpointFailure::kNotConnected, now);
  health.OnEnd(id);
  CHECK(health.RemainingPause(id, now) ==
        2 * EndpointHealthTable::kInitialPause);
  health.OnAnswer(id);
  now += EndpointHealthTable::kMaxPause;
  CHECK_FALSE(health.IsAvoided(id, now));
}

TEST_CASE("a silent endpoint is avoided until its first byte") {
  // Guards against new work for an endpoint that may be unreachable, and
  // against a pause that outlasts the silence of a sound one.
  EndpointHealthTable health;
  const EndpointId id("e1");
  health.OnStart(id);
  health.OnSilent(id);
  CHECK(health.IsAvoided(id, kStart));
  CHECK(health.RemainingPause(id, kStart) == Milliseconds(0));
  SECTION("it goes on") {
    health.OnAnswer(id);
    CHECK_FALSE(health.IsAvoided(id, kStart));
  }
  SECTION("nothing is in progress there any more") {
    health.OnEnd(id);
    CHECK_FALSE(health.IsAvoided(id, kStart));
    // One request tries it.
    health.OnStart(id);
    CHECK(health.IsAvoided(id, kStart));
  }
}

TEST_CASE("an address that another endpoint has taken is left at once") {
  // An endpoint has died and its address was given to another service, while
  // its entry stays in the registry for some seconds. Every request sent there
  // is refused and retried elsewhere; together they would use up the retry
  // allowance.
  EndpointHealthTable health;
  const EndpointId id("e1");
  health.OnFailure(id, EndpointFailure::kAddressReused, kStart);
  CHECK(health.RemainingPause(id, kStart) == EndpointHealthTable::kMaxPause);
}

// Guards against sound endpoints that are avoided when the paths return.
TEST_CASE("failures that come with a loss of all paths are forgotten") {
  EndpointHealthTable health;
  const EndpointId dead_before("e1");
  const EndpointId unreached("e2");
  const EndpointId replaced("e3");
  health.OnFailure(dead_before, EndpointFailure::kNotConnected, kStart);
  const MonotonicTime loss = kStart + Milliseconds(100);
  for (const EndpointId& id : {unreached, replaced}) {
    for (MonotonicTime now = loss; now < loss + Seconds(12); now += Seconds(2))
      health.OnFailure(id, EndpointFailure::kConnectionBroken, now);
  }
  const MonotonicTime end = loss + Seconds(10) + Milliseconds(1);
  health.OnFailure(replaced, EndpointFailure::kAddressReused, end);
  REQUIRE(health.IsAvoided(unreached, end));
  for (const EndpointId& id : {dead_before, unreached, replaced})
    health.ForgetConnectionFailures(id, loss);
  CHECK_FALSE(health.IsAvoided(unreached, end));
  health.OnStart(unreached);
  CHECK_FALSE(health.IsAvoided(unreached, end));
  CHECK(health.IsAvoided(replaced, end));
  CHECK(health.IsAvoided(dead_before, kStart + Milliseconds(200)));
}

}  // namespace
}  // namespace carobshift
