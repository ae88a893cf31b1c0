// One run: a scenario's arrivals through the entries of one variant, and what
// the callers received.
//
//   RunResult result = Simulate(shape, scenario, variant, seed);
//
// Callers behave as people with phones do: one whose first token doesn't come
// within twice its deadline asks again, twice at most; one that is refused
// comes back when it was told to, three times at most.

#ifndef BENCHMARKS_SIM_SIMULATION_H_
#define BENCHMARKS_SIM_SIMULATION_H_

#include <array>
#include <cstdint>
#include <vector>

#include "benchmarks/sim/variant.h"
#include "benchmarks/sim/workload.h"

namespace carobshift {

// What a need that never got a first token counts as in percentiles.
inline constexpr double kGaveUpSeconds = 30;

// First tokens, in seconds from the arrival of the need.
struct Latency {
  double p50 = 0;
  double p95 = 0;
  double p99 = 0;
  // Of all needs, those that got theirs within their deadline.
  double in_deadline = 0;
  std::size_t needs = 0;
};

struct RunResult {
  Latency all;
  // Over the needs that arrived while the scenario's load or fault held.
  Latency during;
  // The same of the accounts that are neither large nor hot.
  Latency during_small;
  Latency during_short;
  Latency during_dossier;
  double recomputed_share = 0;
  double link_gigabytes = 0;
  double refusals = 0;
  // Of the refusals that could be judged; 1 if none.
  double truthful = 1;
  // Attempts at engines for each need, and requests sent for each need.
  double attempts_per_need = 0;
  double sends_per_need = 0;
  // Jain's index over the accounts' shares in deadline during the window.
  double jain = 1;
  // From the end of the window until the median first token is within 10% (or
  // 20 ms) of before for three seconds on end; -1 if never.
  double recovery_seconds = -1;
  int engine_crashes = 0;
  // 95th percentile of the first token by second of arrival, for the plots; a
  // need without one counts as kGaveUpSeconds.
  std::vector<double> p95_by_second;
  std::array<double, kAccounts> in_deadline_by_account{};
};

[[nodiscard]] RunResult Simulate(const Shape& shape,
                                 const Scenario& scenario,
                                 const Variant& variant,
                                 std::uint64_t seed);

}  // namespace carobshift

#endif  // BENCHMARKS_SIM_SIMULATION_H_
