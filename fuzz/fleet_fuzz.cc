// Fuzzes the fleet planner and the endpoint views of three entries with engines
// that crash, leave and report their load late, while operators change weights
// and replicas, the lease holder changes, the instance list lags or is
// unavailable, and orders are late or lost. The oracle knows the true state of
// every engine.

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>
#include <string>

#include "fuzz/fleet_world.h"

namespace carobshift {
namespace {

bool OracleDetects(const FleetWorldOptions& options) {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    if (!FleetWorld(seed, options).Run().empty())
      return true;
  }
  return false;
}

// Guards against streams interrupted by a weight swap, requests sent to an
// endpoint that is about to stop, and a service that stays short of replicas.
TEST_CASE("the fleet is repaired and changed without interrupting work") {
  rc::prop("under faults", [](std::uint64_t seed) {
    const auto violations = FleetWorld(seed, {}).Run();
    if (!violations.empty())
      RC_FAIL("seed " + std::to_string(seed) + ": " + violations.front());
  });
}

TEST_CASE("without the floor the oracle detects violations") {
  CHECK(OracleDetects({.planner = FleetMutation::kIgnoreFloor}));
}

TEST_CASE("without the swap limit the oracle detects violations") {
  CHECK(OracleDetects({.planner = FleetMutation::kIgnoreSwapLimit}));
}

TEST_CASE("without waiting for running work the oracle detects violations") {
  CHECK(OracleDetects({.planner = FleetMutation::kNoWaitForWork}));
}

TEST_CASE(
    "without waiting for the drain to spread the oracle detects violations") {
  CHECK(OracleDetects({.planner = FleetMutation::kNoDrainSettle}));
}

TEST_CASE("without the order of dependencies the oracle detects violations") {
  CHECK(OracleDetects({.planner = FleetMutation::kIgnoreDependencies}));
}

TEST_CASE("with gossip of leaving ignored the oracle detects violations") {
  CHECK(OracleDetects({.view = EndpointViewMutation::kIgnoreGossip}));
}

TEST_CASE(
    "with the endpoint's own answer ignored the oracle detects violations") {
  CHECK(OracleDetects({.view = EndpointViewMutation::kIgnoreOwnAnswer}));
}

TEST_CASE("with drains ignored the oracle detects violations") {
  CHECK(OracleDetects({.view = EndpointViewMutation::kIgnoreDrains}));
}

}  // namespace
}  // namespace carobshift
