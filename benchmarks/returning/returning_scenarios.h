// The scenarios of returning prompts, shared by the driver and the test.
//
//   for (const ReturningScenario& scenario : ReturningScenarios()) ...

#ifndef BENCHMARKS_RETURNING_RETURNING_SCENARIOS_H_
#define BENCHMARKS_RETURNING_RETURNING_SCENARIOS_H_

#include <vector>

#include "benchmarks/returning/returning_simulation.h"

namespace carobshift {

inline constexpr std::uint64_t kReturningSeed = 20261202;

[[nodiscard]] inline std::vector<ReturningScenario> ReturningScenarios() {
  std::vector<ReturningScenario> all(4);
  all[0].name = "usual";
  all[1].name = "small_stores";
  all[1].store_capacity /= 4;
  all[2].name = "slow_link";
  all[2].late_link_speed = 0.1;
  all[3].name = "store_dies";
  all[3].store_dies = true;
  return all;
}

}  // namespace carobshift

#endif  // BENCHMARKS_RETURNING_RETURNING_SCENARIOS_H_
