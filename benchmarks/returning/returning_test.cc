// The pass figures of returning prompts, against the baselines of the same run.

#include <catch2/catch.hpp>

#include "benchmarks/returning/returning_scenarios.h"

namespace carobshift {
namespace {

// Shorter than the driver's, for the sake of the sanitizers.
ReturningScenario Shortened(std::size_t index) {
  ReturningScenario scenario = ReturningScenarios()[index];
  scenario.warm_up = Seconds(43200);
  scenario.measured = Seconds(43200);
  return scenario;
}

ReturningReport Ours(const ReturningScenario& scenario) {
  return SimulateReturns(scenario, "value per byte", kReturningSeed);
}

ReturningReport NoStore(const ReturningScenario& scenario) {
  return SimulateReturns(scenario, "no store", kReturningSeed);
}

}  // namespace

TEST_CASE("stored blocks save two thirds of the work, half of the wait") {
  const ReturningScenario scenario = Shortened(0);
  const ReturningReport ours = Ours(scenario);
  const ReturningReport none = NoStore(scenario);
  CHECK(ours.recomputed_share <= none.recomputed_share / 3);
  CHECK(ours.first_token_p95_ms <= none.first_token_p95_ms / 2);
  CHECK(ours.busiest_minute <= 1.0);
  const ReturningReport lru =
      SimulateReturns(scenario, "least recently used", kReturningSeed);
  CHECK(ours.recomputed_share < lru.recomputed_share);
}

// The links slow to a tenth of their budget half way through. Callers may then
// wait as if there were no store, but no longer.
TEST_CASE("a slow link is never worse than a recompute") {
  const ReturningScenario scenario = Shortened(2);
  const ReturningReport ours = Ours(scenario);
  const ReturningReport none = NoStore(scenario);
  CHECK(ours.first_token_p50_ms <= none.first_token_p50_ms);
  CHECK(ours.first_token_p95_ms <= none.first_token_p95_ms);
  // Those that were under way when the link slowed.
  CHECK(static_cast<double>(ours.slower_imports) <=
        0.0005 * static_cast<double>(ours.imports));
}

// A store dies and comes back empty. Its conversations are computed once more.
TEST_CASE("a store's death costs recomputes and nothing else") {
  const ReturningScenario scenario = Shortened(3);
  const ReturningReport ours = Ours(scenario);
  const ReturningReport none = NoStore(scenario);
  CHECK(ours.recomputed_share <= none.recomputed_share / 3);
  CHECK(ours.first_token_p95_ms <= none.first_token_p95_ms / 2);
}

}  // namespace carobshift
