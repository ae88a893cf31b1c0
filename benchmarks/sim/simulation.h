// Simulates one run: sends a scenario's arrivals through the entries of one
// variant and reports the results that callers see.
//
//   RunResult result = Simulate(deployment, scenario, variant, seed);
//
// Callers behave like users of phone apps. A caller that gets no first token
// within twice its deadline sends the request again, at most twice. A caller
// that is refused retries at the announced time, at most three times.

#ifndef BENCHMARKS_SIM_SIMULATION_H_
#define BENCHMARKS_SIM_SIMULATION_H_

#include <array>
#include <cstdint>
#include <vector>

#include "benchmarks/sim/variant.h"
#include "benchmarks/sim/workload.h"

namespace carobshift {

// Latency that percentiles assume for a logical request without a first token.
inline constexpr double kUnansweredSeconds = 30;

// First-token latency in seconds from the arrival of the logical request.
struct Latency {
  double p50 = 0;
  double p95 = 0;
  double p99 = 0;
  // Share of all logical requests with a first token within the deadline.
  double in_deadline = 0;
  std::size_t requests = 0;
};

struct RunResult {
  Latency all;
  // Over the requests that arrived while the scenario's load or fault was
  // active.
  Latency during;
  // Same, for accounts that are neither large nor hot.
  Latency during_small;
  Latency during_short;
  Latency during_dossier;
  double recomputed_share = 0;
  double link_gigabytes = 0;
  double refusals = 0;
  // Share of justified refusals among those that could be judged; 1 if there
  // were none.
  double justified_refusal_share = 1;
  // Attempts at engines per logical request, and sends per logical request.
  double attempts_per_request = 0;
  double sends_per_request = 0;
  // Jain's fairness index over the accounts' in-deadline shares during the
  // window.
  double jain = 1;
  // Seconds from the end of the window until the median first token stays
  // within 10% (or 20 ms) of its value before the window for three consecutive
  // seconds; -1 if never.
  double recovery_seconds = -1;
  int engine_crashes = 0;
  // 95th percentile of the first token by second of arrival, for the plots. A
  // request without a first token counts as kUnansweredSeconds.
  std::vector<double> p95_by_second;
  std::array<double, kAccounts> in_deadline_by_account{};
};

[[nodiscard]] RunResult Simulate(const Deployment& deployment,
                                 const Scenario& scenario,
                                 const Variant& variant,
                                 std::uint64_t seed);

}  // namespace carobshift

#endif  // BENCHMARKS_SIM_SIMULATION_H_
