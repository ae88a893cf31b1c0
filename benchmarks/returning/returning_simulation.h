// Simulates returning prompts in virtual time: conversations that pause for
// minutes to days, engines that keep blocks for a while, and stores behind
// limited links. The export and import decisions are those of carobshift/cache.
//
//   ReturningReport report = SimulateReturns(scenario, "value per byte", seed);
//
// The scale is 1/500 of the size that is expected in two years: 500
// conversations that return, and as many new ones per hour that never do. Other
// traffic fills the engines, so blocks stay there for `engine_residence` after
// their last use. At 18:00 each day new conversations arrive thirty times as
// often for ten minutes. Every strategy sees the same turns and the same
// queueing delays.

#ifndef BENCHMARKS_RETURNING_RETURNING_SIMULATION_H_
#define BENCHMARKS_RETURNING_RETURNING_SIMULATION_H_

#include <cstdint>
#include <string_view>

#include "carobshift/base/units.h"

namespace carobshift {

struct ReturningScenario {
  std::string_view name;
  int conversations = 500;
  // Arrivals per second of conversations that never return.
  double one_offs_per_second = 0.14;
  Seconds engine_residence{120};
  Seconds warm_up{2 * 86400};
  Seconds measured{2 * 86400};
  int stores = 2;
  Bytes store_capacity = 240000000000;
  Bytes link_budget = 3000000000;
  // Actual link rate as a multiple of the budget, before and after the middle
  // of the measured time.
  double link_speed = 1.5;
  double late_link_speed = 1.5;
  // The first store fails in the middle of the measured time and restarts empty
  // after ten minutes.
  bool store_dies = false;
};

struct ReturningReport {
  std::uint64_t returns = 0;
  double recomputed_share = 0;
  double first_token_p50_ms = 0;
  double first_token_p95_ms = 0;
  double imported_gb = 0;
  double exported_gb = 0;
  // Bytes in the busiest minute of any link, as a share of its budget.
  double busiest_minute = 0;
  std::uint64_t imports = 0;
  std::uint64_t evictions = 0;
  // Imports that took longer than the recomputation they replaced, and the
  // total time lost by them.
  std::uint64_t slower_imports = 0;
  double lost_seconds = 0;
};

// `strategy` is a name in ExportStrategies().
[[nodiscard]] ReturningReport SimulateReturns(const ReturningScenario& scenario,
                                              std::string_view strategy,
                                              std::uint64_t seed);

}  // namespace carobshift

#endif  // BENCHMARKS_RETURNING_RETURNING_SIMULATION_H_
