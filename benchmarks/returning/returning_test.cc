// Checks the results for returning prompts against baselines that run over the
// same turns.

#include <catch2/catch.hpp>

#include "benchmarks/returning/returning_scenarios.h"

namespace carobshift {
namespace {

// Shorter than the driver's scenarios, to limit the run time under sanitizers.
ReturningScenario Shortened(std::size_t index) {
  ReturningScenario scenario = ReturningScenarios()[index];
  scenario.warm_up = Seconds(43200);
  scenario.measured = Seconds(43200);
  return scenario;
}

ReturningReport ValuePerByte(const ReturningScenario& scenario) {
  return SimulateReturns(scenario, "value per byte", kReturningSeed);
}

ReturningReport NoStore(const ReturningScenario& scenario) {
  return SimulateReturns(scenario, "no store", kReturningSeed);
}

}  // namespace

TEST_CASE("stored blocks save two thirds of the work, half of the wait") {
  const ReturningScenario scenario = Shortened(0);
  const ReturningReport value_per_byte = ValuePerByte(scenario);
  const ReturningReport no_store = NoStore(scenario);
  CHECK(value_per_byte.recomputed_share <= no_store.recomputed_share / 3);
  CHECK(value_per_byte.first_token_p95_ms <= no_store.first_token_p95_ms / 2);
  CHECK(value_per_byte.busiest_minute <= 1.0);
  const ReturningReport lru =
      SimulateReturns(scenario, "least recently used", kReturningSeed);
  CHECK(value_per_byte.recomputed_share < lru.recomputed_share);
}

// The links drop to a tenth of their budget half way through. First tokens may
// then take as long as without a store, but no longer.
TEST_CASE("a slow link is never worse than a recompute") {
  const ReturningScenario scenario = Shortened(2);
  const ReturningReport value_per_byte = ValuePerByte(scenario);
  const ReturningReport no_store = NoStore(scenario);
  CHECK(value_per_byte.first_token_p50_ms <= no_store.first_token_p50_ms);
  CHECK(value_per_byte.first_token_p95_ms <= no_store.first_token_p95_ms);
  // Imports that were in progress when the link slowed down.
  CHECK(static_cast<double>(value_per_byte.slower_imports) <=
        0.0005 * static_cast<double>(value_per_byte.imports));
}

// A store fails and restarts empty. Its conversations are recomputed once.
TEST_CASE("a store failure costs only recomputation") {
  const ReturningScenario scenario = Shortened(3);
  const ReturningReport value_per_byte = ValuePerByte(scenario);
  const ReturningReport no_store = NoStore(scenario);
  CHECK(value_per_byte.recomputed_share <= no_store.recomputed_share / 3);
  CHECK(value_per_byte.first_token_p95_ms <= no_store.first_token_p95_ms / 2);
}

}  // namespace carobshift
