// The planner and the endpoint views of three entries before engines that die,
// leave and report their load late, while operators change weights and
// replicas, the holder changes, the list lags and goes away, and orders are
// late or lost. The oracle knows the truth about every engine.

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>
#include <string>

#include "fuzz/fleet_world.h"

namespace carobshift {
namespace {

bool Caught(const FleetWorldOptions& options) {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    if (!FleetWorld(seed, options).Run().empty())
      return true;
  }
  return false;
}

// Users would notice streams cut off by a swap, requests that wait at an
// endpoint about to stop, or a service that stays short of replicas.
TEST_CASE("the fleet is repaired and changed without interrupting work") {
  rc::prop("under faults", [](std::uint64_t seed) {
    const auto violations = FleetWorld(seed, {}).Run();
    if (!violations.empty())
      RC_FAIL("seed " + std::to_string(seed) + ": " + violations.front());
  });
}

TEST_CASE("without the floor the oracle objects") {
  CHECK(Caught({.planner = FleetMutation::kIgnoreFloor}));
}

TEST_CASE("without the swap limit the oracle objects") {
  CHECK(Caught({.planner = FleetMutation::kIgnoreSwapLimit}));
}

TEST_CASE("without waiting for running work the oracle objects") {
  CHECK(Caught({.planner = FleetMutation::kNoWaitForWork}));
}

TEST_CASE("without waiting for the drain to spread the oracle objects") {
  CHECK(Caught({.planner = FleetMutation::kNoDrainSettle}));
}

TEST_CASE("without the order of dependencies the oracle objects") {
  CHECK(Caught({.planner = FleetMutation::kIgnoreDependencies}));
}

TEST_CASE("with gossip of leaving ignored the oracle objects") {
  CHECK(Caught({.view = EndpointViewMutation::kIgnoreGossip}));
}

TEST_CASE("with the endpoint's own answer ignored the oracle objects") {
  CHECK(Caught({.view = EndpointViewMutation::kIgnoreOwnAnswer}));
}

TEST_CASE("with drains ignored the oracle objects") {
  CHECK(Caught({.view = EndpointViewMutation::kIgnoreDrains}));
}

}  // namespace
}  // namespace carobshift
